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
///
/// VMs of the same failure domain report to each other; other domains report
/// the sum over their VMs, so that the reports do not grow with the square of
/// the number of VMs.
#pragma once

#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
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

/// @brief What the counts of a report cover.
enum class report_scope : std::uint8_t
{
    domain_vm,   ///< One VM of this failure domain, part of the domain's sum.
    separate_vm, ///< One VM that reports to every VM itself.
    domain,      ///< The sum over another failure domain.
};

/// @brief Sender of a report.
struct report_source
{
    std::string name; ///< Of the VM or the failure domain.
    report_scope scope = report_scope::domain_vm;
    /// Changes when the VM restarts or another VM sums up the domain.
    std::uint64_t incarnation = 0;
    /// Time since the source's previous message of this incarnation, whether
    /// it concerned the organisation or not; empty if this is the first.
    std::optional<duration> since_previous;
};

/// @brief Level of the copied bucket when a VM begins to keep it.
enum class initial_level : std::uint8_t
{
    full,  ///< The limit is new to all VMs.
    empty, ///< This VM is new and does not know what the others have spent.
};

/// @brief One VM's share of a rate limit and its burst.
class rate_share
{
public:
    /// @brief Counts one request and admits it if it is within the rate.
    /// @return whether it was admitted
    bool admit(time_point now);

    /// @brief Whether `admit` would admit a request now.
    bool would_admit(time_point now) const;

    /// @brief Requests that the shared bucket has room for, as far as this VM
    /// knows; not less than 0.
    double left(time_point now) const;

    /// @brief Time until a request can be admitted.
    duration wait_time(time_point now) const;

    /// @brief Report of this VM.
    rate_report report(time_point now) const;

    /// @brief Report of this VM's failure domain, for other domains.
    rate_report domain_report(time_point now) const;

    /// @brief Applies the report of a peer. Reports that arrive after a later
    /// one of the same incarnation are ignored.
    void on_report(const report_source& source, const rate_report& report,
                   time_point now);

    /// @brief Whether other domains should be told before the next regular
    /// report: this domain has used its part of what is left in the bucket, or
    /// its demand has more than doubled.
    /// @param domains number of failure domains
    bool reports_early(const rate_report& current, const rate_report& last_sent,
                       std::size_t domains, time_point now) const;

    /// @brief Sets the limit and the number of VMs.
    /// @param rate requests per second over all VMs
    /// @param burst requests above the rate over all VMs
    /// @param vms number of VMs, this one included
    /// @param initial used by the first call only
    void update(double rate, double burst, std::size_t vms, time_point now,
                initial_level initial = initial_level::full);

    /// @brief This VM's fraction of the rate, from 0 to 1.
    double fraction() const
    {
        return fraction_;
    }

private:
    struct peer
    {
        report_scope scope = report_scope::domain_vm;
        std::uint64_t incarnation = 0;
        rate_report last_report;
        time_point received_at;
    };

    std::uint32_t newly_admitted(const report_source& source,
                                 const peer* previous,
                                 const rate_report& report,
                                 time_point now) const;
    static double unreported_requests(const peer& entry, time_point now);

    double demand(time_point now) const;
    double available(time_point now) const;
    bool above_reserve(time_point now) const;
    double overdraft_correction(time_point now) const;
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
    std::uint32_t domain_admitted_ = 0; ///< Peers of the domain included.
    double demand_ = 0; ///< Moving average at `demand_updated_at_`.
    time_point demand_updated_at_{};
    std::map<std::string, peer> peers_;
};

} // namespace siskinflow::gateway
