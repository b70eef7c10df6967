/// @file
/// @brief Monotonic time that also counts while the VM is suspended.
#pragma once

#include <chrono>

namespace siskinflow
{

/// @brief Length of time in nanoseconds.
using duration = std::chrono::nanoseconds;

/// @brief Tag of the time base shared by all implementations of `clock`.
struct boot_time_base
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time_base>;
    static constexpr bool is_steady = true;
};

/// @brief Instant on one VM's clock; not comparable between VMs.
using time_point = boot_time_base::time_point;

/// @brief Source of the current time. Decision code takes a `time_point`.
class clock
{
public:
    virtual ~clock() = default;

    /// @brief Current time.
    /// @return nanoseconds since an arbitrary start, never decreasing
    virtual time_point now() const = 0;
};

/// @brief CLOCK_BOOTTIME: a lease must also run out while a VM is suspended,
/// which CLOCK_MONOTONIC does not count.
class boot_clock final : public clock
{
public:
    time_point now() const override;
};

/// @brief Clock for tests that changes only when it is advanced.
class manual_clock final : public clock
{
public:
    time_point now() const override
    {
        return now_;
    }

    /// @brief Moves the clock forward.
    /// @param step how far; must not be negative
    void advance(duration step)
    {
        now_ += step;
    }

private:
    time_point now_{std::chrono::hours(1)};
};

/// @brief Seconds as a floating-point number, for rates.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// @brief Whole milliseconds, for log lines and messages.
constexpr long long to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace siskinflow
