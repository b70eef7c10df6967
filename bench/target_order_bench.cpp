/// @file
/// @brief Orders of targets compared without a network: objects that change
/// their first target, deviation of the shares from the slots, time per choice.
#include "target_orders.hpp"
#include <siskinflow/gateway/target_chooser.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <numeric>
#include <random>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using namespace target_orders;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t object_count = 10'000;
constexpr std::size_t many_objects = 1'000'000;
constexpr std::size_t domains = 6;
/// Part of the targets in the smallest of the three regions.
constexpr double small_region_part = 10.0 / 106;
/// Changes of a single target over which the moves are averaged.
constexpr int single_changes = 40;
constexpr double large_part = 0.14;

std::vector<std::uint64_t> make_objects(std::size_t count)
{
    std::mt19937_64 rng(seed);
    std::vector<std::uint64_t> out(count);
    std::generate(out.begin(), out.end(), std::ref(rng));
    return out;
}

bench_target make_target(std::mt19937_64& rng, std::size_t number,
                         std::size_t domain)
{
    constexpr std::array<unsigned, 5> slots = {2, 3, 4, 6, 8};
    const std::string name = std::to_string(number);
    return {"target-" + name, "10.0.0.1:" + name, domain,
            slots[rng() % slots.size()]};
}

std::vector<bench_target> make_targets(std::size_t count)
{
    std::mt19937_64 rng(seed + count);
    const auto in_small_region = static_cast<std::size_t>(
        std::lround(static_cast<double>(count) * small_region_part));
    std::vector<bench_target> out;
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t domain =
            i < in_small_region ? domains - 2 + i % 2 : rng() % (domains - 2);
        out.push_back(make_target(rng, i, domain));
    }
    return out;
}

double total_slots(const std::vector<bench_target>& targets)
{
    return std::accumulate(targets.begin(), targets.end(), 0.0,
                           [](double sum, const bench_target& entry)
                           { return sum + entry.slots; });
}

/// A change of the targets; the numbers of those that it concerns are given.
struct change
{
    const char* name;
    std::function<std::vector<bench_target>(
        std::vector<bench_target> targets,
        const std::vector<std::size_t>& chosen)>
        apply;
};

std::vector<bench_target> without(std::vector<bench_target> targets,
                                  const std::vector<std::size_t>& chosen)
{
    std::vector<bench_target> out;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        if (std::find(chosen.begin(), chosen.end(), i) == chosen.end())
        {
            out.push_back(targets[i]);
        }
    }
    return out;
}

std::vector<bench_target> with_more(std::vector<bench_target> targets,
                                    const std::vector<std::size_t>& chosen)
{
    std::mt19937_64 rng(seed);
    const std::size_t first = targets.size();
    for (std::size_t i = 0; i < chosen.size(); ++i)
    {
        const std::size_t domain = targets[chosen[i]].domain;
        targets.push_back(make_target(rng, first + chosen[i], domain));
        targets.back().slots = targets[chosen[i]].slots;
    }
    return targets;
}

std::vector<bench_target> restarted(std::vector<bench_target> targets,
                                    const std::vector<std::size_t>& chosen)
{
    for (const std::size_t i : chosen)
    {
        targets[i].id += "-restarted";
    }
    return targets;
}

std::vector<bench_target> enlarged(std::vector<bench_target> targets,
                                   const std::vector<std::size_t>& chosen)
{
    for (const std::size_t i : chosen)
    {
        targets[i].slots *= 2;
    }
    return targets;
}

const std::vector<change>& changes()
{
    static const std::vector<change> all = {
        {"leave, or are evacuated", without},
        {"join", with_more},
        {"restart under a new id", restarted},
        {"get twice the slots", enlarged}};
    return all;
}

struct moves
{
    double moved = 0;
    double least = 0;
};

std::vector<std::string> first_places(order& subject,
                                      const std::vector<bench_target>& targets,
                                      const std::vector<std::uint64_t>& objects)
{
    subject.build(targets, objects);
    std::vector<std::string> out;
    out.reserve(objects.size());
    for (const std::uint64_t object : objects)
    {
        out.push_back(targets[subject.first(object)].address);
    }
    return out;
}

