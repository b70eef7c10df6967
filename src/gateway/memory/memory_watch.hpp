/// @file
/// @brief Shows operators what callers hold, and gives memory back.
#pragma once

#include "memory_return.hpp"
#include <siskinflow/net/memory_budget.hpp>
#include <siskinflow/telemetry/log.hpp>
#include <siskinflow/telemetry/metrics.hpp>

#include <cstddef>
#include <cstdint>

namespace siskinflow::gateway
{

/// @brief Connections of callers.
struct caller_connections_seen
{
    std::size_t open = 0;
    std::size_t limit = 0;
    std::uint64_t refused = 0; ///< Since the start.
};

/// @brief Looks at the memory budget from time to time.
class memory_watch
{
public:
    memory_watch(const net::memory_budget& budget, event_log& log,
                 metrics& metric_set);

    /// @brief Logs what has become scarce since the last check, and gives
    /// memory back if much was freed.
    void check(const caller_connections_seen& callers, time_point now);

    /// @brief Brings the metrics up to date.
    void set_metrics(const caller_connections_seen& callers);

private:
    void log_memory();
    void log_connections(const caller_connections_seen& callers);

    const net::memory_budget& budget_;
    event_log& log_;
    metrics& metrics_;
    memory_return_state return_state_;
    std::uint64_t known_evictions_ = 0;
    std::uint64_t known_waits_ = 0;
    std::uint64_t known_refused_ = 0;
};

} // namespace siskinflow::gateway
