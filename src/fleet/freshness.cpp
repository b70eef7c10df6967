#include <siskinflow/fleet/freshness.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace siskinflow
{

namespace
{

/// Records whose bit order can be decoded: relays may lag by a change or two.
constexpr std::size_t record_history = 3;

/// Revisions tracked until they are in force. A newer one that is in force
/// implies the older ones, so dropping the oldest loses no correctness.
constexpr std::size_t max_pending_revisions = 64;

/// Evidence in the same age bucket shares a group and is given the age of the
/// oldest, which overstates an age by up to the bucket's width. The width
/// doubles until the groups fit into their part of a datagram.
constexpr std::uint16_t age_bucket_ms = 250;
constexpr std::uint16_t max_age_bucket_ms = 2000;
constexpr std::size_t max_evidence_bytes = 900;
/// Bytes of a group besides its bitmap.
constexpr std::size_t group_overhead_bytes = 28;

std::vector<member> sorted_members(const fleet_record& record)
{
    std::vector<member> out = record.members;
    for (const member& item : record.previous_members)
    {
        if (record.find(item.incarnation) == nullptr)
        {
            out.push_back(item);
        }
    }
    std::sort(out.begin(), out.end(),
              [](const member& left, const member& right)
              {
                  return std::tie(left.failure_domain, left.incarnation) <
                         std::tie(right.failure_domain, right.incarnation);
              });
    return out;
}

struct observation
{
    std::optional<time_point> heard;
    std::optional<time_point> evidence;
    known_revisions revisions;
};

/// A revision known here and the time since which majorities have stated it.
struct pending_revision
{
    store_revision revision = 0;
    std::optional<time_point> since;
};

/// Members of a recent record in the order of their bits in relayed evidence.
struct bit_order
{
    store_revision revision = 0;
    std::vector<incarnation_id> ids;
};

std::uint16_t age_in_ms(duration age)
{
    const auto rounded =
        std::chrono::ceil<std::chrono::milliseconds>(age).count();
    const std::int64_t limit = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(rounded, 0, limit));
}

void set_bit(std::string& bitmap, std::size_t bit)
{
    const auto byte = static_cast<unsigned char>(bitmap[bit / 8]);
    bitmap[bit / 8] = static_cast<char>(byte | (1U << (bit % 8)));
}

std::size_t encoded_bytes(const std::vector<evidence_group>& groups)
{
    std::size_t bytes = 0;
    for (const evidence_group& group : groups)
    {
        bytes += group_overhead_bytes + group.bitmap.size();
    }
    return bytes;
}

/// Removes zero bytes at both ends.
void trim(evidence_group& group)
{
    const auto first = group.bitmap.find_first_not_of('\0');
    const auto last = group.bitmap.find_last_not_of('\0');
    if (first == std::string::npos)
    {
        group.bitmap.clear();
        return;
    }
    group.byte_offset = static_cast<std::uint16_t>(first);
    group.bitmap = group.bitmap.substr(first, last - first + 1);
}

} // namespace

struct freshness::impl
{
    impl(const incarnation_id& id, time_point start,
         const freshness_options& settings)
        : self(id), started(start), options(settings)
    {
    }

    incarnation_id self;
    time_point started;
    freshness_options options;
    fleet_record record;
    std::vector<member> ordered_members;
    std::deque<bit_order> recent_bit_orders;
    known_revisions known;
    known_revisions in_force;
    std::unordered_map<incarnation_id, observation> observations;
    std::deque<pending_revision> pending_config;
    std::deque<pending_revision> pending_fleet;
    std::set<incarnation_id> stopped;
    /// Members whose stop was known before a read of the store began.
    std::set<incarnation_id> excluded;
    time_point stopped_since{};
    bool caught_up = false;
    /// Time until which the present evidence suffices; computed on demand.
    mutable std::optional<time_point> cached_fresh_until;

    void invalidate()
    {
        cached_fresh_until.reset();
    }

    /// Members of a list that count towards its majority.
    std::size_t voter_count(const std::vector<member>& list) const
    {
        return static_cast<std::size_t>(
            std::count_if(list.begin(), list.end(),
                          [this](const member& item)
                          { return excluded.count(item.incarnation) == 0; }));
    }

    /// Whether more than half of a list's voters satisfy the predicate.
    template <class Predicate>
    bool has_majority(const std::vector<member>& list,
                      Predicate predicate) const
    {
        const std::size_t size = voter_count(list);
        std::size_t count = 0;
        for (const member& item : list)
        {
            count += excluded.count(item.incarnation) == 0 &&
                             predicate(item.incarnation)
                         ? 1
                         : 0;
        }
        return 2 * count > size;
    }

