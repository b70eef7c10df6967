// Answers to callers when targets fail, and retries.
#include "entry_world.hpp"
#include "test_sections.hpp"

#include <nlohmann/json.hpp>

using namespace data_path_testing;
using test_sections::section;

// Guards against missing retries, and against retries of requests that must not
// be repeated.
Test(entry_retries, only_repeatable_requests_are_retried)
{
    const auto expect_get_result =
        [](net::http_request request, std::vector<target_plan> plans,
           std::size_t calls, int status, const std::string& outcome)
    {
        data_path_fixture run;
        run.set_target_plans(std::move(plans));
        const auto exchange = run.send(std::move(request));
        run.advance(2500ms);
        EXPECT(run.caller.calls.size() == calls);
        EXPECT(exchange->received_answer.status == status);
        EXPECT(exchange->received_answer.outcome() == outcome);
        EXPECT(run.is_idle());
    };
    const auto expect_order_result = [&](std::vector<target_plan> plans,
                                         std::size_t calls, int status,
                                         const std::string& outcome)
    {
        data_path_fixture run;
        run.set_target_plans(std::move(plans));
        const auto permit = run.permit();
        const auto exchange = run.send(data_path_fixture::order(permit));
        run.advance(2500ms);
        EXPECT(run.caller.calls.size() == calls);
        EXPECT(exchange->received_answer.status == status);
        EXPECT(exchange->received_answer.outcome() == outcome);
        EXPECT(run.is_idle());
        const auto copy = run.send(data_path_fixture::order(permit));
        run.advance(50ms);
        EXPECT(run.caller.calls.size() == calls);
        EXPECT(copy->received_answer.outcome() == outcome);
    };
    section("a lost connection is retried at another target",
            [&]
            {
                expect_get_result(data_path_fixture::get("/maps/1"),
                                  {{behaviour::connection_lost}}, 2, 200,
                                  "ran");
            });
    section("a request to a silent target is retried at another one",
            [&]
            {
                expect_get_result(data_path_fixture::get("/maps/1"),
                                  {{behaviour::no_answer}}, 2, 200, "ran");
            });
    section("a request that was shed is not retried",
            [&]
            {
                expect_get_result(data_path_fixture::get("/maps/1"),
                                  {{behaviour::shed}}, 1, 503, "not-run");
            });
    section("an order is sent elsewhere if no connection was made",
            [&] {
                expect_order_result({{behaviour::connection_refused}}, 2, 200,
                                    "ran");
            });
    section("an order that was shed has not run", [&]
            { expect_order_result({{behaviour::shed}}, 1, 503, "not-run"); });
    section("an order whose connection broke is unknown",
            [&] {
                expect_order_result({{behaviour::connection_lost}}, 1, 502,
                                    "unknown");
            });
    section(
        "an order without an answer is unknown", [&]
        { expect_order_result({{behaviour::no_answer}}, 1, 504, "unknown"); });
    section("an order that no target takes has not run",
            [&]
            {
                expect_order_result({{behaviour::connection_refused},
                                     {behaviour::connection_refused}},
                                    2, 503, "not-run");
            });
}

// Guards against a caller that mistakes part of an answer for all of it.
Test(entry_answers, a_truncated_answer_is_aborted)
{
    data_path_fixture run;
    run.set_target_plans({{behaviour::truncated}});
    const auto exchange = run.send(data_path_fixture::get("/maps/1"));
    run.advance(50ms);
    EXPECT(exchange->aborts == 1 && exchange->finishes == 0);
    EXPECT(run.observer.last_outcome == request_outcome::unknown);
    EXPECT(run.is_idle());
}

