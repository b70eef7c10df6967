#include "server_connection.hpp"

#include <siskinflow/core/release_memory.hpp>

#include <algorithm>
#include <utility>

namespace siskinflow::net
{

namespace
{

/// Least time for which input is discarded after the last answer: closing a
/// socket with unread input would reset the connection and lose the answer.
constexpr duration discard_time = std::chrono::seconds(1);
/// Longest such time, however slowly the client reads the answer.
constexpr duration max_discard_time = std::chrono::seconds(30);
/// Closing connections that do not count as open; bounds the descriptors.
constexpr std::size_t max_only_closing = 64;

request_limits limits_of(const http_server_options& options)
{
    return {options.max_header_bytes, options.max_body_bytes};
}

} // namespace

server_connection::server_connection(std::shared_ptr<server_context> context,
                                     h2o_socket_t* socket, bool counted)
    : context_(std::move(context)), socket_(socket, *this), counted_(counted),
      peer_(socket_.peer()), parser_(limits_of(context_->options)),
      message_began_at_(context_->loop.now()), received_at_(message_began_at_),
      receive_timer_at_(message_began_at_), written_at_(message_began_at_),
      idle_since_(message_began_at_), paused_at_(message_began_at_),
      close_at_(message_began_at_), delivered_at_(message_began_at_)
{
}

void server_connection::start(SSL_CTX* tls)
{
    if (tls != nullptr)
    {
        socket_.start_tls(tls);
        return;
    }
    socket_.start_reading();
}

void server_connection::refuse_connection(std::string answer)
{
    parsing_ended_ = true;
    const h2o_iovec_t part = h2o_iovec_init(answer.data(), answer.size());
    (void)socket_.write(&part, 1);
    close_gracefully();
}

void server_connection::drop()
{
    const auto guard = shared_from_this();
    closed_ = true;
    socket_.close();
    discard_request();
    output_hold_ = {};
    std::vector<server_exchange::callbacks> callbacks;
    for (const auto& exchange : std::exchange(exchanges_, {}))
    {
        callbacks.push_back(exchange->detach());
        --context_->open_exchanges;
    }
}

void server_connection::close_now()
{
    if (std::exchange(closed_, true))
    {
        return;
    }
    const auto guard = shared_from_this();
    socket_.close();
    cancel_from(0);
    output_hold_ = {};
    discard_request();
    context_->on_closed(*this);
}

/// Frees what has been received of a request that is not handed over.
void server_connection::discard_request()
{
    stop_waiting_for_room();
    release_memory(unparsed_);
    release_memory(parser_, request_parser(limits_of(context_->options)));
    receive_hold_ = {};
}

void server_connection::close_gracefully()
{
    cancel_from(0);
    parsing_ended_ = true;
    // h2o can announce the end to a client with TLS only by closing.
    const bool input_is_read = !discarded_input_ && unparsed_.empty() &&
                               parser_.status() == request_parser::state::idle;
    if (end_of_input_ || (socket_.is_tls() && input_is_read))
    {
        close_now();
        return;
    }
    discard_request();
    output_hold_ = {};
    closing_gracefully_ = true;
    if (counted_ && context_->only_closing < max_only_closing)
    {
        counted_ = false;
        --context_->counts.open;
        ++context_->only_closing;
    }
    delivered_at_ = context_->loop.now();
    close_at_ = delivered_at_ + discard_time;
    undelivered_bytes_ = socket_.undelivered_bytes();
    socket_.end_sending();
    socket_.start_reading();
    context_->on_timing_changed();
}

void server_connection::on_failed()
{
    close_now();
}

void server_connection::on_end_of_input()
{
    const auto guard = shared_from_this();
    end_of_input_ = true;
    parsing_ended_ = true;
    socket_.stop_reading();
    receive_hold_ = {};
    // Answers that have begun are still written.
    const auto waiting =
        std::find_if(exchanges_.begin(), exchanges_.end(),
                     [](const auto& exchange) { return !exchange->started(); });
    cancel_from(static_cast<std::size_t>(waiting - exchanges_.begin()));
    if (closing_gracefully_ || exchanges_.empty())
    {
        close_now();
        return;
    }
    context_->on_timing_changed();
}

void server_connection::on_output()
{
    if (!socket_.is_writing())
    {
        written_at_ = context_->loop.now(); // Nothing was pending.
    }
    flush();
    schedule_update();
}

void server_connection::schedule_update()
{
    if (closed_ || std::exchange(update_scheduled_, true))
    {
        return;
    }
    context_->loop.post(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->update_scheduled_ = false;
                self->update();
            }
        });
}

