// One entry VM of the composition tests.
#include "composition_vm.hpp"

#include <siskinflow/config/configuration_json.hpp>

#include <criterion/criterion.h>

namespace composition
{

vm::vm(world& owner, std::size_t index, member given, duration offset,
       std::shared_ptr<memory_store::data> data,
       std::vector<net::endpoint> seeds, std::uint64_t seed)
    : world_(owner), index_(index), self(std::move(given)),
      clock(owner.time, offset), values(std::move(data), clock, timers),
      issuer(self.incarnation),
      resolver(self.incarnation, clock, timers, *this, statements,
               [this]() -> const fleet_record& { return *record; }),
      budgets(
          self.incarnation, *this,
          budget_codec{[this](const share_report& message)
                       { return control::encode(self.incarnation, message); },
                       [this](const share_grant& message)
                       { return control::encode(self.incarnation, message); }},
          [](const fleet_record& members, const budget_spec& spec)
          {
              return rendezvous_owner(members, spec.name, spec.region,
                                      spec.failure_domain);
          },
          [this](budget_id) { path.serve_queue(); }),
      path(
          [&]
          {
              entry::data_path_options options;
              options.vm = self.vm;
              options.region = self.region;
              options.seed = seed;
              return options;
          }(),
          entry::data_path_dependencies{
              clock, timers, *this, budgets, issuer, permits, resolver, *this,
              [this] { return fleet.is_fresh(); }, [] { return true; }}),
      fleet(
          [&]
          {
              fleet_options options;
              options.self = self;
              options.seeds = std::move(seeds);
              return options;
          }(),
          fleet_dependencies_of(seed),
          fleet_handlers{
              [this](std::string_view text, store_revision /*revision*/)
              { on_config(text); },
              [this](const fleet_record& next, store_revision /*revision*/)
              {
                  const bool resized =
                      record->members.size() != next.members.size();
                  record = std::make_shared<const fleet_record>(next);
                  if (resized && path.config() != nullptr)
                  {
                      path.set_configuration(path.config(),
                                             next.members.size());
                  }
              }})
{
}

fleet_dependencies vm::fleet_dependencies_of(std::uint64_t seed)
{
    return {clock, *this, *this, values, std::mt19937_64(seed), nullptr};
}

void vm::on_config(std::string_view text)
{
    auto parsed = parse_configuration(text);
    if (!parsed.has_value())
    {
        cr_assert(false, "%s", parsed.error().message.c_str());
    }
    auto config =
        std::make_shared<const configuration>(std::move(parsed.value()));
    budgets.set_configuration(*config, clock.now());
    path.set_configuration(config,
                           std::max<std::size_t>(record->members.size(), 1));
}

void vm::tick(bool fleet_due)
{
    timers.run_due(clock.now());
    if (fleet_due)
    {
        fleet.tick();
    }
    budget_view view;
    view.self = self.incarnation;
    view.fresh = fleet.is_fresh();
    view.fresh_until = fleet.fresh_until();
    view.is_member = fleet.is_member();
    view.epoch = record->epoch;
    view.epoch_in_force = fleet.fleet_in_force(fleet.record_revision());
    view.record = record;
    budgets.tick(clock.now(), view);
    path.tick();
}

void vm::on_datagram(const net::endpoint& from, const std::string& bytes)
{
    const auto message =
        control::decode_header(bytes, control::max_datagram_bytes);
    if (!message.has_value())
    {
        return;
    }
    const incarnation_id& sender = message.value().sender;
    switch (message.value().type)
    {
    case control::message_type::share_report:
        if (const auto report =
                control::decode_payload<share_report>(message.value());
            report.has_value())
        {
            budgets.on_report(sender, report.value(), clock.now());
        }
        return;
    case control::message_type::share_grant:
        if (const auto grant =
                control::decode_payload<share_grant>(message.value());
            grant.has_value())
        {
            budgets.on_grant(sender, grant.value(), clock.now());
        }
        return;
    default:
        (void)fleet.on_datagram(from, message.value());
        return;
    }
}

std::string vm::on_message(const std::string& bytes)
{
    const auto message =
        control::decode_header(bytes, net::max_stream_message_bytes);
    if (!message.has_value())
    {
        return {};
    }
    if (message.value().type != control::message_type::permit_query)
    {
        return fleet.on_message(message.value());
    }
    const auto question =
        control::decode_payload<permit_query>(message.value());
    if (!question.has_value())
    {
        return {};
    }
    const auto named = claimed_issuer(question.value().permit);
    const bool own = named.has_value() && named.value() == self.incarnation;
    return control::encode(
        self.incarnation,
        own ? permits.query(question.value(), clock.now())
            : resolver.answer_from_statements(question.value()));
}

void vm::send(const net::endpoint& peer, std::string_view payload)
{
    world_.send_datagram(index_, peer, std::string(payload));
}

void vm::request(const net::endpoint& peer, std::string message,
                 duration timeout, answer_handler done)
{
    world_.request_message(index_, peer, std::move(message), timeout,
                           std::move(done));
}

std::shared_ptr<net::http_call>
vm::start(net::client_request request,
          std::shared_ptr<net::call_observer> observer)
{
    return world_.call_target(index_, std::move(request), std::move(observer));
}

} // namespace composition
