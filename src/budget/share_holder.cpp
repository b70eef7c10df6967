#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/budget/share_holder.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>

namespace siskinflow
{

namespace
{

// Time constant of the moving average of arrivals.
constexpr double demand_time_constant_s = 1.0;

// A rate share without arrivals for this time is returned, so that idle
// organisations cause no reports.
constexpr duration idle_release_time = std::chrono::seconds(10);

// Peak use of slots is remembered for this long, so that a short pause
// between two requests does not look like less demand.
constexpr duration peak_window = std::chrono::seconds(1);

// A renewal of at least this age is added to other reports to the same owner.
constexpr duration early_renewal_age = renewal_interval / 2;

// Shortest time between two urgent reports on one budget.
constexpr duration min_urgent_interval = std::chrono::milliseconds(10);

// A change of demand below this fraction plus this many standard deviations of
// the moving average is reported with the next renewal only.
constexpr double demand_change_fraction = 0.1;
constexpr double demand_change_deviations = 3;

// A report that tells a new owner that nothing is held is repeated at this
// interval until it is answered.
constexpr duration empty_report_interval = std::chrono::milliseconds(300);

// `saturated` is valid for this long after the grant that set it.
constexpr duration saturation_lifetime = std::chrono::milliseconds(1500);

/// Counters of the grants and returns exchanged with one owner.
struct owner_counters
{
    std::uint64_t generation = 0;
    std::uint32_t applied_sequence = 0; ///< Sequence of the grant last applied.
    double tokens_received = 0;         ///< Tokens received in this generation.
    double tokens_returned = 0;         ///< Tokens returned in this generation.
};

struct share
{
    budget_spec spec;
    incarnation_id owner;
    time_point owner_since{};
    owner_counters counters;
    /// Counters of earlier owners: an owner that did not notice that it lost
    /// the budget for a while continues to count from them.
    std::unordered_map<incarnation_id, owner_counters> earlier_counters;
    bool leased = false;
    time_point lease_end{};

    bucket tokens;             ///< Rate budgets.
    std::uint32_t granted = 0; ///< Count budgets: units granted.
    std::uint32_t used = 0;    ///< Count budgets: units in use.
    /// Units in use since before a lapse that no later grant covers.
    std::uint32_t uncovered = 0;

    double arrival_rate = 0; ///< Moving average, per second.
    time_point arrival_rate_at{};
    double request_cost = 0; ///< Largest recent amount, decaying.
    std::uint32_t queued = 0;
    std::uint32_t peak = 0;          ///< Units used or asked for lately.
    std::uint32_t previous_peak = 0; ///< The same in the window before.
    time_point peak_since{};
    /// A request asked for more than the share since the last report.
    bool short_since_report = false;
    bool last_attempt_succeeded = true; ///< Result of the last request.
    bool saturated = false;
    time_point saturated_at{};

    bool owner_answered = false; ///< A grant arrived in this epoch.
    bool urgent = false;
    bool awaiting_grant = false; ///< No grant since the last report.
    time_point reported_at{};
    float reported_demand = 0;
    std::uint32_t reported_queued = 0;

    bool is_rate() const
    {
        return spec.kind == budget_kind::rate;
    }

    double demand(time_point now) const
    {
        const double age = to_seconds(now - arrival_rate_at);
        return arrival_rate *
               std::exp(-std::max(0.0, age) / demand_time_constant_s);
    }

    void count_arrival(double amount, time_point now)
    {
        arrival_rate = demand(now) + amount / demand_time_constant_s;
        arrival_rate_at = now;
        request_cost = std::max(amount, request_cost * 0.99);
    }

    void rotate_peak_window(time_point now)
    {
        if (now - peak_since >= peak_window)
        {
            previous_peak = now - peak_since < 2 * peak_window ? peak : 0;
            peak = used;
            peak_since = now;
        }
    }

    void record_use(std::uint32_t units, time_point now)
    {
        rotate_peak_window(now);
        peak = std::max(peak, units);
    }

    std::uint32_t held_units() const
    {
        return std::max(leased ? granted : 0, used);
    }

    // The tokens are discarded: the owner can't know how many were used.
    void drop()
    {
        leased = false;
        tokens = bucket();
        granted = 0;
        uncovered = used;
    }

    void reduce_uncovered()
    {
        uncovered = std::min(uncovered, used > granted ? used - granted : 0);
    }

    void expire(time_point now)
    {
        if (leased && now >= lease_end)
        {
            drop();
            urgent = true;
        }
    }

