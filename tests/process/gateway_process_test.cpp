#include "gateway_world.hpp"
#include "test_sections.hpp"

#include <csignal>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::chrono::milliseconds config_bound{2500};

int status(const net::fetch_result& got)
{
    return got.outcome == net::call_outcome::complete ? got.response.status : 0;
}

} // namespace

// Guards against a gateway that serves without a policy, lets unknown keys or
// routes through, hands on a key, or alters an answer.
Test(gateway, serves_what_the_policy_allows)
{
    gateway_world world(2);
    world.start(0);
    section("without a policy: not ready, and 503 for requests",
            [&]
            {
                EXPECT(world.until([&] { return world.readiness(0) == 503; }));
                EXPECT(status(world.call(0)) == 503);
            });
    auto& target = world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    section("a request",
            [&]
            {
                const auto got = world.call(0);
                EXPECT(status(got) == 200);
                EXPECT(got.response.body == "answer of m1 to /maps/1");
                EXPECT(got.response.headers.value(
                           "siskinflow-response-signature") == "signed");
                EXPECT(target.faults() == 0);
            });
    section(
        "path and query arrive unchanged, also an empty query",
        [&]
        {
            for (const char* path : {"/maps/1?", "/maps/1?a=b?&c", "/maps/"})
            {
                caller_request request;
                request.path = path;
                EXPECT(world.call(0, request).response.body ==
                       "answer of m1 to " + std::string(path));
            }
        });
    section("keys and routes",
            [&]
            {
                caller_request request;
                request.key = "unknown";
                EXPECT(status(world.call(0, request)) == 401);
                request.key = "";
                EXPECT(status(world.call(0, request)) == 401);
                request = {};
                request.path = "/nothing/";
                EXPECT(status(world.call(0, request)) == 404);
            });
    section("malformed entries change nothing",
            [&]
            {
                world.store().put("op/config", "{\"version\":\"r9\"");
                world.store().put("op/config",
                                  "{\"version\":\"r9\",\"routes\":5}");
                world.store().put("servers/m2", "garbage \xff");
                world.store().put("servers/m3", "{\"service\":7}");
                world.run_for(1s);
                EXPECT(status(world.call(0)) == 200);
            });
    section(
        "the directory names both VMs", [&]
        { EXPECT(world.until([&] { return world.lookup(0).size() == 2; })); });
}

// Guards against a request to a target that has left or drains, and against a
// changed configuration that comes late or goes back.
Test(gateway, follows_the_store)
{
    gateway_world world(1);
    world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    EXPECT(status(world.call(0)) == 200);
    section("a draining target gets nothing, its successor everything",
            [&]
            {
                auto& second = world.add_target("maps", named("m2"));
                world.register_target("m1", "draining");
                world.run_for(config_bound);
                const std::size_t before = second.runs().size();
                for (int i = 0; i < 5; ++i)
                {
                    EXPECT(status(world.call(0)) == 200);
                }
                EXPECT(second.runs().size() == before + 5);
            });
    section("a new prefix is in force in time, also when history is dropped",
            [&]
            {
                world.store().compact();
                world.configure({{"prefix", "/plans/"}});
                world.run_for(config_bound);
                caller_request request;
                request.path = "/plans/1";
                EXPECT(status(world.call(0, request)) == 200);
                EXPECT(status(world.call(0)) == 404);
            });
    section("an older version is refused",
            [&]
            {
                world.store().put(
                    "op/config", "{\"version\":\"r1\",\"routes\":{\"columns\":"
                                 "[],\"rows\":[]},\"services\":{\"columns\":[],"
                                 "\"rows\":[]}}");
                world.run_for(1s);
                caller_request request;
                request.path = "/plans/1";
                EXPECT(status(world.call(0, request)) == 200);
                EXPECT(world.log(0).find("name=policy_refused") !=
                       std::string::npos);
            });
}

// Guards against service that depends on the store, and against a VM that is
// not found again after an outage.
Test(gateway, serves_on_while_the_store_is_down)
{
    gateway_world world(2);
    world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    for (std::size_t vm = 0; vm < 2; ++vm)
    {
        EXPECT(world.until([&] { return world.lookup(vm).size() == 2; }));
    }
    for (const auto outage :
         {standin::kv_outage::refuse, standin::kv_outage::silent})
    {
        world.store().set_outage(outage);
        world.run_for(3s);
        EXPECT(status(world.call(0)) == 200);
        EXPECT(world.lookup(1).size() == 2);
        world.store().set_outage(standin::kv_outage::none);
        world.configure({{"priority", 2}});
        const std::string version =
            outage == standin::kv_outage::refuse ? "version=2 " : "version=3 ";
        EXPECT(world.until(
            [&]
            {
                return world.log(0).find("name=policy_in_force " + version) !=
                       std::string::npos;
            }));
    }
}

