#include <siskinflow/gateway/warm_chance.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Weight of one answer in the moving average.
constexpr double observation_weight = 1.0 / 32;
/// Initial probabilities by object state.
constexpr double initial_cold = 0.05;
constexpr double initial_likely = 0.3;
constexpr double initial_recent = 0.9;

} // namespace

warm_chance::warm_chance()
{
    const std::array<double, state_count> initial = {
        initial_cold, initial_likely, initial_recent};
    for (std::size_t state = 0; state < state_count; ++state)
    {
        chances_[state].fill(initial[state]);
    }
}

std::size_t warm_chance::rank_index(unsigned rank)
{
    return std::min<std::size_t>(rank, rank_count - 1);
}

double warm_chance::estimate(object_state state, unsigned rank) const
{
    return chances_[static_cast<std::size_t>(state)][rank_index(rank)];
}

void warm_chance::observe(object_state state, unsigned rank, bool warm)
{
    double& chance =
        chances_[static_cast<std::size_t>(state)][rank_index(rank)];
    chance += observation_weight * ((warm ? 1 : 0) - chance);
}

} // namespace siskinflow::gateway
