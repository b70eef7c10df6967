/// @file
/// @brief Part of a service's requests that leaves the VM's region.
///
/// Load pattern: a third of the callers in a region with a tenth of the slots,
/// all targets cold at first. The part is kept by object, so that an object
/// that leaves stays warm where it goes, and it moves slowly: traffic between
/// regions must not shift by more than 15% in 2 s without a fault. When slots
/// of the region are lost at once, the part follows at once.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <optional>

namespace siskinflow::gateway
{

/// @brief Load of a service's usable targets in and outside the region.
struct region_load
{
    double local_load = 0; ///< Requests that run or wait at targets.
    double local_slots = 0;
    double remote_load = 0;
    double remote_slots = 0;
};

/// @brief Decides which requests leave the region.
class region_split
{
public:
    /// @brief Takes the first part from the slots: with cold targets, load is
    /// to be spread as the slots are.
    /// @param caller_fraction part of all callers that are in the region
    void start(const region_load& load, double caller_fraction, time_point now);

    /// @brief Follows the load.
    void update(const region_load& load, time_point now);

    /// @brief Whether a request leaves the region.
    /// @param object hash of its object; without one, requests leave evenly
    bool use_other_region(std::optional<std::uint64_t> object);

    /// @brief Part of the requests that leave, from 0 to 1.
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
    double fractional_requests_ = 0; ///< Of requests without an object.
    time_point updated_{};
};

} // namespace siskinflow::gateway
