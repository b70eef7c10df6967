/// @file
/// @brief State of `target_health`; internal to `routing`.
#pragma once

#include "health_record.hpp"
#include <siskinflow/core/state_chart.hpp>
#include <siskinflow/routing/target_health.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinflow::routing
{

/// @brief The targets of a configuration and the rules of their ejection.
struct target_health::impl
{
    using change_list = std::vector<health_change>;

    explicit impl(health_settings initial_settings);

    /// @brief Record of a target, null if the configuration has none.
    health_record* find(std::string_view target);

    /// @brief Changes a target's state if the chart has such a transition.
    void apply_event(health_record& target, health_event event,
                     health_reason reason, change_list& out);

    /// @brief Largest number of ejected targets of a route.
    std::size_t ejection_limit(std::size_t in_service) const;
    std::size_t ejected_count(std::size_t route) const;
    std::size_t in_service_count(std::size_t route) const;

    /// @brief Whether all routes of a target are below their limit.
    bool may_eject(const health_record& target) const;

    /// @brief Draws the backoff: full jitter under an exponentially growing
    /// bound, so that the VMs of the fleet don't probe a target at the same
    /// time.
    void start_backoff(health_record& target, time_point now,
                       random_source& rng) const;

    /// @brief Ejects a healthy target if its routes allow it.
    void try_eject(health_record& target, health_reason reason, time_point now,
                   random_source& rng, change_list& out);

    void finish_probe(health_record& target, bool succeeded,
                      health_reason reason, time_point now, random_source& rng,
                      change_list& out);

    /// @brief Resets the oldest ejections of every route that is over its
    /// limit.
    void enforce_ejection_limit(change_list& out);

    /// @brief The ejected target of a route that was ejected first; there must
    /// be one.
    health_record& oldest_ejection(std::size_t route);

    /// @brief Ejects the targets of a route whose error rate or latency is far
    /// above the median of the route.
    void eject_outliers(std::size_t route, time_point now, random_source& rng,
                        change_list& out);
    void eject_outlier(health_record& target,
                       std::optional<double> median_error_rate,
                       std::optional<double> median_latency, time_point now,
                       random_source& rng, change_list& out);

    /// @brief Fills `by_route` and `by_name` from the records.
    void index_routes();

    health_settings settings;
    state_chart chart;
    std::shared_ptr<const configuration> config;
    std::vector<health_record> records; ///< In the order of the configuration.
    std::unordered_map<std::string, target_index> by_name;
    std::vector<std::vector<target_index>> by_route;
};

} // namespace siskinflow::routing