    bool idle(time_point now) const
    {
        return queued == 0 && now - arrival_rate_at > idle_release_time;
    }

    bool is_active(time_point now) const
    {
        if (leased || queued > 0 || short_since_report)
        {
            return true;
        }
        return is_rate() ? !idle(now) && arrival_rate > 0
                         : used > 0 || peak > 0 || previous_peak > 0;
    }

    // Only the first shortage is reported at once; while it lasts, the
    // regular reports suffice.
    void record_shortage()
    {
        urgent = urgent || (last_attempt_succeeded && !saturated);
        last_attempt_succeeded = false;
        short_since_report = true;
    }
};

// Arrivals are taken to be independent of each other (Poisson).
bool differs_significantly(double previous, double current, double request_cost)
{
    const double deviation =
        std::sqrt(std::max(previous, request_cost) * request_cost /
                  (2 * demand_time_constant_s));
    return std::abs(current - previous) >
           demand_change_fraction * previous +
               demand_change_deviations * deviation;
}

} // namespace

struct share_holder::impl
{
    incarnation_id self;
    ownership owned;
    std::unordered_map<budget_id, share> shares;
    time_point fresh_until{};
    std::uint64_t sequence = 0;
    bool leaving = false;

    share* find(budget_id budget)
    {
        const auto it = shares.find(budget);
        return it == shares.end() ? nullptr : &it->second;
    }

    share* find_and_expire(budget_id budget, time_point now)
    {
        share* current = find(budget);
        if (current)
        {
            current->expire(now);
        }
        return current;
    }

    bool may_use(time_point now) const
    {
        return now < fresh_until && owned.is_member;
    }

    void assign_owners(bool new_epoch, time_point now)
    {
        for (auto& [id, each] : shares)
        {
            const incarnation_id owner = owned.owner_of(id);
            if (owner != each.owner || new_epoch)
            {
                each.owner_answered = false;
                each.urgent = true;
            }
            if (owner != each.owner)
            {
                change_owner(each, owner, now);
            }
        }
    }

    void change_owner(share& each, const incarnation_id& owner, time_point now)
    {
        each.earlier_counters[each.owner] = each.counters;
        each.counters = each.earlier_counters[owner];
        each.earlier_counters.erase(owner);
        std::erase_if(each.earlier_counters,
                      [this](const auto& entry)
                      {
                          return std::find(owned.members.begin(),
                                           owned.members.end(),
                                           entry.first) == owned.members.end();
                      });
        each.owner = owner;
        each.owner_since = now;
    }

    bool report_due(share& each, time_point now) const
    {
        if (each.owner.empty())
        {
            return false;
        }
        const duration since = now - each.reported_at;
        // Checked before `is_active`: a share that was reduced to zero is not
        // active, but its owner waits for the confirmation.
        if (each.urgent && since >= min_urgent_interval)
        {
            return true;
        }
        if (!each.is_active(now))
        {
            return !each.owner_answered && since >= empty_report_interval;
        }
        const bool changed = each.awaiting_grant || !each.owner_answered ||
                             each.short_since_report || each.queued > 0 ||
                             each.queued != each.reported_queued ||
                             demand_changed(each, now);
        return since >= (changed ? report_interval : renewal_interval);
    }

    bool demand_changed(share& each, time_point now) const
    {
        const double demand = current_demand(each, now);
        return each.is_rate() ? differs_significantly(each.reported_demand,
                                                      demand, each.request_cost)
                              : demand > std::max<double>(each.reported_demand,
                                                          each.granted);
    }

    double current_demand(share& each, time_point now) const
    {
        if (leaving)
        {
            return 0;
        }
        if (each.is_rate())
        {
            return each.demand(now);
        }
        each.rotate_peak_window(now);
        return std::max({each.used, each.peak, each.previous_peak});
    }

    report_entry make_entry(budget_id id, share& each, time_point now) const
    {
        report_entry entry;
        entry.budget = id;
        entry.generation = each.counters.generation;
        entry.applied_sequence = each.counters.applied_sequence;
        entry.demand = static_cast<float>(current_demand(each, now));
        entry.queued = each.queued;
        entry.request_cost = static_cast<float>(each.request_cost);
        entry.tokens_returned = each.counters.tokens_returned;
        if (each.is_rate())
        {
            if (each.short_since_report && entry.queued == 0)
            {
                entry.queued = 1;
            }
            entry.size = static_cast<float>(each.tokens.rate());
            entry.burst = static_cast<float>(each.tokens.burst());
            entry.level = static_cast<float>(each.tokens.level(now));
        }
        else
        {
            entry.size = static_cast<float>(each.held_units());
            entry.level = static_cast<float>(each.leased ? each.granted : 0);
            entry.in_flight = each.used;
        }
        return entry;
    }

