#include "h2o_native.hpp"
#include <siskinflow/net/endpoint.hpp>

#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace siskinflow::net
{

namespace
{

constexpr int udp_buffer_bytes = 4 * 1024 * 1024;

error io_failure(const char* call, const endpoint& local)
{
    return error{errc::io_error, std::string(call) + " on " + to_string(local) +
                                     " failed: " + std::strerror(errno)};
}

} // namespace

std::string to_string(const endpoint& value)
{
    const std::string port = std::to_string(value.port);
    if (value.address.find(':') != std::string::npos)
    {
        return "[" + value.address + "]:" + port;
    }
    return value.address + ":" + port;
}

result<endpoint> parse_endpoint(std::string_view text)
{
    const auto malformed = [&]
    {
        return fail(errc::parse_error, "'" + std::string(text) +
                                           "' is not an IP address and port, "
                                           "such as 127.0.0.1:8080");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return malformed();
    }
    std::string_view address = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (address.size() >= 2 && address.front() == '[' && address.back() == ']')
    {
        address = address.substr(1, address.size() - 2);
    }
    endpoint value;
    value.address = address;
    const char* end = port.data() + port.size();
    const auto [parsed_end, code] =
        std::from_chars(port.data(), end, value.port);
    if (code != std::errc() || parsed_end != end ||
        !to_socket_address(value).has_value())
    {
        return malformed();
    }
    return value;
}

result<socket_address> to_socket_address(const endpoint& value)
{
    socket_address out;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&out.storage);
    if (inet_pton(AF_INET, value.address.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(value.port);
        out.length = sizeof(sockaddr_in);
        return out;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&out.storage);
    if (inet_pton(AF_INET6, value.address.c_str(), &v6->sin6_addr) == 1)
    {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(value.port);
        out.length = sizeof(sockaddr_in6);
        return out;
    }
    return fail(errc::invalid_argument,
                "'" + value.address + "' is not an IP address");
}

namespace
{

/// Dotted-decimal form. inet_ntop formats it with printf, which is noticeable
/// in profiles because it runs for each request.
std::string format_ipv4(const in_addr& address)
{
    const auto* bytes = reinterpret_cast<const unsigned char*>(&address);
    char text[INET_ADDRSTRLEN];
    char* end = text;
    for (int i = 0; i < 4; ++i)
    {
        if (i != 0)
        {
            *end++ = '.';
        }
        end = std::to_chars(end, text + sizeof(text), bytes[i]).ptr;
    }
    return {text, end};
}

} // namespace

endpoint from_socket_address(const sockaddr* address)
{
    char text[INET6_ADDRSTRLEN] = "";
    endpoint out;
    if (address->sa_family == AF_INET)
    {
        const auto* v4 = reinterpret_cast<const sockaddr_in*>(address);
        out.address = format_ipv4(v4->sin_addr);
        out.port = ntohs(v4->sin_port);
    }
    else if (address->sa_family == AF_INET6)
    {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(address);
        inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
        out.port = ntohs(v6->sin6_port);
        out.address = text;
    }
    return out;
}

result<int> open_bound_socket(const endpoint& local, int type, int backlog)
{
    auto address = to_socket_address(local);
    if (!address.has_value())
    {
        return address.error();
    }
    const int family = address.value().storage.ss_family;
    const int descriptor =
        ::socket(family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        return io_failure("socket", local);
    }
    const int on = 1;
    if (type == SOCK_STREAM)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    else
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &udp_buffer_bytes,
                     sizeof(udp_buffer_bytes));
    }
    if (::bind(descriptor, address.value().get(), address.value().length) != 0)
    {
        auto failure = io_failure("bind", local);
        ::close(descriptor);
        return failure;
    }
    if (type == SOCK_STREAM && ::listen(descriptor, backlog) != 0)
    {
        auto failure = io_failure("listen", local);
        ::close(descriptor);
        return failure;
    }
    return descriptor;
}

std::uint16_t bound_port(int descriptor)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    auto* address = reinterpret_cast<sockaddr*>(&storage);
    if (::getsockname(descriptor, address, &length) != 0)
    {
        return 0;
    }
    return from_socket_address(address).port;
}

} // namespace siskinflow::net
