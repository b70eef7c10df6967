/// @file
/// @brief When a mirror may call the store; internal to the store client.
#pragma once

#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>

#include <cstdint>
#include <random>

namespace siskinflow
{

/// @brief Budget of a mirror's calls and the pauses after failures.
///
/// Addresses the load of a store that refuses every call or answers it at once,
/// as one does that has returned from an older copy: 13,000 calls a second came
/// from one VM before calls were paced.
class call_pacing
{
public:
    /// @param seed of the jitter
    call_pacing(time_point now, std::uint64_t seed);

    /// @brief Takes a call from the budget.
    /// @return zero if it may be made now, or else the time until one may
    duration take_call(time_point now);

    /// @brief Charges calls that were made without asking, such as the further
    /// pages of a listing, or with a negative number gives calls back.
    void charge(double calls, time_point now);

    /// @brief Pause before a call is repeated; doubles with each failure.
    /// @param reason what the call failed with
    duration retry_pause(errc reason);

    /// @brief Pause before a listing that replaces a watch. It doubles until a
    /// watch succeeds.
    /// @param history_dropped the store has refused the watch; without that,
    /// the first listing needs no pause
    duration relist_pause(bool history_dropped);

    /// @brief A call has succeeded.
    void on_success();

    /// @brief A watch has succeeded.
    void on_watch_success();

private:
    duration with_jitter(duration pause, duration max);

    bucket budget_;
    std::minstd_rand random_;
    duration retry_;
    duration relist_;
};

} // namespace siskinflow
