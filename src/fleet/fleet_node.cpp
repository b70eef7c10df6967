#include <siskinflow/fleet/fleet_node.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace siskinflow
{

namespace
{

/// Requests without an answer after which a relay is passed over.
constexpr unsigned max_unanswered = 3;

/// Time after which an answer counts as missed: the longest round trip between
/// regions (55 ms) and a tick.
constexpr duration answer_limit = std::chrono::milliseconds(110);

/// How long an unresponsive relay is passed over before it is tried again.
constexpr duration relay_retry = std::chrono::seconds(5);

/// Members that a join or leave is sent to: the presumed writer and others in
/// case it is not reachable.
constexpr std::size_t notice_receivers = 3;

constexpr std::size_t max_joining = 1024;

/// Members that a VM without a majority sends each join to. All of them would
/// be 880 messages/s per VM after a restart of 440 VMs at once.
constexpr std::size_t join_spread = 64;

/// Time between reads of the store for newly stopped members, plus as much
/// jitter: 440 VMs without a majority make about 300 reads/s.
constexpr duration stopped_read_interval = std::chrono::seconds(2);

std::uint64_t to_stamp(time_point when)
{
    return static_cast<std::uint64_t>(when.time_since_epoch().count());
}

time_point from_stamp(std::uint64_t stamp)
{
    return time_point(duration(static_cast<std::int64_t>(stamp)));
}

} // namespace

struct fleet_node::impl : std::enable_shared_from_this<fleet_node::impl>
{
    struct peer_state
    {
        std::uint64_t last_probe = 0; ///< Newest stamp received from it.
        std::optional<time_point> sent;
        unsigned unanswered = 0;
        bool leaving = false;
    };

    struct joining_vm
    {
        member vm;
        time_point asked{};
    };

    impl(fleet_options settings, fleet_edges edge, fleet_handlers calls)
        : options(std::move(settings)), edges(std::move(edge)),
          on(std::move(calls)), started(edges.time.now()),
          state(options.self.incarnation, started, options.freshness),
          paths(options.self, {}, options.topology)
    {
    }

    fleet_options options;
    fleet_edges edges;
    fleet_handlers on;
    time_point started;
    freshness state;
    topology paths;
    std::unique_ptr<distributor> values;
    std::unordered_map<incarnation_id, peer_state> peers;
    fleet_counts counts;

    std::optional<time_point> fresh_since;
    time_point record_since{};
    std::map<incarnation_id, joining_vm> joining;
    std::optional<time_point> change_since; ///< Start of the current batch.
    std::map<incarnation_id, time_point> leaving;
    std::set<incarnation_id> replaced; ///< Their endpoint has a new process.
    absence_tracker absences;
    std::optional<time_point> list_taken;
    bool writing = false;
    time_point next_write{};
    std::optional<time_point> joined;
    std::optional<time_point> asked_seed;
    std::optional<time_point> notice_sent;
    bool is_leaving = false;
    bool wants_removal = false;

    const incarnation_id& self() const
    {
        return options.self.incarnation;
    }

    time_point now() const
    {
        return edges.time.now();
    }

    bool is_member() const
    {
        return state.record().find(self()) != nullptr;
    }

    void start()
    {
        auto weak = weak_from_this();
        distributor::handlers calls;
        calls.on_newer = [weak](const revision_value& value)
        {
            if (auto node = weak.lock())
            {
                node->on_newer(value);
            }
        };
        calls.on_read = [weak](time_point began)
        {
            if (auto node = weak.lock())
            {
                node->state.on_store_read(began, node->now());
            }
        };
        calls.is_valid = [](const revision_value& value)
        {
            return value.kind != value_kind::fleet ||
                   parse_fleet_record(value.text).has_value();
        };
        values = std::make_unique<distributor>(
            self(),
            distributor::edges{edges.time, edges.values, edges.messages,
                               edges.random},
            std::move(calls), options.distributor);
    }

    // --- Values ---

    void on_newer(const revision_value& value)
    {
        if (value.kind == value_kind::config)
        {
            state.set_config(value.revision, now());
            if (on.on_config)
            {
                on.on_config(value.text, value.revision);
            }
            return;
        }
        auto parsed = parse_fleet_record(value.text);
        if (!parsed || !state.set_record(parsed.value(), value.revision, now()))
        {
            return;
        }
        take_record();
        if (on.on_record)
        {
            on.on_record(state.record(), value.revision);
        }
    }

    void take_record()
    {
        record_since = now();
        change_since.reset();
        paths =
            topology(options.self, state.ordered_members(), options.topology);
        std::set<incarnation_id> listed;
        for (const member& item : state.ordered_members())
        {
            listed.insert(item.incarnation);
            note_replacement(item, options.self);
        }
        std::erase_if(peers, [&listed](const auto& entry)
                      { return listed.count(entry.first) == 0; });
        std::erase_if(replaced, [&listed](const incarnation_id& id)
                      { return listed.count(id) == 0; });
        std::erase_if(joining, [this](const auto& entry)
                      { return state.record().find(entry.first) != nullptr; });
    }

    /// A new process that is bound to a member's endpoint proves that the
    /// member's process has ended.
    void note_replacement(const member& listed, const member& newer)
    {
        if (listed.vm == newer.vm && listed.control == newer.control &&
            listed.incarnation != newer.incarnation)
        {
            replaced.insert(listed.incarnation);
        }
    }

    // --- Liveness ---

    bool heard_lately(const incarnation_id& id, duration limit) const
    {
        const auto heard = state.last_heard(id);
        const time_point since =
            heard ? std::max(*heard, record_since) : record_since;
        return now() - since <= limit;
    }

    duration suspicion_limit() const
    {
        return paths.is_direct() ? options.membership.suspect_after
                                 : options.membership.suspect_after_relayed;
    }

    bool usable(const incarnation_id& id) const
    {
        auto found = peers.find(id);
        if (found != peers.end() && found->second.unanswered >= max_unanswered)
        {
            const peer_state& peer = found->second;
            return peer.sent && now() - *peer.sent > relay_retry;
        }
        return id == self() || !fresh_since ||
               heard_lately(id, suspicion_limit());
    }

    usable_check usable_now() const
    {
        return [this](const incarnation_id& id) { return usable(id); };
    }

    void track_freshness()
    {
        state.advance(now());
        if (!state.is_fresh(now()))
        {
            fresh_since.reset();
        }
        else if (!fresh_since)
        {
            fresh_since = now();
        }
    }

    // --- Heartbeats ---

    heartbeat make_heartbeat(heartbeat_kind kind) const
    {
        heartbeat out;
        out.kind = kind;
        out.stating = state.may_state();
        out.leaving = is_leaving;
        out.probe_ns = to_stamp(now());
        out.revisions = state.known();
        return out;
    }

    void send(const net::endpoint& peer, const heartbeat& body)
    {
        edges.datagrams.send(peer, control::encode(self(), body));
    }

    void send_heartbeats()
    {
        auto plan = paths.plan(usable_now());
        choose_full_answers(plan, self(),
                            [this](const incarnation_id& id)
                            { return missed_answer(id); });
        for (std::size_t i = 0; i < plan.size(); ++i)
        {
            const planned_peer& item = plan[i];
            peer_state& peer = peers[item.peer.incarnation];
            if (!peer.sent)
            {
                // The second relay is asked between two requests to the
                // first, so that it can stand in without a gap.
                peer.sent = now() - item.interval / (1 + i % 2);
            }
            // Half a tick of slack keeps the mean interval at its value.
            const duration slack = std::chrono::milliseconds(25);
            if (now() - *peer.sent + slack >= item.interval)
            {
                send_heartbeat(item, peer);
            }
        }
    }

    void send_heartbeat(const planned_peer& item, peer_state& peer)
    {
        heartbeat body = make_heartbeat(item.kind);
        body.echo_ns = peer.last_probe;
        body.echo_of = item.peer.incarnation;
        peer.sent = now();
        peer.unanswered += item.kind == heartbeat_kind::direct ? 0 : 1;
        send(item.peer.control, body);
    }

    bool missed_answer(const incarnation_id& id) const
    {
        auto found = peers.find(id);
        return found == peers.end() ||
               (found->second.unanswered > 0 && found->second.sent &&
                now() - *found->second.sent >= answer_limit);
    }

    void answer(const net::endpoint& to, const incarnation_id& peer,
                const heartbeat& asked)
    {
        heartbeat body = make_heartbeat(heartbeat_kind::answer);
        body.echo_ns = asked.probe_ns;
        body.echo_of = peer;
        if (asked.kind != heartbeat_kind::probe)
        {
            add_evidence(body, asked.kind == heartbeat_kind::exchange);
        }
        send(to, body);
    }

    void add_evidence(heartbeat& body, bool own_domain) const
    {
        body.basis = state.known().fleet;
        body.groups =
            state.groups(now(), own_domain ? options.self.failure_domain : "");
        add_leaving(body);
    }

    void add_leaving(heartbeat& body) const
    {
        const auto& order = state.ordered_members();
        evidence_group group;
        group.bitmap.assign((order.size() + 7) / 8, '\0');
        bool any = false;
        for (std::size_t i = 0; i < order.size(); ++i)
        {
            auto found = peers.find(order[i].incarnation);
            if (found != peers.end() && found->second.leaving)
            {
                any = true;
                group.bitmap[i / 8] = static_cast<char>(
                    static_cast<unsigned char>(group.bitmap[i / 8]) |
                    (1U << (i % 8)));
            }
        }
        if (any)
        {
            body.leaving_members.push_back(std::move(group));
        }
    }

    void take_leaving(const heartbeat& body)
    {
        const auto& order = state.ordered_members();
        if (body.basis != state.known().fleet)
        {
            return;
        }
        for (const evidence_group& group : body.leaving_members)
        {
            for (std::size_t i = 0;
                 i < order.size() && i / 8 < group.bitmap.size(); ++i)
            {
                const auto byte =
                    static_cast<unsigned char>(group.bitmap[i / 8]);
                if ((byte >> (i % 8) & 1U) != 0)
                {
                    peers[order[i].incarnation].leaving = true;
                }
            }
        }
    }

    /// Whether this VM leaves, or the other VM has said that it does.
    bool is_known_leaving(const member& item) const
    {
        if (item.incarnation == self())
        {
            return is_leaving;
        }
        const auto peer = peers.find(item.incarnation);
        return peer != peers.end() && peer->second.leaving;
    }

    bool is_listed_as_leaving(const member& item) const
    {
        if (edges.vms == nullptr || !edges.vms->vms())
        {
            return false;
        }
        auto found = edges.vms->vms()->find(item.vm);
        return found != edges.vms->vms()->end() &&
               found->second == vm_state::leaving;
    }

    bool is_listed(const incarnation_id& id) const
    {
        const auto& order = state.ordered_members();
        return std::any_of(order.begin(), order.end(),
                           [&id](const member& item)
                           { return item.incarnation == id; });
    }

    void on_heartbeat(const net::endpoint& from, const incarnation_id& sender,
                      const heartbeat& body)
    {
        values->on_named(from, body.revisions);
        if (is_listed(sender))
        {
            take_statement(sender, body);
        }
        if (body.kind != heartbeat_kind::direct &&
            body.kind != heartbeat_kind::answer)
        {
            answer(from, sender, body);
        }
    }

    void take_statement(const incarnation_id& sender, const heartbeat& body)
    {
        peer_state& peer = peers[sender];
        peer.last_probe = std::max(peer.last_probe, body.probe_ns);
        peer.unanswered = 0;
        peer.leaving = peer.leaving || body.leaving;
        state.on_heard(sender, now());
        if (body.echo_of != self() || body.echo_ns == 0)
        {
            return;
        }
        const time_point probe = from_stamp(body.echo_ns);
        if (probe < started || probe > now())
        {
            return;
        }
        if (body.stating)
        {
            state.on_statement(sender, probe, body.revisions, now());
        }
        state.on_groups(body.groups, body.basis, probe, now());
        take_leaving(body);
    }

    // --- Joins and removals ---

    membership_view view() const
    {
        membership_view out;
        out.self = self();
        out.now = now();
        out.fresh_since = fresh_since;
        out.settled = state.is_settled(now());
        out.relayed = !paths.is_direct();
        out.record_since = record_since;
        for (const auto& [id, vm] : joining)
        {
            out.joining[id] = vm.vm;
        }
        for (const auto& [id, since] : leaving)
        {
            out.leaving.insert(id);
        }
        out.absences = &absences;
        return out;
    }

    void take_vm_list()
    {
        if (edges.vms == nullptr || !edges.vms->answered() ||
            edges.vms->answered() == list_taken)
        {
            return;
        }
        list_taken = edges.vms->answered();
        absences.on_list(*edges.vms->vms(), *list_taken, state.record());
    }

    /// Members leave the majority only while this VM lacks one, so that an
    /// error of the VM list can't shrink a majority that is intact.
    void update_stopped()
    {
        std::set<incarnation_id> stopped;
        for (const member& item : state.ordered_members())
        {
            const bool absent = absences.absent_for(
                item.vm, options.membership.vm_list_lag_bound, now(),
                options.membership);
            const bool silent =
                !heard_lately(item.incarnation, options.freshness.window);
            if (item.incarnation != self() && silent &&
                (absent || replaced.count(item.incarnation) != 0))
            {
                stopped.insert(item.incarnation);
            }
        }
        if (fresh_since)
        {
            std::erase_if(stopped, [this](const incarnation_id& id)
                          { return counted_stopped.count(id) == 0; });
        }
        if (stopped != counted_stopped)
        {
            stopped_unread =
                stopped_unread ||
                !std::includes(counted_stopped.begin(), counted_stopped.end(),
                               stopped.begin(), stopped.end());
            counted_stopped = stopped;
            state.set_stopped(stopped, now());
        }
        read_for_stopped();
    }

    /// What only stopped members knew is read before they are excluded.
    void read_for_stopped()
    {
        if (!stopped_unread || now() < next_stopped_read)
        {
            return;
        }
        stopped_unread = false;
        values->read_soon();
        const auto jitter = static_cast<std::int64_t>(
            edges.random() %
            static_cast<std::uint64_t>(stopped_read_interval.count()));
        next_stopped_read = now() + stopped_read_interval + duration(jitter);
    }

    bool stopped_unread = false;
    time_point next_stopped_read{};
    std::set<incarnation_id> counted_stopped;

    void expire_joins()
    {
        const time_point limit = now() - options.join_expiry;
        std::erase_if(joining, [limit](const auto& entry)
                      { return entry.second.asked < limit; });
        std::erase_if(leaving, [this](const auto& entry)
                      { return state.record().find(entry.first) == nullptr; });
    }

    void change_record()
    {
        if (writing || now() < next_write)
        {
            return;
        }
        const membership_view seen = view();
        auto next = next_record(state, seen, options.membership);
        if (!next)
        {
            change_since.reset();
            next = creation_record();
            if (!next)
            {
                next = recovery_record(state, seen);
            }
            if (next)
            {
                propose(std::move(*next));
            }
            return;
        }
        change_since = change_since.value_or(now());
        if (now() - *change_since >= options.membership.batch_delay)
        {
            propose(std::move(*next));
        }
    }

    /// The first record of a fleet, if the store has none.
    std::optional<fleet_record> creation_record() const
    {
        if (state.known().fleet != 0 || !values->fleet_is_absent() ||
            wants_removal)
        {
            return std::nullopt;
        }
        return fleet_record{1, {}, {options.self}, {}};
    }

    std::string make_write_id()
    {
        return to_string(incarnation_id{edges.random(), edges.random()});
    }

    /// At most one write is in flight. Whatever the reply, the store's own
    /// value decides: a write whose reply is lost is found by reading back.
    void propose(fleet_record next)
    {
        next.write_id = make_write_id();
        writing = true;
        ++counts.record_writes;
        const std::string text = to_json(next);
        swap_request request{store_keys::fleet,
                             state.known().fleet,
                             {{store_keys::fleet, text}}};
        edges.values.swap(
            std::move(request), options.distributor.store_timeout,
            [weak = weak_from_this(), text](const result<store_revision>& reply)
            {
                if (auto node = weak.lock())
                {
                    node->on_written(text, reply);
                }
            });
    }

    void on_written(const std::string& text,
                    const result<store_revision>& reply)
    {
        writing = false;
        // Spreads the next attempts of VMs that race for the same record.
        constexpr std::int64_t jitter_ns = 500'000'000;
        next_write =
            now() +
            duration(static_cast<std::int64_t>(edges.random() % jitter_ns));
        if (reply)
        {
            values->offer(
                {value_kind::fleet, reply.value(), sha256_hex(text), text});
            return;
        }
        counts.record_conflicts += reply.error().code == errc::conflict ? 1 : 0;
        counts.unknown_writes +=
            reply.error().code == errc::unknown_outcome ? 1 : 0;
        values->read_soon();
    }

    /// The presumed writer, the next live members, and one at random.
    std::vector<net::endpoint> notice_peers()
    {
        std::vector<net::endpoint> out;
        const auto& members = state.record().members;
        for (const member& item : members)
        {
            if (out.size() < notice_receivers && item.incarnation != self() &&
                heard_lately(item.incarnation, suspicion_limit()))
            {
                out.push_back(item.control);
            }
        }
        if (!members.empty())
        {
            const auto& any = members[edges.random() % members.size()];
            out.push_back(any.control);
        }
        return out;
    }

    void ask_to_join()
    {
        if (is_member() || state.record().members.empty() || wants_removal)
        {
            return;
        }
        joining[self()] = {options.self, now()};
        if (joined && now() - *joined < options.join_interval)
        {
            return;
        }
        joined = now();
        const join_request body{options.self, false};
        for (const net::endpoint& peer : notice_peers())
        {
            edges.datagrams.send(peer, control::encode(self(), body));
        }
        // After a restart of the whole fleet the other new processes are at
        // the endpoints of the stopped members, and none is heard.
        if (!state.is_fresh(now()))
        {
            spread_join(body);
        }
    }

    void spread_join(const join_request& body)
    {
        const auto& members = state.record().members;
        const std::size_t first = edges.random() % members.size();
        for (std::size_t i = 0; i < std::min(join_spread, members.size()); ++i)
        {
            edges.datagrams.send(members[(first + i) % members.size()].control,
                                 control::encode(self(), body));
        }
    }

    void ask_to_leave()
    {
        if (!wants_removal || !is_member())
        {
            return;
        }
        leaving.try_emplace(self(), now());
        if (notice_sent && now() - *notice_sent < options.join_interval)
        {
            return;
        }
        notice_sent = now();
        for (const net::endpoint& peer : notice_peers())
        {
            edges.datagrams.send(
                peer, control::encode(self(), leave_notice{self(), false}));
        }
    }

    /// While the record is unknown or nobody answers, seeds may know it.
    void ask_seed()
    {
        if (options.seeds.empty() || fresh_since ||
            (asked_seed && now() - *asked_seed < options.seed_interval))
        {
            return;
        }
        asked_seed = now();
        values->fetch_from(
            options.seeds[edges.random() % options.seeds.size()]);
    }

    /// Sends a notice on to the member that writes records.
    template <class Notice>
    void forward(Notice notice)
    {
        const membership_view seen = view();
        const member* writer =
            first_live_member(state, seen, options.membership);
        if (notice.forwarded || writer == nullptr ||
            writer->incarnation == self())
        {
            return;
        }
        notice.forwarded = true;
        edges.datagrams.send(writer->control, control::encode(self(), notice));
    }

    void on_join(const join_request& body)
    {
        const incarnation_id& id = body.joining.incarnation;
        if (id.empty() || id == self() || state.record().find(id) != nullptr ||
            (joining.size() >= max_joining && joining.count(id) == 0))
        {
            return;
        }
        joining[id] = {body.joining, now()};
        for (const member& item : state.ordered_members())
        {
            note_replacement(item, body.joining);
        }
        forward(body);
    }

    void on_leave(const leave_notice& body)
    {
        if (state.record().find(body.leaving) == nullptr)
        {
            return;
        }
        leaving.try_emplace(body.leaving, now());
        peers[body.leaving].leaving = true;
        forward(body);
    }

    // --- Distribution ---

    distribution_plan make_plan() const
    {
        distribution_plan out;
        out.watcher = watcher_rank(state.record(), self(), usable_now());
        out.read_store = !fresh_since;
        if (out.watcher < 0)
        {
            return out;
        }
        for (const member& item : state.record().members)
        {
            if (item.failure_domain == options.self.failure_domain &&
                item.incarnation != self() && usable(item.incarnation))
            {
                out.targets.push_back({item, state.stated(item.incarnation)});
            }
        }
        return out;
    }

    void tick()
    {
        track_freshness();
        take_vm_list();
        update_stopped();
        values->tick(make_plan());
        expire_joins();
        change_record();
        ask_seed();
        ask_to_join();
        ask_to_leave();
        send_heartbeats();
    }

    template <class T, class Handler>
    bool read(const control::envelope& message, Handler handler)
    {
        auto body = control::read<T>(message);
        if (!body)
        {
            ++counts.malformed;
            return false;
        }
        handler(body.value());
        return true;
    }
};

fleet_node::fleet_node(fleet_options options, fleet_edges edges,
                       fleet_handlers handlers)
    : impl_(std::make_shared<impl>(std::move(options), std::move(edges),
                                   std::move(handlers)))
{
    impl_->start();
}

fleet_node::~fleet_node() = default;

void fleet_node::tick()
{
    impl_->tick();
}

bool fleet_node::on_datagram(const net::endpoint& from,
                             const control::envelope& message)
{
    switch (message.type)
    {
    case control::message_type::heartbeat:
        impl_->read<heartbeat>(
            message, [&](const heartbeat& body)
            { impl_->on_heartbeat(from, message.sender, body); });
        return true;
    case control::message_type::join_request:
        impl_->read<join_request>(message, [this](const join_request& body)
                                  { impl_->on_join(body); });
        return true;
    case control::message_type::leave_notice:
        impl_->read<leave_notice>(message, [this](const leave_notice& body)
                                  { impl_->on_leave(body); });
        return true;
    default:
        return false;
    }
}

std::string fleet_node::on_message(const control::envelope& message)
{
    const incarnation_id& self = impl_->self();
    std::string answer;
    if (message.type == control::message_type::revision_push)
    {
        impl_->read<revision_push>(
            message,
            [&](const revision_push& body)
            {
                impl_->values->take(body);
                answer = control::encode(
                    self, acknowledgement{impl_->values->known()});
            });
    }
    if (message.type == control::message_type::revision_fetch)
    {
        impl_->read<revision_fetch>(
            message,
            [&](const revision_fetch& body) {
                answer = control::encode(self,
                                         impl_->values->newer_than(body.known));
            });
    }
    return answer;
}

void fleet_node::begin_leaving()
{
    impl_->is_leaving = true;
}

void fleet_node::leave()
{
    impl_->is_leaving = true;
    impl_->wants_removal = true;
}

bool fleet_node::has_left() const
{
    return impl_->wants_removal && !impl_->is_member();
}

bool fleet_node::all_leaving() const
{
    const auto& members = impl_->state.record().members;
    return std::all_of(members.begin(), members.end(),
                       [this](const member& item)
                       { return impl_->is_known_leaving(item); });
}

bool fleet_node::fresh() const
{
    return impl_->state.is_fresh(impl_->now());
}

time_point fleet_node::fresh_until() const
{
    return impl_->state.fresh_until();
}

bool fleet_node::is_member() const
{
    return impl_->is_member();
}

const fleet_record& fleet_node::record() const
{
    return impl_->state.record();
}

store_revision fleet_node::record_revision() const
{
    return impl_->state.known().fleet;
}

std::string_view fleet_node::config_text() const
{
    return impl_->values->newest(value_kind::config).text;
}

store_revision fleet_node::config_revision() const
{
    return impl_->state.known().config;
}

const known_revisions& fleet_node::in_force() const
{
    return impl_->state.in_force();
}

bool fleet_node::config_in_force(store_revision revision) const
{
    return impl_->state.config_in_force(revision, impl_->now());
}

bool fleet_node::fleet_in_force(store_revision revision) const
{
    return impl_->state.fleet_in_force(revision, impl_->now());
}

std::vector<member> fleet_node::live_members() const
{
    std::vector<member> out;
    for (const member& item : impl_->state.record().members)
    {
        const bool is_self = item.incarnation == impl_->self();
        if (!impl_->is_known_leaving(item) &&
            !impl_->is_listed_as_leaving(item) &&
            (is_self ||
             impl_->heard_lately(item.incarnation, impl_->suspicion_limit())))
        {
            out.push_back(item);
        }
    }
    return out;
}

std::vector<member_status> fleet_node::status() const
{
    return impl_->state.status(impl_->now());
}

const fleet_counts& fleet_node::counts() const
{
    return impl_->counts;
}

const distributor_counts& fleet_node::distribution_counts() const
{
    return impl_->values->counts();
}

} // namespace siskinflow
