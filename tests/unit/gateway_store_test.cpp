#include "kv_service.hpp"
#include "kv_store.hpp"
#include "map_listener.hpp"
#include "store_records.hpp"
#include "test_sections.hpp"
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/store/lease_keeper.hpp>
#include <siskinflow/store/store_mirror.hpp>

#include <rapidcheck.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// The store stand-in served over HTTP, with a client.
struct store_fixture
{
    store_fixture()
        : service(time),
          server(std::move(
              net::http_server::listen(loop, {"127.0.0.1", 0}, {},
                                       [this](const net::exchange_ptr& call)
                                       { service.handle(call); })
                  .value())),
          caller(loop), client(caller, {"127.0.0.1", server->port()}),
          tick_timer(loop.every(20ms, [this] { service.tick(); }))
    {
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const time_point end = time.now() + 8s;
        while (!condition() && time.now() < end)
        {
            loop.run_once(5ms);
        }
        return condition();
    }

    void run_for(duration length)
    {
        const time_point end = time.now() + length;
        run_until([&] { return time.now() >= end; });
    }

    boot_clock time;
    net::event_loop loop{time};
    standin::kv_service service;
    std::unique_ptr<net::http_server> server;
    net::http_client caller;
    platform::kv_store client;
    std::shared_ptr<void> tick_timer;
};

store_position position_of(const store_fixture& fixture)
{
    return {fixture.service.era(), fixture.service.revision()};
}

/// Holds the calls of a mirror until the test answers them.
struct held_reader final : prefix_reader
{
    void list(std::string /*prefix*/, duration /*timeout*/,
              callback<store_page> done) override
    {
        listings.push_back(std::move(done));
    }
    void await_changes(std::string /*prefix*/, store_position /*after*/,
                       duration /*wait*/, callback<store_page> done) override
    {
        watches.push_back(std::move(done));
    }
    void answer_listing(std::size_t index, result<store_page> page)
    {
        listings.at(index)(std::move(page));
    }
    void answer_watch(std::size_t index, result<store_page> page)
    {
        watches.at(index)(std::move(page));
    }

