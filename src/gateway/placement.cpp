#include <siskinflow/gateway/placement.hpp>

#include <algorithm>

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

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(value.count()) * factor));
}

duration expected_work(const candidate& option, const work_time& work)
{
    duration base = work.cold;
    if (option.object == object_state::recent)
    {
        base = work.warm;
    }
    else if (option.object == object_state::likely)
    {
        base = (work.cold + work.warm) / 2;
    }
    return scaled(base, option.slowness);
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

bool introduces(const candidate& option)
{
    return option.untried && option.where != distance::other_region;
}

bool has_room(const candidate& option, bool on_time)
{
    const double slots = std::max(1U, option.slots);
    const double most = on_time ? slots * (1 + queue_part) : slots;
    return option.load + 1 <= most;
}

} // namespace

duration expected_completion(const candidate& option, const work_time& work,
                             const placement_costs& costs)
{
    const duration trip = option.where == distance::other_region
                              ? costs.region_round_trip
                              : duration::zero();
    return trip + expected_wait(option, work) + expected_work(option, work);
}

std::optional<placement> place(std::span<const candidate> candidates,
                               const work_time& work, const time_left& left,
                               const placement_costs& costs)
{
    std::optional<placement> best;
    duration best_cost = duration::max();
    for (const candidate& option : candidates)
    {
        const duration expected = expected_completion(option, work, costs);
        const bool on_time = expected <= left.objective;
        if (expected > left.deadline || !has_room(option, on_time))
        {
            continue;
        }
        const duration cost =
            expected + crossing_cost(option.where, costs) +
            costs.rank_step * std::min(option.rank, most_ranks) +
            (on_time ? duration::zero() : costs.late) -
            (introduces(option) ? costs.first_request : duration::zero());
        if (cost < best_cost)
        {
            best_cost = cost;
            best = placement{option.target, expected, on_time,
                             option.object != object_state::cold};
        }
    }
    return best;
}

} // namespace siskinflow::gateway
