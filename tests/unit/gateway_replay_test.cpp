#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/region_split.hpp>
#include <siskinflow/gateway/target_chooser.hpp>
#include <siskinflow/gateway/wait_queue.hpp>
#include <siskinflow/gateway/work_estimate.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// A load pattern: evenly spaced requests for equally popular objects, on
/// targets that keep the objects they handled last.
struct load_pattern
{
    std::size_t targets = 12;
    std::size_t objects = 291;
    std::size_t objects_per_target = 29; ///< Objects that one target holds.
    double requests_per_s = 200;
    duration total_time = 20s;
    duration cold = 800ms;
    duration warm = 240ms;
    duration objective = 600ms;
    duration deadline = 4s;
};

/// A target that runs `slots` requests and queues the others in order.
struct simulated_target
{
    static constexpr unsigned slots = 6;
    std::deque<std::uint64_t> held_objects;
    std::vector<time_point> free_at =
        std::vector<time_point>(slots, time_point{});

    bool handle(std::uint64_t object, std::size_t objects_per_target)
    {
        const auto found =
            std::find(held_objects.begin(), held_objects.end(), object);
        const bool warm = found != held_objects.end();
        if (warm)
        {
            held_objects.erase(found);
        }
        held_objects.push_front(object);
        held_objects.resize(std::min(held_objects.size(), objects_per_target));
        return warm;
    }
};

struct replay_result
{
    double on_time = 0;
    double late = 0;
    double refused = 0;

    /// Fraction of the possible credit that was earned; a late answer earns a
    /// fifth.
    double credit() const
    {
        constexpr double late_credit = 0.2;
        return (on_time + late * late_credit) / (on_time + late + refused);
    }
};

/// Simulates a load pattern with one VM and its target chooser. Requests
/// without room wait for half of the objective and are then refused.
class replay
{
public:
    explicit replay(const load_pattern& pattern)
        : pattern_(pattern), directory_({"d", "r"}), chooser_(directory_, {}),
          estimate_(pattern.objective, pattern.deadline)
    {
        for (std::size_t i = 0; i < pattern.targets; ++i)
        {
            target_record record;
            record.id = "t" + std::to_string(i);
            record.service = "maps";
            record.failure_domain = "d";
            record.region = "r";
            record.slots = simulated_target::slots;
            directory_.put(record, time_.now());
            directory_.find(record.id)->mark_tried();
            simulated_[record.id] = {};
        }
    }

    replay_result run()
    {
        const auto gap = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / pattern_.requests_per_s));
        const time_point end = time_.now() + pattern_.total_time;
        std::uint64_t number = 0;
        while (time_.now() < end)
        {
            waiting_.push_back({object_of(++number), time_.now()});
            finish_ended();
            place_waiting();
            time_.advance(gap);
        }
        return result_;
    }

private:
    struct request
    {
        std::uint64_t object;
        time_point arrived_at;
    };
    struct running
    {
        time_point ends_at;
        request source;
        std::string target;
        time_point sent_at;
        placement place;
        bool queued;
        bool operator>(const running& other) const
        {
            return ends_at > other.ends_at;
        }
    };

    std::uint64_t object_of(std::uint64_t number) const
    {
        return stable_hash(std::to_string(number)) % pattern_.objects;
    }

    void place_waiting()
    {
        for (auto it = waiting_.begin(); it != waiting_.end();)
        {
            const duration age = time_.now() - it->arrived_at;
            const bool placed = try_place(*it);
            const bool timed_out = !placed && age > pattern_.objective / 2;
            result_.refused += timed_out ? 1 : 0;
            it = placed || timed_out ? waiting_.erase(it) : std::next(it);
        }
    }

    bool try_place(const request& waiting)
    {
        const time_point now = time_.now();
        choice_request choice_params;
        choice_params.service = "maps";
        choice_params.object = stable_hash(std::to_string(waiting.object));
        choice_params.region_allowed = [](std::string_view) { return true; };
        choice_params.work = estimate_.current();
        choice_params.remaining = {
            waiting.arrived_at + pattern_.objective - now,
            waiting.arrived_at + pattern_.deadline - now};
        const auto outcome = chooser_.choose(choice_params, now);
        if (!outcome.choice)
        {
            return false;
        }
        const std::string& id = outcome.choice->chosen->record().id;
        simulated_target& simulated = simulated_[id];
        const bool warm = simulated.handle(*choice_params.object,
                                           pattern_.objects_per_target);
        const auto slot = std::min_element(simulated.free_at.begin(),
                                           simulated.free_at.end());
        const bool queued = *slot > now;
        *slot = std::max(*slot, now) + (warm ? pattern_.warm : pattern_.cold);
        outcome.choice->chosen->on_sent(now);
        directory_.locations("maps").record(*choice_params.object, id, now);
        running_.push({*slot, waiting, id, now, outcome.choice->place, queued});
        return true;
    }

    void finish_ended()
    {
        while (!running_.empty() && running_.top().ends_at <= time_.now())
        {
            const running ended = running_.top();
            running_.pop();
            const duration total = ended.ends_at - ended.source.arrived_at;
            (total <= pattern_.objective ? result_.on_time : result_.late) += 1;
            const target_ptr target = directory_.find(ended.target);
            target->on_ended(attempt_result::answered, ended.ends_at);
            if (!ended.queued)
            {
                warm_chance& chance =
                    directory_.locations("maps").warm_chances();
                const bool warm =
                    estimate_.observe(ended.ends_at - ended.sent_at,
                                      chance.estimate(ended.place.object,
                                                      ended.place.rank) > 0.5);
                chance.observe(ended.place.object, ended.place.rank, warm);
            }
        }
    }

    load_pattern pattern_;
    manual_clock time_;
    target_directory directory_;
    target_chooser chooser_;
    work_estimate estimate_;
    std::map<std::string, simulated_target> simulated_;
    std::list<request> waiting_;
    std::priority_queue<running, std::vector<running>, std::greater<>> running_;
    replay_result result_;
};

