#include <siskinflow/control/codec.hpp>
#include <siskinflow/fleet/distributor.hpp>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

namespace siskinflow
{

namespace
{

constexpr std::array<value_kind, 2> all_kinds = {value_kind::config,
                                                 value_kind::fleet};

/// Upper bound of what a push holds besides the texts.
constexpr std::size_t message_overhead_bytes = 1024;

const char* key_of(value_kind kind)
{
    return kind == value_kind::config ? store_keys::config : store_keys::fleet;
}

store_revision revision_of(const known_revisions& known, value_kind kind)
{
    return kind == value_kind::config ? known.config : known.fleet;
}

} // namespace

struct distributor::impl : std::enable_shared_from_this<distributor::impl>
{
    struct watch_state
    {
        std::unique_ptr<store_watch> watch;
        bool broken = true;
        /// Tells the callbacks of an earlier watch from the current one.
        std::uint64_t generation = 0;
    };

    /// One read of both keys.
    struct read_cycle
    {
        time_point began{};
        std::size_t open = 0;
        bool complete = true;
    };

    struct push_state
    {
        bool in_flight = false;
        std::optional<time_point> sent;
        known_revisions acknowledged;
    };

    impl(const incarnation_id& id, edges edge, handlers calls,
         const distributor_options& settings)
        : self(id), outside(std::move(edge)), on(std::move(calls)),
          options(settings)
    {
        newest[1].kind = value_kind::fleet;
    }

    incarnation_id self;
    edges outside;
    handlers on;
    distributor_options options;
    std::array<revision_value, 2> newest;
    std::array<watch_state, 2> watches;
    distributor_counts counts;
    bool watching = false;
    bool stopped = false;
    bool fleet_absent = false;
    time_point learned{}; ///< When the newest value became known.

    std::optional<read_cycle> reading;
    bool has_read = false;
    bool read_again = false; ///< Asked for while a read was in flight.
    time_point next_read{};
    unsigned failed_reads = 0;

    std::unordered_map<incarnation_id, push_state> pushes;
    std::size_t pushes_in_flight = 0;

    std::optional<net::endpoint> fetch_peer;
    time_point fetch_due{};
    bool fetching = false;

    revision_value& slot(value_kind kind)
    {
        return newest[static_cast<std::size_t>(kind)];
    }

    known_revisions known() const
    {
        return {newest[0].revision, newest[1].revision};
    }

    duration random_between(duration low, duration high)
    {
        const auto range = static_cast<std::uint64_t>((high - low).count());
        return low + duration(static_cast<std::int64_t>(outside.random() %
                                                        (range + 1)));
    }

    duration backoff()
    {
        constexpr unsigned max_doublings = 10;
        const auto doubled =
            options.backoff_min * (1 << std::min(failed_reads, max_doublings));
        return random_between(options.backoff_min / 2,
                              std::min<duration>(options.backoff_max, doubled));
    }

    offer_outcome offer(const revision_value& value)
    {
        if (value.kind != value_kind::config && value.kind != value_kind::fleet)
        {
            ++counts.rejected;
            return offer_outcome::rejected;
        }
        revision_value& current = slot(value.kind);
        if (value.revision < current.revision)
        {
            ++counts.stale;
            return offer_outcome::stale;
        }
        if (value.revision == current.revision)
        {
            return offer_outcome::known;
        }
        if (sha256_hex(value.text) != value.sha256 || !on.is_valid(value))
        {
            ++counts.rejected;
            return offer_outcome::rejected;
        }
        current = value;
        learned = outside.time.now();
        if (value.kind == value_kind::fleet)
        {
            fleet_absent = false;
        }
        on.on_newer(current);
        return offer_outcome::newer;
    }

    offer_outcome offer_stored(value_kind kind, const store_value& stored)
    {
        return offer({kind, stored.mod_revision, sha256_hex(stored.value),
                      stored.value});
    }

    // --- Reads ---

    void start_read(time_point now)
    {
        reading = read_cycle{now, all_kinds.size(), true};
        read_again = false;
        for (const value_kind kind : all_kinds)
        {
            ++counts.store_calls;
            outside.values.read(
                key_of(kind), options.store_timeout,
                [weak = weak_from_this(),
                 kind](const result<std::optional<store_value>>& answer)
                {
                    if (auto state = weak.lock())
                    {
                        state->on_read(kind, answer);
                    }
                });
        }
    }

    void on_read(value_kind kind,
                 const result<std::optional<store_value>>& answer)
    {
        if (!reading)
        {
            return;
        }
        if (!answer)
        {
            reading->complete = false;
        }
        else if (answer.value())
        {
            const auto outcome = offer_stored(kind, *answer.value());
            reading->complete =
                reading->complete && (outcome == offer_outcome::newer ||
                                      outcome == offer_outcome::known);
        }
        else if (slot(kind).revision != 0)
        {
            // The key existed before, so this answer is an old one.
            ++counts.stale;
            reading->complete = false;
        }
        else if (kind == value_kind::fleet)
        {
            fleet_absent = true;
        }
        if (--reading->open == 0)
        {
            end_read();
        }
    }

