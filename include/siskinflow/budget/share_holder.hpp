/// @file
/// @brief The shares that one VM holds.
#pragma once

#include <siskinflow/budget/budget_spec.hpp>
#include <siskinflow/budget/share_messages.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief Time between two reports while something changes or no answer
/// arrives.
constexpr duration report_interval = std::chrono::milliseconds(100);

/// @brief Time between two reports on a share that does not change. It is a
/// third of the lease, because reports that are not answered are repeated
/// every `report_interval`.
constexpr duration renewal_interval = std::chrono::seconds(1);

/// @brief Result of taking tokens.
struct take_result
{
    bool taken = false;
    /// Time until the present share suffices; `duration::max()` if it never
    /// does. A larger share may arrive sooner.
    duration wait{0};
    bool exhausted = false; ///< The whole budget is in use: don't wait.
};

/// @brief Whether a call of `take` counts as demand.
enum class attempt : std::uint8_t
{
    first,    ///< A new request.
    repeated, ///< A request that was counted before and waited.
};

/// @brief Holds shares, uses them, and reports on them. Pure: time is an
/// argument, messages are returned.
///
/// A share is used only while this VM is a fresh member and the lease runs.
/// A slot that is in use when its lease lapses stays counted here: it is
/// reported as held, so that the owner takes it into account again as soon
/// as a report arrives, and it counts against the next share. Meanwhile the
/// owner may have granted it to another VM, so the caller ends the requests
/// that `slots_without_lease` counts by closing their connections to the
/// target.
class share_holder
{
public:
    explicit share_holder(const incarnation_id& self);
    ~share_holder();
    share_holder(share_holder&&) noexcept;
    share_holder& operator=(share_holder&&) noexcept;

    /// @brief Sets the budgets in force. Shares of other budgets are dropped.
    void set_budgets(const std::vector<budget_spec>& specs, time_point now);

    /// @brief Sets the owners of an epoch. A VM that is no member drops its
    /// shares.
    void set_ownership(const ownership& owned, time_point now);

    /// @brief Sets the time until which this VM is known to be fresh.
    void set_fresh_until(time_point until);

    /// @brief Takes tokens of a rate budget.
    take_result take(budget_id budget, double amount, time_point now,
                     attempt kind = attempt::first);

    /// @brief Counts demand of a request that is queued or refused without a
    /// call of `take`.
    void count_arrival(budget_id budget, double amount, time_point now);

    /// @brief Charges (positive) or gives back (negative) the difference
    /// between an estimated and the actual amount.
    void settle(budget_id budget, double amount, time_point now);

    /// @brief Takes a slot of a count budget.
    /// @return whether one was free
    bool acquire(budget_id budget, time_point now);

    /// @brief Releases a slot.
    void release(budget_id budget, time_point now);

    /// @brief Sets how many requests wait for a share.
    void set_queued(budget_id budget, std::uint32_t requests);

    /// @brief Slots that `acquire` can take now.
    std::uint32_t free_slots(budget_id budget, time_point now) const;

    /// @brief Slots in use.
    std::uint32_t in_use(budget_id budget) const;

    /// @brief Slots in use that no lease covers: their lease lapsed, and the
    /// present share is smaller than the slots in use.
    std::uint32_t slots_without_lease(budget_id budget, time_point now) const;

    /// @brief Whether the owner reported that the whole budget is in use.
    bool exhausted(budget_id budget, time_point now) const;

    /// @brief Rate, burst and level of a rate share; zeros without a lease.
    struct holding
    {
        double size = 0;
        double burst = 0;
        double level = 0;
        duration lease{0}; ///< Remaining time.
    };
    holding held(budget_id budget, time_point now) const;

    /// @brief Reports that are due, at most `max_report_entries` entries each.
    std::vector<addressed_report> reports(time_point now);

    /// @brief Whether `reports` would send something at once.
    bool urgent(time_point now) const;

    /// @brief Applies a grant.
    /// @param sender the owner that sent it
    /// @return budgets whose share grew or was established
    std::vector<budget_id> on_grant(const incarnation_id& sender,
                                    const share_grant& message, time_point now);

    /// @brief Returns all shares for a graceful stop, except slots in use,
    /// which are returned as they are released. Later grants are not accepted.
    /// @return reports to send; `reports` repeats them until answered
    std::vector<addressed_report> return_all(time_point now);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
