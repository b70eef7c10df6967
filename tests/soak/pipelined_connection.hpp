/// @file
/// @brief A connection on which requests are sent before answers are read.
#pragma once

#include "gateway_world.hpp"

#include <array>
#include <cerrno>
#include <charconv>
#include <deque>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace soak
{

using namespace siskinflow;

/// @brief The bytes of a request.
/// @param closing whether it asks for the end of the connection
inline std::string request_text(const caller_request& request, bool closing)
{
    return request.method + " " + request.path +
           " HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer " +
           request.key + "\r\nsiskinflow-request-id: " + request.id +
           "\r\nsiskinflow-affinity-key: " + request.object +
           "\r\nsiskinflow-request-deadline-ms: " +
           std::to_string(request.patience.count()) +
           (closing ? "\r\nconnection: close" : "") +
           (request.body.empty() ? ""
                                 : "\r\ncontent-length: " +
                                       std::to_string(request.body.size())) +
           "\r\n\r\n" + request.body;
}

/// @brief Sends bytes to a port on loopback and takes answers apart, which must
/// have a length.
class pipelined_connection
{
public:
    explicit pipelined_connection(std::uint16_t port)
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        closed_ = ::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) != 0;
    }
    ~pipelined_connection()
    {
        ::close(descriptor_);
    }
    pipelined_connection(const pipelined_connection&) = delete;
    pipelined_connection& operator=(const pipelined_connection&) = delete;

    void send(const std::string& bytes)
    {
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
        closed_ = closed_ || sent != static_cast<ssize_t>(bytes.size());
    }

    /// @brief Reads what has arrived.
    void read()
    {
        std::array<char, 16384> buffer{};
        while (!closed_)
        {
            const auto size =
                ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            {
                return;
            }
            if (size <= 0)
            {
                closed_ = true;
                return;
            }
            input_.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

    /// @brief Removes the first answer; nothing while it is incomplete.
    std::optional<net::http_response> take_answer()
    {
        constexpr std::string_view head_end = "\r\n\r\n";
        const auto end = input_.find(head_end);
        if (end == std::string::npos)
        {
            return std::nullopt;
        }
        net::http_response out = parse_head(input_.substr(0, end));
        std::size_t length = 0;
        const std::string_view text = out.headers.value("content-length");
        const auto [rest, failure] =
            std::from_chars(text.data(), text.data() + text.size(), length);
        framed_ = failure == std::errc() && rest == text.data() + text.size();
        const std::size_t body_at = end + head_end.size();
        if (input_.size() < body_at + length)
        {
            return std::nullopt;
        }
        out.body = input_.substr(body_at, length);
        input_.erase(0, body_at + length);
        return out;
    }

    /// @brief Whether the last answer had a valid length.
    bool is_framed() const
    {
        return framed_;
    }

    /// @brief Whether the server has closed the connection, or can't be sent
    /// anything.
    bool closed() const
    {
        return closed_;
    }

private:
    static net::http_response parse_head(std::string_view head)
    {
        constexpr std::size_t status_at = 9; // After "HTTP/1.1 ".
        constexpr std::size_t status_size = 3;
        net::http_response out;
        const auto line_end = std::min(head.find("\r\n"), head.size());
        const std::string_view status =
            head.substr(std::min(status_at, line_end), status_size);
        std::from_chars(status.data(), status.data() + status.size(),
                        out.status);
        head.remove_prefix(line_end);
        while (head.starts_with("\r\n"))
        {
            head.remove_prefix(2);
            const std::string_view line = head.substr(0, head.find("\r\n"));
            const auto colon = std::min(line.find(": "), line.size());
            out.headers.add(
                std::string(line.substr(0, colon)),
                std::string(line.substr(std::min(colon + 2, line.size()))));
            head.remove_prefix(line.size());
        }
        return out;
    }

    int descriptor_;
    bool closed_ = false;
    bool framed_ = true;
    std::string input_;
};

} // namespace soak