    std::deque<callback<store_page>> listings;
    std::deque<callback<store_page>> watches;
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

// Guards against a mirror that misses changes because of listing pages,
// outages, compacted history or a watch that the store has lost.
Test(gateway_store, mirrors_a_prefix)
{
    store_fixture fixture;
    for (int i = 0; i < 120; ++i)
    {
        fixture.service.put("a/" + std::to_string(i), std::to_string(i));
    }
    fixture.service.put("b/1", "other");
    map_listener listener;
    store_mirror mirror(fixture.client, fixture.loop.timers(), fixture.time,
                        "a/", {20ms}, listener);
    mirror.start();
    section("a listing of several pages",
            [&]
            {
                EXPECT(
                    fixture.run_until([&] { return listener.listings == 1; }));
                EXPECT(listener.values.size() == 120);
            });
    section("changes by watch",
            [&]
            {
                fixture.service.put("a/7", "changed");
                fixture.service.remove("a/8");
                EXPECT(fixture.run_until(
                    [&] { return listener.values.size() == 119; }));
                EXPECT(listener.values["a/7"] == "changed");
            });
    section("compacted history: changes are found by a new listing",
            [&]
            {
                fixture.service.remove("a/9");
                fixture.service.compact();
                EXPECT(fixture.run_until(
                    [&] { return listener.values.size() == 118; }));
            });
    section("an outage is reported once, and its changes are mirrored later",
            [&]
            {
                fixture.service.set_outage(standin::kv_outage::refuse);
                EXPECT(
                    fixture.run_until([&] { return listener.outages == 1; }));
                fixture.service.set_outage(standin::kv_outage::none);
                fixture.service.put("a/new", "1");
                EXPECT(fixture.run_until(
                    [&] { return listener.values.count("a/new") == 1; }));
                EXPECT(listener.recoveries == 1);
            });
    section("a watch that the store has lost",
            [&]
            {
                fixture.service.set_outage(standin::kv_outage::silent);
                fixture.service.set_outage(standin::kv_outage::none);
                fixture.service.put("a/late", "1");
                mirror.refresh();
                EXPECT(fixture.run_until(
                    [&] { return listener.values.count("a/late") == 1; }));
            });
}

// Guards against a mirror that stays outdated after an outage because its last
// call during the outage got no answer and no further call is made.
Test(gateway_store, requests_changes_again_after_an_outage)
{
    store_fixture fixture;
    fixture.service.put("a/1", "old");
    map_listener listener;
    store_mirror mirror(fixture.client, fixture.loop.timers(), fixture.time,
                        "a/", {20ms}, listener);
    mirror.start();
    EXPECT(fixture.run_until([&] { return listener.listings == 1; }));
    fixture.service.set_outage(standin::kv_outage::refuse);
    EXPECT(fixture.run_until([&] { return listener.outages == 1; }));
    fixture.service.set_outage(standin::kv_outage::silent);
    // Longer than the longest time between two attempts.
    const time_point end = fixture.time.now() + 1200ms;
    EXPECT(fixture.run_until([&] { return fixture.time.now() >= end; }));
    fixture.service.set_outage(standin::kv_outage::none);
    fixture.service.put("a/1", "new");
    mirror.refresh();
    EXPECT(fixture.run_until([&] { return listener.values["a/1"] == "new"; }));
    EXPECT(listener.recoveries == 1);
}

// Guards against a change that a mirror never sees, because the store has lost
// the answer to its watch and nothing else fails.
Test(gateway_store, replaces_a_watch_whose_answer_was_lost)
{
    constexpr duration limit = 1200ms;
    store_fixture fixture;
    fixture.service.put("a/1", "old");
    map_listener listener;
    mirror_options options{20ms};
    options.max_unconfirmed_time = limit;
    store_mirror mirror(fixture.client, fixture.loop.timers(), fixture.time,
                        "a/", options, listener);
    mirror.start();
    EXPECT(fixture.run_until([&] { return listener.listings == 1; }));
    const auto lose_watch = [&]
    {
        fixture.service.set_outage(standin::kv_outage::silent);
        fixture.service.set_outage(standin::kv_outage::none);
    };
    const auto seen_within = [&](const std::string& value, duration time)
    {
        const time_point end = fixture.time.now() + time;
        fixture.run_until(
            [&] {
                return listener.values["a/1"] == value ||
                       fixture.time.now() >= end;
            });
        return listener.values["a/1"] == value;
    };
    section("no other VM is heard: within the limit",
            [&]
            {
                fixture.run_for(100ms);
                lose_watch();
                fixture.service.put("a/1", "second");
                EXPECT(seen_within("second", limit + 200ms));
            });
    section("another VM knows a later change: soon",
            [&]
            {
                fixture.run_for(400ms);
                lose_watch();
                fixture.service.put("a/1", "third");
                const auto confirming = fixture.loop.every(
                    50ms,
                    [&] {
                        mirror.on_peer_confirmation(
                            {position_of(fixture), fixture.time.now()});
                    });
                EXPECT(seen_within("third", limit / 2));
            });
    section("a later revision without a change costs few calls",
            [&]
            {
                fixture.service.put("b/1", "other prefix");
                const mirror_confirmation later{position_of(fixture), {}};
                const auto before = fixture.service.calls().at("/kv-watch");
                const auto telling = fixture.loop.every(
                    50ms, [&] { mirror.on_peer_confirmation(later); });
                fixture.run_for(2 * limit);
                // Watches that end by themselves, and one that catches up.
                EXPECT(fixture.service.calls().at("/kv-watch") <= before + 6);
            });
    section("confirmations of other VMs keep a quiet watch waiting",
            [&]
            {
                EXPECT(mirror.confirmed());
                const auto confirm = [&] {
                    mirror.on_peer_confirmation(
                        {position_of(fixture), fixture.time.now()});
                };
                confirm();
                fixture.run_for(limit); // The short watch ends.
                const auto confirming = fixture.loop.every(100ms, confirm);
                confirm();
                fixture.run_for(limit);
                const auto before = fixture.service.calls().at("/kv-watch");
                fixture.run_for(3 * limit);
                EXPECT(fixture.service.calls().at("/kv-watch") == before);
            });
    section("a change that was lost meanwhile is found when they end",
            [&]
            {
                lose_watch();
                fixture.service.put("a/1", "fourth");
                EXPECT(seen_within("fourth", limit + 200ms));
            });
    section("a VM that confirms for others tells each confirmation",
            [&]
            {
                std::vector<mirror_confirmation> told;
                mirror.on_confirmation([&](const mirror_confirmation& value)
                                       { told.push_back(value); });
                mirror.confirm_for_others(true);
                fixture.run_for(3 * limit);
                EXPECT(told.size() >= 5);
                EXPECT(told.back().last_change == position_of(fixture));
                EXPECT(fixture.time.now() - told.back().at <= limit);
            });
}

// Guards against a listing that arrives late and takes back what a later
// listing or a watch has brought: a mirror has one call in progress.
Test(gateway_store, ignores_listings_that_are_out_of_date)
{
    boot_clock time;
    net::event_loop loop(time);
    held_reader reader;
    map_listener listener;
    store_mirror mirror(reader, loop.timers(), time, "a/", {}, listener);
    mirror.start();
    reader.answer_listing(0,
                          store_page{{{"a/1", "old", {0, 1}, false}}, {0, 1}});
    const auto history_dropped = [] { return fail(errc::stale, "dropped"); };
    // A mirror pauses before it lists again.
    const auto lists_again = [&](std::size_t count)
    {
        const time_point end = time.now() + 5s;
        while (reader.listings.size() < count && time.now() < end)
        {
            loop.run_once(5ms);
        }
        return reader.listings.size() == count;
    };
    section("a second answer to the same listing",
            [&]
            {
                reader.answer_watch(0, history_dropped());
                EXPECT(lists_again(2));
                reader.answer_listing(
                    1, store_page{{{"a/1", "new", {0, 5}, false},
                                   {"a/2", "added", {0, 6}, false}},
                                  {0, 6}});
                reader.answer_listing(
                    0, store_page{{{"a/1", "old", {0, 1}, false}}, {0, 4}});
                EXPECT(listener.values["a/1"] == "new");
                EXPECT(listener.values.count("a/2") == 1);
            });
    section("nothing is asked while a listing is read",
            [&]
            {
                reader.answer_watch(1, history_dropped());
                EXPECT(lists_again(3));
                const std::size_t watches = reader.watches.size();
                mirror.refresh();
                mirror.catch_up();
                mirror.confirm_for_others(true);
                mirror.on_peer_confirmation({{0, 9}, time.now()});
                const time_point end = time.now() + 1s;
                while (time.now() < end)
                {
                    loop.run_once(5ms);
                }
                EXPECT(reader.watches.size() == watches);
                EXPECT(reader.listings.size() == 3);
                reader.answer_listing(
                    2, store_page{{{"a/1", "new", {0, 5}, false}}, {0, 8}});
                EXPECT(listener.values.count("a/2") == 0);
                EXPECT(reader.watches.size() == watches + 1);
            });
    section("the watch after it brings what came meanwhile",
            [&]
            {
                reader.answer_watch(
                    2, store_page{{{"a/3", "later", {0, 9}, false}}, {0, 9}});
                EXPECT(listener.values.count("a/3") == 1);
            });
}

// Guards against a VM whose entry is missing while it runs, or still present
// after it has left.
Test(gateway_store, keeps_an_entry_under_a_lease)
{
    store_fixture fixture;
    lease_keeper keeper(fixture.client, fixture.loop.timers(), fixture.time,
                        "vms/a", "here", 600ms);
    int recovered = 0;
    keeper.on_recovered([&] { ++recovered; });
    int unavailable = 0;
    keeper.on_unavailable([&](const error&) { ++unavailable; });
    keeper.start();
    const auto present = [&] { return fixture.service.count("vms/") == 1; };
    EXPECT(fixture.run_until(present));
    section("renewals keep it beyond the lease time",
            [&]
            {
                const time_point end = fixture.time.now() + 1500ms;
                EXPECT(fixture.run_until(
                    [&] { return fixture.time.now() >= end; }));
                EXPECT(present());
            });
    section("it is written again after an outage that ended the lease",
            [&]
            {
                fixture.service.set_outage(standin::kv_outage::refuse);
                const time_point end = fixture.time.now() + 1s;
                EXPECT(fixture.run_until(
                    [&] { return fixture.time.now() >= end; }));
                fixture.service.set_outage(standin::kv_outage::none);
                fixture.service.tick();
                EXPECT(fixture.run_until(present));
                EXPECT(fixture.run_until([&] { return recovered == 1; }));
                EXPECT(unavailable == 1);
            });
    section("it is removed at a planned stop",
            [&]
            {
                keeper.stop();
                EXPECT(fixture.run_until([&] { return !present(); }));
            });
}

// Guards against mixing up fields of the platform's entries.
Test(gateway_records, decodes_entries)
{
    const platform::store_records records;
    const auto target =
        records.read_target({"servers/i-1", target_entry(), {0, 5}, false});
    EXPECT(target.has_value());
    EXPECT(target.value().id == "i-1" && target.value().slots == 6);
    EXPECT(target.value().warm_up_left == 1500ms);
    EXPECT(target.value().started_at_ms == 17);
    const auto read =
        records.read_operator({"op/config", config_entry(), {0, 5}, false});
    EXPECT(read.has_value());
    const auto& policy =
        std::get<gateway::policy_document>(read.value()).policy;
    EXPECT(policy.version == 7 && policy.keys_required);
    EXPECT(policy.routes[0].services[0].weight == 90);
    EXPECT(policy.routes[0].idempotent && policy.routes[0].objective == 500ms);
    EXPECT(!policy.routes[1].idempotent && policy.routes[1].open);
    EXPECT(policy.routes[1].allowed_regions.front() == "north");
    EXPECT(policy.services[0].warm_up_rate_per_s == 7.4);
    EXPECT(policy.limits.max_header_bytes == 100);
    const auto evacuated =
        records.read_operator({"op/evacuate/z1", "e30=", {0, 6}, false});
    EXPECT(std::get<gateway::evacuation>(evacuated.value()).failure_domain ==
           "z1");
}

// Guards against entries of other writers that crash the process.
Test(gateway_records, does_not_crash_on_arbitrary_bytes)
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
            (void)records.read_operator({"op/config", text, {0, 1}, false});
            (void)records.read_target({"servers/x", text, {0, 1}, false});
        }));
    cr_assert(rc::check(
        "any bytes",
        [&](const std::string& text)
        {
            (void)records.read_operator({"op/config", text, {0, 1}, false});
            (void)records.read_target({"servers/x", text, {0, 1}, false});
        }));
}
