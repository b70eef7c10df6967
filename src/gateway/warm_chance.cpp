#include <siskinflow/gateway/warm_chance.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Weight of one answer.
constexpr double weight = 1.0 / 32;
/// Chances before anything is known: by state.
constexpr double first_cold = 0.05;
constexpr double first_likely = 0.3;
constexpr double first_recent = 0.9;

} // namespace

warm_chance::warm_chance()
{
    const std::array<double, states> first = {first_cold, first_likely,
                                              first_recent};
    for (std::size_t state = 0; state < states; ++state)
    {
        chances_[state].fill(first[state]);
    }
}

std::size_t warm_chance::rank_index(unsigned rank)
{
    return std::min<std::size_t>(rank, ranks - 1);
}

double warm_chance::of(object_state state, unsigned rank) const
{
    return chances_[static_cast<std::size_t>(state)][rank_index(rank)];
}

void warm_chance::observe(object_state state, unsigned rank, bool warm)
{
    double& chance =
        chances_[static_cast<std::size_t>(state)][rank_index(rank)];
    chance += weight * ((warm ? 1 : 0) - chance);
}

} // namespace siskinflow::gateway
