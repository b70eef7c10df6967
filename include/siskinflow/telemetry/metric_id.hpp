/// @file
/// @brief Table of the metrics.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace siskinflow
{

/// @brief How a metric changes.
enum class metric_kind : std::uint8_t
{
    counter, ///< Never decreases.
    gauge,   ///< A current value.
    summary, ///< Quantiles, sum and count of durations.
};

/// @brief Position of a metric in the table.
enum class metric_id : std::uint8_t
{
    requests,
    refusals,
    unknown_outcomes,
    retries,
    request_latency,
    queue_length,
    in_flight,
    share_held,
    fresh,
    freshness_age,
    revision_known,
    revision_in_force,
    stale_revisions,
    store_calls,
    datagrams_sent,
    datagrams_received,
    datagrams_dropped,
    datagram_bytes_sent,
    datagram_bytes_received,
    messages_sent,
    messages_received,
    messages_dropped,
    message_bytes_sent,
    message_bytes_received,
    connections,
    connections_refused,
    body_bytes_held,
    lookups,
    permits,
    permits_in_flight,
    target_ejections,
    log_lines_suppressed,
    series_overflows,
    site_map_blocks,
    site_map_hash,
    site_map_load_failures,
    policy_row_problems,
    target_withdrawals,
    withdrawn_targets,
    malformed_answer_fields,
    foreign_answers,
    memory_held,
    memory_limit,
    memory_evictions,
    memory_waits,
    store_era,
    store_old_era_answers,
    store_era_listings,
};

/// @brief One row of the table, described in `docs/metrics.md`.
struct metric_info
{
    metric_id id;
    std::string_view name; ///< With the prefix `siskinflow_`.
    metric_kind kind;
    std::string_view unit;
    std::span<const std::string_view> labels;
    std::string_view help;
};

/// @brief Name of a kind as in the Prometheus text format.
std::string_view name(metric_kind kind) noexcept;

/// @brief All metrics in order of `metric_id`.
std::span<const metric_info> metric_table() noexcept;

/// @brief Row of a metric.
const metric_info& find_metric(metric_id id) noexcept;

} // namespace siskinflow
