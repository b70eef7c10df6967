// Callers that leave, and permits.
#include "entry_world.hpp"
#include "story.hpp"

#include <nlohmann/json.hpp>

using namespace entry_world;
using story::section;

// Guards against work for callers that have gone, and against orders that are
// stopped half-way or whose outcome is forgotten.
Test(entry_cancel, a_caller_that_leaves_ends_what_may_be_ended)
{
    section("a lookup of a map is cancelled",
            []
            {
                world run;
                run.plan_next({{behaviour::silent}});
                const auto exchange = run.send(world::get("/maps/1"));
                exchange->leave();
                EXPECT(run.caller.calls.at(0)->over);
                EXPECT(run.is_idle());
            });
    section("an order runs on and its copy gets the answer",
            []
            {
                world run;
                const auto permit = run.permit();
                const auto exchange = run.send(world::order(permit));
                exchange->leave();
                EXPECT(!run.caller.calls.at(0)->over);
                run.advance(50ms);
                const auto copy = run.send(world::order(permit));
                EXPECT(copy->answered("ran", "already_ran"));
                EXPECT(copy->seen.body == "answer");
            });
    section("an order that waits is void",
            []
            {
                world run;
                run.fresh = false;
                const auto permit = run.permit();
                const auto exchange = run.send(world::order(permit));
                exchange->leave();
                run.fresh = true;
                const auto copy = run.send(world::order(permit));
                run.advance(50ms);
                EXPECT(copy->seen.outcome() == "not-run");
                EXPECT(run.caller.calls.empty());
            });
    section("an order that waits for another connection is void",
            []
            {
                // The permit stayed in the state "running" for ever, and its
                // copies waited for an outcome until their deadlines.
                world run;
                run.plan_next({{behaviour::refused_connection, 10ms}});
                const auto permit = run.permit();
                const auto exchange = run.send(world::order(permit));
                run.timers.schedule(run.time.now() + step,
                                    [&]
                                    {
                                        run.fresh = false;
                                        exchange->leave();
                                    });
                run.advance(step);
                EXPECT(run.is_idle());
                EXPECT(run.permits.counts().in_flight == 0);
                EXPECT(run.observer.last_outcome == request_outcome::not_run);
                run.fresh = true;
                const auto copy = run.send(world::order(permit));
                EXPECT(copy->seen.outcome() == "not-run");
            });
}

// Guards against a "not run" statement whose request a delayed copy runs
// later, or that is false because the first copy has run.
Test(entry_permits, a_refusal_on_arrival_settles_its_permit)
{
    section(
        "a refused permit is void",
        []
        {
            world run;
            run.accepts = false;
            const auto permit = run.permit();
            EXPECT(
                run.send(world::order(permit))->answered("not-run", "leaving"));
            run.accepts = true;
            const auto copy = run.send(world::order(permit));
            run.advance(50ms);
            EXPECT(copy->seen.outcome() == "not-run");
            EXPECT(run.caller.calls.empty());
        });
    section(
        "a permit that ran is not called not run",
        []
        {
            world run;
            const auto permit = run.permit();
            (void)run.send(world::order(permit));
            run.advance(50ms);
            run.config.routes[1].state = route_state::closing;
            run.configure();
            EXPECT(
                run.send(world::order(permit))->answered("ran", "already_ran"));
            EXPECT(run.send(world::order(run.permit()))
                       ->answered("not-run", "route_closed"));
        });
    section("a VM that is not fresh tells no answer of an earlier copy",
            []
            {
                world run;
                const auto permit = run.permit();
                (void)run.send(world::order(permit));
                run.advance(50ms);
                run.fresh = false;
                EXPECT(run.send(world::order(permit))
                           ->answered("unknown", "not_fresh"));
                run.advance(1100ms);
                const auto copy = run.send(world::order(permit));
                EXPECT(copy->answered("unknown", "not_fresh"));
                EXPECT(copy->seen.body.find("answer") == std::string::npos);
            });
    section(
        "a permit of another VM is settled there",
        []
        {
            world run;
            permit_issuer other(incarnation_id{7, 7});
            const auto permit = other.issue("acme", "orders", run.time.now());
            run.accepts = false;
            run.resolver.reply = verdict(permit_verdict::ran);
            EXPECT(run.send(world::order(permit))->seen.outcome() == "ran");
            run.resolver.reply = verdict(permit_verdict::not_run);
            EXPECT(
                run.send(world::order(permit))->answered("not-run", "leaving"));
            run.resolver.reply = verdict(permit_verdict::unknown);
            EXPECT(run.send(world::order(permit))->seen.outcome() == "unknown");
        });
}

// Guards against copies of an order that run, wait for ever or get another
// answer than the first one.
Test(entry_permits, copies_get_the_outcome_of_the_first)
{
    section("a copy waits for the first",
            []
            {
                world run;
                run.plan_next({{behaviour::complete, 100ms}});
                const auto permit = run.permit();
                const auto first = run.send(world::order(permit));
                const auto copy = run.send(world::order(permit));
                run.advance(50ms);
                EXPECT(!copy->ended());
                run.advance(100ms);
                EXPECT(first->seen.outcome() == "ran");
                EXPECT(copy->answered("ran", "already_ran"));
                EXPECT(run.caller.calls.size() == 1);
                EXPECT(run.is_idle());
            });
    section("a copy does not wait beyond its deadline",
            []
            {
                world run;
                run.plan_next({{behaviour::complete, 500ms}});
                const auto permit = run.permit();
                (void)run.send(world::order(permit));
                auto hasty = world::order(permit);
                hasty.headers.add("siskinflow-timeout-ms", "100");
                const auto copy = run.send(hasty);
                run.advance(100ms);
                EXPECT(copy->answered("unknown", "permit_in_progress"));
            });
    section("a permit of another VM never runs here",
            []
            {
                world run;
                permit_issuer other(incarnation_id{7, 7});
                const auto permit =
                    other.issue("acme", "orders", run.time.now());
                const auto ask =
                    [&](permit_verdict value, const std::string& outcome)
                {
                    run.resolver.reply = verdict(value);
                    EXPECT(run.send(world::order(permit))->seen.outcome() ==
                           outcome);
                };
                ask(permit_verdict::ran, "ran");
                ask(permit_verdict::not_run, "not-run");
                ask(permit_verdict::unknown, "unknown");
                ask(permit_verdict::in_progress, "unknown");
                run.resolver.reply.reset();
                const auto lost = run.send(world::order(permit));
                run.resolver.pending.at(0).second(
                    fail(errc::unavailable, "nobody answers"));
                EXPECT(lost->answered("unknown", "permit_issuer_unreachable"));
                EXPECT(run.caller.calls.empty());
                EXPECT(run.is_idle());
            });
}
