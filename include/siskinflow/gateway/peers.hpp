/// @file
/// @brief The VMs of the fleet and the messages between them.
#pragma once

#include <siskinflow/control/message_type.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/net/endpoint.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::gateway
{

/// @brief A VM's own entry in the store.
struct vm_record
{
    std::string name;
    std::string region;
    std::string failure_domain;
    net::endpoint requests; ///< Address for callers.
    net::endpoint peers;    ///< UDP address for other VMs.

    bool operator==(const vm_record&) const = default;
};

/// @brief Converts a record to JSON.
std::string to_json(const vm_record& record);

/// @brief Parses the JSON of a record.
/// @return the record, or `errc::parse_error` naming the field
result<vm_record> parse_vm_record(std::string_view text);

/// @brief Requests of one organisation at one VM.
struct organisation_usage
{
    std::uint32_t organisation = 0; ///< Hash of the name.
    std::uint32_t admitted = 0;     ///< Since the VM started.
    float demand_per_s = 0;         ///< Arriving requests.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(organisation, admitted, demand_per_s);
    }
};

/// @brief State that a VM sends to the others periodically.
struct peer_state
{
    static constexpr control::message_type type =
        control::message_type::peer_state;

    std::string vm;
    bool serving = false;                   ///< Accepts new callers.
    std::vector<organisation_usage> usages; ///< Those with recent requests.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(vm, serving, usages);
    }
};

/// @brief Number of an organisation in `organisation_usage`.
std::uint32_t organisation_number(std::string_view name);

/// @brief Known VMs and whether they accept callers.
///
/// A VM is kept while the store lists it or its messages arrive, so an
/// unavailable store removes no VM. Lookups exclude a VM that died once it has
/// been silent, before its entry in the store expires.
class peer_table
{
public:
    explicit peer_table(vm_record self);

    const vm_record& self() const
    {
        return self_;
    }

    /// @brief Records that the store lists a VM.
    void on_listed(const vm_record& record, time_point now);

    /// @brief Records that the store no longer lists a VM.
    void on_unlisted(const std::string& name);

    /// @brief Records a message of a VM.
    void on_heard(const std::string& name, bool serving, time_point now);

    /// @brief Sets whether this VM accepts callers.
    void serve(bool serving)
    {
        serving_ = serving;
    }

    /// @brief Removes VMs that are neither listed nor heard.
    void expire(time_point now);

    /// @brief Message addresses of all other known VMs.
    std::vector<net::endpoint> peers() const;

    /// @brief Number of VMs, this one included, that are listed or heard.
    std::size_t size() const
    {
        return peers_.size() + 1;
    }

    /// @brief Time between two messages to each VM. It grows with the fleet to
    /// limit the messages that a VM receives, up to a limit within which a VM
    /// that died is still detected in time.
    duration message_interval() const;

    /// @brief Names of all VMs, this one included, in order.
    std::vector<std::string> names() const;

    /// @brief VMs for a caller: those in its failure domain, otherwise those in
    /// its region, otherwise all. Only VMs that accept callers are returned.
    std::vector<net::endpoint> lookup(std::string_view failure_domain,
                                      std::string_view region,
                                      time_point now) const;

private:
    struct peer
    {
        vm_record record;
        bool listed = false;
        bool serving = true;
        time_point first_seen{};
        time_point last_heard{}; ///< Zero if never heard.
    };

    bool silent(const peer& entry, time_point now) const;

    vm_record self_;
    bool serving_ = false;
    std::map<std::string, peer> peers_;
};

} // namespace siskinflow::gateway
