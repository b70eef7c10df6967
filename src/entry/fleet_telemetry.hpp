/// @file
/// @brief Reports the state of fleet, store and drains as events and metrics.
#pragma once

#include <siskinflow/entry/data_path.hpp>
#include <siskinflow/fleet/fleet_node.hpp>
#include <siskinflow/telemetry/log.hpp>
#include <siskinflow/telemetry/metrics.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace siskinflow::entry
{

/// @brief Reports changes of counts and states since the last call.
class fleet_telemetry
{
public:
    fleet_telemetry(metrics& registry, event_log& log);

    /// @brief To be called about once per second.
    void update(const fleet_node& fleet, const data_path& path,
                const budget_node& budgets, time_point now);

private:
    void report_store_availability(const distributor_counts& counts,
                                   time_point now);
    void report_stale_revisions(const fleet_node& fleet);
    void report_drains(const data_path& path, time_point now);
    void set_gauges(const fleet_node& fleet, const data_path& path,
                    const budget_node& budgets, time_point now);

    metrics& registry_;
    event_log& log_;
    distributor_counts last_counts_;
    std::optional<time_point> store_down_since_;
    std::map<std::string, time_point> drain_started_at_;
    std::set<std::string> drained_;
};

} // namespace siskinflow::entry
