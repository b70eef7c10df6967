#include <siskinflow/telemetry/metric_id.hpp>

#include <array>

namespace siskinflow
{

namespace
{

constexpr std::string_view request_labels[] = {"route", "organisation",
                                               "outcome"};
constexpr std::string_view reason_label[] = {"reason"};
constexpr std::string_view route_label[] = {"route"};
constexpr std::string_view queue_labels[] = {"route", "organisation"};
constexpr std::string_view target_label[] = {"target"};
constexpr std::string_view budget_label[] = {"budget"};
constexpr std::string_view kind_label[] = {"kind"};
constexpr std::string_view call_labels[] = {"kind", "outcome"};
constexpr std::string_view type_label[] = {"type"};
constexpr std::string_view side_label[] = {"side"};
constexpr std::string_view disposition_label[] = {"disposition"};
constexpr std::string_view metric_label[] = {"metric"};
constexpr std::string_view handling_label[] = {"handling"};
constexpr std::span<const std::string_view> no_labels;

using enum metric_id;
using enum metric_kind;

constexpr metric_info table[] = {
    {requests, "siskinflow_requests_total", counter, "requests", request_labels,
     "Requests answered, by outcome."},
    {refusals, "siskinflow_refusals_total", counter, "requests", reason_label,
     "Requests answered as not run, by reason."},
    {unknown_outcomes, "siskinflow_unknown_outcomes_total", counter, "requests",
     reason_label, "Requests answered as unknown, by reason."},
    {retries, "siskinflow_retries_total", counter, "attempts", reason_label,
     "Further attempts of idempotent requests, by reason."},
    {request_latency, "siskinflow_request_latency_seconds", summary, "seconds",
     route_label, "Time from the head of a request to the end of its answer."},
    {queue_length, "siskinflow_queue_length", gauge, "requests", queue_labels,
     "Requests that wait for admission."},
    {in_flight, "siskinflow_in_flight", gauge, "requests", target_label,
     "Requests handed to a target and not answered yet."},
    {share_held, "siskinflow_share_held", gauge, "units of the budget",
     budget_label, "Part of a budget that this VM may use."},
    {fresh, "siskinflow_fresh", gauge, "boolean", no_labels,
     "Whether this VM serves routes that require a key."},
    {freshness_age, "siskinflow_freshness_age_seconds", gauge, "seconds",
     no_labels, "Age of the evidence from a majority of the members."},
    {revision_known, "siskinflow_revision_known", gauge, "revision", kind_label,
     "Newest revision that this VM knows."},
    {revision_in_force, "siskinflow_revision_in_force", gauge, "revision",
     kind_label, "Newest revision that is in force."},
    {stale_revisions, "siskinflow_stale_revisions_total", counter, "revisions",
     kind_label, "Revisions ignored because a newer one was known."},
    {store_calls, "siskinflow_store_calls_total", counter, "calls", call_labels,
     "Calls of the platform's store."},
    {datagrams_sent, "siskinflow_datagrams_sent_total", counter, "datagrams",
     type_label, "Datagrams sent to other VMs."},
    {datagrams_received, "siskinflow_datagrams_received_total", counter,
     "datagrams", type_label, "Datagrams accepted from other VMs."},
    {datagrams_dropped, "siskinflow_datagrams_dropped_total", counter,
     "datagrams", reason_label, "Datagrams dropped on arrival."},
    {datagram_bytes_sent, "siskinflow_datagram_bytes_sent_total", counter,
     "bytes", type_label, "Payload of the datagrams sent to other VMs."},
    {datagram_bytes_received, "siskinflow_datagram_bytes_received_total",
     counter, "bytes", type_label,
     "Payload of the datagrams accepted from other VMs."},
    {messages_sent, "siskinflow_messages_sent_total", counter, "messages",
     type_label, "Messages sent over TCP to other VMs."},
    {messages_received, "siskinflow_messages_received_total", counter,
     "messages", type_label, "Messages accepted over TCP from other VMs."},
    {messages_dropped, "siskinflow_messages_dropped_total", counter, "messages",
     reason_label, "Messages over TCP dropped on arrival."},
    {message_bytes_sent, "siskinflow_message_bytes_sent_total", counter,
     "bytes", type_label,
     "Payload of the messages sent over TCP to other VMs."},
    {message_bytes_received, "siskinflow_message_bytes_received_total", counter,
     "bytes", type_label,
     "Payload of the messages accepted over TCP from other VMs."},
    {connections, "siskinflow_connections", gauge, "connections", side_label,
     "Open connections to callers or to targets."},
    {connections_refused, "siskinflow_connections_refused_total", counter,
     "connections", reason_label, "Connections of callers that were closed."},
    {body_bytes_held, "siskinflow_body_bytes_held", gauge, "bytes", no_labels,
     "Bodies of requests and answers in memory."},
    {lookups, "siskinflow_lookups_total", counter, "lookups", no_labels,
     "Lookups of entry VMs answered."},
    {permits, "siskinflow_permits_total", counter, "requests",
     disposition_label, "Requests with a permit, by what was done with it."},
    {permits_in_flight, "siskinflow_permits_in_flight", gauge, "permits",
     no_labels, "Permits that are queued or running."},
    {target_ejections, "siskinflow_target_ejections_total", counter,
     "ejections", target_label, "Ejections of a target."},
    {log_lines_suppressed, "siskinflow_log_lines_suppressed_total", counter,
     "lines", no_labels, "Log lines suppressed by the rate limit."},
    {series_overflows, "siskinflow_series_overflows_total", counter, "handles",
     metric_label, "Handles resolved to the shared series of a full metric."},
    {site_map_blocks, "siskinflow_site_map_blocks", gauge, "blocks", no_labels,
     "Blocks of the site map in use."},
    {site_map_hash, "siskinflow_site_map_hash", gauge, "number", no_labels,
     "First 32 bits of the hash of the site map in use, to compare VMs."},
    {site_map_load_failures, "siskinflow_site_map_load_failures_total", counter,
     "attempts", reason_label,
     "Attempts to load a site map that failed; the one in use stays."},
    {policy_row_problems, "siskinflow_policy_row_problems_total", counter,
     "rows", handling_label,
     "Rows of policies that could not be read as written."},
    {target_withdrawals, "siskinflow_target_withdrawals_total", counter,
     "targets", reason_label,
     "Targets that asked for no more requests, for good or for a time."},
    {withdrawn_targets, "siskinflow_withdrawn_targets", gauge, "targets",
     reason_label, "Targets that want no requests now."},
    {malformed_answer_fields, "siskinflow_malformed_answer_fields_total",
     counter, "fields", no_labels,
     "Fields of targets' answers that were ignored because of their value."},
    {foreign_answers, "siskinflow_foreign_answers_total", counter, "answers",
     no_labels,
     "Answers of targets that belonged to no request or to another one."},
    {memory_held, "siskinflow_memory_held_bytes", gauge, "bytes", kind_label,
     "Bytes that are held for callers, by what they are part of."},
    {memory_limit, "siskinflow_memory_limit_bytes", gauge, "bytes", no_labels,
     "Bytes that may be held for callers."},
    {memory_evictions, "siskinflow_memory_evictions_total", counter, "requests",
     kind_label,
     "Stalled requests that were given up for their memory, by its use."},
    {memory_waits, "siskinflow_memory_waits_total", counter, "attempts",
     no_labels, "Attempts to hold more bytes that had to wait or failed."},
    {store_era, "siskinflow_store_era", gauge, "era", no_labels,
     "Highest era that an answer of the store has shown."},
    {store_old_era_answers, "siskinflow_store_old_era_answers_total", counter,
     "answers", no_labels,
     "Answers of the store dropped because their era has ended."},
    {store_era_listings, "siskinflow_store_era_listings_total", counter,
     "listings", no_labels,
     "Listings of a prefix because the store has begun a new era."},
};

} // namespace

std::string_view name(metric_kind kind) noexcept
{
    static constexpr std::array<std::string_view, 3> names = {
        "counter", "gauge", "summary"};
    const auto index = static_cast<std::size_t>(kind);
    return index < names.size() ? names[index] : "untyped";
}

std::span<const metric_info> metric_table() noexcept
{
    return table;
}

const metric_info& find_metric(metric_id id) noexcept
{
    return table[static_cast<std::size_t>(id)];
}

} // namespace siskinflow
