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
/// Burst of a paced VM as time of its rate, so that requests which arrive
/// together are not refused at a small part of the rate. All VMs together
/// exceed the limit of 5 s by no more than 0.2 %.
constexpr duration paced_burst_time = std::chrono::milliseconds(10);
/// Lower bound of that burst, in requests.
constexpr double min_paced_burst = 1;
/// Fraction of the burst below which requests are paced.
constexpr double reserved_burst_fraction = 0.15;
/// Lower bound of the factor by which an overdraft slows pacing down.
constexpr double min_correction = 0.25;
/// Age of a report up to which the peer is assumed to keep spending at its
/// reported demand; a VM that is silent for longer can spend no more than its
/// fraction.
constexpr duration max_unreported_age = std::chrono::seconds(2);
/// Time after which a silent peer's counts are dropped.
constexpr duration peer_lifetime = std::chrono::minutes(10);
/// Part of a domain's share of the tokens left that it may use before it tells
/// the other domains. Without early reports, a load that starts on many VMs at
/// once is admitted by each domain until the next regular reports.
constexpr double unreported_part = 0.5;
/// Early reports are charged by the byte; smaller excesses are within the
/// tolerance.
constexpr double min_early_report = 3;
constexpr double demand_growth = 2;

double paced_burst(double rate)
{
    return std::max(min_paced_burst, rate * to_seconds(paced_burst_time));
}

/// Pacing starts without the lower bound of the burst: one token on each VM
/// would add up to more than a small limit.
bucket paced_bucket(double rate, time_point now)
{
    const double burst = paced_burst(rate);
    return {rate, burst, burst - min_paced_burst, now};
}

} // namespace

bool rate_share::admit(time_point now)
{
    demand_ = demand(now) + 1 / demand_time_constant_s;
    demand_updated_at_ = now;
    if (now - fraction_updated_at_ >= fraction_update_interval)
    {
        update_fraction(now);
    }
    const bool admitted = above_reserve(now) || paced_bucket_.try_take(1, now);
    if (admitted)
    {
        fleet_bucket_.settle(1, now);
        ++admitted_;
        ++domain_admitted_;
    }
    return admitted;
}

bool rate_share::above_reserve(time_point now) const
{
    return available(now) >= 1 + burst_ * reserved_burst_fraction;
}

double rate_share::available(time_point now) const
{
    return fleet_bucket_.level(now) - unreported_requests(now);
}

bool rate_share::would_admit(time_point now) const
{
    return above_reserve(now) || wait_time(now) <= duration::zero();
}

