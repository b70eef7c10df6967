#include "gateway_world.hpp"
#include "test_sections.hpp"

#include <csignal>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// Default of `--policy_limit` and `--drain_limit`.
constexpr std::chrono::milliseconds limit{2500};
/// Time for which evacuations and targets are kept for writing them again.
constexpr std::chrono::milliseconds rewriting_time{10000};

std::uint64_t store_calls(gateway_world& world)
{
    std::uint64_t out = 0;
    for (const auto& [kind, count] : world.store().calls())
    {
        out += count;
    }
    return out;
}

int status_of(gateway_world& world, const std::string& path,
              const std::string& key = "key-of-acme")
{
    caller_request request;
    request.path = path;
    request.key = key;
    return world.call(0, request).response.status;
}

/// Writes that a copy taken before does not have, so that the revisions of the
/// VMs are ahead of those of the copy.
void write_ahead(gateway_world& world)
{
    constexpr int writes = 50;
    for (int i = 0; i < writes; ++i)
    {
        world.store().put("op/other", std::to_string(i));
    }
    world.run_for(1s);
}

} // namespace

// Guards against a VM that waits for revisions of an era that has ended: it
// served no later change, and called the store 13,000 times a second.
Test(store_eras, a_change_after_a_return_is_in_force_in_time)
{
    gateway_world world(1);
    world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    EXPECT(status_of(world, "/maps/1") == 200);
    world.store().take_copy();
    world.set_keys({"second-key"});
    world.configure();
    write_ahead(world);
    EXPECT(status_of(world, "/maps/1", "second-key") == 200);
    section(
        "a change written right after the return",
        [&]
        {
            const std::uint64_t before = store_calls(world);
            world.store().return_to_copy();
            world.configure({{"prefix", "/plans/"}});
            EXPECT(world.until(
                [&]
                { return status_of(world, "/plans/1", "second-key") == 200; },
                limit));
            // A VM alone makes some 4 calls a second.
            world.run_for(10s);
            EXPECT(store_calls(world) - before <= 80);
        });
    section("a withdrawn key stays withdrawn while the store has it again",
            [&]
            {
                write_ahead(world);
                world.store().return_to_copy();
                const auto end = world.caller().loop().now() + 4s;
                while (world.caller().loop().now() < end)
                {
                    EXPECT(status_of(world, "/plans/1") == 401);
                    EXPECT(status_of(world, "/plans/1", "second-key") == 200);
                    world.run_for(100ms);
                }
            });
    section(
        "two returns within a second, and a change after them",
        [&]
        {
            write_ahead(world);
            const std::uint64_t before = store_calls(world);
            world.store().return_to_copy();
            world.run_for(300ms);
            world.store().return_to_copy();
            world.configure({{"prefix", "/other/"}});
            EXPECT(world.until(
                [&]
                { return status_of(world, "/other/1", "second-key") == 200; },
                limit));
            world.run_for(5s);
            EXPECT(store_calls(world) - before <= 80);
        });
    section("the log and the metrics tell it",
            [&]
            {
                EXPECT(world.log(0).find("name=store_era_begun era=5") !=
                       std::string::npos);
                const auto page = world.caller().get(world.ports(0).metrics,
                                                     "/siskinflow/v1/metrics");
                EXPECT(page.response.body.find("siskinflow_store_era 5") !=
                       std::string::npos);
            });
}

