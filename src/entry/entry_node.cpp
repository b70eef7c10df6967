#include "entry_node_impl.hpp"

#include <random>
#include <utility>

namespace siskinflow::entry
{

namespace
{

constexpr duration fleet_tick_interval = std::chrono::milliseconds(50);
constexpr duration load_poll_interval = std::chrono::seconds(1);
constexpr duration report_interval = std::chrono::seconds(1);
constexpr duration site_map_tick_interval = std::chrono::milliseconds(100);
constexpr duration lookup_refresh_interval = std::chrono::milliseconds(200);
constexpr const char* version = "0.1.0";
/// Longest time until suppressed log lines are reported.
constexpr duration log_flush_interval = std::chrono::minutes(1);

} // namespace

entry_node::impl::impl(net::event_loop& given_loop, entry_options given)
    : loop(given_loop), time(given_loop.time()),
      options(std::move(given)), self{make_incarnation_id(),
                                      options.vm,
                                      options.region,
                                      options.failure_domain,
                                      options.http_advertised,
                                      options.control_advertised,
                                      options.site},
      log(time, {}, options.log), telemetry(registry, log, time),
      fleet_events(registry, log), http_client(loop), peer_traffic(registry),
      message_client(loop), message_sender(message_client, peer_traffic),
      store_client(http_client,
                   [this](std::function<void()> task)
                   { loop.post(std::move(task)); },
                   {options.store}),
      issuer(self.incarnation), permits(issuer),
      resolver(self.incarnation, time, loop.timers(), message_sender,
               statements, [this]() -> const fleet_record& { return *record; }),
      reports({self, time, message_sender, store_client,
               [this]() -> const fleet_record& { return *record; },
               [this] { return path->config(); },
               [this]
               { return fleet->fleet_in_force(fleet->record_revision()); },
               [this](const std::string& route)
               { return path->in_progress(route) == 0; }}),
      started_at(time.now()), config_since(started_at)
{
}

result<void> entry_node::impl::open()
{
    auto bound_datagrams = net::udp_socket::bind(
        loop, options.control_listen,
        [this](const net::endpoint& from, std::string_view payload)
        { on_datagram(from, payload); });
    if (!bound_datagrams.has_value())
    {
        return bound_datagrams.error();
    }
    socket = std::move(bound_datagrams.value());
    datagrams =
        std::make_unique<counting_datagram_sender>(*socket, peer_traffic);
    auto bound_control =
        net::message_server::listen(loop, options.control_listen,
                                    [this](std::string_view payload)
                                    {
                                        std::string answer =
                                            on_message(payload);
                                        peer_traffic.message_sent(answer);
                                        return answer;
                                    });
    if (!bound_control.has_value())
    {
        return bound_control.error();
    }
    control_server = std::move(bound_control.value());
    if (options.vm_list)
    {
        vms = std::make_unique<vm_list>(http_client, time, *options.vm_list);
    }
    fleet_options fleet_settings;
    fleet_settings.self = self;
    fleet_settings.seeds = options.seeds;
    fleet = std::make_unique<fleet_node>(
        fleet_settings,
        fleet_dependencies{time, *datagrams, message_sender, store_client,
                           std::mt19937_64(random_seed()), vms.get()},
        fleet_handlers{[this](std::string_view text, store_revision revision)
                       { on_config(text, revision); },
                       [this](const fleet_record& next, store_revision revision)
                       { on_record(next, revision); }});
    budgets = std::make_unique<budget_node>(
        self.incarnation, *datagrams,
        budget_codec{[this](const share_report& message)
                     { return control::encode(self.incarnation, message); },
                     [this](const share_grant& message)
                     { return control::encode(self.incarnation, message); }},
        [](const fleet_record& members, const budget_spec& spec)
        {
            return rendezvous_owner(members, spec.name, spec.region,
                                    spec.failure_domain);
        },
        [this](budget_id) { path->serve_queue(); });
    data_path_options path_options;
    path_options.vm = options.vm;
    path_options.region = options.region;
    path_options.max_header_bytes = options.max_header_bytes;
    path_options.max_body_memory_bytes = options.max_body_memory_bytes;
    path_options.seed = random_seed();
    path = std::make_unique<data_path>(
        path_options,
        data_path_dependencies{
            time, loop.timers(), http_client, *budgets, issuer, permits,
            resolver, telemetry, [this] { return fleet->is_fresh(); },
            [this] { return lifecycle.accepts_requests(); }});
    telemetry.on_arrival([this](const request& arrived)
                         { reports.on_arrival(arrived); });
    telemetry.on_record([this](const request_record& ended)
                        { reports.on_record(ended); });
    lifecycle.on_change(
        [this](lifecycle_state from, lifecycle_state to)
        {
            log.write(event_id::lifecycle_changed,
                      {{"from", name(from)}, {"to", name(to)}});
        });
    auto bound_http = net::http_server::listen(
        loop, options.http_listen, options.http,
        [this](const net::exchange_ptr& exchange) { on_request(exchange); });
    if (!bound_http.has_value())
    {
        return bound_http.error();
    }
    http_server = std::move(bound_http.value());
    add_site_map();
    add_api();
    add_timers();
    log.write(event_id::started, {{"vm", self.vm},
                                  {"incarnation", to_string(self.incarnation)},
                                  {"region", self.region},
                                  {"failure_domain", self.failure_domain},
                                  {"version", version}});
    log.write(
        event_id::listening,
        {{"purpose", "callers"}, {"address", to_string(options.http_listen)}});
    log.write(event_id::listening,
              {{"purpose", "control"},
               {"address", to_string(options.control_listen)}});
    return ok();
}

void entry_node::impl::add_api()
{
    api.add("GET", "lookup",
            [this](const net::http_request& request)
            { return answer_lookup(request); });
    api.add("POST", "permits",
            [this](const net::http_request& request)
            { return answer_permits(request); });
    api.add("GET", "health",
            [this](const net::http_request&) { return answer_health(); });
    api.add("GET", "status",
            [this](const net::http_request&) { return answer_status(); });
    api.add_async("GET", "report",
                  [this](const net::exchange_ptr& exchange)
                  { answer_report(exchange); });
    api.add("GET", "metrics",
            [this](const net::http_request&) { return answer_metrics(); });
}

void entry_node::impl::add_timers()
{
    timers.push_back(loop.every(fleet_tick_interval,
                                [this]
                                {
                                    check_vm_list();
                                    fleet->tick();
                                    report_freshness_changes();
                                }));
    timers.push_back(loop.every(service_tick_interval,
                                [this]
                                {
                                    budgets->tick(time.now(),
                                                  current_budget_view());
                                    path->tick();
                                    finish_draining_when_idle();
                                }));
    timers.push_back(
        loop.every(lookup_refresh_interval, [this] { refresh_lookup(); }));
    timers.push_back(
        loop.every(site_map_tick_interval, [this] { site_maps->tick(); }));
    timers.push_back(
        loop.every(load_poll_interval, [this] { poll_target_loads(); }));
    timers.push_back(loop.every(report_interval,
                                [this]
                                {
                                    reports.tick();
                                    fleet_events.update(*fleet, *path, *budgets,
                                                        time.now());
                                }));
    timers.push_back(loop.every(log_flush_interval, [this] { log.flush(); }));
}

// Public interface

entry_node::entry_node(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

entry_node::~entry_node() = default;

result<std::unique_ptr<entry_node>> entry_node::start(net::event_loop& loop,
                                                      entry_options options)
{
    auto state = std::make_unique<impl>(loop, std::move(options));
    if (auto opened = state->open(); !opened.has_value())
    {
        return opened.error();
    }
    return std::unique_ptr<entry_node>(new entry_node(std::move(state)));
}

void entry_node::stop()
{
    impl_->stop();
}

void entry_node::on_stopped(std::function<void()> callback)
{
    impl_->on_stopped = std::move(callback);
}

void entry_node::reload_certificate()
{
    const auto reloaded = impl_->http_server->reload_certificate();
    const std::string& file = impl_->options.http.certificate_file;
    if (reloaded.has_value())
    {
        impl_->log.write(event_id::certificate_reloaded, {{"file", file}});
        return;
    }
    impl_->log.write(event_id::certificate_reload_failed,
                     {{"file", file}, {"reason", reloaded.error().message}});
}

lifecycle_state entry_node::state() const
{
    return impl_->lifecycle.state();
}

} // namespace siskinflow::entry
