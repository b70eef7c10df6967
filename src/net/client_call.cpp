#include "client_call.hpp"

#include "answer_head.hpp"
#include "request_head.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/core/release_memory.hpp>

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace siskinflow::net
{

namespace
{

/// Bytes of an answer that are not its body: a fixed amount for the head, the
/// trailers and the chunk sizes, and an amount for each byte of the body. A
/// chunk of one byte has six bytes of framing.
constexpr std::size_t max_framing_bytes = 64U << 10;
constexpr std::size_t framing_bytes_per_body_byte = 8;

} // namespace

client_call::client_call(http_client::impl* owner, client_request request,
                         std::shared_ptr<call_observer> observer)
    : owner_(owner), request_(std::move(request)),
      observer_(std::move(observer)), pool_(owner->pool),
      id_(request_.id.empty() ? 0 : stable_hash(request_.id)),
      head_(format_request_head(request_))
{
}

client_call::~client_call()
{
    close_native_call();
}

void client_call::start()
{
    started_at_ = owner_->loop.now();
    end_at(started_at_ + request_.timeout);
    const auto address = to_socket_address(request_.peer);
    if (!address.has_value())
    {
        // Reported from the loop: the observer is not called before `start`
        // returns.
        owner_->loop.post([self = shared_from_this()]
                          { self->end(call_outcome::connect_failed); });
        return;
    }
    connection_ = request_.fresh_connection ? pool_->make(request_.peer)
                                            : pool_->take(request_.peer, id_);
    h2o_http1client_connect_with_pool(&client_, this, &owner_->context,
                                      &connection_->native(), on_connect);
    if (sent_ || client_ == nullptr)
    {
        return; // A kept connection was used, or the connect failed at once.
    }
    if (connection_->state() == connection_state::clean)
    {
        connection_->replace(pool_->next_number());
    }
    connect_timer_ =
        owner_->loop.after(std::min(request_.connect_timeout, request_.timeout),
                           [this]
                           {
                               cancel_native_call();
                               end(call_outcome::connect_timed_out);
                           });
}

void client_call::end_at(time_point due)
{
    deadline_timer_ =
        owner_->loop.after(due - owner_->loop.now(), [this] { on_overdue(); });
}

void client_call::on_overdue()
{
    const slow_answer_time& allowed = request_.slow_answer;
    const time_point now = owner_->loop.now();
    const bool arrives =
        allowed.stall > duration::zero() &&
        received_bytes_ >= bytes_at_deadline_ + allowed.min_bytes &&
        now + allowed.stall <= started_at_ + allowed.max_time;
    if (arrives)
    {
        bytes_at_deadline_ = received_bytes_;
        end_at(now + allowed.stall);
        return;
    }
    cancel_native_call();
    end(sent_ ? call_outcome::timed_out : call_outcome::connect_timed_out);
}

void client_call::cancel()
{
    if (ended_)
    {
        return;
    }
    const auto lifetime_guard = shared_from_this();
    ended_ = true;
    doubt_connection();
    observer_.reset();
    cancel_native_call();
    deregister(lifetime_guard);
}

void client_call::cancel_native_call()
{
    if (client_ == nullptr || in_callback_)
    {
        return;
    }
    if (sent_ && sent_in_pass_ == owner_->loop.handle().passes)
    {
        close_after_next_pass();
        return;
    }
    close_native_call();
}

bool client_call::fully_sent() const
{
    if (!sent_ || client_ == nullptr || client_->sock == nullptr)
    {
        return sent_;
    }
    // In the pass of the connect, h2o has not yet reported a write that is
    // complete.
    const bool reported = sent_in_pass_ != owner_->loop.handle().passes;
    if (reported && client_->sock->_cb.write != nullptr)
    {
        return false;
    }
    int unsent_bytes = 0;
    const int descriptor = h2o_socket_get_fd(client_->sock);
    return ::ioctl(descriptor, SIOCOUTQNSD, &unsent_bytes) != 0 ||
           unsent_bytes == 0;
}

/// A close would still deliver what waits in the system's buffer, and the peer
/// would get the rest of a request that was cancelled.
void client_call::discard_unsent_bytes()
{
    if (!sent_ || fully_sent())
    {
        return;
    }
    const linger reset{1, 0};
    (void)::setsockopt(h2o_socket_get_fd(client_->sock), SOL_SOCKET, SO_LINGER,
                       &reset, sizeof(reset));
}

/// Outside its loop, h2o 2.2 frees a closed connection even if it still has to
/// report a write on it, and then follows the freed entry of its event list.
/// Within one pass of the loop that report is made.
void client_call::close_after_next_pass()
{
    event_loop& loop = owner_->loop;
    // A callback posted by a timer runs before the next pass, the one that it
    // posts runs after it.
    const auto close =
        [owner = owner_->shared_from_this(), self = shared_from_this()]
    { self->close_native_call(); };
    loop.post([close, &loop] { loop.post(close); });
}

void client_call::close_native_call()
{
    if (client_ == nullptr)
    {
        return;
    }
    discard_unsent_bytes();
    h2o_http1client_t* client = std::exchange(client_, nullptr);
    h2o_http1client_cancel(client);
}

void client_call::pause()
{
    paused_ = true;
    stop_reading();
}

/// After a head, h2o starts to read the body in any case, so a pause from
/// within a callback takes effect again when the callback has returned.
void client_call::stop_reading()
{
    if (!paused_ || client_ == nullptr || client_->sock == nullptr ||
        client_->sock->_cb.read == nullptr)
    {
        return;
    }
    paused_callback_ = client_->sock->_cb.read;
    h2o_socket_read_stop(client_->sock);
}

void client_call::resume()
{
    paused_ = false;
    if (paused_callback_ == nullptr)
    {
        return;
    }
    const h2o_socket_cb callback = std::exchange(paused_callback_, nullptr);
    if (client_ != nullptr && client_->sock != nullptr)
    {
        h2o_socket_read_start(client_->sock, callback);
    }
}

h2o_http1client_head_cb client_call::on_connect(h2o_http1client_t* client,
                                                const char* error,
                                                h2o_iovec_t** buffers,
                                                size_t* count, int* is_head)
{
    auto* self = static_cast<client_call*>(client->data);
    self->owner_->loop.cancel(self->connect_timer_);
    if (error != nullptr)
    {
        self->client_ = nullptr;
        self->owner_->loop.post([call = self->shared_from_this()]
                                { call->end(call_outcome::connect_failed); });
        return nullptr;
    }
    self->sent_ = true;
    self->connection_->on_sent(self->id_, client->sock);
    self->sent_in_pass_ = self->owner_->loop.handle().passes;
    self->buffers_[0] = h2o_iovec_init(self->head_.data(), self->head_.size());
    const std::string_view body = self->request_.body_bytes();
    self->buffers_[1] = h2o_iovec_init(body.data(), body.size());
    *buffers = self->buffers_;
    *count = body.empty() ? 1 : 2;
    *is_head = self->request_.method == "HEAD" ? 1 : 0;
    self->enable_keepalive_probes();
    self->owner_->loop.post(
        [weak = self->weak_from_this()]
        {
            if (auto call = weak.lock())
            {
                call->intercept_callbacks();
            }
        });
    return on_head;
}

client_call* client_call::from_socket(h2o_socket_t* socket)
{
    return static_cast<client_call*>(
        static_cast<h2o_http1client_t*>(socket->data)->data);
}

void client_call::doubt_connection()
{
    if (connection_ != nullptr)
    {
        connection_->doubt();
    }
}

/// h2o 2.2 ends the process on a head with a length or encoding that it can't
/// parse, and does not report how a body ended. This class therefore wraps
/// h2o's socket callbacks.
void client_call::intercept_callbacks()
{
    if (client_ == nullptr || client_->sock == nullptr)
    {
        return;
    }
    h2o_socket_t* socket = client_->sock;
    if (socket->_cb.write != nullptr && socket->_cb.write != on_written)
    {
        native_write_callback_ = std::exchange(socket->_cb.write, on_written);
    }
    release_written_body();
    intercept_reads();
}

/// The socket refers to the body until it has reported the write. A call never
/// sends its request again.
void client_call::release_written_body()
{
    if (client_ == nullptr || client_->sock == nullptr ||
        client_->sock->_cb.write != nullptr)
    {
        return;
    }
    release_memory(request_.body);
    request_.shared_body = {};
    request_.body_owner.reset();
}

void client_call::intercept_reads()
{
    if (client_ == nullptr || client_->sock == nullptr)
    {
        return;
    }
    h2o_socket_t* socket = client_->sock;
    if (socket->_cb.read != nullptr && socket->_cb.read != on_readable)
    {
        native_read_callback_ = std::exchange(socket->_cb.read, on_readable);
    }
}

void client_call::on_written(h2o_socket_t* socket, const char* error)
{
    const auto self = from_socket(socket)->shared_from_this();
    self->native_write_callback_(socket, error);
    self->release_written_body();
    self->intercept_reads();
}

void client_call::on_readable(h2o_socket_t* socket, const char* error)
{
    const auto self = from_socket(socket)->shared_from_this();
    self->read_error_ = error;
    self->count_received();
    if (!self->head_received_ && error == nullptr && !self->is_head_parsable())
    {
        self->cancel_native_call();
        self->end(call_outcome::broken);
        return;
    }
    self->native_read_callback_(socket, error);
    self->intercept_reads();
    if (self->client_ == nullptr || self->client_->sock == nullptr)
    {
        self->release_connection();
        return;
    }
    self->stop_reading();
    self->unread_bytes_ = socket->input->size;
    if (self->exceeds_framing_limit())
    {
        self->cancel_native_call();
        self->end(self->head_received_ ? call_outcome::truncated
                                       : call_outcome::broken);
    }
}

void client_call::count_received()
{
    const std::size_t buffered = client_->sock->input->size;
    received_bytes_ += buffered - std::min(buffered, unread_bytes_);
}

/// Bounds the answers that never end but have no body, or almost none.
bool client_call::exceeds_framing_limit() const
{
    return received_bytes_ >
           max_framing_bytes + body_bytes_ * (1 + framing_bytes_per_body_byte);
}

bool client_call::exceeds_body_limit() const
{
    return request_.max_body_bytes != 0 &&
           body_bytes_ > request_.max_body_bytes;
}

/// A body without framing is complete when the peer closes the connection; any
/// other body must be complete before that. h2o 2.2 also accepts a close as the
/// end of a chunked body without its last chunk.
bool client_call::is_body_complete() const
{
    return body_ends_on_close_ ? read_error_ == h2o_socket_error_closed
                               : read_error_ == nullptr;
}

bool client_call::is_head_parsable()
{
    const h2o_buffer_t* input = client_->sock->input;
    return is_parsable_response_head({input->bytes, input->size},
                                     max_framing_bytes);
}

void client_call::enable_keepalive_probes()
{
    if (request_.keepalive_timeout <= duration::zero())
    {
        return;
    }
    constexpr int probe_count = 2;
    const int descriptor = h2o_socket_get_fd(client_->sock);
    const auto interval_seconds = static_cast<int>(std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::seconds>(
               request_.keepalive_timeout / (probe_count + 1))
               .count()));
    const int on = 1;
    const int options[][2] = {{TCP_KEEPIDLE, interval_seconds},
                              {TCP_KEEPINTVL, interval_seconds},
                              {TCP_KEEPCNT, probe_count}};
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    for (const auto& [option, value] : options)
    {
        (void)::setsockopt(descriptor, IPPROTO_TCP, option, &value,
                           sizeof(value));
    }
}

