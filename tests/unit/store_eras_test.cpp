#include "map_listener.hpp"
#include "test_sections.hpp"
#include <siskinflow/store/change_log.hpp>
#include <siskinflow/store/lease_keeper.hpp>
#include <siskinflow/store/store_mirror.hpp>

#include <rapidcheck.h>

#include <random>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// A store that gives whatever answers a test wants, after 1 ms, on a clock
/// that the test advances.
struct played_store final : lease_store
{
    played_store(const siskinflow::clock& time, timer_queue& timers)
        : time(time), timers(timers)
    {
    }

    using answer = std::function<result<store_page>()>;

    void list(std::string, duration, callback<store_page> done) override
    {
        ++listings;
        send([this, done = std::move(done)] { done(on_list()); });
    }
    void await_changes(std::string, store_position after, duration wait,
                       callback<store_page> done) override
    {
        ++watches;
        last_after = after;
        auto given = on_watch();
        if (given && given.value().entries.empty() && watch_waits)
        {
            timers.schedule(time.now() + wait,
                            [done = std::move(done), given] { done(given); });
            return;
        }
        send([done = std::move(done), given] { done(given); });
    }
    void grant_lease(duration ttl, duration,
                     callback<store_lease> done) override
    {
        ++grants;
        send(
            [this, ttl, done = std::move(done)]
            {
                if (auto refused = lease_answer(); !refused)
                {
                    done(refused.error());
                    return;
                }
                done(store_lease{++last_lease, ttl});
            });
    }
    void renew_lease(std::uint64_t id, duration, callback<void> done) override
    {
        ++renewals;
        renewed_lease = id;
        send([this, done = std::move(done)] { done(lease_answer()); });
    }
    void end_lease(std::uint64_t id, duration, callback<void> done) override
    {
        ended_lease = id;
        send([done = std::move(done)] { done(ok()); });
    }
    void put(std::string, std::string, std::uint64_t lease, duration,
             callback<void> done) override
    {
        ++puts;
        written_lease = lease;
        send([this, done = std::move(done)] { done(lease_answer()); });
    }
    std::uint64_t era() const override
    {
        return current_era;
    }
    void on_new_era(const std::function<void(std::uint64_t)>& callback) override
    {
        callbacks.push_back(callback);
    }
    void expect_era(std::uint64_t era) override
    {
        expected_era = era;
    }

    /// An answer to another call shows a higher era.
    void show_era(std::uint64_t era)
    {
        current_era = era;
        for (const auto& callback : callbacks)
        {
            callback(era);
        }
    }

    void send(std::function<void()> reply)
    {
        timers.schedule(time.now() + 1ms, std::move(reply));
    }

    const siskinflow::clock& time;
    timer_queue& timers;
    answer on_list = [] { return store_page{{}, {1, 10}}; };
    answer on_watch = [] { return store_page{{}, {1, 10}}; };
    std::function<result<void>()> lease_answer = [] { return ok(); };
    bool watch_waits = true;
    std::uint64_t current_era = 1;
    std::uint64_t expected_era = 0;
    std::vector<std::function<void(std::uint64_t)>> callbacks;
    store_position last_after;
    int listings = 0;
    int watches = 0;
    int grants = 0;
    int renewals = 0;
    int puts = 0;
    std::uint64_t last_lease = 0;
    std::uint64_t renewed_lease = 0;
    std::uint64_t written_lease = 0;
    std::uint64_t ended_lease = 0;
};

/// A mirror and a lease keeper of a played store.
struct era_fixture
{
    era_fixture()
        : store(time, timers), mirror(store, timers, time, "a/", {}, listener),
          keeper(store, timers, time, "vms/a", "here", 8s)
    {
    }

    /// Runs what is due within a time, at its time.
    void run_for(duration length)
    {
        const time_point end = time.now() + length;
        for (auto due = timers.next_due(); due && *due <= end;
             due = timers.next_due())
        {
            time.advance(std::max(duration::zero(), *due - time.now()));
            timers.run_due(time.now());
        }
        time.advance(end - time.now());
    }

    /// Answers all calls from a state in an era.
    void answer_with(std::uint64_t era, std::vector<store_change> entries,
                     store_revision revision)
    {
        store.on_list = [=] { return store_page{entries, {era, revision}}; };
        store.on_watch = [=] { return store_page{{}, {era, revision}}; };
    }

    manual_clock time;
    timer_queue timers;
    played_store store;
    map_listener listener;
    store_mirror mirror;
    lease_keeper keeper;
};

error refused()
{
    return {errc::unavailable, "refused"};
}

} // namespace

