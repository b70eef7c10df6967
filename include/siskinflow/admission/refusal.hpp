/// @file
/// @brief Reasons for which siskinflow refuses or repeats a request.
#pragma once

#include <cstdint>
#include <string_view>

namespace siskinflow
{

/// @brief Why a request was refused without having run, or, for
/// `permit_issuer_unreachable`, why its outcome is unknown.
enum class refusal_reason : std::uint8_t
{
    none,
    unknown_route,              ///< No route has this path.
    route_closed,               ///< The route was withdrawn.
    missing_key,                ///< The route requires a key.
    unknown_key,                ///< The key is not or no longer valid.
    not_fresh,                  ///< No evidence from a majority of members.
    no_configuration,           ///< No configuration is known yet.
    rate_exceeded,              ///< The organisation's rate is used up.
    share_wait_exceeded,        ///< No share arrived in time.
    queue_full,                 ///< The organisation's queue is full.
    deadline_too_short,         ///< The estimated wait exceeds the deadline.
    deadline_exceeded_in_queue, ///< The deadline passed while waiting.
    no_target,                  ///< The route has no usable target.
    region_at_capacity,         ///< No target has a free slot.
    link_at_capacity,           ///< The link to the other region is full.
    shift_capped,               ///< Slots are free only beyond the shift cap.
    permit_required,            ///< A non-idempotent request has no permit.
    permit_invalid,             ///< Wrong form, signature, route or tenant.
    permit_expired,             ///< The permit's lifetime is over.
    permit_void,                ///< The permit was already voided.
    permit_issuer_unreachable,  ///< The issuer can't say whether it ran.
    already_ran,                ///< The permit was used and the request ran.
    body_too_large,             ///< The body exceeds the limit of the route.
    body_memory_exceeded,       ///< The bodies exceed the process limit.
    header_too_large,           ///< The header exceeds its size limit.
    too_many_connections,       ///< The connection limit is reached.
    request_timeout,            ///< The caller sent too slowly.
    connect_failed,             ///< No connection to a target.
    target_refused,             ///< The target said that it did not start.
    retry_budget_exhausted,     ///< Another attempt is not allowed.
    leaving,                    ///< This VM is stopping.
    bad_request,                ///< The request is malformed.
    method_not_supported,       ///< The method is not forwarded.
    cancelled,                  ///< The caller went away while waiting.
};

/// @brief Number of refusal reasons, for tables of counters.
constexpr std::size_t refusal_reason_count =
    static_cast<std::size_t>(refusal_reason::cancelled) + 1;

/// @brief Name in snake_case as sent in `Siskinflow-Reason`, "unknown" if
/// undefined.
std::string_view name(refusal_reason reason) noexcept;

/// @brief HTTP status of an answer with this reason; 500 if undefined.
int http_status(refusal_reason reason) noexcept;

/// @brief Why a request is sent to a target again.
enum class retry_reason : std::uint8_t
{
    connect_failed,  ///< No connection was established.
    connection_lost, ///< The connection broke before a complete response.
    attempt_timeout, ///< No response within the time for one attempt.
    target_error,    ///< The target answered with a server error.
    not_run_status,  ///< The target said that it did not start.
};

/// @brief Number of retry reasons, for tables of counters.
constexpr std::size_t retry_reason_count =
    static_cast<std::size_t>(retry_reason::not_run_status) + 1;

/// @brief Name in snake_case, "unknown" if undefined.
std::string_view name(retry_reason reason) noexcept;

} // namespace siskinflow
