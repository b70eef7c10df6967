/// @file
/// @brief Limits how fast a route's traffic moves between regions.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::routing
{

/// @brief Shift cap of one route on this VM's requests.
///
/// Each region has a *ceiling*, the fraction of requests that may go to it now.
/// It rises by at most the cap, in percentage points per second, while the
/// region can't take a further request under it, and falls towards the region's
/// measured fraction while it is not used. Each offered request adds the
/// ceiling to the region's credit, and a request sent there subtracts 1 from
/// it. A request that waits adds the growth of the ceiling during its wait, so
/// that it contributes the ceiling of the time at which it is sent. Credit is
/// limited to 1 request plus the ceiling times the number of requests that wait
/// or were offered in the last 0.25 s; the excess is dropped.
///
/// Hence, for every window, the requests sent to a region number at most 1 plus
/// the ceiling at its start times the requests of the preceding 0.25 s, plus
/// the sum, over the requests that were offered or waiting in the window, of
/// the ceiling at its start plus the cap times the time since then. This holds
/// exactly for any traffic, also for a few requests per minute. A region that
/// received no requests has a ceiling of 0, so its traffic starts at the
/// beginning of the ramp, with one request in advance.
///
/// The measured fraction is a moving average over about a second and at least
/// 32 requests; the ceiling stays above it by two standard deviations of that
/// average, which is 0 for a region without requests. Requests refused for
/// lack of slots are not part of the average, because otherwise an overload of
/// the only region would lower its ceiling.
///
/// When the local region fails, the ceilings of the others start at their
/// present fractions, so requests beyond them wait or are refused as
/// `shift_capped`. The home region starts with a ceiling of 100%, and so does
/// every region of a route that has no target in the home region, because there
/// is no earlier distribution of requests that such a start would change.
class shift_limiter
{
public:
    /// @param home region of this VM
    /// @param regions regions with targets of the route
    /// @param cap_percent_per_s percentage points per second
    shift_limiter(std::string home, const std::vector<std::string>& regions,
                  double cap_percent_per_s, time_point now);
    ~shift_limiter();
    shift_limiter(shift_limiter&&) noexcept;
    shift_limiter& operator=(shift_limiter&&) noexcept;

    /// @brief Changes the cap and the regions; ceilings of regions that remain
    /// are kept, and a new region starts at 0.
    void configure(const std::vector<std::string>& regions,
                   double cap_percent_per_s, time_point now);

    /// @brief A request (or a retry) is offered. Exactly one call of `sent` or
    /// `withdrawn` follows.
    void offered(time_point now);

    /// @brief Whether a request that is offered may go to a region now.
    /// @return false also for an unknown region
    bool allows(std::string_view region, time_point now) const;

    /// @brief An offered request was sent to a region.
    void sent(std::string_view region, time_point now);

    /// @brief An offered request was refused or given up.
    /// @param shift_capped whether the limiter was the reason
    void withdrawn(bool shift_capped, time_point now);

    /// @brief Fraction of requests that may go to a region, from 0 to 1.
    double ceiling(std::string_view region, time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::routing
