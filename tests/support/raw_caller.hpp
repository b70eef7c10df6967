/// @file
/// @brief A client of an HTTP server that sends and reads exactly what a test
/// says.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace raw_caller
{

/// @brief One connection from the loopback address.
class connection
{
public:
    /// @param receive_buffer bytes that the kernel keeps; 0: its default
    explicit connection(std::uint16_t port, int receive_buffer = 0)
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receive_buffer > 0)
        {
            ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                         sizeof(receive_buffer));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        (void)::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address));
    }
    ~connection()
    {
        close();
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// @brief Sends what the kernel takes at once.
    /// @return number of bytes
    std::size_t send(std::string_view text) const
    {
        const auto size = ::send(descriptor_, text.data(), text.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
        return size < 0 ? 0 : static_cast<std::size_t>(size);
    }
    void end_sending() const
    {
        ::shutdown(descriptor_, SHUT_WR);
    }
    void close()
    {
        if (descriptor_ >= 0)
        {
            ::close(std::exchange(descriptor_, -1));
        }
    }

    /// @brief Reads what has arrived.
    /// @param most bytes
    void read(std::size_t most = 1 << 20)
    {
        std::string buffer(most, '\0');
        const auto size =
            ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0)
        {
            input.append(buffer, 0, static_cast<std::size_t>(size));
        }
        closed = closed || size == 0;
        reset = reset || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string input;
    bool closed = false;
    bool reset = false;

private:
    int descriptor_;
};

} // namespace raw_caller
