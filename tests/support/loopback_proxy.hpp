/// @file
/// @brief A TCP relay on loopback that disturbs what passes through it.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

struct copy_state;

/// @brief Direction of the bytes of a connection.
enum class direction : std::uint8_t
{
    to_server,
    to_client,
};

/// @brief Relays connections to one port, in a thread of its own. Its calls
/// may come from any thread.
class loopback_proxy
{
public:
    /// @param server_port port on 127.0.0.1 that connections are relayed to
    explicit loopback_proxy(std::uint16_t server_port);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    /// @brief Port on 127.0.0.1 that takes connections.
    std::uint16_t port() const;

    /// @brief Holds each part of the bytes back for a time; zero ends it.
    void delay(std::chrono::milliseconds time);

    /// @brief Cuts or heals one direction of all connections, new ones
    /// included. What was sent meanwhile arrives once it is healed.
    void cut(direction which, bool is_cut);

    /// @brief Lets nothing more through the connections that are open now,
    /// without closing them. New ones work.
    void silence_open();

    /// @brief Resets all open connections.
    void reset_open();

    /// @brief Sends bytes that the server did not send to the client of each
    /// open connection on which no other bytes are on their way.
    void inject(const std::string& bytes);

    /// @brief Sends copies of the refusals that have passed on a connection,
    /// in front of its later answers or while it is idle; zero ends it.
    /// @param per_hundred of the answers that follow a refusal
    void copy_refusals(unsigned per_hundred);

    /// @brief Refusals that have passed and their copies.
    const copy_state& copies() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};
