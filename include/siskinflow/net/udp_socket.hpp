/// @file
/// @brief Datagrams between the system's own processes.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace siskinflow::net
{

/// @brief Sends datagrams; implemented by `udp_socket` and by test fakes.
class datagram_sender
{
public:
    virtual ~datagram_sender() = default;

    /// @brief Sends a datagram; loss is not reported.
    virtual void send(const endpoint& peer, std::string_view payload) = 0;
};

/// @brief A bound UDP socket.
class udp_socket final : public datagram_sender
{
public:
    using receiver =
        std::function<void(const endpoint& from, std::string_view payload)>;

    /// @brief Binds and starts to receive.
    /// @param loop the loop that runs the socket; must outlive it
    /// @param local address and port; port 0 takes a free one
    /// @return the socket, or `errc::io_error` / `errc::invalid_argument`
    static result<std::unique_ptr<udp_socket>>
    bind(event_loop& loop, const endpoint& local, receiver on_datagram);
    ~udp_socket() override;

    void send(const endpoint& peer, std::string_view payload) override;

    /// @brief The bound port.
    std::uint16_t port() const;

private:
    struct impl;
    explicit udp_socket(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::net
