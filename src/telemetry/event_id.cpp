#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/telemetry/event_id.hpp>

#include <algorithm>
#include <array>

namespace siskinflow
{

namespace
{

constexpr std::string_view started_fields[] = {"vm", "incarnation", "region",
                                               "failure_domain", "version"};
constexpr std::string_view setting_fields[] = {"setting", "reason"};
constexpr std::string_view listening_fields[] = {"purpose", "address"};
constexpr std::string_view lifecycle_fields[] = {"from", "to"};
constexpr std::string_view stopped_fields[] = {"reason", "uptime_s"};
constexpr std::string_view suppressed_fields[] = {"suppressed_event", "count"};
constexpr std::string_view joined_fields[] = {"epoch", "members"};
constexpr std::string_view left_fields[] = {"epoch", "reason"};
constexpr std::string_view fresh_fields[] = {"members", "evidence"};
constexpr std::string_view not_fresh_fields[] = {"members", "evidence",
                                                 "reason"};
constexpr std::string_view record_fields[] = {"epoch", "members",
                                              "previous_members"};
constexpr std::string_view applied_fields[] = {"revision", "sequence", "note"};
constexpr std::string_view refused_fields[] = {"revision", "reason"};
constexpr std::string_view stale_fields[] = {"kind", "revision", "known",
                                             "source"};
constexpr std::string_view store_down_fields[] = {"operation", "reason"};
constexpr std::string_view store_up_fields[] = {"down_ms"};
constexpr std::string_view watch_fields[] = {
    "watched", "reason", "unconfirmed_ms", "age_ms", "bytes_received"};
constexpr std::string_view era_begun_fields[] = {"era"};
constexpr std::string_view old_answer_fields[] = {"era", "known"};
constexpr std::string_view era_listed_fields[] = {"listed", "era"};
constexpr std::string_view ejected_fields[] = {"target", "route", "reason"};
constexpr std::string_view probed_fields[] = {"target", "outcome"};
constexpr std::string_view restored_fields[] = {"target", "ejected_ms"};
constexpr std::string_view drain_started_fields[] = {"target", "in_flight"};
constexpr std::string_view drain_finished_fields[] = {"target", "duration_ms"};
constexpr std::string_view permit_fields[] = {"permit", "route", "organisation",
                                              "reason"};
constexpr std::string_view dropped_fields[] = {"transport", "peer", "type",
                                               "reason", "bytes"};
constexpr std::string_view reloaded_fields[] = {"file"};
constexpr std::string_view reload_failed_fields[] = {"file", "reason"};
constexpr std::string_view replicas_fields[] = {"incarnation", "newest",
                                                "oldest", "age_s"};

constexpr std::string_view map_loaded_fields[] = {"revision", "hash", "blocks",
                                                  "sites"};
constexpr std::string_view map_failed_fields[] = {"revision", "reason"};

constexpr std::string_view served_fields[] = {
    "request",     "route",       "organisation", "service",   "target",
    "object",      "rank",        "attempts",     "waited_ms", "total_ms",
    "status",      "policy",      "steps",        "answers",   "load",
    "expected_ms", "objective_ms"};
constexpr std::string_view not_served_fields[] = {
    "request", "route",          "organisation", "service",       "reason",
    "status",  "attempts",       "waited_ms",    "total_ms",      "steps",
    "answers", "proof",          "policy",       "policy_age_ms", "waiting",
    "targets", "retry_after_ms", "share",        "left_ms"};
constexpr std::string_view registration_fields[] = {
    "target", "service", "change", "failure_domain", "revision", "warm_up_ms"};
constexpr std::string_view registration_refused_fields[] = {"item", "revision",
                                                            "reason"};
constexpr std::string_view policy_fields[] = {
    "version", "previous", "routes", "services", "organisations", "revision"};
constexpr std::string_view policy_refused_fields[] = {"revision", "in_force",
                                                      "reason"};
constexpr std::string_view evacuation_fields[] = {"failure_domains",
                                                  "revision"};
constexpr std::string_view readiness_fields[] = {"ready", "reason"};
constexpr std::string_view peer_fields[] = {"peer", "change", "failure_domain"};
constexpr std::string_view settings_reloaded_fields[] = {"outcome"};
constexpr std::string_view share_fields[] = {"organisation", "part", "previous",
                                             "vms"};
constexpr std::string_view policy_row_fields[] = {"revision", "table", "item",
                                                  "reason", "handling"};

constexpr std::string_view answers_cut_fields[] = {"count", "undelivered"};
constexpr std::string_view target_withdrawn_fields[] = {
    "target", "service", "reason", "for_ms", "told_by"};
constexpr std::string_view target_wanted_again_fields[] = {"target", "service"};
constexpr std::string_view order_sent_again_fields[] = {
    "request", "route", "target", "proof", "steps", "answers", "policy"};
constexpr std::string_view foreign_answer_fields[] = {
    "request", "target", "answer_to", "status", "says_not_run"};

constexpr std::string_view memory_scarce_fields[] = {
    "held",           "limit",   "request_bodies", "responses",
    "unsent_answers", "evicted", "waits"};
constexpr std::string_view connections_scarce_fields[] = {"open", "limit",
                                                          "refused"};

constexpr event_info table[] = {
    {event_id::started, "started", log_level::info, started_fields},
    {event_id::setting_refused, "setting_refused", log_level::error,
     setting_fields},
    {event_id::listening, "listening", log_level::info, listening_fields},
    {event_id::lifecycle_changed, "lifecycle_changed", log_level::info,
     lifecycle_fields},
    {event_id::stopped, "stopped", log_level::info, stopped_fields},
    {event_id::lines_suppressed, "lines_suppressed", log_level::warning,
     suppressed_fields},
    {event_id::joined, "joined", log_level::info, joined_fields},
    {event_id::left, "left", log_level::info, left_fields},
    {event_id::fresh, "fresh", log_level::info, fresh_fields},
    {event_id::not_fresh, "not_fresh", log_level::warning, not_fresh_fields},
    {event_id::fleet_record_changed, "fleet_record_changed", log_level::info,
     record_fields},
    {event_id::configuration_applied, "configuration_applied", log_level::info,
     applied_fields},
    {event_id::configuration_refused, "configuration_refused", log_level::error,
     refused_fields},
    {event_id::stale_revision_ignored, "stale_revision_ignored",
     log_level::warning, stale_fields},
    {event_id::store_unavailable, "store_unavailable", log_level::warning,
     store_down_fields},
    {event_id::store_available, "store_available", log_level::info,
     store_up_fields},
    {event_id::watch_broken, "watch_broken", log_level::warning, watch_fields},
    {event_id::store_era_begun, "store_era_begun", log_level::warning,
     era_begun_fields},
    {event_id::store_old_answer, "store_old_answer", log_level::warning,
     old_answer_fields},
    {event_id::store_era_listed, "store_era_listed", log_level::info,
     era_listed_fields},
    {event_id::target_ejected, "target_ejected", log_level::warning,
     ejected_fields},
    {event_id::target_probed, "target_probed", log_level::info, probed_fields},
    {event_id::target_restored, "target_restored", log_level::info,
     restored_fields},
    {event_id::drain_started, "drain_started", log_level::info,
     drain_started_fields},
    {event_id::drain_finished, "drain_finished", log_level::info,
     drain_finished_fields},
    {event_id::permit_outcome_unknown, "permit_outcome_unknown",
     log_level::warning, permit_fields},
    {event_id::message_dropped, "message_dropped", log_level::warning,
     dropped_fields},
    {event_id::certificate_reloaded, "certificate_reloaded", log_level::info,
     reloaded_fields},
    {event_id::certificate_reload_failed, "certificate_reload_failed",
     log_level::error, reload_failed_fields},
    {event_id::report_replicas_differ, "report_replicas_differ",
     log_level::error, replicas_fields},
    {event_id::site_map_loaded, "site_map_loaded", log_level::info,
     map_loaded_fields},
    {event_id::site_map_load_failed, "site_map_load_failed", log_level::warning,
     map_failed_fields},
    {event_id::request_served, "request_served", log_level::info,
     served_fields},
    {event_id::request_not_served, "request_not_served", log_level::warning,
     not_served_fields},
    {event_id::target_registration_changed, "target_registration_changed",
     log_level::info, registration_fields},
    {event_id::target_registration_refused, "target_registration_refused",
     log_level::warning, registration_refused_fields},
    {event_id::policy_in_force, "policy_in_force", log_level::info,
     policy_fields},
    {event_id::policy_refused, "policy_refused", log_level::error,
     policy_refused_fields},
    {event_id::evacuation_changed, "evacuation_changed", log_level::info,
     evacuation_fields},
    {event_id::readiness_changed, "readiness_changed", log_level::info,
     readiness_fields},
    {event_id::peer_changed, "peer_changed", log_level::info, peer_fields},
    {event_id::settings_reloaded, "settings_reloaded", log_level::info,
     settings_reloaded_fields},
    {event_id::rate_share_changed, "rate_share_changed", log_level::info,
     share_fields},
    {event_id::policy_row_not_read, "policy_row_not_read", log_level::warning,
     policy_row_fields},
    {event_id::answers_cut, "answers_cut", log_level::warning,
     answers_cut_fields},
    {event_id::target_withdrawn, "target_withdrawn", log_level::info,
     target_withdrawn_fields},
    {event_id::target_wanted_again, "target_wanted_again", log_level::info,
     target_wanted_again_fields},
    {event_id::order_sent_again, "order_sent_again", log_level::info,
     order_sent_again_fields},
    {event_id::foreign_answer, "foreign_answer", log_level::warning,
     foreign_answer_fields},
    {event_id::memory_scarce, "memory_scarce", log_level::warning,
     memory_scarce_fields},
    {event_id::connections_scarce, "connections_scarce", log_level::warning,
     connections_scarce_fields},
};

} // namespace

std::string_view name(log_format format) noexcept
{
    return format == log_format::json ? "json" : "logfmt";
}

std::string_view name(log_level level) noexcept
{
    static constexpr std::array<std::string_view, 3> names = {"info", "warning",
                                                              "error"};
    return enum_name(names, level);
}

std::span<const event_info> event_table() noexcept
{
    return table;
}

const event_info* find_event(event_id id) noexcept
{
    const auto* it =
        std::find_if(std::begin(table), std::end(table),
                     [id](const event_info& row) { return row.id == id; });
    return it == std::end(table) ? nullptr : it;
}

} // namespace siskinflow
