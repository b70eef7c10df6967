/// @file
/// @brief Size, build time and speed of the site map at 1.3 million blocks.
///
/// Blocks are drawn inside networks, as registries hand them out: a network
/// has a home site, and a block in it has that site with the probability
/// `locality`, otherwise any site. The table of lengths follows the shape of
/// public routing tables: mostly /24 in IPv4 and /48 in IPv6.
#include <siskinflow/routing/site_map.hpp>
#include <siskinflow/routing/site_map_chunks.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <span>
#include <unordered_map>

using namespace siskinflow;
using namespace siskinflow::routing;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t block_count = 1'300'000;
constexpr int sites = 48;
constexpr double v6_part = 0.2;
constexpr std::size_t networks_per_family = 20'000;
constexpr std::size_t lookups = 4'000'000;
constexpr int rounds = 5;
constexpr int changes = 40;
constexpr double outside_part = 0.2; ///< Lookups of any address at all.

using engine = std::mt19937_64;
using block_map = std::map<ip_block, site_number>;

struct weighted_length
{
    std::uint8_t length;
    double weight;
};

constexpr weighted_length v4_lengths[] = {
    {24, 58}, {23, 10}, {22, 11}, {21, 5}, {20, 5}, {19, 3},
    {18, 2},  {17, 1},  {16, 2},  {25, 1}, {26, 1}, {28, 1}};
constexpr weighted_length v6_lengths[] = {{48, 46}, {32, 12}, {44, 10},
                                          {40, 10}, {36, 5},  {29, 2},
                                          {56, 10}, {64, 5}};

struct network
{
    ip_block block;
    site_number home = 0;
};

double part(engine& rng)
{
    return std::uniform_real_distribution<double>(0, 1)(rng);
}

std::uint64_t cut(std::uint64_t address, int length)
{
    return length == 0 ? 0 : address >> (64 - length) << (64 - length);
}

std::uint8_t draw_length(std::span<const weighted_length> table, engine& rng)
{
    double sum = 0;
    for (const auto& entry : table)
    {
        sum += entry.weight;
    }
    double left = part(rng) * sum;
    for (const auto& entry : table)
    {
        left -= entry.weight;
        if (left < 0)
        {
            return entry.length;
        }
    }
    return table.back().length;
}

/// IPv4 networks are /12 to /16; IPv6 ones are /20 to /28 in 2000::/3.
std::vector<network> draw_networks(bool v6, engine& rng)
{
    std::vector<network> out(networks_per_family);
    for (auto& entry : out)
    {
        const auto length =
            static_cast<std::uint8_t>(v6 ? 20 + rng() % 9 : 12 + rng() % 5);
        const std::uint64_t address =
            v6 ? (rng() >> 3) | std::uint64_t(1) << 61 : rng();
        entry.block = {v6, cut(address, length), length};
        entry.home = static_cast<site_number>(rng() % sites);
    }
    return out;
}

ip_block draw_block(const network& in, engine& rng)
{
    const bool v6 = in.block.v6;
    const auto length =
        v6 ? draw_length(v6_lengths, rng) : draw_length(v4_lengths, rng);
    const std::uint64_t inside = rng() >> in.block.length;
    return {v6, cut(in.block.start | inside, length),
            std::max(length, in.block.length)};
}

block_map generate(double locality, engine& rng)
{
    const auto v4 = draw_networks(false, rng);
    const auto v6 = draw_networks(true, rng);
    block_map out;
    while (out.size() < block_count)
    {
        const auto& from = part(rng) < v6_part ? v6 : v4;
        const auto& network = from[rng() % from.size()];
        const auto site = part(rng) < locality
                              ? network.home
                              : static_cast<site_number>(rng() % sites);
        out.emplace(draw_block(network, rng), site);
    }
    return out;
}

site_map build(const block_map& blocks)
{
    site_map_builder builder;
    for (const auto& [block, site] : blocks)
    {
        builder.set(block, site).value();
    }
    return builder.build();
}

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

std::vector<ip_address> draw_addresses(const block_map& blocks, engine& rng)
{
    std::vector<ip_block> list;
    for (const auto& [block, site] : blocks)
    {
        list.push_back(block);
    }
    std::vector<ip_address> out(lookups);
    for (auto& address : out)
    {
        const auto& block = list[rng() % list.size()];
        const std::uint64_t inside = block.length ? rng() >> block.length : 0;
        address = {block.v6, block.start | inside, rng()};
        if (part(rng) < outside_part)
        {
            address.high = rng();
        }
    }
    return out;
}

