/// @file
/// @brief Timers over an abstract clock.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace siskinflow
{

/// @brief Identifies a pending timer; 0 means no timer.
using timer_id = std::uint64_t;

/// @brief Ordered set of one-shot callbacks, run by the owner of the loop.
class timer_queue
{
public:
    /// @brief Adds a one-shot timer.
    /// @param due when to run it
    /// @param callback what to run; may add and cancel timers
    /// @return the id for `cancel`
    timer_id schedule(time_point due, std::function<void()> callback);

    /// @brief Removes a timer; one that has run already is ignored.
    void cancel(timer_id id);

    /// @brief Runs every timer that is due.
    /// @param now the current time
    /// @return whether any timer was due
    bool run_due(time_point now);

    /// @brief When the earliest timer is due, if there is one.
    std::optional<time_point> next_due() const;

private:
    struct entry
    {
        timer_id id;
        std::function<void()> callback;
    };
    using entry_map = std::multimap<time_point, entry>;

    entry_map entries_;
    std::unordered_map<timer_id, entry_map::iterator> by_id_;
    timer_id last_id_ = 0;
};

} // namespace siskinflow
