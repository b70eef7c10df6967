#include "allocation.hpp"

namespace siskinflow
{

namespace
{

// `saturated` is set only after the condition has held this long. It must
// exceed `stale_after`: until then the demand of a VM that died is counted
// twice, at that VM and where its callers moved to.
constexpr duration saturation_delay = std::chrono::milliseconds(1600);

// A budget counts as used up if the tokens left in all shares are below this
// fraction of the burst.
constexpr double exhausted_fraction = 0.1;

// Waiting requests count as demand as if they were to be served in this time.
constexpr double backlog_time_s = 1.0;

// Differences below this fraction of an average share cause no grant: the
// first applies if no holder has a shortfall, the second if one has.
constexpr double change_threshold = 0.2;
constexpr double growth_threshold = 0.02;

// Holders that compete for scarce units are served in an order that changes at
// this interval, which is below `share_wait_limit`.
constexpr duration reorder_interval = std::chrono::seconds(2);

// Largest float that is not above the value: sizes travel as float, and the
// sum of the rounded shares must not exceed the capacity.
double round_down(double value)
{
    float rounded = static_cast<float>(value);
    if (double(rounded) > value)
    {
        rounded = std::nextafter(rounded, 0.0F);
    }
    return rounded;
}

double stale_size(const budget_state& state, time_point now)
{
    double sum = 0;
    for (const auto& [id, each] : state.holders)
    {
        sum += each.alive(now) ? 0 : each.charged_size();
    }
    return sum;
}

double stale_burst(const budget_state& state, time_point now)
{
    double sum = 0;
    for (const auto& [id, each] : state.holders)
    {
        sum += each.alive(now) ? 0 : each.charged_burst();
    }
    return sum;
}

// Max-min fair division by desired size; the remainder is divided in
// proportion to the desired sizes.
void divide_max_min(std::vector<allotment*>& list, double available)
{
    std::sort(list.begin(), list.end(),
              [](const allotment* a, const allotment* b)
              { return a->desired_size < b->desired_size; });
    double left = available;
    double total = 0;
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        const double fair = left / double(list.size() - i);
        list[i]->size = std::min(list[i]->desired_size, fair);
        left -= list[i]->size;
        total += list[i]->desired_size;
    }
    for (allotment* each : list)
    {
        each->size += total > 0 ? left * each->desired_size / total : 0;
    }
}

// Each holder's burst covers one request before the rest is divided; a
// share below that could never serve one.
std::vector<allotment*> reserve_one_request(std::vector<allotment>& all,
                                            double& burst)
{
    std::vector<allotment*> list;
    for (auto& each : all)
    {
        if (each.desired_size > 0)
        {
            list.push_back(&each);
        }
    }
    std::sort(list.begin(), list.end(),
              [](const allotment* a, const allotment* b)
              {
                  const bool a_waits = a->share->queued > 0;
                  const bool b_waits = b->share->queued > 0;
                  return a_waits != b_waits ? a_waits
                                            : a->order_key < b->order_key;
              });
    std::vector<allotment*> covered;
    for (allotment* each : list)
    {
        if (each->share->request_cost <= burst || covered.empty())
        {
            each->burst = std::min(each->share->request_cost, burst);
            burst -= each->burst;
            covered.push_back(each);
        }
    }
    return covered;
}

// Whether a holder has more demand, or a larger request, than its share
// covers.
bool has_shortfall(const allotment& each)
{
    const holder_share& share = *each.share;
    return each.desired_size > share.charged_size() ||
           (share.queued > 0 && share.request_cost > share.charged_burst());
}

// Max-min fair division of whole units.
void divide_units_max_min(std::vector<allotment>& list, double available)
{
    std::sort(list.begin(), list.end(),
              [](const allotment& a, const allotment& b)
              { return a.order_key < b.order_key; });
    double left = std::floor(available);
    bool progress = true;
    while (left > 0 && progress)
    {
        progress = false;
        // A step of more than one unit keeps the number of rounds small.
        const double step = std::max(
            1.0,
            std::floor(left / double(std::max<std::size_t>(1, list.size()))));
        for (auto& each : list)
        {
            const double units =
                std::min({step, left, each.desired_size - each.size});
            if (units >= 1)
            {
                each.size += units;
                left -= units;
                progress = true;
            }
        }
    }
}

// Units that the holder may use, without those that it holds only until their
// running requests end.
double granted_units(const holder_share& share)
{
    return share.grant_unconfirmed ? share.granted_size
                                   : std::min(share.reported_size, share.level);
}

// Gives units that no holder needs to holders with demand, so that their next
// requests need no new grant.
void distribute_remaining(std::vector<allotment>& all, double free_units)
{
    double total = 0;
    for (const auto& each : all)
    {
        total += each.share->grant_unconfirmed ? 0 : each.desired_size;
    }
    double left = free_units;
    for (auto& each : all)
    {
        if (!each.share->grant_unconfirmed && each.desired_size > 0)
        {
            const double units = std::min(
                left, std::ceil(free_units * each.desired_size / total));
            each.added_units += units;
            left -= units;
        }
    }
}

} // namespace

