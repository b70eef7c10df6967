#include "gateway/relayed_store.hpp"
#include "gateway/store_relay.hpp"
#include "kv_service.hpp"
#include "kv_store.hpp"
#include "map_listener.hpp"
#include "test_sections.hpp"
#include <siskinflow/control/codec.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/store/change_log.hpp>
#include <siskinflow/store/store_mirror.hpp>

#include <rapidcheck.h>

#include <map>
#include <optional>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

net::endpoint free_address(net::event_loop& loop)
{
    const auto probe = net::http_server::listen(
        loop, {"127.0.0.1", 0}, {}, [](const net::exchange_ptr&) {});
    return {"127.0.0.1", probe.value()->port()};
}

/// The store stand-in, a VM that relays it and one that reads through the
/// relay.
struct relay_fixture
{
    relay_fixture()
        : service(time),
          store_server(std::move(
              net::http_server::listen(loop, {"127.0.0.1", 0}, {},
                                       [this](const net::exchange_ptr& call)
                                       { service.handle(call); })
                  .value())),
          caller(loop), direct(caller, {"127.0.0.1", store_server->port()}),
          recorded(relay_listener),
          relay_mirror(direct, loop.timers(), time, "a/", {10ms}, recorded),
          relay(loop, incarnation_id{1, 1}, [this] { return relay_current; }),
          reads(loop, caller, direct, incarnation_id{2, 2},
                [this] { return relay_address; }),
          mirror(reads, loop.timers(), time, "a/", {10ms, 5ms}, listener),
          tick_timer(loop.every(20ms, [this] { service.tick(); }))
    {
        relay.add("a/", recorded.log(), [this] { relay_mirror.catch_up(); });
        recorded.on_recorded([this] { relay.on_recorded(); });
    }

    /// Starts the relay on a free port, and both mirrors.
    void start()
    {
        const net::endpoint address = free_address(loop);
        EXPECT(relay.listen(address).has_value());
        relay_address = address;
        relay_mirror.start();
        EXPECT(run_until([&] { return relay_listener.listings > 0; }));
        mirror.start();
        EXPECT(run_until([&] { return listener.listings > 0; }));
    }

    bool run_until(const std::function<bool()>& condition, duration limit = 8s)
    {
        const time_point end = time.now() + limit;
        while (!condition() && time.now() < end)
        {
            loop.run_once(5ms);
        }
        return condition();
    }

    /// Writes a value and waits until the reader has it.
    bool arrives(const std::string& key, const std::string& value,
                 duration limit = 8s)
    {
        service.put(key, value);
        return run_until([&] { return listener.values[key] == value; }, limit);
    }

    std::uint64_t store_calls() const
    {
        std::uint64_t out = 0;
        for (const auto& [kind, count] : service.calls())
        {
            out += count;
        }
        return out;
    }

    boot_clock time;
    net::event_loop loop{time};
    bool relay_current = true;
    std::optional<net::endpoint> relay_address;
    standin::kv_service service;
    std::unique_ptr<net::http_server> store_server;
    net::http_client caller;
    platform::kv_store direct;
    map_listener relay_listener;
    recording_listener recorded;
    store_mirror relay_mirror;
    store_relay relay;
    relayed_store reads;
    map_listener listener;
    store_mirror mirror;
    std::shared_ptr<void> tick_timer;
};

/// A server that accepts connections and never answers.
struct silent_server
{
    explicit silent_server(net::event_loop& loop)
        : server(std::move(
              net::http_server::listen(loop, {"127.0.0.1", 0}, {},
                                       [this](const net::exchange_ptr& call)
                                       { calls.push_back(call); })
                  .value()))
    {
    }

    std::vector<net::exchange_ptr> calls;
    std::unique_ptr<net::http_server> server;
};

/// Time within which changes must be in force although a relay fails.
constexpr duration config_limit = 2500ms;

} // namespace

// Guards against each VM of a failure domain calling the store for every
// change, which grows with the number of VMs.
Test(gateway_relay, a_reader_follows_the_relay_without_calling_the_store)
{
    relay_fixture fixture;
    fixture.service.put("a/1", "one");
    fixture.service.put("b/1", "other");
    fixture.start();
    EXPECT(fixture.listener.values.size() == 1);
    const std::uint64_t calls_before = fixture.store_calls();
    EXPECT(fixture.arrives("a/2", "two", 500ms));
    fixture.service.remove("a/1");
    EXPECT(fixture.run_until(
        [&] { return fixture.listener.values.count("a/1") == 0; }, 500ms));
    // The relay's own watches: one for each of the two changes, and the next.
    EXPECT(fixture.store_calls() - calls_before <= 3);
    EXPECT(!fixture.listener.went_back);
}

