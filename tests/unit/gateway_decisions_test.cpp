#include "test_sections.hpp"
#include <siskinflow/gateway/placement.hpp>
#include <siskinflow/gateway/planned_stop.hpp>
#include <siskinflow/gateway/policy.hpp>
#include <siskinflow/gateway/rate_share.hpp>
#include <siskinflow/gateway/region_split.hpp>
#include <siskinflow/gateway/targets.hpp>
#include <siskinflow/gateway/wait_queue.hpp>
#include <siskinflow/gateway/work_estimate.hpp>

#include <rapidcheck.h>

#include <cmath>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr work_time typical_work{640ms, 192ms};

candidate local_candidate(std::uint32_t id, object_state object, double load)
{
    candidate out;
    out.target = id;
    out.object = object;
    out.warm_chance = object == object_state::recent ? 0.95 : 0.05;
    out.load = load;
    out.slots = 6;
    out.rank = id;
    return out;
}

} // namespace

// Guards against requests that run cold on a free target while a warm one would
// have answered sooner, and against queueing requests that can't be answered in
// time.
Test(gateway_placement, prefers_the_earliest_expected_answer)
{
    section("a warm target with a short queue beats a free cold one",
            [&]
            {
                const std::vector<candidate> options = {
                    local_candidate(0, object_state::recent, 6.5),
                    local_candidate(1, object_state::cold, 0)};
                const auto chosen = place(options, typical_work, {500ms, 3s});
                EXPECT(chosen && chosen->target == 0 && chosen->on_time &&
                       chosen->object == object_state::recent);
            });
    section("another region is used if the own region is late",
            [&]
            {
                candidate remote = local_candidate(1, object_state::recent, 0);
                remote.target_distance = distance::other_region;
                const std::vector<candidate> options = {
                    local_candidate(0, object_state::cold, 0), remote};
                const auto chosen = place(options, typical_work, {500ms, 3s});
                EXPECT(chosen && chosen->target == 1 && chosen->on_time);
            });
    section("a late request does not queue at a target",
            [&]
            {
                const std::vector<candidate> options = {
                    local_candidate(0, object_state::cold, 6)};
                EXPECT(!place(options, typical_work, {500ms, 3s}));
            });
    section("a new target in the failure domain gets a first request",
            [&]
            {
                candidate new_target =
                    local_candidate(1, object_state::cold, 0);
                new_target.untried = true;
                const std::vector<candidate> options = {
                    local_candidate(0, object_state::recent, 0), new_target};
                EXPECT(place(options, typical_work, {500ms, 3s})->target == 1);
            });
    section("no target that can't answer before the deadline is chosen",
            [&]
            {
                const std::vector<candidate> options = {
                    local_candidate(0, object_state::cold, 0)};
                EXPECT(!place(options, typical_work, {100ms, 200ms}));
            });
}

// Guards against refusing the requests of a new route because of its initial
// work time estimate.
Test(gateway_work_estimate, initial_estimate_allows_a_first_request)
{
    cr_assert(rc::check(
        [&]
        {
            const auto timeout =
                std::chrono::milliseconds(*rc::gen::inRange(40, 5000));
            const auto objective =
                std::chrono::milliseconds(*rc::gen::inRange(20, 5000));
            const work_estimate estimate(objective, timeout);
            const std::vector<candidate> options = {
                local_candidate(0, object_state::cold, 0)};
            RC_ASSERT(place(options, estimate.current(), {objective, timeout}));
        }));
}

// Guards against checks that take milliseconds and make a target seem fast: it
// then got requests for objects that it did not hold.
Test(gateway_work_estimate, requests_without_an_object_are_not_measured)
{
    EXPECT(measures_work({false, false, true, true}));
    EXPECT(!measures_work({false, false, true, false}));
    EXPECT(measures_work({false, false, false, false}));
    EXPECT(!measures_work({true, false, true, true}));
    EXPECT(!measures_work({false, true, true, true}));
}

// Guards against a route that matches by a shorter prefix or another host.
Test(gateway_policy, finds_the_longest_prefix_of_the_host)
{
    policy document;
    document.version = 3;
    for (const char* prefix : {"/a/", "/a/b/"})
    {
        route_policy route;
        route.name = prefix;
        route.host = "Maps.example";
        route.path_prefix = prefix;
        route.services = {{"maps", 1}};
        document.routes.push_back(route);
    }
    const policy_index index(document);
    EXPECT(index.find_route("maps.example:80", "/a/b/c")->name == "/a/b/");
    EXPECT(index.find_route("maps.example", "/a/c")->name == "/a/");
    EXPECT(index.find_route("maps.example", "/a") == nullptr);
    EXPECT(index.find_route("other.example", "/a/b/") == nullptr);
}

namespace
{

/// VMs that each hold a share of one rate and exchange reports of their demand.
struct simulated_vms
{
    simulated_vms(std::size_t count, double rate, double burst, time_point now)
        : shares(count), rate(rate), burst(burst)
    {
        update(now);
    }