std::vector<allotment> allocation::desired_allotments(budget_state& state,
                                                      time_point now) const
{
    std::vector<allotment> list;
    const auto interval_index =
        static_cast<std::uint64_t>(now.time_since_epoch() / reorder_interval);
    for (auto& [id, share] : state.holders)
    {
        if (!share.alive(now))
        {
            continue;
        }
        allotment each;
        each.id = &id;
        each.share = &share;
        each.order_key = (state.id.value ^ id.low ^ interval_index) *
                         0x9E3779B97F4A7C15ULL; // Fibonacci hashing
        if (!share.leaving && members_.contains(id))
        {
            each.desired_size =
                state.is_rate()
                    ? share.demand +
                          share.queued * share.request_cost / backlog_time_s
                    : std::max(std::ceil(share.demand),
                               double(share.in_flight + share.queued));
        }
        list.push_back(each);
    }
    return list;
}

void allocation::allocate_rate(budget_state& state, time_point now) const
{
    auto all = desired_allotments(state, now);
    const double size =
        std::max(0.0, state.usable_size(now) - stale_size(state, now));
    double burst =
        std::max(0.0, state.usable_burst() - stale_burst(state, now));
    auto covered = reserve_one_request(all, burst);
    const bool over_capacity =
        state.sum_size > state.usable_size(now) * (1 + 1e-6) ||
        state.sum_burst > state.usable_burst() * (1 + 1e-6);
    if (covered.empty())
    {
        if (over_capacity)
        {
            shrink_all(state, all, now);
        }
        return;
    }
    divide_max_min(covered, size);
    double total = 0;
    for (const allotment* each : covered)
    {
        total += each->size;
    }
    for (allotment* each : covered)
    {
        each->burst += total > 0 ? burst * each->size / total : 0;
    }
    apply_rate(state, all, now);
}

// Without demand, shares above a reduced capacity shrink in proportion.
void allocation::shrink_all(budget_state& state, std::vector<allotment>& all,
                            time_point now) const
{
    const double size = state.sum_size;
    const double burst = state.sum_burst;
    const double size_ratio =
        size > 0 ? std::min(1.0, state.usable_size(now) / size) : 0;
    const double burst_ratio =
        burst > 0 ? std::min(1.0, state.usable_burst() / burst) : 0;
    for (auto& each : all)
    {
        if (!each.share->grant_unconfirmed)
        {
            set_grant_(
                state, each, round_down(each.share->reported_size * size_ratio),
                round_down(each.share->reported_burst * burst_ratio), now);
        }
    }
}

void allocation::apply_rate(budget_state& state, std::vector<allotment>& all,
                            time_point now) const
{
    double holders = 0;
    double shortfall = state.sum_size - state.usable_size(now);
    double burst_shortfall = state.sum_burst - state.usable_burst();
    for (const auto& each : all)
    {
        const holder_share& share = *each.share;
        holders += each.desired_size > 0 ? 1 : 0;
        if (share.grant_unconfirmed)
        {
            // The holder was already asked to give this back.
            shortfall -=
                std::max(0.0, share.reported_size - share.granted_size);
            burst_shortfall -=
                std::max(0.0, share.reported_burst - share.granted_burst);
        }
        if (has_shortfall(each))
        {
            shortfall += std::max(0.0, each.size - share.charged_size());
            burst_shortfall +=
                std::max(0.0, each.burst - share.charged_burst());
        }
    }
    const double average_size = state.usable_size(now) / std::max(1.0, holders);
    const double average_burst = state.usable_burst() / std::max(1.0, holders);
    // The largest surplus first, so that few shares change.
    std::sort(all.begin(), all.end(),
              [](const allotment& a, const allotment& b) {
                  return a.share->reported_size - a.size >
                         b.share->reported_size - b.size;
              });
    for (const auto& each : all)
    {
        holder_share& share = *each.share;
        const double surplus = share.reported_size - each.size;
        const double surplus_burst = share.reported_burst - each.burst;
        const double size_threshold =
            shortfall > 0 ? growth_threshold : change_threshold;
        const double burst_threshold =
            burst_shortfall > 0 ? growth_threshold : change_threshold;
        if (share.grant_unconfirmed ||
            (surplus <= size_threshold * average_size &&
             surplus_burst <= burst_threshold * average_burst))
        {
            continue;
        }
        set_grant_(state, each,
                   round_down(std::min(share.reported_size, each.size)),
                   round_down(std::min(share.reported_burst, each.burst)), now);
        shortfall -= std::max(0.0, surplus);
        burst_shortfall -= std::max(0.0, surplus_burst);
    }
    std::sort(all.begin(), all.end(),
              [](const allotment& a, const allotment& b)
              { return a.order_key < b.order_key; });
    for (const auto& each : all)
    {
        grow_rate(state, each, average_size, average_burst, now);
    }
}

