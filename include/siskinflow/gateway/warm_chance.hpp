/// @file
/// @brief Estimates how often a target holds an object.
#pragma once

#include <siskinflow/gateway/placement.hpp>

#include <array>

namespace siskinflow::gateway
{

/// @brief Measured probability of warm work, by object state and by the
/// target's position in the object's order.
class warm_chance
{
public:
    warm_chance();

    /// @brief Probability that the target is warm, from 0 to 1.
    double estimate(object_state state, unsigned rank) const;

    /// @brief Records whether a target was warm for one answer.
    void observe(object_state state, unsigned rank, bool warm);

private:
    static constexpr std::size_t state_count = 3;
    static constexpr std::size_t rank_count =
        3; ///< First, second, and further.

    static std::size_t rank_index(unsigned rank);

    std::array<std::array<double, rank_count>, state_count> chances_;
};

} // namespace siskinflow::gateway
