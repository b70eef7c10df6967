#include <siskinflow/gateway/planned_stop.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Time after the stop signal in which requests are taken that may outlast the
/// grace time. Callers accept that a request sent up to 3 s after the signal is
/// cut at the end; one sent later must not be.
constexpr duration long_request_time = std::chrono::milliseconds(2700);
/// Time before the kill at which requests in progress are answered, and at
/// which the process ends. Shorter for short grace times.
constexpr duration cut_margin = std::chrono::milliseconds(700);
constexpr duration exit_margin = std::chrono::milliseconds(200);
constexpr int min_grace_per_cut_margin = 4;
constexpr int min_grace_per_exit_margin = 12;

} // namespace

planned_stop::planned_stop(time_point requested_at, duration grace)
    : long_requests_until_(requested_at +
                           std::min(long_request_time, grace / 2)),
      cut_at_(requested_at + grace -
              std::min(cut_margin, grace / min_grace_per_cut_margin)),
      exit_at_(requested_at + grace -
               std::min(exit_margin, grace / min_grace_per_exit_margin))
{
}

bool planned_stop::accepts(time_point now, time_point deadline) const
{
    return deadline <= cut_at_ || now < long_requests_until_;
}

} // namespace siskinflow::gateway
