#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/load/load_sharing.hpp>
#include <siskinflow/gateway/targets.hpp>

#include <cmath>
#include <http_codec.hpp>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

target_record make_record(const std::string& id)
{
    target_record out;
    out.id = id;
    out.service = "maps";
    out.failure_domain = "d";
    out.region = "r";
    out.slots = 4;
    return out;
}

answer_fields read_load(const char* header)
{
    const platform::http_codec codec;
    return codec.read_answer({{"siskinflow-server-load", header}}, 200);
}

bool near(double left, double right)
{
    return std::abs(left - right) < 0.01;
}

} // namespace

// Guards against dropping the reports of targets that tell no pace, and against
// a pace that stops or floods a target.
Test(gateway_load, reports_have_three_or_four_figures)
{
    EXPECT(!read_load("3,1,4").load->pace);
    EXPECT(near(*read_load("3,1,4,250").load->pace, 2.5));
    EXPECT(near(*read_load("3,1,4,0").load->pace, min_pace));
    EXPECT(near(*read_load("3,1,4,999999").load->pace, max_pace));
    EXPECT(!read_load("3,1,4,fast").load->pace);
    EXPECT(!read_load("3,1").load);
    EXPECT(!is_plausible({50, 0, 4}) && !is_plausible({1, 0, 0}) &&
           is_plausible({4, 12, 4}));
}

// Guards against slow targets that are still used as fast ones, and against a
// slow moment that is remembered after it has passed.
Test(gateway_load, a_reported_pace_fades)
{
    target entry(make_record("t"));
    manual_clock time;
    time.advance(10s);
    entry.on_load({1, 0, 4, 2.5}, time.now());
    EXPECT(near(entry.slowness(time.now()), 2.5));
    EXPECT(near(entry.slowness(time.now() + 300ms), 1.75));
    EXPECT(entry.slowness(time.now() + 3s) < 1.01);
}

// Guards against an older report that replaces a newer one, and against lost
// or late messages that leave a wrong pace.
Test(gateway_load, the_newest_report_of_the_domain_counts)
{
    manual_clock time;
    time.advance(10s);
    target_directory targets({"d", "r"});
    targets.put(make_record("t"), time.now());
    const target_ptr entry = targets.find("t");
    targets.on_load(*entry, {1, 0, 4, 1.0}, time.now());
    load_outbox outbox;
    section("the pace of another VM's report replaces an older own one",
            [&]
            {
                outbox.record("t", {4, 3, 4, 2.0}, time.now() + 50ms);
                targets.on_shared_loads(outbox.take(time.now() + 100ms),
                                        time.now() + 110ms);
                EXPECT(near(entry->pace(time.now() + 60ms), 2.0));
            });
    section("its load counts for the average of the service only",
            [&]
            {
                EXPECT(near(entry->load(time.now(), 0), 0));
                EXPECT(targets.average_peer_load("maps") > 0);
            });
    section("one that is older than the own one is ignored",
            [&]
            {
                outbox.record("t", {0, 0, 4, 5.0}, time.now() - 500ms);
                targets.on_shared_loads(outbox.take(time.now()), time.now());
                EXPECT(near(entry->pace(time.now() + 60ms), 2.0));
            });
    section("reports of unknown targets and absurd ones are ignored",
            [&]
            {
                outbox.record("other", {1, 0, 4}, time.now() + 1s);
                targets.on_shared_loads(outbox.take(time.now() + 1s),
                                        time.now() + 1s);
                targets.on_shared_loads({{target_number("t"), 9999, 0, 900, 0}},
                                        time.now() + 1s);
                EXPECT(near(entry->pace(time.now() + 60ms), 2.0));
            });
}

// Guards against messages that grow with the number of targets.
Test(gateway_load, a_message_carries_the_newest_reports)
{
    manual_clock time;
    time.advance(10s);
    load_outbox outbox;
    for (int i = 0; i < 100; ++i)
    {
        outbox.record("t" + std::to_string(i), {1, 0, 4},
                      time.now() + std::chrono::milliseconds(i));
    }
    const auto loads = outbox.take(time.now() + 100ms);
    EXPECT(loads.size() == max_shared_loads);
    EXPECT(loads.front().target == target_number("t99"));
    EXPECT(outbox.take(time.now() + 100ms).empty());
}

namespace
{

/// VMs of one failure domain that each place a few requests per second on the
/// fastest of the three targets of an object. Other work slows down each
/// seventh target by 2.5 for 600 ms at a time.
/// @return share of the requests that came to a slow target
double slow_share(bool shares_reports)
{
    constexpr std::size_t vm_count = 18;
    constexpr std::size_t target_count = 21;
    constexpr std::size_t targets_per_object = 3;
    constexpr std::size_t steps_per_message = 4;
    constexpr std::size_t step_count = 5000;
    constexpr std::size_t steps_per_slow_time = 150;
    constexpr std::size_t slow_every = 7;
    constexpr duration step = 4ms;
    manual_clock time;
    time.advance(10s);
    std::vector<target_directory> vms(vm_count, target_directory({"d", "r"}));
    std::vector<load_outbox> outboxes(vm_count);
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < target_count; ++i)
    {
        ids.push_back("t" + std::to_string(i));
        for (target_directory& vm : vms)
        {
            vm.put(make_record(ids.back()), time.now());
        }
    }
    std::size_t slow_requests = 0;
    for (std::size_t number = 0; number < step_count; ++number)
    {
        const std::size_t vm = number % vm_count;
        std::size_t best = target_count;
        for (std::size_t i = 0; i < targets_per_object; ++i)
        {
            const std::size_t option =
                stable_hash(std::to_string(number), i) % target_count;
            if (best == target_count ||
                vms[vm].find(ids[option])->slowness(time.now()) <
                    vms[vm].find(ids[best])->slowness(time.now()))
            {
                best = option;
            }
        }
        const bool slow =
            (best + number / steps_per_slow_time) % slow_every == 0;
        slow_requests += slow ? 1 : 0;
        const load_report report{1, 0, 4, slow ? 2.5 : 1.0};
        vms[vm].on_load(*vms[vm].find(ids[best]), report, time.now());
        outboxes[vm].record(ids[best], report, time.now());
        if (shares_reports && number % steps_per_message == 0)
        {
            const std::size_t sender = number / steps_per_message % vm_count;
            const auto loads = outboxes[sender].take(time.now());
            for (target_directory& receiver : vms)
            {
                receiver.on_shared_loads(loads, time.now());
            }
        }
        time.advance(step);
    }
    return static_cast<double>(slow_requests) / step_count;
}

} // namespace

// Replays many VMs with a few requests per second each: guards against VMs that
// send to a slow machine because none of them has heard of it lately.
Test(gateway_load, shared_reports_avoid_slow_machines)
{
    EXPECT(slow_share(true) < 0.8 * slow_share(false));
}
