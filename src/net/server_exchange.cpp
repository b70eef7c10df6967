#include "server_exchange.hpp"

#include "reason_phrase.hpp"

#include <cstdint>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace siskinflow::net
{

namespace
{

/// Status of the answer that ends a disconnected caller's exchange.
constexpr int status_client_closed_request = 499;

/// Whether the peer has closed its side or the connection has failed.
bool is_closed_by_peer(int descriptor)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    {
        return false;
    }
    return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

} // namespace

server_exchange::server_exchange(h2o_req_t* request) : native_request_(request)
{
    read_request();
    generator_.super.proceed = on_proceed;
    generator_.super.stop = on_stop;
    generator_.exchange = this;
}

void server_exchange::respond(http_response response)
{
    const std::size_t length = response.body.size();
    start(response.status, response.headers, length);
    if (!response.body.empty())
    {
        write(std::move(response.body));
    }
    finish();
}

void server_exchange::start(int status, const http_headers& headers,
                            std::optional<std::size_t> content_length)
{
    if (native_request_ == nullptr || started_)
    {
        return;
    }
    started_ = true;
    native_request_->res.status = status;
    native_request_->res.reason = reason_phrase(status);
    native_request_->res.content_length = content_length.value_or(SIZE_MAX);
    for (const auto& [name, value] : headers)
    {
        add_response_header(name, value);
    }
    h2o_start_response(native_request_, &generator_.super);
}

void server_exchange::write(std::string part)
{
    if (native_request_ == nullptr || !started_ ||
        end_state_ != end_state::none)
    {
        return;
    }
    queued_ += part;
    send_queued();
}

void server_exchange::finish()
{
    end_with(end_state::complete);
}

void server_exchange::abort()
{
    close_after_response();
    end_with(end_state::aborted);
}

void server_exchange::close_after_response()
{
    if (native_request_ != nullptr)
    {
        native_request_->http1_is_persistent = 0;
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
    return native_request_ == nullptr || end_state_ == end_state::sent;
}

void server_exchange::on_native_released()
{
    native_request_ = nullptr;
    request_.body = {};
    if (end_state_ != end_state::sent)
    {
        notify_cancelled();
    }
    on_drain_ = nullptr;
    on_cancel_ = nullptr;
}

void server_exchange::check_disconnected()
{
    if (native_request_ == nullptr || started_)
    {
        return;
    }
    h2o_socket_t* socket =
        native_request_->conn->callbacks->get_socket(native_request_->conn);
    if (!is_closed_by_peer(h2o_socket_get_fd(socket)))
    {
        return;
    }
    const auto lifetime_guard = shared_from_this();
    notify_cancelled();
    close_after_response();
    start(status_client_closed_request, {}, 0);
    finish();
}

void server_exchange::read_request()
{
    request_.method = view(native_request_->input.method);
    const std::string_view path = view(native_request_->path);
    const bool has_query = native_request_->query_at < path.size();
    request_.path = path.substr(0, has_query ? native_request_->query_at
                                             : std::string_view::npos);
    request_.has_query = has_query;
    if (has_query)
    {
        request_.query = path.substr(native_request_->query_at + 1);
    }
    request_.header_bytes = request_.method.size() + path.size();
    request_.headers.reserve(native_request_->headers.size + 1);
    for (std::size_t i = 0; i < native_request_->headers.size; ++i)
    {
        const h2o_header_t& header = native_request_->headers.entries[i];
        request_.header_bytes += header.name->len + header.value.len + 4;
        request_.headers.add(std::string(view(*header.name)),
                             std::string(view(header.value)));
    }
    request_.headers.add("host", std::string(view(native_request_->authority)));
    request_.body = view(native_request_->entity);
    sockaddr_storage peer{};
    auto* address = reinterpret_cast<sockaddr*>(&peer);
    if (native_request_->conn->callbacks->get_peername(native_request_->conn,
                                                       address) != 0)
    {
        request_.peer = from_socket_address(address).address;
    }
}

void server_exchange::add_response_header(const std::string& name,
                                          const std::string& value)
{
    // h2o keeps the pointers, so the text is copied into its pool.
    const h2o_iovec_t name_copy =
        h2o_strdup(&native_request_->pool, name.data(), name.size());
    const h2o_iovec_t value_copy =
        h2o_strdup(&native_request_->pool, value.data(), value.size());
    h2o_add_header_by_str(&native_request_->pool, &native_request_->res.headers,
                          name_copy.base, name_copy.len, 1, nullptr,
                          value_copy.base, value_copy.len);
}

bool server_exchange::is_head() const
{
    return request_.method == "HEAD";
}

void server_exchange::end_with(end_state kind)
{
    if (native_request_ == nullptr || !started_ ||
        end_state_ != end_state::none)
    {
        return;
    }
    end_state_ = kind;
    send_queued();
}

void server_exchange::send_queued()
{
    if (write_in_flight_ || native_request_ == nullptr)
    {
        return;
    }
    if (is_head())
    {
        queued_.clear();
    }
    if (queued_.empty() && end_state_ == end_state::none)
    {
        return;
    }
    sending_.swap(queued_);
    queued_.clear();
    write_in_flight_ = true;
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    if (end_state_ == end_state::complete)
    {
        state = H2O_SEND_STATE_FINAL;
        end_state_ = end_state::sent;
    }
    else if (end_state_ == end_state::aborted)
    {
        state = H2O_SEND_STATE_ERROR;
        end_state_ = end_state::sent;
    }
    h2o_iovec_t buffer = h2o_iovec_init(sending_.data(), sending_.size());
    h2o_send(native_request_, &buffer, sending_.empty() ? 0 : 1, state);
}

void server_exchange::on_part_sent()
{
    write_in_flight_ = false;
    const auto lifetime_guard = shared_from_this();
    send_queued();
    if (!write_in_flight_ && on_drain_)
    {
        const auto callback = on_drain_;
        callback();
    }
}

void server_exchange::notify_cancelled()
{
    if (on_cancel_)
    {
        const auto callback = std::exchange(on_cancel_, nullptr);
        callback();
    }
}

void server_exchange::on_proceed(h2o_generator_t* generator,
                                 h2o_req_t* /*request*/)
{
    reinterpret_cast<exchange_generator*>(generator)->exchange->on_part_sent();
}

void server_exchange::on_stop(h2o_generator_t* generator,
                              h2o_req_t* /*request*/)
{
    auto* self = reinterpret_cast<exchange_generator*>(generator)->exchange;
    const auto lifetime_guard = self->shared_from_this();
    self->notify_cancelled();
}

} // namespace siskinflow::net
