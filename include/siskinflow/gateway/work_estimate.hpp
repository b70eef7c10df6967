/// @file
/// @brief Learns the work time of a route's requests.
#pragma once

#include <siskinflow/gateway/placement.hpp>

namespace siskinflow::gateway
{

/// @brief Moving averages of cold and warm work time.
class work_estimate
{
public:
    /// @brief Starts from the route's objective: most cold work takes a
    /// little longer than it, most warm work well under half, and all of it
    /// is done within the route's timeout.
    work_estimate(duration objective, duration timeout);

    /// @brief Adds the time of a request that did not queue at its target.
    /// @param elapsed from sending to the whole answer, without the trip
    /// @param expected_warm whether the target was expected to be warm
    /// @return whether the target was warm, by the time taken
    bool observe(duration elapsed, bool expected_warm);

    /// @brief Current estimate.
    work_time current() const
    {
        return current_;
    }

private:
    work_time current_;
};

} // namespace siskinflow::gateway
