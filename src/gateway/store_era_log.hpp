/// @file
/// @brief Events and metrics of the store's eras; internal to the gateway.
#pragma once

#include <siskinflow/store/lease_store.hpp>
#include <siskinflow/telemetry/log.hpp>
#include <siskinflow/telemetry/metrics.hpp>

namespace siskinflow::gateway
{

/// @brief Logs each new era and, at most once a minute, answers of an era that
/// has ended. Counts the latter.
class store_era_log
{
public:
    /// @param store outlives this object, as do the others; it must not answer
    /// calls after the end of this object
    store_era_log(lease_store& store, const clock& time, event_log& log,
                  metrics& metric_set);

    /// @brief Sets the gauge of the era known.
    void update_gauge();

private:
    void on_old_era(std::uint64_t era);

    lease_store& store_;
    const clock& time_;
    event_log& log_;
    metrics& metric_set_;
    time_point next_line_at_{};
};

} // namespace siskinflow::gateway
