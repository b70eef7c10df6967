#include "test_sections.hpp"
#include <siskinflow/store/base64.hpp>
#include <siskinflow/store/confirmed_swap.hpp>
#include <siskinflow/store/memory_store.hpp>

#include <rapidcheck.h>

#include <map>
#include <optional>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// Two clients of one store and the timers that run their callbacks.
struct memory_fixture
{
    manual_clock time;
    timer_queue timers;
    memory_store first{time, timers};
    memory_store second{first.shared(), time, timers};

    void run(duration length = 10s)
    {
        for (duration passed{0}; passed < length; passed += 10ms)
        {
            timers.run_due(time.now());
            time.advance(10ms);
        }
    }

    delay_function delay_call()
    {
        return [this](duration delay, std::function<void()> callback)
        { timers.schedule(time.now() + delay, std::move(callback)); };
    }

    result<store_revision> swap(confirmed_write write, int attempts = 5)
    {
        std::optional<result<store_revision>> out;
        confirmed_swap(first, std::move(write), 100ms, attempts, delay_call(),
                       [&](result<store_revision> answer) { out = answer; });
        EXPECT(!out.has_value()); // Never before the call has returned.
        run();
        EXPECT(out.has_value());
        return *out;
    }
};

confirmed_write config_write(store_revision expected, const std::string& id)
{
    const std::string value = R"({"write_id":")" + id + R"("})";
    return {{"siskinflow/config",
             expected,
             {{"siskinflow/config", value}, {"siskinflow/notes/1", value}}},
            id,
            "siskinflow/notes/1"};
}

} // namespace

// Guards against values that base64 changes on their way to the store.
Test(store_base64, round_trips_and_refuses_other_forms)
{
    EXPECT(rc::check("bytes round-trip",
                     [](const std::string& bytes)
                     {
                         const auto decoded =
                             base64_decode(base64_encode(bytes));
                         RC_ASSERT(decoded.has_value());
                         RC_ASSERT(decoded.value() == bytes);
                     }));
    for (const char* bad :
         {"a", "YQ=", "Y===", "YQ==YQ==", "YQ =", "YQ\n=", "====", "Y*=="})
    {
        section(bad, [&] { EXPECT(!base64_decode(bad).has_value()); });
    }
    EXPECT(rc::check("any text is decoded or refused",
                     [](const std::string& text)
                     { static_cast<void>(base64_decode(text)); }));
}

// Guards against history that differs from what was written, and against
// history that grows without bound.
Test(store_revisioned_map, answers_from_past_revisions)
{
    revisioned_map data(3);
    const auto one = data.apply({{"a", "1"}});
    const auto two = data.apply({{"a", "2"}, {"b", "x"}});
    const auto three = data.apply({{"a", std::nullopt}});
    EXPECT(!data.read("a").has_value());
    EXPECT(data.read("a", two)->value == "2");
    EXPECT(data.changes_since(two, "a", "c").size() == 3);
    EXPECT(data.compacted_revision() == one);
    section("the newest version of a key outlives its history",
            [&]
            {
                for (int i = 0; i < 5; ++i)
                {
                    data.apply({{"c", std::to_string(i)}});
                }
                EXPECT(data.read("b")->mod_revision == two);
                EXPECT(data.compacted_revision() >= three);
                EXPECT(data.read_range("a", "z").size() == 2);
            });
}

// Guards against two concurrent writers that both get a success.
Test(store_memory, one_of_two_racing_swaps_wins)
{
    memory_fixture fixture;
    std::optional<result<store_revision>> one;
    std::optional<result<store_revision>> two;
    fixture.first.swap({"k", 0, {{"k", "1"}}}, 1s, [&](auto r) { one = r; });
    fixture.second.swap({"k", 0, {{"k", "2"}}}, 1s, [&](auto r) { two = r; });
    EXPECT(!one.has_value());
    fixture.run();
    EXPECT(one->has_value());
    EXPECT(two->error().code == errc::conflict);
}

// Guards against a watch that misses or repeats a write, or goes on after it
// was dropped.
Test(store_memory, watch_delivers_each_write_in_order)
{
    memory_fixture fixture;
    std::vector<std::string> seen;
    std::optional<error> ended;
    const auto start = fixture.first.shared()->put("p/1", "a");
    auto watch = fixture.second.watch(
        "p/", start, [&](store_value v) { seen.push_back(v.value); },
        [&](error e) { ended = e; });
    fixture.first.shared()->put("p/2", "b");
    fixture.first.shared()->put("q", "not watched");
    fixture.run();
    EXPECT((seen == std::vector<std::string>{"a", "b"}));
    section("hears nothing while the store is silent, everything afterwards",
            [&]
            {
                fixture.second.set_faults({.silent = true});
                fixture.first.shared()->put("p/1", "c");
                fixture.run();
                EXPECT(seen.size() == 2);
                fixture.second.set_faults({});
                fixture.run();
                EXPECT(seen.size() == 3);
            });
    section("breaks in an outage",
            [&]
            {
                fixture.second.set_faults({.outage = true});
                fixture.run();
                EXPECT(ended->code == errc::unavailable);
            });
}

