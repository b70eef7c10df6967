#include <siskinflow/gateway/region_split.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Change of the fraction per second. The limit is 15% in 2 s over all VMs of a
/// region, whose fractions do not change in step.
constexpr double change_per_s = 0.055;
/// Utilization of the region above which the fraction grows, and below which it
/// shrinks.
constexpr double high_utilization = 0.95;
constexpr double low_utilization = 0.72;
/// Utilization by which the other regions must be lower for the fraction to
/// grow.
constexpr double min_utilization_difference = 0.1;
/// Time for which a request that found no room lets the fraction grow.
constexpr duration room_time = std::chrono::seconds(2);
/// Share of the requests that may overflow, and how many at once.
constexpr double overflow_share = 0.03;
constexpr double max_overflow_allowance = 3;
/// Relative loss of slots between two updates from which the fraction is
/// adjusted immediately.
constexpr double sudden_slot_loss = 0.1;

double utilization(double load, double slots)
{
    constexpr double utilization_without_slots = 10;
    return slots > 0 ? load / slots : utilization_without_slots;
}

} // namespace

void region_split::start(const region_load& load, double caller_fraction,
                         time_point now)
{
    started_ = true;
    updated_ = now;
    local_slots_ = load.local_slots;
    const double slots = load.local_slots + load.remote_slots;
    if (slots <= 0 || caller_fraction <= 0)
    {
        return;
    }
    const double local_fraction = load.local_slots / slots / caller_fraction;
    other_region_fraction_ = std::clamp(1 - local_fraction, 0.0, 1.0);
}

void region_split::update(const region_load& load, time_point now)
{
    const double change = change_per_s * to_seconds(now - updated_);
    updated_ = now;
    if (load.local_slots < local_slots_ * (1 - sudden_slot_loss))
    {
        other_region_fraction_ =
            1 - (1 - other_region_fraction_) * load.local_slots / local_slots_;
    }
    local_slots_ = load.local_slots;
    const double local = utilization(load.local_load, load.local_slots);
    const double remote = utilization(load.remote_load, load.remote_slots);
    const bool short_of_room = now - no_room_at_ < room_time;
    // While all regions are overloaded, each of them finds no room at times.
    // Moving objects between them would only make their targets cold.
    const bool others_have_room = remote < local - min_utilization_difference;
    if ((short_of_room || local > high_utilization) && others_have_room)
    {
        other_region_fraction_ += change;
    }
    else if (local < low_utilization || remote > local)
    {
        other_region_fraction_ -= change;
    }
    other_region_fraction_ = std::clamp(other_region_fraction_, 0.0,
                                        load.remote_slots > 0 ? 1.0 : 0.0);
}

void region_split::on_no_room(time_point now)
{
    no_room_at_ = now;
}

bool region_split::may_overflow() const
{
    return overflow_allowance_ >= 1;
}

void region_split::on_overflow()
{
    overflow_allowance_ -= 1;
}

bool region_split::selects(std::uint64_t object) const
{
    constexpr std::uint64_t hash_buckets = 10000;
    return static_cast<double>(object % hash_buckets) <
           other_region_fraction_ * hash_buckets;
}

bool region_split::use_other_region(std::optional<std::uint64_t> object)
{
    overflow_allowance_ =
        std::min(overflow_allowance_ + overflow_share, max_overflow_allowance);
    if (object)
    {
        return selects(*object);
    }
    fractional_requests_ += other_region_fraction_;
    const bool use_other = fractional_requests_ >= 1;
    fractional_requests_ -= use_other ? 1 : 0;
    return use_other;
}

} // namespace siskinflow::gateway
