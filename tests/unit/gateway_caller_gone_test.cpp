#include "request_flow_world.hpp"
#include "test_sections.hpp"

#include <memory>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using request_flow_world::recorded_exchange;
using test_sections::section;

namespace
{

using exchange = std::shared_ptr<recorded_exchange>;

exchange send_order(request_flow_world::world& world, const std::string& id)
{
    net::http_request request;
    request.method = "POST";
    request.path = "/orders/1";
    request.headers = {{"host", "site.example"},
                       {"siskinflow-request-id", id},
                       {"siskinflow-request-deadline-ms", "2000"}};
    request.body = "the order";
    auto out = std::make_shared<recorded_exchange>(std::move(request));
    std::make_shared<gateway::request_flow>(world.state(), out)->start();
    return out;
}

net::http_headers signed_answer(const request_flow_world::played_call& call)
{
    return {{"siskinflow-request-id",
             std::string(call.request.headers.value("siskinflow-request-id"))},
            {"siskinflow-response-signature", "signed"}};
}

void answer_all(request_flow_world::world& world)
{
    for (std::size_t i = 0; i < world.caller.calls.size(); ++i)
    {
        const auto call = world.caller.calls[i];
        if (call->open())
        {
            call->answer(200, signed_answer(*call),
                         net::call_outcome::complete);
        }
    }
}

/// Sends orders until one waits, at a target that has answered quickly.
exchange order_that_waits(request_flow_world::world& world)
{
    for (int round = 0; round < 20; ++round)
    {
        for (int i = 0; i < 6; ++i)
        {
            send_order(world,
                       "a" + std::to_string(round) + "-" + std::to_string(i));
        }
        world.time.advance(40ms);
        answer_all(world);
        world.run();
    }
    for (int i = 0; i < 40; ++i)
    {
        const std::size_t calls = world.caller.calls.size();
        auto out = send_order(world, "b" + std::to_string(i));
        if (world.caller.calls.size() == calls)
        {
            return out;
        }
    }
    return nullptr;
}

/// Calls that were begun after the first `count` ones.
std::size_t calls_after(const request_flow_world::world& world,
                        std::size_t count)
{
    return world.caller.calls.size() - count;
}

} // namespace

// Guards against an order that runs without its body after its caller has left
// (UNASKED): the connection is closed, and its cancellation is still due in the
// same pass of the loop.
Test(gateway_caller_gone, sends_nothing_for_a_caller_that_has_left)
{
    request_flow_world::world world;
    section("while it waits for room",
            [&]
            {
                world.begin(false, 1, true);
                const auto waiting = order_that_waits(world);
                EXPECT(waiting != nullptr && waiting->answers == 0);
                const std::size_t calls = world.caller.calls.size();
                waiting->close();
                answer_all(world);
                EXPECT(calls_after(world, calls) == 0);
                waiting->cancel();
                world.run();
                EXPECT(calls_after(world, calls) == 0);
                EXPECT(waiting->answers == 0);
            });
    section("after its target could not be reached",
            [&]
            {
                world.begin(false, 2, false);
                const auto order = send_order(world, "unreachable");
                const std::size_t calls = world.caller.calls.size();
                order->close();
                world.caller.calls.back()->end(
                    net::call_outcome::connect_failed);
                EXPECT(calls_after(world, calls) == 0);
            });
    section("after its target has refused it",
            [&]
            {
                world.begin(false, 2, true);
                const auto order = send_order(world, "refused");
                const std::size_t calls = world.caller.calls.size();
                const auto call = world.caller.calls.back();
                order->close();
                net::http_headers headers = signed_answer(*call);
                headers.add("siskinflow-not-executed", "1");
                call->answer(503, headers, net::call_outcome::complete);
                EXPECT(calls_after(world, calls) == 0);
            });
    section("after its target has said that it leaves",
            [&]
            {
                world.begin(false, 2, false);
                const auto order = send_order(world, "withdrawn");
                const std::size_t calls = world.caller.calls.size();
                const auto call = world.caller.calls.back();
                order->close();
                world.make_leave(call->target());
                EXPECT(!call->open());
                EXPECT(calls_after(world, calls) == 0);
            });
    section("and ends it once",
            [&]
            {
                world.begin(false, 1, true);
                const auto order = send_order(world, "answered late");
                order->close();
                answer_all(world);
                EXPECT(order->answers == 0);
                order->cancel();
                world.run();
                EXPECT(world.state().in_progress.empty());
            });
}
