#include "call_pacing.hpp"

#include <algorithm>

namespace siskinflow
{

namespace
{

/// Least and greatest pause. Jitter at most doubles a pause.
constexpr duration min_pause = std::chrono::milliseconds(50);
/// Longer than for an unreachable store: calls that the store refuses load it,
/// while the end of a network partition should be noticed at once.
constexpr duration max_pause_refused = std::chrono::milliseconds(800);
constexpr duration max_pause_unreachable = std::chrono::milliseconds(200);
/// Calls that may be made at once, and per second. With the further pages of
/// one listing, of which `kv_store` reads at most 40, they stay below the 200
/// calls in a minute that one mirror may make.
constexpr double burst = 60;
constexpr double calls_per_s = 1.6;

} // namespace

call_pacing::call_pacing(time_point now, std::uint64_t seed)
    : budget_(calls_per_s, burst, burst, now),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      retry_(min_pause), relist_(min_pause)
{
}

duration call_pacing::take_call(time_point now)
{
    return budget_.try_take(1, now) ? duration::zero()
                                    : budget_.time_until_available(1, now);
}

void call_pacing::charge(double calls, time_point now)
{
    budget_.settle(calls, now);
}

duration call_pacing::retry_pause(errc reason)
{
    const duration max =
        reason == errc::timeout ? max_pause_unreachable : max_pause_refused;
    const duration out = with_jitter(retry_, max);
    retry_ = std::min(retry_ * 2, max_pause_refused);
    return out;
}

duration call_pacing::relist_pause(bool history_dropped)
{
    const bool at_once = !history_dropped && relist_ == min_pause;
    const duration out = with_jitter(relist_, max_pause_refused);
    relist_ = std::min(relist_ * 2, max_pause_refused);
    return at_once ? duration::zero() : out;
}

void call_pacing::on_success()
{
    retry_ = min_pause;
}

void call_pacing::on_watch_success()
{
    on_success();
    relist_ = min_pause;
}

duration call_pacing::with_jitter(duration pause, duration max)
{
    constexpr double max_factor = 2;
    const double factor =
        std::uniform_real_distribution<double>(1, max_factor)(random_);
    return std::min(std::chrono::duration_cast<duration>(pause * factor), max);
}

} // namespace siskinflow
