#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/routing/site_map.hpp>
#include <siskinflow/routing/site_map_chunks.hpp>

#include <rapidcheck.h>

#include <map>
#include <random>

using namespace siskinflow;
using namespace siskinflow::routing;
using test_sections::section;

namespace
{

using block_set = std::map<ip_block, site_number>;
using engine = std::mt19937_64;

std::uint64_t random_below(engine& rng, std::uint64_t limit)
{
    return rng() % limit;
}

/// A block with few random address bits, so that blocks often nest or adjoin.
ip_block random_block(engine& rng)
{
    ip_block block;
    block.v6 = random_below(rng, 2) == 1;
    const int longest = block.v6 ? 64 : 32;
    block.length = static_cast<std::uint8_t>(
        random_below(rng, 8) == 0 ? random_below(rng, longest + 1)
                                  : longest - random_below(rng, 12));
    const std::uint64_t bits =
        random_below(rng, 1 << 14) | random_below(rng, 4) << (longest - 2);
    block.start = bits << (64 - longest);
    block.start = block.length == 0 ? 0
                                    : block.start >> (64 - block.length)
                                                         << (64 - block.length);
    return block;
}

site_number random_site(engine& rng)
{
    return static_cast<site_number>(random_below(rng, 3));
}

block_set random_blocks(engine& rng, std::size_t count)
{
    block_set out;
    for (std::size_t i = 0; i < count; ++i)
    {
        out[random_block(rng)] = random_site(rng);
    }
    return out;
}

site_map build(const block_set& blocks)
{
    site_map_builder builder;
    for (const auto& [block, site] : blocks)
    {
        builder.set(block, site).value();
    }
    return builder.build();
}

std::optional<site_number> reference_site(const block_set& blocks,
                                          const ip_address& address)
{
    std::optional<site_number> out;
    int longest = -1;
    for (const auto& [block, site] : blocks)
    {
        if (block.contains(address) && block.length > longest)
        {
            longest = block.length;
            out = site;
        }
    }
    return out;
}

/// An address at or next to the edge of a block.
ip_address edge_address(const block_set& blocks, engine& rng)
{
    auto it = blocks.begin();
    std::advance(it, random_below(rng, blocks.size()));
    const auto& block = it->first;
    const std::uint64_t unit = block.v6 ? 1 : std::uint64_t(1) << 32;
    const std::uint64_t size =
        block.length == 0 ? 0 : std::uint64_t(1) << (64 - block.length);
    const std::uint64_t edge = block.start + (random_below(rng, 2) ? size : 0);
    return {block.v6, edge + (random_below(rng, 3) - 1) * unit, 0};
}

bool same_answers(const site_map& map, const block_set& blocks, engine& rng)
{
    for (int i = 0; i < 100; ++i)
    {
        const auto address = edge_address(blocks, rng);
        if (map.find(address) != reference_site(blocks, address))
        {
            return false;
        }
    }
    return true;
}

/// The manifest and the chunks in the store.
struct chunk_store
{
    void write(const site_map_release& release)
    {
        manifest = release.manifest;
        for (const auto& [hash, content] : release.chunks)
        {
            chunks[hash] = content;
        }
    }

    /// Loads the manifest and counts the bytes fetched.
    result<void> fetch(site_map_replica& replica)
    {
        fetched = encode(manifest).size();
        for (const auto& hash : replica.missing_chunks(manifest))
        {
            fetched += chunks[hash].size();
        }
        const auto needed = replica.missing_chunks(manifest);
        return replica.load(
            manifest,
            [&](const std::string& hash) -> std::optional<std::string>
            {
                const bool requested = std::find(needed.begin(), needed.end(),
                                                 hash) != needed.end();
                const auto it = chunks.find(hash);
                return requested && it != chunks.end()
                           ? std::optional(it->second)
                           : std::nullopt;
            });
    }

    site_map_manifest manifest;
    std::map<std::string, std::string> chunks;
    std::size_t fetched = 0;
};

} // namespace

// Guards against block texts that are misread.
Test(routing_site_map, parses_blocks)
{
    const auto v4 = parse_ip_block("10.1.0.0/16").value();
    EXPECT(v4.contains(parse_ip_address("10.1.255.255").value()));
    EXPECT(v4.contains(parse_ip_address("::ffff:10.1.2.3").value()));
    EXPECT(!v4.contains(parse_ip_address("10.2.0.0").value()));
    const auto v6 = parse_ip_block("2001:db8::/32").value();
    EXPECT(v6.contains(parse_ip_address("2001:db8:ffff::1").value()));
    for (const char* text :
         {"10.1.0.0", "10.1.0.0/", "10.1.0.0/-1", "x/8", "10.1.0.0/8",
          "10.0.0.0/33", "2001::/65", "::1/64", "10.0.0.0/8x", "10.0.0.0/300"})
    {
        section(text, [&] { EXPECT(!parse_ip_block(text).has_value()); });
    }
}

