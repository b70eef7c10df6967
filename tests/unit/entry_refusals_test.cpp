// What the data path refuses on arrival, and what it forwards.
#include "entry_world.hpp"
#include "story.hpp"

#include <nlohmann/json.hpp>

using namespace entry_world;
using story::section;

// Guards against a request that is refused with a wrong status, or that
// reaches a target although it was refused.
Test(entry_refusals, each_check_on_arrival_has_its_own_reason)
{
    world run;
    const auto refused =
        [&](net::http_request request, int status, const std::string& reason)
    {
        const auto exchange = run.send(std::move(request));
        EXPECT(exchange->answered("not-run", reason));
        EXPECT(exchange->seen.status == status);
        EXPECT(run.caller.calls.empty());
        EXPECT(run.is_idle());
    };
    section("unknown route",
            [&] { refused(world::get("/nothing"), 404, "unknown_route"); });
    section("path that hides another route",
            [&] { refused(world::get("/maps/%2e%2e/x"), 400, "bad_request"); });
    section("missing key",
            [&] { refused(world::get("/maps/1", ""), 401, "missing_key"); });
    section("unknown key", [&]
            { refused(world::get("/maps/1", "nobody"), 401, "unknown_key"); });
    section("two keys",
            [&]
            {
                auto request = world::get("/maps/1");
                request.headers.add("authorization", "Bearer key-zenith");
                refused(request, 400, "bad_request");
            });
    section("method that is not forwarded",
            [&]
            {
                auto request = world::get("/maps/1");
                request.method = "TRACE";
                refused(request, 405, "method_not_supported");
            });
    section("large header",
            [&]
            {
                auto request = world::get("/maps/1");
                request.header_bytes = 33 * 1024;
                refused(request, 431, "header_too_large");
            });
    section("body over the limit of the route",
            [&]
            {
                const std::string body(1001, 'x');
                auto request = world::get("/maps/1");
                request.body = body;
                refused(request, 413, "body_too_large");
            });
    section("time limit that is no number",
            [&]
            {
                auto request = world::get("/maps/1");
                request.headers.add("siskinflow-timeout-ms", "soon");
                refused(request, 400, "bad_request");
            });
    section("order without a permit",
            [&]
            {
                const auto exchange = run.send(world::order(""));
                EXPECT(exchange->answered("not-run", "permit_required"));
                EXPECT(exchange->seen.status == 428);
                const auto repeated =
                    run.send(world::order(exchange->seen.permit()));
                run.advance(50ms);
                EXPECT(repeated->seen.status == 200);
                run.caller.calls.clear();
            });
    section("permit of another organisation",
            [&] {
                refused(world::order(run.permit("zenith")), 400,
                        "permit_invalid");
            });
    section("two permits",
            [&]
            {
                auto request = world::order(run.permit());
                request.headers.add("idempotency-key", run.permit());
                refused(request, 400, "bad_request");
            });
}

