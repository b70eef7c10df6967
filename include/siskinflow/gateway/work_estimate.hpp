/// @file
/// @brief Estimates the work time of a route's requests.
#pragma once

#include <siskinflow/gateway/placement.hpp>

namespace siskinflow::gateway
{

/// @brief Circumstances of an answered attempt.
struct attempt_conditions
{
    bool target_queued = false;  ///< The target had no free slot.
    bool target_cold = false;    ///< The target is warming up after its start.
    bool route_affinity = false; ///< The route's targets hold objects.
    bool has_object = false;     ///< The request names its object.
};

/// @brief Whether the duration of an attempt measures the work of its route. On
/// a route with objects, a request that names none does other work: checks by
/// operators take a few milliseconds and would make their target seem fast
/// enough to answer on time without the object.
bool measures_work(const attempt_conditions& conditions);

/// @brief Moving averages of cold and warm work time.
class work_estimate
{
public:
    /// @brief Derives the initial estimate from the route's objective: most
    /// cold work takes slightly longer than the objective, most warm work well
    /// under half of it, and all work ends within the route's timeout.
    work_estimate(duration objective, duration timeout);

    /// @brief Adds the work time of a request that did not queue at its target.
    /// @param elapsed time from sending to the complete answer, without the
    /// network round trip
    /// @param expected_warm whether the target was expected to be warm
    /// @return whether the elapsed time indicates a warm target
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
