/// @file
/// @brief Table of the numbered log events.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace siskinflow
{

/// @brief Severity of a log event.
enum class log_level : std::uint8_t
{
    info,
    warning, ///< Service is reduced or a peer misbehaves.
    error,   ///< An operator has to act.
};

/// @brief Format of a log line.
enum class log_format : std::uint8_t
{
    logfmt,
    json,
};

/// @brief Name of a format as in `--log_format`.
std::string_view name(log_format format) noexcept;

/// @brief Number of a log event; a number is never reused.
enum class event_id : std::uint16_t
{
    started = 101,
    setting_refused = 102,
    listening = 103,
    lifecycle_changed = 104,
    stopped = 105,
    lines_suppressed = 106,
    joined = 201,
    left = 202,
    fresh = 203,
    not_fresh = 204,
    fleet_record_changed = 205,
    configuration_applied = 301,
    configuration_refused = 302,
    stale_revision_ignored = 303,
    store_unavailable = 401,
    store_available = 402,
    watch_broken = 403,
    store_era_begun = 404,
    store_old_answer = 405,
    store_era_listed = 406,
    target_ejected = 501,
    target_probed = 502,
    target_restored = 503,
    drain_started = 504,
    drain_finished = 505,
    permit_outcome_unknown = 701,
    message_dropped = 801,
    certificate_reloaded = 901,
    certificate_reload_failed = 902,
    report_replicas_differ = 1001,
    site_map_loaded = 1101,
    site_map_load_failed = 1102,
    request_served = 1201,
    request_not_served = 1202,
    target_registration_changed = 1203,
    target_registration_refused = 1204,
    policy_in_force = 1205,
    policy_refused = 1206,
    evacuation_changed = 1207,
    readiness_changed = 1208,
    peer_changed = 1209,
    settings_reloaded = 1210,
    rate_share_changed = 1211,
    policy_row_not_read = 1212,
    answers_cut = 1213,
    target_withdrawn = 1214,
    target_wanted_again = 1215,
    order_sent_again = 1216,
    foreign_answer = 1217,
    memory_scarce = 1230,
    connections_scarce = 1231,
};

/// @brief One row of the table, described in `docs/events.md`.
struct event_info
{
    event_id id;
    std::string_view name;
    log_level level;
    std::span<const std::string_view> fields;
};

/// @brief Name of a level in lower case.
std::string_view name(log_level level) noexcept;

/// @brief All events in order of their numbers.
std::span<const event_info> event_table() noexcept;

/// @brief Row of an event.
/// @return null if the number is not in the table
const event_info* find_event(event_id id) noexcept;

} // namespace siskinflow
