#include "test_sections.hpp"
#include <siskinflow/gateway/order_histories.hpp>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

const net::answer_position own_answer{1, 5000, 1, false};

void run_once(attempt_history& history)
{
    history.on_started(*history.may_send(false));
    history.on_ended(attempt_result::answered, true, own_answer);
}

} // namespace

// Guards against an order that runs twice, or is reported as not run although
// it may have, when several requests bear its id (TWICE, REFUSED).
Test(gateway_order_histories, requests_of_one_id_share_their_attempts)
{
    order_histories orders;
    time_point now{1h};
    const auto first = orders.open("a", now);
    section("while an attempt is in progress, nothing is sent or reported",
            [&]
            {
                first->on_started(*first->may_send(false));
                const auto second = orders.open("a", now);
                EXPECT(!second->may_send(false));
                EXPECT(!second->report_not_run());
            });
    section("after it, if it may have run",
            [&]
            {
                first->on_ended(attempt_result::broken, true, {});
                const auto second = orders.open("a", now + 50s);
                EXPECT(!second->may_send(false));
                EXPECT(!second->report_not_run());
            });
    section("another id is free",
            [&] { EXPECT(orders.open("b", now)->may_send(false)); });
    section("nothing is sent after a report that it has not run",
            [&]
            {
                const auto waiting = orders.open("c", now);
                EXPECT(orders.open("c", now)->report_not_run());
                EXPECT(!waiting->may_send(false));
                EXPECT(waiting->report_not_run());
            });
    section("a caller that returns after the report starts anew",
            [&] { EXPECT(orders.open("c", now)->may_send(false)); });
}

// Guards against memory that grows with the orders of a day, and against an
// order that is forgotten while its caller may still send it again.
Test(gateway_order_histories, forgets_old_ids_only)
{
    constexpr int order_count = 100000;
    order_histories orders;
    time_point now{1h};
    section("known for a minute",
            [&]
            {
                run_once(*orders.open("a", now));
                EXPECT(!orders.open("a", now + 59s)->may_send(false));
            });
    section("a bounded number is known",
            [&]
            {
                for (int i = 0; i < order_count; ++i)
                {
                    orders.open(std::to_string(i), now);
                }
                EXPECT(orders.size() <= 40000);
            });
}

// Guards against a proof that rests on an answer of unknown origin, or on a
// connection that had carried the id before (TWICE, REFUSED).
Test(gateway_order_histories, a_proof_needs_a_conclusive_position)
{
    const auto proves = [](const net::answer_position& position)
    {
        attempt_history history;
        history.on_started(*history.may_send(false));
        history.on_ended(attempt_result::rejected, true, position);
        return history.not_run().has_value() &&
               history.may_send(false).has_value();
    };
    section("its own", [&] { EXPECT(proves(own_answer)); });
    section("none", [&] { EXPECT(!proves({})); });
    section("on a connection that has carried the id before",
            [&] {
                EXPECT(!proves({1, 5000, 2, true}));
            });
}