    void update(time_point now)
    {
        for (rate_share& share : shares)
        {
            share.update(rate, burst, shares.size(), now);
        }
    }

    void exchange_reports(time_point now)
    {
        for (std::size_t from = 0; from < shares.size(); ++from)
        {
            for (std::size_t to = 0; to < shares.size(); ++to)
            {
                if (from != to)
                {
                    shares[to].on_report({std::to_string(from),
                                          report_scope::domain_vm, 1,
                                          now - previous_exchange},
                                         shares[from].report(now), now);
                }
            }
        }
        previous_exchange = now;
        update(now);
    }

    std::vector<rate_share> shares;
    time_point previous_exchange{};
    double rate;
    double burst;
};

} // namespace

// Guards against refusing an organisation within its rate because its traffic
// arrives at one VM, and against admitting more than its rate in total.
Test(gateway_rate_share, follows_the_demand)
{
    constexpr double rate = 100;
    constexpr double burst = 100;
    constexpr duration step = 1ms;
    section("all traffic on one VM gets nearly the whole rate",
            [&]
            {
                manual_clock time;
                simulated_vms vms(7, rate, burst, time.now());
                int refused = 0;
                int sent = 0;
                for (int ms = 0; ms < 20000; ++ms)
                {
                    if (ms % 500 == 0)
                    {
                        vms.exchange_reports(time.now());
                    }
                    if (ms % 16 == 0)
                    {
                        ++sent;
                        refused += vms.shares[0].admit(time.now()) ? 0 : 1;
                    }
                    time.advance(step);
                }
                EXPECT(refused * 50 < sent);
            });
    section("the few requests of a small organisation pass on any VM",
            [&]
            {
                manual_clock time;
                simulated_vms vms(30, 10, 10, time.now());
                int refused = 0;
                for (int ms = 0; ms < 20000; ++ms)
                {
                    if (ms % 1000 == 0)
                    {
                        vms.exchange_reports(time.now());
                    }
                    if (ms % 160 == 0)
                    {
                        const auto vm = static_cast<std::size_t>(ms / 160 * 7);
                        refused +=
                            vms.shares[vm % 30].admit(time.now()) ? 0 : 1;
                    }
                    time.advance(step);
                }
                EXPECT(refused <= 2);
            });
    section(
        "several times the rate on all VMs is limited to the rate",
        [&]
        {
            cr_assert(rc::check(
                "no window exceeds rate x window + burst",
                [&]
                {
                    manual_clock time;
                    simulated_vms vms(7, rate, burst, time.now());
                    const auto busy_vm = *rc::gen::inRange<std::size_t>(0, 7);
                    const auto interval_ms = *rc::gen::inRange(1, 6);
                    std::vector<int> admitted;
                    for (int ms = 0; ms < 12000; ++ms)
                    {
                        if (ms % 500 == 0)
                        {
                            vms.exchange_reports(time.now());
                        }
                        admitted.push_back(0);
                        const bool all_vms_busy = ms > 6000;
                        for (std::size_t vm = 0; vm < 7; ++vm)
                        {
                            if ((all_vms_busy || vm == busy_vm) &&
                                ms % interval_ms == 0)
                            {
                                admitted.back() +=
                                    vms.shares[vm].admit(time.now()) ? 1 : 0;
                            }
                        }
                        time.advance(step);
                    }
                    constexpr int window_ms = 5000;
                    int sum = 0;
                    for (int ms = 0; ms < 12000; ++ms)
                    {
                        sum += admitted[ms];
                        sum -= ms >= window_ms ? admitted[ms - window_ms] : 0;
                        // The contract tolerates 10% and 20 requests more.
                        RC_ASSERT(sum <= (rate * 5 + burst) * 1.1 + 20);
                    }
                }));
        });
}

// Guards against exceeding the request rate of a cold target, and against
// traffic to a target that fails every request.
Test(gateway_target, limits_requests_when_cold_or_failing)
{
    const time_point now = manual_clock().now();
    target_record record;
    record.id = "t1";
    record.slots = 6;
    section("cold: one request, then as many as its rate allows",
            [&]
            {
                target entry(record);
                entry.on_warm_up_left(3s, now);
                entry.limit_cold_rate(2, now);
                EXPECT(entry.admits(now));
                entry.on_sent(now);
                EXPECT(!entry.admits(now));
                EXPECT(entry.admits(now + 600ms));
                EXPECT(entry.admits(now + 4s));
            });
    section("unreachable: ejected, then probed by one request",
            [&]
            {
                target entry(record);
                entry.on_sent(now);
                entry.on_ended(attempt_result::unreachable, now);
                EXPECT(!entry.admits(now + 100ms));
                EXPECT(entry.admits(now + 600ms));
                entry.on_sent(now + 600ms);
                EXPECT(!entry.admits(now + 600ms));
                entry.on_ended(attempt_result::answered, now + 700ms);
                EXPECT(entry.admits(now + 700ms));
            });
    section("a load report of other VMs decays to their average load",
            [&]
            {
                target entry(record);
                EXPECT(entry.on_load({5, 2, 6}, now) == 6);
                EXPECT(entry.load(now, 2) == 6);
                EXPECT(std::abs(entry.load(now + 8s, 2) - 2) < 0.1);
            });
}

