/// @file
/// @brief Longest-prefix map from client blocks to sites.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/routing/ip_address.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace siskinflow::routing
{

/// @brief Not the number of a site; marks a removed block in a list of changes.
inline constexpr site_number no_site = 255;

/// @brief Longest IPv6 prefix. Networks assign at least a /64 to a client, so
/// longer prefixes can't tell clients apart.
inline constexpr int max_v6_length = 64;

/// @brief A prefix of IPv4 (up to /32) or IPv6 (up to /64) addresses.
struct ip_block
{
    bool v6 = false;
    std::uint64_t start = 0; ///< First 64 bits of the first address.
    std::uint8_t length = 0; ///< Bits of the prefix.

    bool operator==(const ip_block&) const = default;

    /// @brief Order by family, first address and length.
    bool operator<(const ip_block& other) const
    {
        return std::tie(v6, start, length) <
               std::tie(other.v6, other.start, other.length);
    }

    /// @brief Whether the address is in the block.
    bool contains(const ip_address& address) const;
};

/// @brief Reads `address/length`.
/// @return the block; `errc::parse_error` if the text has another form,
/// `errc::invalid_argument` if the length is out of range or bits after the
/// prefix are set
result<ip_block> parse_ip_block(std::string_view text);

/// @brief A block with its site, or with `no_site` in a list of changes.
struct site_block
{
    ip_block block;
    site_number site = no_site;

    bool operator==(const site_block&) const = default;
};

/// @brief Immutable longest-prefix map from blocks to sites.
///
/// Blocks are sorted by first address, then by length, separately for IPv4 and
/// IPv6, in groups of 32. A group has a 64-bit base; its blocks have a 32-bit
/// offset in units of the group's smallest block (64-bit units where that does
/// not fit), a length and a site. Each group also knows the innermost earlier
/// block that encloses its first address. A search finds the last block that
/// starts at or before the address and walks back over the group and then over
/// the enclosing blocks until one contains the address; because blocks either
/// nest or are disjoint, the first one found is the longest. A block takes 6.6
/// bytes, or 10.6 in groups that need 64-bit offsets.
class site_map
{
public:
    site_map();
    ~site_map();
    site_map(site_map&&) noexcept;
    site_map& operator=(site_map&&) noexcept;

    /// @brief Site of an address.
    /// @return the site of the longest block that contains it, if any
    std::optional<site_number> find(const ip_address& address) const;

    /// @brief Number of blocks after merging.
    std::size_t size() const;

    /// @brief Memory used, in bytes.
    std::size_t memory_bytes() const;

    /// @brief Calls a function for each block in order, IPv4 first.
    void for_each(const std::function<void(const site_block&)>& visit) const;

    /// @brief A map with changes applied.
    /// @param changes in order, at most one per block; `no_site` removes, and
    /// a removed block need not exist
    /// @return the new map, or `errc::invalid_argument` if the order is wrong
    /// or a block is invalid
    result<site_map> with_changes(const std::vector<site_block>& changes) const;

    /// @brief Adds blocks in order to a new map.
    class writer
    {
    public:
        writer();
        ~writer();

        /// @brief Appends a block.
        /// @return false if it does not come after the previous one
        bool add(const site_block& entry);

        /// @brief The finished map; the writer can't be used any more.
        site_map finish();

    private:
        std::unique_ptr<site_map> map_;
        struct state;
        std::unique_ptr<state> state_;
    };

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief Collects blocks and builds a map.
class site_map_builder
{
public:
    /// @brief Assigns a block; a later call for the same block replaces it.
    /// @return `errc::invalid_argument` if the length is out of range, bits
    /// after the prefix are set or the site is `no_site`
    result<void> set(const ip_block& block, site_number site);

    /// @brief Removes a block.
    void remove(const ip_block& block);

    /// @brief Builds the map. Two halves of a block that have the same site are
    /// merged into that block, repeatedly. A block is not dropped for having
    /// the site of its enclosing block: a change of the enclosing one would
    /// then have to restore every block dropped in it, without a limit on
    /// the bytes that a node has to fetch. With merging alone, a change of one
    /// block changes at most two blocks per prefix length.
    site_map build() const;

private:
    std::vector<site_block> changes_;
};

/// @brief Changes that `site_map::with_changes` needs to turn `from` into `to`.
std::vector<site_block> difference(const site_map& from, const site_map& to);

} // namespace siskinflow::routing
