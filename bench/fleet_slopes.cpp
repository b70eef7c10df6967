/// @file
/// @brief Measures the control plane's own cost for growing fleets, with all
/// nodes in one process over an in-memory network: fleet_slopes [max_nodes]
#include "fleet_network.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>

namespace
{

using namespace siskinflow;
using namespace std::chrono_literals;
using fleet_sim::network;

constexpr std::size_t domains = 8;
constexpr std::size_t regions = 3;
constexpr duration measured = 10s;
constexpr duration limit = 60s;

double cpu_seconds()
{
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) * 1e-9;
}

std::size_t heap_bytes()
{
    return ::mallinfo2().uordblks;
}

struct rates
{
    double mean = 0;
    double max = 0;
};

template <class Value>
rates per_second(const network& fleet, Value value)
{
    rates out;
    std::size_t alive = 0;
    for (const auto& vm : fleet.vms)
    {
        if (!vm.node)
        {
            continue;
        }
        ++alive;
        const double rate =
            static_cast<double>(value(vm)) / to_seconds(measured);
        out.mean += rate;
        out.max = std::max(out.max, rate);
    }
    out.mean /= static_cast<double>(alive);
    return out;
}

bool serves(const fleet_node& node)
{
    return node.is_fresh() && node.is_member();
}

void print_time(const char* what, std::optional<duration> took)
{
    if (took)
    {
        std::printf("  %-52s %6.2f s\n", what, to_seconds(*took));
    }
    else
    {
        std::printf("  %-52s not within %.0f s\n", what, to_seconds(limit));
    }
}

/// @brief Fresh nodes at the worst instant of a period.
std::size_t fewest_fresh(network& fleet, duration length)
{
    std::size_t fewest = fleet.vms.size();
    for (duration done{0}; done < length; done += network::tick)
    {
        fleet.run(network::tick);
        fewest = std::min(fewest, fleet.count([](const fleet_node& node)
                                              { return node.is_fresh(); }));
    }
    return fewest;
}

void measure_steady(network& fleet)
{
    const auto count = static_cast<double>(fleet.vms.size());
    for (auto& vm : fleet.vms)
    {
        vm.sent = {};
        vm.received = {};
    }
    fleet.server.calls = 0;
    const double cpu = cpu_seconds();
    const std::size_t fewest = fewest_fresh(fleet, measured);
    const double used = cpu_seconds() - cpu;
    const auto messages = per_second(fleet, [](const network::vm& vm)
                                     { return vm.sent.messages; });
    const auto sent =
        per_second(fleet, [](const network::vm& vm) { return vm.sent.bytes; });
    const auto received = per_second(fleet, [](const network::vm& vm)
                                     { return vm.received.bytes; });
    std::printf("  sent messages/s per node: mean %.1f max %.1f\n",
                messages.mean, messages.max);
    std::printf("  sent bytes/s per node: mean %.0f max %.0f\n", sent.mean,
                sent.max);
    std::printf("  received bytes/s per node: mean %.0f max %.0f\n",
                received.mean, received.max);
    std::printf("  processor time per node: %.3f%% of a core "
                "(with the in-memory network)\n",
                100 * used / to_seconds(measured) / count);
    std::printf("  store calls/s: %.2f, watches pending: %zu\n",
                static_cast<double>(fleet.server.calls) / to_seconds(measured),
                fleet.server.watchers.size());
    std::printf("  fewest fresh nodes at any time: %zu\n", fewest);
}

void measure_revision(network& fleet)
{
    const auto revision =
        fleet.server.put(store_keys::config, std::string(100 * 1024, 'x'));
    const time_point begin = fleet.time.now();
    print_time(
        "100 KB revision known everywhere",
        fleet.run_until_all([revision](const fleet_node& node)
                            { return node.config_revision() >= revision; },
                            limit));
    std::optional<duration> forced;
    if (fleet.run_until_all([revision](const fleet_node& node)
                            { return node.config_in_force(revision); },
                            limit))
    {
        forced = fleet.time.now() - begin;
    }
    print_time("in force everywhere", forced);
}

void measure_replacement(network& fleet)
{
    const std::size_t replaced =
        std::min<std::size_t>(100, (fleet.vms.size() - 1) / 2);
    for (std::size_t i = 0; i < replaced; ++i)
    {
        fleet.kill(2 * i + 1);
    }
    fleet.run(1s);
    for (std::size_t i = 0; i < replaced; ++i)
    {
        fleet.start(2 * i + 1);
    }
    const std::string what =
        "replacement of " + std::to_string(replaced) + " nodes at once";
    print_time(what.c_str(), fleet.run_until_all(serves, limit));
}

void measure_region(network& fleet)
{
    std::vector<bool> inside;
    for (const auto& vm : fleet.vms)
    {
        inside.push_back(vm.self.region == "r2");
    }
    for (std::size_t from = 0; from < inside.size(); ++from)
    {
        for (std::size_t to = 0; to < inside.size(); ++to)
        {
            if (inside[from] != inside[to])
            {
                fleet.cuts.insert({from, to});
            }
        }
        fleet.vms[from].client->cut = inside[from];
    }
    fleet.run(10s);
    std::size_t outside_fresh = 0;
    std::size_t inside_fresh = 0;
    for (std::size_t i = 0; i < inside.size(); ++i)
    {
        const bool fresh = fleet.vms[i].node->is_fresh();
        outside_fresh += fresh && !inside[i] ? 1 : 0;
        inside_fresh += fresh && inside[i] ? 1 : 0;
    }
    std::printf("  10 s after the loss of a region: %zu fresh nodes outside, "
                "%zu inside\n",
                outside_fresh, inside_fresh);
    fleet.cuts.clear();
    for (auto& vm : fleet.vms)
    {
        vm.client->cut = false;
    }
    print_time("all fresh members after its return",
               fleet.run_until_all(serves, limit));
}

void measure(std::size_t count)
{
    std::printf("%zu nodes\n", count);
    const std::size_t heap = heap_bytes();
    network fleet(count);
    fleet.server.put(store_keys::config, "{\"sequence\":1}");
    fleet.add(count, domains, regions);
    fleet.start_all();
    print_time("start of the whole fleet",
               fleet.run_until_all(
                   [count](const fleet_node& node) {
                       return serves(node) &&
                              node.record().members.size() == count;
                   },
                   limit));
    fleet.run(5s);
    std::printf("  heap per node: %.0f KB\n",
                static_cast<double>(heap_bytes() - heap) / 1024 /
                    static_cast<double>(count));
    measure_steady(fleet);
    measure_revision(fleet);
    measure_replacement(fleet);
    fleet.run(5s);
    measure_region(fleet);
    std::printf("  datagrams too large to send: %llu\n",
                static_cast<unsigned long long>(fleet.dropped));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    const std::size_t most =
        argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 440;
    for (const std::size_t count : {7, 14, 28, 56, 112, 224, 440})
    {
        if (count <= most)
        {
            measure(count);
        }
    }
    return 0;
}