// Guards against placing a request after one of lower priority, and against
// admitting requests to a queue that is too long.
Test(gateway_waiting_line, orders_by_priority_then_arrival)
{
    const time_point now = manual_clock().now();
    wait_queue queue;
    queue.add(1, {2, 2}, now);
    queue.add(2, {0, 2}, now + 1ms);
    queue.add(3, {2, 2}, now + 2ms);
    EXPECT(queue.order() == (std::vector<waiting_id>{2, 1, 3}));
    for (int i = 0; i < 100; ++i)
    {
        queue.on_placed(now + i * 10ms);
    }
    section("a request of higher priority waits less",
            [&]
            {
                const time_point later = now + 1s;
                EXPECT(queue.expected_wait({0, 0}, later) <
                       queue.expected_wait({2, 2}, later));
            });
    queue.remove(2);
    EXPECT(queue.size() == 2);
}

// Guards against an overloaded region while others have free slots, and against
// traffic that moves between regions too fast.
Test(gateway_region_split, moves_slowly_towards_free_slots)
{
    time_point now = manual_clock().now();
    section("a region with a tenth of the slots and a third of the callers",
            [&]
            {
                region_split split;
                split.start({0, 72, 0, 660}, 1.0 / 3, now);
                const double local_fraction = 72.0 / (72 + 660) * 3;
                EXPECT(std::abs(split.other_region_fraction() -
                                (1 - local_fraction)) < 0.001);
            });
    section("a region with its part of the slots keeps its requests",
            [&]
            {
                region_split split;
                split.start({0, 330, 0, 400}, 1.0 / 3, now);
                EXPECT(split.other_region_fraction() == 0);
            });
    section(
        "no more than 15% in 2 s under any load",
        [&]
        {
            cr_assert(rc::check(
                [&]
                {
                    region_split split;
                    time_point at = now;
                    split.start({0, 72, 0, 660}, 1.0 / 3, at);
                    std::vector<double> fractions;
                    for (int i = 0; i < 60; ++i)
                    {
                        fractions.push_back(split.other_region_fraction());
                        at += 200ms;
                        const auto local_load = *rc::gen::inRange(0, 200);
                        const auto remote_load = *rc::gen::inRange(0, 1500);
                        split.update(
                            {double(local_load), 72, double(remote_load), 660},
                            at);
                        if (i >= 10)
                        {
                            RC_ASSERT(std::abs(split.other_region_fraction() -
                                               fractions[i - 10 + 1]) <= 0.15);
                        }
                    }
                }));
        });
    section("a sudden loss of slots changes the fraction immediately",
            [&]
            {
                region_split split;
                split.start({0, 300, 0, 600}, 1.0 / 3, now);
                split.update({100, 150, 100, 600}, now + 200ms);
                EXPECT(split.other_region_fraction() > 0.45);
            });
    section("an object stays on its side while the fraction stays",
            [&]
            {
                region_split split;
                split.start({0, 72, 0, 660}, 1.0 / 3, now);
                for (std::uint64_t object = 0; object < 100; ++object)
                {
                    EXPECT(split.use_other_region(object * 7919) ==
                           split.use_other_region(object * 7919));
                }
            });
}

// Guards against a stopping VM that takes requests which it will have to cut,
// or turns away those that it could serve.
Test(gateway_planned_stop, takes_what_can_end_in_time)
{
    const time_point requested{100s};
    const planned_stop stop(requested, 6s);
    section("short requests until shortly before the requests are cut",
            [&]
            {
                EXPECT(stop.accepts(requested + 4s, requested + 5s));
                EXPECT(!stop.accepts(requested + 5s, requested + 6s));
            });
    section("long requests while callers still use old lookups",
            [&]
            {
                EXPECT(stop.accepts(requested + 2s, requested + 12s));
                EXPECT(!stop.accepts(requested + 3s, requested + 12s));
            });
    section("requests are cut in the last sixth, with time to send the answers",
            [&]
            {
                EXPECT(stop.cut_at() > requested + 5s);
                EXPECT(stop.exit_at() - stop.cut_at() >= 400ms);
                EXPECT(stop.exit_at() < requested + 6s);
            });
    section("a short grace time keeps the order",
            [&]
            {
                const planned_stop brief(requested, 600ms);
                EXPECT(requested < brief.cut_at());
                EXPECT(brief.cut_at() < brief.exit_at());
                EXPECT(brief.exit_at() < requested + 600ms);
            });
}