/// VMs of three failure domains of a region, all targets cold. Each object is
/// requested about once in two seconds in the region.
class cold_region
{
public:
    /// @param exchange_bytes mean size of a request and its answer
    explicit cold_region(std::size_t exchange_bytes)
    {
        for (std::size_t domain = 0; domain < domain_count; ++domain)
        {
            vms_.push_back(std::make_unique<vm>("d" + std::to_string(domain)));
            for (int i = 0; i < 4; ++i)
            {
                vms_.back()->directory.exchange_sizes("maps").observe(
                    exchange_bytes);
            }
        }
        for (std::size_t i = 0; i < targets; ++i)
        {
            target_record record;
            record.id = "t" + std::to_string(i);
            record.service = "maps";
            record.failure_domain = "d" + std::to_string(i % domain_count);
            record.region = "r";
            record.slots = simulated_target::slots;
            for (const auto& entry : vms_)
            {
                entry->directory.put(record, time_.now());
                entry->directory.find(record.id)->mark_tried();
            }
        }
    }

    /// Fraction of the requests of the first seconds that find their object on
    /// their target.
    double warm_fraction(duration within)
    {
        const time_point end = time_.now() + within;
        std::size_t number = 0;
        std::size_t warm = 0;
        while (time_.now() < end)
        {
            warm += request(*vms_[number % domain_count],
                            stable_hash(std::to_string(number)) % objects)
                        ? 1
                        : 0;
            ++number;
            time_.advance(std::chrono::microseconds(3175));
        }
        return static_cast<double>(warm) / static_cast<double>(number);
    }

private:
    static constexpr std::size_t domain_count = 3;
    static constexpr std::size_t targets = 150;
    static constexpr std::size_t objects = 655;
    static constexpr std::size_t objects_per_target = 18;

    struct vm
    {
        explicit vm(const std::string& domain)
            : directory({domain, "r"}), chooser(directory, {})
        {
        }

        target_directory directory;
        target_chooser chooser;
    };

    bool request(vm& entry, std::uint64_t object)
    {
        choice_request choice_params;
        choice_params.service = "maps";
        choice_params.object = stable_hash(std::to_string(object));
        choice_params.region_allowed = [](std::string_view) { return true; };
        choice_params.work = {1360ms, 408ms};
        choice_params.remaining = {1s, 6s};
        const auto outcome = entry.chooser.choose(choice_params, time_.now());
        EXPECT(outcome.choice.has_value());
        const std::string& id = outcome.choice->chosen->record().id;
        entry.directory.locations("maps").record(*choice_params.object, id,
                                                 time_.now());
        return simulated_[id].handle(*choice_params.object, objects_per_target);
    }

    manual_clock time_;
    std::vector<std::unique_ptr<vm>> vms_;
    std::map<std::string, simulated_target> simulated_;
};

/// Credit of an ideal scheduler that finds every object warm after its first
/// request on one target, so that only the slots limit it.
double upper_bound(const load_pattern& pattern)
{
    const double slots =
        static_cast<double>(pattern.targets) * simulated_target::slots;
    const double max_on_time =
        slots / to_seconds(pattern.warm) / pattern.requests_per_s;
    return std::min(1.0, max_on_time);
}

/// Targets inside or outside a region. They accept requests until their slots,
/// and half as many places in their queues, are in use.
class target_group
{
public:
    target_group(double slots, duration work)
        : slots_(slots), work_s_(to_seconds(work))
    {
    }

    /// Accepts as many of the requests arriving within a time as there is room
    /// for.
    double run(double arriving, duration within)
    {
        constexpr double max_queued_per_slot = 0.5;
        const double served =
            std::min(load_, slots_) / work_s_ * to_seconds(within);
        load_ -= served;
        const double accepted =
            std::min(arriving, slots_ * (1 + max_queued_per_slot) - load_);
        load_ += accepted;
        return accepted;
    }

    double load() const
    {
        return load_;
    }

