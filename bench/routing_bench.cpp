/// @file
/// @brief Time per decision of routing with 48 sites and 32 organisations.
#include <siskinflow/routing/lookup.hpp>
#include <siskinflow/routing/route_table.hpp>
#include <siskinflow/routing/shift_limiter.hpp>
#include <siskinflow/routing/target_selector.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <unordered_map>

using namespace siskinflow;
using namespace siskinflow::routing;
using namespace std::chrono_literals;

namespace
{

constexpr int sites = 48;
constexpr int organisations = 32;
constexpr int regions = 3;
constexpr int routes = 4;
constexpr int targets_per_route = 48;
constexpr int vms = 440;
constexpr int rounds = 5;
constexpr int decisions = 200'000;

std::string numbered(const char* prefix, int number)
{
    return prefix + std::to_string(number);
}

/// 4 routes with 48 targets each, spread over 3 regions.
std::shared_ptr<configuration> make_config()
{
    auto config = std::make_shared<configuration>();
    for (int r = 0; r < routes; ++r)
    {
        route_config route;
        route.name = numbered("route", r);
        route.path_prefix = "/" + route.name;
        config->routes.push_back(route);
        for (int t = 0; t < targets_per_route; ++t)
        {
            target_config target;
            target.name = route.name + numbered("-target", t);
            target.routes = {route.name};
            target.region = numbered("region", t % regions);
            target.slots = 6;
            target.max_connections = 400;
            config->targets.push_back(target);
        }
    }
    for (int o = 0; o < organisations; ++o)
    {
        organisation_config organisation;
        organisation.name = numbered("organisation", o);
        config->organisations.push_back(organisation);
    }
    return config;
}

fleet_record make_fleet()
{
    fleet_record record;
    for (int i = 0; i < vms; ++i)
    {
        member vm;
        vm.incarnation = {7, static_cast<std::uint64_t>(i) + 1};
        vm.vm = numbered("vm", i);
        vm.region = numbered("region", i % sites % regions);
        vm.failure_domain = numbered("domain", i % 8);
        vm.http = {"127.0.0.1", 8080};
        record.members.push_back(vm);
    }
    return record;
}

/// Prints the best and the median time per call of several rounds.
template <class Call>
void measure(const char* what, int calls, Call&& call)
{
    std::vector<double> per_call_ns;
    for (int round = 0; round < rounds; ++round)
    {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i)
        {
            call(i);
        }
        const std::chrono::duration<double, std::nano> took =
            std::chrono::steady_clock::now() - start;
        per_call_ns.push_back(took.count() / calls);
    }
    std::sort(per_call_ns.begin(), per_call_ns.end());
    std::printf("%-44s best %7.0f ns  median %7.0f ns\n", what,
                per_call_ns.front(), per_call_ns[rounds / 2]);
}

/// Slot shares as a composer holds them: a table by target name.
struct slot_table
{
    explicit slot_table(const configuration& config, std::uint32_t each)
    {
        for (const auto& target : config.targets)
        {
            free[target.name] = each;
        }
    }

    std::unordered_map<std::string, std::uint32_t> free;
};

/// One VM's routing state with all reports and organisations present.
struct vm_state
{
    explicit vm_state(std::uint32_t free_slots)
        : slots(*config, free_slots), selector({"vm1", "region0"}, health),
          shift("region0", {"region0", "region1", "region2"}, 100, now)
    {
        selector.configure(config, vms, now);
        for (const auto& target : config->targets)
        {
            health.record_hint(target.name, {3, 6, false, false}, now);
        }
        limits.slot_available = [this](const target_config& target)
        { return slots.free.find(target.name)->second > 0; };
        limits.link_has_budget = [](auto, auto, auto) { return true; };
        limits.shift_allows = [this](std::string_view region)
        { return shift.allows(region, now); };
    }

    void decide(int i)
    {
        const auto& organisation =
            config->organisations[i % config->organisations.size()];
        const auto& path = paths[i % paths.size()];
        now += 10us;
        const auto route = table.find(path).value();
        shift.offered(now);
        const auto chosen =
            selector.choose({route->name, true, route->expected_response_bytes},
                            limits, now, rng);
        if (!chosen)
        {
            shift.withdrawn(true, now);
            ++refused;
            return;
        }
        selector.request_started(chosen.value(), now);
        shift.sent(chosen.value().target->region, now);
        selector.request_finished(chosen.value().target->name);
        health.record(chosen.value().target->name, attempt_outcome::success,
                      5ms, now, rng);
        sent += organisation.name.size() > 0;
    }

    time_point now{1h};
    random_source rng{20261204};
    std::shared_ptr<configuration> config = make_config();
    slot_table slots;
    target_health health;
    target_selector selector;
    shift_limiter shift;
    route_table table{config};
    selection_limits limits;
    std::vector<std::string> paths{"/route0/a", "/route1/a/b?x=1", "/route2",
                                   "/route3/%61"};
    std::uint64_t sent = 0;
    std::uint64_t refused = 0;
};

} // namespace

int main()
{
    std::printf("%d sites, %d organisations, %d routes, %d targets, %d VMs; "
                "%d rounds\n",
                sites, organisations, routes, routes * targets_per_route, vms,
                rounds);
    vm_state idle(6);
    measure("choose only, slots free", decisions,
            [&](int)
            {
                idle.now += 10us;
                idle.sent +=
                    idle.selector
                        .choose({"route0"}, idle.limits, idle.now, idle.rng)
                        .has_value();
            });
    measure("whole decision, slots free", decisions,
            [&](int i) { idle.decide(i); });
    vm_state full(0);
    measure("whole decision, no slot anywhere", decisions,
            [&](int i) { full.decide(i); });
    measure(
        "route table, find", decisions,
        [&](int i)
        {
            idle.sent +=
                idle.table.find(idle.paths[i % idle.paths.size()]).has_value();
        });
    const auto fleet = make_fleet();
    int next = 0;
    const lookup directory(fleet,
                           [&](const member&)
                           {
                               return lookup_member_state{
                                   true,
                                   static_cast<site_number>(next++ % sites)};
                           });
    std::size_t bytes = 0;
    measure("lookup with JSON body, 440 VMs", decisions / 10,
            [&](int i)
            {
                const ip_address caller{false,
                                        static_cast<std::uint64_t>(i) << 40, 0};
                bytes +=
                    directory
                        .find_json(caller, static_cast<site_number>(i % sites))
                        .size();
            });
    std::printf("checks: sent %llu, refused %llu, bytes %zu\n",
                static_cast<unsigned long long>(idle.sent + full.sent),
                static_cast<unsigned long long>(full.refused), bytes);
    return 0;
}
