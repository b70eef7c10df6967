// How the data path uses its shares of slots and rates.
#include "entry_world.hpp"
#include "story.hpp"

#include <nlohmann/json.hpp>

using namespace entry_world;
using story::section;

// Guards against more requests at a target than it has slots: a slot whose
// lease lapsed in use may have been granted to another VM. Orders run on,
// because closing their connections would only make their outcome unknown.
Test(entry_slots, idempotent_requests_without_a_lease_are_ended)
{
    world run;
    run.plan_next(
        {{behaviour::by_hand}, {behaviour::by_hand}, {behaviour::by_hand}});
    const auto with_time = [](net::http_request request)
    {
        request.headers.add("siskinflow-timeout-ms", "20000");
        return request;
    };
    const auto map = run.send(with_time(world::get("/maps/1")));
    const auto other = run.send(with_time(world::get("/maps/2")));
    const auto order = run.send(with_time(world::order(run.permit())));
    run.advance(500ms);
    EXPECT(run.caller.calls.size() == 3);
    for (const auto& call : run.caller.calls)
    {
        run.caller.head(call, 200);
    }
    const auto overdue = [&](const std::string& target) {
        return run.budgets.shares().overdue(slots_budget(target),
                                            run.time.now());
    };
    section("a lease that runs ends nothing",
            [&]
            {
                run.advance(share_ttl);
                EXPECT(!run.caller.calls.at(0)->over);
                EXPECT(!run.caller.calls.at(1)->over);
            });
    section("idempotent requests end on the tick after the lapse",
            [&]
            {
                run.fresh = false;
                std::optional<time_point> lapsed;
                run.after_step = [&]
                {
                    const std::string target = run.caller.calls.at(0)->target;
                    if (!lapsed && overdue(target) > 0)
                    {
                        lapsed = run.time.now();
                    }
                    if (lapsed && run.time.now() - *lapsed >= step)
                    {
                        EXPECT(run.caller.calls.at(0)->over);
                        EXPECT(run.caller.calls.at(1)->over);
                    }
                };
                run.advance(share_ttl + 500ms);
                run.after_step = nullptr;
                EXPECT(lapsed.has_value());
                EXPECT(map->aborts == 1 && other->aborts == 1);
                EXPECT(run.caller.running("target-1") == 0);
                EXPECT(run.caller.running("target-2") == 0);
            });
    section("an order runs on",
            [&]
            {
                const auto& call = run.caller.calls.at(2);
                EXPECT(!call->over && !order->done());
                run.caller.end(call, net::call_outcome::complete);
                EXPECT(order->finishes == 1);
                EXPECT(run.is_idle());
            });
    section("no slot is lost",
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

// Guards against an owner that gives an organisation's rate to other VMs,
// because requests that wait or are refused here are not seen as demand.
Test(entry_rate, waiting_and_refused_requests_are_demand)
{
    world run;
    const budget_id rate(organisation_budget("acme"));
    std::vector<std::shared_ptr<fake_exchange>> sent;
    const auto offer = [&] { sent.push_back(run.send(world::get("/maps/1"))); };
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
                       [](const auto& each)
                       { return each->answered("not-run", "rate_exceeded"); }));
    const std::size_t waiting = run.path->queued();
    EXPECT(waiting > 0);
    run.path->tick();
    run.time.advance(renewal_interval);
    std::optional<report_entry> told;
    for (const auto& report : run.budgets.shares().reports(run.time.now()))
    {
        for (const report_entry& entry : report.message.entries)
        {
            if (entry.budget == rate)
            {
                told = entry;
            }
        }
    }
    EXPECT(told.has_value());
    EXPECT(told->queued > 0 && told->queued <= waiting);
    EXPECT(told->demand > 300); // A second has passed since the last arrival.
}

// Guards against a burst above the limit: tokens that were taken for requests
// that wait for a slot, and used in addition to a full bucket later.
Test(entry_rate, no_token_is_kept_while_a_request_waits_for_a_slot)
{
    world run;
    run.plan_next(std::vector<plan>(6, {behaviour::by_hand}));
    for (int i = 0; i < 6; ++i)
    {
        (void)run.send(world::get("/maps/1"));
    }
    run.advance(200ms);
    EXPECT(run.caller.calls.size() == 6);
    const auto waiting = run.send(world::get("/maps/1", "key-zenith"));
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
    EXPECT(waiting->seen.status == 200);
}

// Guards against slots that are lost: a request that is refused because the
// rate is used up must not take one.
Test(entry_rate, a_request_over_its_rate_takes_no_slot)
{
    world run;
    std::vector<std::shared_ptr<fake_exchange>> sent;
    run.after_step = [&]
    {
        for (int i = 0; i < 10; ++i)
        {
            sent.push_back(run.send(world::get("/maps/1")));
        }
    };
    run.advance(3s); // At 1000 per second, 5 times the rate.
    run.after_step = nullptr;
    run.advance(5s);
    EXPECT(run.is_idle());
    EXPECT(std::any_of(sent.begin(), sent.end(),
                       [](const auto& each)
                       { return each->answered("not-run", "rate_exceeded"); }));
    for (const target_config& target : run.config.targets)
    {
        EXPECT(run.budgets.shares().in_use(slots_budget(target.name)) == 0);
    }
}
