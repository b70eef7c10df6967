#include "kv_service.hpp"
#include "kv_store.hpp"
#include "store_records.hpp"
#include "story.hpp"
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/store/lease_keeper.hpp>
#include <siskinflow/store/store_mirror.hpp>

#include <rapidcheck.h>

#include <map>
#include <optional>

using namespace siskinflow;
using namespace std::chrono_literals;
using story::section;

namespace
{

/// Mirrors into a map.
class map_listener final : public mirror_listener
{
public:
    void on_change(const store_change& change) override
    {
        if (change.removed)
        {
            values.erase(change.key);
        }
        else
        {
            values[change.key] = change.value;
        }
    }
    void on_listed() override
    {
        ++listings;
    }
    void on_unavailable(const error& /*reason*/) override
    {
        ++outages;
    }
    void on_available(duration /*down*/) override
    {
        ++recoveries;
    }

    std::map<std::string, std::string> values;
    int listings = 0;
    int outages = 0;
    int recoveries = 0;
};

/// The store stand-in behind HTTP, with its client.
struct served_store
{
    served_store()
        : service(time),
          server(std::move(
              net::http_server::listen(loop, {"127.0.0.1", 0}, {},
                                       [this](const net::exchange_ptr& call)
                                       { service.handle(call); })
                  .value())),
          caller(loop), client(caller, {"127.0.0.1", server->port()}),
          ticking(loop.every(20ms, [this] { service.tick(); }))
    {
    }

    bool until(const std::function<bool()>& condition)
    {
        const time_point end = time.now() + 8s;
        while (!condition() && time.now() < end)
        {
            loop.run_once(5ms);
        }
        return condition();
    }

    boot_clock time;
    net::event_loop loop{time};
    standin::kv_service service;
    std::unique_ptr<net::http_server> server;
    net::http_client caller;
    platform::kv_store client;
    std::shared_ptr<void> ticking;
};

std::string target_entry()
{
    return R"({"service":"maps","address":"10.0.0.1:80","zone":"z1",)"
           R"("version":"v1","max-concurrency":6,"state":"ready",)"
           R"("warmup-left":"1.5s","sequence":4,"born":17})";
}

std::string config_entry()
{
    return R"({"version":"r7","routes":{"columns":["name","host","prefix",)"
           R"("kind","timeout","target-latency","priority",)"
           R"("weighted-backends","max-attempts","auth-exempt",)"
           R"("session-affinity","allowed-regions","service"],"rows":[)"
           R"(["r","h","/a/","idempotent","2000ms","0.5s",2,)"
           R"([{"service":"x","weight":90},{"service":"y","weight":10}],)"
           R"(2,false,true,[],null],["s","h","/b/","non_idempotent","2s",)"
           R"("500ms",0,null,1,true,false,["north"],"x"]]},"services":{)"
           R"("columns":["name","health-path","max-connections","warmup",)"
           R"("warmup-per-s"],"rows":[["x","/health",9,"3s",7.4]]},"tenants":)"
           R"({"columns":["name","api-keys","priority","rate-per-s","burst",)"
           R"("allowed-regions"],"rows":[["t",["k1"],1,5,6,null]]},)"
           R"("limits":{"max-header-bytes":100,"idle-timeout":"15000ms"}})";
}

} // namespace

// Guards against a copy of the store that misses changes over pages, outages,
// dropped history or a watch that the store forgot.
Test(gateway_store, mirrors_a_prefix)
{
    served_store world;
    for (int i = 0; i < 120; ++i)
    {
        world.service.put("a/" + std::to_string(i), std::to_string(i));
    }
    world.service.put("b/1", "other");
    map_listener seen;
    store_mirror mirror(world.client, world.loop.timers(), world.time, "a/",
                        {20ms}, seen);
    mirror.start();
    section("a listing of several pages",
            [&]
            {
                EXPECT(world.until([&] { return seen.listings == 1; }));
                EXPECT(seen.values.size() == 120);
            });
    section("changes by watch",
            [&]
            {
                world.service.put("a/7", "changed");
                world.service.remove("a/8");
                EXPECT(world.until([&] { return seen.values.size() == 119; }));
                EXPECT(seen.values["a/7"] == "changed");
            });
    section("dropped history: the difference of a new listing",
            [&]
            {
                world.service.remove("a/9");
                world.service.compact();
                EXPECT(world.until([&] { return seen.values.size() == 118; }));
            });
    section("an outage is told once, and changes of its time follow",
            [&]
            {
                world.service.set_outage(standin::kv_outage::refuse);
                EXPECT(world.until([&] { return seen.outages == 1; }));
                world.service.set_outage(standin::kv_outage::none);
                world.service.put("a/new", "1");
                EXPECT(world.until(
                    [&] { return seen.values.count("a/new") == 1; }));
                EXPECT(seen.recoveries == 1);
            });
    section("a watch that the store forgot",
            [&]
            {
                world.service.set_outage(standin::kv_outage::silent);
                world.service.set_outage(standin::kv_outage::none);
                world.service.put("a/late", "1");
                mirror.refresh();
                EXPECT(world.until(
                    [&] { return seen.values.count("a/late") == 1; }));
            });
}

