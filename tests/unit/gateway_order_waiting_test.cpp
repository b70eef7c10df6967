#include "request_flow_world.hpp"
#include "test_sections.hpp"

using namespace siskinflow;
using namespace std::chrono_literals;

namespace
{

std::shared_ptr<request_flow_world::recorded_exchange>
send_order(request_flow_world::world& world, const char* id,
           const char* timeout_ms)
{
    net::http_request request;
    request.method = "POST";
    request.path = "/orders/1";
    request.headers = {{"host", "site.example"},
                       {"siskinflow-request-id", id},
                       {"siskinflow-request-deadline-ms", timeout_ms}};
    auto out = std::make_shared<request_flow_world::recorded_exchange>(
        std::move(request));
    std::make_shared<gateway::request_flow>(world.state(), out)->start();
    return out;
}

} // namespace

// Guards against a promise to a waiting request after a later request of its
// id has run (REFUSED).
Test(gateway_order_waiting, promises_nothing_after_a_later_run)
{
    request_flow_world::world world;
    world.begin(false, 1, true);
    const auto finish_all = [&]
    {
        for (std::size_t i = 0; i < world.caller.calls.size(); ++i)
        {
            const auto call = world.caller.calls[i];
            if (call->open())
            {
                call->answer(200,
                             {{"siskinflow-request-id",
                               std::string(call->request.headers.value(
                                   "siskinflow-request-id"))},
                              {"siskinflow-response-signature", "signed"}},
                             net::call_outcome::complete);
            }
        }
    };
    // Teaches the queue how fast room becomes free.
    for (int round = 0; round < 20; ++round)
    {
        for (int i = 0; i < 6; ++i)
        {
            const std::string id =
                "a" + std::to_string(round) + "-" + std::to_string(i);
            send_order(world, id.c_str(), "2000");
        }
        world.time.advance(40ms);
        finish_all();
        world.run();
    }
    for (int i = 0; i < 40; ++i)
    {
        const std::size_t calls = world.caller.calls.size();
        const auto filler =
            send_order(world, ("b" + std::to_string(i)).c_str(), "2000");
        if (world.caller.calls.size() == calls)
        {
            filler->leave();
            break;
        }
    }
    const auto first = send_order(world, "same", "2000");
    const auto second = send_order(world, "same", "20");
    cr_assert(first->answers == 0 && second->status == 503);
    finish_all();
    const auto third = send_order(world, "same", "2000");
    finish_all();
    for (int i = 0; i < 300 && first->answers == 0; ++i)
    {
        world.time.advance(10ms);
        world.run();
    }
    cr_expect(!(third->status == 200 && first->status == 503));
}
