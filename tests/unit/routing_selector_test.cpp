#include "test_sections.hpp"
#include <siskinflow/routing/target_selector.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>

using namespace siskinflow;
using namespace siskinflow::routing;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

target_config make_target(int number, const std::string& region)
{
    target_config target;
    target.name = "t" + std::to_string(number);
    target.routes = {"maps"};
    target.region = region;
    target.slots = 6;
    target.max_connections = 400;
    return target;
}

/// `local` targets in region "a" and `remote` ones in region "b".
std::shared_ptr<configuration> make_config(int local, int remote)
{
    auto config = std::make_shared<configuration>();
    route_config route;
    route.name = "maps";
    route.path_prefix = "/maps";
    config->routes = {route};
    for (int i = 0; i < local + remote; ++i)
    {
        config->targets.push_back(make_target(i, i < local ? "a" : "b"));
    }
    return config;
}

/// A selector of a VM in region "a" with its observations.
struct fixture
{
    explicit fixture(std::shared_ptr<const configuration> config,
                     const std::string& vm = "vm0", std::size_t vms = 7)
        : selector({vm, "a"}, health)
    {
        selector.configure(std::move(config), vms, now);
    }

    selection_result choose(const selection_limits& limits = {},
                            selection_request request = {"maps"})
    {
        return selector.choose(request, limits, now, rng);
    }

    time_point now{1h};
    random_source rng{20261204};
    target_health health;
    target_selector selector;
};

} // namespace

// Guards against a refusal with the wrong reason and against traffic that
// leaves the region while it has capacity.
Test(routing_selector, local_first_then_other_regions)
{
    fixture vm(make_config(3, 2));
    selection_limits limits;
    section("the local region has capacity",
            [&] { EXPECT(vm.choose(limits).value().local); });
    limits.slot_available = [](const target_config& target)
    { return target.region == "b"; };
    section("only the other region has slots",
            [&] { EXPECT(vm.choose(limits).value().target->region == "b"); });
    limits.shift_allows = [](std::string_view region) { return region == "a"; };
    section("the shift cap forbids the other region",
            [&] {
                EXPECT(vm.choose(limits).error() ==
                       selection_refusal::shift_capped);
            });
    limits.link_has_budget = [](auto, auto, auto) { return false; };
    section("the link is full",
            [&] {
                EXPECT(vm.choose(limits).error() ==
                       selection_refusal::link_at_capacity);
            });
    limits.slot_available = [](const target_config&) { return false; };
    section("no slots anywhere",
            [&]
            {
                EXPECT(vm.choose(limits).error() ==
                       selection_refusal::region_at_capacity);
            });
    section("unknown route",
            [&]
            {
                EXPECT(vm.choose(limits, {"other"}).error() ==
                       selection_refusal::no_target);
            });
}

// Guards against a retry that goes to the target that has just failed.
Test(routing_selector, excluded_targets_are_not_chosen)
{
    fixture vm(make_config(2, 0));
    const std::vector<std::string_view> excluded{"t0"};
    for (int i = 0; i < 50; ++i)
    {
        EXPECT(
            vm.choose({}, {"maps", true, 0, excluded}).value().target->name ==
            "t1");
    }
    const std::vector<std::string_view> all{"t0", "t1"};
    EXPECT(vm.choose({}, {"maps", true, 0, all}).error() ==
           selection_refusal::no_target);
}

// Guards against new requests for a target that leaves, reports draining or is
// ejected.
Test(routing_selector, never_chooses_a_leaving_or_draining_target)
{
    EXPECT(rc::check(
        "only targets in service are chosen",
        []
        {
            const int count = *rc::gen::inRange(1, 12);
            auto config = make_config(count, 0);
            fixture vm(config);
            auto changed = std::make_shared<configuration>(*config);
            std::map<std::string, bool> out_of_service;
            for (auto& target : changed->targets)
            {
                const int change_kind = *rc::gen::inRange(0, 3);
                out_of_service[target.name] = change_kind != 0;
                if (change_kind == 1)
                {
                    target.state = target_state::leaving;
                }
                if (change_kind == 2)
                {
                    vm.health.record_hint(target.name, {0, 6, true, false},
                                          vm.now);
                }
            }
            vm.selector.configure(changed, 7, vm.now);
            const bool all_out_of_service =
                std::all_of(out_of_service.begin(), out_of_service.end(),
                            [](const auto& entry) { return entry.second; });
            for (int i = 0; i < 50; ++i)
            {
                const auto chosen = vm.choose();
                RC_ASSERT(chosen.has_value() == !all_out_of_service);
                if (chosen)
                {
                    RC_ASSERT(!out_of_service[chosen.value().target->name]);
                }
            }
        }));
}

