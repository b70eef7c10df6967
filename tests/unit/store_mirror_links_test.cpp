#include "linked_store.hpp"
#include "map_listener.hpp"
#include "test_sections.hpp"
#include <siskinflow/store/store_mirror.hpp>

#include <rapidcheck.h>

#include <deque>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// A mirror of one large entry, whose VM hears from others which changes they
/// know.
class link_run
{
public:
    link_run()
        : store_(time_, timers_),
          mirror_(store_, timers_, time_, "op/", options(), listener_)
    {
    }

    linked_store& store()
    {
        return store_;
    }

    store_mirror& mirror()
    {
        return mirror_;
    }

    void start(std::size_t entry_bytes)
    {
        entry_bytes_ = entry_bytes;
        write();
        mirror_.start();
        pass(1s + 3 * store_.listing_time());
    }

    /// A new version, which the other VMs know and confirm soon.
    void write()
    {
        std::string value = std::to_string(++last_version_) + " ";
        value.resize(entry_bytes_, 'x');
        store_.put("op/config", value);
        written_.push_back({last_version_, time_.now()});
        timers_.schedule(
            time_.now() + confirmed_after_,
            [this, position = store_.position()] {
                mirror_.on_peer_confirmation({position, time_.now()});
            });
    }

    void storm(duration length, duration gap)
    {
        const time_point end = time_.now() + length;
        while (time_.now() < end)
        {
            write();
            pass(gap);
        }
    }

    /// The VM does not run; the store and the other VMs do.
    void freeze(duration length, duration gap)
    {
        const time_point end = time_.now() + length;
        while (time_.now() < end)
        {
            write();
            time_.advance(gap);
        }
        pass(0ms);
    }

    void pass(duration length)
    {
        constexpr duration step = 5ms;
        const time_point end = time_.now() + length;
        for (;;)
        {
            while (timers_.run_due(time_.now()))
            {
            }
            note_age();
            if (time_.now() >= end)
            {
                return;
            }
            time_.advance(step);
        }
    }

    /// The store loses the last versions; the next one is written in its new
    /// era.
    void return_to_copy(std::size_t lost_versions)
    {
        store_.return_to_copy(lost_versions);
        written_.clear();
        write();
    }

    void forget_ages()
    {
        longest_age_ = duration::zero();
    }

    /// Longest time for which a version was not in force after it was written,
    /// although it was the next one or an earlier one was not either.
    duration longest_age() const
    {
        return longest_age_;
    }

    bool is_newest_in_force() const
    {
        return version_in_force() == last_version_;
    }

private:
    static mirror_options options()
    {
        mirror_options out{150ms};
        out.max_unconfirmed_time = 1900ms;
        return out;
    }

    int version_in_force() const
    {
        const auto entry = listener_.values.find("op/config");
        return entry == listener_.values.end() ? 0 : std::stoi(entry->second);
    }

    void note_age()
    {
        const int in_force = version_in_force();
        while (!written_.empty() && written_.front().version <= in_force)
        {
            written_.pop_front();
        }
        if (!written_.empty())
        {
            longest_age_ =
                std::max(longest_age_, time_.now() - written_.front().at);
        }
    }

    struct written_version
    {
        int version;
        time_point at;
    };

    static constexpr duration confirmed_after_ = 60ms;
    manual_clock time_;
    timer_queue timers_;
    linked_store store_;
    map_listener listener_;
    store_mirror mirror_;
    std::size_t entry_bytes_ = 0;
    int last_version_ = 0;
    std::deque<written_version> written_; ///< Not in force yet.
    duration longest_age_{0};
};

} // namespace

// Guards against a mirror that gives up each watch whose answer is arriving
// because another VM confirms the next version meanwhile, and so stays at an
// old version for as long as versions come.
Test(store_mirror_links, follows_a_storm_of_large_versions)
{
    constexpr duration bound = 2500ms;
    constexpr duration gap = 350ms;
    const auto play = [&](const char* name, double bytes_per_ms)
    {
        section(name,
                [&]
                {
                    link_run run;
                    run.store().link.bytes_per_ms = bytes_per_ms;
                    run.start(75'000);
                    run.storm(3s, gap);
                    run.freeze(4s, gap);
                    run.storm(bound, gap);
                    run.forget_ages();
                    run.storm(10s, gap);
                    EXPECT(run.longest_age() <= bound);
                });
    };
    play("over a fast link", 3000);
    play("over a link that takes a second for what it missed", 800);
    play("over a link that is almost full", 350);
}

// Guards against the same over any link and any series of versions: what the
// link can carry is in force soon after, also if calls are lost or the store
// returns from an older copy.
Test(store_mirror_links, is_behind_for_a_bounded_time)
{
    const bool holds = rc::check(
        []
        {
            const auto draw = [](int least, int most)
            { return *rc::gen::inRange(least, most + 1); };
            link_run run;
            linked_store& store = run.store();
            store.link.round_trip = std::chrono::milliseconds(draw(1, 800));
            store.link.bytes_per_ms = draw(50, 3000);
            run.start(static_cast<std::size_t>(draw(100, 120'000)));
            int lost = 0;
            for (int step = draw(1, 6); step > 0; --step)
            {
                const auto gap = std::chrono::milliseconds(draw(50, 900));
                const auto length = std::chrono::milliseconds(draw(100, 5000));
                switch (draw(0, 5))
                {
                case 0:
                    run.freeze(length, gap);
                    break;
                case 1:
                    store.lost_calls = draw(1, 2);
                    lost += store.lost_calls;
                    run.storm(length, gap);
                    break;
                case 2:
                    run.mirror().refresh();
                    run.storm(length, gap);
                    break;
                case 3:
                    run.mirror().catch_up();
                    run.mirror().confirm_for_others(draw(0, 1) == 1);
                    run.pass(length);
                    break;
                case 4:
                    run.return_to_copy(static_cast<std::size_t>(draw(1, 9)));
                    run.storm(length, gap);
                    break;
                default:
                    run.storm(length, gap);
                    break;
                }
            }
            store.lost_calls = 0;
            // A watch may bring four listings before a listing takes its place;
            // a lost call costs the time after which it counts as lost.
            const duration bound =
                3s + 8 * store.listing_time() + (lost > 0 ? 6s : 0s);
            run.pass(bound);
            run.forget_ages();
            run.storm(8s, std::chrono::milliseconds(draw(50, 900)));
            RC_ASSERT(run.longest_age() <= bound);
            run.pass(bound);
            RC_ASSERT(run.is_newest_in_force());
        });
    EXPECT(holds);
}
