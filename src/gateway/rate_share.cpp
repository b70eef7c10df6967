#include <siskinflow/gateway/rate_share.hpp>

#include <algorithm>
#include <cmath>

namespace siskinflow::gateway
{

namespace
{

/// Time constant of the demand's moving average in seconds: a little above the
/// time between two messages of a peer.
constexpr double demand_window_s = 1;
/// Demand that every VM is taken to have beside its real one, as a part of
/// the even share: the first requests on a VM are not refused.
constexpr double idle_demand_part = 0.2;
/// Time after which a VM's own demand is weighed anew; peers learn of it with
/// the next message, and the excess until then is within the tolerance.
constexpr duration refresh_interval = std::chrono::milliseconds(40);
/// Requests that a VM may save up while it is paced.
constexpr double paced_burst = 1;
/// Part of the burst below which requests are paced.
constexpr double reserved_burst_part = 0.15;
/// Age up to which a silent peer is taken to spend on as it did; a VM that is
/// silent for longer is paced by its part at the most.
constexpr duration longest_unreported = std::chrono::seconds(2);

} // namespace

bool rate_share::take(time_point now)
{
    demand_ = demand(now) + 1 / demand_window_s;
    counted_ = now;
    if (now - refreshed_ >= refresh_interval)
    {
        refresh(now);
    }
    const double spare = all_.level(now) - unreported(now);
    const bool plenty = spare >= 1 + burst_ * reserved_burst_part;
    const bool within = plenty || paced_.take(1, now);
    if (within)
    {
        all_.settle(1, now);
        ++admitted_;
    }
    return within;
}

duration rate_share::wait(time_point now) const
{
    return paced_.wait(1, now);
}

double rate_share::demand(time_point now) const
{
    return demand_ * std::exp(-to_seconds(now - counted_) / demand_window_s);
}

rate_report rate_share::report(time_point now) const
{
    return {admitted_, demand(now)};
}

void rate_share::on_report(const std::string& vm, std::uint64_t incarnation,
                           const rate_report& report, time_point now)
{
    const auto [found, added] = peers_.try_emplace(vm);
    peer& known = found->second;
    std::uint32_t spent = report.admitted - known.last.admitted;
    if (added)
    {
        spent = 0; // Spent before this VM kept a copy of the bucket.
    }
    else if (known.incarnation != incarnation)
    {
        spent = report.admitted;
    }
    known = {incarnation, report, now};
    all_.settle(spent, now);
}

/// Requests that the peers have admitted since their last reports.
double rate_share::unreported(time_point now) const
{
    double out = 0;
    for (const auto& [vm, entry] : peers_)
    {
        const duration age = std::min(now - entry.at, longest_unreported);
        out += entry.last.demand_per_s * to_seconds(age);
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
        all_ = bucket(rate, burst, burst, now);
        paced_ =
            bucket(rate / static_cast<double>(std::max<std::size_t>(vms, 1)),
                   paced_burst, paced_burst, now);
    }
    all_.resize(rate, burst, now);
    refresh(now);
}

void rate_share::refresh(time_point now)
{
    refreshed_ = now;
    std::erase_if(peers_, [now](const auto& entry)
                  { return now - entry.second.at > demand_memory; });
    double others = 0;
    for (const auto& [vm, entry] : peers_)
    {
        others += entry.last.demand_per_s;
    }
    const double count = static_cast<double>(
        std::max({vms_, peers_.size() + 1, std::size_t{1}}));
    const double idle = rate_ * idle_demand_part / count;
    const double own = demand(now) + idle;
    const double all = own + others + idle * (count - 1);
    part_ = all > 0 ? own / all : 1 / count;
    paced_.resize(rate_ * part_, paced_burst, now);
}

} // namespace siskinflow::gateway
