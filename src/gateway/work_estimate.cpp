#include <siskinflow/gateway/work_estimate.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Weight of one observation is 1 / `averaging_divisor`.
constexpr int averaging_divisor = 16;

void update_average(duration& average, duration value)
{
    average += (value - average) / averaging_divisor;
}

} // namespace

bool measures_work(const attempt_conditions& conditions)
{
    const bool comparable = conditions.has_object || !conditions.route_affinity;
    return comparable && !conditions.target_queued && !conditions.target_cold;
}

work_estimate::work_estimate(duration objective, duration timeout)
    : current_{std::min(objective * 5 / 4, timeout * 3 / 4),
               std::min(objective * 2 / 5, timeout / 4)}
{
}

bool work_estimate::observe(duration elapsed, bool expected_warm)
{
    const duration warm_limit = (current_.cold + current_.warm) / 2;
    const bool warm = elapsed < warm_limit;
    if (warm)
    {
        update_average(current_.warm, elapsed);
    }
    else if (!expected_warm)
    {
        // A slow answer from a target that was expected to be warm may mean
        // that the target itself is slow, so it is not counted as cold work.
        update_average(current_.cold, elapsed);
    }
    return warm;
}

} // namespace siskinflow::gateway
