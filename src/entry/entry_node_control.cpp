#include "entry_node_impl.hpp"

#include <algorithm>

namespace siskinflow::entry
{

// Control plane

void entry_node::impl::report_dropped_message(std::string_view transport,
                                              const std::string& peer,
                                              const error& problem,
                                              std::size_t bytes)
{
    const metric_id id = transport == "udp" ? metric_id::datagrams_dropped
                                            : metric_id::messages_dropped;
    registry.counter(id, {name(problem.code)}).add();
    log.write(event_id::message_dropped, {{"transport", transport},
                                          {"peer", peer},
                                          {"reason", problem.message},
                                          {"bytes", bytes}});
}

void entry_node::impl::on_datagram(const net::endpoint& from,
                                   std::string_view payload)
{
    const auto envelope =
        control::decode_header(payload, control::max_datagram_bytes);
    if (!envelope.has_value())
    {
        report_dropped_message("udp", to_string(from), envelope.error(),
                               payload.size());
        return;
    }
    const time_point now = time.now();
    peer_traffic.datagram_received(payload);
    switch (envelope.value().type)
    {
    case control::message_type::share_report:
        if (const auto report =
                control::decode_payload<share_report>(envelope.value());
            report.has_value())
        {
            budgets->on_report(envelope.value().sender, report.value(), now);
            return;
        }
        break;
    case control::message_type::share_grant:
        if (const auto grant =
                control::decode_payload<share_grant>(envelope.value());
            grant.has_value())
        {
            budgets->on_grant(envelope.value().sender, grant.value(), now);
            return;
        }
        break;
    default:
        if (fleet->on_datagram(from, envelope.value()))
        {
            return;
        }
        break;
    }
    report_dropped_message(
        "udp", to_string(from),
        {errc::parse_error, "the datagram is malformed or not expected"},
        payload.size());
}

std::string entry_node::impl::on_message(std::string_view payload)
{
    const auto envelope =
        control::decode_header(payload, net::max_stream_message_bytes);
    if (!envelope.has_value())
    {
        report_dropped_message("tcp", "", envelope.error(), payload.size());
        return {};
    }
    peer_traffic.message_received(payload);
    if (envelope.value().type == control::message_type::permit_query)
    {
        if (const auto query =
                control::decode_payload<permit_query>(envelope.value());
            query.has_value())
        {
            return answer_permit_query(query.value());
        }
    }
    else if (envelope.value().type == control::message_type::closing_statement)
    {
        auto statement =
            control::decode_payload<closing_statement>(envelope.value());
        if (statement.has_value() &&
            statements.accept(std::move(statement.value()), time.now())
                .has_value())
        {
            return control::encode(self.incarnation, acknowledgement{});
        }
    }
    else if (envelope.value().type == control::message_type::counters)
    {
        auto copy = control::decode_payload<counters>(envelope.value());
        if (copy.has_value() &&
            reports.accept(std::move(copy.value())).has_value())
        {
            return control::encode(self.incarnation, acknowledgement{});
        }
    }
    else if (envelope.value().type == control::message_type::counters_request)
    {
        const auto request =
            control::decode_payload<counters_request>(envelope.value());
        if (request.has_value())
        {
            return control::encode(self.incarnation,
                                   reports.bundle(request.value().route));
        }
    }
    else if (std::string answer = fleet->on_message(envelope.value());
             !answer.empty())
    {
        return answer;
    }
    report_dropped_message("tcp", "",
                           {errc::parse_error, "the message is malformed"},
                           payload.size());
    return {};
}

std::string entry_node::impl::answer_permit_query(const permit_query& query)
{
    const auto named_issuer = claimed_issuer(query.permit);
    const bool is_own =
        named_issuer.has_value() && named_issuer.value() == self.incarnation;
    return control::encode(self.incarnation,
                           is_own ? permits.query(query, time.now())
                                  : resolver.answer_from_statements(query));
}

void entry_node::impl::on_config(std::string_view text, store_revision revision)
{
    auto parsed = parse_configuration(text);
    if (!parsed.has_value())
    {
        log.write(event_id::configuration_refused,
                  {{"revision", revision}, {"reason", parsed.error().message}});
        return;
    }
    auto config =
        std::make_shared<const configuration>(std::move(parsed.value()));
    budgets->set_configuration(*config, time.now());
    path->set_configuration(config,
                            std::max<std::size_t>(record->members.size(), 1));
    config_since = time.now();
    lifecycle.apply(lifecycle_event::ready);
    log.write(event_id::configuration_applied, {{"revision", revision},
                                                {"sequence", config->sequence},
                                                {"note", config->note_id}});
}

void entry_node::impl::on_record(const fleet_record& next,
                                 store_revision /*revision*/)
{
    const bool size_changed = record->members.size() != next.members.size();
    record = std::make_shared<const fleet_record>(next);
    log.write(event_id::fleet_record_changed,
              {{"epoch", next.epoch},
               {"members", next.members.size()},
               {"previous_members", next.previous_members.size()}});
    if (size_changed && path->config() != nullptr)
    {
        path->set_configuration(path->config(), next.members.size());
    }
    lookup_members.clear();
}

budget_view entry_node::impl::current_budget_view() const
{
    budget_view view;
    view.self = self.incarnation;
    view.fresh = fleet->is_fresh();
    view.fresh_until = fleet->fresh_until();
    view.is_member = fleet->is_member();
    view.epoch = record->epoch;
    view.epoch_in_force = fleet->fleet_in_force(fleet->record_revision());
    view.record = record;
    return view;
}

/// Starts a graceful stop when the platform's VM list shows that this VM is
/// leaving.
void entry_node::impl::check_vm_list()
{
    if (vms == nullptr)
    {
        return;
    }
    vms->tick();
    if (!vms->vms() || lifecycle.state() != lifecycle_state::serving)
    {
        return;
    }
    const auto found = vms->vms()->find(self.vm);
    if (found != vms->vms()->end() && found->second == vm_state::leaving)
    {
        stop();
    }
}

void entry_node::impl::report_freshness_changes()
{
    const bool fresh = fleet->is_fresh();
    registry.gauge(metric_id::fresh).set(fresh ? 1 : 0);
    if (fresh != was_fresh)
    {
        was_fresh = fresh;
        log.write(fresh ? event_id::fresh : event_id::not_fresh,
                  {{"members", record->members.size()}});
    }
    if (fleet->is_member() != was_member)
    {
        was_member = fleet->is_member();
        log.write(was_member ? event_id::joined : event_id::left,
                  {{"epoch", record->epoch}});
    }
}

} // namespace siskinflow::entry
