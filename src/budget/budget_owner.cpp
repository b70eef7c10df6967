#include "allocation.hpp"
#include <siskinflow/budget/budget_owner.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace siskinflow
{

namespace
{

// Shortest time between two allocations of one budget; bounds the cost with
// many holders.
constexpr duration min_allocation_interval = std::chrono::milliseconds(5);
constexpr duration min_interval_per_holder = std::chrono::microseconds(50);

// When a change of the configuration moves a budget to another owner, the old
// owner may grant until the change is in force (freshness window of 1.5 s plus
// 10%).
constexpr duration in_force_delay = std::chrono::milliseconds(1650);

// A withdrawn budget is remembered until all of its shares have lapsed.
constexpr duration withdrawn_retention = in_force_delay + share_lease_at_owner;

/// Holder and echoed timestamp; entries equal in both go into one message.
using grant_address = std::tuple<std::uint64_t, std::uint64_t, std::int64_t>;

} // namespace

struct budget_owner::impl
{
    incarnation_id self;
    ownership owned;
    std::vector<budget_spec> specs;
    bool configured = false;
    std::unordered_map<budget_id, time_point> cold_since;
    std::unordered_map<budget_id, budget_state> budgets;
    std::unordered_set<incarnation_id> members;
    allocation share_allocation{
        members, [this](budget_state& state, const allotment& to, double size,
                        double burst, time_point now)
        { set_grant(state, to, size, burst, now); }};
    time_point fresh_until{};
    bool in_force = false;
    std::uint32_t last_sequence = 0;
    std::uint64_t last_generation = 0;
    std::vector<std::pair<budget_id, incarnation_id>> scheduled_grants;
    /// Budgets added by the last change of budgets.
    std::unordered_set<budget_id> added_budgets;
    /// Budgets withdrawn within `withdrawn_retention`.
    std::unordered_map<budget_id, time_point> withdrawn_times;
    time_point first_configured{};
    time_point configured_at{}; ///< Time of the last change of budgets.

    // Increases over all records of one owner, so that a holder can distinguish
    // a new record, which counts from 0, from the one before.
    std::uint64_t next_generation()
    {
        return ++last_generation;
    }

    bool may_grant(time_point now) const
    {
        return in_force && now < fresh_until && owned.is_member;
    }

    budget_state* find(budget_id id)
    {
        const auto it = budgets.find(id);
        return it == budgets.end() ? nullptr : &it->second;
    }

    holder_share* find_share(budget_id id, const incarnation_id& holder)
    {
        budget_state* state = find(id);
        if (!state)
        {
            return nullptr;
        }
        const auto it = state->holders.find(holder);
        return it == state->holders.end() ? nullptr : &it->second;
    }

    // ---- Owned budgets ----------------------------------------------------

    // No VM holds shares of a budget that did not exist before. The location of
    // a count budget may have changed in a configuration that this VM has not
    // seen, so it always starts with a takeover.
    bool is_new(const budget_spec& spec, time_point now) const
    {
        const budget_id id(spec.name);
        return spec.kind == budget_kind::rate && in_force &&
               added_budgets.contains(id) && !withdrawn_times.contains(id) &&
               now - first_configured >= withdrawn_retention;
    }

    // Until a change of the configuration is in force, a VM that does not know
    // it may still grant as the owner under the old configuration.
    time_point takeover_end(time_point now) const
    {
        return std::max(now, configured_at + in_force_delay) +
               share_lease_at_owner;
    }

    void start_budget(const budget_spec& spec, time_point now)
    {
        budget_state state;
        state.spec = spec;
        state.id = budget_id(spec.name);
        state.taking_over = !is_new(spec, now);
        state.wait_for_deadline =
            spec.kind == budget_kind::count && owned.members_removed;
        state.pool = bucket(0, 0, 0, now);
        const auto cold = cold_since.find(state.id);
        if (cold != cold_since.end())
        {
            state.cold = true;
            state.cold_since = cold->second;
        }
        if (in_force)
        {
            state.takeover_deadline = takeover_end(now);
        }
        budgets.insert_or_assign(state.id, std::move(state));
    }

    void withdraw_missing(time_point now)
    {
        std::unordered_set<budget_id> listed;
        for (const auto& spec : specs)
        {
            listed.insert(budget_id(spec.name));
        }
        for (auto& [id, state] : budgets)
        {
            if (!state.withdrawn && !listed.contains(id))
            {
                state.withdrawn = true;
                state.withdrawn_at = now;
                state.dirty = true;
            }
        }
    }

    void start_or_update(const budget_spec& spec, time_point now)
    {
        budget_state* state = find(budget_id(spec.name));
        if (!state)
        {
            start_budget(spec, now);
            return;
        }
        if (!(state->spec == spec) || state->withdrawn)
        {
            state->spec = spec;
            state->withdrawn = false;
            state->dirty = true;
        }
    }

    bool is_owned(budget_id id) const
    {
        return owned.is_member && owned.owner_of(id) == self;
    }

    // ---- Takeover -----------------------------------------------------------

    bool all_reported(const budget_state& state) const
    {
        return std::all_of(owned.members.begin(), owned.members.end(),
                           [&state](const incarnation_id& id)
                           {
                               const auto it = state.holders.find(id);
                               return it != state.holders.end() &&
                                      it->second.in_reported_sum;
                           });
    }

    void end_takeover_if_complete(budget_state& state, time_point now)
    {
        if (!state.taking_over || !in_force)
        {
            return;
        }
        const bool timed_out =
            state.takeover_deadline && now >= *state.takeover_deadline;
        if (timed_out || (!state.wait_for_deadline && all_reported(state)))
        {
            state.taking_over = false;
            state.dirty = true;
        }
    }

    // ---- Reports ------------------------------------------------------------

    void record_report(budget_state& state, const incarnation_id& sender,
                       const share_report& message, const report_entry& entry,
                       time_point now)
    {
        auto [it, created] = state.holders.try_emplace(sender);
        holder_share& share = it->second;
        if (created)
        {
            share.generation = next_generation();
        }
        if (message.sequence <= share.report_sequence)
        {
            return;
        }
        end_if_lapsed(state, share, now);
        share.report_sequence = message.sequence;
        share.reported = true;
        share.received_at = now;
        share.timestamp = message.timestamp;
        share.leaving = message.leaving;
        const bool same_generation = entry.generation == share.generation;
        state.update_share(share,
                           [&]
                           {
                               share.reported_size = entry.size;
                               share.reported_burst = entry.burst;
                               if (same_generation && entry.applied_sequence >=
                                                          share.grant_sequence)
                               {
                                   share.grant_unconfirmed = false;
                               }
                           });
        share.level = entry.level;
        share.demand = entry.demand;
        share.request_cost = entry.request_cost;
        share.in_flight = entry.in_flight;
        share.queued = entry.queued;
        if (!share.in_reported_sum)
        {
            share.in_reported_sum = true;
            state.reported_size_sum += share.reported_size;
            state.reported_burst_sum += share.reported_burst;
        }
        state.resize_pool(now);
        if (same_generation && entry.tokens_returned > share.tokens_returned)
        {
            state.pool.add(entry.tokens_returned - share.tokens_returned, now);
            share.tokens_returned = entry.tokens_returned;
        }
        schedule_grant(state, it->first, share);
        state.dirty = true;
    }

    void schedule_grant(const budget_state& state, const incarnation_id& holder,
                        holder_share& share)
    {
        if (!share.grant_scheduled)
        {
            share.grant_scheduled = true;
            scheduled_grants.emplace_back(state.id, holder);
        }
    }

    // ---- Lapse --------------------------------------------------------------

    void end_if_lapsed(budget_state& state, holder_share& share, time_point now)
    {
        if (!share.reported || now - share.received_at < share_lease_at_owner)
        {
            return;
        }
        state.update_share(share,
                           [&]
                           {
                               share.reported_size = 0;
                               share.reported_burst = 0;
                               share.grant_unconfirmed = false;
                           });
        share.reported = false;
        share.demand = 0;
        share.queued = 0;
        share.in_flight = 0;
        share.level = 0;
        share.granted_size = 0;
        share.granted_burst = 0;
        share.grant_sequence = ++last_sequence;
        // The pool refills with the burst of the lapsed share. A new
        // generation cancels tokens that were granted but not received, or
        // returned but not reported, which would come in addition.
        share.generation = next_generation();
        share.tokens_granted = 0;
        share.tokens_returned = 0;
        state.dirty = true;
    }

    void end_lapsed(budget_state& state, time_point now)
    {
        for (auto it = state.holders.begin(); it != state.holders.end();)
        {
            holder_share& share = it->second;
            end_if_lapsed(state, share, now);
            // A lapsed record is charged with 0, so the sums do not change.
            const bool expired =
                !share.reported && !members.contains(it->first);
            it = expired ? state.holders.erase(it) : std::next(it);
        }
    }

    // ---- Allocation ---------------------------------------------------------

    // Sets the grant of a holder. An increase is taken from the pool.
    void set_grant(budget_state& state, const allotment& to, double size,
                   double burst, time_point now)
    {
        holder_share& share = *to.share;
        const double added_size = std::max(0.0, size - share.charged_size());
        const double added_burst = std::max(0.0, burst - share.charged_burst());
        const bucket part = state.pool.split(added_size, added_burst, now);
        share.tokens_granted += part.level(now);
        state.update_share(share,
                           [&]
                           {
                               share.granted_size = size;
                               share.granted_burst = burst;
                               share.grant_unconfirmed = true;
                           });
        share.grant_sequence = ++last_sequence;
        schedule_grant(state, *to.id, share);
        state.resize_pool(now);
    }

    void allocate(budget_state& state, time_point now)
    {
        state.dirty = false;
        state.allocated_at = now;
        state.recompute_sums();
        state.resize_pool(now);
        update_saturation(state, now);
        if (state.is_rate())
        {
            share_allocation.allocate_rate(state, now);
        }
        else
        {
            share_allocation.allocate_units(state, now);
        }
    }

    // ---- Grants -------------------------------------------------------------

    grant_entry make_entry(const budget_state& state,
                           const holder_share& share) const
    {
        grant_entry entry;
        entry.budget = state.id;
        entry.generation = share.generation;
        entry.sequence = share.grant_sequence;
        entry.size = static_cast<float>(share.granted_size);
        entry.burst = static_cast<float>(share.granted_burst);
        entry.tokens_granted = share.tokens_granted;
        entry.saturated = state.saturated;
        return entry;
    }

    std::vector<addressed_grant> collect_grants(time_point now)
    {
        std::vector<addressed_grant> messages;
        if (!may_grant(now))
        {
            return messages;
        }
        std::map<grant_address, std::vector<grant_entry>> by_address;
        for (const auto& [id, holder] : scheduled_grants)
        {
            if (holder_share* share = find_share(id, holder))
            {
                share->grant_scheduled = false;
                if (members.contains(holder))
                {
                    by_address[{holder.high, holder.low, share->timestamp}]
                        .push_back(make_entry(*find(id), *share));
                }
            }
        }
        scheduled_grants.clear();
        for (const auto& [to, entries] : by_address)
        {
            for (std::size_t first = 0; first < entries.size();
                 first += max_grant_entries)
            {
                messages.push_back(build_grant(to, entries, first));
            }
        }
        return messages;
    }

    addressed_grant build_grant(const grant_address& to,
                                const std::vector<grant_entry>& entries,
                                std::size_t first) const
    {
        addressed_grant out;
        out.holder = {std::get<0>(to), std::get<1>(to)};
        out.message.epoch = owned.epoch;
        out.message.timestamp = std::get<2>(to);
        out.message.lease_ms = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(share_ttl)
                .count());
        const std::size_t last =
            std::min(entries.size(), first + max_grant_entries);
        out.message.entries.assign(
            entries.begin() + static_cast<std::ptrdiff_t>(first),
            entries.begin() + static_cast<std::ptrdiff_t>(last));
        return out;
    }

    void allocate_if_due(budget_state& state, time_point now)
    {
        end_takeover_if_complete(state, now);
        const duration min_interval =
            std::max<duration>(min_allocation_interval,
                               min_interval_per_holder * state.holders.size());
        if (may_grant(now) && state.dirty &&
            now - state.allocated_at >= min_interval)
        {
            allocate(state, now);
        }
    }
};

