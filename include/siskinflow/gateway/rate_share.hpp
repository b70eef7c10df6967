/// @file
/// @brief One VM's enforcement of a rate limit shared by all VMs.
///
/// Load patterns: an organisation whose traffic arrives at one VM; one whose
/// few requests arrive at any of many VMs; one that sends many times its rate
/// through all of them. Each VM keeps a copy of the organisation's token
/// bucket, from which it deducts its own requests immediately and those of its
/// peers when they report them. Requests pass while the copy holds more than
/// the peers can have spent since their last reports. Otherwise the VM paces
/// requests by its fraction of the rate, which is its demand divided by the
/// demand of all VMs. A disconnected VM keeps its fraction, and its peers count
/// its last reported demand until it has been silent for `demand_timeout`.
#pragma once

#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace siskinflow::gateway
{

/// @brief Time for which the demand of a silent VM is still counted.
constexpr duration demand_timeout = std::chrono::seconds(10);

/// @brief One VM's report of an organisation's requests.
struct rate_report
{
    std::uint32_t admitted = 0; ///< Since the VM started.
    double demand_per_s = 0;    ///< Arriving requests, admitted or not.
};

/// @brief One VM's share of a rate limit and its burst.
class rate_share
{
public:
    /// @brief Counts one request and admits it if it is within the rate.
    /// @return whether it was admitted
    bool admit(time_point now);

    /// @brief Time until a request can be admitted.
    duration wait_time(time_point now) const;

    /// @brief Report for the other VMs.
    rate_report report(time_point now) const;

    /// @brief Applies the report of a peer.
    /// @param incarnation value that changes when the peer restarts
    void on_report(const std::string& vm, std::uint64_t incarnation,
                   const rate_report& report, time_point now);

    /// @brief Sets the limit and the number of VMs.
    /// @param rate requests per second over all VMs
    /// @param burst requests above the rate over all VMs
    /// @param vms number of VMs, this one included
    void update(double rate, double burst, std::size_t vms, time_point now);

    /// @brief This VM's fraction of the rate, from 0 to 1.
    double fraction() const
    {
        return fraction_;
    }

private:
    struct peer
    {
        std::uint64_t incarnation = 0;
        rate_report last_report;
        time_point received_at;
    };

    double demand(time_point now) const;
    double unreported_requests(time_point now) const;
    void update_fraction(time_point now);

    bucket fleet_bucket_; ///< Copy of the bucket shared by all VMs.
    bucket paced_bucket_; ///< Bucket for this VM's fraction of the rate.
    bool started_ = false;
    double rate_ = 0;
    double burst_ = 0;
    std::size_t vms_ = 1;
    time_point fraction_updated_at_{};
    double fraction_ = 0;
    std::uint32_t admitted_ = 0;
    double demand_ = 0; ///< Moving average at `demand_updated_at_`.
    time_point demand_updated_at_{};
    std::map<std::string, peer> peers_;
};

} // namespace siskinflow::gateway
