/// @file
/// @brief Decisions of a gateway that was told to stop.
#pragma once

#include <siskinflow/core/clock.hpp>

namespace siskinflow::gateway
{

/// @brief Divides the time between the stop signal and the kill.
///
/// A stopping VM still gets requests, because callers keep lookup answers and
/// all other VMs may be stopping too. It takes those that it can end in time,
/// and refuses the others before they run.
class planned_stop
{
public:
    /// @param requested_at when the stop was requested
    /// @param grace time from then until the process is killed
    planned_stop(time_point requested_at, duration grace);

    /// @brief Whether a request may be taken: it ends before the requests in
    /// progress are cut, or it arrives early enough to be given a chance.
    /// @param deadline latest end of the request
    bool accepts(time_point now, time_point deadline) const;

    /// @brief When requests that are still in progress are answered as failed.
    time_point cut_at() const
    {
        return cut_at_;
    }

    /// @brief When the process ends, even if answers are still being sent.
    time_point exit_at() const
    {
        return exit_at_;
    }

private:
    time_point long_requests_until_;
    time_point cut_at_;
    time_point exit_at_;
};

} // namespace siskinflow::gateway
