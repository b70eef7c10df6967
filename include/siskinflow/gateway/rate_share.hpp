/// @file
/// @brief A rate that holds for all VMs together, as one VM keeps it.
///
/// Load patterns: an organisation whose traffic sits on one VM; one whose few
/// requests come to any of many VMs; one that sends many times its rate through
/// all of them. Each VM keeps a copy of the organisation's one token bucket, in
/// which it counts its own requests at once and those of its peers when they
/// tell of them. While the copy holds more than the peers can have spent since,
/// requests pass. Otherwise the VM paces them by its part of the rate, which is
/// that of its demand in the demand of all. A VM that is cut off keeps its
/// part, and its peers count its last demand until it has been silent for
/// `demand_timeout`.
#pragma once

#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace siskinflow::gateway
{

/// @brief Time for which the demand of a silent VM still counts.
constexpr duration demand_timeout = std::chrono::seconds(10);

/// @brief What one VM tells of an organisation's requests.
struct rate_report
{
    std::uint32_t admitted = 0; ///< Since the VM started.
    double demand_per_s = 0;    ///< Requests that arrive, admitted or not.
};

/// @brief One VM's view of a rate and its burst.
class rate_share
{
public:
    /// @brief Counts one request and takes it from the rate.
    /// @return whether it is within the rate
    bool admit(time_point now);

    /// @brief Time until a request is within the rate.
    duration wait_time(time_point now) const;

    /// @brief What to tell the other VMs.
    rate_report report(time_point now) const;

    /// @brief Takes over what a peer told.
    /// @param incarnation a value that is another one after a restart
    void on_report(const std::string& vm, std::uint64_t incarnation,
                   const rate_report& report, time_point now);

    /// @brief Sets limit and peers.
    /// @param rate requests per second over all VMs
    /// @param burst requests above the rate over all VMs
    /// @param vms number of VMs, this one included
    void update(double rate, double burst, std::size_t vms, time_point now);

    /// @brief This VM's part of the rate, from 0 to 1.
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

    bucket fleet_bucket_; ///< Copy of the bucket of all VMs.
    bucket paced_bucket_; ///< This VM's part of the rate.
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