void server_connection::on_written(std::size_t bytes)
{
    const auto guard = shared_from_this();
    consume_output(bytes);
    flush();
    update();
}

void server_connection::flush()
{
    while (!closed_ && !failed_ && !closing_gracefully_ &&
           !socket_.is_writing() && write_once())
    {
    }
    account_output();
}

bool server_connection::write_once()
{
    vectors_.clear();
    interim_.add_vectors(vectors_);
    for (const auto& exchange : exchanges_)
    {
        exchange->output().add_vectors(vectors_);
        if (!exchange->ended() || exchange->closes())
        {
            break;
        }
    }
    if (vectors_.empty())
    {
        return false;
    }
    const auto written = socket_.write(vectors_.data(), vectors_.size());
    if (!written)
    {
        failed_ = true;
        schedule_update();
        return false;
    }
    if (*written == 0)
    {
        socket_.wait_writable();
        return false;
    }
    consume_output(*written);
    return true;
}

void server_connection::consume_output(std::size_t bytes)
{
    if (bytes == 0)
    {
        return;
    }
    written_at_ = context_->loop.now();
    const auto consume_from = [&bytes](output_buffer& output)
    {
        const std::size_t part = std::min(bytes, output.bytes());
        output.consume(part);
        bytes -= part;
    };
    consume_from(interim_);
    for (const auto& exchange : exchanges_)
    {
        consume_from(exchange->output());
    }
}

std::size_t server_connection::output_bytes()
{
    std::size_t out = interim_.bytes();
    for (const auto& exchange : exchanges_)
    {
        out += exchange->output().bytes();
    }
    return out;
}

std::size_t server_connection::held_output_bytes()
{
    std::size_t out = interim_.held_bytes();
    for (const auto& exchange : exchanges_)
    {
        out += exchange->output().held_bytes();
    }
    return out;
}

void server_connection::account_output()
{
    if (context_->options.memory == nullptr || closed_)
    {
        return;
    }
    const std::size_t bytes = held_output_bytes();
    const std::size_t before = output_hold_.bytes();
    if (before == 0 && bytes > 0)
    {
        output_hold_ = context_->options.memory->make_hold(
            hold_kind::unsent_answer, shared_from_this(), peer_);
    }
    if (bytes < before)
    {
        output_hold_.shrink_to(bytes);
    }
    else if (bytes > before)
    {
        output_hold_.take(bytes);
    }
}

void server_connection::update()
{
    const auto guard = shared_from_this();
    if (closed_ || closing_gracefully_)
    {
        return;
    }
    if (failed_)
    {
        close_now();
        return;
    }
    if (std::exchange(evicted_, false))
    {
        refuse(503, {{"retry-after", "1"}});
    }
    cancel_unreachable();
    if (!remove_written())
    {
        return;
    }
    run_due_drain();
    if (!closed_ && !closing_gracefully_)
    {
        send_continue();
        resume();
    }
}

bool server_connection::remove_written()
{
    while (!exchanges_.empty() && exchanges_.front()->ended() &&
           exchanges_.front()->output().empty() && interim_.empty())
    {
        const auto exchange = std::move(exchanges_.front());
        exchanges_.pop_front();
        const bool closes = exchange->closes();
        --context_->open_exchanges;
        idle_since_ = context_->loop.now();
        if (closes)
        {
            close_gracefully();
        }
        // Releasing the callbacks may run the handler's code.
        (void)exchange->detach();
        if (closed_ || closing_gracefully_)
        {
            return false;
        }
    }
    if (exchanges_.empty() && parsing_ended_ && interim_.empty())
    {
        close_gracefully();
        return false;
    }
    return true;
}

void server_connection::run_due_drain()
{
    if (exchanges_.empty())
    {
        return;
    }
    const auto exchange = exchanges_.front();
    if (const auto callback = exchange->take_due_drain())
    {
        callback();
    }
}

