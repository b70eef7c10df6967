/// @file
/// @brief The member list that is kept in the store.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/net/endpoint.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief An entry VM of the fleet.
struct member
{
    incarnation_id incarnation;
    std::string vm; ///< Name of the VM.
    std::string region;
    std::string failure_domain;
    net::endpoint http;    ///< For requests of callers.
    net::endpoint control; ///< UDP and TCP between VMs.
    std::string site{};    ///< Site of the site map; empty if not known.

    bool operator==(const member&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, vm, region, failure_domain, http, control, site);
    }
};

/// @brief Members of one epoch, and of the previous one while a change is in
/// progress.
struct fleet_record
{
    std::uint64_t epoch = 0;
    std::string write_id; ///< Unique id of the write that stored it.
    std::vector<member> members;
    std::vector<member> previous_members;

    const member* find(const incarnation_id& id) const;

    bool operator==(const fleet_record&) const = default;
};

/// @brief JSON document of a record.
std::string to_json(const fleet_record& record);

/// @brief Parses the document that `to_json` writes.
/// @return the record, or `errc::parse_error` naming the field
result<fleet_record> parse_fleet_record(std::string_view json);

/// @brief Chooses an owner by rendezvous hashing, preferring members of a
/// failure domain, then of a region, where these are not empty.
/// @return the owner, or null if the record has no members
const member* rendezvous_owner(const fleet_record& record, std::string_view key,
                               std::string_view region = {},
                               std::string_view failure_domain = {});

} // namespace siskinflow