h2o_http1client_body_cb
client_call::on_head(h2o_http1client_t* client, const char* error,
                     int /*minor*/, int status, h2o_iovec_t /*message*/,
                     h2o_header_t* headers, size_t count, int head_bytes)
{
    auto* self = static_cast<client_call*>(client->data);
    const auto lifetime_guard = self->shared_from_this();
    if (error != nullptr && error != h2o_http1client_error_is_eos)
    {
        self->client_ = nullptr;
        self->end(call_outcome::broken);
        return nullptr;
    }
    self->head_received_ = true;
    self->connection_->on_head();
    self->position_ = self->connection_->position();
    // h2o drops what follows an answer without a body.
    if (error != nullptr &&
        client->sock->input->size > static_cast<std::size_t>(head_bytes))
    {
        self->connection_->doubt();
    }
    self->in_callback_ = true;
    self->deliver_head(status, headers, count);
    self->in_callback_ = false;
    if (error == h2o_http1client_error_is_eos)
    {
        self->client_ = nullptr;
        self->end(call_outcome::complete);
        return nullptr;
    }
    if (self->ended_)
    {
        self->client_ = nullptr;
        return nullptr;
    }
    return on_body;
}

int client_call::on_body(h2o_http1client_t* client, const char* error)
{
    auto* self = static_cast<client_call*>(client->data);
    const auto lifetime_guard = self->shared_from_this();
    self->in_callback_ = true;
    self->deliver_body(client);
    self->in_callback_ = false;
    if (error != nullptr)
    {
        self->client_ = nullptr;
        const bool complete = error == h2o_http1client_error_is_eos &&
                              self->is_body_complete() &&
                              !self->exceeds_body_limit();
        self->end(complete ? call_outcome::complete : call_outcome::truncated);
        return 0;
    }
    if (self->exceeds_body_limit())
    {
        self->end(call_outcome::truncated);
    }
    if (self->ended_)
    {
        self->client_ = nullptr;
        return -1;
    }
    return 0;
}

