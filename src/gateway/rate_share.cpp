#include <siskinflow/gateway/rate_share.hpp>

#include <algorithm>
#include <cmath>

namespace siskinflow::gateway
{

namespace
{

/// Time constant of the demand's moving average in seconds; slightly longer
/// than the time between two messages of a peer.
constexpr double demand_time_constant_s = 1;
/// Demand added to the real one of every VM, as a fraction of an even share, so
/// that the first requests on a VM are not refused.
constexpr double idle_demand_fraction = 0.2;
/// Time between updates of the fraction from the VM's own demand. Peers learn
/// of it with the next message; the excess until then is within the tolerance.
constexpr duration fraction_update_interval = std::chrono::milliseconds(40);
/// Burst of a paced VM, in requests.
constexpr double paced_burst = 1;
/// Fraction of the burst below which requests are paced.
constexpr double reserved_burst_fraction = 0.15;
/// Age of a report up to which the peer is assumed to keep spending at its
/// reported demand; a VM that is silent for longer can spend no more than its
/// fraction.
constexpr duration max_unreported_age = std::chrono::seconds(2);

} // namespace

bool rate_share::admit(time_point now)
{
    demand_ = demand(now) + 1 / demand_time_constant_s;
    demand_updated_at_ = now;
    if (now - fraction_updated_at_ >= fraction_update_interval)
    {
        update_fraction(now);
    }
    const double available =
        fleet_bucket_.level(now) - unreported_requests(now);
    const bool above_reserve =
        available >= 1 + burst_ * reserved_burst_fraction;
    const bool admitted = above_reserve || paced_bucket_.try_take(1, now);
    if (admitted)
    {
        fleet_bucket_.settle(1, now);
        ++admitted_;
    }
    return admitted;
}

duration rate_share::wait_time(time_point now) const
{
    return paced_bucket_.time_until_available(1, now);
}

double rate_share::demand(time_point now) const
{
    return demand_ * std::exp(-to_seconds(now - demand_updated_at_) /
                              demand_time_constant_s);
}

rate_report rate_share::report(time_point now) const
{
    return {admitted_, demand(now)};
}

void rate_share::on_report(const std::string& vm, std::uint64_t incarnation,
                           const rate_report& report, time_point now)
{
    const auto [position, first_report] = peers_.try_emplace(vm);
    peer& sender = position->second;
    std::uint32_t newly_admitted =
        report.admitted - sender.last_report.admitted;
    if (first_report)
    {
        newly_admitted = 0; // Spent before this VM kept a copy of the bucket.
    }
    else if (sender.incarnation != incarnation)
    {
        newly_admitted = report.admitted;
    }
    sender = {incarnation, report, now};
    fleet_bucket_.settle(newly_admitted, now);
}

/// Estimated requests that the peers have admitted since their last reports.
double rate_share::unreported_requests(time_point now) const
{
    double out = 0;
    for (const auto& [vm, entry] : peers_)
    {
        const duration age =
            std::min(now - entry.received_at, max_unreported_age);
        out += entry.last_report.demand_per_s * to_seconds(age);
    }
    return out;
}

void rate_share::update(double rate, double burst, std::size_t vms,
                        time_point now)
{
    rate_ = rate;
    burst_ = burst;
    vms_ = vms;
    if (!started_)
    {
        started_ = true;
        fleet_bucket_ = bucket(rate, burst, burst, now);
        paced_bucket_ =
            bucket(rate / static_cast<double>(std::max<std::size_t>(vms, 1)),
                   paced_burst, paced_burst, now);
    }
    fleet_bucket_.resize(rate, burst, now);
    update_fraction(now);
}

void rate_share::update_fraction(time_point now)
{
    fraction_updated_at_ = now;
    std::erase_if(peers_, [now](const auto& entry)
                  { return now - entry.second.received_at > demand_timeout; });
    double peer_demand = 0;
    for (const auto& [vm, entry] : peers_)
    {
        peer_demand += entry.last_report.demand_per_s;
    }
    const double vm_count = static_cast<double>(
        std::max({vms_, peers_.size() + 1, std::size_t{1}}));
    const double idle_demand = rate_ * idle_demand_fraction / vm_count;
    const double own_demand = demand(now) + idle_demand;
    const double total_demand =
        own_demand + peer_demand + idle_demand * (vm_count - 1);
    fraction_ = total_demand > 0 ? own_demand / total_demand : 1 / vm_count;
    paced_bucket_.resize(rate_ * fraction_, paced_burst, now);
}

} // namespace siskinflow::gateway
