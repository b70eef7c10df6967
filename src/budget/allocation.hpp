/// @file
/// @brief State of an owned budget and the allocation of its capacity.
#pragma once

#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/budget/budget_spec.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace siskinflow
{

// A holder that has not reported for this long may be dead: its demand is not
// counted, and its share can't be moved before it lapses. Holders renew every
// second.
constexpr duration stale_after = std::chrono::milliseconds(1500);

/// Reported and granted share of one VM in one budget.
struct holder_share
{
    /// Identifies this record; changes when the share lapses.
    std::uint64_t generation = 0;

    bool reported = false; ///< A report was received and has not lapsed.
    std::uint64_t report_sequence = 0;
    time_point received_at{};
    std::int64_t timestamp = 0; ///< Of the last report; echoed in grants.

    double reported_size = 0;
    double reported_burst = 0;

    bool grant_unconfirmed = false;   ///< The last grant is not confirmed.
    std::uint32_t grant_sequence = 0; ///< Sequence of the last grant.
    double granted_size = 0;          ///< Size of the last grant.
    double granted_burst = 0;
    double tokens_granted = 0;  ///< Total of this generation.
    double tokens_returned = 0; ///< Total of this generation.

    double level = 0;
    double demand = 0;
    double request_cost = 0; ///< Tokens that one request takes.
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    bool leaving = false;
    /// Its share was added to `reported_size_sum` and `reported_burst_sum`.
    bool in_reported_sum = false;
    bool grant_scheduled = false; ///< A grant is to be sent.

    double charged_size() const
    {
        return std::max(reported_size, grant_unconfirmed ? granted_size : 0.0);
    }
    double charged_burst() const
    {
        return std::max(reported_burst,
                        grant_unconfirmed ? granted_burst : 0.0);
    }
    bool alive(time_point now) const
    {
        return reported && now - received_at < stale_after;
    }
};

/// Result of the allocation for one holder.
struct allotment
{
    const incarnation_id* id = nullptr;
    holder_share* share = nullptr;
    double desired_size = 0;
    double size = 0;
    double burst = 0;
    double added_units = 0;      ///< Units to be added now.
    std::uint64_t order_key = 0; ///< Changes at intervals, for fairness.
};

/// State of one budget at its owner.
struct budget_state
{
    budget_spec spec;
    budget_id id;
    bool withdrawn = false;
    time_point withdrawn_at{};
    bool cold = false;
    time_point cold_since{};

    /// The owner still waits for the reports of the members, and grants no
    /// more than they have reported.
    bool taking_over = true;
    double reported_size_sum = 0;
    double reported_burst_sum = 0;
    bool wait_for_deadline = false; ///< Also if all members have reported.
    /// Latest end of the takeover.
    std::optional<time_point> takeover_deadline;

    std::unordered_map<incarnation_id, holder_share> holders;
    double sum_size = 0;  ///< Of `charged_size` over the holders.
    double sum_burst = 0; ///< Of `charged_burst` over the holders.
    bucket pool;
    bool dirty = false;
    time_point allocated_at{};
    bool saturated = false;
    std::optional<time_point> used_up_since;

    bool is_rate() const
    {
        return spec.kind == budget_kind::rate;
    }

    double capacity(time_point now) const
    {
        if (withdrawn)
        {
            return 0;
        }
        if (is_rate() || !cold || spec.warm_up <= duration::zero() ||
            spec.size < 1)
        {
            return spec.size;
        }
        const double fraction =
            to_seconds(now - cold_since) / to_seconds(spec.warm_up);
        return std::min(spec.size, 1 + std::floor((spec.size - 1) *
                                                  std::max(0.0, fraction)));
    }

    // Upper limit of the sum of all charges. Until all members have reported,
    // shares that are not known yet may be in use.
    double usable_size(time_point now) const
    {
        const double limit = capacity(now);
        return taking_over ? std::min(limit, reported_size_sum) : limit;
    }

    double usable_burst() const
    {
        const double limit = withdrawn ? 0 : spec.burst;
        return taking_over ? std::min(limit, reported_burst_sum) : limit;
    }

    // Changes a share and updates the sums.
    template <class Update>
    void update_share(holder_share& share, Update&& update)
    {
        sum_size -= share.charged_size();
        sum_burst -= share.charged_burst();
        std::forward<Update>(update)();
        sum_size += share.charged_size();
        sum_burst += share.charged_burst();
    }

    // Removes the rounding errors that accumulate in the sums.
    void recompute_sums()
    {
        sum_size = 0;
        sum_burst = 0;
        for (const auto& [id, each] : holders)
        {
            sum_size += each.charged_size();
            sum_burst += each.charged_burst();
        }
    }

    void resize_pool(time_point now)
    {
        pool.resize(std::max(0.0, usable_size(now) - sum_size),
                    std::max(0.0, usable_burst() - sum_burst), now);
    }
};

/// Divides the capacity of a budget among its holders.
class allocation
{
public:
    /// Grants a new size and burst to a holder.
    using grant_callback =
        std::function<void(budget_state& state, const allotment& to,
                           double size, double burst, time_point now)>;

    /// @param members members of the epoch; others get no share
    allocation(const std::unordered_set<incarnation_id>& members,
               grant_callback set_grant)
        : members_(members), set_grant_(std::move(set_grant))
    {
    }

    void allocate_rate(budget_state& state, time_point now) const;
    void allocate_units(budget_state& state, time_point now) const;

private:
    std::vector<allotment> desired_allotments(budget_state& state,
                                              time_point now) const;
    void shrink_all(budget_state& state, std::vector<allotment>& all,
                    time_point now) const;
    void apply_rate(budget_state& state, std::vector<allotment>& all,
                    time_point now) const;
    void grow_rate(budget_state& state, const allotment& each,
                   double average_size, double average_burst,
                   time_point now) const;
    void reclaim_units(budget_state& state, std::vector<allotment>& all,
                       double shortfall, time_point now) const;

    const std::unordered_set<incarnation_id>& members_;
    grant_callback set_grant_;
};

/// Decides whether the whole budget is in use.
void update_saturation(budget_state& state, time_point now);

} // namespace siskinflow