    void end_read()
    {
        const read_cycle done = *reading;
        reading.reset();
        const time_point now = outside.time.now();
        if (!done.complete)
        {
            ++counts.store_failures;
            ++failed_reads;
            next_read = now + backoff();
            return;
        }
        failed_reads = 0;
        has_read = !read_again;
        if (!read_again)
        {
            next_read = now + random_between(options.reread_interval / 2,
                                             options.reread_interval * 3 / 2);
        }
        on.on_read(done.began);
    }

    // --- Watches ---

    void start_watch(value_kind kind)
    {
        watch_state& state = watches[static_cast<std::size_t>(kind)];
        state.broken = false;
        const std::uint64_t generation = ++state.generation;
        ++counts.store_calls;
        auto weak = weak_from_this();
        state.watch = outside.values.watch(
            key_of(kind), slot(kind).revision + 1,
            [weak, kind](const store_value& changed)
            {
                if (auto self = weak.lock())
                {
                    self->offer_stored(kind, changed);
                }
            },
            [weak, kind, generation](const error& reason)
            {
                if (auto self = weak.lock())
                {
                    self->on_watch_end(kind, generation, reason);
                }
            });
    }

    /// The watch object is destroyed in the next tick, not in its callback. One
    /// that has lasted its time is renewed from the newest revision known.
    void on_watch_end(value_kind kind, std::uint64_t generation,
                      const error& reason)
    {
        watch_state& state = watches[static_cast<std::size_t>(kind)];
        if (state.generation != generation || state.broken)
        {
            return;
        }
        state.broken = true;
        if (reason.code == errc::timeout)
        {
            return;
        }
        ++counts.broken_watches;
        ++failed_reads;
        next_read = outside.time.now() + backoff();
    }

    void end_watches()
    {
        for (watch_state& state : watches)
        {
            state.watch.reset();
            state.broken = true;
        }
    }

    /// A watch is started right after a complete read, so that it continues
    /// from the newest revision.
    void run_store(const distribution_plan& plan, time_point now)
    {
        const bool watcher = plan.watcher >= 0;
        if (watching != watcher)
        {
            watching = watcher;
            end_watches();
            next_read = std::min(next_read, now);
        }
        const bool wanted = watcher || plan.read_store || !has_read;
        if (!reading && wanted && now >= next_read)
        {
            start_read(now);
        }
        if (!watcher || reading || failed_reads > 0 || !has_read)
        {
            return;
        }
        for (const value_kind kind : all_kinds)
        {
            if (watches[static_cast<std::size_t>(kind)].broken)
            {
                start_watch(kind);
            }
        }
    }

    // --- Pushes ---

    bool lacks_newest(const known_revisions& theirs) const
    {
        return theirs.config < newest[0].revision ||
               theirs.fleet < newest[1].revision;
    }

    void run_pushes(const distribution_plan& plan, time_point now)
    {
        if (plan.watcher < 0 ||
            (plan.watcher > 0 && now - learned < options.second_watcher_delay))
        {
            return;
        }
        for (const push_target& target : plan.targets)
        {
            if (pushes_in_flight >= options.max_pushes)
            {
                return;
            }
            push_state& state = pushes[target.peer.incarnation];
            const known_revisions theirs = {
                std::max(target.known.config, state.acknowledged.config),
                std::max(target.known.fleet, state.acknowledged.fleet)};
            const bool waiting =
                state.in_flight ||
                (state.sent && now - *state.sent < options.push_retry &&
                 learned <= *state.sent);
            if (!waiting && lacks_newest(theirs))
            {
                push(target.peer, theirs, now);
            }
        }
    }

    void push(const member& peer, const known_revisions& theirs, time_point now)
    {
        push_state& state = pushes[peer.incarnation];
        state.in_flight = true;
        state.sent = now;
        ++pushes_in_flight;
        ++counts.pushes;
        outside.messages.request(
            peer.control, control::encode(self, newer_than(theirs)),
            options.message_timeout,
            [weak = weak_from_this(),
             id = peer.incarnation](const result<std::string>& answer)
            {
                if (auto state = weak.lock())
                {
                    state->on_pushed(id, answer);
                }
            });
    }

    void on_pushed(const incarnation_id& peer,
                   const result<std::string>& answer)
    {
        --pushes_in_flight;
        push_state& state = pushes[peer];
        state.in_flight = false;
        if (!answer)
        {
            return;
        }
        const auto arrived =
            control::decode(answer.value(), net::max_stream_message_bytes);
        if (!arrived || arrived.value().sender != peer)
        {
            return;
        }
        const auto body = control::read<acknowledgement>(arrived.value());
        if (body)
        {
            state.acknowledged = body.value().known;
        }
    }

