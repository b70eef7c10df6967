/// @file
/// @brief HTTP/1.1 server on h2o's sockets and event loop.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_types.hpp>
#include <siskinflow/net/memory_budget.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::net
{

/// @brief A request as received, with its whole body.
struct http_request
{
    std::string method;
    std::string path;       ///< Path without the query.
    std::string query;      ///< Query without the '?', may be empty.
    bool has_query = false; ///< There was a '?', also if nothing followed.
    http_headers headers;
    std::string_view body; ///< Valid until the exchange is finished.
    /// Keeps the bytes of the body beyond that; null if it is not shared.
    std::shared_ptr<const void> body_owner;
    std::string peer; ///< Caller's IP address.
    std::size_t header_bytes = 0;

    /// @brief Path and query as they arrived.
    std::string path_and_query() const
    {
        return has_query || !query.empty() ? path + "?" + query : path;
    }
};

/// @brief One request and the answer to it.
///
/// The server holds the exchange until it is answered. `on_cancel` is called
/// once if the caller disconnects first, or if the connection is closed by the
/// answer to an earlier request; writing afterwards has no effect. Callbacks
/// are called from the event loop, never from inside a call of the exchange,
/// and may answer or release any exchange.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// @brief The request; valid for the life of the exchange.
    virtual const http_request& request() const = 0;

    /// @brief Releases the body of the request, which is empty afterwards. Its
    /// bytes stay in memory while others share `body_owner`.
    virtual void release_body() = 0;

    /// @brief Answers with a whole response.
    virtual void respond(http_response response) = 0;

    /// @brief Answers with a whole response whose body is given in parts. Each
    /// is freed as soon as it is written.
    virtual void respond_in_parts(int status, const http_headers& headers,
                                  std::vector<std::string> body) = 0;

    /// @brief Starts a streamed answer.
    /// @param status HTTP status
    /// @param headers fields without framing
    /// @param content_length bytes of the body; chunked framing if absent
    virtual void start(int status, const http_headers& headers,
                       std::optional<std::size_t> content_length) = 0;

    /// @brief Sends a part of the body. The next one may be written only
    /// after `on_drain` was called.
    virtual void write(std::string part) = 0;

    /// @brief Ends a streamed answer that is complete.
    virtual void finish() = 0;

    /// @brief Ends a streamed answer that is incomplete: the connection is
    /// closed without the final chunk, so the caller sees the error.
    virtual void abort() = 0;

    /// @brief Closes the connection after this answer.
    virtual void close_after_response() = 0;

    /// @brief Called when the last part has been written to the socket.
    virtual void on_drain(std::function<void()> callback) = 0;

    /// @brief Called once when the caller has disconnected.
    virtual void on_cancel(std::function<void()> callback) = 0;

    /// @brief Whether the answer is complete or can't reach the caller any
    /// more, also if `on_cancel` is still to be called. The body of the request
    /// may be released then.
    virtual bool done() const = 0;
};

using exchange_ptr = std::shared_ptr<http_exchange>;

/// @brief Limits and files of a server.
///
/// A request that exceeds a limit gets 408, 413 or 431 and its connection is
/// closed; it has not been handed to the handler.
struct http_server_options
{
    std::size_t max_header_bytes = 64UL * 1024; ///< Larger heads get 431.
    std::size_t max_body_bytes = 1024 * 1024;   ///< Larger bodies get 413.
    std::size_t max_connections = 1024;         ///< Further ones get 503.
    /// Connections that the kernel holds until they are accepted. Each keeps
    /// unread bytes; a further caller tries to connect again after 1 s.
    std::size_t max_unaccepted = 4096;
    /// Buffer of the kernel for unread bytes of a connection; 0: as the system
    /// sets it, which adapts to the connection.
    int receive_buffer_bytes = 0;
    /// Connections whose requests wait for room in `memory`; further ones get
    /// 503 at once. Each keeps bytes that no account has.
    std::size_t max_waiting_for_room = 256;
    /// Requests of one connection in progress; reading stops there.
    std::size_t max_pipelined = 16;
    /// To receive one request, from its first byte, without the time in which
    /// the server itself does not read.
    duration request_timeout = std::chrono::seconds(10);
    /// To receive the head of a request, from its first byte, or to negotiate
    /// TLS.
    duration header_timeout = std::chrono::seconds(10);
    /// Without a byte of a body that is being received.
    duration body_stall_timeout = std::chrono::seconds(10);
    /// Without a request; the connection is closed.
    duration idle_timeout = std::chrono::seconds(60);
    /// Without the client accepting a byte of a pending answer; the connection
    /// is closed.
    duration write_stall_timeout = std::chrono::seconds(10);
    /// Accounts for heads and bodies of requests in progress and for answers
    /// that are not yet written. Null: they are not accounted for.
    std::shared_ptr<memory_budget> memory;
    std::string certificate_file; ///< PEM; plain HTTP if empty.
    std::string key_file;         ///< PEM.
};

/// @brief Connection counts of a server.
struct http_server_stats
{
    std::uint64_t accepted = 0;
    std::uint64_t over_connection_limit = 0;
    std::uint64_t replaced_idle = 0; ///< Closed for a new one at the limit.
    std::size_t open = 0;
};

/// @brief Listens on an endpoint and hands each request to a handler.
///
/// Requests that a client pipelines are handed over as they arrive and are
/// answered in their order. Destroying the server closes its connections
/// without calling `on_cancel`.
class http_server
{
public:
    using handler = std::function<void(exchange_ptr)>;

    /// @brief Starts to listen.
    /// @param loop the loop that runs the server; must outlive it
    /// @param listen address and port; port 0 takes a free one
    /// @return the server, or `errc::io_error` / `errc::invalid_argument`
    static result<std::unique_ptr<http_server>>
    listen(event_loop& loop, const endpoint& listen,
           const http_server_options& options, handler on_request);

    ~http_server();

    /// @brief The port that is listened on.
    std::uint16_t port() const;

    /// @brief Number of requests whose answer has not been written to the
    /// socket as a whole; those with a disconnected caller do not count.
    std::size_t open_exchanges() const;

    /// @brief Number of connections whose client has not acknowledged all that
    /// was written to the socket. A process that ends before may lose what the
    /// kernel still sends.
    std::size_t undelivered_connections() const;

    /// @brief Counts since the start.
    http_server_stats stats() const;

    /// @brief Loads certificate and key again for new connections.
    /// @return an error and no change if the files can't be used
    result<void> reload_certificate();

    /// @brief Makes every connection close after the requests that were
    /// handed over: the last answer carries `connection: close`.
    void close_after_responses();

    /// @brief Sets the limit of bodies for requests that begin from now on.
    void set_max_body_bytes(std::size_t value);

    /// @brief Closes the listener; open connections are kept.
    void stop_accepting();

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::net
