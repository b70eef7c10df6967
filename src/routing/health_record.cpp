#include "health_record.hpp"

#include <algorithm>

namespace siskinflow::routing
{

namespace
{

/// Weight of the newest latency in the moving average.
constexpr double ewma_weight = 0.1;

} // namespace

std::uint64_t sample_count(const health_record& target)
{
    return acc::count(target.current_window.errors) +
           acc::count(target.previous_window.errors);
}

double error_rate_of(const health_record& target)
{
    const auto current_count =
        static_cast<double>(acc::count(target.current_window.errors));
    const auto previous_count =
        static_cast<double>(acc::count(target.previous_window.errors));
    const double total = current_count + previous_count;
    const double errors =
        (current_count > 0
             ? current_count * acc::mean(target.current_window.errors)
             : 0) +
        (previous_count > 0
             ? previous_count * acc::mean(target.previous_window.errors)
             : 0);
    return total > 0 ? errors / total : 0;
}

std::optional<double> latency_of(const health_record& target,
                                 std::uint32_t min_samples)
{
    for (const auto* window : {&target.current_window, &target.previous_window})
    {
        if (acc::count(window->latency) >= std::max(min_samples, 1U))
        {
            return acc::p_square_quantile(window->latency);
        }
    }
    return std::nullopt;
}

void rotate_windows(health_record& target, duration window, time_point now)
{
    if (now - target.window_start < window)
    {
        return;
    }
    const bool adjacent = now - target.window_start < 2 * window;
    target.previous_window =
        adjacent ? target.current_window : observation_window();
    target.current_window = observation_window();
    target.window_start = now;
}

void add_sample(health_record& target, attempt_outcome outcome,
                duration latency, duration window, time_point now)
{
    const bool succeeded = outcome == attempt_outcome::success;
    rotate_windows(target, window, now);
    target.current_window.errors(succeeded ? 0.0 : 1.0);
    if (!succeeded)
    {
        ++target.consecutive_failures;
        return;
    }
    const double seconds = to_seconds(latency);
    target.current_window.latency(seconds);
    target.latency_ewma_s =
        target.latency_ewma_s == 0
            ? seconds
            : target.latency_ewma_s +
                  ewma_weight * (seconds - target.latency_ewma_s);
    target.consecutive_failures = 0;
    target.consecutive_hint_failures = 0;
    target.last_success = now;
}

void reset_observations(health_record& target)
{
    target.current_window = observation_window();
    target.previous_window = observation_window();
    target.consecutive_failures = 0;
    target.consecutive_hint_failures = 0;
}

} // namespace siskinflow::routing
