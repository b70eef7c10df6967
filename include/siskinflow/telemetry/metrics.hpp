/// @file
/// @brief Labelled metrics in the Prometheus text format.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/telemetry/metric_id.hpp>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief A value that never decreases.
class metric_counter
{
public:
    void add(std::uint64_t count = 1)
    {
        value_ += count;
    }

    /// @brief Raises the value to one counted elsewhere; ignores a smaller one.
    void raise_to(std::uint64_t value)
    {
        value_ = value > value_ ? value : value_;
    }

    std::uint64_t value() const
    {
        return value_;
    }

private:
    std::uint64_t value_ = 0;
};

/// @brief A current value.
class metric_gauge
{
public:
    void set(double value)
    {
        value_ = value;
    }

    void add(double change)
    {
        value_ += change;
    }

    double value() const
    {
        return value_;
    }

private:
    double value_ = 0;
};

/// @brief Distribution of durations.
class metric_latency
{
public:
    metric_latency();
    ~metric_latency();
    metric_latency(const metric_latency&) = delete;
    metric_latency& operator=(const metric_latency&) = delete;

    /// @brief Adds a duration.
    void observe(duration value);

    /// @brief Quantile of the last complete window, or of the current one
    /// if none is complete yet.
    /// @param probability 0.5, 0.9 or 0.99
    /// @return seconds, NaN if nothing was observed
    double quantile(double probability) const;

    /// @brief Durations observed since the start.
    std::uint64_t count() const;

    /// @brief Sum of the durations since the start in seconds.
    double sum() const;

    /// @brief Starts a new window if the current one has lasted a minute.
    void rotate(time_point now);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief All series of a process. Handles are resolved once and stay valid
/// for the life of the registry.
class metrics
{
public:
    /// @brief Series of one metric; further label values share the series
    /// whose labels are all `other`, so that names sent by callers can't fill
    /// the memory.
    static constexpr std::size_t max_series = 2048;

    using label_values = std::initializer_list<std::string_view>;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @brief Resolves the handle of a counter.
    /// @param id a metric of kind `counter`; another kind ends the process
    /// @param labels one value for each label of the metric
    metric_counter& counter(metric_id id, label_values labels = {});

    /// @brief Resolves the handle of a gauge.
    metric_gauge& gauge(metric_id id, label_values labels = {});

    /// @brief Resolves the handle of a summary.
    metric_latency& latency(metric_id id, label_values labels = {});

    /// @brief Text format, version 0.0.4.
    std::string render(time_point now);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
