#include "entry_node_impl.hpp"

#include <algorithm>
#include <charconv>

namespace siskinflow::entry
{

namespace
{

constexpr duration load_timeout = std::chrono::milliseconds(900);
constexpr std::size_t max_load_bytes = 4096;

/// @brief Regions indexed by site number.
std::vector<std::string>
regions_by_site(const std::vector<routing::site>& sites)
{
    std::vector<std::string> out;
    out.reserve(sites.size());
    for (const auto& site : sites)
    {
        out.push_back(site.region);
    }
    return out;
}

/// @brief Value of the first 32 bits of a hexadecimal hash.
double leading_bits(std::string_view hash)
{
    constexpr std::size_t digits = 8;
    std::uint32_t value = 0;
    hash = hash.substr(0, digits);
    std::from_chars(hash.data(), hash.data() + hash.size(), value, 16);
    return value;
}

} // namespace

// Data path

void entry_node::impl::on_request(const net::exchange_ptr& exchange)
{
    if (http_api::is_reserved(exchange->request().path))
    {
        api.handle(exchange);
        return;
    }
    path->handle(exchange);
}

void entry_node::impl::refresh_lookup()
{
    std::set<incarnation_id> serving;
    for (const member& live : fleet->live_members())
    {
        const bool leaving_self = live.incarnation == self.incarnation &&
                                  lifecycle.state() != lifecycle_state::serving;
        if (!leaving_self)
        {
            serving.insert(live.incarnation);
        }
    }
    if (lookup != nullptr && serving == lookup_members)
    {
        return;
    }
    lookup_members = serving;
    routing::lookup_settings settings;
    settings.lifetime = options.lookup_lifetime;
    lookup = std::make_unique<routing::lookup>(
        *record,
        [&](const member& candidate)
        {
            routing::lookup_member_state state;
            state.serving = serving.count(candidate.incarnation) != 0;
            state.site =
                routing::find_site(site_maps->view()->sites, candidate.site);
            return state;
        },
        settings, regions_by_site(site_maps->view()->sites));
}

void entry_node::impl::add_site_map()
{
    routing::site_map_loader_handlers handlers;
    handlers.on_loaded = [this](const routing::site_map_view& next)
    { on_site_map(next); };
    handlers.on_failure = [this](store_revision revision, const error& problem)
    {
        registry
            .counter(metric_id::site_map_load_failures, {name(problem.code)})
            .add();
        log.write(event_id::site_map_load_failed,
                  {{"revision", revision}, {"reason", problem.message}});
    };
    handlers.on_stale = [this](store_revision offered, store_revision known)
    {
        registry.counter(metric_id::stale_revisions, {"sitemap"}).add();
        log.write(event_id::stale_revision_ignored, {{"kind", "sitemap"},
                                                     {"revision", offered},
                                                     {"known", known},
                                                     {"source", "store"}});
    };
    site_maps = std::make_unique<routing::site_map_loader>(
        store_client, time, std::mt19937_64(random_seed()),
        std::move(handlers));
}

void entry_node::impl::on_site_map(const routing::site_map_view& next)
{
    // Site numbers and regions may differ, so the lookup is rebuilt.
    lookup.reset();
    registry.gauge(metric_id::site_map_blocks)
        .set(static_cast<double>(next.map->size()));
    registry.gauge(metric_id::site_map_hash).set(leading_bits(next.hash));
    registry.gauge(metric_id::revision_known, {"sitemap"})
        .set(static_cast<double>(next.revision));
    log.write(event_id::site_map_loaded, {{"revision", next.revision},
                                          {"hash", next.hash},
                                          {"blocks", next.map->size()},
                                          {"sites", next.sites.size()}});
}

net::http_response
entry_node::impl::answer_lookup(const net::http_request& request)
{
    registry.counter(metric_id::lookups).add();
    if (lookup == nullptr)
    {
        refresh_lookup();
    }
    const std::string client = query_value(request.query, "client");
    const auto parsed =
        routing::parse_ip_address(client.empty() ? request.peer : client);
    if (!client.empty() && !parsed.has_value())
    {
        return refusal_response(refusal_reason::bad_request);
    }
    const auto caller =
        parsed.has_value() ? parsed.value() : routing::ip_address{};
    net::http_response response = json_response(
        200, lookup->find_json(caller, site_maps->view()->map->find(caller)));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        options.lookup_lifetime);
    response.headers.set("cache-control",
                         "max-age=" + std::to_string(seconds.count()));
    return response;
}