    /// As above for both lists of a record that is being changed. A previous
    /// list without voters counts as satisfied.
    template <class Predicate>
    bool has_joint_majority(Predicate predicate) const
    {
        if (!has_majority(record.members, predicate))
        {
            return false;
        }
        return record.previous_members.empty() ||
               voter_count(record.previous_members) == 0 ||
               has_majority(record.previous_members, predicate);
    }

    const observation* find(const incarnation_id& id) const
    {
        auto it = observations.find(id);
        return it == observations.end() ? nullptr : &it->second;
    }

    /// Evidence of a member, unless it stated a revision unknown here.
    std::optional<time_point> usable_evidence(const incarnation_id& id) const
    {
        const observation* observed = find(id);
        if (observed == nullptr || observed->revisions.config > known.config ||
            observed->revisions.fleet > known.fleet)
        {
            return std::nullopt;
        }
        return observed->evidence;
    }

    /// Time of the oldest evidence in the majority with the newest evidence.
    std::optional<time_point>
    majority_evidence(const std::vector<member>& list) const
    {
        const std::size_t size = voter_count(list);
        std::vector<time_point> times;
        times.reserve(list.size());
        for (const member& item : list)
        {
            if (excluded.count(item.incarnation) != 0)
            {
                continue;
            }
            if (item.incarnation == self)
            {
                times.push_back(time_point::max());
            }
            else if (auto evidence = usable_evidence(item.incarnation))
            {
                times.push_back(*evidence);
            }
        }
        const std::size_t needed = size / 2 + 1;
        if (size == 0 || times.size() < needed)
        {
            return std::nullopt;
        }
        const auto nth =
            times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
        std::nth_element(times.begin(), nth, times.end(), std::greater<>());
        return *nth;
    }

    time_point compute_fresh_until() const
    {
        auto oldest = majority_evidence(record.members);
        if (!oldest)
        {
            return time_point::min();
        }
        if (!record.previous_members.empty() &&
            voter_count(record.previous_members) != 0)
        {
            const auto previous = majority_evidence(record.previous_members);
            if (!previous)
            {
                return time_point::min();
            }
            oldest = std::min(*oldest, *previous);
        }
        // This VM alone is the majority.
        return *oldest == time_point::max() ? *oldest
                                            : *oldest + options.window;
    }

    time_point fresh_until() const
    {
        if (!caught_up)
        {
            return time_point::min();
        }
        if (!cached_fresh_until)
        {
            cached_fresh_until = compute_fresh_until();
        }
        return *cached_fresh_until;
    }

    bool is_fresh(time_point now) const
    {
        return now < fresh_until();
    }

    /// A restarted member has lost what it knew, so it needs a majority of
    /// other members.
    void update_caught_up(time_point now)
    {
        if (caught_up)
        {
            return;
        }
        caught_up = has_joint_majority(
            [this, now](const incarnation_id& id)
            {
                const auto evidence = usable_evidence(id);
                return id != self && evidence &&
                       now < *evidence + options.window;
            });
        // An empty record has no majority.
        caught_up = caught_up && !record.members.empty();
        invalidate();
    }

    void restart_pending()
    {
        for (auto* list : {&pending_config, &pending_fleet})
        {
            for (pending_revision& item : *list)
            {
                item.since.reset();
            }
        }
        invalidate();
    }

    void update_in_force(std::deque<pending_revision>& pending,
                         store_revision known_revisions::*field, time_point now)
    {
        for (pending_revision& item : pending)
        {
            const bool known_to_majority = has_joint_majority(
                [&](const incarnation_id& id)
                {
                    if (id == self)
                    {
                        return caught_up;
                    }
                    const observation* observed = find(id);
                    return observed != nullptr &&
                           observed->revisions.*field >= item.revision;
                });
            if (!known_to_majority)
            {
                break; // Newer revisions are known to fewer members.
            }
            item.since = item.since.value_or(now);
            if (now - *item.since >= options.in_force_wait && is_fresh(now))
            {
                in_force.*field = std::max(in_force.*field, item.revision);
            }
        }
        while (!pending.empty() && pending.front().revision <= in_force.*field)
        {
            pending.pop_front();
        }
    }

    void advance(time_point now)
    {
        update_in_force(pending_fleet, &known_revisions::fleet, now);
        update_in_force(pending_config, &known_revisions::config, now);
    }

    static void add_pending(std::deque<pending_revision>& pending,
                            store_revision revision)
    {
        pending.push_back({revision, std::nullopt});
        if (pending.size() > max_pending_revisions)
        {
            pending.pop_front();
        }
    }