// Guards against VMs that all send their requests to one target because of the
// same stale report.
//
// A target can only be chosen when it is one of two targets drawn uniformly out
// of n, whose probability is 2/n, whatever the reports say. In m choices it is
// thus chosen at most binomial(m, 2/n) times; the bound adds five standard
// deviations of it. With long gaps between requests the VM's own recent sends
// have decayed, so that only the draws limit the effect of the reports.
Test(routing_selector, stale_reports_do_not_gather_the_load)
{
    EXPECT(rc::check(
        "share of a target stays under 2/n",
        []
        {
            const int targets = *rc::gen::inRange(6, 25);
            const auto config = make_config(targets, 0);
            std::vector<load_hint> reports(targets);
            for (auto& report : reports)
            {
                report = {static_cast<std::uint32_t>(*rc::gen::inRange(0, 20)),
                          6, false, false};
            }
            const duration gap = *rc::gen::element<duration>(1ms, 20s);
            std::map<std::string, int> chosen;
            constexpr int choices_per_vm = 100;
            for (int i = 0; i < 7; ++i)
            {
                fixture vm(config, "vm" + std::to_string(i));
                vm.rng.seed(*rc::gen::arbitrary<std::uint64_t>());
                for (int c = 0; c < choices_per_vm; ++c)
                {
                    for (int t = 0; t < targets; ++t)
                    {
                        vm.health.record_hint(config->targets[t].name,
                                              reports[t], vm.now);
                    }
                    const auto choice = vm.choose().value();
                    ++chosen[choice.target->name];
                    vm.selector.request_started(choice, vm.now);
                    vm.selector.request_finished(choice.target->name);
                    vm.now += gap;
                }
            }
            const double total = 7 * choices_per_vm;
            const double probability = 2.0 / targets;
            const double bound =
                total * probability +
                5 * std::sqrt(total * probability * (1 - probability));
            for (const auto& [name, count] : chosen)
            {
                RC_ASSERT(count <= bound);
            }
        }));
}

// Guards against a cold target that gets all its slots filled at once.
Test(routing_selector, cold_targets_fill_slowly)
{
    auto config = make_config(1, 0);
    fixture vm(config);
    auto grown = std::make_shared<configuration>(*config);
    grown->targets.push_back(make_target(1, "a"));
    grown->targets[1].warm_up = 10s;
    vm.selector.configure(grown, 7, vm.now);
    const auto fill_slots = [&]
    {
        const std::vector<std::string_view> excluded{"t0"};
        const selection_request request{"maps", true, 0, excluded};
        for (auto chosen = vm.choose({}, request); chosen;
             chosen = vm.choose({}, request))
        {
            vm.selector.request_started(chosen.value(), vm.now);
            if (vm.selector.in_flight("t1") == 6)
            {
                return 6U;
            }
        }
        return vm.selector.in_flight("t1");
    };
    EXPECT(fill_slots() == 1);
    vm.now += 5s;
    EXPECT(fill_slots() == 3);
    vm.now += 5s;
    EXPECT(fill_slots() == 6);
}

// Guards against connection counts over the limit of a target in a large
// fleet, and against subsets in a fleet that doesn't need them.
Test(routing_selector, subsets_keep_to_the_connection_limit)
{
    const auto config = make_config(200, 0);
    constexpr std::size_t vms = 440;
    std::map<std::string, int> vms_per_target;
    for (std::size_t i = 0; i < vms; ++i)
    {
        const fixture vm(config, "vm" + std::to_string(i), vms);
        for (const auto& target : vm.selector.subset("maps"))
        {
            ++vms_per_target[target];
        }
    }
    const int connections = selector_settings{}.connections_per_target;
    for (const auto& [target, count] : vms_per_target)
    {
        EXPECT(count * connections <= 400);
    }
    EXPECT(vms_per_target.size() == 200);
    EXPECT(fixture(config).selector.subset("maps").size() == 200);
}

// Guards against requests lost from the count of a draining target.
Test(routing_selector, in_flight_survives_a_configuration)
{
    const auto config = make_config(1, 0);
    fixture vm(config);
    vm.selector.request_started(vm.choose().value(), vm.now);
    vm.selector.configure(make_config(0, 0), 7, vm.now);
    EXPECT(vm.selector.in_flight("t0") == 1);
    vm.selector.request_finished("t0");
    EXPECT(vm.selector.in_flight("t0") == 0);
}
