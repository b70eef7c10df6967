#include "map_listener.hpp"
#include "test_sections.hpp"
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/timer_queue.hpp>
#include <siskinflow/store/store_mirror.hpp>

#include <chrono>
#include <deque>
#include <string>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// A store that the test answers.
struct held_store final : prefix_reader
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

    std::deque<callback<store_page>> listings;
    std::deque<callback<store_page>> watches;
};

store_page page_of(store_revision revision, const std::string& value)
{
    store_page out;
    out.position = {1, revision};
    out.entries.push_back({"a/1", value, {1, revision}, false});
    return out;
}

/// A mirror that has listed the prefix and watches it.
struct mirror_fixture
{
    mirror_fixture() : mirror(store, timers, time, "a/", options(), listener)
    {
        mirror.start();
        store.listings.at(0)(page_of(1, "first"));
    }

    static mirror_options options()
    {
        mirror_options out{20ms};
        out.max_unconfirmed_time = limit;
        return out;
    }

    void pass(duration length)
    {
        constexpr duration step = 20ms;
        for (duration passed{0}; passed < length; passed += step)
        {
            time.advance(step);
            timers.run_due(time.now());
        }
    }

    /// The store turns the mirror away for a time.
    void turn_away(duration length)
    {
        const time_point end = time.now() + length;
        std::size_t listed = store.listings.size();
        std::size_t watched = store.watches.size() - 1;
        while (time.now() < end)
        {
            for (; watched < store.watches.size(); ++watched)
            {
                store.watches.at(watched)(fail(errc::unavailable, "503"));
            }
            for (; listed < store.listings.size(); ++listed)
            {
                store.listings.at(listed)(fail(errc::unavailable, "503"));
            }
            pass(20ms);
        }
    }

    static constexpr duration limit = 1900ms;
    manual_clock time;
    timer_queue timers;
    held_store store;
    map_listener listener;
    store_mirror mirror;
};

} // namespace

// Guards against a mirror that stays at an old state after an outage, because
// it asks for all changes meanwhile and their answer is too long, or takes too
// long on its link.
Test(store_mirror_repeats, asks_for_the_newest_state_when_changes_do_not_arrive)
{
    section("after an outage",
            []
            {
                mirror_fixture run;
                run.turn_away(9s);
                const std::size_t watches = run.store.watches.size();
                run.pass(2s);
                EXPECT(run.store.watches.size() == watches);
                run.store.listings.back()(page_of(50, "newest"));
                EXPECT(run.listener.values["a/1"] == "newest");
                EXPECT(run.listener.recoveries == 1);
                run.pass(100ms);
                EXPECT(run.store.watches.size() == watches + 1);
            });
    section("also if a renewed lease tells first that the store is back",
            []
            {
                mirror_fixture run;
                run.turn_away(9s);
                const std::size_t listings = run.store.listings.size();
                const std::size_t watches = run.store.watches.size();
                run.mirror.refresh();
                run.pass(2s);
                EXPECT(run.store.listings.size() == listings + 1);
                EXPECT(run.store.watches.size() == watches);
            });
    section("after an answer that was too long",
            []
            {
                mirror_fixture run;
                run.pass(200ms);
                run.store.watches.back()(
                    fail(errc::too_large, "the answer was cut"));
                run.pass(200ms);
                EXPECT(run.store.listings.size() == 2);
                EXPECT(run.store.watches.size() == 1);
            });
    section("after a second watch in a row that was not answered in time",
            []
            {
                mirror_fixture run;
                run.pass(2 * mirror_fixture::limit + 200ms);
                EXPECT(run.store.listings.size() == 2);
                EXPECT(run.store.watches.size() == 2);
            });
}

// Guards against listings where the changes are few: a refused call or a lost
// connection.
Test(store_mirror_repeats, asks_for_changes_after_a_short_failure)
{
    mirror_fixture run;
    run.pass(200ms);
    run.store.watches.back()(fail(errc::unavailable, "reset"));
    run.pass(1s);
    EXPECT(run.store.watches.size() == 2);
    EXPECT(run.store.listings.size() == 1);
}