// Guards against a VM that serves in a state in which it must not.
Test(entry_refusals, the_state_of_the_vm_and_of_the_route_refuses)
{
    section("no configuration",
            []
            {
                configuration none;
                none.sequence = 0;
                world run(none);
                EXPECT(run.send(world::get("/maps/1"))
                           ->answered("not-run", "no_configuration"));
                // An earlier copy may have run on another VM.
                EXPECT(run.send(world::order(run.permit()))
                           ->answered("unknown", "no_configuration"));
                EXPECT(run.is_idle());
            });
    section("body memory of the process is used up",
            []
            {
                data_path_options options;
                options.max_body_memory_bytes = 1500;
                world run(make_config(), options);
                run.plan_next({{behaviour::by_hand}});
                const std::string body(900, 'x');
                auto request = world::get("/maps/1");
                request.body = body;
                (void)run.send(request);
                EXPECT(run.path->body_bytes() == 900);
                EXPECT(run.send(request)->answered("not-run",
                                                   "body_memory_exceeded"));
                EXPECT(run.path->body_bytes() == 900);
            });
    section("not fresh for longer than the wait",
            []
            {
                world run;
                run.fresh = false;
                run.advance(1100ms);
                EXPECT(run.send(world::get("/maps/1"))
                           ->answered("not-run", "not_fresh"));
                const auto open = run.send(world::get("/open/1", ""));
                EXPECT(!open->ended());
            });
    section("not fresh for a short while: the request waits",
            []
            {
                world run;
                run.fresh = false;
                const auto waits = run.send(world::get("/maps/1"));
                run.advance(300ms);
                EXPECT(!waits->ended() && run.caller.calls.empty());
                run.fresh = true;
                run.advance(50ms);
                EXPECT(waits->seen.outcome() == "ran");
            });
    section("not fresh while waiting: the request is refused",
            []
            {
                world run;
                run.fresh = false;
                const auto waits = run.send(world::get("/maps/1"));
                run.advance(1200ms);
                EXPECT(waits->answered("not-run", "not_fresh"));
            });
    section("leaving",
            []
            {
                world run;
                run.accepts = false;
                EXPECT(run.send(world::get("/maps/1"))
                           ->answered("not-run", "leaving"));
            });
    section("closing route",
            []
            {
                world run;
                run.config.routes[0].state = route_state::closing;
                run.configure();
                EXPECT(run.send(world::get("/maps/1"))
                           ->answered("not-run", "route_closed"));
            });
    section("no target",
            []
            {
                world run;
                run.config.targets[0].state = target_state::leaving;
                run.config.targets[1].state = target_state::leaving;
                run.configure();
                EXPECT(run.send(world::get("/maps/1"))
                           ->answered("not-run", "no_target"));
            });
    section("rate used up",
            []
            {
                configuration config = make_config();
                config.organisations[0].rate_per_s = 20;
                config.organisations[0].burst = 5;
                world run(config);
                std::vector<std::shared_ptr<fake_exchange>> sent;
                for (int i = 0; i < 200; ++i)
                {
                    sent.push_back(run.send(world::get("/maps/1")));
                    run.advance(step);
                }
                run.advance(3s);
                const auto refused = std::count_if(
                    sent.begin(), sent.end(),
                    [](const auto& exchange)
                    { return exchange->answered("not-run", "rate_exceeded"); });
                EXPECT(refused > 0);
                EXPECT(run.is_idle());
            });
    section("no free slot until the deadline",
            []
            {
                world run;
                run.plan_next(std::vector<plan>(20, {behaviour::silent}));
                std::vector<std::shared_ptr<fake_exchange>> sent;
                for (int i = 0; i < 6; ++i)
                {
                    sent.push_back(run.send(world::get("/open/1", "")));
                }
                auto request = world::get("/open/1", "");
                request.headers.add("siskinflow-timeout-ms", "900");
                const auto last = run.send(request);
                EXPECT(run.caller.running("target-1") == 3);
                EXPECT(run.caller.running("target-2") == 3);
                run.advance(900ms);
                EXPECT(last->answered("not-run", "region_at_capacity"));
            });
}

// Guards against a key that leaks to a target and against fields that belong
// to one connection.
Test(entry_forwarding, the_request_is_forwarded_without_its_key)
{
    world run;
    auto request = world::get("/maps/1");
    request.query = "a=b";
    request.headers.add("connection", "x-private");
    request.headers.add("x-private", "1");
    request.headers.add("x-kept", "2");
    const auto exchange = run.send(request);
    run.advance(50ms);
    EXPECT(run.caller.calls.size() == 1);
    const auto& sent = run.caller.calls[0]->request;
    EXPECT(sent.target == "/maps/1?a=b");
    EXPECT(!sent.headers.contains("authorization"));
    EXPECT(!sent.headers.contains("x-private"));
    EXPECT(sent.headers.value("x-kept") == "2");
    EXPECT(sent.headers.value("siskinflow-timeout-ms") == "2000");
    EXPECT(exchange->seen.status == 200 && exchange->seen.body == "answer");
    EXPECT(exchange->seen.outcome() == "ran");
    EXPECT(run.is_idle());
}
