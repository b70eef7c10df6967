#include "copies_fleet.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using namespace copies;
using test_sections::section;

// An additional answer of a target may be the copy of a refusal that it sent
// before on the same connection.

// Guards against an order that the gateway sends to several entries of one
// address, twice over one connection, where a copy of the first refusal passes
// for the answer to the later send (TWICE, REFUSED).
Test(gateway_copies, entries_share_an_address)
{
    constexpr int order_count = 8;
    sent_refusals refusals;
    raw_fleet fleet(1,
                    [&](const raw_target::request& arrived) -> raw_target::reply
                    {
                        if (refusals.on_connection(arrived))
                        {
                            return refusal(arrived.id) + success(arrived.id);
                        }
                        refusals.add(arrived);
                        return {refusal(arrived.id), false};
                    });
    const auto none_is_broken = [&]
    {
        fleet.world.run_for(500ms);
        EXPECT(fleet.broken_orders(order_count, ejection_time) == none_broken);
    };
    section("three entries, of which the last is refused by a copy",
            [&]
            {
                fleet.add_entry("restarted", 0);
                fleet.add_entry("restarted-again", 0);
                none_is_broken();
            });
    section("four entries, of which the last gets what has run",
            [&]
            {
                fleet.add_entry("fourth", 0);
                none_is_broken();
            });
    EXPECT(refusals.count() > 3);
    EXPECT(fleet.repeated_on_connection() == 0);
}

// Guards against an order that its caller sends again under its id after a
// refusal, and that is refused because of a copy of that refusal (REFUSED).
Test(gateway_copies, a_caller_repeats_an_id)
{
    constexpr int order_count = 6;
    sent_refusals refusals;
    raw_fleet fleet(1,
                    [&](const raw_target::request& arrived) -> raw_target::reply
                    {
                        if (refusals.on_connection(arrived))
                        {
                            return refusal(arrived.id) + success(arrived.id);
                        }
                        if (refusals.anywhere(arrived))
                        {
                            return success(arrived.id);
                        }
                        refusals.add(arrived);
                        return {refusal(arrived.id), false};
                    });
    EXPECT(fleet.broken_orders(order_count, ejection_time, 2) == none_broken);
    EXPECT(refusals.count() > 3);
    EXPECT(fleet.repeated_on_connection() == 0);
}

// Guards against the beginning of a copied refusal that runs into the head of
// the next answer: its fields prove nothing about the order whose id the rest
// of the head bears (TWICE, REFUSED).
Test(gateway_copies, a_cut_copy_in_front_of_the_answer_to_another_order)
{
    constexpr int order_count = 60;
    sent_refusals refusals;
    raw_fleet fleet(8,
                    [&](const raw_target::request& arrived) -> raw_target::reply
                    {
                        if (refusals.any_on_connection(arrived))
                        {
                            return cut_refusal() + failure(arrived.id);
                        }
                        if (arrived.number == 1)
                        {
                            return success(arrived.id);
                        }
                        refusals.add(arrived);
                        return {refusal(arrived.id), false};
                    });
    EXPECT(fleet.broken_orders(order_count, 50ms) == none_broken);
    EXPECT(refusals.count() > 3);
}

// Guards against a copied refusal of which the first part arrives with the
// refusal itself and the rest in front of the next answer.
Test(gateway_copies, a_copy_begins_behind_the_refusal)
{
    constexpr int order_count = 60;
    sent_refusals refusals;
    raw_fleet fleet(
        8,
        [&](const raw_target::request& arrived) -> raw_target::reply
        {
            if (refusals.any_on_connection(arrived))
            {
                return cut_refusal().substr(5) + failure(arrived.id);
            }
            if (arrived.number == 1)
            {
                return success(arrived.id);
            }
            refusals.add(arrived);
            return {refusal(arrived.id) + cut_refusal().substr(0, 5), false};
        });
    EXPECT(fleet.broken_orders(order_count, 50ms) == none_broken);
    EXPECT(refusals.count() > 3);
}

// Guards against an order that runs twice, or is reported as not run while it
// runs, because its caller sends it again under its id (TWICE, REFUSED).
Test(gateway_copies, a_caller_sends_an_order_twice)
{
    gateway_world world(1);
    auto slow = named("o1");
    slow.work = 400ms;
    world.add_target("orders", slow);
    world.add_target("orders", named("o2"));
    world.configure();
    EXPECT(world.start_all());
    const auto is_served_once =
        [&](const std::string& id, std::chrono::milliseconds gap)
    {
        std::vector<int> statuses;
        const auto note = [&](const net::fetch_result& got)
        { statuses.push_back(got.response.status); };
        const auto first = world.send(0, order(id), note);
        world.run_for(gap);
        const auto second = world.send(0, order(id), note);
        EXPECT(world.until([&] { return statuses.size() == 2; }));
        EXPECT(world.runs(id) == 1);
        std::sort(statuses.begin(), statuses.end());
        EXPECT(statuses == std::vector({200, 502}));
    };
    section("at once", [&] { is_served_once("at-once", 0ms); });
    section("while it runs", [&] { is_served_once("running", 10ms); });
    section("after its answer", [&] { is_served_once("answered", 700ms); });
}
