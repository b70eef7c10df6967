// How the data path uses its shares of slots and rates.
#include "entry_world.hpp"
#include "test_sections.hpp"

#include <nlohmann/json.hpp>

using namespace data_path_testing;
using test_sections::section;

// Guards against more requests at a target than it has slots: a slot whose
// lease lapsed in use may have been granted to another VM. Orders continue,
// because closing their connections would only make their outcome unknown.
Test(entry_slots, idempotent_requests_without_a_lease_are_ended)
{
    data_path_fixture run;
    run.set_target_plans(
        {{behaviour::manual}, {behaviour::manual}, {behaviour::manual}});
    const auto with_long_timeout = [](net::http_request request)
    {
        request.headers.add("siskinflow-timeout-ms", "20000");
        return request;
    };
    const auto map =
        run.send(with_long_timeout(data_path_fixture::get("/maps/1")));
    const auto other =
        run.send(with_long_timeout(data_path_fixture::get("/maps/2")));
    const auto order =
        run.send(with_long_timeout(data_path_fixture::order(run.permit())));
    run.advance(500ms);
    EXPECT(run.caller.calls.size() == 3);
    for (const auto& call : run.caller.calls)
    {
        run.caller.head(call, 200);
    }
    const auto slots_without_lease = [&](const std::string& target)
    {
        return run.budgets.shares().slots_without_lease(slots_budget(target),
                                                        run.time.now());
    };
    section("requests with a valid lease continue",
            [&]
            {
                run.advance(share_ttl);
                EXPECT(!run.caller.calls.at(0)->finished);
                EXPECT(!run.caller.calls.at(1)->finished);
            });
    section("idempotent requests end on the tick after the lapse",
            [&]
            {
                run.fresh = false;
                std::optional<time_point> lapsed;
                run.after_step = [&]
                {
                    const std::string target = run.caller.calls.at(0)->target;
                    if (!lapsed && slots_without_lease(target) > 0)
                    {
                        lapsed = run.time.now();
                    }
                    if (lapsed && run.time.now() - *lapsed >= tick_interval)
                    {
                        EXPECT(run.caller.calls.at(0)->finished);
                        EXPECT(run.caller.calls.at(1)->finished);
                    }
                };
                run.advance(share_ttl + 500ms);
                run.after_step = nullptr;
                EXPECT(lapsed.has_value());
                EXPECT(map->aborts == 1 && other->aborts == 1);
                EXPECT(run.caller.running("target-1") == 0);
                EXPECT(run.caller.running("target-2") == 0);
            });
    section("an order goes on",
            [&]
            {
                const auto& call = run.caller.calls.at(2);
                EXPECT(!call->finished && !order->done());
                run.caller.end(call, net::call_outcome::complete);
                EXPECT(order->finishes == 1);
                EXPECT(run.is_idle());
            });
    section("no slot stays in use",
            [&]
            {
                run.advance(100ms);
                for (const target_config& target : run.config.targets)
                {
                    EXPECT(run.budgets.shares().in_use(
                               slots_budget(target.name)) == 0);
                }
            });
}

// Guards against an owner that grants an organisation's rate to other VMs
// because waiting or refused requests of this VM are not counted as demand.
Test(entry_rate, waiting_and_refused_requests_count_as_demand)
{
    data_path_fixture run;
    const budget_id rate(organisation_budget("acme"));
    std::vector<std::shared_ptr<fake_caller_exchange>> sent;
    const auto offer = [&]
    { sent.push_back(run.send(data_path_fixture::get("/maps/1"))); };
    run.after_step = [&]
    {
        for (int i = 0; i < 10; ++i)
        {
            offer();
        }
    };
    run.advance(3s); // At 1000 per second, 5 times the rate.
    run.after_step = nullptr;
    EXPECT(std::any_of(sent.begin(), sent.end(),
                       [](const auto& exchange) {
                           return exchange->answered("not-run",
                                                     "rate_exceeded");
                       }));
    const std::size_t waiting = run.path->queued();
    EXPECT(waiting > 0);
    run.path->tick();
    run.time.advance(renewal_interval);
    std::optional<report_entry> reported;
    for (const auto& report : run.budgets.shares().reports(run.time.now()))
    {
        for (const report_entry& entry : report.message.entries)
        {
            if (entry.budget == rate)
            {
                reported = entry;
            }
        }
    }
    EXPECT(reported.has_value());
    EXPECT(reported->queued > 0 && reported->queued <= waiting);
    EXPECT(reported->demand >
           300); // A second has passed since the last arrival.
}