void allocation::grow_rate(budget_state& state, const allotment& each,
                           double average_size, double average_burst,
                           time_point now) const
{
    holder_share& share = *each.share;
    if (share.grant_unconfirmed || each.desired_size <= 0)
    {
        return;
    }
    const double size =
        round_down(std::min(std::max(each.size, share.reported_size),
                            share.reported_size + state.pool.rate()));
    const double burst =
        round_down(std::min(std::max(each.burst, share.reported_burst),
                            share.reported_burst + state.pool.burst()));
    const double threshold =
        has_shortfall(each) ? growth_threshold : change_threshold;
    const bool significant =
        size - share.reported_size > threshold * average_size ||
        burst - share.reported_burst > threshold * average_burst;
    if (significant)
    {
        set_grant_(state, each, std::max(size, share.reported_size),
                   std::max(burst, share.reported_burst), now);
    }
}

void allocation::allocate_units(budget_state& state, time_point now) const
{
    auto all = desired_allotments(state, now);
    const double usable = std::floor(state.usable_size(now));
    divide_units_max_min(all, std::max(0.0, usable - stale_size(state, now)));
    double shortfall = std::max(0.0, state.sum_size - usable);
    // Negative while units are in use that no grant covers; their holder
    // may end them at any time, but must not use them again.
    double free_units = usable - state.sum_size;
    for (auto& each : all)
    {
        const holder_share& share = *each.share;
        const double need = std::max(0.0, each.size - granted_units(share));
        if (share.grant_unconfirmed)
        {
            shortfall += need;
            continue;
        }
        const double ungranted_units =
            share.charged_size() - granted_units(share);
        each.added_units = std::clamp(free_units + ungranted_units, 0.0, need);
        free_units -= std::max(0.0, each.added_units - ungranted_units);
        shortfall += need - each.added_units;
    }
    distribute_remaining(all, std::max(0.0, free_units));
    for (const auto& each : all)
    {
        if (each.added_units >= 1)
        {
            set_grant_(state, each,
                       granted_units(*each.share) + each.added_units, 0, now);
        }
    }
    reclaim_units(state, all, shortfall, now);
}

// Asks for units back, from the largest surplus first. Units that were
// asked back before and are still in use count as already reclaimed.
void allocation::reclaim_units(budget_state& state, std::vector<allotment>& all,
                               double shortfall, time_point now) const
{
    for (const auto& each : all)
    {
        const holder_share& share = *each.share;
        if (share.grant_sequence > 0 &&
            share.granted_size < share.reported_size)
        {
            shortfall -= share.reported_size - share.granted_size;
        }
    }
    std::sort(all.begin(), all.end(),
              [](const allotment& a, const allotment& b) {
                  return a.share->reported_size - a.size >
                         b.share->reported_size - b.size;
              });
    for (auto& each : all)
    {
        holder_share& share = *each.share;
        const double surplus = share.reported_size - each.size;
        const bool draining = share.grant_sequence > 0 &&
                              share.granted_size < share.reported_size;
        if (shortfall < 1 || surplus < 1)
        {
            break;
        }
        if (!share.grant_unconfirmed && !draining)
        {
            const double reclaimed = std::min(surplus, shortfall);
            set_grant_(state, each, share.reported_size - reclaimed, 0, now);
            shortfall -= reclaimed;
        }
    }
}

void update_saturation(budget_state& state, time_point now)
{
    double demand = 0;
    double level = std::max(0.0, state.pool.level(now));
    double largest_cost = 0;
    double in_use = 0;
    bool unknown = state.taking_over;
    for (const auto& [id, each] : state.holders)
    {
        if (!each.alive(now))
        {
            unknown = unknown || each.charged_size() > 0;
            continue;
        }
        demand += each.demand;
        in_use += each.in_flight;
        level += std::max(0.0, each.level);
        largest_cost = std::max(largest_cost, each.request_cost);
    }
    const double capacity = state.capacity(now);
    const bool used_up =
        state.is_rate()
            ? demand > capacity &&
                  level < std::max(largest_cost,
                                   exhausted_fraction * state.spec.burst)
            : in_use >= capacity;
    if (unknown || !used_up)
    {
        state.used_up_since.reset();
        state.saturated = false;
        return;
    }
    if (!state.used_up_since)
    {
        state.used_up_since = now;
    }
    state.saturated = now - *state.used_up_since >= saturation_delay;
}

} // namespace siskinflow
