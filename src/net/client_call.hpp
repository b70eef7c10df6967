/// @file
/// @brief One call of the HTTP client.
#pragma once

#include "connection_pool.hpp"
#include "h2o_native.hpp"
#include <siskinflow/net/http_client.hpp>

#include <memory>
#include <string>
#include <unordered_set>

namespace siskinflow::net
{

class client_call;

/// @brief What the calls of a client share.
struct http_client::impl : std::enable_shared_from_this<impl>
{
    explicit impl(event_loop& loop);

    event_loop& loop;
    h2o_http1client_ctx_t context{};
    h2o_timeout_t io_timeout{};
    std::shared_ptr<connection_pool> pool;
    std::unordered_set<std::shared_ptr<client_call>> active;
};

/// @brief A request on a connection, and its answer.
class client_call final : public http_call,
                          public std::enable_shared_from_this<client_call>
{
public:
    client_call(http_client::impl* owner, client_request request,
                std::shared_ptr<call_observer> observer);
    ~client_call() override;

    void start();
    void cancel() override;
    void pause() override;
    void resume() override;
    bool sent() const override
    {
        return sent_;
    }
    bool fully_sent() const override;
    std::size_t received_bytes() const override
    {
        return received_bytes_;
    }
    answer_position position() const override
    {
        return position_;
    }

private:
    static h2o_http1client_head_cb on_connect(h2o_http1client_t* client,
                                              const char* error,
                                              h2o_iovec_t** buffers,
                                              size_t* count, int* is_head);
    static h2o_http1client_body_cb on_head(h2o_http1client_t* client,
                                           const char* error, int minor,
                                           int status, h2o_iovec_t message,
                                           h2o_header_t* headers, size_t count,
                                           int length);
    static int on_body(h2o_http1client_t* client, const char* error);
    static void on_written(h2o_socket_t* socket, const char* error);
    static void on_readable(h2o_socket_t* socket, const char* error);
    static client_call* from_socket(h2o_socket_t* socket);

    void stop_reading();
    void intercept_callbacks();
    void intercept_reads();
    void release_written_body();
    bool is_head_parsable();
    bool exceeds_framing_limit() const;
    bool exceeds_body_limit() const;
    void count_received();
    bool is_body_complete() const;
    void enable_keepalive_probes();
    void deliver_head(int status, const h2o_header_t* headers,
                      std::size_t count);
    void deliver_body(h2o_http1client_t* client);
    void end_at(time_point due);
    void on_overdue();
    void end(call_outcome outcome);
    void cancel_native_call();
    void close_after_next_pass();
    void close_native_call();
    void discard_unsent_bytes();
    void deregister(const std::shared_ptr<client_call>& self);
    void release_connection();
    void doubt_connection();

    http_client::impl* owner_;
    client_request request_;
    std::shared_ptr<call_observer> observer_;
    std::shared_ptr<connection_pool> pool_;
    std::shared_ptr<client_connection> connection_;
    answer_position position_;
    std::uint64_t id_ = 0; ///< Hash of the request's id; 0: it has none.
    h2o_http1client_t* client_ = nullptr;
    std::string head_;
    h2o_iovec_t buffers_[2]{};
    timer_id connect_timer_ = 0;
    timer_id deadline_timer_ = 0;
    h2o_socket_cb paused_callback_ = nullptr;
    bool paused_ = false;
    h2o_socket_cb native_write_callback_ = nullptr; ///< h2o's own.
    h2o_socket_cb native_read_callback_ = nullptr;
    bool body_ends_on_close_ = false;  ///< No framing.
    const char* read_error_ = nullptr; ///< Null if none.
    std::size_t received_bytes_ = 0;
    std::size_t bytes_at_deadline_ = 0; ///< Received when it last passed.
    time_point started_at_{};
    std::size_t unread_bytes_ = 0; ///< Received, and left in h2o's buffer.
    std::size_t body_bytes_ = 0;
    bool sent_ = false;
    std::uint64_t sent_in_pass_ = 0; ///< Pass of the loop that sent it.
    bool head_received_ = false;
    bool in_callback_ = false;
    bool ended_ = false;
};

} // namespace siskinflow::net
