#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/routing/site_map_loader.hpp>
#include <siskinflow/store/memory_store.hpp>

#include <thread>

using namespace siskinflow;
using namespace siskinflow::routing;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

const ip_address client = parse_ip_address("192.0.2.1").value();

/// A publisher and one loader.
struct loader_fixture
{
    explicit loader_fixture(job_runner run =
                                [](const std::function<void()>& job) { job(); })
        : loader(store, time, std::mt19937_64(1),
                 {[this](const site_map_view&) { ++loaded; },
                  [this](store_revision, const error& cause)
                  { failures.push_back(cause.code); },
                  [this](store_revision, store_revision) { ++stale; }},
                 {}, std::move(run))
    {
    }

    /// Publishes a map that assigns the client's block to a site.
    /// @return the keys of the chunks
    std::vector<std::string> publish(site_number site, bool with_chunks = true)
    {
        site_map_builder builder;
        builder.set(parse_ip_block("198.51.100.0/24").value(), 0).value();
        builder.set(parse_ip_block("192.0.2.0/24").value(), site).value();
        const auto release = publisher.make_release(builder.build());
        auto chunks = release.chunks;
        const std::string sites =
            encode_sites({{"a", "north"}, {"b", "south"}});
        chunks.emplace_back(sha256_hex(sites), sites);
        publisher
            .load(release.manifest,
                  [&](const std::string& hash) -> std::optional<std::string>
                  {
                      for (const auto& [key, content] : chunks)
                      {
                          if (key == hash)
                          {
                              return content;
                          }
                      }
                      return std::nullopt;
                  })
            .value();
        std::vector<std::string> keys;
        for (const auto& [hash, content] : chunks)
        {
            keys.push_back(store_keys::site_map_chunks + hash);
            if (with_chunks)
            {
                store.shared()->put(keys.back(), content);
            }
        }
        store.shared()->put(store_keys::site_map,
                            to_json(site_map_document{"w", release.manifest,
                                                      sha256_hex(sites)}));
        contents = chunks;
        return keys;
    }

    /// Advances time in ticks of 100 ms.
    void run_for(duration length)
    {
        for (duration passed{0}; passed < length; passed += 100ms)
        {
            loader.tick();
            timers.run_due(time.now());
            loader.tick();
            time.advance(100ms);
        }
    }

    std::optional<site_number> site() const
    {
        return loader.view()->map->find(client);
    }

    manual_clock time;
    timer_queue timers;
    memory_store store{time, timers};
    site_map_replica publisher;
    std::vector<std::pair<std::string, std::string>> contents;
    int loaded = 0;
    int stale = 0;
    std::vector<errc> failures;
    site_map_loader loader;
};

} // namespace

// Guards against changes that are missed, late, or cost more than the change.
Test(routing_site_map_loader, follows_the_published_map)
{
    loader_fixture fixture;
    fixture.run_for(1s);
    EXPECT(!fixture.site() && fixture.loader.view()->revision == 0);
    fixture.publish(0);
    fixture.run_for(7s);
    EXPECT(fixture.site() == 0);
    EXPECT(fixture.loader.view()->sites.at(1).region == "south");
    section("a change takes one read beside the polls",
            [&]
            {
                const auto reads = fixture.store.counters().reads;
                fixture.publish(1);
                fixture.run_for(30s);
                EXPECT(fixture.site() == 1);
                EXPECT(fixture.loaded == 2);
                const auto polls = fixture.store.counters().reads - reads - 1;
                EXPECT(polls >= 5 && polls <= 8);
            });
    EXPECT(fixture.failures.empty());
}

// Guards against a map that is lost or partly replaced because of a bad chunk
// or a store outage.
Test(routing_site_map_loader, keeps_its_map_when_a_load_fails)
{
    const auto load_initial_map = [](loader_fixture& fixture)
    {
        fixture.publish(0);
        fixture.run_for(7s);
        EXPECT(fixture.site() == 0);
    };
    const auto expect_recovery = [](loader_fixture& fixture, errc expected)
    {
        fixture.run_for(7s);
        EXPECT(fixture.site() == 0);
        EXPECT(!fixture.failures.empty());
        EXPECT(fixture.failures.front() == expected);
        for (const auto& [hash, content] : fixture.contents)
        {
            fixture.store.shared()->put(store_keys::site_map_chunks + hash,
                                        content);
        }
        fixture.store.set_faults({});
        fixture.run_for(7s);
        EXPECT(fixture.site() == 1);
    };
    section("missing chunk",
            [&]
            {
                loader_fixture fixture;
                load_initial_map(fixture);
                fixture.publish(1, false);
                expect_recovery(fixture, errc::not_found);
            });
    section("corrupt chunk",
            [&]
            {
                loader_fixture fixture;
                load_initial_map(fixture);
                const auto keys = fixture.publish(1);
                fixture.store.shared()->put(keys.front(), "garbage");
                expect_recovery(fixture, errc::parse_error);
            });
    section("store outage",
            [&]
            {
                loader_fixture fixture;
                load_initial_map(fixture);
                fixture.publish(1);
                fixture.store.set_faults({.outage = true});
                expect_recovery(fixture, errc::unavailable);
            });
}

// Guards against a stale answer of the store that restores an older map.
Test(routing_site_map_loader, ignores_an_older_revision)
{
    loader_fixture fixture;
    fixture.publish(0);
    fixture.run_for(7s);
    const auto old = fixture.loader.view()->revision;
    fixture.publish(1);
    fixture.run_for(7s);
    EXPECT(fixture.site() == 1);
    fixture.store.set_faults({.stale_revision = old});
    fixture.run_for(7s);
    EXPECT(fixture.site() == 1);
    EXPECT(fixture.stale >= 1 && fixture.loaded == 2);
}

// Guards against a worker thread whose result is lost, and against one that
// outlives the loader.
Test(routing_site_map_loader, loads_on_a_helper_thread)
{
    loader_fixture fixture{job_runner()};
    fixture.publish(1);
    for (int i = 0; i < 500 && fixture.loaded == 0; ++i)
    {
        fixture.loader.tick();
        fixture.timers.run_due(fixture.time.now());
        std::this_thread::sleep_for(2ms);
    }
    EXPECT(fixture.site() == 1);
    fixture.publish(0);
    fixture.time.advance(10s);
    fixture.loader.tick();
    fixture.timers.run_due(fixture.time.now());
    fixture.loader.tick();
}
