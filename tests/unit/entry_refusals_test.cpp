// Refusals of the data path on arrival, and forwarding.
#include "entry_world.hpp"
#include "test_sections.hpp"

#include <nlohmann/json.hpp>

using namespace data_path_testing;
using test_sections::section;

// Guards against a request that is refused with a wrong status, or that
// reaches a target although it was refused.
Test(entry_refusals, each_check_on_arrival_has_its_own_reason)
{
    data_path_fixture run;
    const auto expect_refusal =
        [&](net::http_request request, int status, const std::string& reason)
    {
        const auto exchange = run.send(std::move(request));
        EXPECT(exchange->answered("not-run", reason));
        EXPECT(exchange->received_answer.status == status);
        EXPECT(run.caller.calls.empty());
        EXPECT(run.is_idle());
    };
    section("unknown route",
            [&] {
                expect_refusal(data_path_fixture::get("/nothing"), 404,
                               "unknown_route");
            });
    section("path that resolves to another route",
            [&]
            {
                expect_refusal(data_path_fixture::get("/maps/%2e%2e/x"), 400,
                               "bad_request");
            });
    section("missing key",
            [&] {
                expect_refusal(data_path_fixture::get("/maps/1", ""), 401,
                               "missing_key");
            });
    section("unknown key",
            [&]
            {
                expect_refusal(data_path_fixture::get("/maps/1", "nobody"), 401,
                               "unknown_key");
            });
    section("two keys",
            [&]
            {
                auto request = data_path_fixture::get("/maps/1");
                request.headers.add("authorization", "Bearer key-zenith");
                expect_refusal(request, 400, "bad_request");
            });
    section("method that is not forwarded",
            [&]
            {
                auto request = data_path_fixture::get("/maps/1");
                request.method = "TRACE";
                expect_refusal(request, 405, "method_not_supported");
            });
    section("large header",
            [&]
            {
                auto request = data_path_fixture::get("/maps/1");
                request.header_bytes = 33 * 1024;
                expect_refusal(request, 431, "header_too_large");
            });
    section("body over the limit of the route",
            [&]
            {
                const std::string body(1001, 'x');
                auto request = data_path_fixture::get("/maps/1");
                request.body = body;
                expect_refusal(request, 413, "body_too_large");
            });
    section("time limit that is no number",
            [&]
            {
                auto request = data_path_fixture::get("/maps/1");
                request.headers.add("siskinflow-timeout-ms", "soon");
                expect_refusal(request, 400, "bad_request");
            });
    section("order without a permit",
            [&]
            {
                const auto exchange = run.send(data_path_fixture::order(""));
                EXPECT(exchange->answered("not-run", "permit_required"));
                EXPECT(exchange->received_answer.status == 428);
                const auto repeated = run.send(data_path_fixture::order(
                    exchange->received_answer.permit()));
                run.advance(50ms);
                EXPECT(repeated->received_answer.status == 200);
                run.caller.calls.clear();
            });
    section("permit of another organisation",
            [&]
            {
                expect_refusal(data_path_fixture::order(run.permit("zenith")),
                               400, "permit_invalid");
            });
    section("two permits",
            [&]
            {
                auto request = data_path_fixture::order(run.permit());
                request.headers.add("idempotency-key", run.permit());
                expect_refusal(request, 400, "bad_request");
            });
}

// Guards against a VM that serves requests in a state in which it must refuse
// them.
Test(entry_refusals, the_state_of_the_vm_and_of_the_route_refuses)
{
    section("no configuration",
            []
            {
                configuration none;
                none.sequence = 0;
                data_path_fixture run(none);
                EXPECT(run.send(data_path_fixture::get("/maps/1"))
                           ->answered("not-run", "no_configuration"));
                // An earlier copy may have run on another VM.
                EXPECT(run.send(data_path_fixture::order(run.permit()))
                           ->answered("unknown", "no_configuration"));
                EXPECT(run.is_idle());
            });
    section("body memory of the process is used up",
            []
            {
                data_path_options options;
                options.max_body_memory_bytes = 1500;
                data_path_fixture run(make_config(), options);
                run.set_target_plans({{behaviour::manual}});
                const std::string body(900, 'x');
                auto request = data_path_fixture::get("/maps/1");
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
                data_path_fixture run;
                run.fresh = false;
                run.advance(1100ms);
                EXPECT(run.send(data_path_fixture::get("/maps/1"))
                           ->answered("not-run", "not_fresh"));
                const auto open =
                    run.send(data_path_fixture::get("/open/1", ""));
                EXPECT(!open->ended());
            });
    section("not fresh for a short while: the request waits",
            []
            {
                data_path_fixture run;
                run.fresh = false;
                const auto waiting_request =
                    run.send(data_path_fixture::get("/maps/1"));
                run.advance(300ms);
                EXPECT(!waiting_request->ended() && run.caller.calls.empty());
                run.fresh = true;
                run.advance(50ms);
                EXPECT(waiting_request->received_answer.outcome() == "ran");
            });
    section("not fresh while waiting: the request is refused",
            []
            {
                data_path_fixture run;
                run.fresh = false;
                const auto waiting_request =
                    run.send(data_path_fixture::get("/maps/1"));
                run.advance(1200ms);
                EXPECT(waiting_request->answered("not-run", "not_fresh"));
            });
    section("leaving",
            []
            {
                data_path_fixture run;
                run.accepts = false;
                EXPECT(run.send(data_path_fixture::get("/maps/1"))
                           ->answered("not-run", "leaving"));
            });
    section("closing route",
            []
            {
                data_path_fixture run;
                run.config.routes[0].state = route_state::closing;
                run.configure();
                EXPECT(run.send(data_path_fixture::get("/maps/1"))
                           ->answered("not-run", "route_closed"));
            });
    section("no target",
            []
            {
                data_path_fixture run;
                run.config.targets[0].state = target_state::leaving;
                run.config.targets[1].state = target_state::leaving;
                run.configure();
                EXPECT(run.send(data_path_fixture::get("/maps/1"))
                           ->answered("not-run", "no_target"));
            });
    section("rate used up",
            []
            {
                configuration config = make_config();
                config.organisations[0].rate_per_s = 20;
                config.organisations[0].burst = 5;
                data_path_fixture run(config);
                std::vector<std::shared_ptr<fake_caller_exchange>> sent;
                for (int i = 0; i < 200; ++i)
                {
                    sent.push_back(run.send(data_path_fixture::get("/maps/1")));
                    run.advance(tick_interval);
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
                data_path_fixture run;
                run.set_target_plans(
                    std::vector<target_plan>(20, {behaviour::no_answer}));
                std::vector<std::shared_ptr<fake_caller_exchange>> sent;
                for (int i = 0; i < 6; ++i)
                {
                    sent.push_back(
                        run.send(data_path_fixture::get("/open/1", "")));
                }
                auto request = data_path_fixture::get("/open/1", "");
                request.headers.add("siskinflow-timeout-ms", "900");
                const auto last = run.send(request);
                EXPECT(run.caller.running("target-1") == 3);
                EXPECT(run.caller.running("target-2") == 3);
                run.advance(900ms);
                EXPECT(last->answered("not-run", "region_at_capacity"));
            });
}

// Guards against forwarding of tenant keys and hop-by-hop fields to a target.
Test(entry_forwarding, the_request_is_forwarded_without_its_key)
{
    data_path_fixture run;
    auto request = data_path_fixture::get("/maps/1");
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
    EXPECT(exchange->received_answer.status == 200 &&
           exchange->received_answer.body == "answer");
    EXPECT(exchange->received_answer.outcome() == "ran");
    EXPECT(run.is_idle());
}
