#include <siskinflow/gateway/rate_share.hpp>

#include <algorithm>
#include <cmath>

namespace siskinflow::gateway
{

namespace
{

/// Time constant of the demand's moving average in seconds.
constexpr double demand_window_s = 2;
/// Demand that every VM is taken to have beside its real one, as a part of
/// the even share: the first requests on a VM are not refused.
constexpr double idle_demand_part = 0.3;

} // namespace

bool rate_share::take(time_point now)
{
    const double decay =
        std::exp(-to_seconds(now - counted_) / demand_window_s);
    demand_ = demand_ * decay + 1 / demand_window_s;
    counted_ = now;
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

double rate_share::total_peer_demand(double rate, std::size_t vms,
                                     time_point now)
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
    const std::size_t unknown = vms > known ? vms - known : 0;
    return total + rate * static_cast<double>(unknown) /
                       static_cast<double>(std::max<std::size_t>(vms, 1));
}

void rate_share::update(double rate, double burst, std::size_t vms,
                        time_point now)
{
    const double count =
        static_cast<double>(std::max({vms, peers_.size() + 1, std::size_t{1}}));
    const double idle = rate * idle_demand_part / count;
    const double own = demand(now) + idle;
    const double all =
        own + total_peer_demand(rate, vms, now) + idle * (count - 1);
    part_ = all > 0 ? own / all : 1 / count;
    if (!started_)
    {
        bucket_ = bucket(rate * part_, burst * part_, burst * part_, now);
        started_ = true;
        return;
    }
    bucket_.resize(rate * part_, burst * part_, now);
}

} // namespace siskinflow::gateway
