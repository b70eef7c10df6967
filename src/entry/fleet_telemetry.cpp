#include "fleet_telemetry.hpp"

#include "milliseconds.hpp"

namespace siskinflow::entry
{

fleet_telemetry::fleet_telemetry(metrics& registry, event_log& log)
    : registry_(registry), log_(log)
{
}

void fleet_telemetry::update(const fleet_node& fleet, const data_path& path,
                             const budget_node& budgets, time_point now)
{
    report_stale_revisions(fleet);
    report_store_availability(fleet.distribution_counts(), now);
    report_drains(path, now);
    set_gauges(fleet, path, budgets, now);
    last_counts_ = fleet.distribution_counts();
}

void fleet_telemetry::report_store_availability(
    const distributor_counts& counts, time_point now)
{
    const bool failed = counts.store_failures > last_counts_.store_failures;
    const bool called = counts.store_calls > last_counts_.store_calls;
    if (failed && !store_down_since_)
    {
        store_down_since_ = now;
        log_.write(event_id::store_unavailable,
                   {{"operation", "read"}, {"reason", "no complete answer"}});
    }
    if (called && !failed && store_down_since_)
    {
        log_.write(event_id::store_available,
                   {{"down_ms", milliseconds(now - *store_down_since_)}});
        store_down_since_.reset();
    }
    if (counts.broken_watches > last_counts_.broken_watches)
    {
        log_.write(event_id::watch_broken,
                   {{"watched", "configuration and fleet record"}});
    }
    registry_.counter(metric_id::store_calls, {"distribution", "failed"})
        .raise_to(counts.store_failures);
    registry_.counter(metric_id::store_calls, {"distribution", "started"})
        .raise_to(counts.store_calls);
}

void fleet_telemetry::report_stale_revisions(const fleet_node& fleet)
{
    const std::uint64_t stale = fleet.distribution_counts().stale;
    if (stale > last_counts_.stale)
    {
        log_.write(event_id::stale_revision_ignored,
                   {{"known", fleet.config_revision()}});
    }
    registry_.counter(metric_id::stale_revisions, {"any"}).raise_to(stale);
}

void fleet_telemetry::report_drains(const data_path& path, time_point now)
{
    std::set<std::string> leaving;
    for (const target_status& target : path.targets())
    {
        if (target.state != target_state::leaving)
        {
            continue;
        }
        leaving.insert(target.name);
        if (drain_started_at_.emplace(target.name, now).second)
        {
            log_.write(
                event_id::drain_started,
                {{"target", target.name}, {"in_flight", target.in_flight}});
        }
        if (target.in_flight == 0 && drained_.insert(target.name).second)
        {
            log_.write(event_id::drain_finished,
                       {{"target", target.name},
                        {"duration_ms",
                         milliseconds(now - drain_started_at_[target.name])}});
        }
    }
    std::erase_if(drain_started_at_, [&](const auto& entry)
                  { return leaving.count(entry.first) == 0; });
    std::erase_if(drained_, [&](const std::string& name)
                  { return leaving.count(name) == 0; });
}

void fleet_telemetry::set_gauges(const fleet_node& fleet, const data_path& path,
                                 const budget_node& budgets, time_point now)
{
    const duration left = fleet.fresh_until() - now;
    const duration window = freshness_options().window;
    if (left > duration::zero() && left <= window)
    {
        registry_.gauge(metric_id::freshness_age)
            .set(to_seconds(window - left));
    }
    for (const queue_status& queue : path.queues())
    {
        registry_
            .gauge(metric_id::queue_length, {queue.route, queue.organisation})
            .set(static_cast<double>(queue.waiting));
    }
    const auto config = path.config();
    if (config == nullptr)
    {
        return;
    }
    for (const organisation_config& organisation : config->organisations)
    {
        const std::string budget = organisation_budget(organisation.name);
        registry_.gauge(metric_id::share_held, {budget})
            .set(budgets.shares().held(budget, now).size);
    }
}

} // namespace siskinflow::entry
