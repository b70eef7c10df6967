/// @file
/// @brief Decides the next fleet record.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/fleet/freshness.hpp>
#include <siskinflow/fleet/vm_list.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinflow
{

/// @brief Time limits of membership.
struct membership_options
{
    /// Silence after which a member is removed in a fleet with direct
    /// heartbeats.
    duration suspect_after = std::chrono::seconds(1);
    /// As above when evidence comes through relays, where a live member may
    /// seem silent for up to the age that relayed evidence can reach.
    duration suspect_after_relayed = std::chrono::milliseconds(2500);
    /// How long a VM stays listed after it has stopped, at most.
    duration vm_list_lag_bound = std::chrono::seconds(60);
    /// Age up to which the VM list counts as current.
    duration vm_list_max_age = std::chrono::seconds(5);
    /// How long joins and removals are collected before a change is written.
    duration batch_delay = std::chrono::milliseconds(300);
};

/// @brief Tracks since when VMs have been missing from the VM list.
class absence_tracker
{
public:
    /// @brief Handles an answer of the VM list.
    /// @param requested_at when the call was sent
    /// @param record members to track
    void on_vm_list(const vm_states& vms, time_point requested_at,
                    const fleet_record& record);

    /// @brief Whether the list is current and has lacked the VM for this long.
    /// A list that has stopped answering is no evidence of absence.
    bool absent_for(const std::string& vm, duration length, time_point now,
                    const membership_options& options) const;

private:
    std::map<std::string, time_point> absent_since_;
    std::optional<time_point> requested_at_;
};

/// @brief Inputs of a membership decision.
struct membership_view
{
    incarnation_id self;
    time_point now{};
    /// Start of the current uninterrupted period of freshness; nothing if this
    /// VM is not fresh. Silence before it may be due to a fault of this VM.
    std::optional<time_point> fresh_since;
    bool may_change_record = false; ///< See `freshness::may_change_record`.
    bool relayed = false;           ///< Whether evidence comes through relays.
    /// When the newest record became known here.
    time_point record_since{};
    std::map<incarnation_id, member> joining;
    std::set<incarnation_id> leaving;
    const absence_tracker* absences = nullptr;
};

/// @brief Whether a member has been silent for too long.
bool is_suspect(const freshness& state, const membership_view& view,
                const membership_options& options, const member& candidate);

/// @brief The first member of the record that is alive and not leaving.
/// @return the member, or null
const member* first_live_member(const freshness& state,
                                const membership_view& view,
                                const membership_options& options);

/// @brief The record to write next, without its write id.
/// @return nothing if there is no change, the previous one is not in force
/// yet, or another member is to write it
std::optional<fleet_record> next_record(const freshness& state,
                                        const membership_view& view,
                                        const membership_options& options);

/// @brief The record that replaces one whose members have all stopped. The
/// store's compare-and-swap decides which VM's write succeeds.
/// @return nothing unless `freshness::all_stopped` holds and this VM joins
std::optional<fleet_record> recovery_record(const freshness& state,
                                            const membership_view& view);

} // namespace siskinflow