// Guards against targets and failure domains that get requests again because
// the store returned to entries from before they were taken out of service,
// and against lookups that lose VMs.
Test(store_eras, what_was_taken_out_of_service_stays_out)
{
    constexpr std::size_t vms = 2;
    gateway_world world(vms);
    auto& leaving = world.add_target("maps", named("m1"));
    auto& staying = world.add_target("maps", named("m2"));
    world.configure();
    EXPECT(world.start_all());
    EXPECT(world.until([&] { return world.lookup(0).size() == vms; }));
    EXPECT(status_of(world, "/maps/1") == 200);
    world.store().take_copy();
    world.register_target("m1", "draining");
    world.run_for(limit);
    write_ahead(world);
    const auto arrived = leaving.arrivals();
    section("a draining target, and the entries of the VMs",
            [&]
            {
                world.store().return_to_copy();
                const auto end = world.caller().loop().now() + 5s;
                while (world.caller().loop().now() < end)
                {
                    EXPECT(status_of(world, "/maps/1") == 200);
                    EXPECT(world.lookup(0).size() == vms);
                    world.run_for(50ms);
                }
                EXPECT(leaving.arrivals() == arrived);
                EXPECT(world.store().count("siskinflow/vms/") == vms);
            });
    section("a target that leaves after the return",
            [&]
            {
                world.store().return_to_copy();
                world.register_target("m2", "draining");
                world.run_for(limit);
                const auto before = staying.arrivals();
                EXPECT(status_of(world, "/maps/1") == 503);
                EXPECT(staying.arrivals() == before);
            });
}

// Guards against an evacuation that ends because the store has lost it, before
// the operators can write it again, and against one that never ends.
Test(store_eras, an_evacuation_is_kept_until_it_can_be_written_again)
{
    gateway_world world(1);
    world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    EXPECT(status_of(world, "/maps/1") == 200);
    world.store().take_copy();
    world.store().put("op/evacuate/zone-0", "{}");
    write_ahead(world);
    EXPECT(status_of(world, "/maps/1") == 503);
    world.store().return_to_copy();
    section("kept",
            [&]
            {
                const auto end =
                    world.caller().loop().now() + rewriting_time - 1s;
                while (world.caller().loop().now() < end)
                {
                    EXPECT(status_of(world, "/maps/1") == 503);
                    world.run_for(200ms);
                }
            });
    section("ended",
            [&]
            {
                EXPECT(world.until(
                    [&] { return status_of(world, "/maps/1") == 200; }, 4s));
            });
    section("written again in time, it stays",
            [&]
            {
                world.store().put("op/evacuate/zone-0", "{}");
                write_ahead(world);
                world.store().return_to_copy();
                world.store().put("op/evacuate/zone-0", "{}");
                world.run_for(rewriting_time + 1s);
                EXPECT(status_of(world, "/maps/1") == 503);
            });
}

// Guards against a stand-in program that does not behave as the one in the
// tests' own process.
Test(store_eras, the_stand_in_returns_to_its_copy_on_signals)
{
    processes::http caller;
    const std::uint16_t port = processes::free_ports(1).front();
    const processes::child standin(
        "kv_standin", {"--listen=127.0.0.1:" + std::to_string(port)});
    const auto put = [&](const std::string& key)
    {
        const auto got = caller.post(port, "/kv-txn",
                                     R"({"puts":[{"key":")" + key +
                                         R"(","value":"eA=="}]})");
        return got.outcome == net::call_outcome::complete &&
               got.response.status == 200;
    };
    const auto shows = [&](const std::string& era, const std::string& keys)
    {
        const auto got = caller.get(port, "/kv-range?prefix=");
        const auto document =
            nlohmann::json::parse(got.response.body, nullptr, false);
        if (!document.is_object())
        {
            return false;
        }
        std::string found;
        for (const auto& entry :
             document.value("items", nlohmann::json::array()))
        {
            found += entry.value("key", "");
        }
        return got.response.headers.value("store-era") == era && found == keys;
    };
    EXPECT(caller.run_until([&] { return put("a"); }, 10s));
    standin.signal(SIGUSR2);
    // The signal may be handled after a request that is sent after it.
    caller.run_until([] { return false; }, 300ms);
    EXPECT(put("b"));
    EXPECT(shows("1", "ab"));
    standin.signal(SIGUSR1);
    EXPECT(caller.run_until([&] { return shows("2", "a"); }, 10s));
    const auto watch =
        caller.get(port, "/kv-watch?prefix=&after=1000&wait-ms=1000");
    EXPECT(watch.response.status == 410);
    EXPECT(watch.response.headers.value("store-era") == "2");
}
