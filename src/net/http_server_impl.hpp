/// @file
/// @brief State of the HTTP server; internal to `net`.
#pragma once

#include "h2o_native.hpp"
#include "server_certificate.hpp"
#include "server_connection.hpp"
#include <siskinflow/net/http_server.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinflow::net
{

/// @brief A listener and its connections.
struct http_server::impl
{
    impl(event_loop& loop, const http_server_options& options,
         handler on_request);
    ~impl();
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    /// @brief Accepts the connections that wait at the listener.
    static void on_accept(h2o_socket_t* listener, const char* error);

    /// @brief Serves a connection, or refuses it at the limit.
    void admit(h2o_socket_t* socket);

    /// @brief Closes a connection, after a 503 if it is not encrypted.
    void refuse(h2o_socket_t* socket);

    /// @brief Closes the connection that has been idle longest.
    /// @return whether there is one that may be closed
    bool close_longest_idle();

    std::shared_ptr<server_connection> add(h2o_socket_t* socket, bool counted);
    void remove(server_connection& connection);

    /// @brief Calls `check_connections` again in time.
    void schedule_check(bool soon);
    void check_connections();

    /// @brief Time between checks that no connection asks for.
    duration check_interval() const;

    std::shared_ptr<server_context> context;
    h2o_socket_t* listener = nullptr;
    std::vector<ssl_context> certificates; ///< Connections may use old ones.
    std::unordered_map<server_connection*, std::shared_ptr<server_connection>>
        connections;
    timer_id check_timer = 0;
    bool check_is_soon = false;
    /// Until then no connection has been idle long enough to be closed.
    time_point none_idle_until{};
    std::uint16_t listening_port = 0;
};

} // namespace siskinflow::net