/// The least moves: objects whose target is gone, or those that the targets
/// need which grow. A target that restarts keeps its address and objects.
moves count_moves(order& subject, const std::vector<bench_target>& before,
                  const std::vector<bench_target>& after,
                  const std::vector<std::uint64_t>& objects)
{
    std::unordered_map<std::string, double> share_before;
    std::unordered_map<std::string, std::string> id_before;
    for (const bench_target& entry : before)
    {
        share_before[entry.address] = entry.slots / total_slots(before);
        id_before[entry.address] = entry.id;
    }
    std::unordered_map<std::string, bool> kept;
    moves out;
    for (const bench_target& entry : after)
    {
        kept[entry.address] = id_before.count(entry.address) == 0 ||
                              id_before[entry.address] == entry.id;
        if (after.size() >= before.size())
        {
            out.least += std::max(0.0, entry.slots / total_slots(after) -
                                           share_before[entry.address]);
        }
    }
    const auto old_places = first_places(subject, before, objects);
    const auto new_places = first_places(subject, after, objects);
    double must_move = 0;
    for (std::size_t i = 0; i < objects.size(); ++i)
    {
        const bool gone = !kept[old_places[i]];
        must_move += gone ? 1 : 0;
        out.moved += gone || old_places[i] != new_places[i] ? 1 : 0;
    }
    const auto count = static_cast<double>(objects.size());
    out.moved /= count;
    out.least = std::max(out.least, must_move / count);
    return out;
}

std::vector<std::size_t> choose_some(std::size_t count, std::size_t of,
                                     std::uint64_t salt)
{
    std::mt19937_64 rng(seed + salt);
    std::vector<std::size_t> all(of);
    std::iota(all.begin(), all.end(), 0);
    std::shuffle(all.begin(), all.end(), rng);
    all.resize(count);
    return all;
}

void print_moves(const char* what, const moves& seen)
{
    std::printf("    %-40s %7.3f %7.3f %7.3f\n", what, seen.moved * 100,
                seen.least * 100, seen.moved / seen.least);
}

void print_changes(order& subject, const std::vector<bench_target>& targets,
                   const std::vector<std::uint64_t>& objects)
{
    std::printf("    %-40s %7s %7s %7s\n", "objects moved (%)", "moved",
                "least", "ratio");
    std::vector<std::size_t> domain;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        if (targets[i].domain == 0)
        {
            domain.push_back(i);
        }
    }
    for (const change& entry : changes())
    {
        moves single;
        for (int i = 0; i < single_changes; ++i)
        {
            const auto chosen =
                choose_some(1, targets.size(), static_cast<std::uint64_t>(i));
            const moves one = count_moves(
                subject, targets, entry.apply(targets, chosen), objects);
            single.moved += one.moved / single_changes;
            single.least += one.least / single_changes;
        }
        print_moves((std::string("one: ") + entry.name).c_str(), single);
        const auto part =
            choose_some(static_cast<std::size_t>(
                            large_part * static_cast<double>(targets.size())),
                        targets.size(), 0);
        print_moves(
            (std::string("14%: ") + entry.name).c_str(),
            count_moves(subject, targets, entry.apply(targets, part), objects));
        print_moves((std::string("domain: ") + entry.name).c_str(),
                    count_moves(subject, targets, entry.apply(targets, domain),
                                objects));
    }
    const auto before = first_places(subject, targets, objects);
    first_places(subject, without(targets, domain), objects);
    const auto back = first_places(subject, targets, objects);
    std::size_t changed = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        changed += before[i] != back[i] ? 1 : 0;
    }
    std::printf("    %-40s %7zu objects elsewhere than before\n",
                "domain: evacuated and taken back", changed);
}

/// Largest deviation of a target's share from its slots, and that of a failure
/// domain, both relative.
void print_shares(const char* what, order& subject,
                  const std::vector<bench_target>& targets,
                  const std::vector<std::uint64_t>& objects)
{
    subject.build(targets, objects);
    std::vector<double> counts(targets.size());
    for (const std::uint64_t object : objects)
    {
        counts[subject.first(object)] += 1;
    }
    std::array<double, domains> domain_counts{};
    std::array<double, domains> domain_slots{};
    double largest = 0;
    const double per_slot =
        static_cast<double>(objects.size()) / total_slots(targets);
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const double slots = targets[i].slots;
        largest =
            std::max(largest, std::abs(counts[i] / (per_slot * slots) - 1));
        domain_counts[targets[i].domain] += counts[i];
        domain_slots[targets[i].domain] += slots;
    }
    double largest_of_domains = 0;
    for (std::size_t i = 0; i < domains; ++i)
    {
        largest_of_domains = std::max(
            largest_of_domains,
            std::abs(domain_counts[i] / (per_slot * domain_slots[i]) - 1));
    }
    std::printf("    largest deviation, %-21s %6.1f%% of a target, %5.1f%% of "
                "a domain\n",
                what, largest * 100, largest_of_domains * 100);
}

double cpu_seconds()
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

/// Shortest processor time of a call in microseconds, over some rounds.
double time_of(const std::function<void(std::uint64_t)>& call)
{
    constexpr int rounds = 5;
    constexpr std::uint64_t calls = 20'000;
    double shortest = 1e9;
    for (int round = 0; round < rounds; ++round)
    {
        const double start = cpu_seconds();
        for (std::uint64_t i = 0; i < calls; ++i)
        {
            call(i);
        }
        shortest = std::min(shortest, (cpu_seconds() - start) / calls);
    }
    return shortest * 1e6;
}

