/// @file
/// @brief Finds the entry VMs that a caller should use.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/routing/ip_address.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow::routing
{

/// @brief Settings of the lookup.
struct lookup_settings
{
    duration lifetime = std::chrono::seconds(10);
    std::size_t max_vms = 6; ///< In one answer; at least 2.
};

/// @brief State of a member, provided by the user of `lookup`.
struct lookup_member_state
{
    /// Live and in the state `serving`. A VM that is starting, leaving,
    /// draining or stopped is never returned.
    bool serving = false;
    std::optional<site_number> site;
};

/// @brief An answer to `GET /siskinflow/v1/lookup`.
struct lookup_answer
{
    duration lifetime{0};
    std::vector<const member*> vms; ///< Best first.
};

/// @brief Index of the VMs that may be returned. Immutable: rebuilt when the
/// fleet record, a member's state or its site changes.
///
/// VMs of the caller's site come first, then those in the region of that site,
/// then the others. Within each of the three groups the order is by rendezvous
/// hash of the caller's address (the first 64 bits of an IPv6 address), so that
/// a caller keeps its VM and callers are spread evenly. When the VMs that fit
/// in the answer all belong to one failure domain and another one is known, the
/// best VM of another failure domain is put second.
class lookup
{
public:
    /// @param record the members; those of the previous epoch are not returned
    /// @param state_of called once for each member
    /// @param region_of_site regions by site number, for sites without VMs; a
    /// site that is not listed has the region of its VMs
    lookup(const fleet_record& record,
           const std::function<lookup_member_state(const member&)>& state_of,
           lookup_settings settings = {},
           std::vector<std::string> region_of_site = {});
    ~lookup();
    lookup(lookup&&) noexcept;
    lookup& operator=(lookup&&) noexcept;

    /// @brief The VMs for a caller.
    /// @param caller address of the caller
    /// @param site the caller's site, if the site map knows it
    /// @return the answer; its pointers are valid while this object exists.
    /// There are no VMs in it if no member is serving.
    lookup_answer find(const ip_address& caller,
                       std::optional<site_number> site) const;

    /// @brief The answer as a JSON document:
    /// `{"lifetime_s":10,"vms":[{"vm","url","region","failure_domain"}]}`.
    std::string find_json(const ip_address& caller,
                          std::optional<site_number> site) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::routing
