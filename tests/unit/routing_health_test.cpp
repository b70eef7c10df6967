#include "test_sections.hpp"
#include <siskinflow/routing/load_hints.hpp>
#include <siskinflow/routing/target_health.hpp>

#include <rapidcheck.h>

using namespace siskinflow;
using namespace siskinflow::routing;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

std::shared_ptr<configuration> make_config(int targets, bool idempotent = true)
{
    auto config = std::make_shared<configuration>();
    config->routes.resize(1);
    config->routes[0].name = "maps";
    config->routes[0].idempotent = idempotent;
    for (int i = 0; i < targets; ++i)
    {
        target_config target;
        target.name = "t" + std::to_string(i);
        target.routes = {"maps"};
        config->targets.push_back(target);
    }
    return config;
}

struct fixture
{
    explicit fixture(int targets, bool idempotent = true)
        : config(make_config(targets, idempotent))
    {
        health.configure(config, now);
    }

    std::vector<health_change> record(int target, attempt_outcome outcome,
                                      duration latency = 5ms, int times = 1)
    {
        std::vector<health_change> last;
        for (int i = 0; i < times; ++i)
        {
            last = health.record("t" + std::to_string(target), outcome, latency,
                                 now, rng);
        }
        return last;
    }

    health_state state(int target) const
    {
        return health.observation("t" + std::to_string(target), now)->state;
    }

    time_point now{1h};
    random_source rng{20261204};
    std::shared_ptr<configuration> config;
    target_health health;
};

} // namespace

// Guards against an ejected target that gets full traffic back without a
// successful probe, and against one that never comes back.
Test(routing_health, ejection_backoff_probe)
{
    fixture vm(10);
    vm.record(3, attempt_outcome::failure, 0ms, 5);
    EXPECT(vm.state(3) == health_state::ejected && !vm.health.eligible(3));
    section("no probe before the backoff is over",
            [&]
            {
                EXPECT(vm.health.observation("t3", vm.now)->backoff <= 1s);
                EXPECT(!vm.health.begin_probe("t3", vm.now));
            });
    vm.now += 1s;
    section("a failed probe ejects again",
            [&]
            {
                EXPECT(vm.health.begin_probe("t3", vm.now).has_value());
                EXPECT(!vm.health.probe_due(3, vm.now));
                vm.record(3, attempt_outcome::timed_out);
                EXPECT(vm.state(3) == health_state::ejected);
            });
    vm.now += 2s;
    section("a lost probe ejects again",
            [&]
            {
                EXPECT(vm.health.begin_probe("t3", vm.now).has_value());
                vm.now += 10s;
                vm.health.evaluate(vm.now, vm.rng);
                EXPECT(vm.state(3) == health_state::ejected);
            });
    vm.now += 4s;
    section("a successful probe readmits the target",
            [&]
            {
                EXPECT(vm.health.begin_probe("t3", vm.now).has_value());
                vm.record(3, attempt_outcome::success);
                EXPECT(vm.health.eligible(3));
            });
}

// Guards against a non-idempotent request that is used as a probe.
Test(routing_health, targets_without_idempotent_routes_are_probed_by_endpoint)
{
    fixture vm(10, false);
    vm.record(3, attempt_outcome::failure, 0ms, 5);
    EXPECT(vm.health.endpoint_probes_due(vm.now + 1s) ==
           std::vector<std::string>{"t3"});
    fixture other(10, true);
    other.record(3, attempt_outcome::failure, 0ms, 5);
    EXPECT(other.health.endpoint_probes_due(other.now + 1s).empty());
}

// Guards against outliers that stay in use.
Test(routing_health, outliers_are_ejected)
{
    fixture vm(10);
    for (int i = 0; i < 10; ++i)
    {
        vm.record(i, attempt_outcome::success, i == 1 ? 90ms : 10ms, 30);
        for (int n = 0; i == 2 && n < 40; ++n)
        {
            vm.record(i, attempt_outcome::failure);
            vm.record(i, attempt_outcome::success, 10ms);
        }
    }
    const auto changes = vm.health.evaluate(vm.now, vm.rng);
    EXPECT(changes.size() == 2);
    EXPECT(changes[0].target == "t1" &&
           changes[0].reason == health_reason::latency);
    EXPECT(changes[1].target == "t2" &&
           changes[1].reason == health_reason::error_rate);
}