// Guards against "not run" for a request that a target received in an earlier
// attempt.
Test(entry_answers, a_request_that_was_received_is_not_called_not_run)
{
    const auto expect_unknown =
        [](const std::function<void(data_path_fixture&)>& change,
           std::vector<target_plan> plans)
    {
        data_path_fixture run;
        run.set_target_plans(std::move(plans));
        const auto exchange = run.send(data_path_fixture::get("/maps/1"));
        run.advance(tick_interval);
        change(run);
        run.advance(2500ms);
        EXPECT(exchange->ended());
        EXPECT(exchange->received_answer.outcome() == "unknown");
        EXPECT(run.observer.last_outcome == request_outcome::unknown);
        EXPECT(run.is_idle());
    };
    section("no other target is left",
            [&]
            {
                expect_unknown([](data_path_fixture&) {},
                               {{behaviour::connection_lost, 5ms},
                                {behaviour::connection_lost, 5ms}});
            });
    section("the second attempt finds no connection",
            [&]
            {
                expect_unknown([](data_path_fixture&) {},
                               {{behaviour::connection_lost},
                                {behaviour::connection_refused}});
            });
    section("the second target sheds",
            [&]
            {
                expect_unknown(
                    [](data_path_fixture&) {},
                    {{behaviour::connection_lost}, {behaviour::shed}});
            });
    section("the key is withdrawn meanwhile",
            [&]
            {
                expect_unknown(
                    [](data_path_fixture& run)
                    {
                        run.config.organisations[0].key_sha256.clear();
                        run.configure();
                    },
                    {{behaviour::connection_lost, 15ms}});
            });
    section("the other target leaves meanwhile",
            [&]
            {
                expect_unknown(
                    [](data_path_fixture& run)
                    {
                        const auto used = run.caller.calls[0]->target;
                        for (auto& target : run.config.targets)
                        {
                            target.state = target.name == used
                                               ? target_state::active
                                               : target_state::leaving;
                        }
                        run.configure();
                    },
                    {{behaviour::connection_lost, 15ms}});
            });
}

// Guards against names of earlier targets that belong to a replaced
// configuration: the third attempt read freed memory.
Test(entry_retries, earlier_targets_stay_excluded_across_configurations)
{
    configuration config = make_config();
    config.targets.push_back(make_target(5, {"maps"}, 3));
    config.targets.push_back(make_target(6, {"maps"}, 3));
    data_path_fixture run(config);
    run.set_target_plans({{behaviour::connection_lost, 10ms},
                          {behaviour::connection_lost, 10ms}});
    const auto exchange = run.send(data_path_fixture::get("/maps/1"));
    for (int i = 0; i < 40; ++i)
    {
        run.configure();
        run.advance(tick_interval);
    }
    EXPECT(exchange->received_answer.outcome() == "ran");
    std::set<std::string> targets;
    for (const auto& call : run.caller.calls)
    {
        targets.insert(call->target);
    }
    EXPECT(run.caller.calls.size() == 3 && targets.size() == 3);
}

// Guards against the loss of a long answer: the time limit of an attempt
// applies only until the head, after which the answer can't be fetched
// elsewhere.
Test(entry_answers, a_long_answer_may_take_until_the_deadline)
{
    data_path_fixture run;
    run.set_target_plans({{behaviour::manual}});
    const auto exchange = run.send(data_path_fixture::get("/maps/1"));
    run.advance(500ms);
    const auto call = run.caller.calls.at(0);
    run.caller.head(call, 200);
    run.advance(1000ms);
    run.caller.body(call, "late part");
    run.caller.end(call, net::call_outcome::complete);
    EXPECT(exchange->finishes == 1 &&
           exchange->received_answer.body == "late part");
    EXPECT(run.caller.calls.size() == 1);
    EXPECT(run.is_idle());
}

// Guards against unbounded buffering for a slow caller, and against an order
// whose reading stays paused after its slow caller has disconnected.
Test(entry_answers, a_slow_caller_pauses_reading_from_the_target)
{
    data_path_fixture run;
    run.set_target_plans({{behaviour::manual}, {behaviour::manual}});
    const std::string part(100 * 1024, 'x');
    const auto fill = [&](const std::shared_ptr<target_call>& call)
    {
        run.caller.head(call, 200);
        for (int i = 0; i < 3; ++i)
        {
            EXPECT(!call->paused);
            run.caller.body(call, part);
        }
        EXPECT(call->paused);
    };
    section("reading goes on when the caller has read its part",
            [&]
            {
                const auto exchange =
                    run.send(data_path_fixture::get("/maps/1"));
                const auto call = run.caller.calls.at(0);
                fill(call);
                exchange->drain();
                EXPECT(!call->paused);
                run.caller.end(call, net::call_outcome::complete);
                EXPECT(exchange->finishes == 1);
            });
    section("reading of an order goes on when the caller has gone",
            [&]
            {
                const auto exchange =
                    run.send(data_path_fixture::order(run.permit()));
                const auto call = run.caller.calls.at(1);
                fill(call);
                exchange->disconnect();
                EXPECT(!call->finished && !call->paused);
                run.caller.body(call, part);
                EXPECT(!call->paused);
                run.caller.end(call, net::call_outcome::complete);
                EXPECT(run.observer.last_outcome == request_outcome::ran);
            });
    EXPECT(run.is_idle());
}
