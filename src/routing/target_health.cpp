#include "target_health_impl.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace siskinflow::routing
{

namespace
{

state_chart load_chart()
{
    auto chart = state_chart::parse(
        chart_text("target_health"),
        {name(health_state::healthy), name(health_state::ejected),
         name(health_state::probing)},
        {name(health_event::eject), name(health_event::probe),
         name(health_event::succeed), name(health_event::fail),
         name(health_event::reset)});
    if (!chart)
    {
        // The chart is part of the library; it can't differ from the enums.
        std::abort();
    }
    return std::move(chart).value();
}

} // namespace

target_health::impl::impl(health_settings initial_settings)
    : settings(initial_settings), chart(load_chart())
{
}

health_record* target_health::impl::find(std::string_view target)
{
    const auto it = by_name.find(std::string(target));
    return it == by_name.end() ? nullptr : &records[it->second];
}

void target_health::impl::apply_event(health_record& target, health_event event,
                                      health_reason reason, change_list& out)
{
    const auto to = chart.next(static_cast<std::size_t>(target.state),
                               static_cast<std::size_t>(event));
    if (!to)
    {
        return;
    }
    const auto state = static_cast<health_state>(to.value());
    out.push_back({target.name, target.state, state, reason});
    target.state = state;
}

void target_health::impl::index_routes()
{
    by_route.assign(config->routes.size(), {});
    by_name.clear();
    for (target_index i = 0; i < records.size(); ++i)
    {
        by_name.emplace(records[i].name, i);
        for (const auto route : records[i].routes)
        {
            by_route[route].push_back(i);
        }
    }
}

target_health::target_health(health_settings settings)
    : impl_(std::make_unique<impl>(settings))
{
}

target_health::~target_health() = default;

namespace
{

void apply_configuration(health_record& target, const target_config& configured,
                         const configuration& config)
{
    target.name = configured.name;
    target.warm_up = configured.warm_up;
    target.in_service =
        configured.state == target_state::active && !target.draining;
    target.routes.clear();
    target.probed_by_requests = false;
    for (std::size_t i = 0; i < config.routes.size(); ++i)
    {
        const auto& route = config.routes[i];
        if (std::find(configured.routes.begin(), configured.routes.end(),
                      route.name) != configured.routes.end())
        {
            target.routes.push_back(i);
            target.probed_by_requests |= route.idempotent;
        }
    }
}

} // namespace

std::vector<health_change>
target_health::configure(std::shared_ptr<const configuration> config,
                         time_point now)
{
    const bool first_configuration = impl_->config == nullptr;
    std::vector<health_record> records;
    for (const auto& configured : config->targets)
    {
        auto* existing = impl_->find(configured.name);
        auto& target = records.emplace_back(existing ? std::move(*existing)
                                                     : health_record());
        apply_configuration(target, configured, *config);
        if (!existing && !first_configuration && target.warm_up > duration(0))
        {
            target.cold_since = now;
        }
    }
    impl_->config = std::move(config);
    impl_->records = std::move(records);
    impl_->index_routes();
    std::vector<health_change> out;
    impl_->enforce_ejection_limit(out);
    return out;
}

const configuration* target_health::config() const
{
    return impl_->config.get();
}

std::vector<health_change>
target_health::record(std::string_view target, attempt_outcome outcome,
                      duration latency, time_point now, random_source& rng)
{
    std::vector<health_change> out;
    auto* record = impl_->find(target);
    if (!record)
    {
        return out;
    }
    const bool probing = record->state == health_state::probing;
    if (outcome == attempt_outcome::cancelled)
    {
        if (probing)
        {
            // The probe got no answer; it may be repeated at once.
            impl_->apply_event(*record, health_event::fail,
                               health_reason::probe_lost, out);
            record->next_probe_at = now;
        }
        return out;
    }
    if (outcome == attempt_outcome::shed)
    {
        record->last_shed = now;
    }
    else
    {
        add_sample(*record, outcome, latency, impl_->settings.window, now);
    }
    if (probing)
    {
        // A target that sheds load answers, so it is alive.
        const bool succeeded = outcome == attempt_outcome::success ||
                               outcome == attempt_outcome::shed;
        impl_->finish_probe(*record, succeeded,
                            succeeded ? health_reason::probe_succeeded
                                      : health_reason::probe_failed,
                            now, rng, out);
        return out;
    }
    if (record->consecutive_failures >= impl_->settings.consecutive_failures)
    {
        impl_->try_eject(*record, health_reason::consecutive_failures, now, rng,
                         out);
    }
    return out;
}

std::vector<health_change> target_health::record_hint(std::string_view target,
                                                      const load_hint& hint,
                                                      time_point requested_at)
{
    std::vector<health_change> out;
    auto* record = impl_->find(target);
    if (!record || (record->hint && requested_at <= record->hint_requested_at))
    {
        return out;
    }
    record->hint = hint;
    record->hint_requested_at = requested_at;
    record->consecutive_hint_failures = 0;
    record->draining = hint.draining;
    if (!hint.cold)
    {
        if (record->cold_since && requested_at > *record->cold_since)
        {
            record->cold_since.reset();
        }
    }
    else if (!record->cold_since && record->warm_up > duration(0))
    {
        record->cold_since = requested_at;
    }
    const auto* configured = impl_->config->find_target(record->name);
    record->in_service =
        configured->state == target_state::active && !record->draining;
    impl_->enforce_ejection_limit(out);
    return out;
}

std::vector<health_change>
target_health::record_unreachable(std::string_view target, time_point now,
                                  random_source& rng)
{
    std::vector<health_change> out;
    auto* record = impl_->find(target);
    if (!record)
    {
        return out;
    }
    ++record->consecutive_hint_failures;
    const bool recently_succeeded =
        record->last_success &&
        now - *record->last_success < impl_->settings.recent_success_window;
    if (record->consecutive_hint_failures >=
            impl_->settings.consecutive_hint_failures &&
        !recently_succeeded)
    {
        impl_->try_eject(*record, health_reason::unreachable, now, rng, out);
    }
    return out;
}

std::vector<health_change> target_health::evaluate(time_point now,
                                                   random_source& rng)
{
    std::vector<health_change> out;
    for (auto& target : impl_->records)
    {
        rotate_windows(target, impl_->settings.window, now);
        if (target.state == health_state::probing &&
            now - target.probe_started >= impl_->settings.probe_timeout)
        {
            impl_->finish_probe(target, false, health_reason::probe_lost, now,
                                rng, out);
        }
    }
    for (std::size_t route = 0; route < impl_->by_route.size(); ++route)
    {
        impl_->eject_outliers(route, now, rng, out);
    }
    return out;
}

std::optional<health_change> target_health::begin_probe(std::string_view target,
                                                        time_point now)
{
    auto* record = impl_->find(target);
    if (!record || record->state != health_state::ejected ||
        !record->in_service || now < record->next_probe_at)
    {
        return std::nullopt;
    }
    std::vector<health_change> out;
    impl_->apply_event(*record, health_event::probe, health_reason::probe_sent,
                       out);
    record->probe_started = now;
    return out.front();
}

std::vector<std::string>
target_health::endpoint_probes_due(time_point now) const
{
    std::vector<std::string> out;
    for (target_index i = 0; i < impl_->records.size(); ++i)
    {
        if (probe_due(i, now) && !impl_->records[i].probed_by_requests)
        {
            out.push_back(impl_->records[i].name);
        }
    }
    return out;
}

std::optional<target_observation>
target_health::observation(std::string_view target, time_point now) const
{
    const auto* record = impl_->find(target);
    if (!record)
    {
        return std::nullopt;
    }
    target_observation out;
    out.state = record->state;
    out.leaving =
        impl_->config->find_target(target)->state != target_state::active;
    out.draining = record->draining;
    out.samples = sample_count(*record);
    out.error_rate = error_rate_of(*record);
    out.latency_ewma_s = record->latency_ewma_s;
    out.latency_quantile_s = latency_of(*record, 1).value_or(0);
    out.consecutive_failures = record->consecutive_failures;
    out.hint = record->hint;
    out.hint_age = record->hint ? now - record->hint_requested_at : duration(0);
    out.backoff = record->backoff;
    return out;
}

bool target_health::eligible(target_index target) const
{
    const auto& record = impl_->records[target];
    return record.in_service && record.state == health_state::healthy;
}

bool target_health::probe_due(target_index target, time_point now) const
{
    const auto& record = impl_->records[target];
    return record.in_service && record.state == health_state::ejected &&
           now >= record.next_probe_at;
}

} // namespace siskinflow::routing
