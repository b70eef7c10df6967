/// @file
/// @brief Registered targets and this VM's state of each.
#pragma once

#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/gateway/attempt_result.hpp>
#include <siskinflow/gateway/load/load_sharing.hpp>
#include <siskinflow/gateway/object_scope.hpp>
#include <siskinflow/gateway/placement.hpp>
#include <siskinflow/gateway/target_record.hpp>
#include <siskinflow/gateway/warm_chance.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinflow::gateway
{

/// @brief What a target has said about the requests that it wants. It holds
/// for one incarnation, also while its registration is missing or says
/// otherwise.
struct target_wish
{
    bool leaving = false;      ///< No requests any more.
    time_point paused_until{}; ///< No requests before.

    bool allows_requests(time_point now) const
    {
        return !leaving && now >= paused_until;
    }
};

/// @brief One target with this VM's view of its state.
class target
{
public:
    explicit target(target_record record);

    const target_record& record() const
    {
        return record_;
    }

    /// @brief Applies a newer registration of the same incarnation.
    void update(target_record record, time_point now);

    /// @brief Requests of this VM that the target has not answered.
    unsigned in_flight() const
    {
        return in_flight_;
    }

    /// @brief Load from all VMs: own requests in flight and an estimate of
    /// those of other VMs. As the last load report ages, the estimate moves
    /// from its value to the average.
    /// @param average_peer_load average load from other VMs at a target of the
    /// service
    double load(time_point now, double average_peer_load) const;

    /// @brief Whether this VM has sent it no request yet.
    bool untried() const
    {
        return !tried_;
    }

    /// @brief Marks the target as tried, so that it is not preferred as new.
    void mark_tried()
    {
        tried_ = true;
    }

    /// @brief When it last gave an answer of any kind.
    time_point answered_at() const
    {
        return answered_at_;
    }

    /// @brief Expected ratio of the target's work time to its service's: the
    /// measured one, and the pace that the target reported, as far as the
    /// report is recent.
    double slowness(time_point now) const
    {
        return slowness_ * pace(now);
    }

    /// @brief Pace that the target reported, 1 if there is no recent report.
    double pace(time_point now) const;

    /// @brief Whether the target is still warming up and limited to a low rate.
    bool cold(time_point now) const
    {
        return now < cold_until_;
    }

    /// @brief Whether it is ejected because of failures and gets no requests.
    bool ejected(time_point now) const
    {
        return now < ejected_until_;
    }

    /// @brief Whether the request that probes an ejected target is in flight.
    bool probe_in_flight() const
    {
        return probe_in_flight_;
    }

    /// @brief Which requests the target wants.
    const target_wish& wish() const
    {
        return wish_;
    }

    /// @brief Takes over what the target has said. A time that is still in
    /// force is not shortened. After a pause the target is treated as cold for
    /// a while, so that requests return in steps.
    /// @param return_time time of the return, from the end of the pause
    void on_wish(const target_wish& wish, duration return_time);

    /// @brief Whether a request may be sent now. A target that wants none gets
    /// none, a cold one requests within its rate, an ejected one a single
    /// request after its ejection time.
    bool admits(time_point now) const;

    /// @brief Records a request that was sent.
    void on_sent(time_point now);

    /// @brief Records the end of a request.
    void on_ended(attempt_result result, time_point now);

    /// @brief Applies a load report of an answer to this VM.
    /// @return the load from other VMs according to the report
    double on_load(const load_report& report, time_point now);

    /// @brief Applies the pace of a load report that another VM has received,
    /// unless a newer one is known. Its load is not taken over: all VMs hear of
    /// an idle target at the same time and would fill it together.
    /// @return the load from other VMs according to the report; empty if it
    /// was not applied
    std::optional<double> on_shared_load(const load_report& report,
                                         time_point reported_at);

    /// @brief Sets the remaining warm-up time that the target reported.
    void on_warm_up_left(duration left, time_point now);

    /// @brief Updates the target's slowness from a work time.
    /// @param elapsed measured work time
    /// @param expected work time of the service, for the same state of the
    /// object
    void on_work_time(duration elapsed, duration expected);

    /// @brief Sets the rate that this VM may send while the target is cold.
    void limit_cold_rate(double per_s, time_point now);

private:
    void on_failure(bool not_reached, time_point now);
    void set_pace(const load_report& report, time_point reported_at);

    target_record record_;
    unsigned in_flight_ = 0;
    bool tried_ = false;
    double peer_load_ = 0; ///< From other VMs, at `load_reported_at_`.
    time_point load_reported_at_{};
    double pace_ = 1; ///< At `pace_reported_at_`.
    time_point pace_reported_at_{};
    double slowness_ = 1; ///< Measured, without the pace of the moment.
    time_point answered_at_{};
    time_point cold_until_{};
    bucket cold_bucket_;
    double cold_rate_ = -1;
    unsigned consecutive_failures_ = 0;
    double failure_rate_ = 0; ///< Moving average of failed answers.
    duration ejection_time_{0};
    time_point ejected_until_{};
    bool probe_in_flight_ = false;
    target_wish wish_;
};

using target_ptr = std::shared_ptr<target>;

/// @brief Targets that hold each object, as far as this VM knows.
class object_locations
{
public:
    /// Time after which a target is assumed to have dropped an object.
    static constexpr duration object_lifetime = std::chrono::seconds(20);

    /// @brief Records that a target handled an object.
    void record(std::uint64_t object, const std::string& target,
                time_point now);

    /// @brief Whether the target handled the object recently.
    bool is_recent(std::uint64_t object, const std::string& target,
                   time_point now) const;

    /// @brief Calls `visit` with the id of each target that handled the object
    /// recently.
    template <class Visitor>
    void for_each_recent(std::uint64_t object, time_point now,
                         const Visitor& visit) const
    {
        const auto found = by_object_.find(object);
        if (found == by_object_.end())
        {
            return;
        }
        for (const location& entry : found->second)
        {
            if (now - entry.last_used < object_lifetime)
            {
                visit(entry.target);
            }
        }
    }

    /// @brief Removes a target; its next incarnation holds no objects.
    void remove_target(const std::string& target);

    /// @brief Measured probabilities that a target holds an object.
    warm_chance& warm_chances()
    {
        return warm_chances_;
    }
    const warm_chance& warm_chances() const
    {
        return warm_chances_;
    }

    /// @brief Number of objects seen.
    std::size_t objects() const
    {
        return by_object_.size();
    }

private:
    struct location
    {
        std::string target;
        time_point last_used;
    };
    std::unordered_map<std::uint64_t, std::vector<location>> by_object_;
    warm_chance warm_chances_;
};

/// @brief Location of this VM.
struct vm_location
{
    std::string failure_domain;
    std::string region;
};

/// @brief All registered targets, grouped by service.
class target_directory
{
public:
    explicit target_directory(vm_location location);

    /// @brief Adds or updates a registration.
    /// @return whether the target or its incarnation is new
    bool put(target_record record, time_point now);

    /// @brief Removes a registration. What the target has said is kept, in case
    /// the same incarnation registers again.
    void remove(const std::string& id);

    /// @brief Takes over what an incarnation of a target has said, also if it
    /// is not registered.
    /// @param return_time time in which requests return after a pause
    void on_wish(const std::string& id, std::int64_t started_at_ms,
                 const target_wish& wish, duration return_time);

    /// @brief Sets the failure domains that are evacuated.
    void set_evacuated(std::set<std::string> failure_domains);

    /// @brief Finds a target by id; null if there is none.
    target_ptr find(const std::string& id) const;

    /// @brief Average number of targets of a service per failure domain, over
    /// the failure domains that have any.
    double average_targets_per_domain(const std::string& service) const;

    /// @brief Targets of a service, draining ones included.
    const std::vector<target_ptr>& of_service(const std::string& name) const;

    /// @brief Changes with the set of targets in service and with their sizes.
    std::uint64_t version() const
    {
        return version_;
    }

    /// @brief Whether new requests may go to a target, apart from its load:
    /// registered, not draining or leaving, its failure domain not evacuated.
    bool in_service(const target& entry) const;

    /// @brief Whether a target may be sent requests that were placed on it:
    /// this incarnation is registered, in service and wants requests.
    bool takes_requests(const target& entry, time_point now) const;

    /// @brief Distance of a target from this VM.
    distance distance_to(const target& entry) const;

    /// @brief Locations of the objects of one service.
    object_locations& locations(const std::string& service)
    {
        return locations_[service];
    }

    /// @brief Sizes of the requests and answers of one service.
    exchange_size& exchange_sizes(const std::string& service)
    {
        return exchange_sizes_[service];
    }

    /// @brief Sizes of a service's answers alone.
    exchange_size& answer_sizes(const std::string& service)
    {
        return answer_sizes_[service];
    }

    /// @brief Applies a load report to a target and to its service's average.
    void on_load(target& entry, const load_report& report, time_point now);

    /// @brief Applies the load reports that another VM has received.
    void on_shared_loads(const std::vector<shared_load>& loads, time_point now);

    /// @brief Average load from other VMs at a target of a service.
    double average_peer_load(const std::string& service) const;

    /// @brief Calls `visit` for each registered target.
    void for_each(const std::function<void(target&)>& visit);

    std::size_t size() const
    {
        return by_id_.size();
    }

    const std::set<std::string>& evacuated() const
    {
        return evacuated_domains_;
    }

private:
    /// What an incarnation said that is not registered.
    struct kept_wish
    {
        std::int64_t started_at_ms = 0;
        target_wish wish;
        duration return_time{0};
    };

    void keep_wish(const std::string& id, const kept_wish& kept);
    void observe_average(const target& entry, double load_of_others);
    void remove_from_domain(const target_record& record);

    vm_location vm_location_;
    std::uint64_t version_ = 1;
    std::unordered_map<std::string, target_ptr> by_id_;
    std::unordered_map<std::uint32_t, target_ptr> by_number_;
    std::unordered_map<std::string, std::vector<target_ptr>> by_service_;
    /// Number of targets of each service by failure domain.
    std::unordered_map<std::string, std::map<std::string, std::size_t>>
        targets_per_domain_;
    std::unordered_map<std::string, object_locations> locations_;
    std::unordered_map<std::string, exchange_size> exchange_sizes_;
    std::unordered_map<std::string, exchange_size> answer_sizes_;
    std::unordered_map<std::string, double> average_peer_load_;
    std::set<std::string> evacuated_domains_;
    std::unordered_map<std::string, kept_wish> kept_wishes_; ///< By target id.
};

} // namespace siskinflow::gateway