// Guards against a withdrawn key that a VM without the store honours although
// revocation is strict, and against a VM that refuses keys in calm.
Test(gateway, strict_revocation_needs_the_store)
{
    constexpr auto limit = 1500ms;
    gateway_world world(1);
    world.add_flag("--revocation_limit=1500ms");
    world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    section("keys are honoured in calm, long after the last change",
            [&]
            {
                world.run_for(2 * limit);
                EXPECT(status(world.call(0)) == 200);
            });
    section("without the store they are refused as not run, and the VM is not "
            "ready",
            [&]
            {
                world.store().set_outage(standin::kv_outage::silent);
                world.run_for(limit + 500ms);
                EXPECT(status(world.call(0)) == 503);
                EXPECT(world.readiness(0) == 503);
                EXPECT(world.log(0).find("reason=not_fresh") !=
                       std::string::npos);
            });
    section("they are honoured again with the store",
            [&]
            {
                world.store().set_outage(standin::kv_outage::none);
                EXPECT(world.until([&] { return world.readiness(0) == 200; }));
                EXPECT(status(world.call(0)) == 200);
            });
}

// Guards against requests that are cut or refused by a planned stop.
Test(gateway, stops_gracefully)
{
    gateway_world world(2);
    auto slow = named("o1");
    slow.work = 1500ms;
    world.add_target("orders", slow);
    world.configure();
    EXPECT(world.start_all());
    EXPECT(world.until([&] { return world.lookup(1).size() == 2; }));
    caller_request order;
    order.path = "/orders/1";
    order.method = "POST";
    std::optional<net::fetch_result> got;
    const auto running = world.send(
        0, order, [&](net::fetch_result value) { got = std::move(value); });
    world.run_for(300ms);
    world.vm(0).signal(SIGTERM);
    section(
        "it is not ready at once, and lookups leave it out",
        [&]
        {
            EXPECT(world.until([&] { return world.readiness(0) == 503; }, 1s));
            EXPECT(
                world.until([&] { return world.lookup(1).size() == 1; }, 2s));
        });
    section("the order in progress gets its answer",
            [&]
            {
                EXPECT(world.until([&] { return got.has_value(); }, 4s));
                EXPECT(status(*got) == 200);
            });
    int code = -1;
    EXPECT(world.until(
        [&]
        {
            code = code >= 0 ? code : world.vm(0).wait(1ms);
            return code >= 0;
        },
        6s));
    EXPECT(code == 0);
}

// Guards against an order that runs twice or is reported as not run although
// it may have run.
Test(gateway, repeats_only_what_may_be_repeated)
{
    gateway_world world(1);
    auto cutting = named("maps-1");
    cutting.cut_part = 1;
    world.add_target("maps", cutting);
    world.add_target("maps", named("maps-2"));
    standin::platform_target& known =
        world.add_target("orders", named("orders-1"));
    world.configure();
    EXPECT(world.start_all());
    // A VM prefers a target that it knows to one that it has not tried, so it
    // gets to know the target that is going to fail.
    caller_request first;
    first.path = "/orders/1";
    first.method = "POST";
    EXPECT(status(world.call(0, first)) == 200);
    world.add_target("orders", named("orders-2"));
    EXPECT(world.until(
        [&]
        { return world.log(0).find("target=orders-2") != std::string::npos; }));
    known.set_cut_part(1);
    int failed = 0;
    for (int i = 0; i < 20; ++i)
    {
        caller_request order;
        order.path = "/orders/1";
        order.method = "POST";
        order.object = std::to_string(i);
        order.id = "order-" + std::to_string(i);
        const auto got = world.call(0, order);
        EXPECT(world.runs(order.id) == 1);
        EXPECT(status(got) == 200 || status(got) == 502);
        failed += status(got) == 502 ? 1 : 0;
        caller_request look;
        look.object = std::to_string(i);
        EXPECT(status(world.call(0, look)) == 200);
    }
    EXPECT(failed > 0);
    section("the log tells the cause of each failure by its id",
            [&]
            {
                const std::string log = world.log(0);
                EXPECT(log.find("reason=bad_answer") != std::string::npos);
                EXPECT(log.find("steps=orders-1:broken") != std::string::npos);
            });
}
