#include <siskinflow/routing/ip_address.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <string>

namespace siskinflow::routing
{

namespace
{

constexpr std::array<unsigned char, 12> mapped_prefix{0, 0, 0, 0, 0,    0,
                                                      0, 0, 0, 0, 0xFF, 0xFF};

std::uint64_t big_endian(const unsigned char* bytes, std::size_t count)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        value = value << 8 | bytes[i];
    }
    return value;
}

ip_address from_v4(const unsigned char* bytes)
{
    return {false, big_endian(bytes, 4) << 32, 0};
}

} // namespace

result<ip_address> parse_ip_address(std::string_view text)
{
    const std::string terminated_text(text);
    std::array<unsigned char, 16> bytes{};
    if (inet_pton(AF_INET, terminated_text.c_str(), bytes.data()) == 1)
    {
        return from_v4(bytes.data());
    }
    if (inet_pton(AF_INET6, terminated_text.c_str(), bytes.data()) != 1)
    {
        return fail(errc::parse_error,
                    "'" + terminated_text + "' is not an IP address");
    }
    if (std::equal(mapped_prefix.begin(), mapped_prefix.end(), bytes.begin()))
    {
        return from_v4(bytes.data() + mapped_prefix.size());
    }
    return ip_address{true, big_endian(bytes.data(), 8),
                      big_endian(bytes.data() + 8, 8)};
}

} // namespace siskinflow::routing
