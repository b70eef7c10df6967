/// @file
/// @brief Applies entries of the store to the gateway's state; internal.
#pragma once

#include "gateway_state.hpp"
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
/// and when the mirror replaces a watch.
class logging_listener : public mirror_listener
{
public:
    logging_listener(gateway_state& state, std::string operation);

    void on_unavailable(const error& reason) override;
    void on_available(duration down) override;
    void on_watch_replaced(duration unconfirmed) override;
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
    void on_confirmed(time_point asked_at, store_revision revision) override;

private:
    void on_policy(policy_document next, store_revision revision);
    void log_problem(const row_problem& problem, store_revision revision);
    void on_evacuation(const evacuation& change, store_revision revision);

    const record_format& records_;
    std::set<std::string> evacuated_;
};

/// @brief Applies registrations of targets.
class target_feed final : public logging_listener
{
public:
    target_feed(gateway_state& state, const record_format& records);

    void on_change(const store_change& change) override;
    void on_available(duration down) override;
    void on_listed() override;

private:
    void on_registered(const store_change& change);
    void on_removed(const std::string& id, store_revision revision);
    void remove(const std::string& id, store_revision revision);

    const record_format& records_;
    bool listed_ = false;
    /// Until then, targets whose entries expired in an outage may register
    /// again.
    time_point reregistered_by_{};
    std::map<std::string, timer_id> pending_removals_; ///< By target id.
};

/// @brief Applies entries of VMs.
class vm_feed final : public logging_listener
{
public:
    explicit vm_feed(gateway_state& state);
    void on_change(const store_change& change) override;
};

} // namespace siskinflow::gateway