// Guards against a reader that stays outdated, or goes back to an earlier
// state, because its relay fails.
Test(gateway_relay, a_reader_asks_the_store_when_the_relay_fails)
{
    section("the relay refuses, because it may not know the latest changes",
            [&]
            {
                relay_fixture fixture;
                fixture.start();
                fixture.relay_current = false;
                EXPECT(fixture.arrives("a/1", "new", config_limit));
            });
    section("the relay does not answer",
            [&]
            {
                relay_fixture fixture;
                fixture.start();
                const silent_server silent(fixture.loop);
                fixture.relay_address = {"127.0.0.1", silent.server->port()};
                EXPECT(
                    fixture.run_until([&] { return !silent.calls.empty(); }));
                EXPECT(fixture.arrives("a/1", "new", config_limit));
            });
    section("the relay can't be reached",
            [&]
            {
                relay_fixture fixture;
                fixture.start();
                fixture.relay_address = {"127.0.0.1", 1};
                EXPECT(fixture.arrives("a/1", "new", config_limit));
            });
    section("the relay knows less than the reader",
            [&]
            {
                relay_fixture fixture;
                fixture.service.put("a/1", "old");
                fixture.start();
                change_log behind = fixture.recorded.log();
                store_relay older(fixture.loop, incarnation_id{3, 3},
                                  [] { return true; });
                older.add("a/", behind, [] {});
                const net::endpoint address = free_address(fixture.loop);
                EXPECT(older.listen(address).has_value());
                EXPECT(fixture.arrives("a/1", "new"));
                fixture.relay_address = address;
                EXPECT(fixture.arrives("a/1", "newer", config_limit));
                fixture.service.compact();
                EXPECT(fixture.arrives("a/2", "two", config_limit));
                EXPECT(!fixture.listener.went_back);
                EXPECT(fixture.listener.values["a/1"] == "newer");
            });
    section("the relay works again later",
            [&]
            {
                relay_fixture fixture;
                fixture.start();
                fixture.relay_current = false;
                EXPECT(fixture.arrives("a/1", "new", config_limit));
                fixture.relay_current = true;
                EXPECT(fixture.arrives("a/1", "newer", config_limit));
            });
}

// Guards against readers that call the store for every change because they
// listed a prefix at a later revision than their relay.
Test(gateway_relay, a_relay_catches_up_with_its_readers)
{
    relay_fixture fixture;
    fixture.service.put("a/1", "one");
    fixture.start();
    // Changes elsewhere advance the store's revision, not the relay's.
    for (int i = 0; i < 5; ++i)
    {
        fixture.service.put("b/1", std::to_string(i));
    }
    map_listener later_listener;
    relayed_store later_reads(fixture.loop, fixture.caller, fixture.direct,
                              incarnation_id{4, 4},
                              [&]() -> std::optional<net::endpoint> {
                                  return later_listener.listings > 0
                                             ? fixture.relay_address
                                             : std::nullopt;
                              });
    store_mirror later(later_reads, fixture.loop.timers(), fixture.time, "a/",
                       {10ms, 5ms}, later_listener);
    later.start();
    EXPECT(fixture.run_until([&] { return later_listener.listings > 0; }));
    const time_point settled = fixture.time.now() + 300ms;
    fixture.run_until([&] { return fixture.time.now() >= settled; });
    const std::uint64_t calls_before = fixture.store_calls();
    fixture.service.put("a/1", "two");
    EXPECT(fixture.run_until(
        [&] { return later_listener.values["a/1"] == "two"; }, 500ms));
    EXPECT(fixture.run_until(
        [&] { return fixture.listener.values["a/1"] == "two"; }, 500ms));
    // The relay's next watch.
    EXPECT(fixture.store_calls() - calls_before <= 1);
}

// Guards against removals that a reader never learns of.
Test(gateway_relay, a_log_brings_any_reader_up_to_date)
{
    cr_assert(rc::check(
        "changes since a revision lead to the same entries",
        []
        {
            change_log log;
            std::map<std::string, std::string> entries;
            std::vector<std::map<std::string, std::string>> history;
            const auto count = *rc::gen::inRange(1, 60);
            log.confirm({0, 1});
            history.resize(2);
            for (int i = 0; i < count; ++i)
            {
                const auto revision = static_cast<store_revision>(i + 2);
                const std::string key = std::to_string(*rc::gen::inRange(0, 8));
                const bool removed =
                    entries.count(key) != 0 && *rc::gen::arbitrary<bool>();
                const std::string value = std::to_string(i);
                log.record({key, removed ? "" : value, {0, revision}, removed});
                log.confirm({0, revision});
                if (removed)
                {
                    entries.erase(key);
                }
                else
                {
                    entries[key] = value;
                }
                history.push_back(entries);
            }
            const auto known =
                *rc::gen::inRange<std::size_t>(1, history.size());
            std::map<std::string, std::string> reader = history[known];
            const auto page =
                log.changes_after({0, static_cast<store_revision>(known)});
            RC_ASSERT(page.has_value());
            for (const store_change& change : page.value().entries)
            {
                if (change.removed)
                {
                    reader.erase(change.key);
                }
                else
                {
                    reader[change.key] = change.value;
                }
            }
            RC_ASSERT(reader == entries);
        }));
    section("a revision before the first listing",
            [&]
            {
                change_log log;
                log.confirm({0, 100});
                EXPECT(log.changes_after({0, 99}).error().code == errc::stale);
                EXPECT(log.changes_after({0, 100}).has_value());
            });
    section(
        "more removals than are kept",
        [&]
        {
            change_log log;
            log.confirm({0, 1});
            for (store_revision revision = 2; revision < 6000; ++revision)
            {
                log.record({std::to_string(revision), {}, {0, revision}, true});
                log.confirm({0, revision});
            }
            EXPECT(log.changes_after({0, 2}).error().code == errc::stale);
            EXPECT(log.changes_after({0, 5900}).value().entries.size() == 99);
        });
}

