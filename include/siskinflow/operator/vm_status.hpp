/// @file
/// @brief Status documents of entry VMs and their summary.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/store/store.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief State of another fleet member as an entry VM reports it.
struct reported_member
{
    std::string vm;
    std::int64_t heard_ms_ago = -1; ///< -1: not stated.
    store_revision config_revision = 0;
    bool fresh = false;
};

/// @brief State of a target as an entry VM reports it.
struct reported_target
{
    std::string name;
    std::string state;
    std::int64_t in_flight = 0;
    std::optional<bool> draining_done;
};

/// @brief Answer of `GET /siskinflow/v1/status`; absent fields keep their
/// defaults.
struct vm_status
{
    std::string vm;
    std::string incarnation;
    std::string state;
    bool fresh = false;
    store_revision config_revision = 0;
    std::uint64_t config_sequence = 0;
    std::string note_id;
    bool in_force = false;
    std::int64_t since_ms = -1; ///< Time in force; -1: not stated.
    std::uint64_t epoch = 0;
    std::vector<reported_member> members;
    std::vector<reported_target> targets;
};

/// @brief Reads a status document; fields that are absent or of a wrong type
/// are skipped.
/// @return the status, or `errc::parse_error` if it is no JSON object
result<vm_status> parse_vm_status(std::string_view body);

/// @brief An entry VM that gave no usable answer.
struct unresponsive_vm
{
    net::endpoint address;
    std::string reason;
};

/// @brief Results of a status query to all entry VMs.
struct fleet_view
{
    std::vector<vm_status> statuses;
    std::vector<unresponsive_vm> unresponsive;

    /// @brief Names of all VMs that answered or that another one lists.
    std::set<std::string> vms() const;

    /// @brief Whether a VM states that this revision or a newer one is in
    /// force.
    bool in_force(store_revision revision) const;

    /// @brief Status with the newest revision that is in force, or null.
    const vm_status* newest_in_force() const;

    /// @brief Newest revision that any VM knows.
    store_revision newest_known() const;

    /// @brief Revision that a VM knows, from its own answer or else from what
    /// the others last heard; 0 if nothing is known.
    store_revision revision_of(std::string_view vm) const;

    /// @brief VMs that don't know this revision.
    std::vector<std::string> lagging(store_revision revision) const;

    const vm_status* find(std::string_view vm) const;
};

/// @brief Asks all entry VMs at once.
/// @param caller makes the calls; must outlive them
/// @param entries where the VMs listen
/// @param timeout deadline of each call
/// @param done called once with all answers; `entries` must not be empty
void query_fleet_status(net::http_caller& caller,
                        const std::vector<net::endpoint>& entries,
                        duration timeout, std::function<void(fleet_view)> done);

} // namespace siskinflow
