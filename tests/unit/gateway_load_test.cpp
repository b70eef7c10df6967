#include "test_sections.hpp"
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
// or late messages that leave a wrong load.
Test(gateway_load, the_newest_report_of_the_domain_counts)
{
    manual_clock time;
    time.advance(10s);
    target_directory targets({"d", "r"});
    targets.put(make_record("t"), time.now());
    const target_ptr entry = targets.find("t");
    targets.on_load(*entry, {1, 0, 4}, time.now());
    load_outbox outbox;
    section("a report of another VM replaces an older own one",
            [&]
            {
                outbox.record("t", {4, 3, 4, 2.0}, time.now() + 50ms);
                targets.on_shared_loads(outbox.take(time.now() + 100ms),
                                        time.now() + 110ms);
                EXPECT(near(entry->load(time.now() + 60ms, 0), 6));
                EXPECT(near(entry->pace(time.now() + 60ms), 2.0));
            });
    section("one that is older than the own one is ignored",
            [&]
            {
                outbox.record("t", {0, 0, 4}, time.now() - 500ms);
                targets.on_shared_loads(outbox.take(time.now()), time.now());
                EXPECT(near(entry->load(time.now() + 60ms, 0), 6));
            });
    section("reports of unknown targets and absurd ones are ignored",
            [&]
            {
                outbox.record("other", {1, 0, 4}, time.now() + 1s);
                targets.on_shared_loads(outbox.take(time.now() + 1s),
                                        time.now() + 1s);
                targets.on_shared_loads({{target_number("t"), 9999, 0, 0, 0}},
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
/// least loaded target that they know of. A fifth of the load of a target that
/// runs more than its slots would wait.
double queued_share(bool shares_reports)
{
    constexpr std::size_t vm_count = 18;
    constexpr std::size_t target_count = 20;
    constexpr unsigned slots = 4;
    constexpr duration step = 4ms;
    constexpr duration message_interval = 288ms;
    constexpr duration work = 200ms;
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
    struct running
    {
        time_point ends_at;
        std::size_t vm;
        std::size_t target;
    };
    std::vector<running> in_progress;
    std::vector<unsigned> real_load(target_count);
    double queued = 0;
    double sent = 0;
    const time_point end = time.now() + 10s;
    for (std::size_t tick = 0; time.now() < end; ++tick)
    {
        std::erase_if(
            in_progress,
            [&](const running& request)
            {
                if (request.ends_at > time.now())
                {
                    return false;
                }
                const std::string& id = ids[request.target];
                const load_report report{real_load[request.target], 0, slots};
                const target_ptr entry = vms[request.vm].find(id);
                vms[request.vm].on_load(*entry, report, time.now());
                outboxes[request.vm].record(id, report, time.now());
                entry->on_ended(attempt_result::answered, time.now());
                --real_load[request.target];
                return true;
            });
        const std::size_t vm = tick % vm_count;
        std::size_t best = 0;
        double best_load = 1e9;
        for (std::size_t i = 0; i < target_count; ++i)
        {
            const double load = vms[vm].find(ids[i])->load(
                time.now(), vms[vm].average_peer_load("maps"));
            if (load < best_load)
            {
                best = i;
                best_load = load;
            }
        }
        queued += real_load[best] >= slots ? 1 : 0;
        ++sent;
        ++real_load[best];
        vms[vm].find(ids[best])->on_sent(time.now());
        in_progress.push_back({time.now() + work, vm, best});
        if (shares_reports && tick % (message_interval / step / vm_count) == 0)
        {
            const std::size_t sender =
                tick / (message_interval / step / vm_count) % vm_count;
            const auto loads = outboxes[sender].take(time.now());
            for (std::size_t receiver = 0; receiver < vm_count; ++receiver)
            {
                if (receiver != sender)
                {
                    vms[receiver].on_shared_loads(loads, time.now());
                }
            }
        }
        time.advance(step);
    }
    return queued / sent;
}

} // namespace

// Replays many VMs with a few requests per second each: guards against VMs that
// all choose the target that each of them last saw idle.
Test(gateway_load, shared_reports_avoid_full_targets)
{
    const double alone = queued_share(false);
    const double together = queued_share(true);
    EXPECT(together < alone);
    EXPECT(together < 0.25);
}