// Guards against VMs of one failure domain that mix the eras of the store
// through their relay.
Test(gateway_relay, readers_and_relays_follow_the_era)
{
    section("a reader gets a change of the new era in time",
            [&]
            {
                relay_fixture fixture;
                fixture.service.put("a/1", "old");
                fixture.start();
                fixture.service.take_copy();
                EXPECT(fixture.arrives("a/2", "lost"));
                for (int i = 0; i < 20; ++i)
                {
                    fixture.service.put("b/1", std::to_string(i));
                }
                EXPECT(fixture.arrives("a/1", "newer"));
                const std::uint64_t calls_before = fixture.store_calls();
                fixture.service.return_to_copy();
                EXPECT(fixture.arrives("a/1", "written again", config_limit));
                EXPECT(fixture.listener.values.count("a/2") == 0);
                EXPECT(!fixture.listener.went_back);
                EXPECT(fixture.store_calls() - calls_before <= 20);
            });
    section("a relay of a lower era is not used",
            [&]
            {
                relay_fixture fixture;
                fixture.service.put("a/1", "old");
                fixture.start();
                change_log behind = fixture.recorded.log();
                store_relay older(fixture.loop, incarnation_id{3, 3},
                                  [] { return true; });
                older.add("a/", behind, [] {});
                const net::endpoint address = free_address(fixture.loop);
                EXPECT(older.listen(address).has_value());
                fixture.service.take_copy();
                fixture.service.return_to_copy();
                EXPECT(fixture.arrives("a/1", "new"));
                fixture.relay_address = address;
                EXPECT(fixture.arrives("a/1", "newer", config_limit));
                EXPECT(!fixture.listener.went_back);
            });
    section("a reader that was told of an era does not use a lower relay",
            [&]
            {
                relay_fixture fixture;
                fixture.start();
                fixture.reads.expect_era(9);
                const std::uint64_t calls_before = fixture.store_calls();
                std::optional<result<store_page>> page;
                fixture.reads.list("a/", 1s,
                                   [&](result<store_page> value)
                                   { page = std::move(value); });
                EXPECT(fixture.run_until([&] { return page.has_value(); }));
                EXPECT(*page && !page->value().relayed);
                EXPECT(fixture.store_calls() > calls_before);
            });
}

// Guards against VMs of the previous build that read revisions without an era
// through a relay; they read the store itself after a refusal.
Test(gateway_relay, a_relay_refuses_requests_of_the_previous_build)
{
    relay_fixture fixture;
    fixture.start();
    net::client_request request;
    request.peer = *fixture.relay_address;
    request.method = "POST";
    request.body = control::encode_header(
        incarnation_id{5, 5}, control::message_type::store_changes_request);
    request.body.append(64, '\0');
    std::optional<net::fetch_result> fetched;
    const auto call =
        net::fetch(fixture.caller, request, 1 << 20,
                   [&](net::fetch_result value) { fetched = value; });
    EXPECT(fixture.run_until([&] { return fetched.has_value(); }));
    EXPECT(fetched->response.status == 503);
}

// Guards against bytes from elsewhere that end the process or are answered as a
// request.
Test(gateway_relay, a_relay_refuses_malformed_requests)
{
    relay_fixture fixture;
    fixture.start();
    for (const std::string& body :
         {std::string(), std::string("x"), std::string(1000, '\xff')})
    {
        net::client_request request;
        request.peer = *fixture.relay_address;
        request.method = "POST";
        request.body = body;
        std::optional<net::fetch_result> fetched;
        const auto call =
            net::fetch(fixture.caller, request, 1 << 20,
                       [&](net::fetch_result value) { fetched = value; });
        EXPECT(fixture.run_until([&] { return fetched.has_value(); }));
        EXPECT(fetched->response.status == 400);
    }
}
