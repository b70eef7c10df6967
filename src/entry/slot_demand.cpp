#include "slot_demand.hpp"

#include <random>

namespace siskinflow::entry
{

namespace
{

/// On average one request in this many signals demand for a further target.
constexpr std::uint64_t explore_interval = 16;

std::size_t pick_random(const std::vector<std::size_t>& from,
                        routing::random_source& rng)
{
    std::uniform_int_distribution<std::size_t> index(0, from.size() - 1);
    return from[index(rng)];
}

std::string link_key(std::string_view from, std::string_view to)
{
    return std::string(from) + ":" + std::string(to);
}

} // namespace

void slot_demand::configure(const configuration& config)
{
    first_target_ = config.targets.data();
    slot_budgets_.clear();
    active_targets_by_route_.clear();
    link_budgets_.clear();
    for (std::size_t i = 0; i < config.targets.size(); ++i)
    {
        const target_config& target = config.targets[i];
        slot_budgets_.emplace_back(slots_budget(target.name));
        if (target.state != target_state::active)
        {
            continue;
        }
        for (const std::string& route : target.routes)
        {
            active_targets_by_route_[route].push_back(i);
        }
    }
    for (const link_config& link : config.links)
    {
        link_budgets_.emplace(link_key(link.from_region, link.to_region),
                              link_budget(link.from_region, link.to_region));
    }
}

budget_id slot_demand::slot_budget(const target_config& target) const
{
    return slot_budgets_[static_cast<std::size_t>(&target - first_target_)];
}

/// Active targets of a route in a region, or in all if it has none there.
std::vector<std::size_t> slot_demand::candidates(const configuration& config,
                                                 const route_config& route,
                                                 std::string_view region) const
{
    const auto found = active_targets_by_route_.find(route.name);
    if (found == active_targets_by_route_.end())
    {
        return {};
    }
    std::vector<std::size_t> local;
    for (const std::size_t index : found->second)
    {
        if (config.targets[index].region == region)
        {
            local.push_back(index);
        }
    }
    return local.empty() ? found->second : local;
}

void slot_demand::signal_shortage(budget_node& budgets,
                                  const configuration& config,
                                  const route_config& route,
                                  std::string_view region, time_point now,
                                  routing::random_source& rng) const
{
    const auto local = candidates(config, route, region);
    if (local.empty())
    {
        return;
    }
    // One target in the local region and one in any region, so that requests
    // can spill over from a full region.
    signal_demand(budgets, pick_random(local, rng), now);
    signal_demand(budgets,
                  pick_random(active_targets_by_route_.at(route.name), rng),
                  now);
}

void slot_demand::signal_demand(budget_node& budgets, std::size_t target,
                                time_point now) const
{
    const budget_id budget = slot_budgets_[target];
    if (budgets.acquire(budget, now))
    {
        budgets.release(budget, now);
    }
}

void slot_demand::explore(budget_node& budgets, const configuration& config,
                          const route_config& route, std::string_view region,
                          time_point now, routing::random_source& rng) const
{
    if (rng() % explore_interval != 0)
    {
        return;
    }
    const auto pool = candidates(config, route, region);
    if (pool.empty())
    {
        return;
    }
    const std::size_t target = pick_random(pool, rng);
    if (budgets.shares().in_use(slot_budgets_[target]) == 0 &&
        budgets.shares().free_slots(slot_budgets_[target], now) == 0)
    {
        signal_demand(budgets, target, now);
    }
}

const budget_id* slot_demand::find_link_budget(std::string_view from,
                                               std::string_view to) const
{
    if (from == to)
    {
        return nullptr;
    }
    const auto found = link_budgets_.find(link_key(from, to));
    return found == link_budgets_.end() ? nullptr : &found->second;
}

bool slot_demand::link_allows(budget_node& budgets, std::string_view from,
                              std::string_view to, std::size_t bytes,
                              time_point now) const
{
    // The response is sent from the target's region to this VM's region.
    const budget_id* budget = find_link_budget(to, from);
    if (budget == nullptr)
    {
        return true;
    }
    if (budgets.shares().held(*budget, now).level >= static_cast<double>(bytes))
    {
        return true;
    }
    budgets.shares().count_arrival(*budget, static_cast<double>(bytes), now);
    return false;
}

void slot_demand::charge_link(budget_node& budgets, std::string_view from,
                              std::string_view to, std::size_t bytes,
                              time_point now) const
{
    if (const budget_id* budget = find_link_budget(to, from))
    {
        (void)budgets.take(*budget, static_cast<double>(bytes), now);
    }
}

void slot_demand::settle_link(budget_node& budgets, std::string_view from,
                              std::string_view to, std::size_t expected,
                              std::size_t actual, time_point now) const
{
    if (const budget_id* budget = find_link_budget(to, from))
    {
        budgets.shares().settle(
            *budget,
            static_cast<double>(actual) - static_cast<double>(expected), now);
    }
}

} // namespace siskinflow::entry
