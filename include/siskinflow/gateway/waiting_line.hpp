/// @file
/// @brief Order and limits of the requests that wait for a target.
///
/// Load pattern: a burst, or targets lost, so that for some time more work
/// arrives than the targets can do. More urgent requests go first, then those
/// that came first; a request that would wait too long is refused when it
/// arrives, with the time after which there should be room.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Names a waiting request.
using waiting_id = std::uint64_t;

/// @brief Rank of a waiting request; a smaller one goes first.
struct waiting_rank
{
    int organisation_priority = 0;
    int route_priority = 0;

    auto operator<=>(const waiting_rank&) const = default;
};

/// @brief The requests of one service that wait on this VM.
class waiting_line
{
public:
    /// @brief A request left the line for a target, or found one at once.
    void on_placed(time_point now);

    /// @brief Time that a new request of this rank would wait, from the rate
    /// at which requests are placed now.
    duration expected_wait(waiting_rank rank, time_point now) const;

    /// @brief Adds a request.
    void add(waiting_id id, waiting_rank rank, time_point arrived);

    /// @brief Removes a request that was placed or given up.
    void remove(waiting_id id);

    /// @brief Ids in the order in which they are to be placed.
    std::vector<waiting_id> order() const;

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        waiting_rank rank;
        time_point arrived;
        waiting_id id = 0;

        auto operator<=>(const entry&) const = default;
    };

    double placements_per_s(time_point now) const;

    std::set<entry> entries_;
    double placement_rate_ =
        0; ///< Moving average of the rate at `rate_updated_at_`.
    time_point rate_updated_at_{};
};

} // namespace siskinflow::gateway
