/// @file
/// @brief Learns how often a target has an object at hand.
#pragma once

#include <siskinflow/gateway/placement.hpp>

#include <array>

namespace siskinflow::gateway
{

/// @brief Measured chance of warm work, by what is known of the object and by
/// the target's position in the order of the object.
class warm_chance
{
public:
    warm_chance();

    /// @brief Chance that the target does warm work, from 0 to 1.
    double estimate(object_state state, unsigned rank) const;

    /// @brief Adds what one answer has shown.
    void observe(object_state state, unsigned rank, bool warm);

private:
    static constexpr std::size_t state_count = 3;
    static constexpr std::size_t rank_count =
        3; ///< First, second, and further.

    static std::size_t rank_index(unsigned rank);

    std::array<std::array<double, rank_count>, state_count> chances_;
};

} // namespace siskinflow::gateway
