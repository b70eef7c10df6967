// Disconnecting callers, and permits.
#include "entry_world.hpp"
#include "test_sections.hpp"

#include <nlohmann/json.hpp>

using namespace data_path_testing;
using test_sections::section;

// Guards against work for callers that have disconnected, against orders that
// are cancelled after they were sent, and against the loss of their outcome.
Test(entry_cancel, a_disconnect_cancels_only_what_may_be_cancelled)
{
    section("a lookup of a map is cancelled",
            []
            {
                data_path_fixture run;
                run.set_target_plans({{behaviour::no_answer}});
                const auto exchange =
                    run.send(data_path_fixture::get("/maps/1"));
                exchange->disconnect();
                EXPECT(run.caller.calls.at(0)->finished);
                EXPECT(run.is_idle());
            });
    section("an order goes on and its copy gets the answer",
            []
            {
                data_path_fixture run;
                const auto permit = run.permit();
                const auto exchange =
                    run.send(data_path_fixture::order(permit));
                exchange->disconnect();
                EXPECT(!run.caller.calls.at(0)->finished);
                run.advance(50ms);
                const auto copy = run.send(data_path_fixture::order(permit));
                EXPECT(copy->answered("ran", "already_ran"));
                EXPECT(copy->received_answer.body == "answer");
            });
    section("an order that waits is void",
            []
            {
                data_path_fixture run;
                run.fresh = false;
                const auto permit = run.permit();
                const auto exchange =
                    run.send(data_path_fixture::order(permit));
                exchange->disconnect();
                run.fresh = true;
                const auto copy = run.send(data_path_fixture::order(permit));
                run.advance(50ms);
                EXPECT(copy->received_answer.outcome() == "not-run");
                EXPECT(run.caller.calls.empty());
            });
    section("an order that waits for another connection is void",
            []
            {
                // The permit remained in the state "running", and its copies
                // waited for an outcome until their deadlines.
                data_path_fixture run;
                run.set_target_plans({{behaviour::connection_refused, 10ms}});
                const auto permit = run.permit();
                const auto exchange =
                    run.send(data_path_fixture::order(permit));
                run.timers.schedule(run.time.now() + tick_interval,
                                    [&]
                                    {
                                        run.fresh = false;
                                        exchange->disconnect();
                                    });
                run.advance(tick_interval);
                EXPECT(run.is_idle());
                EXPECT(run.permits.counts().in_flight == 0);
                EXPECT(run.observer.last_outcome == request_outcome::not_run);
                run.fresh = true;
                const auto copy = run.send(data_path_fixture::order(permit));
                EXPECT(copy->received_answer.outcome() == "not-run");
            });
}

// Guards against "not run" for a request of which a delayed copy runs later,
// or of which the first copy has run.
Test(entry_permits, a_refusal_on_arrival_settles_its_permit)
{
    section("a refused permit is void",
            []
            {
                data_path_fixture run;
                run.accepts = false;
                const auto permit = run.permit();
                EXPECT(run.send(data_path_fixture::order(permit))
                           ->answered("not-run", "leaving"));
                run.accepts = true;
                const auto copy = run.send(data_path_fixture::order(permit));
                run.advance(50ms);
                EXPECT(copy->received_answer.outcome() == "not-run");
                EXPECT(run.caller.calls.empty());
            });
    section("a permit that ran is not reported as not run",
            []
            {
                data_path_fixture run;
                const auto permit = run.permit();
                (void)run.send(data_path_fixture::order(permit));
                run.advance(50ms);
                run.config.routes[1].state = route_state::closing;
                run.configure();
                EXPECT(run.send(data_path_fixture::order(permit))
                           ->answered("ran", "already_ran"));
                EXPECT(run.send(data_path_fixture::order(run.permit()))
                           ->answered("not-run", "route_closed"));
            });
    section("a VM that is not fresh returns no answer of an earlier copy",
            []
            {
                data_path_fixture run;
                const auto permit = run.permit();
                (void)run.send(data_path_fixture::order(permit));
                run.advance(50ms);
                run.fresh = false;
                EXPECT(run.send(data_path_fixture::order(permit))
                           ->answered("unknown", "not_fresh"));
                run.advance(1100ms);
                const auto copy = run.send(data_path_fixture::order(permit));
                EXPECT(copy->answered("unknown", "not_fresh"));
                EXPECT(copy->received_answer.body.find("answer") ==
                       std::string::npos);
            });
    section(
        "a permit of another VM is settled there",
        []
        {
            data_path_fixture run;
            permit_issuer other(incarnation_id{7, 7});
            const auto permit = other.issue("acme", "orders", run.time.now());
            run.accepts = false;
            run.resolver.reply = outcome_with_verdict(permit_verdict::ran);
            EXPECT(run.send(data_path_fixture::order(permit))
                       ->received_answer.outcome() == "ran");
            run.resolver.reply = outcome_with_verdict(permit_verdict::not_run);
            EXPECT(run.send(data_path_fixture::order(permit))
                       ->answered("not-run", "leaving"));
            run.resolver.reply = outcome_with_verdict(permit_verdict::unknown);
            EXPECT(run.send(data_path_fixture::order(permit))
                       ->received_answer.outcome() == "unknown");
        });
}

// Guards against copies of an order that run, wait without limit or get another
// answer than the first copy.
Test(entry_permits, copies_get_the_outcome_of_the_first)
{
    section("a copy waits for the first",
            []
            {
                data_path_fixture run;
                run.set_target_plans({{behaviour::complete, 100ms}});
                const auto permit = run.permit();
                const auto first = run.send(data_path_fixture::order(permit));
                const auto copy = run.send(data_path_fixture::order(permit));
                run.advance(50ms);
                EXPECT(!copy->ended());
                run.advance(100ms);
                EXPECT(first->received_answer.outcome() == "ran");
                EXPECT(copy->answered("ran", "already_ran"));
                EXPECT(run.caller.calls.size() == 1);
                EXPECT(run.is_idle());
            });
    section("a copy does not wait beyond its deadline",
            []
            {
                data_path_fixture run;
                run.set_target_plans({{behaviour::complete, 500ms}});
                const auto permit = run.permit();
                (void)run.send(data_path_fixture::order(permit));
                auto request_with_short_timeout =
                    data_path_fixture::order(permit);
                request_with_short_timeout.headers.add("siskinflow-timeout-ms",
                                                       "100");
                const auto copy = run.send(request_with_short_timeout);
                run.advance(100ms);
                EXPECT(copy->answered("unknown", "permit_in_progress"));
            });
    section("a permit of another VM never runs here",
            []
            {
                data_path_fixture run;
                permit_issuer other(incarnation_id{7, 7});
                const auto permit =
                    other.issue("acme", "orders", run.time.now());
                const auto expect_outcome =
                    [&](permit_verdict value, const std::string& outcome)
                {
                    run.resolver.reply = outcome_with_verdict(value);
                    EXPECT(run.send(data_path_fixture::order(permit))
                               ->received_answer.outcome() == outcome);
                };
                expect_outcome(permit_verdict::ran, "ran");
                expect_outcome(permit_verdict::not_run, "not-run");
                expect_outcome(permit_verdict::unknown, "unknown");
                expect_outcome(permit_verdict::in_progress, "unknown");
                run.resolver.reply.reset();
                const auto lost = run.send(data_path_fixture::order(permit));
                run.resolver.pending.at(0).second(
                    fail(errc::unavailable, "nobody answers"));
                EXPECT(lost->answered("unknown", "permit_issuer_unreachable"));
                EXPECT(run.caller.calls.empty());
                EXPECT(run.is_idle());
            });
}
