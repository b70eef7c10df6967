/// @file
/// @brief Budgets of one VM: its shares and the budgets that it owns.
#pragma once

#include <siskinflow/budget/budget_owner.hpp>
#include <siskinflow/budget/share_holder.hpp>
#include <siskinflow/net/udp_socket.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief State of the fleet module at the time of a tick.
struct budget_view
{
    incarnation_id self;
    bool fresh = false;
    /// Time until which the VM is known to be fresh; max if not known.
    time_point fresh_until = time_point::max();
    bool is_member = false;
    std::uint64_t epoch = 0;
    bool epoch_in_force = false;
    std::shared_ptr<const fleet_record> record;
};

/// @brief A view is valid for this long, so that a VM that resumes after a
/// pause uses and grants nothing before the next tick. It equals the
/// additional 10% of the freshness window that pass before a revision comes
/// into force.
constexpr duration max_view_age = std::chrono::milliseconds(150);

/// @brief Largest interval between calls of `budget_node::tick`; shortages
/// are reported and grants confirmed with this delay.
constexpr duration budget_tick_interval = std::chrono::milliseconds(10);

/// @brief Encodes messages as datagrams.
struct budget_codec
{
    std::function<std::string(const share_report&)> encode_report;
    std::function<std::string(const share_grant&)> encode_grant;
};

/// @brief Connects the owner and the holder of a VM to those of other VMs by
/// datagrams. Reports and grants between the two on one VM are passed directly.
class budget_node
{
public:
    /// @brief Called from `tick` or `on_grant` when a share grew, so that
    /// waiting requests can continue.
    using available = std::function<void(budget_id budget)>;

    /// @param sender must outlive the node
    /// @param choose_owner chooses the owner of a budget by the fleet record
    budget_node(const incarnation_id& self, net::datagram_sender& sender,
                budget_codec codec, owner_chooser choose_owner,
                available on_available);
    ~budget_node();

    /// @brief Sets the configuration in force.
    void set_configuration(const configuration& config, time_point now);

    /// @brief Applies the view and sends the messages that are due. To be
    /// called every `budget_tick_interval`.
    void tick(time_point now, const budget_view& view);

    /// @brief Handles a message of another VM.
    void on_report(const incarnation_id& sender, const share_report& message,
                   time_point now);
    void on_grant(const incarnation_id& sender, const share_grant& message,
                  time_point now);

    /// @brief As in `share_holder`; a shortage is reported at once.
    take_result take(budget_id budget, double amount, time_point now,
                     attempt kind = attempt::first);
    bool acquire(budget_id budget, time_point now);
    void release(budget_id budget, time_point now);

    /// @brief Returns all shares for a graceful stop. `tick` continues to
    /// send reports until the owners have answered.
    void return_all(time_point now);

    /// @brief The shares of this VM.
    share_holder& shares();
    const share_holder& shares() const;

    /// @brief The budgets that this VM owns.
    budget_owner& owner();
    const budget_owner& owner() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
