#include "server_exchange.hpp"

#include "server_connection.hpp"

#include <utility>

namespace siskinflow::net
{

namespace
{

/// A body and its account, which end together.
struct accounted_body
{
    std::string bytes;
    memory_budget::hold held;
};

} // namespace

server_exchange::server_exchange(server_connection& connection,
                                 received_head head, std::string body,
                                 memory_budget::hold held)
    : connection_(&connection), request_(std::move(head.request)),
      http_1_0_(head.http_1_0), closes_(!head.persistent)
{
    const auto shared = std::make_shared<const accounted_body>(
        accounted_body{std::move(body), std::move(held)});
    request_.body = shared->bytes;
    request_.body_owner = shared;
}

void server_exchange::release_body()
{
    request_.body = {};
    request_.body_owner.reset();
    if (connection_ != nullptr)
    {
        connection_->schedule_update(); // It may read further requests.
    }
}

void server_exchange::respond(http_response response)
{
    std::vector<std::string> body;
    body.push_back(std::move(response.body));
    respond_in_parts(response.status, response.headers, std::move(body));
}

void server_exchange::respond_in_parts(int status, const http_headers& headers,
                                       std::vector<std::string> body)
{
    if (connection_ == nullptr || started())
    {
        return;
    }
    std::size_t length = 0;
    for (const std::string& part : body)
    {
        length += part.size();
    }
    format_start(status, headers, length);
    for (std::string& part : body)
    {
        writer_.write(std::move(part), output_);
    }
    format_end();
    connection_->on_output();
}

void server_exchange::start(int status, const http_headers& headers,
                            std::optional<std::size_t> content_length)
{
    if (connection_ == nullptr || started())
    {
        return;
    }
    format_start(status, headers, content_length);
    connection_->on_output();
}

void server_exchange::write(std::string part)
{
    if (!accepts_output())
    {
        return;
    }
    drain_due_ = true;
    writer_.write(std::move(part), output_);
    connection_->on_output();
}

void server_exchange::finish()
{
    if (!accepts_output())
    {
        return;
    }
    format_end();
    connection_->on_output();
}

void server_exchange::abort()
{
    close_after_response();
    if (accepts_output())
    {
        end_ = end_state::aborted;
        connection_->on_output();
    }
}

void server_exchange::close_after_response()
{
    closes_ = true;
    if (connection_ != nullptr)
    {
        connection_->schedule_update();
    }
}

void server_exchange::on_drain(std::function<void()> callback)
{
    on_drain_ = std::move(callback);
}

void server_exchange::on_cancel(std::function<void()> callback)
{
    on_cancel_ = std::move(callback);
}

bool server_exchange::done() const
{
    return connection_ == nullptr || ended() || !connection_->can_answer(*this);
}

bool server_exchange::closes() const
{
    return closes_ || writer_.closes() || aborted();
}

std::function<void()> server_exchange::take_due_drain()
{
    const bool due =
        drain_due_ && !ended() && output_.empty() && on_drain_ != nullptr;
    drain_due_ = drain_due_ && !due;
    // A copy: the callback may replace itself.
    return due ? on_drain_ : nullptr;
}

server_exchange::callbacks server_exchange::detach()
{
    connection_ = nullptr;
    release_body();
    output_.clear();
    return {std::exchange(on_drain_, nullptr),
            std::exchange(on_cancel_, nullptr)};
}

bool server_exchange::accepts_output() const
{
    return connection_ != nullptr && started() && !ended();
}

void server_exchange::format_start(int status, const http_headers& headers,
                                   std::optional<std::size_t> content_length)
{
    answer_context context;
    context.head_request = request_.method == "HEAD";
    context.http_1_0 = http_1_0_;
    context.persistent = !closes_ && !connection_->closes_after(*this);
    writer_.start(status, headers, content_length, context, output_);
}

void server_exchange::format_end()
{
    // An answer that is shorter than announced must not look complete.
    end_ = writer_.finish(output_) ? end_state::complete : end_state::aborted;
}

} // namespace siskinflow::net
