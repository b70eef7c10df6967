/// @file
/// @brief This VM's observations of targets, and their ejection.
#pragma once

#include <siskinflow/config/configuration.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/routing/load_hints.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::routing
{

/// @brief Random source of routing decisions.
using random_source = std::mt19937_64;

/// @brief Position of a target in `configuration::targets`.
using target_index = std::uint32_t;

/// @brief States of `charts/target_health.json`.
enum class health_state : std::uint8_t
{
    healthy,
    ejected, ///< Gets no requests until its backoff is over.
    probing, ///< One probe request is under way.
};

/// @brief Events of `charts/target_health.json`.
enum class health_event : std::uint8_t
{
    eject,   ///< Observations are far from the route's median.
    probe,   ///< A probe was sent.
    succeed, ///< The probe was answered.
    fail,    ///< The probe failed or was lost.
    reset,   ///< The ejection would exceed the limit of a route.
};

/// @brief Why a target changed its state.
enum class health_reason : std::uint8_t
{
    consecutive_failures,
    error_rate,
    latency,
    unreachable, ///< The health endpoint fails and no request succeeds.
    probe_sent,
    probe_succeeded,
    probe_failed,
    probe_lost,     ///< No outcome within `probe_timeout`.
    ejection_limit, ///< Too few targets of a route would remain.
};

/// @brief How a request to a target ended.
enum class attempt_outcome : std::uint8_t
{
    success,
    failure,   ///< Error status, broken or truncated response, no connection.
    timed_out, ///< The deadline passed while the target ran the request.
    shed,      ///< The target refused because of overload; no health failure.
    cancelled, ///< The caller left; says nothing about the target.
};

std::string_view name(health_state state) noexcept;
std::string_view name(health_event event) noexcept;
std::string_view name(health_reason reason) noexcept;
std::string_view name(attempt_outcome outcome) noexcept;

/// @brief A change of state, for logs and metrics.
struct health_change
{
    std::string target;
    health_state from = health_state::healthy;
    health_state to = health_state::healthy;
    health_reason reason = health_reason::probe_sent;
};

/// @brief Limits of ejection. `max_ejected_fraction` is a requirement of the
/// design, not a tuning value.
struct health_settings
{
    double max_ejected_fraction = 0.3; ///< Of a route's targets in service.
    std::uint32_t consecutive_failures = 5;
    std::uint32_t min_samples = 20; ///< Windows with fewer are ignored.
    double error_rate_margin = 0.3; ///< Above the route's median.
    double latency_factor = 3;      ///< Times the route's median.
    /// Latency below this never leads to ejection.
    duration latency_floor = std::chrono::milliseconds(20);
    duration window = std::chrono::seconds(5); ///< Length of one window.
    duration base_backoff = std::chrono::seconds(1);
    duration max_backoff = std::chrono::seconds(30);
    duration probe_timeout = std::chrono::seconds(10);
    /// A success within this time outweighs a failing health endpoint.
    duration recent_success_window = std::chrono::seconds(5);
    /// Failed calls of the health endpoint in a row that lead to ejection.
    std::uint32_t consecutive_hint_failures = 3;
};

/// @brief Observations of one target, for status pages and tests.
struct target_observation
{
    health_state state = health_state::healthy;
    bool leaving = false;          ///< According to the configuration.
    bool draining = false;         ///< According to its load report.
    std::uint64_t samples = 0;     ///< In the current and previous window.
    double error_rate = 0;         ///< 0 to 1, over both windows.
    double latency_ewma_s = 0;     ///< Seconds.
    double latency_quantile_s = 0; ///< 0.9 quantile in seconds.
    std::uint32_t consecutive_failures = 0;
    std::optional<load_hint> hint;
    duration hint_age{0};
    duration backoff{0}; ///< Length of the last backoff.
};

/// @brief Observations of all targets of a configuration. Not thread-safe.
///
/// A target is in service when it is neither leaving nor draining. Of the
/// targets of each route that are in service, at most `max_ejected_fraction`
/// are ejected or probing at a time, and never all; ejections over the limit
/// are reset, oldest first, when targets leave service. A target that reports
/// draining counts as draining until it reports the opposite. All other hints
/// rank below own observations: a failing health endpoint leads to ejection
/// only if no request has succeeded for `recent_success_window`, and an
/// answering one never ends an ejection.
class target_health
{
public:
    explicit target_health(health_settings settings = {});
    ~target_health();

    /// @brief Takes over a configuration; targets that remain keep their
    /// observations. A target that a later configuration adds starts cold if
    /// it has a warm-up time; those of the first one start warm, because a
    /// new VM can't know when they were started.
    std::vector<health_change>
    configure(std::shared_ptr<const configuration> config, time_point now);

    /// @brief The configuration in use, or null.
    const configuration* config() const;

    /// @brief Records how a request ended. For a target that is probing, the
    /// outcome also ends the probe.
    /// @param latency from dispatch to the first byte of the response
    std::vector<health_change> record(std::string_view target,
                                      attempt_outcome outcome, duration latency,
                                      time_point now, random_source& rng);

    /// @brief Records a load report.
    /// @param asked when the report was requested; reports requested before the
    /// latest recorded one are ignored
    /// @return ejections that are reset because the target started draining
    std::vector<health_change> record_hint(std::string_view target,
                                           const load_hint& hint,
                                           time_point requested_at);

    /// @brief Records that the health endpoint did not answer.
    std::vector<health_change> record_unreachable(std::string_view target,
                                                  time_point now,
                                                  random_source& rng);

    /// @brief Compares the targets of each route and ejects outliers; ends
    /// lost probes. To be called about once per second.
    std::vector<health_change> evaluate(time_point now, random_source& rng);

    /// @brief Marks an ejected target as probing when its probe is sent.
    /// @return the change, or nothing if no probe is due
    std::optional<health_change> begin_probe(std::string_view target,
                                             time_point now);

    /// @brief Ejected targets whose backoff is over and that serve no
    /// idempotent route. Requests can't probe them, so the caller probes their
    /// load endpoint, which is idempotent: `begin_probe`, then `record`.
    std::vector<std::string> endpoint_probes_due(time_point now) const;

    /// @brief Observations of a target, or nothing if it is unknown.
    std::optional<target_observation> observation(std::string_view target,
                                                  time_point now) const;

    /// @brief Whether a target may get requests.
    bool eligible(target_index target) const;

    /// @brief Whether an ejected target may get one idempotent request.
    bool probe_due(target_index target, time_point now) const;

    /// @brief Fraction of a target's slots to use, from 0 (just started) to 1.
    double warm_fraction(target_index target, time_point now) const;

    /// @brief Load in requests per slot that the target's report adds to own
    /// observations: the requests of others, at most 1, halved for each
    /// second of the report's age.
    /// @param own_in_flight this VM's requests at the target
    double reported_load(target_index target, std::uint32_t own_in_flight,
                         time_point now) const;

    /// @brief Penalty in requests per slot for recent failures and shedding
    /// of a target that is still eligible.
    double failure_penalty(target_index target, time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::routing
