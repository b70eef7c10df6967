/// @file
/// @brief Serialized form of the site map in the store.
///
/// The map is kept as a *manifest* (key `siskinflow/sitemap`) and *chunks* (key
/// `siskinflow/sitemap/<hash>`), each named by the SHA-256 of its content.
/// The manifest lists base chunks and up to `max_deltas` delta chunks:
///
///     "SKM1", version byte, number of base chunks (2 bytes), number of delta
///     chunks (2 bytes), number of blocks after all deltas (4 bytes), then the
///     hashes of the base chunks in order and of the deltas in order, 32 bytes
///     each; numbers are big-endian
///
/// A base chunk holds a range of the sorted blocks. It is cut where a hash of
/// the block's key has a certain pattern (on average every 65,536 blocks) or at
/// `max_chunk_bytes`, so that an insertion moves only the adjacent cuts. A
/// delta chunk holds changed blocks. Both begin with one byte ('B' or 'D'),
/// then each block is one byte of length (64 + length for IPv6), a varint of
/// the distance to the previous start in units of the smaller of both blocks,
/// and a byte of site (255 removes).
///
/// A change adds a delta chunk. A node fetches the manifest and that chunk:
/// 32 bytes for each of some 20 to 30 chunks and at most two changed blocks per
/// prefix length. When there are `max_deltas` deltas, the publisher first
/// makes the previous state the new base. Nodes that have that state encode it
/// themselves and find that they hold every new base chunk by its hash, so the
/// base is fetched only by nodes that start, and by those that missed changes
/// only where chunks differ.
#pragma once

#include <siskinflow/routing/site_map.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinflow::routing
{

/// @brief Largest base chunk in bytes; a store value holds at most 1 MB.
inline constexpr std::size_t max_chunk_bytes = 900'000;

/// @brief Most delta chunks in a manifest.
inline constexpr std::size_t max_deltas = 16;

/// @brief Deltas over this size become a new base instead.
inline constexpr std::size_t max_delta_bytes = 64 * 1024;

/// @brief The chunks of a map.
struct site_map_manifest
{
    std::vector<std::string> base;   ///< SHA-256, 64 hexadecimal digits each.
    std::vector<std::string> deltas; ///< As above, oldest first.
    std::uint32_t blocks = 0;        ///< Blocks after all deltas.

    bool operator==(const site_map_manifest&) const = default;
};

/// @brief Bytes of a manifest.
std::string encode(const site_map_manifest& manifest);

/// @brief Reads the form that `encode` writes.
/// @return the manifest, or `errc::parse_error`
result<site_map_manifest> parse_site_map_manifest(std::string_view bytes);

/// @brief Content of the base chunks of a map, in order.
std::vector<std::string> encode_base(const site_map& map);

/// @brief Data that a publisher writes: first the chunks, then the manifest.
struct site_map_release
{
    site_map_manifest manifest;
    std::vector<std::pair<std::string, std::string>> chunks; ///< Hash, content.
};

/// @brief A node's copy of the map with its manifest.
class site_map_replica
{
public:
    /// @brief Content of a chunk by its hash, or nothing if it is missing.
    using chunk_source =
        std::function<std::optional<std::string>(const std::string& hash)>;

    /// @brief Starts with an empty map.
    site_map_replica();
    ~site_map_replica();

    /// @brief The map in use; never null.
    std::shared_ptr<const site_map> map() const;

    /// @brief The manifest in use.
    const site_map_manifest& manifest() const;

    /// @brief Hashes of the chunks that have to be fetched for a manifest.
    std::vector<std::string>
    missing_chunks(const site_map_manifest& next) const;

    /// @brief Replaces the map after all chunks were verified.
    /// @param next the new manifest
    /// @param chunks gives at least the chunks that `missing_chunks` names
    /// @return `errc::not_found` if a chunk is missing, `errc::parse_error` if
    /// a chunk does not have its hash or is malformed or the number of blocks
    /// differs; the map in use then stays
    result<void> load(const site_map_manifest& next,
                      const chunk_source& chunks);

    /// @brief Chunks and manifest that bring nodes with this state to `next`.
    /// @param next the new map
    site_map_release make_release(const site_map& next) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::routing