// Guards against a burst above the limit: tokens taken for requests that wait
// for a slot were used later, in addition to a full bucket.
Test(entry_rate, no_token_is_kept_while_a_request_waits_for_a_slot)
{
    data_path_fixture run;
    run.set_target_plans(std::vector<target_plan>(6, {behaviour::manual}));
    for (int i = 0; i < 6; ++i)
    {
        (void)run.send(data_path_fixture::get("/maps/1"));
    }
    run.advance(200ms);
    EXPECT(run.caller.calls.size() == 6);
    const auto waiting =
        run.send(data_path_fixture::get("/maps/1", "key-zenith"));
    run.advance(200ms);
    EXPECT(!waiting->done());
    // Another request that finds the bucket full uses up the whole burst.
    const budget_id rate(organisation_budget("zenith"));
    while (run.budgets.take(rate, 1, run.time.now()).taken)
    {
    }
    run.caller.answer(run.caller.calls.at(0));
    EXPECT(run.caller.calls.size() == 6);
    run.advance(200ms);
    EXPECT(run.caller.calls.size() == 7);
    EXPECT(waiting->received_answer.status == 200);
}

// Guards against an order that runs without its body after its caller has left:
// the connection is closed, and its cancellation is still due.
Test(entry_queue, a_caller_that_has_left_gets_no_target)
{
    data_path_fixture run;
    run.set_target_plans(std::vector<target_plan>(6, {behaviour::manual}));
    const auto order = [&]
    { return run.send(data_path_fixture::order(run.permit())); };
    for (int i = 0; i < 4; ++i)
    {
        order();
    }
    run.advance(200ms);
    EXPECT(run.caller.calls.size() == 4);
    const auto left = order();
    const auto waiting = order();
    run.advance(200ms);
    EXPECT(run.caller.calls.size() == 4);
    left->close();
    run.caller.answer(run.caller.calls.at(0));
    run.advance(200ms);
    for (const auto& call : run.caller.calls)
    {
        EXPECT(call->request.body == "one order");
    }
    section("and does not hold up the others",
            [&]
            {
                left->cancel();
                run.advance(200ms);
                EXPECT(run.caller.calls.size() == 5);
                run.caller.answer(run.caller.calls.at(4));
                EXPECT(waiting->received_answer.status == 200);
                EXPECT(left->starts == 0);
            });
}

// Guards against slots that are never released: a request that is refused
// because the rate is used up must not take a slot.
Test(entry_rate, a_request_over_its_rate_takes_no_slot)
{
    data_path_fixture run;
    std::vector<std::shared_ptr<fake_caller_exchange>> sent;
    run.after_step = [&]
    {
        for (int i = 0; i < 10; ++i)
        {
            sent.push_back(run.send(data_path_fixture::get("/maps/1")));
        }
    };
    run.advance(3s); // At 1000 per second, 5 times the rate.
    run.after_step = nullptr;
    run.advance(5s);
    EXPECT(run.is_idle());
    EXPECT(std::any_of(sent.begin(), sent.end(),
                       [](const auto& exchange) {
                           return exchange->answered("not-run",
                                                     "rate_exceeded");
                       }));
    for (const target_config& target : run.config.targets)
    {
        EXPECT(run.budgets.shares().in_use(slots_budget(target.name)) == 0);
    }
}