net::http_response
entry_node::impl::answer_permits(const net::http_request& request)
{
    if (!lifecycle.accepts_requests())
    {
        return refusal_response(refusal_reason::leaving);
    }
    const std::string wanted = query_value(request.query, "count");
    std::size_t count = 1;
    const auto [rest, code] =
        std::from_chars(wanted.data(), wanted.data() + wanted.size(), count);
    if (!wanted.empty() &&
        (code != std::errc() || rest != wanted.data() + wanted.size()))
    {
        return refusal_response(refusal_reason::bad_request);
    }
    return path->issue_permits(query_value(request.query, "route"),
                               request.headers.value("authorization"), count);
}

net::http_response entry_node::impl::answer_health() const
{
    const bool serving = lifecycle.state() == lifecycle_state::serving;
    const std::string body =
        "{\"state\":\"" + std::string(name(lifecycle.state())) +
        "\",\"fresh\":" + (fleet->is_fresh() ? "true" : "false") + "}\n";
    return json_response(serving && fleet->is_fresh() ? 200 : 503, body);
}

net::http_response entry_node::impl::answer_status() const
{
    return json_response(200,
                         status_document({self, lifecycle.state(), *fleet,
                                          *path, time.now(), config_since}));
}

net::http_response entry_node::impl::answer_metrics()
{
    const auto& in_force = fleet->in_force();
    registry.gauge(metric_id::revision_known, {"config"})
        .set(static_cast<double>(fleet->config_revision()));
    registry.gauge(metric_id::revision_known, {"fleet"})
        .set(static_cast<double>(fleet->record_revision()));
    registry.gauge(metric_id::revision_in_force, {"config"})
        .set(static_cast<double>(in_force.config));
    registry.gauge(metric_id::revision_in_force, {"fleet"})
        .set(static_cast<double>(in_force.fleet));
    registry.gauge(metric_id::body_bytes_held)
        .set(static_cast<double>(path->body_bytes()));
    registry.gauge(metric_id::permits_in_flight)
        .set(static_cast<double>(permits.counts().in_flight));
    registry.gauge(metric_id::connections, {"callers"})
        .set(static_cast<double>(http_server->stats().open));
    registry.counter(metric_id::connections_refused, {"too_many_connections"})
        .raise_to(http_server->stats().over_connection_limit);
    registry.counter(metric_id::messages_dropped, {"frame"})
        .raise_to(control_server->malformed());
    registry.counter(metric_id::log_lines_suppressed)
        .raise_to(log.suppressed());
    for (const target_status& status : path->targets())
    {
        registry.gauge(metric_id::in_flight, {status.name})
            .set(status.in_flight);
    }
    return {200,
            {{"content-type", "text/plain; version=0.0.4"}},
            registry.render(time.now())};
}

void entry_node::impl::answer_report(const net::exchange_ptr& exchange)
{
    const std::string route = query_value(exchange->request().query, "route");
    if (route.empty())
    {
        exchange->respond(refusal_response(refusal_reason::bad_request));
        return;
    }
    reports.build(
        route,
        [this, exchange](const final_report& report)
        {
            for (const report_incident& incident : report.incidents)
            {
                log.write(event_id::report_replicas_differ,
                          {{"incarnation", to_string(incident.incarnation)}});
            }
            exchange->respond(json_response(200, to_json(report)));
        });
}

void entry_node::impl::poll_target_loads()
{
    load_calls.clear();
    path->begin_endpoint_probes();
    const time_point requested_at = time.now();
    for (const target_config* target : path->targets_to_poll())
    {
        net::client_request request;
        request.peer = target->address;
        request.target = "/load";
        request.timeout = load_timeout;
        load_calls.push_back(net::fetch(
            http_client, std::move(request), max_load_bytes,
            [this, requested_at,
             name = target->name](const net::fetch_result& fetched)
            {
                routing::load_hint_parser parser;
                const bool answered =
                    fetched.outcome == net::call_outcome::complete &&
                    fetched.response.status == 200;
                path->record_load(name,
                                  answered ? parser.parse(fetched.response.body)
                                           : std::nullopt,
                                  requested_at);
            }));
    }
}

} // namespace siskinflow::entry
