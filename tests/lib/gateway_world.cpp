#include "gateway_world.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace siskinflow;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds tick{50};
constexpr std::size_t ports_per_vm = 5;
constexpr std::size_t max_answer_bytes = 8U << 20;

json route(const std::string& name, const std::string& kind)
{
    return {{"name", name},
            {"host", "site.example"},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"timeout", "3000ms"},
            {"target-latency", "300ms"},
            {"priority", 1},
            {"max-attempts", 2},
            {"auth-exempt", false},
            {"session-affinity", true},
            {"allowed-regions", json::array()},
            {"weighted-backends", nullptr},
            {"service", name}};
}

/// Columns and rows as the platform writes tables.
json table(const std::vector<json>& objects)
{
    json columns = json::array();
    json rows = json::array();
    for (const auto& [name, value] : objects.front().items())
    {
        columns.push_back(name);
    }
    for (const json& object : objects)
    {
        json row = json::array();
        for (const json& name : columns)
        {
            row.push_back(object.at(name.get<std::string>()));
        }
        rows.push_back(row);
    }
    return {{"columns", columns}, {"rows", rows}};
}

json service(const std::string& name)
{
    return {{"name", name},
            {"health-path", "/health"},
            {"max-connections", 100},
            {"warmup", "0s"},
            {"warmup-per-s", 0}};
}

json organisation(const std::string& name, const std::vector<std::string>& keys,
                  double rate_per_s, double burst)
{
    return {{"name", name},   {"api-keys", keys},
            {"priority", 0},  {"rate-per-s", rate_per_s},
            {"burst", burst}, {"allowed-regions", json::array()}};
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

gateway_world::gateway_world(std::size_t vms, link_kind links)
    : links_(links), store_(std::make_unique<standin::kv_service>(time_))
{
    auto server =
        net::http_server::listen(http_.loop(), {"127.0.0.1", 0}, {},
                                 [this](const net::exchange_ptr& exchange)
                                 { store_->handle(exchange); });
    store_server_ = std::move(server).value();
    store_port_ = store_server_->port();
    ticking_ = http_.loop().every(tick, [this] { store_->tick(); });
    const auto free = processes::free_ports(vms * ports_per_vm);
    for (std::size_t i = 0; i < vms; ++i)
    {
        const std::uint16_t* own = &free[i * ports_per_vm];
        ports_.push_back({own[0], own[1], own[2], own[3], own[4]});
        logs_.push_back((std::filesystem::temp_directory_path() /
                         ("gateway-" + std::to_string(::getpid()) + "-" +
                          std::to_string(own[0]) + ".log"))
                            .string());
    }
    vms_.resize(vms);
    if (links_ == link_kind::direct)
    {
        return;
    }
    store_link_ = std::make_unique<loopback_proxy>(store_port_);
    store_port_ = store_link_->port();
    for (const gateway_ports& own : ports_)
    {
        caller_links_.push_back(std::make_unique<loopback_proxy>(own.requests));
    }
}

gateway_world::~gateway_world()
{
    vms_.clear();
    for (const std::string& log : logs_)
    {
        std::error_code ignored;
        std::filesystem::remove(log, ignored);
    }
}

void gateway_world::start(std::size_t vm)
{
    const gateway_ports& own = ports_[vm];
    const std::string domain = "zone-" + std::to_string(vm % 2);
    std::vector<std::string> flags{
        "--vm_name=vm" + std::to_string(vm),
        "--region=north",
        "--failure_domain=" + domain,
        "--http_listen=" + loopback(own.requests),
        "--control_listen=" + loopback(own.peers),
        "--readiness_listen=" + loopback(own.readiness),
        "--directory_listen=" + loopback(own.directory),
        "--metrics_listen=" + loopback(own.metrics),
        "--store=" + loopback(store_port_),
        "--domain_regions=zone-0=north,zone-1=north"};
    flags.insert(flags.end(), flags_.begin(), flags_.end());
    // As the platform does after the grace time; it would keep the ports.
    vms_[vm].reset();
    vms_[vm] =
        std::make_unique<processes::child>(gateway_program_, flags, logs_[vm]);
}

bool gateway_world::start_all()
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
    {
        start(vm);
    }
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
    {
        if (!until([&] { return readiness(vm) == 200; }))
        {
            return false;
        }
    }
    return true;
}

void gateway_world::add_organisation(const std::string& name, double rate_per_s,
                                     double burst)
{
    other_organisations_.push_back(
        organisation(name, {"key-of-" + name}, rate_per_s, burst));
}

