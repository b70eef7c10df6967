/// @file
/// @brief This VM's part of a rate that holds for all VMs together.
///
/// Load pattern: an organisation whose traffic sits on one VM, and one that
/// sends many times its rate through all of them. Each VM takes the part of
/// the rate that its demand has in the demand of all, as the VMs tell each
/// other. A VM that is cut off keeps its part, and its peers keep counting its
/// last demand until it has been silent for `demand_memory`.
#pragma once

#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/core/clock.hpp>

#include <map>
#include <string>

namespace siskinflow::gateway
{

/// @brief Time for which the demand of a silent VM still counts.
constexpr duration demand_memory = std::chrono::seconds(10);

/// @brief Part of a rate and its burst, following the demand.
class rate_share
{
public:
    /// @brief Takes one request from the share.
    /// @return whether the request is within it
    bool take(time_point now);

    /// @brief Time until a request is within the share.
    duration wait(time_point now) const;

    /// @brief Requests per second that arrive here, within the share or not.
    double demand(time_point now) const;

    /// @brief Takes over what a peer told of its own demand.
    void on_peer_demand(const std::string& vm, double per_s, time_point now);

    /// @brief Sets limit and peers and brings the share up to date.
    /// @param rate requests per second over all VMs
    /// @param burst requests above the rate over all VMs
    /// @param vms number of VMs, this one included
    void update(double rate, double burst, std::size_t vms, time_point now);

    /// @brief Part of the rate, from 0 to 1.
    double part() const
    {
        return part_;
    }

private:
    struct peer_demand
    {
        double per_s = 0;
        time_point at;
    };

    double total_peer_demand(time_point now);
    void refresh(time_point now);

    bucket bucket_;
    bool started_ = false;
    double rate_ = 0;
    double burst_ = 0;
    std::size_t vms_ = 1;
    time_point refreshed_{};
    double part_ = 0;
    double demand_ = 0; ///< Moving average at `counted_`.
    time_point counted_{};
    std::map<std::string, peer_demand> peers_;
};

} // namespace siskinflow::gateway
