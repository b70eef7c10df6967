#include "data_path_impl.hpp"

#include <algorithm>
#include <utility>

namespace siskinflow::entry
{

namespace
{

/// Weight of the queue of an open route, in requests per second.
constexpr double open_route_weight = 10;
/// Time between two comparisons of the targets of a route.
constexpr duration health_interval = std::chrono::seconds(1);
/// Most permits issued in one answer.
constexpr std::size_t max_permits_at_once = 100;

std::vector<std::string> regions_of(const configuration& config,
                                    std::string_view route)
{
    std::vector<std::string> regions;
    for (const target_config& target : config.targets)
    {
        const bool serves =
            std::find(target.routes.begin(), target.routes.end(), route) !=
            target.routes.end();
        if (serves && std::find(regions.begin(), regions.end(),
                                target.region) == regions.end())
        {
            regions.push_back(target.region);
        }
    }
    return regions;
}

} // namespace

// Configuration

void data_path::impl::configure(std::shared_ptr<const configuration> next,
                                std::size_t vms)
{
    const time_point now = dependencies.time.now();
    config = std::move(next);
    routes = std::make_unique<routing::route_table>(config);
    keys = tenant_keys(*config);
    for (const auto& change : selector.configure(config, vms, now))
    {
        dependencies.observer.on_health_change(change);
    }
    demand.configure(*config);
    for (const route_config& route : config->routes)
    {
        const auto regions = regions_of(*config, route.name);
        const auto found = shift_limiters.find(route.name);
        if (found != shift_limiters.end())
        {
            found->second.configure(regions, route.shift_cap_percent_per_s,
                                    now);
            continue;
        }
        shift_limiters.emplace(
            route.name,
            routing::shift_limiter(options.region, regions,
                                   route.shift_cap_percent_per_s, now));
    }
    refuse_withdrawn_keys();
    configure_queues();
    serve_queue();
}

void data_path::impl::configure_queues()
{
    std::vector<queue_class> classes;
    queues.clear();
    for (const organisation_config& organisation : config->organisations)
    {
        queues.push_back({organisation_budget(organisation.name), {}});
        for (const route_config& route : config->routes)
        {
            if (!route.open)
            {
                queues.back().classes.push_back(
                    queue_class_name(organisation.name, route.name));
            }
        }
    }
    for (const route_config& route : config->routes)
    {
        if (route.open)
        {
            classes.push_back({queue_class_name("", route.name),
                               open_route_weight,
                               queue_bound(open_route_weight, 0)});
            continue;
        }
        for (const organisation_config& organisation : config->organisations)
        {
            classes.push_back(
                {queue_class_name(organisation.name, route.name),
                 organisation.rate_per_s,
                 queue_bound(organisation.rate_per_s, organisation.burst)});
        }
    }
    for (const queue_item_id id : queue.set_classes(classes))
    {
        const auto found = requests.find(id);
        if (found != requests.end())
        {
            const request_ptr req = found->second;
            withdraw_from_shift(*req, refusal_reason::route_closed);
            refuse(req, refusal_reason::route_closed);
        }
    }
}

void data_path::impl::refuse_withdrawn_keys()
{
    std::vector<request_ptr> withdrawn;
    for (const auto& [id, req] : requests)
    {
        const bool waiting = req->call == nullptr && req->pending_timer == 0;
        if (waiting && !is_key_valid(*req))
        {
            withdrawn.push_back(req);
        }
    }
    for (const request_ptr& req : withdrawn)
    {
        if (queue.cancel(req->id))
        {
            withdraw_from_shift(*req, refusal_reason::unknown_key);
            refuse(req, refusal_reason::unknown_key);
        }
    }
}

bool data_path::impl::is_key_valid(const request& req) const
{
    if (!req.digest)
    {
        return true;
    }
    const std::string* organisation = keys.find(*req.digest);
    return organisation != nullptr && *organisation == req.organisation;
}

// Public interface

data_path::data_path(data_path_options options,
                     const data_path_dependencies& dependencies)
    : impl_(std::make_unique<impl>(std::move(options), dependencies))
{
}

data_path::~data_path() = default;

void data_path::set_configuration(std::shared_ptr<const configuration> config,
                                  std::size_t vms)
{
    impl_->configure(std::move(config), vms);
}

std::shared_ptr<const configuration> data_path::config() const
{
    return impl_->config;
}

void data_path::handle(net::exchange_ptr exchange)
{
    impl_->handle(std::move(exchange));
}

net::http_response data_path::issue_permits(std::string_view route,
                                            std::string_view authorization,
                                            std::size_t count)
{
    if (impl_->config == nullptr)
    {
        return refusal_response(refusal_reason::no_configuration);
    }
    const route_config* configured = impl_->config->find_route(route);
    if (configured == nullptr)
    {
        return refusal_response(refusal_reason::unknown_route);
    }
    if (configured->state == route_state::closing)
    {
        return refusal_response(refusal_reason::route_closed);
    }
    std::string organisation;
    if (!configured->open)
    {
        const auto key = check_key(authorization, impl_->keys);
        if (key.refusal != refusal_reason::none)
        {
            return refusal_response(key.refusal);
        }
        organisation = key.organisation;
    }
    if (!configured->open && !impl_->dependencies.is_fresh())
    {
        return refusal_response(refusal_reason::not_fresh);
    }
    std::vector<std::string> permits;
    const std::size_t permit_count =
        std::clamp<std::size_t>(count, 1, max_permits_at_once);
    for (std::size_t i = 0; i < permit_count; ++i)
    {
        permits.push_back(impl_->dependencies.issuer.issue(
            organisation, route, impl_->dependencies.time.now()));
    }
    return permit_list_response(permits);
}

void data_path::serve_queue()
{
    impl_->serve_queue();
}

void data_path::tick()
{
    const time_point now = impl_->dependencies.time.now();
    (void)impl_->may_become_fresh(now);
    impl_->end_requests_without_lease(now);
    impl_->refuse_expired(now);
    impl_->serve_queue();
    impl_->report_queue_lengths();
    if (now >= impl_->next_health_check && impl_->config != nullptr)
    {
        impl_->next_health_check = now + health_interval;
        for (const auto& change : impl_->health.evaluate(now, impl_->rng))
        {
            impl_->dependencies.observer.on_health_change(change);
        }
    }
}

void data_path::begin_endpoint_probes()
{
    const time_point now = impl_->dependencies.time.now();
    for (const std::string& target : impl_->health.endpoint_probes_due(now))
    {
        if (const auto change = impl_->health.begin_probe(target, now))
        {
            impl_->dependencies.observer.on_health_change(*change);
            impl_->endpoint_probes.insert(target);
        }
    }
}

void data_path::record_load(std::string_view target,
                            const std::optional<routing::load_hint>& hint,
                            time_point requested_at)
{
    if (impl_->endpoint_probes.erase(std::string(target)) != 0)
    {
        const time_point now = impl_->dependencies.time.now();
        const auto outcome = hint ? routing::attempt_outcome::success
                                  : routing::attempt_outcome::failure;
        for (const auto& change : impl_->health.record(
                 target, outcome, now - requested_at, now, impl_->rng))
        {
            impl_->dependencies.observer.on_health_change(change);
        }
    }
    const auto changes =
        hint ? impl_->health.record_hint(target, *hint, requested_at)
             : impl_->health.record_unreachable(
                   target, impl_->dependencies.time.now(), impl_->rng);
    for (const auto& change : changes)
    {
        impl_->dependencies.observer.on_health_change(change);
    }
}

std::vector<const target_config*> data_path::targets_to_poll() const
{
    std::vector<const target_config*> out;
    if (impl_->config == nullptr)
    {
        return out;
    }
    for (const target_config& target : impl_->config->targets)
    {
        out.push_back(&target);
    }
    return out;
}

std::size_t data_path::in_progress() const
{
    return impl_->requests.size();
}

std::size_t data_path::in_progress(std::string_view route) const
{
    return static_cast<std::size_t>(
        std::count_if(impl_->requests.begin(), impl_->requests.end(),
                      [route](const auto& entry)
                      {
                          return entry.second->route != nullptr &&
                                 entry.second->route->name == route;
                      }));
}

std::size_t data_path::queued() const
{
    return impl_->queue.size();
}

std::vector<queue_status> data_path::queues() const
{
    std::vector<queue_status> out;
    if (impl_->config == nullptr)
    {
        return out;
    }
    const auto add = [&](const route_config& route, const std::string& tenant)
    {
        out.push_back(
            {route.name, tenant,
             impl_->queue.size(queue_class_name(tenant, route.name))});
    };
    for (const route_config& route : impl_->config->routes)
    {
        if (route.open)
        {
            add(route, {});
            continue;
        }
        for (const auto& organisation : impl_->config->organisations)
        {
            add(route, organisation.name);
        }
    }
    return out;
}

std::size_t data_path::body_bytes() const
{
    return impl_->body_bytes;
}

std::vector<target_status> data_path::targets() const
{
    std::vector<target_status> out;
    if (impl_->config == nullptr)
    {
        return out;
    }
    const time_point now = impl_->dependencies.time.now();
    for (const target_config& target : impl_->config->targets)
    {
        const auto seen = impl_->health.observation(target.name, now);
        out.push_back({target.name, target.state,
                       impl_->selector.in_flight(target.name),
                       seen ? seen->state : routing::health_state::healthy});
    }
    return out;
}

} // namespace siskinflow::entry