void server_connection::cancel_unreachable()
{
    const auto last =
        std::find_if(exchanges_.begin(), exchanges_.end(),
                     [](const auto& exchange) { return exchange->closes(); });
    if (last != exchanges_.end())
    {
        parsing_ended_ = true;
        cancel_from(static_cast<std::size_t>(last - exchanges_.begin()) + 1);
    }
}

bool server_connection::can_answer(const server_exchange& exchange) const
{
    for (const auto& entry : exchanges_)
    {
        if (failed_)
        {
            return false;
        }
        if (entry.get() == &exchange)
        {
            return true;
        }
        if (entry->closes())
        {
            return false;
        }
    }
    return false;
}

void server_connection::cancel_from(std::size_t first)
{
    while (exchanges_.size() > first)
    {
        auto exchange = std::move(exchanges_.back());
        exchanges_.pop_back();
        --context_->open_exchanges;
        release(std::move(exchange));
    }
}

void server_connection::release(std::shared_ptr<server_exchange> exchange)
{
    const bool cancelled = !exchange->ended();
    auto callbacks = exchange->detach();
    context_->loop.post(
        [context = context_, cancelled, callbacks = std::move(callbacks),
         exchange = std::move(exchange)]
        {
            if (cancelled && !context->destroyed && callbacks.on_cancel)
            {
                callbacks.on_cancel();
            }
        });
}

bool server_connection::closes_after(const server_exchange& exchange) const
{
    return (context_->closing || parsing_ended_) && !exchanges_.empty() &&
           exchanges_.back().get() == &exchange;
}

/// Whether the client has the answer. Input that arrives for a closed socket
/// would reset the connection, and what the kernel still sends would be lost.
bool server_connection::is_close_complete(time_point now)
{
    const std::size_t undelivered = socket_.undelivered_bytes();
    if (std::exchange(undelivered_bytes_, undelivered) > undelivered)
    {
        delivered_at_ = now;
    }
    const bool given_up =
        now - delivered_at_ >= context_->options.write_stall_timeout ||
        now >= close_at_ + max_discard_time - discard_time;
    return now >= close_at_ && (undelivered == 0 || given_up);
}

bool server_connection::needs_frequent_checks() const
{
    return paused_ || closing_gracefully_ || end_of_input_;
}

duration server_connection::idle_for(time_point now) const
{
    const bool idle = exchanges_.empty() && !closing_gracefully_ &&
                      !socket_.handshaking() && interim_.empty() &&
                      parser_.status() == request_parser::state::idle;
    return idle ? now - idle_since_ : duration::zero();
}

void server_connection::check(time_point now)
{
    const auto guard = shared_from_this();
    const http_server_options& options = context_->options;
    const bool stalled = output_bytes() > 0 && socket_.is_writing() &&
                         now - written_at_ >= options.write_stall_timeout;
    const bool unread = !socket_.is_reading() && !socket_.handshaking();
    const bool gone = unread && socket_.is_reset_by_peer();
    if (stalled || gone || (closing_gracefully_ && is_close_complete(now)) ||
        idle_for(now) >= options.idle_timeout ||
        (socket_.handshaking() &&
         now - message_began_at_ >= options.header_timeout))
    {
        close_now();
        return;
    }
    if (unread && !end_of_input_ && socket_.is_ended_by_peer())
    {
        on_end_of_input();
        return;
    }
    check_receiving(now);
}

duration server_connection::stalled_for(time_point now) const
{
    const duration receiving =
        receives() ? now - received_at_ : duration::zero();
    const duration writing = output_hold_.bytes() > 0 && socket_.is_writing()
                                 ? now - written_at_
                                 : duration::zero();
    return std::max(receiving, writing);
}

void server_connection::evict()
{
    const time_point now = context_->loop.now();
    if (output_hold_.bytes() > 0 &&
        (!receives() || now - written_at_ >= now - received_at_))
    {
        close_now();
        return;
    }
    evicted_ = true;
    parsing_ended_ = true;
    discarded_input_ = true;
    discard_request();
    schedule_update();
}

} // namespace siskinflow::net
