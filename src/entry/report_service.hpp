/// @file
/// @brief Counts requests, replicates the counts to other VMs and the store,
/// and builds final reports.
#pragma once

#include <siskinflow/config/configuration.hpp>
#include <siskinflow/control/message_type.hpp>
#include <siskinflow/entry/request.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/net/tcp_messages.hpp>
#include <siskinflow/report/counter_replicas.hpp>
#include <siskinflow/report/counters.hpp>
#include <siskinflow/report/final_report.hpp>
#include <siskinflow/store/store.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskinflow::entry
{

/// @brief Requests all counters of a route that a VM holds.
struct counters_request
{
    static constexpr control::message_type type =
        control::message_type::counters_request;

    std::string route;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(route);
    }
};

/// @brief Counters of one incarnation as held by the VM that answers.
struct bundled_copy
{
    incarnation_id incarnation;
    std::string vm;
    std::uint64_t version = 0;
    bool final = false;
    std::uint64_t age_ms = 0;
    bool current_holder = true;
    bool is_bounded = false;
    std::uint64_t max_ran_after_copy = 0; ///< If `is_bounded`.
    std::vector<counter_row> rows;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, vm, version, final, age_ms, current_holder,
                is_bounded, max_ran_after_copy, rows);
    }
};

/// @brief Answer to `counters_request`.
struct counters_bundle
{
    static constexpr control::message_type type =
        control::message_type::counters_bundle;

    std::vector<bundled_copy> copies;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(copies);
    }
};

/// @brief Objects that the service uses; all must outlive it.
struct report_dependencies
{
    const member& self;
    const clock& time;
    net::message_sender& messages;
    store& values;
    std::function<const fleet_record&()> record;
    std::function<std::shared_ptr<const configuration>()> config;
    std::function<bool()> record_in_force;
    /// Whether no request of a route is in progress on this VM.
    std::function<bool(const std::string&)> route_idle;
};

/// @brief Counters of this VM, copies of other VMs' counters, and reports.
class report_service
{
public:
    explicit report_service(report_dependencies dependencies);

    /// @brief Counts the arrival of a request.
    void on_arrival(const request& arrived);

    /// @brief Counts the outcome of a request.
    void on_record(const request_record& record);

    /// @brief Stores a copy of another VM's counters in memory.
    /// @return `errc::parse_error` if it is malformed
    result<void> accept(counters message);

    /// @brief Answers a `counters_request` of another VM.
    counters_bundle bundle(const std::string& route);

    /// @brief Sends copies that are due; to be called every second.
    void tick();

    /// @brief Sends the final copy to the successors and to the store.
    /// @param done called when all have answered or failed
    void finish(const std::function<void()>& done);

    /// @brief Builds a report from the counters of a route that all members and
    /// the store hold.
    /// @param done called once with the report
    void build(const std::string& route,
               std::function<void(const final_report&)> done);

private:
    struct report_collection;

    void send_to_successors(const counter_copy& copy,
                            const std::function<void()>& answered);
    void store_copy(const counter_copy& copy,
                    const std::function<void()>& done);
    bool is_finished(const std::string& route) const;
    void record_removals();
    void store_copies_of_removed_members();
    std::optional<std::uint64_t>
    max_ran_after_copy(const counter_replica& replica,
                       const std::string& route) const;
    std::string vm_name(const incarnation_id& id) const;

    report_dependencies dependencies_;
    counter_set own_counters_;
    counter_replicas replicas_;
    std::map<incarnation_id, std::string> vm_names_;
    /// When a removal from the record came into force, on this VM's clock.
    std::map<incarnation_id, time_point> removed_at_;
    /// Version of each copy in the store.
    std::map<incarnation_id, std::uint64_t> stored_versions_;
    std::map<incarnation_id, store_revision> stored_revisions_;
    time_point next_store_write_{};
};

} // namespace siskinflow::entry