// Guards against a misleading health endpoint: it must not outweigh the
// outcomes of real requests, except when it reports that the target drains.
Test(routing_health, own_observations_outweigh_hints)
{
    fixture vm(10);
    const auto endpoint_fails = [&]
    {
        for (int i = 0; i < 10; ++i)
        {
            vm.health.record_unreachable("t0", vm.now, vm.rng);
        }
    };
    vm.record(0, attempt_outcome::success);
    endpoint_fails();
    EXPECT(vm.state(0) == health_state::healthy);
    vm.now += 6s;
    endpoint_fails();
    EXPECT(vm.state(0) == health_state::ejected);
    vm.health.record_hint("t0", {0, 6, false, false}, vm.now);
    EXPECT(vm.state(0) == health_state::ejected);
    section("an older report does not replace a newer one",
            [&]
            {
                vm.health.record_hint("t1", {0, 6, true, false}, vm.now);
                vm.health.record_hint("t1", {0, 6, false, false}, vm.now - 1s);
                vm.record(1, attempt_outcome::success);
                EXPECT(!vm.health.eligible(1));
            });
    section("a report loses its weight with age",
            [&]
            {
                vm.health.record_hint("t2", {5, 10, false, false}, vm.now);
                EXPECT(vm.health.reported_load(2, 0, vm.now) == 0.5);
                EXPECT(vm.health.reported_load(2, 0, vm.now + 2s) == 0.125);
                EXPECT(vm.health.reported_load(2, 0, vm.now + 9s) == 0);
            });
}

// Guards against the ejection of so many targets that the remaining ones are
// overloaded or that none remains.
Test(routing_health, ejection_limit)
{
    EXPECT(rc::check(
        "at most 30% are ejected and one remains",
        []
        {
            const int count = *rc::gen::inRange(1, 15);
            fixture vm(count);
            const int steps = *rc::gen::inRange(1, 200);
            for (int step = 0; step < steps; ++step)
            {
                const int target = *rc::gen::inRange(0, count);
                const auto name = "t" + std::to_string(target);
                vm.now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
                switch (*rc::gen::inRange(0, 7))
                {
                case 0:
                    vm.health.record_hint(
                        name, {0, 1, *rc::gen::arbitrary<bool>(), false},
                        vm.now);
                    break;
                case 1:
                    vm.health.begin_probe(name, vm.now);
                    break;
                case 2:
                    vm.health.evaluate(vm.now, vm.rng);
                    break;
                case 3:
                    vm.record(target, attempt_outcome::success);
                    break;
                default:
                    vm.record(target, attempt_outcome::failure, 0ms, 5);
                }
                int in_service = 0;
                int ejected = 0;
                for (int i = 0; i < count; ++i)
                {
                    const auto observation =
                        *vm.health.observation("t" + std::to_string(i), vm.now);
                    in_service += !observation.draining;
                    ejected += !observation.draining &&
                               observation.state != health_state::healthy;
                }
                RC_ASSERT(10 * ejected <= 3 * in_service);
                RC_ASSERT(in_service == 0 || ejected < in_service);
            }
        }));
}

// Guards against a malformed report that is read as a load of zero.
Test(routing_health, malformed_reports_are_counted)
{
    load_hint_parser parser;
    EXPECT(
        parser.parse(
            R"({"running":2,"slots":6,"draining":false,"cold":true,"x":1})") ==
        (load_hint{2, 6, false, true}));
    for (const char* body :
         {"", "[]", "{}", "{", R"({"running":2,"slots":6,"draining":false})",
          R"({"running":-1,"slots":6,"draining":false,"cold":true})",
          R"({"running":1.5,"slots":6,"draining":false,"cold":true})",
          R"({"running":99999999999,"slots":6,"draining":false,"cold":true})",
          R"({"running":"2","slots":6,"draining":false,"cold":true})",
          R"({"running":2,"slots":6,"draining":0,"cold":true})"})
    {
        EXPECT(!parser.parse(body));
    }
    EXPECT(!parser.parse(std::string(5000, ' ') + "{}"));
    EXPECT(parser.malformed() == 11);
}
