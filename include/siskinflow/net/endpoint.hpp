/// @file
/// @brief IP address and port of a process.
#pragma once

#include <siskinflow/core/error.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace siskinflow::net
{

/// @brief IP address (no host names) and port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, port);
    }
};

/// @brief `address:port`, with brackets around an IPv6 address.
std::string to_string(const endpoint& value);

/// @brief Reads `address:port` or `[v6]:port`.
/// @return the endpoint, or `errc::parse_error` naming the text
result<endpoint> parse_endpoint(std::string_view text);

} // namespace siskinflow::net

template <>
struct std::hash<siskinflow::net::endpoint>
{
    std::size_t
    operator()(const siskinflow::net::endpoint& value) const noexcept
    {
        return std::hash<std::string>()(value.address) * 65599U + value.port;
    }
};
