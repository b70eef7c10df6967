#include "gateway_world.hpp"
#include "raw_target.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <semaphore>
#include <sstream>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// Sends requests for several objects to VMs in turn.
/// @return how many were answered with 200
int served(gateway_world& world, std::size_t vms, int count)
{
    int out = 0;
    for (int i = 0; i < count; ++i)
    {
        caller_request look;
        look.object = std::to_string(i);
        const auto got = world.call(static_cast<std::size_t>(i) % vms, look);
        out += got.response.status == 200 ? 1 : 0;
    }
    return out;
}

/// Prints the lines of all VMs that name a target, to trace who sent to it.
void print_lines_of(const gateway_world& world, std::size_t vms,
                    const std::string& target)
{
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        std::istringstream log(world.log(vm));
        for (std::string line; std::getline(log, line);)
        {
            if (line.find("target=" + target + " ") != std::string::npos)
            {
                std::cout << "vm" << vm << ' ' << line << '\n';
            }
        }
    }
}

} // namespace

// Guards against requests to a target that has said in an answer that it is
// leaving, while the store is away and its entry says that it serves (DRAIN).
Test(gateway_withdrawal, a_target_says_that_it_leaves)
{
    // Two VMs in each of two failure domains.
    constexpr std::size_t vms = 4;
    gateway_world world(vms);
    std::vector<standin::platform_target*> targets;
    for (const char* id : {"m1", "m2", "m3"})
    {
        targets.push_back(&world.add_target("maps", named(id)));
    }
    world.configure();
    EXPECT(world.start_all());
    // A VM tells those that it has listed.
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        EXPECT(world.until([&] { return world.lookup(vm).size() == vms; }));
    }
    world.run_for(500ms);
    EXPECT(served(world, vms, 40) == 40);
    // The VMs prefer targets that they know, so one may not be in use.
    std::sort(targets.begin(), targets.end(),
              [](const auto* left, const auto* right)
              { return left->arrivals() > right->arrivals(); });
    const std::string first = targets[0]->id();
    world.store().set_outage(standin::kv_outage::silent);
    // One answer is enough for the VMs of a failure domain.
    constexpr std::uint64_t domains = 2;
    const auto gets_nothing_more = [&](standin::platform_target& target)
    {
        const auto before = target.arrivals();
        EXPECT(served(world, vms, 120) == 120);
        const auto arrivals = target.arrivals() - before;
        return arrivals > 0 && arrivals <= domains;
    };
    section("in a success",
            [&]
            {
                targets[0]->set_leaving(true);
                EXPECT(gets_nothing_more(*targets[0]));
            });
    section("in a failure",
            [&]
            {
                targets[1]->set_leaving(true);
                targets[1]->set_failing(true);
                EXPECT(gets_nothing_more(*targets[1]));
            });
    section("its entry, written again, does not bring it back",
            [&]
            {
                world.store().set_outage(standin::kv_outage::none);
                const auto told = targets[0]->arrivals();
                world.register_target(first, "ready");
                world.run_for(3s);
                EXPECT(served(world, vms, 40) == 40);
                if (targets[0]->arrivals() != told)
                {
                    print_lines_of(world, vms, first);
                }
                EXPECT(targets[0]->arrivals() == told);
            });
    section("another incarnation does",
            [&]
            {
                const auto before = targets[0]->arrivals();
                targets[0]->set_leaving(false);
                world.register_target(first, "ready", 2000);
                world.run_for(3s);
                EXPECT(served(world, vms, 60) == 60);
                EXPECT(targets[0]->arrivals() > before);
            });
}

// Guards against a VM that is not told that a target is leaving, because it was
// not listed yet when another VM of its failure domain got the answer.
Test(gateway_withdrawal, a_vm_that_is_listed_late_is_told)
{
    constexpr std::chrono::milliseconds repeat_limit{5000};
    gateway_world world(3); // The first and the last share a failure domain.
    // The only target at first: a VM prefers those that it knows.
    world.add_target("maps", named("m1")).set_leaving(true);
    world.configure();
    world.start(0);
    EXPECT(world.until([&] { return world.readiness(0) == 200; }));
    const auto is_told = [&](std::size_t vm)
    {
        return world.log(vm).find("name=target_withdrawn target=m1") !=
               std::string::npos;
    };
    EXPECT(world.until(
        [&]
        {
            served(world, 1, 10);
            return is_told(0);
        }));
    world.add_target("maps", named("m2"));
    world.start(2);
    EXPECT(world.until([&] { return is_told(2); }, repeat_limit));
}

