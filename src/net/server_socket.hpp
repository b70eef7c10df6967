/// @file
/// @brief Socket of a connection of the HTTP server, plain or with TLS;
/// internal to `net`.
#pragma once

#include "h2o_native.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace siskinflow::net
{

/// @brief Receives the events of a socket. A callback may close the socket.
class socket_events
{
public:
    virtual ~socket_events() = default;

    /// @brief Bytes have arrived; valid during the call.
    virtual void on_received(std::string_view bytes) = 0;

    /// @brief The peer ended its sending side.
    virtual void on_end_of_input() = 0;

    /// @brief The connection has failed.
    virtual void on_failed() = 0;

    /// @brief The socket took some bytes and may take more.
    virtual void on_written(std::size_t bytes) = 0;
};

/// @brief Lets the kernel take as much unsent output as it wants.
void lift_unsent_limit(int descriptor);

/// @brief Reads in bounded steps and writes with partial progress. h2o's own
/// reading takes all that the kernel has, and its writing reports only the end.
class server_socket
{
public:
    /// @param socket an accepted socket; owned from now on
    server_socket(h2o_socket_t* socket, socket_events& events);
    ~server_socket();
    server_socket(const server_socket&) = delete;
    server_socket& operator=(const server_socket&) = delete;

    /// @brief Negotiates TLS and then starts to read.
    void start_tls(SSL_CTX* context);

    bool handshaking() const
    {
        return handshaking_;
    }
    bool is_tls() const
    {
        return is_tls_;
    }
    bool is_open() const
    {
        return socket_ != nullptr;
    }

    void start_reading();
    void stop_reading();
    bool is_reading() const;

    /// @brief Writes as much as the socket takes at once. For TLS the bytes
    /// count when `on_written` reports them.
    /// @return bytes taken, 0 also if the socket takes none at present; nothing
    /// if the connection has failed
    std::optional<std::size_t> write(const h2o_iovec_t* parts,
                                     std::size_t count);

    /// @brief Whether `on_written` is still due.
    bool is_writing() const;

    /// @brief Reports with `on_written` when the socket takes more bytes.
    void wait_writable();

    /// @brief Lets the kernel take as much unsent output as it wants.
    void lift_unsent_limit();

    /// @brief Bytes that the kernel has taken and the peer has not
    /// acknowledged; 0 once the connection is lost.
    std::size_t undelivered_bytes() const;

    /// @brief Ends the sending side; what was written still arrives.
    void end_sending();

    /// @brief Whether the peer has reset the connection; for sockets that are
    /// not read.
    bool is_reset_by_peer() const;

    /// @brief Whether the peer has ended its sending side; as above.
    bool is_ended_by_peer() const;

    void close();

    /// @brief The peer's address.
    std::string peer() const;

private:
    static void on_handshake(h2o_socket_t* socket, const char* error);
    static void on_readable(h2o_socket_t* socket, const char* error);
    static void on_tls_readable(h2o_socket_t* socket, const char* error);
    static void on_writable(h2o_socket_t* socket, const char* error);
    void read_plain();
    int tcp_state() const;
    void pass_tls_input();
    std::optional<std::size_t> write_tls(const h2o_iovec_t* parts,
                                         std::size_t count);

    h2o_socket_t* socket_;
    socket_events& events_;
    bool is_tls_ = false;
    bool handshaking_ = false;
    bool wants_reading_ = false;
    std::size_t tls_write_bytes_ = 0; ///< Of the write in progress.
};

} // namespace siskinflow::net