// Guards against a copy that stays old after an outage because the last call of
// the outage was swallowed and no other one is made.
Test(gateway_store, asks_anew_after_an_outage)
{
    served_store world;
    world.service.put("a/1", "old");
    map_listener seen;
    store_mirror mirror(world.client, world.loop.timers(), world.time, "a/",
                        {20ms}, seen);
    mirror.start();
    EXPECT(world.until([&] { return seen.listings == 1; }));
    world.service.set_outage(standin::kv_outage::refuse);
    EXPECT(world.until([&] { return seen.outages == 1; }));
    world.service.set_outage(standin::kv_outage::silent);
    // Longer than the longest time between two tries.
    const time_point end = world.time.now() + 1200ms;
    EXPECT(world.until([&] { return world.time.now() >= end; }));
    world.service.set_outage(standin::kv_outage::none);
    world.service.put("a/1", "new");
    mirror.refresh();
    EXPECT(world.until([&] { return seen.values["a/1"] == "new"; }));
    EXPECT(seen.recoveries == 1);
}

// Guards against a VM whose entry is missing although it lives, or present
// after it has left.
Test(gateway_store, keeps_an_entry_under_a_lease)
{
    served_store world;
    lease_keeper keeper(world.client, world.loop.timers(), world.time, "vms/a",
                        "here", 600ms);
    int recovered = 0;
    keeper.on_recovered([&] { ++recovered; });
    int lost = 0;
    keeper.on_lost([&](const error&) { ++lost; });
    keeper.start();
    const auto present = [&] { return world.service.count("vms/") == 1; };
    EXPECT(world.until(present));
    section("it outlives the lease's time by renewals",
            [&]
            {
                const time_point end = world.time.now() + 1500ms;
                EXPECT(world.until([&] { return world.time.now() >= end; }));
                EXPECT(present());
            });
    section("it comes back after an outage that ended the lease",
            [&]
            {
                world.service.set_outage(standin::kv_outage::refuse);
                const time_point end = world.time.now() + 1s;
                EXPECT(world.until([&] { return world.time.now() >= end; }));
                world.service.set_outage(standin::kv_outage::none);
                world.service.tick();
                EXPECT(world.until(present));
                EXPECT(world.until([&] { return recovered == 1; }));
                EXPECT(lost == 1);
            });
    section("it goes at a planned stop",
            [&]
            {
                keeper.stop();
                EXPECT(world.until([&] { return !present(); }));
            });
}

// Guards against a field of the platform that is taken for another one.
Test(gateway_records, decodes_entries)
{
    const platform::store_records records;
    const auto target =
        records.read_target({"servers/i-1", target_entry(), 5, false});
    EXPECT(target.has_value());
    EXPECT(target.value().id == "i-1" && target.value().slots == 6);
    EXPECT(target.value().warm_up_left == 1500ms);
    EXPECT(target.value().started_at_ms == 17);
    const auto read =
        records.read_operator({"op/config", config_entry(), 5, false});
    EXPECT(read.has_value());
    const auto& policy = std::get<gateway::policy>(read.value());
    EXPECT(policy.version == 7 && policy.keys_required);
    EXPECT(policy.routes[0].services[0].weight == 90);
    EXPECT(policy.routes[0].idempotent && policy.routes[0].objective == 500ms);
    EXPECT(!policy.routes[1].idempotent && policy.routes[1].open);
    EXPECT(policy.routes[1].allowed_regions.front() == "north");
    EXPECT(policy.services[0].warm_up_rate_per_s == 7.4);
    EXPECT(policy.limits.max_header_bytes == 100);
    const auto moved =
        records.read_operator({"op/evacuate/z1", "e30=", 6, false});
    EXPECT(std::get<gateway::evacuation>(moved.value()).failure_domain == "z1");
}

// Guards against bytes of another writer that end the process.
Test(gateway_records, survives_any_bytes)
{
    const platform::store_records records;
    cr_assert(rc::check(
        "changed entries",
        [&]
        {
            std::string text =
                *rc::gen::arbitrary<bool>() ? config_entry() : target_entry();
            const auto changes = *rc::gen::inRange(1, 6);
            for (int i = 0; i < changes; ++i)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                text[at] = *rc::gen::arbitrary<char>();
            }
            (void)records.read_operator({"op/config", text, 1, false});
            (void)records.read_target({"servers/x", text, 1, false});
        }));
    cr_assert(rc::check(
        "any bytes",
        [&](const std::string& text)
        {
            (void)records.read_operator({"op/config", text, 1, false});
            (void)records.read_target({"servers/x", text, 1, false});
        }));
}