    double slots() const
    {
        return slots_;
    }

private:
    double slots_;
    double work_s_;
    double load_ = 0;
};

/// Requests of a region that ran inside and outside it in one step.
struct region_runs
{
    double local = 0;
    double remote = 0;
};

/// Simulates the callers of a region with a tenth of the slots: all targets
/// cold, and a burst soon after the start.
std::vector<region_runs> simulate_cold_start(duration step, duration total_time)
{
    constexpr double requests_per_s = 513;
    constexpr double burst = 1.7;
    constexpr duration burst_at = 1700ms;
    constexpr duration cold = 800ms;
    // The callers of the other regions take two thirds of the other slots.
    target_group local(72, cold);
    target_group remote(660.0 / 3, cold);
    region_split split;
    time_point now = manual_clock().now();
    const auto load = [&]
    {
        return region_load{local.load(), local.slots(), 3 * remote.load(),
                           3 * remote.slots()};
    };
    split.start(load(), 1.0 / 3, now);
    std::vector<region_runs> out;
    for (duration at{0}; at < total_time; at += step)
    {
        const double arriving =
            requests_per_s * to_seconds(step) * (at >= burst_at ? burst : 1);
        out.push_back(
            {local.run(arriving * (1 - split.other_region_fraction()), step),
             remote.run(arriving * split.other_region_fraction(), step)});
        now += step;
        split.update(load(), now);
    }
    return out;
}

/// Largest change, between two windows of 2 s, of the fraction that ran inside
/// the region.
double largest_shift(const std::vector<region_runs>& steps,
                     std::size_t per_window)
{
    const auto local_fraction = [&](std::size_t from, std::size_t to)
    {
        region_runs sum;
        for (std::size_t i = from; i < to; ++i)
        {
            sum.local += steps[i].local;
            sum.remote += steps[i].remote;
        }
        return sum.local / (sum.local + sum.remote);
    };
    double out = 0;
    // The first window may begin before the first request.
    for (std::size_t boundary = per_window / 4;
         boundary + per_window <= steps.size(); ++boundary)
    {
        const std::size_t first = boundary - std::min(boundary, per_window);
        out = std::max(
            out, std::abs(local_fraction(boundary, boundary + per_window) -
                          local_fraction(first, boundary)));
    }
    return out;
}

} // namespace

// Guards against an initial fraction that keeps more requests in the region
// than its slots can handle: the slots fill up within a second, and the
// requests move to other regions.
Test(gateway_replay, a_cold_start_shifts_little_traffic_between_regions)
{
    constexpr double limit = 0.15;
    constexpr std::size_t steps_in_2_s = 20;
    EXPECT(largest_shift(simulate_cold_start(100ms, 8s), steps_in_2_s) < limit);
}

// Guards against cold work that occupies all slots when targets start cold, so
// that no target becomes warm. Without the limit on late work, the first two
// patterns earn 0.70 and 0.77.
Test(gateway_replay, targets_that_start_cold_become_warm)
{
    section("cold work needs 2.2 times the slots; warm work fits",
            []
            {
                const load_pattern pattern;
                EXPECT(upper_bound(pattern) == 1);
                EXPECT(replay(pattern).run().credit() > 0.8);
            });
    section("warm work needs five sixths of the slots",
            []
            {
                load_pattern pattern;
                pattern.requests_per_s = 250;
                EXPECT(replay(pattern).run().credit() > 0.82);
            });
    section("load above the capacity of warm targets: most of the bound",
            []
            {
                load_pattern pattern;
                pattern.requests_per_s = 400;
                EXPECT(replay(pattern).run().credit() >
                       0.8 * upper_bound(pattern));
            });
}

// Guards against a cold start in which each failure domain warms up its own
// copy of every object, which takes several times as long.
Test(gateway_replay, small_answers_warm_up_over_the_region)
{
    const double small = cold_region(400).warm_fraction(4s);
    const double large = cold_region(90000).warm_fraction(4s);
    EXPECT(small >= 0.5);
    EXPECT(large < small / 1.5);
}

// Guards against objects that move between targets because the scope of their
// service changes with each answer.
Test(gateway_replay, the_scope_follows_objects_and_bytes)
{
    constexpr double limit = 2048;
    EXPECT(choose_scope({100, 10, std::nullopt}, limit) ==
           object_scope::domain);
    EXPECT(choose_scope({100, 10, 400}, limit) == object_scope::region);
    EXPECT(choose_scope({100, 10, 5000}, limit) == object_scope::domain);
    EXPECT(choose_scope({1000, 10, 5000}, limit) == object_scope::region);
    exchange_size size;
    for (int i = 0; i < 3; ++i)
    {
        size.observe(5000);
    }
    EXPECT(!size.average());
    for (int i = 0; i < 100; ++i)
    {
        size.observe(5000);
    }
    for (int i = 0; i < 10; ++i)
    {
        size.observe(400);
    }
    EXPECT(*size.average() > limit);
}