double time_of_order(order& subject, const std::vector<bench_target>& targets,
                     const std::vector<std::uint64_t>& objects)
{
    subject.build(targets, objects);
    std::array<std::uint32_t, ordered> out{};
    return time_of([&](std::uint64_t i)
                   { subject.leading(objects[i % objects.size()], out); });
}

double time_of_build(order& subject, const std::vector<bench_target>& targets,
                     const std::vector<std::uint64_t>& objects)
{
    constexpr int builds = 5;
    const double start = cpu_seconds();
    for (int i = 0; i < builds; ++i)
    {
        subject.build(targets, objects);
    }
    return (cpu_seconds() - start) / builds * 1e6;
}

/// Time of a whole choice of the gateway, for a VM in the first domain.
/// @param load requests of other VMs at each target, relative to its slots
double time_of_choice(const std::vector<bench_target>& targets,
                      bool domain_scope, duration cold, double load)
{
    target_directory directory({"domain-0", "region-0"});
    const time_point now{100s};
    for (const bench_target& entry : targets)
    {
        target_record record;
        record.id = entry.id;
        record.service = "maps";
        record.address = {
            "10.0.0.1",
            static_cast<std::uint16_t>(std::stoi(entry.address.substr(9)) + 1)};
        record.failure_domain = "domain-" + std::to_string(entry.domain);
        record.region = "region-" + std::to_string(entry.domain / 2);
        record.slots = entry.slots;
        directory.put(record, now);
        const auto added = directory.find(entry.id);
        added->mark_tried();
        directory.on_load(
            *added,
            {static_cast<unsigned>(load * entry.slots) + 1, 0, entry.slots},
            now);
    }
    for (int i = 0; i < 4; ++i)
    {
        directory.exchange_sizes("maps").observe(domain_scope ? 90'000 : 400);
    }
    target_chooser chooser(directory, {});
    choice_request request;
    request.service = "maps";
    request.region_allowed = [](std::string_view) { return true; };
    request.work = {cold, cold * 3 / 10};
    request.remaining = {400ms, 2500ms};
    constexpr std::uint64_t objects = 300;
    return time_of(
        [&](std::uint64_t i)
        {
            request.object = stable_hash("object", i % objects);
            const auto outcome = chooser.choose(request, now);
            if (outcome.choice)
            {
                directory.locations("maps").record(
                    *request.object, outcome.choice->chosen->record().id, now);
            }
        });
}

void print_times()
{
    std::printf("\ntime of the first 8 (us of processor time), of a build\n");
    const auto objects = make_objects(object_count);
    for (const auto& subject : all_orders())
    {
        std::printf("    %-40s", subject->name());
        for (const std::size_t count : {40, 106, 410})
        {
            const auto targets = make_targets(count);
            std::printf("  %zu: %6.2f (%7.0f)", count,
                        time_of_order(*subject, targets, objects),
                        time_of_build(*subject, targets, objects));
        }
        std::printf("\n");
    }
    struct situation
    {
        const char* name;
        bool domain_scope;
        duration cold;
        double load;
    };
    const std::array<situation, 4> situations = {
        {{"choice: region, on time", false, 300ms, 0},
         {"choice: domain, on time", true, 300ms, 0},
         {"choice: region, cold work is late", false, 500ms, 0},
         {"choice: region, no target has room", false, 500ms, 2}}};
    for (const situation& entry : situations)
    {
        std::printf("    %-40s", entry.name);
        for (const std::size_t count : {40, 106, 410})
        {
            std::printf("  %zu: %6.2f", count,
                        time_of_choice(make_targets(count), entry.domain_scope,
                                       entry.cold, entry.load));
        }
        std::printf("\n");
    }
}

} // namespace

/// With the argument `times` only the times are measured.
int main(int argc, char** argv)
{
    if (argc > 1 && std::string(argv[1]) == "times")
    {
        print_times();
        return 0;
    }
    const auto objects = make_objects(object_count);
    const auto many = make_objects(many_objects);
    for (const std::size_t count : {106, 410})
    {
        const auto targets = make_targets(count);
        std::printf("\n%zu targets, %.0f slots\n", count, total_slots(targets));
        for (const auto& subject : all_orders())
        {
            std::printf("  %s\n", subject->name());
            print_shares("10,000 objects:", *subject, targets, objects);
            if (subject->scales())
            {
                print_shares("1,000,000 objects:", *subject, targets, many);
            }
            print_changes(*subject, targets, objects);
        }
    }
    print_times();
    return 0;
}
