#include "gateway_world.hpp"
#include "raw_target.hpp"
#include "test_sections.hpp"

#include <atomic>
#include <map>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

std::string success(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nsiskinflow-request-id: " + id +
           "\r\nsiskinflow-response-signature: signed\r\n"
           "content-length: 2\r\n\r\nok";
}

/// A head without a body.
std::string head(const std::string& status_line, const std::string& fields)
{
    return "HTTP/1.1 " + status_line + "\r\n" + fields +
           "content-length: 0\r\n\r\n";
}

caller_request order(const std::string& id, const std::string& object)
{
    caller_request out;
    out.path = "/orders/1";
    out.method = "POST";
    out.object = object;
    out.id = id;
    return out;
}

} // namespace

// Guards against a request that is given up at a target that is slow but
// answers others (LOST), and against waiting on one that is silent.
Test(gateway_faults, an_overdue_attempt)
{
    gateway_world world(1, link_kind::proxied);
    std::map<std::string, standin::platform_target*> targets;
    for (const std::string id : {"m1", "m2"})
    {
        targets[id] = &world.add_target("maps", named(id));
    }
    world.configure();
    EXPECT(world.start_all());
    const std::string first = world.call(0).response.body.substr(10, 2);
    standin::platform_target& slow = *targets.at(first);
    caller_request look;
    section("a target that answers others keeps the request",
            [&]
            {
                slow.set_work(600ms);
                std::optional<net::fetch_result> others;
                caller_request before;
                before.id = "before";
                const auto early = world.send(0, before,
                                              [&](const net::fetch_result& got)
                                              { others = got; });
                world.run_for(300ms);
                slow.set_work(1500ms);
                look.id = "kept";
                EXPECT(world.call(0, look).response.status == 200);
                EXPECT(others.has_value());
                EXPECT(world.runs("kept") == 1);
            });
    section("a silent one loses it to another target, in time for the caller",
            [&]
            {
                slow.set_work(20ms);
                EXPECT(world.call(0).response.status == 200);
                world.target_link(first).cut(direction::to_client, true);
                look.id = "moved";
                EXPECT(world.call(0, look).response.status == 200);
                EXPECT(world.runs("moved") == 2);
            });
}

// Guards against a VM that goes on sending to a target that left during a cut
// from the store, long after the cut has ended (DRAIN).
Test(gateway_faults, a_target_leaves_during_a_cut)
{
    /// Within the time in which a VM is taken to be in touch again.
    constexpr std::chrono::milliseconds in_touch{4000};
    gateway_world world(1, link_kind::proxied);
    world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    world.store_link().silence_open();
    world.cut_store(true);
    world.run_for(3s);
    auto& second = world.add_target("maps", named("m2"));
    world.register_target("m1", "draining");
    world.run_for(1s);
    world.cut_store(false);
    EXPECT(world.until(
        [&]
        {
            return world.log(0).find(
                       "target=m1 service=maps change=draining") !=
                   std::string::npos;
        },
        in_touch));
    const std::size_t before = second.runs().size();
    EXPECT(world.call(0).response.status == 200);
    EXPECT(second.runs().size() == before + 1);
}

// Guards against work for callers that have left (GONE).
Test(gateway_faults, a_caller_leaves)
{
    constexpr std::chrono::milliseconds bound{500};
    gateway_world world(1);
    auto slow = named("m1");
    slow.work = 2s;
    auto& target = world.add_target("maps", slow);
    world.configure();
    EXPECT(world.start_all());
    caller_request look;
    look.id = "left";
    const auto running = world.send(0, look, [](const net::fetch_result&) {});
    EXPECT(world.until([&] { return world.runs("left") == 1; }));
    running->cancel();
    EXPECT(world.until([&] { return target.cancelled() == 1; }, bound));
}

// Guards against a change that a VM in touch with the store misses, because the
// answer to its watch was lost and no other call failed (CONFIG, DRAIN).
Test(gateway_faults, the_answer_to_a_watch_is_lost)
{
    /// Within the time in which a VM is taken to be in touch again, less the
    /// time of the calls below.
    constexpr std::chrono::milliseconds in_touch{3900};
    gateway_world world(2);
    auto& first = world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    const auto lose_watches = [&]
    {
        world.store().set_outage(standin::kv_outage::silent);
        world.store().set_outage(standin::kv_outage::none);
    };
    section("the operators' entries: a removed prefix is refused",
            [&]
            {
                world.run_for(1s);
                lose_watches();
                world.configure({{"prefix", "/plans/"}});
                world.run_for(in_touch);
                for (std::size_t vm = 0; vm < 2; ++vm)
                {
                    EXPECT(world.call(vm).response.status == 404);
                }
            });
    section("the entries of targets: a target that drains gets nothing",
            [&]
            {
                auto& second = world.add_target("maps", named("m2"));
                world.run_for(3s);
                lose_watches();
                world.register_target("m1", "draining");
                world.run_for(in_touch);
                const std::size_t before = first.runs().size();
                const std::size_t before_second = second.runs().size();
                caller_request look;
                look.path = "/plans/1";
                for (std::size_t vm = 0; vm < 2; ++vm)
                {
                    EXPECT(world.call(vm, look).response.status == 200);
                }
                EXPECT(first.runs().size() == before);
                EXPECT(second.runs().size() == before_second + 2);
            });
}