double rate_share::left(time_point now) const
{
    return std::max(0.0, available(now));
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

rate_report rate_share::domain_report(time_point now) const
{
    rate_report out{domain_admitted_, demand(now)};
    for (const auto& [name, entry] : peers_)
    {
        if (entry.scope == report_scope::domain_vm)
        {
            out.demand_per_s += entry.last_report.demand_per_s;
        }
    }
    return out;
}

void rate_share::on_report(const report_source& source,
                           const rate_report& report, time_point now)
{
    const auto found = peers_.find(source.name);
    const peer* previous = found == peers_.end() ? nullptr : &found->second;
    const bool same_incarnation =
        previous != nullptr && previous->incarnation == source.incarnation;
    // Compared as a difference, because the count may wrap around.
    if (same_incarnation &&
        static_cast<std::int32_t>(report.admitted -
                                  previous->last_report.admitted) < 0)
    {
        return;
    }
    const std::uint32_t newly = newly_admitted(source, previous, report, now);
    peers_[source.name] = {source.scope, source.incarnation, report, now};
    fleet_bucket_.settle(newly, now);
    if (source.scope == report_scope::domain_vm)
    {
        domain_admitted_ += newly;
    }
}

/// Requests that the source has admitted since its previous report.
std::uint32_t rate_share::newly_admitted(const report_source& source,
                                         const peer* previous,
                                         const rate_report& report,
                                         time_point now) const
{
    if (previous != nullptr && previous->incarnation == source.incarnation)
    {
        return report.admitted - previous->last_report.admitted;
    }
    if (previous != nullptr && source.scope == report_scope::domain)
    {
        // The sums of two VMs do not start at the same count.
        return static_cast<std::uint32_t>(unreported_requests(*previous, now));
    }
    if (previous == nullptr && !source.since_previous)
    {
        return 0; // Admitted before this VM kept a copy of the bucket.
    }
    // All was admitted since the previous message, which did not mention the
    // organisation, or since the VM restarted; never more than the rate allows.
    const duration elapsed = std::min(
        source.since_previous.value_or(max_unreported_age), max_unreported_age);
    const double limit = burst_ + rate_ * to_seconds(elapsed);
    return static_cast<std::uint32_t>(std::min<double>(report.admitted, limit));
}

/// Estimated requests that a peer has admitted since its last report.
double rate_share::unreported_requests(const peer& entry, time_point now)
{
    const duration age = std::min(now - entry.received_at, max_unreported_age);
    return entry.last_report.demand_per_s * to_seconds(age);
}

double rate_share::unreported_requests(time_point now) const
{
    double out = 0;
    for (const auto& [name, entry] : peers_)
    {
        out += unreported_requests(entry, now);
    }
    return out;
}

bool rate_share::reports_early(const rate_report& current,
                               const rate_report& last_sent,
                               std::size_t domains, time_point now) const
{
    const double part = unreported_part /
                        static_cast<double>(std::max<std::size_t>(domains, 1));
    const std::uint32_t unsent = current.admitted - last_sent.admitted;
    const double expected_demand = last_sent.demand_per_s * demand_growth;
    return unsent >= std::max(min_early_report, available(now) * part) ||
           current.demand_per_s >=
               expected_demand + std::max(min_early_report, rate_ * part);
}

void rate_share::update(double rate, double burst, std::size_t vms,
                        time_point now, initial_level initial)
{
    rate_ = rate;
    burst_ = burst;
    vms_ = vms;
    if (!started_)
    {
        started_ = true;
        const double level = initial == initial_level::full ? burst : 0;
        fleet_bucket_ = bucket(rate, burst, level, now);
        paced_bucket_ = paced_bucket(
            rate / static_cast<double>(std::max<std::size_t>(vms, 1)), now);
    }
    fleet_bucket_.resize(rate, burst, now);
    update_fraction(now);
}

/// Slows pacing down while the VMs together have spent more than the limit. The
/// fractions of many VMs that each see few requests add up to more than one.
double rate_share::overdraft_correction(time_point now) const
{
    const double overdraft = std::max(0.0, -fleet_bucket_.level(now));
    return rate_ > 0 ? std::max(min_correction, 1 - overdraft / rate_) : 1;
}

void rate_share::update_fraction(time_point now)
{
    fraction_updated_at_ = now;
    std::erase_if(peers_, [now](const auto& entry)
                  { return now - entry.second.received_at > peer_lifetime; });
    double peer_demand = 0;
    std::size_t reporting_peers = 0;
    for (auto& [name, entry] : peers_)
    {
        if (now - entry.received_at > demand_timeout)
        {
            // The count is kept: a later report continues from it.
            entry.last_report.demand_per_s = 0;
            continue;
        }
        ++reporting_peers;
        peer_demand += entry.last_report.demand_per_s;
    }
    const double vm_count = static_cast<double>(
        std::max({vms_, reporting_peers + 1, std::size_t{1}}));
    const double idle_demand = rate_ * idle_demand_fraction / vm_count;
    const double own_demand = demand(now) + idle_demand;
    const double total_demand =
        own_demand + peer_demand + idle_demand * (vm_count - 1);
    fraction_ = total_demand > 0 ? own_demand / total_demand : 1 / vm_count;
    const double paced_rate = rate_ * fraction_ * overdraft_correction(now);
    paced_bucket_.resize(paced_rate, paced_burst(paced_rate), now);
    if (above_reserve(now))
    {
        paced_bucket_ = paced_bucket(paced_rate, now);
    }
}

} // namespace siskinflow::gateway