    std::vector<evidence_group> evidence_groups(time_point now,
                                                std::string_view domain,
                                                std::uint16_t bucket_ms) const
    {
        using key = std::tuple<std::uint16_t, store_revision, store_revision>;
        std::map<key, evidence_group> by_key;
        const std::size_t bytes = (ordered_members.size() + 7) / 8;
        for (std::size_t i = 0; i < ordered_members.size(); ++i)
        {
            const observation* observed = find(ordered_members[i].incarnation);
            if ((!domain.empty() &&
                 ordered_members[i].failure_domain != domain) ||
                observed == nullptr || !observed->evidence ||
                now - *observed->evidence > options.window)
            {
                continue;
            }
            const std::uint16_t age = age_in_ms(now - *observed->evidence);
            const auto age_bucket = static_cast<std::uint16_t>(age / bucket_ms);
            evidence_group& group =
                by_key[{age_bucket, observed->revisions.config,
                        observed->revisions.fleet}];
            group.revisions = observed->revisions;
            group.age_ms = std::max(group.age_ms, age);
            group.bitmap.resize(bytes, '\0');
            set_bit(group.bitmap, i);
        }
        std::vector<evidence_group> out;
        for (auto& [unused, group] : by_key)
        {
            trim(group);
            out.push_back(std::move(group));
        }
        return out;
    }

    /// Keeps observations of listed members only, so that messages of other
    /// senders can't grow the table.
    void prune_observations()
    {
        std::unordered_map<incarnation_id, observation> retained;
        for (const member& item : ordered_members)
        {
            retained[item.incarnation] = observations[item.incarnation];
        }
        observations = std::move(retained);
    }

    observation* find(const incarnation_id& id)
    {
        auto it = observations.find(id);
        return it == observations.end() ? nullptr : &it->second;
    }
};

freshness::freshness(const incarnation_id& self, time_point started,
                     const freshness_options& options)
    : impl_(std::make_unique<impl>(self, started, options))
{
}

freshness::~freshness() = default;
freshness::freshness(freshness&&) noexcept = default;
freshness& freshness::operator=(freshness&&) noexcept = default;

bool freshness::set_record(const fleet_record& record, store_revision revision,
                           time_point now)
{
    if (revision <= impl_->known.fleet)
    {
        return false;
    }
    impl_->record = record;
    impl_->known.fleet = revision;
    impl_->ordered_members = sorted_members(record);
    bit_order bits{revision, {}};
    for (const member& item : impl_->ordered_members)
    {
        bits.ids.push_back(item.incarnation);
    }
    impl_->recent_bit_orders.push_front(std::move(bits));
    if (impl_->recent_bit_orders.size() > record_history)
    {
        impl_->recent_bit_orders.pop_back();
    }
    impl_->prune_observations();
    impl::add_pending(impl_->pending_fleet, revision);
    impl_->restart_pending();
    impl_->update_caught_up(now);
    return true;
}

bool freshness::set_config(store_revision revision, time_point now)
{
    if (revision <= impl_->known.config)
    {
        return false;
    }
    impl_->known.config = revision;
    impl::add_pending(impl_->pending_config, revision);
    impl_->invalidate();
    impl_->update_caught_up(now);
    return true;
}

void freshness::on_store_read(time_point read_sent, time_point now)
{
    impl_->caught_up = true;
    if (!impl_->stopped.empty() && read_sent >= impl_->stopped_since &&
        impl_->excluded != impl_->stopped)
    {
        impl_->excluded = impl_->stopped;
        impl_->restart_pending();
    }
    impl_->invalidate();
    advance(now);
}

void freshness::on_statement(const incarnation_id& from, time_point probe_sent,
                             const known_revisions& revisions, time_point now)
{
    if (probe_sent < impl_->started || probe_sent > now || from == impl_->self)
    {
        return;
    }
    observation* observed = impl_->find(from);
    if (observed == nullptr)
    {
        return;
    }
    observed->revisions.config =
        std::max(observed->revisions.config, revisions.config);
    observed->revisions.fleet =
        std::max(observed->revisions.fleet, revisions.fleet);
    if (!observed->evidence || *observed->evidence < probe_sent)
    {
        observed->evidence = probe_sent;
    }
    impl_->invalidate();
    impl_->update_caught_up(now);
}

void freshness::on_heard(const incarnation_id& from, time_point when)
{
    observation* observed = impl_->find(from);
    if (observed != nullptr && (!observed->heard || *observed->heard < when))
    {
        observed->heard = when;
    }
}