// Guards against a mirror that mixes the entries of two eras, or that waits for
// revisions of an era that has ended.
Test(store_eras, a_mirror_lists_once_in_a_new_era)
{
    era_fixture fixture;
    fixture.answer_with(
        1, {{"a/1", "kept", {1, 5}, false}, {"a/2", "lost", {1, 90}, false}},
        100);
    fixture.mirror.start();
    fixture.run_for(1s);
    EXPECT(fixture.listener.values.size() == 2);
    section("another call shows it",
            [&]
            {
                fixture.answer_with(2,
                                    {{"a/1", "kept", {2, 5}, false},
                                     {"a/3", "new", {2, 8}, false}},
                                    9);
                fixture.store.show_era(2);
                fixture.run_for(10ms);
                EXPECT(fixture.listener.eras == std::vector<std::uint64_t>{2});
                EXPECT(fixture.listener.values ==
                       (std::map<std::string, std::string>{{"a/1", "kept"},
                                                           {"a/3", "new"}}));
                EXPECT(!fixture.listener.went_back);
                EXPECT(fixture.store.listings == 2);
                EXPECT((fixture.store.last_after == store_position{2, 9}));
            });
    section(
        "the watch shows it, with changes that are not applied",
        [&]
        {
            fixture.answer_with(3, {{"a/1", "third", {3, 5}, false}}, 7);
            fixture.store.on_watch = [] {
                return store_page{{{"a/4", "stray", {3, 7}, false}}, {3, 7}};
            };
            fixture.run_for(26s); // The watch that waits ends.
            EXPECT(fixture.listener.eras.back() == 3);
            EXPECT(fixture.listener.values.count("a/3") == 0);
            EXPECT(fixture.listener.values["a/1"] == "third");
        });
    section("another VM tells it: one listing",
            [&]
            {
                fixture.answer_with(3, {{"a/1", "third", {3, 5}, false}}, 7);
                fixture.run_for(30s);
                const int before = fixture.store.listings;
                for (int i = 0; i < 20; ++i)
                {
                    fixture.mirror.on_peer_confirmation(
                        {{4, 1}, fixture.time.now()});
                    fixture.run_for(50ms);
                }
                EXPECT(fixture.store.listings == before + 1);
                EXPECT(fixture.store.expected_era == 4);
            });
    section("a confirmation of an era that has ended confirms nothing",
            [&]
            {
                fixture.store.on_watch = [] { return refused(); };
                fixture.store.on_list = [] { return refused(); };
                fixture.run_for(60s);
                EXPECT(!fixture.mirror.confirmed());
                fixture.mirror.on_peer_confirmation(
                    {{2, 1000}, fixture.time.now()});
                EXPECT(!fixture.mirror.confirmed());
            });
}

// Guards against a late answer of an era that has ended.
Test(store_eras, a_mirror_never_goes_back_to_an_era)
{
    era_fixture fixture;
    fixture.answer_with(5, {{"a/1", "new", {5, 5}, false}}, 10);
    fixture.mirror.start();
    fixture.run_for(1s);
    fixture.store.on_list = [] {
        return store_page{{{"a/1", "old", {4, 500}, false}}, {4, 500}};
    };
    section(
        "from a watch",
        [&]
        {
            fixture.store.on_watch = [] {
                return store_page{{{"a/1", "old", {4, 500}, false}}, {4, 500}};
            };
            fixture.run_for(30s);
            EXPECT(fixture.listener.values["a/1"] == "new");
        });
    section("from a listing",
            [&]
            {
                fixture.store.on_watch = []
                { return fail(errc::stale, "dropped"); };
                fixture.run_for(30s);
                EXPECT(fixture.store.listings > 1);
                EXPECT(fixture.listener.values["a/1"] == "new");
                EXPECT(!fixture.listener.went_back);
            });
}

