#include "request_telemetry.hpp"

#include <siskinflow/permit/permit_issuer.hpp>

namespace siskinflow::entry
{

namespace
{

/// Label of requests without a route or an organisation.
constexpr std::string_view none = "none";

std::string_view label_or_none(std::string_view text)
{
    return text.empty() ? none : text;
}

} // namespace

request_telemetry::request_telemetry(metrics& registry, event_log& log,
                                     const clock& time)
    : registry_(registry), log_(log), time_(time)
{
}

void request_telemetry::on_record(
    std::function<void(const request_record&)> callback)
{
    on_record_ = std::move(callback);
}

void request_telemetry::on_arrival(std::function<void(const request&)> callback)
{
    on_arrival_ = std::move(callback);
}

void request_telemetry::on_received(const request& arrived)
{
    if (on_arrival_)
    {
        on_arrival_(arrived);
    }
}

metric_counter& request_telemetry::request_counter(const request_record& record)
{
    std::string key(record.route);
    key.append("|").append(record.organisation).append("|");
    key += name(record.outcome);
    metric_counter*& found = request_counters_[key];
    if (found == nullptr)
    {
        found = &registry_.counter(metric_id::requests,
                                   {label_or_none(record.route),
                                    label_or_none(record.organisation),
                                    name(record.outcome)});
    }
    return *found;
}

void request_telemetry::on_finished(const request_record& record)
{
    request_counter(record).add();
    metric_latency*& latency = latencies_[std::string(record.route)];
    if (latency == nullptr)
    {
        latency = &registry_.latency(metric_id::request_latency,
                                     {label_or_none(record.route)});
    }
    latency->observe(record.latency);
    if (record.outcome == request_outcome::not_run)
    {
        registry_.counter(metric_id::refusals, {record.reason}).add();
    }
    if (record.outcome == request_outcome::unknown)
    {
        registry_.counter(metric_id::unknown_outcomes, {record.reason}).add();
        if (!record.permit.empty())
        {
            log_.write(event_id::permit_outcome_unknown,
                       {{"permit", permit_label(record.permit)},
                        {"route", record.route},
                        {"organisation", record.organisation},
                        {"reason", record.reason}});
        }
    }
    if (on_record_)
    {
        on_record_(record);
    }
}

void request_telemetry::on_retry(const request& /*repeated*/,
                                 retry_reason reason)
{
    registry_.counter(metric_id::retries, {name(reason)}).add();
}

void request_telemetry::on_permit(permit_disposition disposition)
{
    registry_.counter(metric_id::permits, {name(disposition)}).add();
}

void request_telemetry::on_health_change(const routing::health_change& change)
{
    using routing::health_state;
    const time_point now = time_.now();
    switch (change.to)
    {
    case health_state::ejected:
        ejected_at_.emplace(change.target, now);
        registry_.counter(metric_id::target_ejections, {change.target}).add();
        log_.write(event_id::target_ejected,
                   {{"target", change.target},
                    {"reason", routing::name(change.reason)}});
        return;
    case health_state::probing:
        log_.write(event_id::target_probed,
                   {{"target", change.target},
                    {"outcome", routing::name(change.reason)}});
        return;
    case health_state::healthy:
        break;
    }
    const auto found = ejected_at_.find(change.target);
    const auto since = found == ejected_at_.end() ? now : found->second;
    ejected_at_.erase(change.target);
    log_.write(
        event_id::target_restored,
        {{"target", change.target},
         {"ejected_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(now - since)
              .count()}});
}

} // namespace siskinflow::entry