budget_owner::budget_owner(const incarnation_id& self)
    : impl_(std::make_unique<impl>())
{
    impl_->self = self;
}

budget_owner::~budget_owner() = default;
budget_owner::budget_owner(budget_owner&&) noexcept = default;
budget_owner& budget_owner::operator=(budget_owner&&) noexcept = default;

void budget_owner::set_budgets(const std::vector<budget_spec>& specs,
                               time_point now)
{
    std::erase_if(impl_->withdrawn_times, [now](const auto& entry)
                  { return now - entry.second > withdrawn_retention; });
    impl_->added_budgets.clear();
    std::unordered_set<budget_id> before;
    for (const auto& spec : impl_->specs)
    {
        before.insert(budget_id(spec.name));
    }
    for (const auto& spec : specs)
    {
        const budget_id id(spec.name);
        if (!impl_->configured || before.erase(id) > 0)
        {
            continue;
        }
        impl_->added_budgets.insert(id);
        if (spec.kind == budget_kind::count)
        {
            impl_->cold_since[id] = now;
        }
    }
    for (const budget_id id : before)
    {
        impl_->withdrawn_times[id] = now;
        impl_->cold_since.erase(id);
    }
    if (!impl_->configured)
    {
        impl_->first_configured = now;
    }
    impl_->specs = specs;
    impl_->configured = true;
    impl_->configured_at = now;
    impl_->withdraw_missing(now);
}

