#include "issuer_client.hpp"

#include <siskinflow/control/codec.hpp>
#include <siskinflow/permit/permit_issuer.hpp>

#include <algorithm>

namespace siskinflow::entry
{

namespace
{

/// Time for one VM to answer: long enough for a slow link between regions,
/// short enough to ask several VMs within the deadline of a request.
constexpr duration query_timeout = std::chrono::seconds(1);
/// Pause before a VM that still runs the request is asked again.
constexpr duration repeat_interval = std::chrono::milliseconds(200);
constexpr std::size_t successor_count = 2;

const member* find_issuer(const fleet_record& record, const incarnation_id& id)
{
    if (const member* found = record.find(id))
    {
        return found;
    }
    const auto previous = std::find_if(
        record.previous_members.begin(), record.previous_members.end(),
        [&](const member& item) { return item.incarnation == id; });
    return previous == record.previous_members.end() ? nullptr : &*previous;
}

} // namespace

std::vector<member> successors_of(const incarnation_id& incarnation,
                                  const fleet_record& record)
{
    fleet_record others = record;
    std::erase_if(others.members, [&](const member& item)
                  { return item.incarnation == incarnation; });
    std::vector<member> out;
    const std::string key = "successor:" + to_string(incarnation);
    while (out.size() < successor_count && !others.members.empty())
    {
        const member chosen = *rendezvous_owner(others, key);
        std::erase_if(others.members, [&](const member& item)
                      { return item.incarnation == chosen.incarnation; });
        out.push_back(chosen);
    }
    return out;
}

/// A query about one permit and the VMs that have not been asked yet.
struct issuer_client::pending_query
{
    permit_query query;
    std::vector<net::endpoint> remaining_peers; ///< Queried from the back.
    time_point deadline;
    std::function<void(result<permit_outcome>)> done;
};

issuer_client::issuer_client(const incarnation_id& self, const clock& time,
                             timer_queue& timers, net::message_sender& messages,
                             closing_statements& statements,
                             std::function<const fleet_record&()> record)
    : self_(self), time_(time), timers_(timers), messages_(messages),
      statements_(statements), record_(std::move(record))
{
}

void issuer_client::resolve(const permit_claim& claim, duration timeout,
                            std::function<void(result<permit_outcome>)> done)
{
    const time_point now = time_.now();
    if (auto known_outcome = statements_.find(claim, now))
    {
        done(std::move(*known_outcome));
        return;
    }
    const auto issuer = claimed_issuer(claim.text);
    if (!issuer.has_value())
    {
        done(issuer.error());
        return;
    }
    auto pending = std::make_shared<pending_query>();
    pending->query = {std::string(claim.text), std::string(claim.organisation),
                      std::string(claim.route)};
    pending->deadline = now + timeout;
    pending->done = std::move(done);
    const fleet_record& record = record_();
    for (const member& successor : successors_of(issuer.value(), record))
    {
        if (successor.incarnation != self_)
        {
            pending->remaining_peers.push_back(successor.control);
        }
    }
    if (const member* found = find_issuer(record, issuer.value()))
    {
        pending->remaining_peers.push_back(found->control);
    }
    ask_next(pending);
}

void issuer_client::ask_next(const std::shared_ptr<pending_query>& pending)
{
    const duration time_left = pending->deadline - time_.now();
    if (pending->remaining_peers.empty() || time_left <= duration::zero())
    {
        pending->done(
            fail(errc::unavailable,
                 "no VM answered the query for the outcome of the permit"));
        return;
    }
    const net::endpoint peer = pending->remaining_peers.back();
    pending->remaining_peers.pop_back();
    messages_.request(
        peer, control::encode(self_, pending->query),
        std::min(time_left, query_timeout),
        [this, pending, peer](const result<std::string>& reply)
        {
            if (!reply.has_value())
            {
                ask_next(pending);
                return;
            }
            const auto envelope = control::decode_header(
                reply.value(), net::max_stream_message_bytes);
            if (!envelope.has_value())
            {
                ask_next(pending);
                return;
            }
            auto outcome =
                control::decode_payload<permit_outcome>(envelope.value());
            if (!outcome.has_value())
            {
                ask_next(pending);
                return;
            }
            handle_outcome(pending, peer, std::move(outcome.value()));
        });
}

void issuer_client::handle_outcome(
    const std::shared_ptr<pending_query>& pending, const net::endpoint& peer,
    permit_outcome outcome)
{
    const time_point next_attempt = time_.now() + repeat_interval;
    if (outcome.verdict == permit_verdict::in_progress &&
        next_attempt < pending->deadline)
    {
        pending->remaining_peers.push_back(peer);
        timers_.schedule(next_attempt, [this, pending] { ask_next(pending); });
        return;
    }
    const bool may_know_more = outcome.verdict == permit_verdict::unknown &&
                               !pending->remaining_peers.empty();
    if (may_know_more)
    {
        ask_next(pending);
        return;
    }
    pending->done(std::move(outcome));
}

permit_outcome issuer_client::answer_from_statements(const permit_query& query)
{
    const permit_claim claim{query.permit, query.organisation, query.route};
    if (auto known_outcome = statements_.find(claim, time_.now()))
    {
        return std::move(*known_outcome);
    }
    permit_outcome unknown;
    unknown.verdict = permit_verdict::unknown;
    unknown.reason = name(refusal_reason::permit_issuer_unreachable);
    return unknown;
}

} // namespace siskinflow::entry