void measure_lookups(const site_map& map, const block_map& blocks, engine& rng)
{
    const auto addresses = draw_addresses(blocks, rng);
    std::vector<double> rates;
    std::size_t found = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const auto start = std::chrono::steady_clock::now();
        for (const auto& address : addresses)
        {
            found += map.find(address).has_value();
        }
        rates.push_back(static_cast<double>(lookups) / seconds_since(start));
    }
    std::sort(rates.begin(), rates.end());
    std::printf("  lookups: median %.1f M/s, lowest %.1f M/s (%.0f%% found)\n",
                rates[rounds / 2] / 1e6, rates.front() / 1e6,
                100.0 * static_cast<double>(found) / (rounds * lookups));
}

/// Sets, changes or removes one block.
void change_one(block_map& blocks, engine& rng)
{
    const auto near = blocks.lower_bound({rng() % 5 == 0, rng(), 0});
    auto entry = near == blocks.end() ? blocks.begin() : near;
    switch (rng() % 3)
    {
    case 0:
        blocks.erase(entry);
        break;
    case 1:
        entry->second = static_cast<site_number>((entry->second + 1) % sites);
        break;
    default:
        const int longest = entry->first.v6 ? max_v6_length : 32;
        const int length = std::min(entry->first.length + 1, longest);
        blocks.emplace(ip_block{entry->first.v6, entry->first.start,
                                static_cast<std::uint8_t>(length)},
                       static_cast<site_number>(rng() % sites));
    }
}

/// A node follows a publisher through single-block changes.
void measure_changes(block_map& blocks, engine& rng)
{
    site_map_replica publisher;
    site_map_replica node;
    std::unordered_map<std::string, std::string> store;
    std::size_t most = 0;
    std::size_t sum = 0;
    std::vector<double> loads_s;
    for (int change = 0; change <= changes; ++change)
    {
        const auto release = publisher.make_release(build(blocks));
        for (const auto& [hash, content] : release.chunks)
        {
            store[hash] = content;
        }
        std::size_t bytes = encode(release.manifest).size();
        const auto start = std::chrono::steady_clock::now();
        for (const auto& hash : node.missing_chunks(release.manifest))
        {
            bytes += store[hash].size();
        }
        const auto source = [&](const std::string& hash)
        { return std::optional(store.at(hash)); };
        node.load(release.manifest, source).value();
        const double took_s = seconds_since(start);
        publisher.load(release.manifest, source).value();
        if (change == 0)
        {
            std::size_t largest = 0;
            for (const auto& chunk : release.chunks)
            {
                largest = std::max(largest, chunk.second.size());
            }
            std::printf("  first load: %zu bytes in %zu chunks, largest %zu, "
                        "%.0f ms\n",
                        bytes, release.chunks.size(), largest, took_s * 1e3);
        }
        else
        {
            most = std::max(most, bytes);
            sum += bytes;
            loads_s.push_back(took_s);
        }
        change_one(blocks, rng);
    }
    std::sort(loads_s.begin(), loads_s.end());
    std::printf("  one-block change: mean %zu, most %zu bytes fetched; load "
                "median %.0f ms, slowest %.0f ms\n",
                sum / changes, most, loads_s[changes / 2] * 1e3,
                loads_s.back() * 1e3);
    site_map_replica late;
    const auto start = std::chrono::steady_clock::now();
    late.load(node.manifest(), [&](const std::string& hash)
              { return std::optional(store.at(hash)); })
        .value();
    std::printf("  load of the base and %zu deltas: %.0f ms\n",
                node.manifest().deltas.size(), seconds_since(start) * 1e3);
}

void run(double locality)
{
    engine rng(seed);
    auto blocks = generate(locality, rng);
    std::size_t v6 = 0;
    for (const auto& [block, site] : blocks)
    {
        v6 += block.v6;
    }
    std::printf("%zu blocks, %.1f%% IPv6, %d sites, %zu networks per family, "
                "locality %.2f\n",
                blocks.size(),
                100.0 * static_cast<double>(v6) /
                    static_cast<double>(blocks.size()),
                sites, networks_per_family, locality);
    const auto start = std::chrono::steady_clock::now();
    const auto map = build(blocks);
    std::printf("  build: %.0f ms\n", seconds_since(start) * 1e3);
    std::printf("  size: %zu blocks after merging, %zu bytes, %.2f per given "
                "block\n",
                map.size(), map.memory_bytes(),
                static_cast<double>(map.memory_bytes()) /
                    static_cast<double>(blocks.size()));
    measure_lookups(map, blocks, rng);
    measure_changes(blocks, rng);
}

} // namespace

int main()
{
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    run(0.9);
    run(0.0);
    return 0;
}
