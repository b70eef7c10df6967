// What callers get when targets fail, and which attempts are repeated.
#include "entry_world.hpp"
#include "story.hpp"

#include <nlohmann/json.hpp>

using namespace entry_world;
using story::section;

// Guards against retries that are missing, or that repeat what must not be.
Test(entry_retries, only_what_may_be_repeated_is)
{
    const auto runs = [](net::http_request request, std::vector<plan> plans,
                         std::size_t calls, int status,
                         const std::string& outcome)
    {
        world run;
        run.plan_next(std::move(plans));
        const auto exchange = run.send(std::move(request));
        run.advance(2500ms);
        EXPECT(run.caller.calls.size() == calls);
        EXPECT(exchange->seen.status == status);
        EXPECT(exchange->seen.outcome() == outcome);
        EXPECT(run.is_idle());
    };
    const auto order = [&](std::vector<plan> plans, std::size_t calls,
                           int status, const std::string& outcome)
    {
        world run;
        run.plan_next(std::move(plans));
        const auto permit = run.permit();
        const auto exchange = run.send(world::order(permit));
        run.advance(2500ms);
        EXPECT(run.caller.calls.size() == calls);
        EXPECT(exchange->seen.status == status);
        EXPECT(exchange->seen.outcome() == outcome);
        EXPECT(run.is_idle());
        const auto copy = run.send(world::order(permit));
        run.advance(50ms);
        EXPECT(run.caller.calls.size() == calls);
        EXPECT(copy->seen.outcome() == outcome);
    };
    section(
        "a lost connection is retried at another target", [&]
        { runs(world::get("/maps/1"), {{behaviour::closed}}, 2, 200, "ran"); });
    section(
        "a silent target is given up in favour of another one", [&]
        { runs(world::get("/maps/1"), {{behaviour::silent}}, 2, 200, "ran"); });
    section("a request that was shed is not retried",
            [&] {
                runs(world::get("/maps/1"), {{behaviour::shed}}, 1, 503,
                     "not-run");
            });
    section("an order is sent elsewhere if no connection was made",
            [&] { order({{behaviour::refused_connection}}, 2, 200, "ran"); });
    section("an order that was shed has not run",
            [&] { order({{behaviour::shed}}, 1, 503, "not-run"); });
    section("an order whose connection broke is unknown",
            [&] { order({{behaviour::closed}}, 1, 502, "unknown"); });
    section("an order without an answer is unknown",
            [&] { order({{behaviour::silent}}, 1, 504, "unknown"); });
    section("an order that no target takes has not run",
            [&]
            {
                order({{behaviour::refused_connection},
                       {behaviour::refused_connection}},
                      2, 503, "not-run");
            });
}

// Guards against a caller that takes a part of an answer for the whole.
Test(entry_answers, a_truncated_answer_is_aborted)
{
    world run;
    run.plan_next({{behaviour::truncated}});
    const auto exchange = run.send(world::get("/maps/1"));
    run.advance(50ms);
    EXPECT(exchange->aborts == 1 && exchange->finishes == 0);
    EXPECT(run.observer.last_outcome == request_outcome::unknown);
    EXPECT(run.is_idle());
}

// Guards against a "not run" statement about a request that a target received
// in an earlier attempt.
Test(entry_answers, a_request_that_was_received_is_not_called_not_run)
{
    const auto lost =
        [](const std::function<void(world&)>& then, std::vector<plan> plans)
    {
        world run;
        run.plan_next(std::move(plans));
        const auto exchange = run.send(world::get("/maps/1"));
        run.advance(step);
        then(run);
        run.advance(2500ms);
        EXPECT(exchange->ended());
        EXPECT(exchange->seen.outcome() == "unknown");
        EXPECT(run.observer.last_outcome == request_outcome::unknown);
        EXPECT(run.is_idle());
    };
    section("no other target is left",
            [&] {
                lost([](world&) {},
                     {{behaviour::closed, 5ms}, {behaviour::closed, 5ms}});
            });
    section("the second attempt finds no connection",
            [&]
            {
                lost([](world&) {},
                     {{behaviour::closed}, {behaviour::refused_connection}});
            });
    section("the second target sheds",
            [&] {
                lost([](world&) {}, {{behaviour::closed}, {behaviour::shed}});
            });
    section("the key is withdrawn meanwhile",
            [&]
            {
                lost(
                    [](world& run)
                    {
                        run.config.organisations[0].key_sha256.clear();
                        run.configure();
                    },
                    {{behaviour::closed, 15ms}});
            });
    section("the other target leaves meanwhile",
            [&]
            {
                lost(
                    [](world& run)
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
                    {{behaviour::closed, 15ms}});
            });
}

// Guards against earlier targets that are named by a configuration which has
// been replaced: the third attempt read freed memory.
Test(entry_retries, earlier_targets_are_remembered_across_configurations)
{
    configuration config = make_config();
    config.targets.push_back(make_target(5, {"maps"}, 3));
    config.targets.push_back(make_target(6, {"maps"}, 3));
    world run(config);
    run.plan_next({{behaviour::closed, 10ms}, {behaviour::closed, 10ms}});
    const auto exchange = run.send(world::get("/maps/1"));
    for (int i = 0; i < 40; ++i)
    {
        run.configure();
        run.advance(step);
    }
    EXPECT(exchange->seen.outcome() == "ran");
    std::set<std::string> targets;
    for (const auto& call : run.caller.calls)
    {
        targets.insert(call->target);
    }
    EXPECT(run.caller.calls.size() == 3 && targets.size() == 3);
}

// Guards against the loss of a long answer: the time for one attempt ends
// with the head, after which the answer can't be fetched elsewhere.
Test(entry_answers, a_long_answer_may_take_until_the_deadline)
{
    world run;
    run.plan_next({{behaviour::by_hand}});
    const auto exchange = run.send(world::get("/maps/1"));
    run.advance(500ms);
    const auto call = run.caller.calls.at(0);
    run.caller.head(call, 200);
    run.advance(1000ms);
    run.caller.body(call, "late part");
    run.caller.end(call, net::call_outcome::complete);
    EXPECT(exchange->finishes == 1 && exchange->seen.body == "late part");
    EXPECT(run.caller.calls.size() == 1);
    EXPECT(run.is_idle());
}

// Guards against memory that grows with a slow caller, and against an order
// that stands still because the caller who held it back has gone.
Test(entry_answers, a_slow_caller_holds_the_target_back)
{
    world run;
    run.plan_next({{behaviour::by_hand}, {behaviour::by_hand}});
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
    section("reading goes on when the caller has taken its part",
            [&]
            {
                const auto exchange = run.send(world::get("/maps/1"));
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
                const auto exchange = run.send(world::order(run.permit()));
                const auto call = run.caller.calls.at(1);
                fill(call);
                exchange->leave();
                EXPECT(!call->over && !call->paused);
                run.caller.body(call, part);
                EXPECT(!call->paused);
                run.caller.end(call, net::call_outcome::complete);
                EXPECT(run.observer.last_outcome == request_outcome::ran);
            });
    EXPECT(run.is_idle());
}