// Guards against calls without a pause, whatever the store answers: 780,000
// reads and as many watches in a minute came from one VM.
Test(store_eras, no_answers_lead_to_calls_without_a_pause)
{
    constexpr int max_calls = 200;
    const auto calls_in_a_minute = [](const auto& prepare)
    {
        era_fixture fixture;
        fixture.store.watch_waits = false;
        prepare(fixture.store);
        fixture.mirror.start();
        fixture.run_for(60s);
        const int first = fixture.store.listings + fixture.store.watches;
        fixture.run_for(60s);
        const int both = fixture.store.listings + fixture.store.watches;
        return std::max(first, both - first);
    };
    const auto dropped = [] { return fail(errc::stale, "dropped"); };
    section("410 after each listing",
            [&]
            {
                EXPECT(calls_in_a_minute([&](played_store& store)
                                         { store.on_watch = dropped; }) <=
                       max_calls);
            });
    section("410 to everything",
            [&]
            {
                EXPECT(calls_in_a_minute([&](played_store& store)
                                         { store.on_list = dropped; }) <=
                       max_calls);
            });
    section("a new era with each answer",
            [&]
            {
                std::uint64_t era = 1;
                const auto next_era = [&] {
                    return store_page{{}, {++era, 1}};
                };
                EXPECT(calls_in_a_minute(
                           [&](played_store& store)
                           {
                               store.on_list = next_era;
                               store.on_watch = next_era;
                           }) <= max_calls);
            });
    section("watches that end at once", [&]
            { EXPECT(calls_in_a_minute([](played_store&) {}) <= max_calls); });
    section("changes that are known already",
            [&]
            {
                EXPECT(calls_in_a_minute(
                           [](played_store& store)
                           {
                               store.on_watch = [] {
                                   return store_page{
                                       {{"a/1", "x", {1, 5}, false}}, {1, 10}};
                               };
                           }) <= max_calls);
            });
    section("timeouts at once",
            [&]
            {
                const auto timeout = []
                { return fail(errc::timeout, "no connection"); };
                EXPECT(calls_in_a_minute(
                           [&](played_store& store)
                           {
                               store.on_list = timeout;
                               store.on_watch = timeout;
                           }) <= max_calls);
            });
    cr_assert(rc::check("any sequence",
                        [&](std::uint32_t seed)
                        {
                            std::minstd_rand random(seed);
                            store_revision revision = 1;
                            const auto any = [&]() -> result<store_page>
                            {
                                const auto draw = random() % 6;
                                revision += random() % 3;
                                const std::uint64_t era = 1 + random() % 4;
                                switch (draw)
                                {
                                case 0:
                                    return fail(errc::stale, "dropped");
                                case 1:
                                    return refused();
                                case 2:
                                    return fail(errc::timeout, "lost");
                                case 3:
                                    return store_page{{}, {era, revision}};
                                default:
                                    return store_page{
                                        {{"a/1", "x", {era, revision}, false}},
                                        {era, revision}};
                                }
                            };
                            RC_ASSERT(calls_in_a_minute(
                                          [&](played_store& store)
                                          {
                                              store.on_list = any;
                                              store.on_watch = any;
                                          }) <= max_calls);
                        }));
}

// Guards against a VM whose entry is missing because its lease ended with an
// era, and against renewing or ending a lease of another VM.
Test(store_eras, a_lease_ends_with_its_era)
{
    era_fixture fixture;
    fixture.keeper.start();
    fixture.run_for(5s);
    EXPECT(fixture.store.grants == 1 && fixture.store.puts == 1);
    section("a new lease as soon as an answer shows the era",
            [&]
            {
                fixture.store.last_lease = 0; // Numbers are assigned again.
                fixture.store.show_era(2);
                fixture.run_for(5ms);
                EXPECT(fixture.store.grants == 2 && fixture.store.puts == 2);
                fixture.run_for(5s);
                EXPECT(fixture.store.grants == 2);
                EXPECT(fixture.store.renewed_lease ==
                       fixture.store.written_lease);
            });
    section("one chain of renewals",
            [&]
            {
                const int before = fixture.store.renewals;
                fixture.run_for(8s);
                EXPECT(fixture.store.renewals - before <= 7);
            });
    section("a lease of an ended era is not ended",
            [&]
            {
                fixture.store.current_era = 3;
                fixture.keeper.stop();
                EXPECT(fixture.store.ended_lease == 0);
            });
}

// Guards against a lease keeper that calls without a pause.
Test(store_eras, a_lease_keeper_pauses)
{
    constexpr int max_calls = 200;
    const auto calls_in_a_minute = [](era_fixture& fixture)
    {
        fixture.keeper.start();
        fixture.run_for(60s);
        return fixture.store.grants + fixture.store.puts +
               fixture.store.renewals;
    };
    section("each lease has ended",
            [&]
            {
                era_fixture fixture;
                int call = 0;
                fixture.store.lease_answer = [&]() -> result<void>
                {
                    // Grants succeed, writes do not.
                    return ++call % 2 == 1
                               ? ok()
                               : result<void>(fail(errc::not_found, "ended"));
                };
                EXPECT(calls_in_a_minute(fixture) <= max_calls);
            });
    section("each answer shows a new era",
            [&]
            {
                era_fixture fixture;
                fixture.store.lease_answer = [&]() -> result<void>
                {
                    fixture.store.show_era(fixture.store.current_era + 1);
                    return ok();
                };
                EXPECT(calls_in_a_minute(fixture) <= max_calls);
            });
}

// Guards against a reader that is brought up to date from changes of another
// era.
Test(store_eras, a_log_does_not_mix_eras)
{
    change_log log;
    log.record({"a/1", "x", {1, 5}, false});
    log.confirm({1, 9});
    EXPECT(log.changes_after({1, 9}).has_value());
    log.begin_era();
    log.record({"a/1", "", {2, 3}, true});
    log.record({"a/2", "y", {2, 2}, false});
    log.confirm({2, 3});
    EXPECT(log.changes_after({1, 9}).error().code == errc::stale);
    EXPECT(log.changes_after({2, 1}).error().code == errc::stale);
    EXPECT(log.changes_after({2, 3}).value().entries.empty());
    EXPECT(log.listing().entries.size() == 1);
    log.record({"a/3", "z", {2, 4}, false});
    log.confirm({2, 4});
    EXPECT(log.changes_after({2, 3}).value().entries.size() == 1);
}
