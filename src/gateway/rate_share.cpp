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
/// Part of the burst that moves along with the share. The other VMs give up
/// theirs with the next message; half of it would exceed the tolerance.
constexpr double moving_burst_part = 0.25;

} // namespace

bool rate_share::take(time_point now)
{
    const double decay =
        std::exp(-to_seconds(now - counted_) / demand_window_s);
    demand_ = demand_ * decay + 1 / demand_window_s;
    counted_ = now;
    if (now - refreshed_ >= refresh_interval)
    {
        refresh(now);
    }
    return bucket_.take(1, now);
}

duration rate_share::wait(time_point now) const
{
    return bucket_.wait(1, now);
}

double rate_share::demand(time_point now) const
{
    return demand_ * std::exp(-to_seconds(now - counted_) / demand_window_s);
}

void rate_share::on_peer_demand(const std::string& vm, double per_s,
                                time_point now)
{
    peers_[vm] = {std::max(0.0, per_s), now};
}

double rate_share::total_peer_demand(time_point now)
{
    std::erase_if(peers_, [now](const auto& peer)
                  { return now - peer.second.at > demand_memory; });
    double total = 0;
    for (const auto& [vm, peer] : peers_)
    {
        total += peer.per_s;
    }
    // A VM that has told nothing yet is taken to need an even part.
    const std::size_t known = peers_.size() + 1;
    const std::size_t unknown = vms_ > known ? vms_ - known : 0;
    return total + rate_ * static_cast<double>(unknown) /
                       static_cast<double>(std::max<std::size_t>(vms_, 1));
}

void rate_share::update(double rate, double burst, std::size_t vms,
                        time_point now)
{
    rate_ = rate;
    burst_ = burst;
    vms_ = vms;
    refresh(now);
}

void rate_share::refresh(time_point now)
{
    refreshed_ = now;
    const double peers = total_peer_demand(now);
    const double count = static_cast<double>(
        std::max({vms_, peers_.size() + 1, std::size_t{1}}));
    const double idle = rate_ * idle_demand_part / count;
    const double own = demand(now) + idle;
    const double all = own + peers + idle * (count - 1);
    const double before = part_;
    part_ = all > 0 ? own / all : 1 / count;
    if (!started_)
    {
        bucket_ = bucket(rate_ * part_, burst_ * part_, burst_ * part_, now);
        started_ = true;
        return;
    }
    bucket_.resize(rate_ * part_, burst_ * part_, now);
    if (part_ > before)
    {
        bucket_.add(burst_ * (part_ - before) * moving_burst_part, now);
    }
}

} // namespace siskinflow::gateway
