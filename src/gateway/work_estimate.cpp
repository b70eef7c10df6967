#include <siskinflow/gateway/work_estimate.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Weight of one observation.
constexpr int average_length = 16;

void approach(duration& average, duration value)
{
    average += (value - average) / average_length;
}

} // namespace

work_estimate::work_estimate(duration objective, duration timeout)
    : current_{std::min(objective * 5 / 4, timeout * 3 / 4),
               std::min(objective * 2 / 5, timeout / 4)}
{
}

bool work_estimate::observe(duration taken, bool expected_warm)
{
    const duration middle = (current_.cold + current_.warm) / 2;
    const bool warm = taken < middle;
    if (warm)
    {
        approach(current_.warm, taken);
    }
    else if (!expected_warm)
    {
        // A slow answer of a target that was expected to be warm may come from
        // a target that has turned slow; it says nothing of the work.
        approach(current_.cold, taken);
    }
    return warm;
}

} // namespace siskinflow::gateway
