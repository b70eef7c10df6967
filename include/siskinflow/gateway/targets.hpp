/// @file
/// @brief Targets that registered, and what this VM knows of each.
#pragma once

#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/core/clock.hpp>
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

/// @brief How a request to a target ended, for the target's health.
enum class attempt_result : std::uint8_t
{
    answered,    ///< A whole answer that is no failure.
    failed,      ///< A whole answer that says the target failed.
    rejected,    ///< The target did not run it for lack of room.
    misdirected, ///< Another target has the address.
    unreachable, ///< No connection could be made.
    broken,      ///< The connection or the answer broke.
    no_answer,   ///< Nothing came within the time given.
    abandoned,   ///< The caller left; says nothing of the target.
};

std::string_view name(attempt_result value) noexcept;

/// @brief Load that a target reports with its answers.
struct load_report
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// @brief One target with this VM's own view of it.
class target
{
public:
    explicit target(target_record record);

    const target_record& record() const
    {
        return record_;
    }

    /// @brief Takes over a newer registration of the same incarnation.
    void update(target_record record, time_point now);

    /// @brief Requests of this VM that the target has not answered.
    unsigned in_flight() const
    {
        return in_flight_;
    }

    /// @brief Load of all VMs: own requests and what is known of others'. The
    /// last report about them gives way to the usual load as it ages.
    /// @param average_peer_load load of other VMs at a target of the service,
    /// on average
    double load(time_point now, double average_peer_load) const;

    /// @brief Whether this VM has not sent it anything yet.
    bool untried() const
    {
        return !tried_;
    }

    /// @brief Leaves out the first request that a new target gets.
    void mark_tried()
    {
        tried_ = true;
    }

    /// @brief When it last gave an answer of any kind.
    time_point answered_at() const
    {
        return answered_at_;
    }

    /// @brief Measured work time over that of its service.
    double slowness() const
    {
        return slowness_;
    }

    /// @brief Whether the target is still cold and bears few requests.
    bool cold(time_point now) const
    {
        return now < cold_until_;
    }

    /// @brief Whether it was ejected for failures and may not be tried yet.
    bool ejected(time_point now) const
    {
        return now < ejected_until_;
    }

    /// @brief Whether the one request that tests an ejected target is out.
    bool probe_in_flight() const
    {
        return probe_in_flight_;
    }

    /// @brief Whether a request may be sent now: a cold target within its
    /// rate, an ejected one only once its time is over, and then one request.
    bool admits(time_point now) const;

    /// @brief Counts a request that is sent.
    void on_sent(time_point now);

    /// @brief Counts the end of a request.
    void on_ended(attempt_result result, time_point now);

    /// @brief Takes over a load report.
    /// @return the load of other VMs that it tells of
    double on_load(const load_report& report, time_point now);

    /// @brief Takes over how long the target says that it stays cold.
    void on_warm_up_left(duration left, time_point now);

    /// @brief Adds a work time to the target's slowness.
    /// @param elapsed measured
    /// @param expected of the service, for the same state of the object
    void on_work_time(duration elapsed, duration expected);

    /// @brief Sets the rate that this VM may send while the target is cold.
    void limit_cold_rate(double per_s, time_point now);

private:
    void on_failure(bool not_reached, time_point now);

    target_record record_;
    unsigned in_flight_ = 0;
    bool tried_ = false;
    double peer_load_ = 0; ///< Load of other VMs at `load_reported_at_`.
    time_point load_reported_at_{};
    double slowness_ = 1;
    time_point answered_at_{};
    time_point cold_until_{};
    bucket cold_bucket_;
    double cold_rate_ = -1;
    unsigned consecutive_failures_ = 0; ///< In a row.
    double failure_rate_ = 0;           ///< Moving average of failed answers.
    duration ejection_time_{0};
    time_point ejected_until_{};
    bool probe_in_flight_ = false;
};

using target_ptr = std::shared_ptr<target>;

/// @brief Which targets hold an object, as far as this VM knows.
class object_locations
{
public:
    /// @brief Remembers that a target handled an object.
    void record(std::uint64_t object, const std::string& target,
                time_point now);

    /// @brief Whether the target handled the object lately.
    bool is_recent(std::uint64_t object, const std::string& target,
                   time_point now) const;

    /// @brief Forgets a target, whose next incarnation holds nothing.
    void remove_target(const std::string& target);

    /// @brief How often targets turned out to have objects at hand.
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

/// @brief Where this VM is.
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

    /// @brief A registration arrived or changed.
    /// @return whether it named a new target or a new incarnation
    bool put(target_record record, time_point now);

    /// @brief A registration is gone.
    void remove(const std::string& id);

    /// @brief Sets the failure domains that are evacuated.
    void set_evacuated(std::set<std::string> failure_domains);

    /// @brief Target of an id; null if there is none.
    target_ptr find(const std::string& id) const;

    /// @brief Number of targets of a service for one failure domain, on
    /// average over the failure domains that have any.
    double average_targets_per_domain(const std::string& service) const;

    /// @brief Targets of a service, draining ones included.
    const std::vector<target_ptr>& of_service(const std::string& name) const;

    /// @brief Whether new requests may go to a target, apart from its load:
    /// registered, not draining, its failure domain not evacuated.
    bool in_service(const target& entry) const;

    /// @brief Distance of a target from this VM.
    distance distance_to(const target& entry) const;

    /// @brief Objects and where they are, of one service.
    object_locations& locations(const std::string& service)
    {
        return locations_[service];
    }

    /// @brief Takes over a load report of a target, for its service's usual
    /// load as well.
    void on_load(target& entry, const load_report& report, time_point now);

    /// @brief Load of other VMs at a target of a service, on average.
    double average_peer_load(const std::string& service) const;

    /// @brief Calls back for each registered target.
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
    void remove_from_domain(const target_record& record);

    vm_location vm_location_;
    std::unordered_map<std::string, target_ptr> by_id_;
    std::unordered_map<std::string, std::vector<target_ptr>> by_service_;
    /// Targets of each service by failure domain.
    std::unordered_map<std::string, std::map<std::string, std::size_t>>
        targets_per_domain_;
    std::unordered_map<std::string, object_locations> locations_;
    std::unordered_map<std::string, double> average_peer_load_;
    std::set<std::string> evacuated_domains_;
};

} // namespace siskinflow::gateway
