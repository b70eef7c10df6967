/// @file
/// @brief HTTP/1.1 client on h2o with pooled connections.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/net/answer_position.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_types.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace siskinflow::net
{

/// @brief How a call ended.
enum class call_outcome
{
    complete,          ///< The whole answer arrived.
    connect_failed,    ///< No connection was established; nothing was sent.
    connect_timed_out, ///< As above, by the connect timeout.
    broken,            ///< The connection failed after it was established.
    truncated,         ///< The body ended before its framing said so.
    timed_out,         ///< The deadline passed after the connection was made.
    cancelled,         ///< `cancel` was called.
};

/// @brief Name of an outcome in snake_case.
std::string_view name(call_outcome outcome);

/// @brief Whether the outcome proves that the peer never saw the request.
bool never_sent(call_outcome outcome);

/// @brief Time for an answer that goes on arriving when the timeout of its call
/// has passed.
struct slow_answer_time
{
    /// The call ends when fewer than `min_bytes` arrive in this time; 0 grants
    /// no time beyond the timeout.
    duration stall{0};
    std::size_t min_bytes = 1024;
    duration max_time = std::chrono::seconds(30); ///< For the whole call.
};

/// @brief A request to a peer.
struct client_request
{
    endpoint peer;
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    http_headers headers;     ///< Without framing and `host`.
    std::string body;
    /// Sent in place of `body` unless empty. The bytes belong to `body_owner`,
    /// which the call keeps, so that further attempts need no copies of them.
    std::string_view shared_body;
    std::shared_ptr<const void> body_owner;
    /// Identifies the request to the peer: a connection carries it once at
    /// most. Empty: any connection may carry the request.
    std::string id;
    bool fresh_connection = false; ///< Open a new connection for this call.
    /// Bytes after which the body is cut and the call ends as `truncated`; 0
    /// sets no limit.
    std::size_t max_body_bytes = 0;
    duration connect_timeout = std::chrono::seconds(1);
    duration timeout = std::chrono::seconds(10); ///< For the whole call.
    slow_answer_time slow_answer;
    /// Time after which TCP keepalive probes detect a vanished peer, in whole
    /// seconds, at least 3; 0 sends no probes. For calls that wait long
    /// without receiving data.
    duration keepalive_timeout{0};

    /// @brief The body that is sent.
    std::string_view body_bytes() const
    {
        return shared_body.empty() ? std::string_view(body) : shared_body;
    }
};

/// @brief Receives the answer of a call in parts.
class call_observer
{
public:
    virtual ~call_observer() = default;

    /// @brief Status and headers have arrived (hop-by-hop fields removed).
    /// @param content_length bytes of the body, if the peer said so
    virtual void on_head(int status, const http_headers& headers,
                         std::optional<std::size_t> content_length) = 0;

    /// @brief A part of the body has arrived.
    virtual void on_body(std::string_view part) = 0;

    /// @brief Whether the connection may serve another request after this
    /// answer, which is complete. It is closed otherwise.
    virtual bool keeps_connection() const
    {
        return true;
    }

    /// @brief The call has ended; called once, unless `cancel` was called.
    virtual void on_end(call_outcome outcome) = 0;
};

/// @brief A call in progress. Destroying the handle cancels the call.
class http_call
{
public:
    virtual ~http_call() = default;

    /// @brief Closes the connection; the observer is not called any more.
    virtual void cancel() = 0;

    /// @brief Stops reading the body, so that TCP flow control stops the peer.
    virtual void pause() = 0;

    /// @brief Continues reading after `pause`.
    virtual void resume() = 0;

    /// @brief Whether the connection was established.
    virtual bool sent() const = 0;

    /// @brief Whether no byte of the request waits in this machine any more,
    /// neither in the process nor in the system's buffer. Until then the peer
    /// can't have the whole request, and `cancel` discards what waits.
    virtual bool fully_sent() const
    {
        return sent();
    }

    /// @brief Bytes of the answer that have arrived so far, with its head.
    virtual std::size_t received_bytes() const
    {
        return 0;
    }

    /// @brief Where the answer was read.
    /// @return a position that is not conclusive before the head has arrived
    virtual answer_position position() const
    {
        return {};
    }
};

/// @brief Makes HTTP calls.
class http_caller
{
public:
    virtual ~http_caller() = default;

    /// @brief Starts a call.
    /// @param request the request
    /// @param observer receives the answer; kept until `on_end` or `cancel`
    /// @return the handle; the observer is never called before this returns
    virtual std::shared_ptr<http_call>
    start(client_request request, std::shared_ptr<call_observer> observer) = 0;

    /// @brief Closes the idle connections to a peer, for instance after one
    /// of them stopped responding.
    virtual void close_idle_connections(const endpoint& peer) = 0;
};

/// @brief Result of `fetch`.
struct fetch_result
{
    call_outcome outcome = call_outcome::broken;
    http_response response;
};

/// @brief Makes a call and buffers the whole answer.
/// @param caller makes the call
/// @param request the request
/// @param max_bytes larger answers end as `truncated`
/// @param done called once unless the handle is destroyed before
std::shared_ptr<http_call> fetch(http_caller& caller, client_request request,
                                 std::size_t max_bytes,
                                 std::function<void(fetch_result)> done);

/// @brief The client on h2o.
class http_client final : public http_caller
{
public:
    /// @param loop the loop that runs the client; must outlive it
    explicit http_client(event_loop& loop);
    ~http_client() override;

    std::shared_ptr<http_call>
    start(client_request request,
          std::shared_ptr<call_observer> observer) override;
    void close_idle_connections(const endpoint& peer) override;

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow::net