// Guards against a caller that is sent to the site of another block.
Test(routing_site_map, equals_longest_prefix_reference)
{
    EXPECT(rc::check("same answers as a search over all blocks",
                     []
                     {
                         engine rng(*rc::gen::arbitrary<std::uint64_t>());
                         const auto blocks =
                             random_blocks(rng, *rc::gen::inRange(1, 400));
                         const auto map = build(blocks);
                         RC_ASSERT(map.size() <= blocks.size());
                         RC_ASSERT(same_answers(map, blocks, rng));
                     }));
}

// Guards against deltas that lead to another map than a fresh build, and
// against a base that a node with the previous state has to fetch again.
Test(routing_site_map, replicas_follow_releases)
{
    EXPECT(rc::check(
        "a replica has the publisher's map after each change",
        []
        {
            engine rng(*rc::gen::arbitrary<std::uint64_t>());
            auto blocks = random_blocks(rng, 1000);
            site_map_replica publisher;
            site_map_replica node;
            chunk_store store;
            block_set published;
            // More changes than deltas fit in a manifest.
            for (int change = 0; change < 20; ++change)
            {
                store.write(publisher.make_release(build(blocks)));
                RC_ASSERT(store.fetch(publisher).has_value());
                RC_ASSERT(store.fetch(node).has_value());
                RC_ASSERT(change == 0 || store.fetched <= 2048);
                RC_ASSERT(difference(*node.map(), build(blocks)).empty());
                published = blocks;
                const auto block = random_block(rng);
                if (blocks.erase(block) == 0)
                {
                    blocks[block] = random_site(rng);
                }
            }
            RC_ASSERT(same_answers(*publisher.map(), published, rng));
            site_map_replica new_node;
            RC_ASSERT(store.fetch(new_node).has_value());
            RC_ASSERT(difference(*new_node.map(), *node.map()).empty());
            RC_ASSERT(parse_site_map_manifest(encode(store.manifest)).value() ==
                      store.manifest);
        }));
}

// Guards against a damaged chunk that replaces a good map.
Test(routing_site_map, damaged_chunks_change_nothing)
{
    EXPECT(rc::check(
        "a load with a damaged or missing chunk fails",
        []
        {
            engine rng(*rc::gen::arbitrary<std::uint64_t>());
            site_map_replica publisher;
            chunk_store store;
            store.write(publisher.make_release(build(random_blocks(rng, 300))));
            RC_ASSERT(store.fetch(publisher).has_value());
            const auto loaded = publisher.map();
            store.write(publisher.make_release(build(random_blocks(rng, 300))));
            auto& content =
                store.chunks[publisher.missing_chunks(store.manifest).at(0)];
            switch (*rc::gen::inRange(0, 3))
            {
            case 0:
                content[random_below(rng, content.size())] ^=
                    1 + random_below(rng, 255);
                break;
            case 1:
                content.pop_back();
                break;
            default:
                store.chunks.erase(
                    publisher.missing_chunks(store.manifest).at(0));
            }
            RC_ASSERT(!store.fetch(publisher).has_value());
            RC_ASSERT(publisher.map() == loaded);
        }));
}

// Guards against a chunk with a valid hash whose content was never a map, for
// instance written by a faulty publisher.
Test(routing_site_map, malformed_chunks_are_refused)
{
    EXPECT(rc::check(
        "random bytes are refused or make a valid map",
        []
        {
            auto content =
                *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
            content.insert(content.begin(), 'B');
            site_map_manifest manifest;
            manifest.base = {sha256_hex(content)};
            manifest.blocks = static_cast<std::uint32_t>(content.size());
            site_map_replica replica;
            RC_ASSERT(!replica.load(manifest, [&](const auto&)
                                    { return std::optional(content); }));
            RC_ASSERT(replica.map()->size() == 0U);
        }));
    EXPECT(!parse_site_map_manifest("").has_value());
    EXPECT(!parse_site_map_manifest(std::string(13, 'x')).has_value());
    const auto bytes = encode({{sha256_hex("a")}, {}, 1});
    EXPECT(!parse_site_map_manifest(bytes.substr(1)).has_value());
    EXPECT(!parse_site_map_manifest(bytes + "x").has_value());
}