void budget_owner::set_cold(budget_id budget, time_point now)
{
    impl_->cold_since[budget] = now;
    if (budget_state* state = impl_->find(budget))
    {
        state->cold = true;
        state->cold_since = now;
        state->dirty = true;
    }
}

void budget_owner::set_ownership(const ownership& owned, time_point now)
{
    const ownership before = std::move(impl_->owned);
    impl_->owned = owned;
    impl_->members = {owned.members.begin(), owned.members.end()};
    const bool same_epoch = owned.epoch == before.epoch;
    const bool known_history = same_epoch || owned.epoch == before.epoch + 1;
    if (!same_epoch)
    {
        impl_->in_force = false;
    }
    std::erase_if(impl_->budgets,
                  [&](const auto& entry)
                  {
                      const bool kept = entry.second.withdrawn
                                            ? known_history
                                            : impl_->is_owned(entry.first);
                      return !known_history || !kept;
                  });
    for (const auto& spec : impl_->specs)
    {
        const budget_id id(spec.name);
        if (impl_->is_owned(id))
        {
            impl_->start_or_update(spec, now);
        }
    }
    // In a later epoch another VM may have granted shares of them.
    impl_->added_budgets.clear();
}

void budget_owner::set_authority(time_point fresh_until, bool in_force,
                                 time_point now)
{
    const bool begins = in_force && !impl_->in_force;
    impl_->fresh_until = fresh_until;
    impl_->in_force = in_force;
    if (!begins)
    {
        return;
    }
    for (auto& [id, state] : impl_->budgets)
    {
        if (state.taking_over && !state.takeover_deadline)
        {
            state.takeover_deadline = impl_->takeover_end(now);
        }
    }
}

