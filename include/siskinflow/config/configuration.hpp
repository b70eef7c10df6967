/// @file
/// @brief The configuration: the result of all accepted release notes.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/net/endpoint.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief Whether a route accepts requests.
enum class route_state : std::uint8_t
{
    active,  ///< Requests are accepted.
    closing, ///< Withdrawn: new requests are refused, running ones finish.
};

/// @brief Whether a target accepts requests.
enum class target_state : std::uint8_t
{
    active,  ///< Requests are sent.
    leaving, ///< Draining: no new requests.
};

std::string_view name(route_state state) noexcept;
std::string_view name(target_state state) noexcept;

/// @brief A class of requests, chosen by the longest matching path prefix.
struct route_config
{
    std::string name;
    std::string path_prefix;
    bool idempotent = true;
    bool open = false; ///< Served without a key.
    route_state state = route_state::active;
    /// Statuses with which the route's targets say that they did not start.
    std::vector<int> not_run_statuses;
    std::size_t max_body_bytes = 64 * 1024;
    duration default_timeout = std::chrono::seconds(10);
    /// Percentage points per second by which one region's share may grow.
    double shift_cap_percent_per_s = 100;
    /// Bytes charged to a link before the response size is known.
    std::size_t expected_response_bytes = 64 * 1024;

    bool operator==(const route_config&) const = default;
};

/// @brief A server that runs requests of one or more routes.
struct target_config
{
    std::string name;
    std::vector<std::string> routes;
    std::string region;
    std::string failure_domain;
    net::endpoint address;
    std::uint32_t slots = 1; ///< Requests that may run at once.
    std::uint32_t max_connections = 100;
    duration warm_up{0}; ///< Time over which a cold target's slots grow.
    target_state state = target_state::active;

    bool operator==(const target_config&) const = default;
};

/// @brief A tenant. Keys are kept as SHA-256 digests only.
struct organisation_config
{
    std::string name;
    double rate_per_s = 0;
    double burst = 0;                    ///< Requests.
    std::vector<std::string> key_sha256; ///< 64 hexadecimal digits each.

    bool operator==(const organisation_config&) const = default;
};

/// @brief Limit of the traffic from one region to another.
struct link_config
{
    std::string from_region;
    std::string to_region;
    double bytes_per_s = 0;
    double burst_bytes = 0;

    bool operator==(const link_config&) const = default;
};

/// @brief The whole configuration, immutable per revision.
struct configuration
{
    std::uint64_t sequence = 0; ///< Number of notes accepted so far.
    std::string note_id;        ///< Id of the last note.
    std::string write_id;       ///< Unique id of the write that stored it.
    std::vector<route_config> routes;
    std::vector<target_config> targets;
    std::vector<organisation_config> organisations;
    std::vector<link_config> links;

    const route_config* find_route(std::string_view name) const;
    const target_config* find_target(std::string_view name) const;
    const organisation_config* find_organisation(std::string_view name) const;

    bool operator==(const configuration&) const = default;
};

} // namespace siskinflow
