/// @file
/// @brief One connection of the HTTP server; internal to `net`.
#pragma once

#include "output_buffer.hpp"
#include "request_parser.hpp"
#include "server_exchange.hpp"
#include "server_socket.hpp"
#include <siskinflow/net/http_server.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::net
{

/// @brief What the connections of a server share.
struct server_context
{
    server_context(event_loop& loop, http_server_options options,
                   http_server::handler on_request)
        : loop(loop), options(std::move(options)),
          on_request(std::move(on_request))
    {
    }

    event_loop& loop;
    http_server_options options;
    const http_server::handler on_request;
    http_server_stats counts;
    std::size_t open_exchanges = 0;
    /// Connections that only discard input after their last answer. They do not
    /// count as open: a client could otherwise use up the limit with them.
    std::size_t only_closing = 0;
    std::size_t waiting_for_room = 0; ///< Connections.
    bool closing = false;   ///< See `http_server::close_after_responses`.
    bool destroyed = false; ///< The server is; no callbacks are run.
    std::function<void(server_connection&)> on_closed;
    std::function<void()> on_timing_changed; ///< See `needs_frequent_checks`.
};

/// @brief Reads the requests of a connection, hands them over and writes their
/// answers in order.
///
/// Handlers' code runs from `on_request` and from `update` only, never while a
/// function called by the handler is active.
class server_connection final
    : public socket_events,
      public hold_owner,
      public std::enable_shared_from_this<server_connection>
{
public:
    /// @param counted the connection counts as open, until it only waits for
    /// the client to close it
    server_connection(std::shared_ptr<server_context> context,
                      h2o_socket_t* socket, bool counted);

    /// @brief Starts to read.
    /// @param tls null: plain HTTP
    void start(SSL_CTX* tls);

    /// @brief Sends a whole answer and closes; nothing is parsed.
    void refuse_connection(std::string answer);

    /// @brief Closes the connection without calling the handler's code.
    void drop();

    /// @brief Ends what has taken too long, and notices a client that has gone
    /// while the connection is not read.
    void check(time_point now);

    /// @brief Lets the kernel take as much unsent output as it wants.
    void lift_unsent_limit()
    {
        socket_.lift_unsent_limit();
    }

    /// @brief Whether the client has not acknowledged all that was written.
    bool has_undelivered_output() const
    {
        return socket_.undelivered_bytes() > 0;
    }

    /// @brief Whether `check` is to be called soon rather than now and then.
    bool needs_frequent_checks() const;

    /// @brief Time without any request; zero if there is one.
    duration idle_for(time_point now) const;

    bool counted() const
    {
        return counted_;
    }
    void close_now();

    // For exchanges

    /// @brief Writes what an exchange has added, and continues later with what
    /// follows from it.
    void on_output();
    void schedule_update();

    /// @brief Whether the server closes the connection after this answer.
    bool closes_after(const server_exchange& exchange) const;

    /// @brief Whether the answer of an exchange can still be delivered: the
    /// connection has not failed, and no answer in front of it closes it.
    bool can_answer(const server_exchange& exchange) const;

    // socket_events

    void on_received(std::string_view bytes) override;
    void on_end_of_input() override;
    void on_failed() override;
    void on_written(std::size_t bytes) override;

    // hold_owner

    duration stalled_for(time_point now) const override;
    void evict() override;

private:
    // Input: server_connection_input.cpp

    void parse(std::string_view bytes);
    void parse_message(std::string_view& rest);
    bool may_parse() const;
    bool reserve(std::size_t further_bytes);
    void hand_over();
    void refuse(int status, http_headers headers = {});
    void wait_for_room();
    void stop_waiting_for_room();
    void discard_request();
    void pause();
    void resume();
    void send_continue();
    bool receives() const;
    void check_receiving(time_point now);

    // Output and life: server_connection.cpp

    void update();
    void flush();
    bool write_once();
    void consume_output(std::size_t bytes);
    std::size_t output_bytes();
    std::size_t held_output_bytes();
    void account_output();
    bool remove_written();
    void run_due_drain();
    void cancel_unreachable();
    void cancel_from(std::size_t first);
    void release(std::shared_ptr<server_exchange> exchange);
    void close_gracefully();
    bool is_close_complete(time_point now);

    const std::shared_ptr<server_context> context_;
    server_socket socket_;
    bool counted_;
    const std::string peer_;
    request_parser parser_;
    std::deque<std::shared_ptr<server_exchange>> exchanges_;
    output_buffer interim_; ///< Written before the answers.
    std::string unparsed_;  ///< Received while the connection was paused.
    memory_budget::hold receive_hold_;
    memory_budget::hold output_hold_;
    std::vector<h2o_iovec_t> vectors_; ///< Kept for its room.
    time_point message_began_at_;
    time_point received_at_;      ///< Last byte.
    time_point receive_timer_at_; ///< As above, or when reading continued.
    time_point written_at_;       ///< Last progress of the output.
    time_point idle_since_;
    time_point paused_at_;
    time_point close_at_;               ///< Earliest end of a graceful close.
    std::size_t undelivered_bytes_ = 0; ///< At the last check of the close.
    time_point delivered_at_;           ///< When some of them were delivered.
    bool parsing_ended_ = false;        ///< No further request is handed over.
    bool discarded_input_ = false;
    bool paused_ = false;
    bool waits_for_room_ = false;
    bool continue_due_ = false;
    bool end_of_input_ = false;
    bool evicted_ = false;
    bool failed_ = false;
    bool closing_gracefully_ = false;
    bool closed_ = false;
    bool update_scheduled_ = false;
};

} // namespace siskinflow::net