std::vector<addressed_grant>
budget_owner::on_report(const incarnation_id& sender,
                        const share_report& message, time_point now)
{
    if (message.epoch != impl_->owned.epoch || !impl_->members.contains(sender))
    {
        return {};
    }
    for (const auto& entry : message.entries)
    {
        if (budget_state* state = impl_->find(entry.budget))
        {
            impl_->record_report(*state, sender, message, entry, now);
            impl_->allocate_if_due(*state, now);
        }
    }
    return impl_->collect_grants(now);
}

std::vector<addressed_grant> budget_owner::tick(time_point now)
{
    for (auto& [id, state] : impl_->budgets)
    {
        impl_->end_lapsed(state, now);
        const bool warming =
            state.cold && now - state.cold_since <= state.spec.warm_up;
        state.dirty = state.dirty || warming;
        impl_->allocate_if_due(state, now);
    }
    std::erase_if(impl_->budgets,
                  [now](const auto& entry)
                  {
                      const budget_state& state = entry.second;
                      return state.withdrawn &&
                             now - state.withdrawn_at > withdrawn_retention;
                  });
    return impl_->collect_grants(now);
}

std::optional<budget_owner::status>
budget_owner::status_of(budget_id budget, time_point now) const
{
    const budget_state* state = impl_->find(budget);
    if (!state)
    {
        return std::nullopt;
    }
    return status{state->capacity(now), state->sum_size, state->holders.size(),
                  state->taking_over, state->saturated};
}

} // namespace siskinflow
