#include "fleet_node_impl.hpp"

#include <algorithm>

// Liveness: heartbeats, their answers and the evidence that they carry.

namespace siskinflow
{

namespace
{

/// Number of unanswered requests after which a relay is skipped.
constexpr unsigned max_unanswered = 3;

/// Time after which an answer counts as missed: the longest round trip between
/// regions (55 ms) and a tick.
constexpr duration answer_timeout = std::chrono::milliseconds(110);

/// How long an unresponsive relay is skipped before it is tried again.
constexpr duration relay_retry = std::chrono::seconds(5);

std::uint64_t to_timestamp(time_point when)
{
    return static_cast<std::uint64_t>(when.time_since_epoch().count());
}

time_point from_timestamp(std::uint64_t timestamp)
{
    return time_point(duration(static_cast<std::int64_t>(timestamp)));
}

} // namespace

// Liveness

bool fleet_node::impl::heard_within(const incarnation_id& id,
                                    duration limit) const
{
    const auto heard = freshness_state.last_heard(id);
    const time_point since =
        heard ? std::max(*heard, record_since) : record_since;
    return now() - since <= limit;
}

bool fleet_node::impl::usable(const incarnation_id& id) const
{
    auto it = peers.find(id);
    if (it != peers.end() && it->second.unanswered >= max_unanswered)
    {
        const peer_state& peer = it->second;
        return peer.sent && now() - *peer.sent > relay_retry;
    }
    return id == self() || !fresh_since || heard_within(id, suspect_timeout());
}

void fleet_node::impl::track_freshness()
{
    freshness_state.advance(now());
    if (!freshness_state.is_fresh(now()))
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
    out.caught_up = freshness_state.is_caught_up();
    out.leaving = is_leaving;
    out.probe_ns = to_timestamp(now());
    out.revisions = freshness_state.known();
    return out;
}

void fleet_node::impl::send_heartbeats()
{
    auto plan = heartbeat_topology.plan(usable_now());
    request_evidence_from_one(plan, self(),
                              [this](const incarnation_id& id)
                              { return missed_answer(id); });
    for (std::size_t i = 0; i < plan.size(); ++i)
    {
        const planned_peer& item = plan[i];
        peer_state& peer = peers[item.peer.incarnation];
        if (!peer.sent)
        {
            // Requests to the second relay are sent between those to the first,
            // so that it can replace the first without a gap.
            peer.sent = now() - item.interval / (1 + i % 2);
        }
        // Half a tick of slack keeps the mean interval at the configured one.
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
    auto it = peers.find(id);
    return it == peers.end() || (it->second.unanswered > 0 && it->second.sent &&
                                 now() - *it->second.sent >= answer_timeout);
}

void fleet_node::impl::answer(const net::endpoint& to,
                              const incarnation_id& peer,
                              const heartbeat& request)
{
    heartbeat body = make_heartbeat(heartbeat_kind::answer);
    body.echo_ns = request.probe_ns;
    body.echo_of = peer;
    if (request.kind != heartbeat_kind::probe)
    {
        add_evidence(body, request.kind == heartbeat_kind::exchange);
    }
    send(to, body);
}

void fleet_node::impl::add_evidence(heartbeat& body, bool own_domain) const
{
    body.order_revision = freshness_state.known().fleet;
    body.evidence = freshness_state.evidence_groups(
        now(), own_domain ? options.self.failure_domain : "");
    add_leaving(body);
}

void fleet_node::impl::add_leaving(heartbeat& body) const
{
    const auto& order = freshness_state.ordered_members();
    evidence_group group;
    group.bitmap.assign((order.size() + 7) / 8, '\0');
    bool any_leaving = false;
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        auto it = peers.find(order[i].incarnation);
        if (it != peers.end() && it->second.leaving)
        {
            any_leaving = true;
            group.bitmap[i / 8] = static_cast<char>(
                static_cast<unsigned char>(group.bitmap[i / 8]) |
                (1U << (i % 8)));
        }
    }
    if (any_leaving)
    {
        body.leaving_members.push_back(std::move(group));
    }
}

void fleet_node::impl::apply_leaving_members(const heartbeat& body)
{
    const auto& order = freshness_state.ordered_members();
    if (body.order_revision != freshness_state.known().fleet)
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
    if (dependencies.vms == nullptr || !dependencies.vms->vms())
    {
        return false;
    }
    auto it = dependencies.vms->vms()->find(item.vm);
    return it != dependencies.vms->vms()->end() &&
           it->second == vm_state::leaving;
}

bool fleet_node::impl::is_listed(const incarnation_id& id) const
{
    const auto& order = freshness_state.ordered_members();
    return std::any_of(order.begin(), order.end(),
                       [&id](const member& item)
                       { return item.incarnation == id; });
}

void fleet_node::impl::on_heartbeat(const net::endpoint& from,
                                    const incarnation_id& sender,
                                    const heartbeat& body)
{
    value_distributor->on_announced(from, body.revisions);
    if (is_listed(sender))
    {
        apply_statement(sender, body);
    }
    if (body.kind != heartbeat_kind::direct &&
        body.kind != heartbeat_kind::answer)
    {
        answer(from, sender, body);
    }
}

void fleet_node::impl::apply_statement(const incarnation_id& sender,
                                       const heartbeat& body)
{
    peer_state& peer = peers[sender];
    peer.last_probe = std::max(peer.last_probe, body.probe_ns);
    peer.unanswered = 0;
    peer.leaving = peer.leaving || body.leaving;
    freshness_state.on_heard(sender, now());
    if (body.echo_of != self() || body.echo_ns == 0)
    {
        return;
    }
    const time_point probe = from_timestamp(body.echo_ns);
    if (probe < started || probe > now())
    {
        return;
    }
    if (body.caught_up)
    {
        freshness_state.on_statement(sender, probe, body.revisions, now());
    }
    freshness_state.on_relayed_evidence(body.evidence, body.order_revision,
                                        probe, now());
    apply_leaving_members(body);
}

} // namespace siskinflow
