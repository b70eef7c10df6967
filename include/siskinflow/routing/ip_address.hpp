/// @file
/// @brief IP addresses as keys of the site map and the lookup.
#pragma once

#include <siskinflow/core/error.hpp>

#include <compare>
#include <cstdint>
#include <string_view>

namespace siskinflow::routing
{

/// @brief Number of a site, as the site map gives it.
using site_number = std::uint8_t;

/// @brief An IPv4 or IPv6 address, left-aligned in 128 bits.
struct ip_address
{
    bool v6 = false;
    std::uint64_t high =
        0;                 ///< First 64 bits; an IPv4 address is in the top 32.
    std::uint64_t low = 0; ///< Last 64 bits of an IPv6 address.

    auto operator<=>(const ip_address&) const = default;
};

/// @brief Parses the text form of an address. An IPv4-mapped IPv6 address is
/// parsed as the IPv4 address, because dual-stack sockets report callers that
/// way.
/// @return the address, or `errc::parse_error`
result<ip_address> parse_ip_address(std::string_view text);

} // namespace siskinflow::routing