void client_call::deliver_head(int status, const h2o_header_t* headers,
                               std::size_t count)
{
    http_headers fields;
    fields.reserve(count + 1);
    for (std::size_t i = 0; i < count; ++i)
    {
        fields.add(std::string(view(*headers[i].name)),
                   std::string(view(headers[i].value)));
    }
    const auto length = parse_content_length(fields.value("content-length"));
    body_ends_on_close_ = !fields.contains("content-length") &&
                          !fields.contains("transfer-encoding");
    fields.remove_hop_by_hop();
    fields.remove("content-length");
    if (observer_ != nullptr)
    {
        observer_->on_head(status, fields, length);
    }
}

void client_call::deliver_body(h2o_http1client_t* client)
{
    h2o_buffer_t*& input = client->sock->input;
    if (input->size == 0 || observer_ == nullptr)
    {
        return;
    }
    const std::size_t size = input->size;
    body_bytes_ += size;
    if (exceeds_body_limit())
    {
        return;
    }
    const auto observer = observer_;
    observer->on_body({input->bytes, size});
    h2o_buffer_consume(&input, size);
}

void client_call::deregister(const std::shared_ptr<client_call>& self)
{
    owner_->loop.cancel(deadline_timer_);
    owner_->loop.cancel(connect_timer_);
    owner_->active.erase(self);
    // h2o puts the socket aside after its callback has returned, so the call,
    // which holds the connection, must outlive the callback.
    owner_->loop.post([self] { self->release_connection(); });
}

/// Gives the connection back once h2o has put its socket aside.
void client_call::release_connection()
{
    if (ended_ && client_ == nullptr && connection_ != nullptr &&
        !request_.fresh_connection)
    {
        pool_->put(std::exchange(connection_, nullptr));
    }
}

void client_call::end(call_outcome outcome)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    if (outcome != call_outcome::complete || !observer_->keeps_connection())
    {
        doubt_connection();
    }
    deregister(shared_from_this());
    const auto observer = std::move(observer_);
    observer->on_end(outcome);
}

} // namespace siskinflow::net
