#include "fleet_node_impl.hpp"

#include <algorithm>

// Who belongs to the fleet: joins, removals and the record in the store.

namespace siskinflow
{

namespace
{

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

} // namespace

membership_view fleet_node::impl::view() const
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

void fleet_node::impl::take_vm_list()
{
    if (edges.vms == nullptr || !edges.vms->answered() ||
        edges.vms->answered() == list_taken)
    {
        return;
    }
    list_taken = edges.vms->answered();
    absences.on_list(*edges.vms->vms(), *list_taken, state.record());
}

void fleet_node::impl::update_stopped()
{
    std::set<incarnation_id> stopped;
    for (const member& item : state.ordered_members())
    {
        const bool absent =
            absences.absent_for(item.vm, options.membership.vm_list_lag_bound,
                                now(), options.membership);
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

void fleet_node::impl::read_for_stopped()
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

void fleet_node::impl::expire_joins()
{
    const time_point limit = now() - options.join_expiry;
    std::erase_if(joining, [limit](const auto& entry)
                  { return entry.second.asked < limit; });
    std::erase_if(leaving, [this](const auto& entry)
                  { return state.record().find(entry.first) == nullptr; });
}

void fleet_node::impl::change_record()
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

std::optional<fleet_record> fleet_node::impl::creation_record() const
{
    if (state.known().fleet != 0 || !values->fleet_is_absent() || wants_removal)
    {
        return std::nullopt;
    }
    return fleet_record{1, {}, {options.self}, {}};
}

void fleet_node::impl::propose(fleet_record next)
{
    next.write_id = make_write_id();
    writing = true;
    ++counts.record_writes;
    const std::string text = to_json(next);
    swap_request request{
        store_keys::fleet, state.known().fleet, {{store_keys::fleet, text}}};
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

void fleet_node::impl::on_written(const std::string& text,
                                  const result<store_revision>& reply)
{
    writing = false;
    // Spreads the next attempts of VMs that race for the same record.
    constexpr std::int64_t jitter_ns = 500'000'000;
    next_write =
        now() + duration(static_cast<std::int64_t>(edges.random() % jitter_ns));
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

std::vector<net::endpoint> fleet_node::impl::notice_peers()
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

void fleet_node::impl::ask_to_join()
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

void fleet_node::impl::spread_join(const join_request& body)
{
    const auto& members = state.record().members;
    const std::size_t first = edges.random() % members.size();
    for (std::size_t i = 0; i < std::min(join_spread, members.size()); ++i)
    {
        edges.datagrams.send(members[(first + i) % members.size()].control,
                             control::encode(self(), body));
    }
}

void fleet_node::impl::ask_to_leave()
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

void fleet_node::impl::ask_seed()
{
    if (options.seeds.empty() || fresh_since ||
        (asked_seed && now() - *asked_seed < options.seed_interval))
    {
        return;
    }
    asked_seed = now();
    values->fetch_from(options.seeds[edges.random() % options.seeds.size()]);
}

void fleet_node::impl::on_join(const join_request& body)
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

void fleet_node::impl::on_leave(const leave_notice& body)
{
    if (state.record().find(body.leaving) == nullptr)
    {
        return;
    }
    leaving.try_emplace(body.leaving, now());
    peers[body.leaving].leaving = true;
    forward(body);
}

} // namespace siskinflow
