/// @file
/// @brief Observations of one target; internal to `routing`.
#pragma once

#include <siskinflow/routing/target_health.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow::routing
{

namespace acc = boost::accumulators;

/// Quantile of the latency that is compared between targets.
constexpr double latency_quantile = 0.9;

/// @brief Latencies and errors of the attempts within a period.
struct observation_window
{
    using latency_set = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;
    using error_set =
        acc::accumulator_set<double,
                             acc::stats<acc::tag::count, acc::tag::mean>>;

    latency_set latency{acc::quantile_probability = latency_quantile};
    error_set errors;
};

/// @brief What is known of a target, and its ejection.
struct health_record
{
    std::string name;
    health_state state = health_state::healthy;
    bool in_service = true;
    bool draining = false;
    bool probed_by_requests = false; ///< Serves an idempotent route.
    std::vector<std::size_t> routes; ///< Positions in the configuration.

    observation_window current_window;
    observation_window previous_window;
    time_point window_start{};
    double latency_ewma_s = 0;
    std::uint32_t consecutive_failures = 0;
    std::optional<time_point> last_success;
    std::optional<time_point> last_shed;

    std::optional<load_hint> hint;
    time_point hint_requested_at{};
    std::uint32_t consecutive_hint_failures = 0;

    duration warm_up{0};
    std::optional<time_point> cold_since;

    time_point ejected_at{};
    time_point next_probe_at{};
    time_point probe_started{};
    duration backoff{0};
    /// Since the last successful probe.
    std::uint32_t consecutive_ejections = 0;
};

/// @brief Number of attempts in both windows.
std::uint64_t sample_count(const health_record& target);

/// @brief Fraction of failed attempts in both windows, 0 without attempts.
double error_rate_of(const health_record& target);

/// @brief Latency quantile of the newest window that has enough samples.
/// @return seconds, or nothing if neither window has enough
std::optional<double> latency_of(const health_record& target,
                                 std::uint32_t min_samples);

/// @brief Starts new windows if the current one is over.
/// @param window length of a window
void rotate_windows(health_record& target, duration window, time_point now);

/// @brief Counts an attempt that was not shed or cancelled.
/// @param window length of a window
void add_sample(health_record& target, attempt_outcome outcome,
                duration latency, duration window, time_point now);

/// @brief Forgets the attempts and failures, not the hints.
void reset_observations(health_record& target);

} // namespace siskinflow::routing
