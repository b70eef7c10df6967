/// @file
/// @brief Token bucket that splits and merges without creating tokens.
#pragma once

#include <siskinflow/core/clock.hpp>

namespace siskinflow
{

/// @brief Token bucket with a rate, a burst and a level.
///
/// Rate, burst and level are each conserved by `split` and `merge`, so the
/// tokens taken from all parts of a bucket in any window are at most
/// rate x window + burst of the whole.
class bucket
{
public:
    bucket() = default;

    /// @param rate tokens per second
    /// @param burst most tokens that the bucket holds
    /// @param level tokens at `now`, cut off at `burst`
    bucket(double rate, double burst, double level, time_point now);

    double rate() const
    {
        return rate_;
    }
    double burst() const
    {
        return burst_;
    }

    /// @brief Tokens at a time; negative after `settle` with a debt.
    double level(time_point now) const;

    /// @brief Takes tokens if there are enough.
    /// @return whether they were taken
    bool try_take(double amount, time_point now);

    /// @brief Time until `try_take` can succeed.
    /// @return `duration::max()` if it never can with this rate and burst
    duration time_until_available(double amount, time_point now) const;

    /// @brief Charges or, if negative, gives back tokens after the fact. The
    /// level may become negative.
    void settle(double amount, time_point now);

    /// @brief Adds tokens that were taken from another bucket.
    /// @return the tokens that did not fit
    double add(double amount, time_point now);

    /// @brief Changes rate and burst without adding tokens.
    /// @return the tokens that no longer fit
    double resize(double rate, double burst, time_point now);

    /// @brief Splits off a part; its share of the level is proportional to its
    /// burst.
    /// @param rate cut off at the bucket's rate
    /// @param burst cut off at the bucket's burst
    bucket split(double rate, double burst, time_point now);

    /// @brief Adds the rate, burst and level of a part that was split off.
    void merge(const bucket& part, time_point now);

private:
    void refill(time_point now);

    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    time_point updated_{};
};

} // namespace siskinflow
