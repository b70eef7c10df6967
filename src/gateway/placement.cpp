#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/gateway/placement.hpp>

#include <algorithm>
#include <array>

namespace siskinflow::gateway
{

namespace
{

/// Rank from which further positions cost the same.
constexpr unsigned max_costed_rank = 8;
/// Requests that may queue at a target, as a fraction of its slots.
constexpr double max_queued_per_slot = 0.5;
/// Fraction of cold work among the requests queued at a target.
constexpr double cold_share_of_queue = 0.3;

/// Relative deviation from its forecast within which a completion time may
/// fall on either side of a limit. Without it, a target whose forecast is just
/// inside the objective is preferred to one that is nearly always in time.
constexpr double forecast_spread = 0.25;
/// Chance of being late up to which a request may queue at a target.
constexpr double acceptable_late_chance = 0.5;
/// Utilization above which late requests go only to the first targets of their
/// object. Cold work takes three times the slots of warm work; spread over all
/// targets, it would leave none of them warm for the next request.
constexpr double high_utilization = 0.6;
constexpr unsigned max_ranks_for_late_work = 1;
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
    const duration time_per_request =
        scaled(work.warm, 1 - cold_share_of_queue) +
        scaled(work.cold, cold_share_of_queue);
    return scaled(time_per_request, option.slowness * ahead / slots);
}

duration crossing_cost(distance target_distance, const placement_costs& costs)
{
    switch (target_distance)
    {
    case distance::same_domain:
        return duration::zero();
    case distance::same_region:
        return costs.domain_crossing_penalty;
    case distance::other_region:
        return costs.region_crossing_penalty;
    }
    return duration::zero();
}

/// Probability that a completion time exceeds a limit. It rises evenly around
/// the forecast.
double overrun_chance(duration forecast, duration limit)
{
    if (limit <= duration::zero())
    {
        return 1;
    }
    const double ratio = to_seconds(forecast) / to_seconds(limit);
    return std::clamp((ratio - (1 - forecast_spread)) / (2 * forecast_spread),
                      0.0, 1.0);
}

/// Completion time for a warm and for a cold target.
struct forecast
{
    duration warm{0};
    duration cold{0};

    duration expected(double warm_chance) const
    {
        return cold - scaled(cold - warm, warm_chance);
    }

    /// Probability that the answer comes after a limit.
    double late_chance(double warm_chance, duration limit) const
    {
        return warm_chance * overrun_chance(warm, limit) +
               (1 - warm_chance) * overrun_chance(cold, limit);
    }
};

forecast forecast_of(const candidate& option, const work_time& work,
                     const placement_costs& costs)
{
    const duration round_trip = option.target_distance == distance::other_region
                                    ? costs.region_round_trip
                                    : duration::zero();
    const duration start = round_trip + expected_wait(option, work);
    return {start + scaled(work.warm, option.slowness),
            start + scaled(work.cold, option.slowness)};
}

bool is_first_local_request(const candidate& option)
{
    return option.untried && option.target_distance == distance::same_domain;
}

bool has_room(const candidate& option, bool on_time)
{
    const double slots = std::max(1U, option.slots);
    const double max_load = on_time ? slots * (1 + max_queued_per_slot) : slots;
    return option.load + 1 <= max_load;
}

/// Load of the candidates relative to their slots.
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
    return enum_name(object_state_names, value);
}

duration expected_completion(const candidate& option, const work_time& work,
                             const placement_costs& costs)
{
    return forecast_of(option, work, costs).expected(option.warm_chance);
}

std::optional<placement> place(std::span<const candidate> candidates,
                               const work_time& work,
                               const remaining_time& remaining,
                               const placement_costs& costs)
{
    const bool highly_utilized = utilization(candidates) > high_utilization;
    std::optional<placement> best;
    duration best_cost = duration::max();
    for (const candidate& option : candidates)
    {
        const forecast completion = forecast_of(option, work, costs);
        const duration expected = completion.expected(option.warm_chance);
        const double chance_of_late =
            completion.late_chance(option.warm_chance, remaining.objective);
        const bool on_time = chance_of_late < acceptable_late_chance;
        const double chance_of_miss =
            completion.late_chance(option.warm_chance, remaining.deadline);
        if (chance_of_miss > acceptable_miss_chance ||
            !has_room(option, on_time))
        {
            continue;
        }
        if (highly_utilized && chance_of_late > acceptable_late_chance &&
            option.rank >= max_ranks_for_late_work)
        {
            continue;
        }
        const duration cost =
            expected + crossing_cost(option.target_distance, costs) +
            costs.cost_per_rank * std::min(option.rank, max_costed_rank) +
            scaled(costs.late_penalty, chance_of_late) -
            (is_first_local_request(option) ? costs.first_request_bonus
                                            : duration::zero());
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
