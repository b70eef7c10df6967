#include "test_sections.hpp"
#include <siskinflow/siskinflow.hpp>

#include <vector>

using namespace siskinflow;
using test_sections::section;

// Guards against a timer that runs early, twice, or after it was cancelled.
Test(timer_queue, runs_due_timers_in_order)
{
    manual_clock time;
    timer_queue timers;
    std::vector<int> ran;
    timers.schedule(time.now() + std::chrono::seconds(2),
                    [&] { ran.push_back(2); });
    timers.schedule(time.now() + std::chrono::seconds(1),
                    [&] { ran.push_back(1); });
    const auto cancelled = timers.schedule(time.now() + std::chrono::seconds(1),
                                           [&] { ran.push_back(3); });
    timers.cancel(cancelled);
    section("before they are due",
            [&]
            {
                timers.run_due(time.now());
                EXPECT(ran.empty());
            });
    section("after both are due",
            [&]
            {
                time.advance(std::chrono::seconds(2));
                timers.run_due(time.now());
                EXPECT((ran == std::vector<int>{1, 2}));
                EXPECT(!timers.next_due().has_value());
            });
}

// Guards against an id that changes when it is formatted and parsed.
Test(ids, incarnation_id_round_trip)
{
    const auto id = make_incarnation_id();
    const auto parsed = parse_incarnation_id(to_string(id));
    EXPECT(parsed.has_value() && parsed.value() == id);
    EXPECT(!parse_incarnation_id("xyz").has_value());
}

// Guards against a chart file and an enum that differ.
Test(state_chart, interprets_the_vm_lifecycle)
{
    const auto chart = state_chart::parse(
        chart_text("vm_lifecycle"),
        {"starting", "serving", "leaving", "draining", "stopped"},
        {"ready", "stop", "lookups_expired", "idle"});
    EXPECT(chart.has_value());
    section("known transition",
            [&] { EXPECT(chart.value().next(0, 0).value() == 1); });
    section("unknown transition",
            [&] { EXPECT(!chart.value().next(4, 0).has_value()); });
    section("a state that the code does not know",
            [&]
            {
                EXPECT(!state_chart::parse(chart_text("vm_lifecycle"),
                                           {"starting"}, {"ready"})
                            .has_value());
            });
}
