/// @file
/// @brief State of the HTTP server and its callbacks from h2o; internal to
/// `net`.
#pragma once

#include "h2o_native.hpp"
#include "server_certificate.hpp"
#include "server_exchange.hpp"
#include <siskinflow/net/http_server.hpp>

#include <memory>
#include <unordered_set>
#include <vector>

namespace siskinflow::net
{

/// @brief A listener, its connections and the requests in progress on them.
struct http_server::impl
{
    /// @brief h2o's handler with a pointer to the server.
    struct native_handler
    {
        h2o_handler_t super;
        impl* server;
    };

    /// @brief Keeps an exchange alive as long as the memory pool of its
    /// request.
    struct pooled_exchange
    {
        impl* server;
        std::shared_ptr<server_exchange> exchange;
    };

    /// @brief Fills h2o's configuration and registers the handler.
    void configure();

    /// @brief Accepts the connections that wait at the listener.
    static void on_accept(h2o_socket_t* listener, const char* error);
    static void on_connection_closed(void* data);

    /// @brief Hands a connection to h2o, or refuses it at the limit.
    void admit(h2o_socket_t* socket);

    /// @brief Closes a connection, after a 503 if it is not encrypted.
    void refuse(h2o_socket_t* socket) const;

    static int on_native_request(h2o_handler_t* handler, h2o_req_t* request);
    static void on_request_released(void* memory);

    /// @brief Ends the exchanges whose callers have disconnected.
    void check_disconnected_callers();

    event_loop* loop = nullptr;
    http_server_options options;
    handler on_request;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept_context{};
    h2o_socket_t* listener = nullptr;
    std::vector<ssl_context> certificates; ///< Connections may use old ones.
    http_server_stats counts;
    std::unordered_set<server_exchange*> in_progress;
    std::shared_ptr<void> disconnect_timer;
    std::uint16_t listening_port = 0;
};

} // namespace siskinflow::net
