/// @file
/// @brief One exchange of the HTTP server; internal to `net`.
#pragma once

#include "h2o_native.hpp"
#include <siskinflow/net/http_server.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace siskinflow::net
{

/// @brief A request on a connection of the server, and its answer.
class server_exchange final
    : public http_exchange,
      public std::enable_shared_from_this<server_exchange>
{
public:
    explicit server_exchange(h2o_req_t* request);

    const http_request& request() const override
    {
        return request_;
    }
    void respond(http_response response) override;
    void start(int status, const http_headers& headers,
               std::optional<std::size_t> content_length) override;
    void write(std::string part) override;
    void finish() override;
    void abort() override;
    void close_after_response() override;
    void on_drain(std::function<void()> callback) override;
    void on_cancel(std::function<void()> callback) override;
    bool done() const override;

    /// @brief Called when h2o releases the request.
    void on_native_released();

    /// @brief Ends the exchange if the caller disconnected before the answer
    /// started.
    void check_disconnected();

private:
    enum class end_state
    {
        none,
        complete, ///< To be sent once the queue is empty.
        aborted,  ///< As above, as an error.
        sent,
    };

    /// Passed back by h2o's callbacks; h2o's structure must be the first
    /// member.
    struct exchange_generator
    {
        h2o_generator_t super;
        server_exchange* exchange;
    };

    static void on_proceed(h2o_generator_t* generator, h2o_req_t* request);
    static void on_stop(h2o_generator_t* generator, h2o_req_t* request);

    void read_request();
    void add_response_header(const std::string& name, const std::string& value);
    bool is_head() const;
    void end_with(end_state kind);
    void send_queued();
    void on_part_sent();
    void notify_cancelled();

    h2o_req_t* native_request_;
    exchange_generator generator_{};
    http_request request_;
    bool started_ = false;
    bool write_in_flight_ = false;
    end_state end_state_ = end_state::none;
    std::string sending_;
    std::string queued_;
    std::function<void()> on_drain_;
    std::function<void()> on_cancel_;
};

} // namespace siskinflow::net
