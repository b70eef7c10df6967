/// @file
/// @brief Decides whether a request without a target waits for one.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/gateway/target_chooser.hpp>

namespace siskinflow::gateway
{

/// @brief A request that no target can take now.
struct wait_inputs
{
    choice_failure failure = choice_failure::no_room;
    duration expected{0};  ///< Until there is room.
    duration waited{0};    ///< In earlier waits.
    duration objective{0}; ///< Of its route.
    duration warm_work{0}; ///< At a target that holds its object.
    duration deadline{0};  ///< Until its caller stops waiting.
};

/// @brief Longest time that requests of a route wait for room.
inline duration max_wait(duration objective)
{
    constexpr int wait_divisor = 2;
    return objective / wait_divisor;
}

/// @brief Whether the request waits; otherwise it is refused at once.
inline bool may_wait(const wait_inputs& inputs)
{
    return inputs.failure != choice_failure::too_late &&
           inputs.waited + inputs.expected <= max_wait(inputs.objective) &&
           inputs.expected + inputs.warm_work <= inputs.deadline;
}

} // namespace siskinflow::gateway
