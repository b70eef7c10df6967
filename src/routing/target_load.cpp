#include "target_health_impl.hpp"

#include <algorithm>
#include <cmath>

namespace siskinflow::routing
{

namespace
{

// Older reports are ignored; less than 2^-8 of their load would count.
constexpr double max_hint_age_s = 8;
constexpr double penalty_per_failure = 0.5; // Requests per slot.
constexpr double shed_penalty = 2;          // Requests per slot.
constexpr duration shed_penalty_duration = std::chrono::seconds(1);

} // namespace

double target_health::warm_fraction(target_index target, time_point now) const
{
    const auto& record = impl_->records[target];
    if (!record.cold_since || record.warm_up <= duration(0))
    {
        return 1;
    }
    const double fraction =
        to_seconds(now - *record.cold_since) / to_seconds(record.warm_up);
    return std::clamp(fraction, 0.0, 1.0);
}

double target_health::reported_load(target_index target,
                                    std::uint32_t own_in_flight,
                                    time_point now) const
{
    const auto& record = impl_->records[target];
    if (!record.hint || record.hint->slots == 0)
    {
        return 0;
    }
    const double age_s =
        std::max(0.0, to_seconds(now - record.hint_requested_at));
    if (age_s > max_hint_age_s)
    {
        return 0;
    }
    const auto others = record.hint->running > own_in_flight
                            ? record.hint->running - own_in_flight
                            : 0;
    const double load =
        std::min(1.0, static_cast<double>(others) /
                          static_cast<double>(record.hint->slots));
    return load * std::exp2(-age_s);
}

double target_health::failure_penalty(target_index target, time_point now) const
{
    const auto& record = impl_->records[target];
    const bool shed =
        record.last_shed && now - *record.last_shed < shed_penalty_duration;
    return penalty_per_failure * std::min(record.consecutive_failures, 10U) +
           (shed ? shed_penalty : 0);
}

} // namespace siskinflow::routing
