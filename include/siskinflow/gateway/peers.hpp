/// @file
/// @brief The VMs of the fleet and what they tell each other.
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

/// @brief What a VM writes about itself into the store.
struct vm_record
{
    std::string name;
    std::string region;
    std::string failure_domain;
    net::endpoint requests; ///< Where callers reach it.
    net::endpoint peers;    ///< Where other VMs reach it over UDP.

    bool operator==(const vm_record&) const = default;
};

/// @brief The record as JSON.
std::string to_json(const vm_record& record);

/// @brief Reads such JSON.
/// @return the record, or `errc::parse_error` naming the field
result<vm_record> parse_vm_record(std::string_view text);

/// @brief Requests of one organisation at one VM.
struct organisation_usage
{
    std::uint32_t organisation = 0; ///< Hash of the name.
    std::uint32_t admitted = 0;     ///< Since the VM started.
    float demand_per_s = 0;         ///< Requests that arrive.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(organisation, admitted, demand_per_s);
    }
};

/// @brief What a VM tells the others again and again.
struct peer_state
{
    static constexpr control::message_type type =
        control::message_type::peer_state;

    std::string vm;
    bool serving = false;                   ///< Takes new callers.
    std::vector<organisation_usage> usages; ///< Those with requests lately.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(vm, serving, usages);
    }
};

/// @brief Number of an organisation in `organisation_usage`.
std::uint32_t organisation_number(std::string_view name);

/// @brief Known VMs and whether they take callers.
///
/// A VM is named while the store lists it or it is heard. A store that is down
/// therefore removes nobody, and a VM that died is left out once it has been
/// silent, before its entry in the store runs out.
class peer_table
{
public:
    explicit peer_table(vm_record self);

    const vm_record& self() const
    {
        return self_;
    }

    /// @brief The store lists a VM.
    void on_listed(const vm_record& record, time_point now);

    /// @brief The store does not list a VM any more.
    void on_unlisted(const std::string& name);

    /// @brief A VM was heard.
    void on_heard(const std::string& name, bool serving, time_point now);

    /// @brief Whether this VM takes callers.
    void serve(bool serving)
    {
        serving_ = serving;
    }

    /// @brief Forgets VMs that are neither listed nor heard.
    void expire(time_point now);

    /// @brief Where to send messages: every other VM that may live.
    std::vector<net::endpoint> peers() const;

    /// @brief Number of VMs, this one included, that are listed or heard.
    std::size_t size() const
    {
        return peers_.size() + 1;
    }

    /// @brief Time between two messages to each VM. It grows with the fleet,
    /// so that the messages that a VM receives stay few, but only as far as a
    /// VM that died is still found in time.
    duration message_interval() const;

    /// @brief Names of all VMs, this one included, in order.
    std::vector<std::string> names() const;

    /// @brief VMs for a caller: those in its failure domain, else in its
    /// region, else all that take callers.
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
        time_point last_heard{}; ///< The start of the clock if never.
    };

    bool silent(const peer& entry, time_point now) const;

    vm_record self_;
    bool serving_ = false;
    std::map<std::string, peer> peers_;
};

} // namespace siskinflow::gateway