void gateway_world::configure(const json& extra)
{
    std::vector<json> organisations = {
        organisation("acme", keys_, 10000, 10000)};
    organisations.insert(organisations.end(), other_organisations_.begin(),
                         other_organisations_.end());
    json maps = route("maps", "idempotent");
    maps.update(extra);
    json orders = route("orders", "non_idempotent");
    orders["timeout"] = std::to_string(order_timeout_.count()) + "ms";
    std::vector<json> routes{maps, orders};
    std::vector<json> services{service("maps"), service("orders")};
    for (const std::string& name : order_services_)
    {
        routes.push_back(route(name, "non_idempotent"));
        services.push_back(service(name));
    }
    for (std::size_t i = 0; i < unused_routes_; ++i)
    {
        json unused = route("maps", "idempotent");
        unused["name"] = "unused-" + std::to_string(i);
        unused["prefix"] = "/unused-" + std::to_string(i) + "/";
        routes.push_back(unused);
    }
    const json document = {{"version", "r" + std::to_string(++version_)},
                           {"routes", table(routes)},
                           {"services", table(services)},
                           {"limits",
                            {{"max-header-bytes", 16384},
                             {"max-body-bytes", max_body_bytes_},
                             {"header-timeout", "3000ms"},
                             {"idle-timeout", "15000ms"}}},
                           {"tenants", table(organisations)}};
    store_->put("op/config", document.dump());
}

standin::platform_target&
gateway_world::add_target(const std::string& service,
                          standin::platform_target_options options)
{
    const std::string id = options.id;
    auto added =
        standin::platform_target::start(http_.loop(), std::move(options));
    services_[id] = service;
    if (links_ == link_kind::proxied)
    {
        target_links_[id] = std::make_unique<loopback_proxy>(added->port());
    }
    standin::platform_target& out = *added;
    targets_[id] = std::move(added);
    register_target(id, "ready");
    return out;
}

void gateway_world::register_target(const std::string& id,
                                    const std::string& state, std::int64_t born)
{
    const std::uint16_t port = links_ == link_kind::proxied
                                   ? target_links_.at(id)->port()
                                   : targets_.at(id)->port();
    write_entry(
        id, {services_.at(id), port, targets_.at(id)->slots(), state, born});
}

void gateway_world::add_entry(const std::string& id, const std::string& service,
                              std::uint16_t port, unsigned slots,
                              const std::string& state)
{
    write_entry(id, {service, port, slots, state});
}

void gateway_world::write_entry(const std::string& id,
                                const target_entry& entry)
{
    store_->put("servers/" + id, json{{"service", entry.service},
                                      {"address", loopback(entry.port)},
                                      {"zone", "zone-0"},
                                      {"version", "v1"},
                                      {"max-concurrency", entry.slots},
                                      {"state", entry.state},
                                      {"warmup-left", "0ms"},
                                      {"sequence", 1},
                                      {"born", entry.born}}
                                     .dump());
}

std::shared_ptr<net::http_call>
gateway_world::send(std::size_t vm, const caller_request& request,
                    std::function<void(net::fetch_result)> done)
{
    net::client_request out;
    out.peer = {"127.0.0.1", links_ == link_kind::proxied
                                 ? caller_links_[vm]->port()
                                 : ports_[vm].requests};
    out.method = request.method;
    out.target = request.path;
    out.body = request.body;
    out.timeout = request.patience + 500ms;
    out.fresh_connection = !request.kept_connection;
    out.headers.add("host", "site.example");
    const std::string id = request.id.empty()
                               ? "request-" + std::to_string(++last_request_)
                               : request.id;
    out.headers.add("siskinflow-request-id", id);
    out.headers.add("siskinflow-affinity-key", request.object);
    out.headers.add("siskinflow-request-deadline-ms",
                    std::to_string(request.patience.count()));
    if (!request.key.empty())
    {
        out.headers.add("authorization", "Bearer " + request.key);
    }
    return net::fetch(http_.client(), std::move(out), max_answer_bytes,
                      std::move(done));
}

net::fetch_result gateway_world::call(std::size_t vm,
                                      const caller_request& request)
{
    std::optional<net::fetch_result> got;
    const auto running = send(
        vm, request, [&](net::fetch_result value) { got = std::move(value); });
    until([&] { return got.has_value(); }, 10s);
    return got.value_or(net::fetch_result{});
}

int gateway_world::readiness(std::size_t vm)
{
    const auto got = http_.get(ports_[vm].readiness, "/readiness");
    return got.outcome == net::call_outcome::complete ? got.response.status : 0;
}

std::vector<std::string> gateway_world::lookup(std::size_t vm)
{
    const auto got =
        http_.get(ports_[vm].directory,
                  "/resolve?name=site.example&region=north&zone=zone-9");
    const json body = json::parse(got.response.body, nullptr, false);
    return body.is_object()
               ? body.value("addresses", std::vector<std::string>())
               : std::vector<std::string>();
}

bool gateway_world::until(const std::function<bool()>& condition,
                          std::chrono::milliseconds limit)
{
    return http_.run_until(condition, limit);
}

void gateway_world::run_for(std::chrono::milliseconds time)
{
    http_.run_until([] { return false; }, time);
}

std::string gateway_world::log(std::size_t vm) const
{
    std::ifstream file(logs_[vm]);
    std::ostringstream out;
    out << file.rdbuf();
    return out.str();
}

int gateway_world::runs(const std::string& id) const
{
    int out = 0;
    for (const auto& [name, target] : targets_)
    {
        const auto found = target->runs().find(id);
        out += found == target->runs().end() ? 0 : found->second;
    }
    return out;
}