    void record_report(share& each, const report_entry& entry, time_point now)
    {
        each.reported_at = now;
        each.reported_demand = entry.demand;
        each.reported_queued = entry.queued;
        each.awaiting_grant = true;
        each.urgent = false;
        each.short_since_report = false;
    }

    void return_tokens(share& each, time_point now)
    {
        each.counters.tokens_returned += std::max(0.0, each.tokens.level(now));
        each.tokens = bucket();
    }

    // Returns rate shares that are not used.
    void release_idle(share& each, time_point now)
    {
        if (each.is_rate() && each.leased && each.idle(now))
        {
            return_tokens(each, now);
            each.leased = false;
            each.arrival_rate = 0;
            each.owner_answered = false;
            each.urgent = true;
        }
    }

    // Adds renewals that are due soon to messages that are sent anyway, so that
    // the renewals to one owner are sent together.
    void add_early_renewals(
        std::unordered_map<incarnation_id, std::vector<share*>>& by_owner,
        time_point now)
    {
        for (auto& [id, each] : shares)
        {
            const duration since = now - each.reported_at;
            const auto it = by_owner.find(each.owner);
            if (it != by_owner.end() && each.is_active(now) &&
                since >= early_renewal_age && !report_due(each, now))
            {
                it->second.push_back(&each);
            }
        }
    }

    std::vector<addressed_report> collect_reports(time_point now, bool all)
    {
        std::vector<addressed_report> messages;
        if (!owned.is_member)
        {
            return messages;
        }
        std::unordered_map<incarnation_id, std::vector<share*>> by_owner;
        for (auto& [id, each] : shares)
        {
            each.expire(now);
            release_idle(each, now);
            if (all ? !each.owner.empty() : report_due(each, now))
            {
                by_owner[each.owner].push_back(&each);
            }
        }
        if (!all && !by_owner.empty())
        {
            add_early_renewals(by_owner, now);
        }
        for (auto& [owner, list] : by_owner)
        {
            for (std::size_t first = 0; first < list.size();
                 first += max_report_entries)
            {
                messages.push_back(build_report(owner, list, first, now));
            }
        }
        return messages;
    }

    addressed_report build_report(const incarnation_id& owner,
                                  const std::vector<share*>& list,
                                  std::size_t first, time_point now)
    {
        addressed_report out;
        out.owner = owner;
        out.message.epoch = owned.epoch;
        out.message.sequence = ++sequence;
        out.message.timestamp = now.time_since_epoch().count();
        out.message.leaving = leaving;
        const std::size_t last =
            std::min(list.size(), first + max_report_entries);
        for (std::size_t i = first; i < last; ++i)
        {
            share& each = *list[i];
            out.message.entries.push_back(
                make_entry(budget_id(each.spec.name), each, now));
            record_report(each, out.message.entries.back(), now);
        }
        return out;
    }

    // Returns whether the share grew or was established.
    bool apply_grant(share& each, const grant_entry& entry,
                     time_point lease_end, time_point now)
    {
        each.expire(now);
        if (entry.generation < each.counters.generation)
        {
            return false;
        }
        if (entry.generation > each.counters.generation)
        {
            each.counters = {.generation = entry.generation};
        }
        each.owner_answered = true;
        each.awaiting_grant = false;
        each.saturated = entry.saturated;
        each.saturated_at = now;
        // A grant with the sequence applied last renews the lease only: units
        // released or lapsed since then may have been granted to others.
        if (entry.sequence < each.counters.applied_sequence)
        {
            return false;
        }
        bool grew = false;
        if (entry.sequence > each.counters.applied_sequence)
        {
            each.counters.applied_sequence = entry.sequence;
            grew = apply_sizes(each, entry, now);
            // The owner changes a share again only after this one is
            // confirmed.
            each.urgent = true;
            // Units in use need a lease until they are released.
            each.leased = each.used > 0 ||
                          (!leaving && (entry.size > 0 || entry.burst > 0));
        }
        each.lease_end = std::max(each.lease_end, lease_end);
        return grew;
    }

