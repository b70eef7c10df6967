/// @file
/// @brief Access of the data path to the budgets of slots and links.
#pragma once

#include <siskinflow/budget/budget_node.hpp>
#include <siskinflow/config/configuration.hpp>
#include <siskinflow/routing/target_health.hpp>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinflow::entry
{

/// @brief Looks up budgets, charges link budgets, and signals demand for slots
/// to the budgets' owners. Budget names are resolved once per configuration.
class slot_demand
{
public:
    /// @brief Replaces the configuration, which must outlive every use of its
    /// targets with this object.
    void configure(const configuration& config);

    /// @brief Slot budget of a target of the configuration.
    budget_id slot_budget(const target_config& target) const;

    /// @brief Signals to the owners of some targets of a route that this VM is
    /// short of slots.
    void signal_shortage(budget_node& budgets, const configuration& config,
                         const route_config& route, std::string_view region,
                         time_point now, routing::random_source& rng) const;

    /// @brief Occasionally signals demand for a target of which this VM holds
    /// no slot. A VM that has enough slots would otherwise send all requests to
    /// the targets whose slots it requested first.
    void explore(budget_node& budgets, const configuration& config,
                 const route_config& route, std::string_view region,
                 time_point now, routing::random_source& rng) const;

    /// @brief Whether a link has budget for a response; always true for a link
    /// without a configured limit.
    bool link_allows(budget_node& budgets, std::string_view from,
                     std::string_view to, std::size_t bytes,
                     time_point now) const;

    /// @brief Charges a link with the expected bytes of a response.
    void charge_link(budget_node& budgets, std::string_view from,
                     std::string_view to, std::size_t bytes,
                     time_point now) const;

    /// @brief Replaces the expected bytes by the actual ones.
    void settle_link(budget_node& budgets, std::string_view from,
                     std::string_view to, std::size_t expected,
                     std::size_t actual, time_point now) const;

private:
    std::vector<std::size_t> candidates(const configuration& config,
                                        const route_config& route,
                                        std::string_view region) const;
    void signal_demand(budget_node& budgets, std::size_t target,
                       time_point now) const;
    const budget_id* find_link_budget(std::string_view from,
                                      std::string_view to) const;

    const target_config* first_target_ = nullptr;
    std::vector<budget_id> slot_budgets_;
    std::unordered_map<std::string, std::vector<std::size_t>>
        active_targets_by_route_;
    std::unordered_map<std::string, budget_id> link_budgets_;
};

} // namespace siskinflow::entry
