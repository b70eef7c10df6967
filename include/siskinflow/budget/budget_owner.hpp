/// @file
/// @brief Allocates shares of the budgets that one VM owns.
#pragma once

#include <siskinflow/budget/budget_spec.hpp>
#include <siskinflow/budget/share_messages.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace siskinflow
{

/// @brief Owner of budgets. Pure: time is an argument, messages are returned.
///
/// Each holder is charged with the larger of the share that it reported and the
/// grant sent since; the sum of all charges never exceeds the capacity except
/// by what was charged before the capacity was reduced.
class budget_owner
{
public:
    explicit budget_owner(const incarnation_id& self);
    ~budget_owner();
    budget_owner(budget_owner&&) noexcept;
    budget_owner& operator=(budget_owner&&) noexcept;

    /// @brief Sets the budgets in force, owned or not. A target that was not
    /// in the previous set is cold; in the first set all targets are warm,
    /// because their history is unknown.
    void set_budgets(const std::vector<budget_spec>& specs, time_point now);

    /// @brief Starts the warm-up of a target's slots again.
    void set_cold(budget_id budget, time_point now);

    /// @brief Sets the owners of an epoch. A budget that is new to this owner
    /// starts with the shares that holders report.
    void set_ownership(const ownership& owned, time_point now);

    /// @brief Sets whether grants may be sent.
    /// @param fresh_until time until which this VM is known to be fresh
    /// @param in_force whether the epoch of `set_ownership` is in force
    void set_authority(time_point fresh_until, bool in_force, time_point now);

    /// @brief Handles a report.
    /// @return the answer, and grants to other holders that follow from it
    std::vector<addressed_grant> on_report(const incarnation_id& sender,
                                           const share_report& message,
                                           time_point now);

    /// @brief Ends lapsed shares and allocates the free capacity.
    std::vector<addressed_grant> tick(time_point now);

    /// @brief State of an owned budget, for status pages and tests.
    struct status
    {
        double capacity = 0; ///< Rate, or units usable now.
        double charged = 0;  ///< Sum of the charges of all holders.
        std::size_t holders = 0;
        bool taking_over = false; ///< Still waiting for reports of members.
        bool saturated = false;
    };
    std::optional<status> status_of(budget_id budget, time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
