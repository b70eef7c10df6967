#include "target_health_impl.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace siskinflow::routing
{

namespace
{

std::optional<double> median(std::vector<double> values)
{
    if (values.empty())
    {
        return std::nullopt;
    }
    const auto median_position = std::next(
        values.begin(), static_cast<std::ptrdiff_t>((values.size() - 1) / 2));
    std::nth_element(values.begin(), median_position, values.end());
    return *median_position;
}

} // namespace

std::size_t target_health::impl::ejection_limit(std::size_t in_service) const
{
    if (in_service == 0)
    {
        return 0;
    }
    const auto limit = static_cast<std::size_t>(
        settings.max_ejected_fraction * static_cast<double>(in_service));
    return std::min(limit, in_service - 1);
}

std::size_t target_health::impl::ejected_count(std::size_t route) const
{
    std::size_t count = 0;
    for (const auto index : by_route[route])
    {
        const auto& target = records[index];
        count += target.in_service && target.state != health_state::healthy;
    }
    return count;
}

std::size_t target_health::impl::in_service_count(std::size_t route) const
{
    std::size_t count = 0;
    for (const auto index : by_route[route])
    {
        count += records[index].in_service;
    }
    return count;
}

bool target_health::impl::may_eject(const health_record& target) const
{
    return std::all_of(target.routes.begin(), target.routes.end(),
                       [this](std::size_t route) {
                           return ejected_count(route) <
                                  ejection_limit(in_service_count(route));
                       });
}

void target_health::impl::start_backoff(health_record& target, time_point now,
                                        random_source& rng) const
{
    const double bound =
        std::min(to_seconds(settings.base_backoff) *
                     std::exp2(std::min(target.consecutive_ejections, 30U)),
                 to_seconds(settings.max_backoff));
    std::uniform_real_distribution<double> distribution(0, bound);
    target.backoff = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(distribution(rng)));
    target.next_probe_at = now + target.backoff;
    ++target.consecutive_ejections;
}

void target_health::impl::try_eject(health_record& target, health_reason reason,
                                    time_point now, random_source& rng,
                                    change_list& out)
{
    if (target.state != health_state::healthy || !target.in_service ||
        !may_eject(target))
    {
        return;
    }
    apply_event(target, health_event::eject, reason, out);
    target.ejected_at = now;
    start_backoff(target, now, rng);
}

void target_health::impl::finish_probe(health_record& target, bool succeeded,
                                       health_reason reason, time_point now,
                                       random_source& rng, change_list& out)
{
    if (!succeeded)
    {
        apply_event(target, health_event::fail, reason, out);
        start_backoff(target, now, rng);
        return;
    }
    apply_event(target, health_event::succeed, reason, out);
    reset_observations(target);
    target.consecutive_ejections = 0;
    if (target.warm_up > duration(0))
    {
        target.cold_since = now;
    }
}

void target_health::impl::enforce_ejection_limit(change_list& out)
{
    for (std::size_t route = 0; route < by_route.size(); ++route)
    {
        const auto limit = ejection_limit(in_service_count(route));
        while (ejected_count(route) > limit)
        {
            auto& target = oldest_ejection(route);
            apply_event(target, health_event::reset,
                        health_reason::ejection_limit, out);
            reset_observations(target);
        }
    }
}

health_record& target_health::impl::oldest_ejection(std::size_t route)
{
    health_record* oldest = nullptr;
    for (const auto index : by_route[route])
    {
        auto& target = records[index];
        const bool is_ejected =
            target.in_service && target.state != health_state::healthy;
        if (is_ejected && (!oldest || target.ejected_at < oldest->ejected_at))
        {
            oldest = &target;
        }
    }
    return *oldest;
}

void target_health::impl::eject_outliers(std::size_t route, time_point now,
                                         random_source& rng, change_list& out)
{
    std::vector<double> error_rates;
    std::vector<double> latencies;
    for (const auto index : by_route[route])
    {
        const auto& target = records[index];
        if (!target.in_service || sample_count(target) < settings.min_samples)
        {
            continue;
        }
        error_rates.push_back(error_rate_of(target));
        const auto latency = latency_of(target, settings.min_samples);
        if (latency)
        {
            latencies.push_back(*latency);
        }
    }
    const auto median_error_rate = median(std::move(error_rates));
    const auto median_latency = median(std::move(latencies));
    for (const auto index : by_route[route])
    {
        eject_outlier(records[index], median_error_rate, median_latency, now,
                      rng, out);
    }
}

void target_health::impl::eject_outlier(health_record& target,
                                        std::optional<double> median_error_rate,
                                        std::optional<double> median_latency,
                                        time_point now, random_source& rng,
                                        change_list& out)
{
    if (sample_count(target) < settings.min_samples)
    {
        return;
    }
    if (median_error_rate &&
        error_rate_of(target) > *median_error_rate + settings.error_rate_margin)
    {
        try_eject(target, health_reason::error_rate, now, rng, out);
        return;
    }
    const auto latency = latency_of(target, settings.min_samples);
    if (latency && median_latency &&
        *latency > to_seconds(settings.latency_floor) &&
        *latency > *median_latency * settings.latency_factor)
    {
        try_eject(target, health_reason::latency, now, rng, out);
    }
}

} // namespace siskinflow::routing
