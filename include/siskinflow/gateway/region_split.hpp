/// @file
/// @brief Fraction of a service's requests sent to other regions.
///
/// Load pattern: a third of the callers in a region with a tenth of the slots,
/// all targets cold at first. Requests are selected by object, so that an
/// object stays warm in the region it is sent to. The fraction changes slowly:
/// without a fault, traffic between regions must not shift by more than 15% in
/// 2 s. A sudden loss of slots in the region changes it immediately.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <optional>

namespace siskinflow::gateway
{

/// @brief Load of a service's usable targets inside and outside the region.
struct region_load
{
    double local_load = 0; ///< Running and queued requests.
    double local_slots = 0;
    double remote_load = 0;
    double remote_slots = 0;
};

/// @brief Decides which requests go to other regions.
class region_split
{
public:
    /// @brief Sets the initial fraction from the slots: while targets are cold,
    /// load is distributed in proportion to them.
    /// @param caller_fraction fraction of all callers that are in the region
    void start(const region_load& load, double caller_fraction, time_point now);

    /// @brief Adjusts the fraction to the current load.
    void update(const region_load& load, time_point now);

    /// @brief Whether a request goes to another region.
    /// @param object hash of its object; requests without one are selected
    /// evenly
    bool use_other_region(std::optional<std::uint64_t> object);

    /// @brief Records that a request found no room in its own region: the
    /// targets of its object are full before all of them are. The fraction
    /// grows if the other regions are less utilized.
    void on_no_room(time_point now);

    /// @brief Whether a request without room may leave the regions that the
    /// fraction assigns it to. Few may, as they add to the change of the
    /// fraction.
    bool may_overflow() const;

    /// @brief Records a request that did.
    void on_overflow();

    /// @brief Whether requests for an object go to another region.
    bool selects(std::uint64_t object) const;

    /// @brief Fraction of requests that go to other regions, from 0 to 1.
    double other_region_fraction() const
    {
        return other_region_fraction_;
    }

    bool started() const
    {
        return started_;
    }

private:
    bool started_ = false;
    double other_region_fraction_ = 0;
    double local_slots_ = 0;
    /// Sum of the fraction over requests without an object; one of them goes to
    /// another region each time it reaches 1.
    double fractional_requests_ = 0;
    double overflow_allowance_ = 0; ///< Requests that may overflow now.
    time_point updated_{};
    time_point no_room_at_{}; ///< Last request without room.
};

} // namespace siskinflow::gateway
