/// @file
/// @brief A target's registration in the store.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/endpoint.hpp>

#include <cstdint>
#include <string>

namespace siskinflow::gateway
{

/// @brief One registration of a target.
struct target_record
{
    std::string id; ///< Checked by the target on each request.
    std::string service;
    net::endpoint address;
    std::string failure_domain;
    std::string region;
    unsigned slots = 1;       ///< Requests that run concurrently.
    bool draining = false;    ///< Stops soon; gets no new requests.
    duration warm_up_left{0}; ///< At the time of the registration.
    /// Start of the target in Unix milliseconds; a different value under the
    /// same id is a new incarnation, which holds no objects.
    std::int64_t started_at_ms = 0;

    bool operator==(const target_record&) const = default;
};

} // namespace siskinflow::gateway
