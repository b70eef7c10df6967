// Randomized soak of the gateway: real processes on loopback under signals,
// restarts, store outages, target faults and proxies that delay, reset, cut one
// way or silence connections, in series that overlap. It checks what callers
// and targets see and ends with 1 if a promise was broken.
#include "caller_load.hpp"
#include "copy_faults.hpp"
#include "fault_source.hpp"
#include "group_load.hpp"
#include "pipelined_load.hpp"
#include "soak_report.hpp"
#include "storm_check.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>

DEFINE_uint64(seed, 1, "Seed of the faults");
DEFINE_uint32(seconds, 20, "Time with faults, in seconds (1-3600)");
DEFINE_uint32(vms, 3, "Gateway processes (1-30)");
DEFINE_string(logs, "", "Folder for the logs of the gateways; none if empty");
DEFINE_bool(copies, true, "Targets send copies of their refusals");
DEFINE_string(report, "", "File for a report as JSON; none if empty");
DEFINE_string(gateway, "",
              "Absolute path of another build of the gateway; empty: this one");

using namespace siskinflow;
using namespace std::chrono_literals;
using namespace soak;

namespace
{

constexpr std::chrono::milliseconds request_gap{6};
constexpr std::chrono::milliseconds fault_gap{700};
constexpr std::chrono::milliseconds copy_fault_gap{500};
/// After the last fault: the bound of 15 s for service as before.
constexpr std::chrono::milliseconds recovery_limit{15000};
constexpr int recovered_in_a_row = 30;
/// Sets the numbers of the copies apart from those of the load.
constexpr std::uint64_t copy_seed = 0x636f7079;
constexpr std::uint64_t pipeline_seed = 0x70697065;
constexpr std::uint64_t burst_seed = 0x62757273;
constexpr std::uint64_t group_seed = 0x67726f75;
/// Of the organisation that sends ten times as much in spells.
constexpr double burst_rate_per_s = 20;
/// Orders take long enough that each VM always has some in progress.
constexpr std::chrono::milliseconds order_work{400};
constexpr unsigned order_slots = 100;
constexpr std::chrono::milliseconds long_order_work{4500};
/// Of the orders of groups; those of a group are more than have room at once.
constexpr std::chrono::milliseconds draft_work{100};
constexpr unsigned draft_slots = 6;
constexpr int draft_targets = 2;
/// Callers of long orders wait this long.
constexpr std::chrono::milliseconds order_timeout{9000};
/// For orders in progress at the end, and those that are slow.
constexpr std::chrono::milliseconds quiet_limit{15000};

std::vector<standin::platform_target*> add_targets(gateway_world& world)
{
    std::vector<standin::platform_target*> out;
    for (const char* service : {"maps", "orders"})
    {
        for (int i = 0; i < 4; ++i)
        {
            standin::platform_target_options options;
            options.id = std::string(service) + "-" + std::to_string(i);
            options.reports_pace = i % 2 == 0;
            if (std::string(service) == "orders")
            {
                options.work = order_work;
                options.slots = order_slots;
                options.long_work = long_order_work;
            }
            out.push_back(&world.add_target(service, options));
        }
    }
    return out;
}

/// Targets of the orders that groups send. The faults leave them alone.
std::vector<standin::platform_target*> add_draft_targets(gateway_world& world)
{
    world.add_order_service(group_load::service);
    std::vector<standin::platform_target*> out;
    for (int i = 0; i < draft_targets; ++i)
    {
        standin::platform_target_options options;
        options.id = std::string(group_load::service) + "-" + std::to_string(i);
        options.work = draft_work;
        options.slots = draft_slots;
        out.push_back(&world.add_target(group_load::service, options));
    }
    return out;
}

/// Tells the checker what arrives at the targets and runs there.
void watch(const std::vector<standin::platform_target*>& targets,
           promise_checker& promises)
{
    using arrival = standin::platform_target::arrival;
    for (standin::platform_target* target : targets)
    {
        target->on_arrival(
            [&promises, target](const arrival& seen, bool turned_away)
            {
                const duration pause =
                    turned_away ? target->pause() : duration::zero();
                promises.on_arrival(seen.instance, seen.id, pause);
            });
        target->on_run([&promises](const arrival& seen)
                       { promises.on_run(seen); });
    }
}

/// Prints what was played and what became of the requests.
void print_summary(const fault_source& faults, const copy_faults& copies,
                   const pipelined_load& pipelined, const group_load& groups,
                   const promise_checker& promises, std::uint64_t sent)
{
    for (const auto& played : {faults.played(), copies.played()})
    {
        for (const auto& [kind, count] : played)
        {
            std::cout << "played " << count << ": " << kind << "\n";
        }
    }
    for (const auto& [kind, count] : copies.copies())
    {
        std::cout << "copies " << count << ": " << kind << "\n";
    }
    std::cout << "refusals sent " << copies.refusals()
              << ", copies while the request was in progress again "
              << copies.copies_of_same_id() << "\n";
    for (const auto& [pending, count] : pipelined.answers())
    {
        std::cout << "pipelined answers " << count << ": " << pending
                  << " due on their connection\n";
    }
    std::cout << "orders whose group left before the answer " << groups.left()
              << "\n";
    std::cout << "seed " << FLAGS_seed << ", requests " << sent;
    for (const auto& [status, count] : promises.statuses())
    {
        std::cout << ", " << status << ": " << count;
    }
    std::cout << "; most sends in a pause: " << promises.most_in_pause()
              << "; broken: " << promises.broken() << std::endl;
}

/// Prints what is needed to trace a VM that does not serve.
void print_vm_states(gateway_world& world, const promise_checker& promises)
{
    constexpr std::size_t tail_bytes = 2000;
    for (std::size_t vm = 0; vm < FLAGS_vms; ++vm)
    {
        const std::string log = world.log(vm);
        std::cout << "vm" << vm << (world.vm(vm).running() ? " runs" : " ended")
                  << ", ready " << world.readiness(vm) << ", last requests "
                  << promises.last_of(vm) << "\n"
                  << log.substr(log.size() - std::min(log.size(), tail_bytes))
                  << std::endl;
    }
}

void keep_logs(gateway_world& world)
{
    for (std::size_t vm = 0; !FLAGS_logs.empty() && vm < FLAGS_vms; ++vm)
    {
        std::ofstream file(FLAGS_logs + "/vm" + std::to_string(vm) + ".log");
        file << world.log(vm);
    }
}

/// Withdraws a key while the store loses the answers to all watches, and checks
/// that no VM honours it once the change must be in force.
void check_lost_watches(gateway_world& world, promise_checker& promises)
{
    world.set_keys({"key-of-acme", "key-to-withdraw"});
    world.configure();
    world.run_for(contact_time);
    world.store().set_outage(standin::kv_outage::silent);
    world.store().set_outage(standin::kv_outage::none);
    world.set_keys({"key-of-acme"});
    world.configure();
    world.run_for(contact_time);
    for (std::size_t vm = 0; vm < FLAGS_vms; ++vm)
    {
        caller_request request;
        request.id = "look-with-a-withdrawn-key-" + std::to_string(vm);
        request.key = "key-to-withdraw";
        const auto got = world.call(vm, request);
        const bool honoured = got.outcome == net::call_outcome::complete &&
                              got.response.status == 200;
        promises.require(!honoured, request,
                         "a withdrawn key is still honoured");
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Each has numbers of its own, so that the faults of a seed do not depend
    // on when requests are sent.
    std::mt19937_64 load_random(FLAGS_seed);
    std::mt19937_64 fault_random(~FLAGS_seed);
    gateway_world world(FLAGS_vms, link_kind::proxied);
    if (!FLAGS_gateway.empty())
    {
        world.gateway_program(FLAGS_gateway);
    }
    world.set_order_timeout(order_timeout);
    world.add_organisation("bursts", burst_rate_per_s, burst_rate_per_s);
    const auto targets = add_targets(world);
    auto all_targets = targets;
    for (standin::platform_target* target : add_draft_targets(world))
    {
        all_targets.push_back(target);
    }
    world.configure();
    if (!world.start_all())
    {
        std::cout << "BROKEN the gateways are not ready" << std::endl;
        for (std::size_t vm = 0; vm < FLAGS_vms; ++vm)
        {
            std::cout << world.log(vm) << std::endl;
        }
        return 1;
    }
    promise_checker promises(world, FLAGS_vms);
    caller_load load(world, promises, load_random, FLAGS_vms);
    watch(all_targets, promises);
    fault_source faults(world, promises, targets, fault_random, FLAGS_vms);
    copy_faults copies(world, targets, FLAGS_seed ^ copy_seed, FLAGS_copies);
    pipelined_load pipelined(world, promises, FLAGS_seed ^ pipeline_seed,
                             FLAGS_vms);
    group_load groups(world, promises, FLAGS_seed ^ group_seed, FLAGS_vms);
    load.start(request_gap);
    load.start_bursts(FLAGS_seed ^ burst_seed);
    pipelined.start();
    groups.start();
    auto striking =
        world.caller().loop().every(fault_gap, [&faults] { faults.strike(); });
    auto copying = world.caller().loop().every(copy_fault_gap,
                                               [&copies] { copies.strike(); });
    world.run_for(std::chrono::seconds(FLAGS_seconds));
    striking.reset();
    copying.reset();
    world.run_for(7s); // Faults in progress end; stopped VMs start again.
    const bool recovered =
        world.until([&] { return load.served_in_a_row() > recovered_in_a_row; },
                    recovery_limit);
    promises.require(recovered, {}, "no service after the last fault");
    if (!recovered)
    {
        print_vm_states(world, promises);
    }
    load.stop();
    pipelined.stop();
    groups.stop();
    world.until([&]
                { return load.idle() && pipelined.idle() && groups.idle(); },
                quiet_limit);
    check_lost_watches(world, promises);
    if (FLAGS_vms > 1)
    {
        storm_check(world, promises, FLAGS_seed % FLAGS_vms).run();
    }
    const bool quiet = world.until(
        [&]
        {
            return std::all_of(all_targets.begin(), all_targets.end(),
                               [](const standin::platform_target* target)
                               { return target->running() == 0; });
        },
        quiet_limit);
    promises.require(quiet, {}, "targets are still at work");
    promises.check_orders();
    for (const standin::platform_target* target : all_targets)
    {
        promises.require(target->faults() == 0, {},
                         "a target saw a key or no organisation");
    }
    keep_logs(world);
    print_summary(faults, copies, pipelined, groups, promises, load.sent());
    if (!FLAGS_report.empty() &&
        !write_report(FLAGS_report, FLAGS_seed, faults, copies, promises))
    {
        std::cout << "can't write " << FLAGS_report << std::endl;
        return 1;
    }
    return promises.broken() == 0 ? 0 : 1;
}
