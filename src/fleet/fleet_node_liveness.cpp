#include "fleet_node_impl.hpp"

#include <algorithm>

// Who is heard: heartbeats, their answers and the evidence that they carry.

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

std::uint64_t to_stamp(time_point when)
{
    return static_cast<std::uint64_t>(when.time_since_epoch().count());
}

time_point from_stamp(std::uint64_t stamp)
{
    return time_point(duration(static_cast<std::int64_t>(stamp)));
}

} // namespace

// Liveness

bool fleet_node::impl::heard_lately(const incarnation_id& id,
                                    duration limit) const
{
    const auto heard = state.last_heard(id);
    const time_point since =
        heard ? std::max(*heard, record_since) : record_since;
    return now() - since <= limit;
}

bool fleet_node::impl::usable(const incarnation_id& id) const
{
    auto found = peers.find(id);
    if (found != peers.end() && found->second.unanswered >= max_unanswered)
    {
        const peer_state& peer = found->second;
        return peer.sent && now() - *peer.sent > relay_retry;
    }
    return id == self() || !fresh_since || heard_lately(id, suspicion_limit());
}

void fleet_node::impl::track_freshness()
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

// Heartbeats

heartbeat fleet_node::impl::make_heartbeat(heartbeat_kind kind) const
{
    heartbeat out;
    out.kind = kind;
    out.stating = state.may_state();
    out.leaving = is_leaving;
    out.probe_ns = to_stamp(now());
    out.revisions = state.known();
    return out;
}

void fleet_node::impl::send_heartbeats()
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

void fleet_node::impl::send_heartbeat(const planned_peer& item,
                                      peer_state& peer)
{
    heartbeat body = make_heartbeat(item.kind);
    body.echo_ns = peer.last_probe;
    body.echo_of = item.peer.incarnation;
    peer.sent = now();
    peer.unanswered += item.kind == heartbeat_kind::direct ? 0 : 1;
    send(item.peer.control, body);
}

bool fleet_node::impl::missed_answer(const incarnation_id& id) const
{
    auto found = peers.find(id);
    return found == peers.end() ||
           (found->second.unanswered > 0 && found->second.sent &&
            now() - *found->second.sent >= answer_limit);
}

void fleet_node::impl::answer(const net::endpoint& to,
                              const incarnation_id& peer,
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

void fleet_node::impl::add_evidence(heartbeat& body, bool own_domain) const
{
    body.basis = state.known().fleet;
    body.groups =
        state.groups(now(), own_domain ? options.self.failure_domain : "");
    add_leaving(body);
}

void fleet_node::impl::add_leaving(heartbeat& body) const
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

void fleet_node::impl::take_leaving(const heartbeat& body)
{
    const auto& order = state.ordered_members();
    if (body.basis != state.known().fleet)
    {
        return;
    }
    for (const evidence_group& group : body.leaving_members)
    {
        for (std::size_t i = 0; i < order.size() && i / 8 < group.bitmap.size();
             ++i)
        {
            const auto byte = static_cast<unsigned char>(group.bitmap[i / 8]);
            if ((byte >> (i % 8) & 1U) != 0)
            {
                peers[order[i].incarnation].leaving = true;
            }
        }
    }
}

bool fleet_node::impl::is_known_leaving(const member& item) const
{
    if (item.incarnation == self())
    {
        return is_leaving;
    }
    const auto peer = peers.find(item.incarnation);
    return peer != peers.end() && peer->second.leaving;
}

bool fleet_node::impl::is_listed_as_leaving(const member& item) const
{
    if (edges.vms == nullptr || !edges.vms->vms())
    {
        return false;
    }
    auto found = edges.vms->vms()->find(item.vm);
    return found != edges.vms->vms()->end() &&
           found->second == vm_state::leaving;
}

bool fleet_node::impl::is_listed(const incarnation_id& id) const
{
    const auto& order = state.ordered_members();
    return std::any_of(order.begin(), order.end(),
                       [&id](const member& item)
                       { return item.incarnation == id; });
}

void fleet_node::impl::on_heartbeat(const net::endpoint& from,
                                    const incarnation_id& sender,
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

void fleet_node::impl::take_statement(const incarnation_id& sender,
                                      const heartbeat& body)
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

} // namespace siskinflow
