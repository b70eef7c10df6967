#include "peer_exchange.hpp"

#include "message_parts.hpp"

#include <algorithm>
#include <utility>

namespace siskinflow::gateway
{

namespace
{

constexpr duration timer_interval = std::chrono::milliseconds(100);
/// Time for which a VM repeats that a target is leaving: datagrams are lost,
/// and other VMs may be listed late, above all while the store is away.
constexpr duration leaving_repeat_time = std::chrono::seconds(30);
/// Demand below which an organisation without new requests is not reported.
constexpr double min_reported_demand_per_s = 0.05;
report_scope scope_of(const vm_record& record, const vm_record& self)
{
    return record.protocol >= peer_protocol::domain &&
                   record.failure_domain == self.failure_domain
               ? report_scope::domain_vm
               : report_scope::separate_vm;
}

} // namespace

peer_exchange::peer_exchange(gateway_state& state, const incarnation_id& self,
                             std::function<bool()> ready)
    : state_(state), self_(self), ready_(std::move(ready))
{
}

result<void> peer_exchange::listen()
{
    auto socket = net::udp_socket::bind(
        state_.loop, state_.settings.self.peers,
        [this](const net::endpoint& /*from*/, std::string_view payload)
        { on_datagram(payload); });
    if (!socket)
    {
        return socket.error();
    }
    socket_ = std::move(socket).value();
    return ok();
}

void peer_exchange::start()
{
    timer_ = state_.loop.every(timer_interval, [this] { on_timer(); });
}

// Sending

void peer_exchange::on_timer()
{
    const time_point now = state_.now();
    if (now >= next_state_at_)
    {
        send_state();
        repeat_leaving();
    }
    if (now >= next_domain_state_at_)
    {
        next_domain_state_at_ = now + state_.peers.domain_interval();
        send_domain_state(selection::active, announces_empty_domain());
    }
    else
    {
        send_domain_state(selection::early, false);
    }
}

/// The last VM of a domain repeats that none accepts callers, because it may
/// have stopped before it knew all VMs of other domains.
bool peer_exchange::announces_empty_domain() const
{
    return leaving_ && state_.peers.serving_in_domain(state_.now()).empty();
}

void peer_exchange::leave()
{
    leaving_ = true;
    const bool sums_up = state_.peers.sums_up_domain(state_.now());
    state_.peers.serve(false);
    send_state();
    if (sums_up)
    {
        send_domain_state(selection::active, true);
    }
}

void peer_exchange::send_state()
{
    next_state_at_ = state_.now() + state_.peers.message_interval();
    state_.peers.expire(state_.now());
    state_.update_shares();
    const auto usages =
        select_usages(selection::active, &rate_share::report, sent_own_);
    const std::string& self = state_.settings.self.name;
    send_in_parts(
        peer_report{self, ready_(), {}, state_.load_reports.take(state_.now())},
        usages, state_.peers.direct_peers(state_form::with_loads));
    const auto plain_peers = state_.peers.direct_peers(state_form::plain);
    if (!plain_peers.empty())
    {
        send_in_parts(peer_state{self, ready_(), {}}, usages, plain_peers);
    }
}

std::vector<organisation_usage> peer_exchange::select_usages(
    selection which, rate_report (rate_share::*report)(time_point) const,
    sent_reports& sent)
{
    const time_point now = state_.now();
    const std::size_t domains = state_.peers.domain_count();
    std::vector<organisation_usage> out;
    for (const auto& [organisation, share] : state_.shares)
    {
        const rate_report current = (share.*report)(now);
        rate_report& last_sent = sent[organisation];
        const bool selected =
            which == selection::early
                ? share.reports_early(current, last_sent, domains, now)
                : current.admitted != last_sent.admitted ||
                      current.demand_per_s > min_reported_demand_per_s;
        if (selected)
        {
            last_sent = current;
            out.push_back({organisation_number(organisation), current.admitted,
                           static_cast<float>(current.demand_per_s)});
        }
    }
    return out;
}

void peer_exchange::send_domain_state(selection which, bool last)
{
    const time_point now = state_.now();
    if (!last && !state_.peers.sums_up_domain(now))
    {
        return;
    }
    const auto usages =
        select_usages(which, &rate_share::domain_report, sent_domain_);
    if (which == selection::early && usages.empty())
    {
        return;
    }
    domain_state message;
    message.failure_domain = state_.settings.self.failure_domain;
    message.incarnation = self_.low;
    message.last = last;
    if (which == selection::active)
    {
        message.lists_serving = true;
        message.serving = state_.peers.serving_in_domain(now);
        ++round_;
    }
    send_in_parts(message, usages, state_.peers.domain_contacts(round_, now));
}

/// Sends a message, split into several datagrams if needed.
template <class Message>
void peer_exchange::send_in_parts(const Message& message,
                                  const std::vector<organisation_usage>& usages,
                                  const std::vector<net::endpoint>& receivers)
{
    for (const std::string& part : encode_parts(self_, message, usages))
    {
        send(part, receivers);
    }
}

void peer_exchange::send(const std::string& encoded,
                         const std::vector<net::endpoint>& receivers)
{
    for (const net::endpoint& receiver : receivers)
    {
        socket_->send(receiver, encoded);
    }
}

template <class Message>
void peer_exchange::send_to_domain(const Message& message)
{
    send(control::encode(self_, message), state_.peers.domain_peers());
}

/// Sends a message to the failure domain, marked so that no receiver forwards
/// it again.
template <class Message>
void peer_exchange::forward(Message message)
{
    message.forwarded = true;
    send_to_domain(message);
}

void peer_exchange::send_confirmation(const std::string& prefix,
                                      const mirror_confirmation& confirmation)
{
    const time_point now = state_.now();
    store_confirmation message;
    message.prefix = prefix;
    message.last_change = confirmation.last_change;
    message.age_ms = static_cast<std::uint32_t>(to_ms(now - confirmation.at));
    send(control::encode(self_, message),
         state_.peers.domain_contacts(++confirmation_round_, now));
    forward(std::move(message));
}

void peer_exchange::send_leaving(const target_record& record)
{
    const target_leaving message{record.id, record.started_at_ms,
                                 state_.settings.self.name};
    send_to_domain(message);
    repeated_.push_back({message, state_.now() + leaving_repeat_time});
}

void peer_exchange::repeat_leaving()
{
    const time_point now = state_.now();
    std::erase_if(repeated_, [now](const repeated_leaving& entry)
                  { return entry.until < now; });
    for (const repeated_leaving& entry : repeated_)
    {
        send_to_domain(entry.message);
    }
}

// Receiving

void peer_exchange::on_datagram(std::string_view payload)
{
    const auto envelope =
        control::decode_header(payload, control::max_datagram_bytes);
    if (!envelope)
    {
        drop(envelope.error(), payload.size());
        return;
    }
    switch (envelope.value().type)
    {
    case control::message_type::domain_state:
        decode_and_apply<domain_state>(envelope.value(), payload.size());
        break;
    case control::message_type::store_position_confirmation:
        decode_and_apply<store_confirmation>(envelope.value(), payload.size());
        break;
    case control::message_type::store_confirmation:
        // Of an earlier build; its revision may be of any era.
        break;
    case control::message_type::target_leaving:
        decode_and_apply<target_leaving>(envelope.value(), payload.size());
        break;
    case control::message_type::peer_report:
        decode_and_apply<peer_report>(envelope.value(), payload.size());
        break;
    default:
        decode_and_apply<peer_state>(envelope.value(), payload.size());
        break;
    }
}

template <class Message>
void peer_exchange::decode_and_apply(const control::envelope& envelope,
                                     std::size_t bytes)
{
    auto message = control::decode_payload<Message>(envelope);
    if (!message)
    {
        drop(message.error(), bytes);
        return;
    }
    apply(std::move(message).value(), envelope.sender);
}

void peer_exchange::drop(const error& reason, std::size_t bytes)
{
    state_.log.write(
        event_id::message_dropped,
        {{"transport", "udp"}, {"reason", reason.message}, {"bytes", bytes}});
}

void peer_exchange::apply(const peer_state& message,
                          const incarnation_id& sender)
{
    apply_state(message.vm, message.serving, message.usages, sender);
}

void peer_exchange::apply(const peer_report& message,
                          const incarnation_id& sender)
{
    apply_state(message.vm, message.serving, message.usages, sender);
    state_.targets.on_shared_loads(message.loads, state_.now());
}

void peer_exchange::apply_state(const std::string& vm, bool serving,
                                const std::vector<organisation_usage>& usages,
                                const incarnation_id& sender)
{
    const time_point now = state_.now();
    const vm_record* record = state_.peers.find(vm);
    if (record == nullptr)
    {
        return; // Its counts may already be part of a domain's sum.
    }
    state_.peers.on_heard(vm, serving, now);
    report_source source{vm, scope_of(*record, state_.settings.self),
                         sender.low, std::nullopt};
    heard_vm& heard = heard_[vm];
    if (heard.incarnation == sender.low)
    {
        source.since_previous = now - heard.at;
    }
    heard = {sender.low, now};
    const bool in_a_sum = source.scope == report_scope::separate_vm &&
                          state_.peers.summed_up(*record);
    if (!in_a_sum)
    {
        apply_usages(usages, source);
    }
}

void peer_exchange::apply(domain_state message,
                          const incarnation_id& /*sender*/)
{
    const time_point now = state_.now();
    if (message.failure_domain == state_.settings.self.failure_domain)
    {
        return;
    }
    const auto sender =
        senders_.accept(message.failure_domain, message.incarnation, now);
    if (sender)
    {
        if (message.lists_serving)
        {
            state_.peers.on_domain_heard(message.failure_domain,
                                         message.serving, now);
        }
        apply_usages(message.usages,
                     {message.failure_domain, report_scope::domain,
                      message.incarnation, sender->since_previous});
    }
    if (message.last)
    {
        senders_.release(message.failure_domain, message.incarnation);
    }
    if (!message.forwarded)
    {
        forward(std::move(message));
    }
}

void peer_exchange::apply(const store_confirmation& message,
                          const incarnation_id& /*sender*/)
{
    if (on_confirmation_)
    {
        on_confirmation_(
            message.prefix,
            {message.last_change,
             state_.now() - std::chrono::milliseconds(message.age_ms)});
    }
    if (!message.forwarded)
    {
        forward(message);
    }
}

void peer_exchange::apply(const target_leaving& message,
                          const incarnation_id& /*sender*/)
{
    target_wish wish;
    wish.leaving = true;
    const target_ptr known = state_.targets.find(message.target);
    const bool same_incarnation =
        known != nullptr &&
        known->record().started_at_ms == message.started_at_ms;
    if (same_incarnation)
    {
        state_.on_target_wish(known, wish, message.vm);
        return;
    }
    state_.targets.on_wish(message.target, message.started_at_ms, wish, {});
}

void peer_exchange::apply_usages(const std::vector<organisation_usage>& usages,
                                 const report_source& source)
{
    for (const organisation_usage& usage : usages)
    {
        const auto organisation =
            state_.organisation_by_number.find(usage.organisation);
        if (organisation == state_.organisation_by_number.end())
        {
            continue; // Belongs to a policy that this VM does not know yet.
        }
        state_.shares[organisation->second].on_report(
            source, {usage.admitted, usage.demand_per_s}, state_.now());
    }
}

} // namespace siskinflow::gateway