// Guards against a rejection that belongs to no request and is taken for the
// answer to an order, which then runs at a second target or is reported as not
// run (TWICE, REFUSED), and against a connection with an answer still due that
// serves another request.
Test(gateway_faults, a_rejection_without_an_id)
{
    // Each order has an object of its own, so that about half of them go to
    // each target: the order of the targets depends on their ports.
    constexpr int order_count = 200;
    std::atomic<int> interjections{0};
    raw_target first(
        [&](const raw_target::request& arrived)
        {
            if (arrived.number % 2 != 0)
            {
                return success(arrived.id);
            }
            ++interjections;
            return head("503 Service Unavailable",
                        "siskinflow-not-executed: 1\r\n") +
                   success(arrived.id);
        });
    gateway_world world(1);
    world.configure();
    EXPECT(world.start_all());
    world.add_entry("raw", "orders", first.port());
    world.add_target("orders", named("o2"));
    world.run_for(1500ms);
    int failed = 0;
    for (int i = 0; i < order_count; ++i)
    {
        const std::string id = "order-" + std::to_string(i);
        const auto got = world.call(0, order(id, std::to_string(i)));
        const int runs = first.runs(id) + world.runs(id);
        EXPECT(runs <= 1);
        EXPECT(runs == 0 || got.response.status == 200 ||
               got.response.status == 502);
        failed += got.response.status == 502 ? 1 : 0;
    }
    section("each order that met such bytes failed, and no other",
            [&]
            {
                EXPECT(interjections > 3);
                EXPECT(failed == interjections);
            });
}

// Guards against an order that is sent again, or reported as not run, because
// of its own answer: a status or field that looks like a rejection, but does
// not prove one (TWICE, REFUSED).
Test(gateway_faults, an_answer_that_proves_no_rejection)
{
    constexpr int orders_per_answer = 3;
    std::string status_line;
    std::string fields;
    raw_target target(
        [&](const raw_target::request& arrived)
        {
            std::string own = fields;
            const std::string instance = "{instance}";
            if (const auto at = own.find(instance); at != std::string::npos)
            {
                own.replace(at, instance.size(), arrived.instance);
            }
            return head(status_line,
                        own + "siskinflow-request-id: " + arrived.id + "\r\n");
        });
    gateway_world world(1);
    world.configure();
    EXPECT(world.start_all());
    int entries = 0;
    int number = 0;
    const auto is_not_believed = [&](std::string status, std::string other)
    {
        status_line = std::move(status);
        fields = std::move(other);
        // A new entry, because those before may be ejected by now. The order
        // finds no other target at first and others later.
        world.add_entry("raw-" + std::to_string(++entries), "orders",
                        target.port());
        world.run_for(1s);
        int reached = 0;
        for (int i = 0; i < orders_per_answer; ++i)
        {
            const std::string id = "order-" + std::to_string(++number);
            const auto got = world.call(0, order(id, std::to_string(i)));
            EXPECT(target.runs(id) <= 1);
            EXPECT(target.runs(id) == 0 || got.response.status == 502);
            reached += target.runs(id);
        }
        EXPECT(reached > 0);
    };
    section("421 without a field that says so",
            [&] { is_not_believed("421 Misdirected Request", ""); });
    section("421 of the target that it was meant for",
            [&]
            {
                is_not_believed("421 Misdirected Request",
                                "siskinflow-instance-id: {instance}\r\n");
            });
    section("503 without a field that says so",
            [&] { is_not_believed("503 Service Unavailable", ""); });
    section("503 that denies it",
            [&]
            {
                is_not_believed("503 Service Unavailable",
                                "siskinflow-not-executed: 0\r\n");
            });
    section("503 that is signed as the answer of a run",
            [&]
            {
                is_not_believed("503 Service Unavailable",
                                "siskinflow-not-executed: 1\r\n"
                                "siskinflow-response-signature: signed\r\n");
            });
}