// Guards against requests to a target for the time for which it has asked for
// none (BUDGET), and against callers that wait for it in vain.
Test(gateway_withdrawal, a_target_asks_for_a_pause)
{
    gateway_world world(1);
    auto& first = world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    EXPECT(world.until([&] { return world.call(0).response.status == 200; }));
    section("all targets want nothing: refused at once, with the time left",
            [&]
            {
                first.set_retry_after("3.5");
                EXPECT(world.call(0).response.status == 503);
                const auto paused = first.arrivals();
                const auto sent = world.caller().loop().now();
                const auto got = world.call(0);
                EXPECT(world.caller().loop().now() - sent < 150ms);
                EXPECT(got.response.status == 503);
                // A third of the caller's time, which is shorter.
                const double retry_after = std::stod(
                    std::string(got.response.headers.value("retry-after")));
                EXPECT(retry_after > 0.9 && retry_after < 1.1);
                EXPECT(first.arrivals() == paused);
            });
    section("nothing reaches it until the end",
            [&]
            {
                const auto paused = first.arrivals();
                first.set_retry_after("");
                const auto end = world.caller().loop().now() + 2900ms;
                while (world.caller().loop().now() < end)
                {
                    world.call(0);
                    world.run_for(30ms);
                }
                EXPECT(first.arrivals() == paused);
                EXPECT(world.until(
                    [&] { return world.call(0).response.status == 200; }, 3s));
            });
    section("another target serves meanwhile",
            [&]
            {
                auto& second = world.add_target("maps", named("m2"));
                world.run_for(2s);
                first.set_retry_after("3600");
                served(world, 1, 20);
                const auto paused = first.arrivals();
                EXPECT(served(world, 1, 20) == 20);
                EXPECT(first.arrivals() == paused);
                EXPECT(second.arrivals() > 20);
            });
    section("a pause of an hour ends with the incarnation",
            [&]
            {
                const auto paused = first.arrivals();
                first.set_retry_after("");
                world.register_target("m1", "ready", 2000);
                world.run_for(3s);
                EXPECT(served(world, 1, 40) == 40);
                EXPECT(first.arrivals() > paused);
                EXPECT(world.log(0).find("name=target_withdrawn target=m1 "
                                         "service=maps reason=pause") !=
                       std::string::npos);
            });
}

// Guards against the rest of a request that waits for a slow connection and
// reaches a target after it has left (DRAIN).
Test(gateway_withdrawal, a_target_leaves_while_a_request_is_sent)
{
    constexpr int receive_buffer = 2048;
    constexpr std::size_t body_bytes = 60000;
    std::atomic<int> begun{0};
    std::counting_semaphore<> may_read(0);
    raw_target slow([](const raw_target::request&)
                    { return raw_target::reply(""); },
                    [&](const raw_target::request&)
                    {
                        ++begun;
                        may_read.acquire();
                        return std::string();
                    },
                    receive_buffer);
    gateway_world world(1);
    // A long objective: an attempt that seems overdue would be given up.
    world.configure({{"target-latency", "4s"}, {"timeout", "9s"}});
    EXPECT(world.start_all());
    struct way
    {
        std::string name;
        std::function<void()> leave;
    };
    const way ways[] = {
        {"its registration is removed", [&] { world.remove_entry("slow"); }},
        {"it registers as draining",
         [&] { world.add_entry("slow", "maps", slow.port(), 6, "draining"); }}};
    auto& other = world.add_target("maps", named("other"));
    // Whether the VM has learned this of a target last.
    const auto is = [&](const std::string& target, const std::string& change)
    {
        const std::string log = world.log(0);
        const std::string field = "target=" + target + " service=maps change=";
        const auto at = log.rfind(field);
        return at != std::string::npos &&
               log.compare(at + field.size(), change.size(), change) == 0;
    };
    for (const way& each : ways)
    {
        section(each.name,
                [&]
                {
                    // The other target is away, so that the slow one is chosen.
                    world.remove_entry("other");
                    world.add_entry("slow", "maps", slow.port());
                    EXPECT(world.until(
                        [&]
                        {
                            return is("other", "gone") &&
                                   (is("slow", "registered") ||
                                    is("slow", "ready"));
                        }));
                    caller_request look;
                    look.id = "look-" + std::to_string(begun);
                    look.body.assign(body_bytes, 'b');
                    look.patience = 9000ms;
                    std::optional<net::fetch_result> got;
                    const int before = begun;
                    const auto sending = world.send(
                        0, look,
                        [&](const net::fetch_result& result) { got = result; });
                    EXPECT(world.until([&] { return begun > before; }));
                    world.register_target("other", "ready");
                    EXPECT(
                        world.until([&] { return is("other", "registered"); }));
                    EXPECT(!got);
                    each.leave();
                    EXPECT(world.until([&] { return got.has_value(); }, 3s));
                    EXPECT(got && got->response.status == 200);
                    EXPECT(other.runs().count(look.id) == 1);
                    may_read.release();
                    world.run_for(300ms);
                    EXPECT(slow.runs(look.id) == 0);
                });
    }
}