    // --- Fetches ---

    void on_named(const net::endpoint& peer, const known_revisions& named)
    {
        const known_revisions mine = known();
        if (named.config <= mine.config && named.fleet <= mine.fleet)
        {
            return;
        }
        if (!fetch_peer)
        {
            fetch_due =
                outside.time.now() + random_between(options.fetch_delay_min,
                                                    options.fetch_delay_max);
        }
        fetch_peer = peer;
        named_config = std::max(named_config, named.config);
        named_fleet = std::max(named_fleet, named.fleet);
    }

    store_revision named_config = 0;
    store_revision named_fleet = 0;

    void run_fetch(time_point now)
    {
        if (!fetch_peer || fetching || now < fetch_due)
        {
            return;
        }
        const net::endpoint peer = *std::exchange(fetch_peer, std::nullopt);
        const known_revisions mine = known();
        // A push has arrived meanwhile.
        if (named_config <= mine.config && named_fleet <= mine.fleet)
        {
            return;
        }
        fetch(peer);
    }

    void fetch(const net::endpoint& peer)
    {
        if (fetching)
        {
            return;
        }
        fetching = true;
        ++counts.fetches;
        outside.messages.request(
            peer, control::encode(self, revision_fetch{known()}),
            options.message_timeout,
            [weak = weak_from_this()](const result<std::string>& answer)
            {
                if (auto state = weak.lock())
                {
                    state->on_fetched(answer);
                }
            });
    }

    void on_fetched(const result<std::string>& answer)
    {
        fetching = false;
        if (!answer)
        {
            return;
        }
        const auto arrived =
            control::decode(answer.value(), net::max_stream_message_bytes);
        if (!arrived)
        {
            return;
        }
        const auto body = control::read<revision_push>(arrived.value());
        if (body)
        {
            take(body.value());
        }
    }

    void take(const revision_push& push)
    {
        for (const revision_value& value : push.values)
        {
            offer(value);
        }
    }

    /// What does not fit the message is sent in a later one.
    revision_push newer_than(const known_revisions& theirs) const
    {
        revision_push out;
        std::size_t bytes = message_overhead_bytes;
        for (const revision_value& value : newest)
        {
            bytes += value.text.size();
            if (value.revision > revision_of(theirs, value.kind) &&
                (out.values.empty() || bytes <= net::max_stream_message_bytes))
            {
                out.values.push_back(value);
            }
        }
        return out;
    }

    /// Push states of VMs that are no targets any more.
    void forget_targets(const distribution_plan& plan)
    {
        if (pushes.size() <= 2 * plan.targets.size() + options.max_pushes)
        {
            return;
        }
        std::erase_if(
            pushes,
            [&plan](const auto& entry)
            {
                return !entry.second.in_flight &&
                       std::none_of(
                           plan.targets.begin(), plan.targets.end(),
                           [&entry](const push_target& target)
                           { return target.peer.incarnation == entry.first; });
            });
    }
};

distributor::distributor(const incarnation_id& self, edges outside,
                         handlers calls, const distributor_options& options)
    : impl_(std::make_shared<impl>(self, std::move(outside), std::move(calls),
                                   options))
{
}

distributor::~distributor()
{
    impl_->end_watches();
}

void distributor::tick(const distribution_plan& plan)
{
    if (impl_->stopped)
    {
        return;
    }
    const time_point now = impl_->outside.time.now();
    impl_->run_store(plan, now);
    impl_->forget_targets(plan);
    impl_->run_pushes(plan, now);
    impl_->run_fetch(now);
}

offer_outcome distributor::offer(const revision_value& value)
{
    return impl_->offer(value);
}

void distributor::on_named(const net::endpoint& peer,
                           const known_revisions& named)
{
    impl_->on_named(peer, named);
}

void distributor::fetch_from(const net::endpoint& peer)
{
    impl_->fetch(peer);
}

revision_push distributor::newer_than(const known_revisions& known) const
{
    return impl_->newer_than(known);
}

void distributor::take(const revision_push& push)
{
    impl_->take(push);
}

void distributor::read_soon()
{
    impl_->next_read = impl_->outside.time.now();
    impl_->has_read = false;
    impl_->read_again = impl_->reading.has_value();
}

void distributor::stop()
{
    impl_->stopped = true;
    impl_->end_watches();
}

const revision_value& distributor::newest(value_kind kind) const
{
    return impl_->slot(kind);
}

known_revisions distributor::known() const
{
    return impl_->known();
}

bool distributor::fleet_is_absent() const
{
    return impl_->fleet_absent;
}

const distributor_counts& distributor::counts() const
{
    return impl_->counts;
}

} // namespace siskinflow
