/// @file
/// @brief One exchange of the HTTP server; internal to `net`.
#pragma once

#include "answer_writer.hpp"
#include "output_buffer.hpp"
#include "received_head.hpp"
#include <siskinflow/net/http_server.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow::net
{

class server_connection;

/// @brief A request on a connection of the server, and its answer. It keeps its
/// formatted answer until the connection has written it.
class server_exchange final : public http_exchange
{
public:
    /// @param held accounts for the request, until its body is released by all
    /// that share it
    server_exchange(server_connection& connection, received_head head,
                    std::string body, memory_budget::hold held);

    const http_request& request() const override
    {
        return request_;
    }
    void release_body() override;
    void respond(http_response response) override;
    void respond_in_parts(int status, const http_headers& headers,
                          std::vector<std::string> body) override;
    void start(int status, const http_headers& headers,
               std::optional<std::size_t> content_length) override;
    void write(std::string part) override;
    void finish() override;
    void abort() override;
    void close_after_response() override;
    void on_drain(std::function<void()> callback) override;
    void on_cancel(std::function<void()> callback) override;
    bool done() const override;

    // For the connection

    /// @brief The part of the answer that is not yet written.
    output_buffer& output()
    {
        return output_;
    }
    bool started() const
    {
        return writer_.started();
    }
    bool ended() const
    {
        return end_ != end_state::none;
    }
    bool aborted() const
    {
        return end_ == end_state::aborted;
    }

    /// @brief Whether the connection closes after this answer, as far as is
    /// known.
    bool closes() const;

    /// @brief Bytes of the request and the unwritten answer.
    std::size_t bytes() const
    {
        return request_.header_bytes + request_.body.size() + output_.bytes();
    }

    /// @brief Callback to run if the handler waits to write more, and the
    /// answer so far is written.
    std::function<void()> take_due_drain();

    /// @brief Callbacks of an exchange that has left its connection.
    struct callbacks
    {
        std::function<void()> on_drain;
        std::function<void()> on_cancel;
    };

    /// @brief Ends the exchange and releases its memory.
    /// @return the callbacks, whose destruction may run other code
    callbacks detach();

private:
    enum class end_state
    {
        none,
        complete,
        aborted,
    };

    bool accepts_output() const;
    void format_start(int status, const http_headers& headers,
                      std::optional<std::size_t> content_length);
    void format_end();

    server_connection* connection_; ///< Null: the exchange is detached.
    http_request request_;
    output_buffer output_;
    answer_writer writer_;
    end_state end_ = end_state::none;
    bool http_1_0_;
    bool closes_; ///< By the request or the handler.
    bool drain_due_ = false;
    std::function<void()> on_drain_;
    std::function<void()> on_cancel_;
};

} // namespace siskinflow::net
