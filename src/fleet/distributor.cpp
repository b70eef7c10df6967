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

/// Upper bound of the size of a push besides its texts.
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
        /// Distinguishes callbacks of earlier watches from the current one.
        std::uint64_t generation = 0;
    };

    /// One read of both keys.
    struct read_cycle
    {
        time_point sent{};
        std::size_t outstanding = 0;
        bool complete = true;
    };

    struct push_state
    {
        bool in_flight = false;
        std::optional<time_point> sent;
        known_revisions acknowledged;
    };

    impl(const incarnation_id& id, dependencies new_dependencies,
         handlers new_handlers, const distributor_options& settings)
        : self(id), deps(std::move(new_dependencies)),
          event_handlers(std::move(new_handlers)), options(settings)
    {
        newest[1].kind = value_kind::fleet;
    }

    incarnation_id self;
    dependencies deps;
    handlers event_handlers;
    distributor_options options;
    std::array<revision_value, 2> newest;
    std::array<watch_state, 2> watches;
    distributor_counts counts;
    bool watching = false;
    bool stopped = false;
    bool fleet_absent = false;
    time_point newest_since{}; ///< When the newest value became known.

    std::optional<read_cycle> reading;
    bool has_read = false;
    bool read_again = false; ///< Requested while a read was in flight.
    time_point next_read{};
    unsigned failed_reads = 0;

    std::unordered_map<incarnation_id, push_state> pushes;
    std::size_t pushes_in_flight = 0;

    std::optional<net::endpoint> fetch_peer;
    time_point fetch_due{};
    bool fetching = false;

    revision_value& newest_value(value_kind kind)
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
        return low +
               duration(static_cast<std::int64_t>(deps.random() % (range + 1)));
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
        revision_value& current = newest_value(value.kind);
        if (value.revision < current.revision)
        {
            ++counts.stale;
            return offer_outcome::stale;
        }
        if (value.revision == current.revision)
        {
            return offer_outcome::already_known;
        }
        if (sha256_hex(value.text) != value.sha256 ||
            !event_handlers.is_valid(value))
        {
            ++counts.rejected;
            return offer_outcome::rejected;
        }
        current = value;
        newest_since = deps.time.now();
        if (value.kind == value_kind::fleet)
        {
            fleet_absent = false;
        }
        event_handlers.on_newer(current);
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
            deps.kv_store.read(
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
                                      outcome == offer_outcome::already_known);
        }
        else if (newest_value(kind).revision != 0)
        {
            // The key existed before, so this answer is stale.
            ++counts.stale;
            reading->complete = false;
        }
        else if (kind == value_kind::fleet)
        {
            fleet_absent = true;
        }
        if (--reading->outstanding == 0)
        {
            end_read();
        }
    }

    void end_read()
    {
        const read_cycle finished = *reading;
        reading.reset();
        const time_point now = deps.time.now();
        if (!finished.complete)
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
        event_handlers.on_read(finished.sent);
    }

    // --- Watches ---

    void start_watch(value_kind kind)
    {
        watch_state& state = watches[static_cast<std::size_t>(kind)];
        state.broken = false;
        const std::uint64_t generation = ++state.generation;
        ++counts.store_calls;
        auto weak = weak_from_this();
        state.watch = deps.kv_store.watch(
            key_of(kind), newest_value(kind).revision + 1,
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
    /// that has reached its time limit is renewed from the newest revision.
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
        next_read = deps.time.now() + backoff();
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
    void update_reads_and_watches(const distribution_plan& plan, time_point now)
    {
        const bool watcher = plan.watcher >= 0;
        if (watching != watcher)
        {
            watching = watcher;
            end_watches();
            next_read = std::min(next_read, now);
        }
        const bool should_read = watcher || plan.read_store || !has_read;
        if (!reading && should_read && now >= next_read)
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

    bool lacks_newest(const known_revisions& peer_known) const
    {
        return peer_known.config < newest[0].revision ||
               peer_known.fleet < newest[1].revision;
    }

    void start_due_pushes(const distribution_plan& plan, time_point now)
    {
        if (plan.watcher < 0 ||
            (plan.watcher > 0 &&
             now - newest_since < options.second_watcher_delay))
        {
            return;
        }
        for (const push_peer& receiver : plan.push_peers)
        {
            if (pushes_in_flight >= options.max_pushes)
            {
                return;
            }
            push_state& state = pushes[receiver.peer.incarnation];
            const known_revisions peer_known = {
                std::max(receiver.known.config, state.acknowledged.config),
                std::max(receiver.known.fleet, state.acknowledged.fleet)};
            const bool waiting =
                state.in_flight ||
                (state.sent && now - *state.sent < options.push_retry &&
                 newest_since <= *state.sent);
            if (!waiting && lacks_newest(peer_known))
            {
                push(receiver.peer, peer_known, now);
            }
        }
    }

    void push(const member& peer, const known_revisions& peer_known,
              time_point now)
    {
        push_state& state = pushes[peer.incarnation];
        state.in_flight = true;
        state.sent = now;
        ++pushes_in_flight;
        ++counts.pushes;
        deps.messages.request(
            peer.control, control::encode(self, values_newer_than(peer_known)),
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
        const auto message = control::decode_header(
            answer.value(), net::max_stream_message_bytes);
        if (!message || message.value().sender != peer)
        {
            return;
        }
        const auto body =
            control::decode_payload<acknowledgement>(message.value());
        if (body)
        {
            state.acknowledged = body.value().known;
        }
    }

    // --- Fetches ---

    void on_announced(const net::endpoint& peer,
                      const known_revisions& announced)
    {
        const known_revisions own_known = known();
        if (announced.config <= own_known.config &&
            announced.fleet <= own_known.fleet)
        {
            return;
        }
        if (!fetch_peer)
        {
            fetch_due =
                deps.time.now() + random_between(options.fetch_delay_min,
                                                 options.fetch_delay_max);
        }
        fetch_peer = peer;
        announced_config = std::max(announced_config, announced.config);
        announced_fleet = std::max(announced_fleet, announced.fleet);
    }

    store_revision announced_config = 0;
    store_revision announced_fleet = 0;

    void start_due_fetch(time_point now)
    {
        if (!fetch_peer || fetching || now < fetch_due)
        {
            return;
        }
        const net::endpoint peer = *std::exchange(fetch_peer, std::nullopt);
        const known_revisions own_known = known();
        // A push may have delivered the values in the meantime.
        if (announced_config <= own_known.config &&
            announced_fleet <= own_known.fleet)
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
        deps.messages.request(
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
        const auto message = control::decode_header(
            answer.value(), net::max_stream_message_bytes);
        if (!message)
        {
            return;
        }
        const auto body =
            control::decode_payload<revision_push>(message.value());
        if (body)
        {
            apply(body.value());
        }
    }

    void apply(const revision_push& push)
    {
        for (const revision_value& value : push.values)
        {
            offer(value);
        }
    }

    /// A value that does not fit into the message is sent in a later one.
    revision_push values_newer_than(const known_revisions& peer_known) const
    {
        revision_push out;
        std::size_t bytes = message_overhead_bytes;
        for (const revision_value& value : newest)
        {
            bytes += value.text.size();
            if (value.revision > revision_of(peer_known, value.kind) &&
                (out.values.empty() || bytes <= net::max_stream_message_bytes))
            {
                out.values.push_back(value);
            }
        }
        return out;
    }

    /// Removes the push states of VMs that no longer receive pushes.
    void prune_push_states(const distribution_plan& plan)
    {
        if (pushes.size() <= 2 * plan.push_peers.size() + options.max_pushes)
        {
            return;
        }
        std::erase_if(
            pushes,
            [&plan](const auto& entry)
            {
                return !entry.second.in_flight &&
                       std::none_of(
                           plan.push_peers.begin(), plan.push_peers.end(),
                           [&entry](const push_peer& receiver) {
                               return receiver.peer.incarnation == entry.first;
                           });
            });
    }
};

distributor::distributor(const incarnation_id& self, dependencies deps,
                         handlers event_handlers,
                         const distributor_options& options)
    : impl_(std::make_shared<impl>(self, std::move(deps),
                                   std::move(event_handlers), options))
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
    const time_point now = impl_->deps.time.now();
    impl_->update_reads_and_watches(plan, now);
    impl_->prune_push_states(plan);
    impl_->start_due_pushes(plan, now);
    impl_->start_due_fetch(now);
}

offer_outcome distributor::offer(const revision_value& value)
{
    return impl_->offer(value);
}

void distributor::on_announced(const net::endpoint& peer,
                               const known_revisions& announced)
{
    impl_->on_announced(peer, announced);
}

void distributor::fetch_from(const net::endpoint& peer)
{
    impl_->fetch(peer);
}

revision_push distributor::values_newer_than(const known_revisions& known) const
{
    return impl_->values_newer_than(known);
}

void distributor::apply(const revision_push& push)
{
    impl_->apply(push);
}

void distributor::schedule_read()
{
    impl_->next_read = impl_->deps.time.now();
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
    return impl_->newest_value(kind);
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
