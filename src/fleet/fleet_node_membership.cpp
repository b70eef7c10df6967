#include "fleet_node_impl.hpp"

#include <algorithm>

// Membership: joins, removals and the record in the store.

namespace siskinflow
{

namespace
{

/// Members that a join or leave is sent to: the presumed writer and others in
/// case it is not reachable.
constexpr std::size_t notice_member_count = 3;

constexpr std::size_t max_pending_joins = 1024;

/// Members that a VM without a majority sends each join to. Sending to all of
/// them would cost 880 messages/s per VM when 440 VMs restart at once.
constexpr std::size_t join_sample_size = 64;

/// Time between reads of the store for newly stopped members, plus as much
/// jitter: 440 VMs without a majority make about 300 reads/s.
constexpr duration stopped_read_interval = std::chrono::seconds(2);

} // namespace

membership_view fleet_node::impl::make_view() const
{
    membership_view out;
    out.self = self();
    out.now = now();
    out.fresh_since = fresh_since;
    out.may_change_record = freshness_state.may_change_record(now());
    out.relayed = !heartbeat_topology.is_direct();
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

void fleet_node::impl::update_absences()
{
    if (dependencies.vms == nullptr || !dependencies.vms->requested_at() ||
        dependencies.vms->requested_at() == absences_as_of)
    {
        return;
    }
    absences_as_of = dependencies.vms->requested_at();
    absences.on_vm_list(*dependencies.vms->vms(), *absences_as_of,
                        freshness_state.record());
}

void fleet_node::impl::update_stopped()
{
    std::set<incarnation_id> stopped;
    for (const member& item : freshness_state.ordered_members())
    {
        const bool absent =
            absences.absent_for(item.vm, options.membership.vm_list_lag_bound,
                                now(), options.membership);
        const bool silent =
            !heard_within(item.incarnation, options.freshness.window);
        if (item.incarnation != self() && silent &&
            (absent || replaced.count(item.incarnation) != 0))
        {
            stopped.insert(item.incarnation);
        }
    }
    if (fresh_since)
    {
        std::erase_if(stopped, [this](const incarnation_id& id)
                      { return reported_stopped.count(id) == 0; });
    }
    if (stopped != reported_stopped)
    {
        stopped_read_pending =
            stopped_read_pending ||
            !std::includes(reported_stopped.begin(), reported_stopped.end(),
                           stopped.begin(), stopped.end());
        reported_stopped = stopped;
        freshness_state.set_stopped(stopped, now());
    }
    read_before_exclusion();
}

void fleet_node::impl::read_before_exclusion()
{
    if (!stopped_read_pending || now() < next_stopped_read)
    {
        return;
    }
    stopped_read_pending = false;
    value_distributor->schedule_read();
    const auto jitter = static_cast<std::int64_t>(
        dependencies.random() %
        static_cast<std::uint64_t>(stopped_read_interval.count()));
    next_stopped_read = now() + stopped_read_interval + duration(jitter);
}

void fleet_node::impl::expire_joins()
{
    const time_point limit = now() - options.join_expiry;
    std::erase_if(joining, [limit](const auto& entry)
                  { return entry.second.last_requested < limit; });
    std::erase_if(
        leaving, [this](const auto& entry)
        { return freshness_state.record().find(entry.first) == nullptr; });
}

void fleet_node::impl::change_record()
{
    if (writing || now() < next_write)
    {
        return;
    }
    const membership_view current_view = make_view();
    auto next = next_record(freshness_state, current_view, options.membership);
    if (!next)
    {
        change_since.reset();
        next = creation_record();
        if (!next)
        {
            next = recovery_record(freshness_state, current_view);
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
    if (freshness_state.known().fleet != 0 ||
        !value_distributor->fleet_is_absent() || wants_removal)
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
    swap_request request{store_keys::fleet,
                         freshness_state.known().fleet,
                         {{store_keys::fleet, text}}};
    dependencies.kv_store.swap(
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
    // Spreads the next attempts of VMs that compete to write the same record.
    constexpr std::int64_t jitter_ns = 500'000'000;
    next_write =
        now() +
        duration(static_cast<std::int64_t>(dependencies.random() % jitter_ns));
    if (reply)
    {
        value_distributor->offer(
            {value_kind::fleet, reply.value(), sha256_hex(text), text});
        return;
    }
    counts.record_conflicts += reply.error().code == errc::conflict ? 1 : 0;
    counts.unknown_writes +=
        reply.error().code == errc::unknown_outcome ? 1 : 0;
    value_distributor->schedule_read();
}

std::vector<net::endpoint> fleet_node::impl::notice_recipients()
{
    std::vector<net::endpoint> out;
    const auto& members = freshness_state.record().members;
    for (const member& item : members)
    {
        if (out.size() < notice_member_count && item.incarnation != self() &&
            heard_within(item.incarnation, suspect_timeout()))
        {
            out.push_back(item.control);
        }
    }
    if (!members.empty())
    {
        const auto& random_member =
            members[dependencies.random() % members.size()];
        out.push_back(random_member.control);
    }
    return out;
}

void fleet_node::impl::ask_to_join()
{
    if (is_member() || freshness_state.record().members.empty() ||
        wants_removal)
    {
        return;
    }
    joining[self()] = {options.self, now()};
    if (join_sent && now() - *join_sent < options.join_interval)
    {
        return;
    }
    join_sent = now();
    const join_request body{options.self, false};
    for (const net::endpoint& peer : notice_recipients())
    {
        dependencies.datagrams.send(peer, control::encode(self(), body));
    }
    // After a restart of the whole fleet the other new processes use the
    // endpoints of the stopped members, and no listed member is heard.
    if (!freshness_state.is_fresh(now()))
    {
        send_join_to_sample(body);
    }
}

void fleet_node::impl::send_join_to_sample(const join_request& body)
{
    const auto& members = freshness_state.record().members;
    const std::size_t first = dependencies.random() % members.size();
    for (std::size_t i = 0; i < std::min(join_sample_size, members.size()); ++i)
    {
        dependencies.datagrams.send(
            members[(first + i) % members.size()].control,
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
    if (leave_sent && now() - *leave_sent < options.join_interval)
    {
        return;
    }
    leave_sent = now();
    for (const net::endpoint& peer : notice_recipients())
    {
        dependencies.datagrams.send(
            peer, control::encode(self(), leave_notice{self(), false}));
    }
}

void fleet_node::impl::fetch_from_seed()
{
    if (options.seeds.empty() || fresh_since ||
        (seed_fetch_sent && now() - *seed_fetch_sent < options.seed_interval))
    {
        return;
    }
    seed_fetch_sent = now();
    value_distributor->fetch_from(
        options.seeds[dependencies.random() % options.seeds.size()]);
}

void fleet_node::impl::on_join(const join_request& body)
{
    const incarnation_id& id = body.joining.incarnation;
    if (id.empty() || id == self() ||
        freshness_state.record().find(id) != nullptr ||
        (joining.size() >= max_pending_joins && joining.count(id) == 0))
    {
        return;
    }
    joining[id] = {body.joining, now()};
    for (const member& item : freshness_state.ordered_members())
    {
        mark_if_replaced(item, body.joining);
    }
    forward(body);
}

void fleet_node::impl::on_leave(const leave_notice& body)
{
    if (freshness_state.record().find(body.leaving) == nullptr)
    {
        return;
    }
    leaving.try_emplace(body.leaving, now());
    peers[body.leaving].leaving = true;
    forward(body);
}

} // namespace siskinflow