// Guards against calls that fail in another way than the interface documents.
Test(store_memory, faults_end_as_documented)
{
    memory_fixture fixture;
    const auto old = fixture.first.shared()->put("k", "old");
    fixture.first.shared()->put("k", "new");
    const auto read = [&]
    {
        std::optional<result<std::optional<store_value>>> out;
        fixture.first.read("k", 1s, [&](auto answer) { out = answer; });
        fixture.run();
        return *out;
    };
    fixture.first.set_faults({.outage = true});
    EXPECT(read().error().code == errc::unavailable);
    fixture.first.set_faults({.silent = true});
    EXPECT(read().error().code == errc::timeout);
    fixture.first.set_faults({.delay = 2s});
    EXPECT(read().error().code == errc::timeout);
    fixture.first.set_faults({.stale_revision = old});
    EXPECT(read().value()->value == "old");
}

// Guards against a lost reply that is taken for a failure or a success.
Test(store_settled_swap, settles_lost_replies)
{
    section("the write took effect",
            []
            {
                memory_fixture fixture;
                fixture.first.set_faults({.lose_replies = true});
                std::optional<result<store_revision>> out;
                confirmed_swap(fixture.first, config_write(0, "w1"), 100ms, 5,
                               fixture.delay_call(), [&](auto r) { out = r; });
                fixture.first.set_faults({});
                fixture.run();
                EXPECT(out->has_value());
                EXPECT(fixture.first.counters().swaps == 1);
            });
    section("the write took effect and was replaced by a later note",
            []
            {
                memory_fixture fixture;
                fixture.first.set_faults({.lose_replies = true});
                std::optional<result<store_revision>> out;
                confirmed_swap(fixture.first, config_write(0, "w1"), 100ms, 5,
                               fixture.delay_call(), [&](auto r) { out = r; });
                fixture.first.set_faults({});
                fixture.first.shared()->put("siskinflow/config",
                                            R"({"write_id":"w2"})");
                fixture.run();
                EXPECT(out->has_value());
            });
    section("the write never arrived and is repeated",
            []
            {
                memory_fixture fixture;
                fixture.first.set_faults({.silent = true});
                std::optional<result<store_revision>> out;
                confirmed_swap(fixture.first, config_write(0, "w1"), 100ms, 5,
                               fixture.delay_call(), [&](auto r) { out = r; });
                fixture.run(50ms);
                fixture.first.set_faults({});
                fixture.run();
                EXPECT(out->has_value());
                EXPECT(fixture.first.counters().swaps == 2);
            });
    section("the write never arrived and another writer won",
            []
            {
                memory_fixture fixture;
                fixture.first.set_faults({.silent = true});
                std::optional<result<store_revision>> out;
                confirmed_swap(fixture.first, config_write(0, "w1"), 100ms, 5,
                               fixture.delay_call(), [&](auto r) { out = r; });
                fixture.run(50ms);
                fixture.first.set_faults({});
                fixture.first.shared()->put("siskinflow/notes/1",
                                            R"({"write_id":"w2"})");
                fixture.run();
                EXPECT(out->error().code == errc::conflict);
            });
    section("the store stays silent",
            []
            {
                memory_fixture fixture;
                fixture.first.set_faults({.silent = true});
                EXPECT(fixture.swap(config_write(0, "w1")).error().code ==
                       errc::unknown_outcome);
            });
    section("without a confirmation key a replaced value leaves the outcome "
            "unknown",
            []
            {
                memory_fixture fixture;
                fixture.first.set_faults({.silent = true});
                confirmed_write write = config_write(0, "w1");
                write.confirmation_key.clear();
                std::optional<result<store_revision>> out;
                confirmed_swap(fixture.first, write, 100ms, 5,
                               fixture.delay_call(), [&](auto r) { out = r; });
                fixture.run(50ms);
                fixture.first.set_faults({});
                fixture.first.shared()->put("siskinflow/config",
                                            R"({"write_id":"w2"})");
                fixture.run();
                EXPECT(out->error().code == errc::unknown_outcome);
            });
}

// Guards against a refused call that is reported as an unknown outcome.
Test(store_settled_swap, passes_on_what_is_certain)
{
    memory_fixture fixture;
    section("conflict",
            [&]
            {
                EXPECT(fixture.swap(config_write(7, "w1")).error().code ==
                       errc::conflict);
            });
    section("outage",
            [&]
            {
                fixture.first.set_faults({.outage = true});
                EXPECT(fixture.swap(config_write(0, "w1")).error().code ==
                       errc::unavailable);
            });
    EXPECT(write_id_of("[1]").empty());
    EXPECT(write_id_of("{").empty());
}

// Guards against a reported outcome that contradicts the store, for any order
// of lost replies, silence, competing writes and recovery.
Test(store_settled_swap, never_contradicts_the_store)
{
    EXPECT(rc::check(
        "outcome agrees with the confirmation key",
        []
        {
            memory_fixture fixture;
            std::optional<result<store_revision>> out;
            confirmed_swap(fixture.first, config_write(0, "w1"), 50ms, 4,
                           fixture.delay_call(), [&](auto r) { out = r; });
            const auto steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
            for (const int step : steps)
            {
                fixture.first.set_faults({.outage = step == 1,
                                          .silent = step == 2,
                                          .lose_replies = step == 3});
                if (step == 4)
                {
                    fixture.second.swap(config_write(0, "w2").request, 50ms,
                                        [](auto) {});
                }
                fixture.run(30ms);
            }
            fixture.run();
            RC_ASSERT(out.has_value());
            const auto confirmation =
                fixture.first.shared()->values().read("siskinflow/notes/1");
            const bool own =
                confirmation && write_id_of(confirmation->value) == "w1";
            if (out->has_value())
            {
                RC_ASSERT(own);
            }
            else if (out->error().code != errc::unknown_outcome)
            {
                RC_ASSERT(!own);
            }
        }));
}
