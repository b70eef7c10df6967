#include "gateway_world.hpp"
#include "test_sections.hpp"

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

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
