#include <siskinflow/gateway/placement.hpp>

#include <algorithm>
#include <array>

namespace siskinflow::gateway
{

namespace
{

/// Positions of the object's order that are told apart.
constexpr unsigned most_ranks = 8;
/// Requests that may queue at a target, as a part of its slots.
constexpr double queue_part = 0.5;
/// Share of cold work among the requests that wait at a target.
constexpr double cold_share_of_queue = 0.3;

/// Chance of being late up to which a request may queue at a target.
constexpr double acceptable_late_chance = 0.6;
/// Utilization from which late work keeps to the first targets of its object.
/// Cold work takes three times the slots of warm work, and spread over all
/// targets it leaves none of them warm for the next request.
constexpr double crowded_utilization = 0.6;
constexpr unsigned spread_limit = 1;
/// Chance of missing the deadline up to which a request is sent at all.
constexpr double acceptable_miss_chance = 0.75;

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(value.count()) * factor));
}

duration expected_wait(const candidate& option, const work_time& work)
{
    const double slots = std::max(1U, option.slots);
    const double ahead = option.load + 1 - slots;
    if (ahead <= 0)
    {
        return duration::zero();
    }
    const duration each = scaled(work.warm, 1 - cold_share_of_queue) +
                          scaled(work.cold, cold_share_of_queue);
    return scaled(each, option.slowness * ahead / slots);
}

duration crossing_cost(distance where, const placement_costs& costs)
{
    switch (where)
    {
    case distance::same_domain:
        return duration::zero();
    case distance::same_region:
        return costs.domain_crossing;
    case distance::other_region:
        return costs.region_crossing;
    }
    return duration::zero();
}

/// When the answer comes, for each state that the target may be in.
struct forecast
{
    duration warm{0};
    duration cold{0};

    duration expected(double warm_chance) const
    {
        return cold - scaled(cold - warm, warm_chance);
    }

    /// Chance that the answer comes after a limit.
    double late_chance(double warm_chance, duration limit) const
    {
        const double if_warm = warm > limit ? warm_chance : 0;
        const double if_cold = cold > limit ? 1 - warm_chance : 0;
        return if_warm + if_cold;
    }
};

forecast forecast_of(const candidate& option, const work_time& work,
                     const placement_costs& costs)
{
    const duration trip = option.where == distance::other_region
                              ? costs.region_round_trip
                              : duration::zero();
    const duration start = trip + expected_wait(option, work);
    return {start + scaled(work.warm, option.slowness),
            start + scaled(work.cold, option.slowness)};
}

bool introduces(const candidate& option)
{
    return option.untried && option.where == distance::same_domain;
}

bool has_room(const candidate& option, bool on_time)
{
    const double slots = std::max(1U, option.slots);
    const double most = on_time ? slots * (1 + queue_part) : slots;
    return option.load + 1 <= most;
}

/// Part of the candidates' slots that is in use.
double utilization(std::span<const candidate> candidates)
{
    double load = 0;
    double slots = 0;
    for (const candidate& option : candidates)
    {
        load += option.load;
        slots += option.slots;
    }
    return slots > 0 ? load / slots : 0;
}

constexpr std::array<std::string_view, 3> object_state_names = {
    "cold", "likely", "recent"};

} // namespace

std::string_view name(object_state value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < object_state_names.size() ? object_state_names[index]
                                             : "unknown";
}

duration expected_completion(const candidate& option, const work_time& work,
                             const placement_costs& costs)
{
    return forecast_of(option, work, costs).expected(option.warm_chance);
}

std::optional<placement> place(std::span<const candidate> candidates,
                               const work_time& work, const time_left& left,
                               const placement_costs& costs)
{
    const bool crowded = utilization(candidates) > crowded_utilization;
    std::optional<placement> best;
    duration best_cost = duration::max();
    for (const candidate& option : candidates)
    {
        const forecast times = forecast_of(option, work, costs);
        const duration expected = times.expected(option.warm_chance);
        const double late =
            times.late_chance(option.warm_chance, left.objective);
        const bool on_time = late < acceptable_late_chance;
        const double missed =
            times.late_chance(option.warm_chance, left.deadline);
        if (missed > acceptable_miss_chance || !has_room(option, on_time))
        {
            continue;
        }
        if (crowded && late > acceptable_late_chance &&
            option.rank >= spread_limit)
        {
            continue;
        }
        const duration cost =
            expected + crossing_cost(option.where, costs) +
            costs.rank_step * std::min(option.rank, most_ranks) +
            scaled(costs.late, late) -
            (introduces(option) ? costs.first_request : duration::zero());
        if (cost < best_cost)
        {
            best_cost = cost;
            best = placement{option.target, expected, on_time, option.object,
                             option.rank};
        }
    }
    return best;
}

} // namespace siskinflow::gateway