    bool apply_sizes(share& each, const grant_entry& entry, time_point now)
    {
        if (leaving)
        {
            // Tokens that arrive after the stop are returned unused.
            each.counters.tokens_returned += std::max(
                0.0, entry.tokens_granted - each.counters.tokens_received);
            each.counters.tokens_received =
                std::max(each.counters.tokens_received, entry.tokens_granted);
            each.urgent = true;
            return false;
        }
        if (!each.is_rate())
        {
            const std::uint32_t units =
                static_cast<std::uint32_t>(std::lround(entry.size));
            const bool grew = units > (each.leased ? each.granted : 0);
            each.granted = units;
            each.reduce_uncovered();
            return grew;
        }
        const bool grew = entry.size > each.tokens.rate() ||
                          entry.burst > each.tokens.burst() ||
                          entry.tokens_granted > each.counters.tokens_received;
        if (!each.leased)
        {
            each.tokens = bucket(0, 0, 0, now);
        }
        each.counters.tokens_returned +=
            each.tokens.resize(entry.size, entry.burst, now);
        const double new_tokens =
            std::max(0.0, entry.tokens_granted - each.counters.tokens_received);
        each.counters.tokens_returned += each.tokens.add(new_tokens, now);
        each.counters.tokens_received =
            std::max(each.counters.tokens_received, entry.tokens_granted);
        return grew;
    }
};

share_holder::share_holder(const incarnation_id& self)
    : impl_(std::make_unique<impl>())
{
    impl_->self = self;
}

share_holder::~share_holder() = default;
share_holder::share_holder(share_holder&&) noexcept = default;
share_holder& share_holder::operator=(share_holder&&) noexcept = default;

void share_holder::set_budgets(const std::vector<budget_spec>& specs,
                               time_point now)
{
    std::unordered_map<budget_id, share> kept;
    for (auto& [id, each] : impl_->shares)
    {
        // The counters of a dropped share are kept: if the budget returns,
        // its owner may still count from them, and slots may be in use.
        if (each.counters.applied_sequence > 0 || each.used > 0)
        {
            kept.emplace(id, each);
        }
    }
    for (const auto& spec : specs)
    {
        const budget_id id(spec.name);
        kept.erase(id);
        const auto it = impl_->shares.find(id);
        if (it != impl_->shares.end() && it->second.spec.kind == spec.kind)
        {
            it->second.spec = spec;
            kept.insert(impl_->shares.extract(it));
            continue;
        }
        share added;
        added.spec = spec;
        added.peak_since = now;
        added.arrival_rate_at = now;
        kept.emplace(id, std::move(added));
    }
    for (auto& [id, each] : kept)
    {
        if (impl_->shares.contains(id))
        {
            each.drop();
            each.queued = 0;
        }
    }
    impl_->shares = std::move(kept);
}

void share_holder::set_ownership(const ownership& owned, time_point now)
{
    const bool new_epoch = owned.epoch != impl_->owned.epoch;
    impl_->owned = owned;
    if (!owned.is_member)
    {
        for (auto& [id, each] : impl_->shares)
        {
            each.expire(now);
            each.drop();
        }
    }
    impl_->assign_owners(new_epoch, now);
}

void share_holder::set_fresh_until(time_point until)
{
    impl_->fresh_until = until;
}

take_result share_holder::take(budget_id budget, double amount, time_point now,
                               attempt kind)
{
    take_result outcome;
    outcome.wait = duration::max();
    share* current = impl_->find_and_expire(budget, now);
    if (!current || !current->is_rate())
    {
        return outcome;
    }
    if (kind == attempt::first)
    {
        current->count_arrival(amount, now);
    }
    if (!impl_->may_use(now))
    {
        return outcome;
    }
    if (current->leased && current->tokens.try_take(amount, now))
    {
        current->last_attempt_succeeded = true;
        outcome.taken = true;
        outcome.wait = duration::zero();
        return outcome;
    }
    current->record_shortage();
    outcome.exhausted = exhausted(budget, now);
    outcome.wait = current->leased
                       ? current->tokens.time_until_available(amount, now)
                       : duration::max();
    return outcome;
}

void share_holder::count_arrival(budget_id budget, double amount,
                                 time_point now)
{
    if (share* current = impl_->find_and_expire(budget, now))
    {
        current->count_arrival(amount, now);
    }
}

void share_holder::settle(budget_id budget, double amount, time_point now)
{
    share* current = impl_->find_and_expire(budget, now);
    if (current && current->is_rate() && current->leased)
    {
        current->tokens.settle(amount, now);
    }
}

bool share_holder::acquire(budget_id budget, time_point now)
{
    share* current = impl_->find_and_expire(budget, now);
    if (!current || current->is_rate() || !impl_->may_use(now) ||
        impl_->leaving)
    {
        return false;
    }
    current->record_use(current->used + 1, now);
    if (!current->leased || current->used >= current->granted)
    {
        current->record_shortage();
        return false;
    }
    current->last_attempt_succeeded = true;
    ++current->used;
    return true;
}

void share_holder::release(budget_id budget, time_point now)
{
    share* current = impl_->find_and_expire(budget, now);
    if (!current || current->used == 0)
    {
        return;
    }
    const std::uint32_t before = current->held_units();
    current->rotate_peak_window(now);
    --current->used;
    current->reduce_uncovered();
    current->leased = current->leased && current->held_units() > 0;
    // The owner waits for units that were kept only because they were in use.
    current->urgent = current->urgent || current->held_units() < before;
}

void share_holder::set_queued(budget_id budget, std::uint32_t requests)
{
    if (share* current = impl_->find(budget))
    {
        current->urgent =
            current->urgent || (current->queued == 0 && requests > 0);
        current->queued = requests;
    }
}

std::uint32_t share_holder::free_slots(budget_id budget, time_point now) const
{
    share* current = impl_->find_and_expire(budget, now);
    if (!current || !current->leased || !impl_->may_use(now) || impl_->leaving)
    {
        return 0;
    }
    return current->granted > current->used ? current->granted - current->used
                                            : 0;
}

std::uint32_t share_holder::in_use(budget_id budget) const
{
    const share* current = impl_->find(budget);
    return current ? current->used : 0;
}

std::uint32_t share_holder::slots_without_lease(budget_id budget,
                                                time_point now) const
{
    const share* current = impl_->find_and_expire(budget, now);
    return current ? current->uncovered : 0;
}

bool share_holder::urgent(time_point now) const
{
    return std::any_of(impl_->shares.begin(), impl_->shares.end(),
                       [now](const auto& entry)
                       {
                           const share& each = entry.second;
                           return each.urgent && !each.owner.empty() &&
                                  now - each.reported_at >= min_urgent_interval;
                       });
}

bool share_holder::exhausted(budget_id budget, time_point now) const
{
    const share* current = impl_->find(budget);
    return current && current->saturated &&
           now - current->saturated_at < saturation_lifetime;
}

share_holder::holding share_holder::held(budget_id budget, time_point now) const
{
    const share* current = impl_->find_and_expire(budget, now);
    if (!current || !current->leased)
    {
        return {};
    }
    if (!current->is_rate())
    {
        return {double(current->granted), 0, 0, current->lease_end - now};
    }
    return {current->tokens.rate(), current->tokens.burst(),
            current->tokens.level(now), current->lease_end - now};
}

std::vector<addressed_report> share_holder::reports(time_point now)
{
    return impl_->collect_reports(now, false);
}

std::vector<budget_id> share_holder::on_grant(const incarnation_id& sender,
                                              const share_grant& message,
                                              time_point now)
{
    std::vector<budget_id> grown_budgets;
    const time_point lease_end =
        time_point(duration(message.timestamp)) +
        std::min<duration>(std::chrono::milliseconds(message.lease_ms),
                           share_ttl);
    if (message.epoch != impl_->owned.epoch || !impl_->owned.is_member ||
        lease_end <= now)
    {
        return grown_budgets;
    }
    for (const auto& entry : message.entries)
    {
        share* current = impl_->find(entry.budget);
        // A grant that answers a report sent before the sender became the owner
        // belongs to an earlier ownership.
        if (current && current->owner == sender &&
            time_point(duration(message.timestamp)) >= current->owner_since &&
            impl_->apply_grant(*current, entry, lease_end, now))
        {
            grown_budgets.push_back(entry.budget);
        }
    }
    return grown_budgets;
}

std::vector<addressed_report> share_holder::return_all(time_point now)
{
    impl_->leaving = true;
    for (auto& [id, each] : impl_->shares)
    {
        each.expire(now);
        if (each.leased && each.is_rate())
        {
            impl_->return_tokens(each, now);
        }
        each.granted = 0;
        each.leased = each.leased && each.used > 0;
        each.queued = 0;
        each.owner_answered = false;
    }
    return impl_->collect_reports(now, true);
}

} // namespace siskinflow