void freshness::set_stopped(const std::set<incarnation_id>& stopped,
                            time_point now)
{
    if (stopped == impl_->stopped)
    {
        return;
    }
    impl_->stopped = stopped;
    impl_->stopped_since = now;
    // A member that is no longer stopped counts again at once.
    std::erase_if(impl_->excluded, [&stopped](const incarnation_id& id)
                  { return stopped.count(id) == 0; });
    impl_->restart_pending();
}

void freshness::advance(time_point now)
{
    impl_->advance(now);
}

bool freshness::is_caught_up() const
{
    return impl_->caught_up;
}

bool freshness::is_fresh(time_point now) const
{
    return impl_->is_fresh(now);
}

time_point freshness::fresh_until() const
{
    return impl_->fresh_until();
}

bool freshness::config_in_force(store_revision revision, time_point now) const
{
    impl_->advance(now);
    return revision <= impl_->in_force.config;
}

bool freshness::fleet_in_force(store_revision revision, time_point now) const
{
    impl_->advance(now);
    return revision <= impl_->in_force.fleet;
}

const known_revisions& freshness::in_force() const
{
    return impl_->in_force;
}

bool freshness::may_change_record(time_point now) const
{
    return is_fresh(now) && impl_->in_force.config >= impl_->known.config &&
           impl_->in_force.fleet >= impl_->known.fleet;
}

bool freshness::all_stopped() const
{
    return !impl_->record.members.empty() &&
           impl_->voter_count(impl_->record.members) == 0;
}

const known_revisions& freshness::known() const
{
    return impl_->known;
}

const fleet_record& freshness::record() const
{
    return impl_->record;
}

const std::vector<member>& freshness::ordered_members() const
{
    return impl_->ordered_members;
}

std::optional<time_point> freshness::last_heard(const incarnation_id& id) const
{
    const observation* observed = impl_->find(id);
    return observed == nullptr ? std::nullopt : observed->heard;
}

known_revisions freshness::stated_revisions(const incarnation_id& id) const
{
    const observation* observed = impl_->find(id);
    return observed == nullptr ? known_revisions{} : observed->revisions;
}

std::vector<member_status> freshness::status(time_point now) const
{
    std::vector<member_status> out;
    for (const member& item : impl_->ordered_members)
    {
        member_status status;
        status.incarnation = item.incarnation;
        status.vm = item.vm;
        status.stopped = impl_->excluded.count(item.incarnation) != 0;
        if (item.incarnation == impl_->self)
        {
            status.last_heard = now;
            status.last_evidence = now;
            status.revisions = impl_->known;
        }
        else if (const observation* observed = impl_->find(item.incarnation))
        {
            status.last_heard = observed->heard;
            status.last_evidence = observed->evidence;
            status.revisions = observed->revisions;
        }
        status.config_lag = impl_->known.config - status.revisions.config;
        status.fleet_lag = impl_->known.fleet - status.revisions.fleet;
        out.push_back(std::move(status));
    }
    return out;
}

std::vector<evidence_group>
freshness::evidence_groups(time_point now, std::string_view domain) const
{
    std::vector<evidence_group> out;
    for (std::uint16_t bucket_ms = age_bucket_ms;
         bucket_ms <= max_age_bucket_ms;
         bucket_ms = static_cast<std::uint16_t>(2 * bucket_ms))
    {
        out = impl_->evidence_groups(now, domain, bucket_ms);
        if (encoded_bytes(out) <= max_evidence_bytes)
        {
            return out;
        }
    }
    // Groups are ordered from youngest to oldest; those left out reach the
    // receiver later or through the other relay.
    while (encoded_bytes(out) > max_evidence_bytes)
    {
        out.pop_back();
    }
    return out;
}

void freshness::on_relayed_evidence(const std::vector<evidence_group>& groups,
                                    store_revision order_revision,
                                    time_point probe_sent, time_point received)
{
    auto order = std::find_if(impl_->recent_bit_orders.begin(),
                              impl_->recent_bit_orders.end(),
                              [order_revision](const bit_order& item)
                              { return item.revision == order_revision; });
    if (order == impl_->recent_bit_orders.end())
    {
        return;
    }
    for (const evidence_group& group : groups)
    {
        const duration age = std::chrono::milliseconds(group.age_ms);
        const std::size_t first = std::size_t{group.byte_offset} * 8;
        for (std::size_t bit = 0; bit < group.bitmap.size() * 8; ++bit)
        {
            const auto byte = static_cast<unsigned char>(group.bitmap[bit / 8]);
            if ((byte >> (bit % 8) & 1U) == 0 ||
                first + bit >= order->ids.size())
            {
                continue;
            }
            const incarnation_id& id = order->ids[first + bit];
            on_statement(id, probe_sent - age, group.revisions, received);
            on_heard(id, received - age);
        }
    }
}

} // namespace siskinflow
