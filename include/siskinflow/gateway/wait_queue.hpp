/// @file
/// @brief Order and limits of the requests that wait for a target.
///
/// Load pattern: a burst or a loss of targets, during which more work arrives
/// than the targets can handle. Requests are placed by priority, then by
/// arrival; a request that would wait too long is refused on arrival, with the
/// time after which room is expected.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Identifies a waiting request.
using waiting_id = std::uint64_t;

/// @brief Priority of a waiting request; smaller values go first.
struct waiting_rank
{
    int organisation_priority = 0;
    int route_priority = 0;

    auto operator<=>(const waiting_rank&) const = default;
};

/// @brief The requests of one service that wait on this VM.
class wait_queue
{
public:
    /// @brief Records that a request was placed on a target, with or without
    /// waiting.
    void on_placed(time_point now);

    /// @brief Time that a new request of this rank would wait, estimated from
    /// the current placement rate.
    duration expected_wait(waiting_rank rank, time_point now) const;

    /// @brief Adds a request.
    void add(waiting_id id, waiting_rank rank, time_point arrived);

    /// @brief Removes a request that was placed or has stopped waiting.
    void remove(waiting_id id);

    /// @brief Ids in placement order.
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
