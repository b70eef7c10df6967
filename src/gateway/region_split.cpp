#include <siskinflow/gateway/region_split.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Change of the part in a second. The limit is 15% in 2 s over all VMs of a
/// region, whose parts do not move in step.
constexpr double change_per_s = 0.055;
/// Load of the region's slots above which more leaves, and below which more
/// stays.
constexpr double high_load = 0.95;
constexpr double low_load = 0.72;
/// Lead that the other regions must have for more to leave.
constexpr double least_lead = 0.1;
/// Loss of slots at once from which the part follows at once.
constexpr double sudden_loss = 0.1;

double ratio(double load, double slots)
{
    constexpr double overloaded = 10;
    return slots > 0 ? load / slots : overloaded;
}

} // namespace

void region_split::start(const region_load& load, double caller_part,
                         time_point now)
{
    started_ = true;
    updated_ = now;
    home_slots_ = load.home_slots;
    const double slots = load.home_slots + load.away_slots;
    if (slots <= 0 || caller_part <= 0)
    {
        return;
    }
    const double stays = load.home_slots / slots / caller_part;
    part_ = std::clamp(1 - stays, 0.0, 1.0);
}

void region_split::update(const region_load& load, time_point now)
{
    const double step = change_per_s * to_seconds(now - updated_);
    updated_ = now;
    if (load.home_slots < home_slots_ * (1 - sudden_loss))
    {
        part_ = 1 - (1 - part_) * load.home_slots / home_slots_;
    }
    home_slots_ = load.home_slots;
    const double home = ratio(load.home_load, load.home_slots);
    const double away = ratio(load.away_load, load.away_slots);
    if (home > high_load && away < home - least_lead)
    {
        part_ += step;
    }
    else if (home < low_load || away > home)
    {
        part_ -= step;
    }
    part_ = std::clamp(part_, 0.0, load.away_slots > 0 ? 1.0 : 0.0);
}

bool region_split::leaves(std::optional<std::uint64_t> object)
{
    if (object)
    {
        constexpr std::uint64_t steps = 10000;
        return static_cast<double>(*object % steps) < part_ * steps;
    }
    credit_ += part_;
    const bool out = credit_ >= 1;
    credit_ -= out ? 1 : 0;
    return out;
}

} // namespace siskinflow::gateway
