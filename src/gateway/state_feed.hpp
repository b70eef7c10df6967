/// @file
/// @brief Applies entries of the store to the gateway's state; internal.
#pragma once

#include "gateway_state.hpp"
#include "pending_actions.hpp"
#include <siskinflow/gateway/record_format.hpp>
#include <siskinflow/store/store_mirror.hpp>

#include <functional>
#include <map>
#include <string>

namespace siskinflow::gateway
{

/// @brief Prefix of the VM entries in the store.
inline constexpr const char* vm_prefix = "siskinflow/vms/";

/// @brief Logs when the store becomes unavailable or available to one mirror,
/// when the mirror replaces a watch, and when the store has begun an era.
class logging_listener : public mirror_listener
{
public:
    logging_listener(gateway_state& state, std::string operation);

    void on_unavailable(const error& reason) override;
    void on_available(duration down) override;
    void on_watch_replaced(const replaced_watch& watch) override;
    void on_new_era(std::uint64_t era) override;
    void on_listed() override {}

protected:
    gateway_state& state_;

private:
    std::string operation_;
};

/// @brief Applies policies and evacuations.
class operator_feed final : public logging_listener
{
public:
    operator_feed(gateway_state& state, const record_format& records);
    void on_change(const store_change& change) override;
    void on_confirmed(time_point asked_at, store_position position) override;
    void on_new_era(std::uint64_t era) override;
    void on_listed() override;

private:
    void on_policy(policy_document next, store_revision revision);
    void log_problem(const row_problem& problem, store_revision revision);
    void on_evacuation(const evacuation& change, store_revision revision);
    void set_evacuated(const evacuation& change, store_revision revision);

    const record_format& records_;
    std::set<std::string> evacuated_;
    bool listing_new_era_ = false; ///< Missing keys may be written again.
    pending_actions pending_ends_; ///< Of evacuations, by failure domain.
};

/// @brief Applies registrations of targets.
class target_feed final : public logging_listener
{
public:
    target_feed(gateway_state& state, const record_format& records);

    void on_change(const store_change& change) override;
    void on_available(duration down) override;
    void on_new_era(std::uint64_t era) override;
    void on_listed() override;

private:
    bool is_earlier_incarnation(const target_record& entry) const;
    void keep_withdrawn(target_record& entry);
    void on_registered(const store_change& change);
    void on_removed(const std::string& id, store_revision revision);
    void remove(const std::string& id, store_revision revision);

    const record_format& records_;
    bool listed_ = false;
    bool listing_new_era_ = false; ///< Entries may be older than known ones.
    /// Start of the last incarnation that was draining, by target id.
    std::map<std::string, std::int64_t> draining_;
    /// Until then, targets whose entries expired in an outage may register
    /// again.
    time_point reregistered_by_{};
    pending_actions pending_removals_; ///< By target id.
};

/// @brief Applies entries of VMs.
class vm_feed final : public logging_listener
{
public:
    explicit vm_feed(gateway_state& state);
    void on_change(const store_change& change) override;
    void on_new_era(std::uint64_t era) override;

private:
    void on_removed(const std::string& name);
    void unlist(const std::string& name);

    /// Until then, VMs whose leases ended with an era may register again.
    time_point reregistered_by_{};
    pending_actions pending_removals_; ///< By VM name.
};

} // namespace siskinflow::gateway
