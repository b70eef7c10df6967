#include "reason_phrase.hpp"
#include "server_connection.hpp"
#include <siskinflow/core/release_memory.hpp>

#include <algorithm>
#include <utility>

namespace siskinflow::net
{

namespace
{

/// Requests below this size are not accounted for: their number is bounded by
/// those of connections and of requests in progress.
constexpr std::size_t min_accounted_bytes = 4096;
constexpr int status_request_timeout = 408;
constexpr int status_unavailable = 503;
/// Longest wait for room in the memory budget.
constexpr duration max_room_wait = std::chrono::seconds(5);

http_headers retry_later()
{
    return {{"retry-after", "1"}};
}

} // namespace

void server_connection::on_received(std::string_view bytes)
{
    if (closing_gracefully_)
    {
        return;
    }
    if (parsing_ended_)
    {
        // What follows the last request is not read.
        discarded_input_ = true;
        pause();
        return;
    }
    const auto guard = shared_from_this();
    received_at_ = context_->loop.now();
    receive_timer_at_ = received_at_;
    parse(bytes);
}

void server_connection::parse(std::string_view bytes)
{
    while (!bytes.empty() && !closed_ && may_parse())
    {
        if (!reserve(bytes.size()))
        {
            if (!closed_ && !parsing_ended_)
            {
                wait_for_room();
            }
            break;
        }
        parse_message(bytes);
    }
    if (closed_ || closing_gracefully_)
    {
        return;
    }
    if (parsing_ended_)
    {
        discarded_input_ = discarded_input_ || !bytes.empty();
        return;
    }
    unparsed_.assign(bytes);
    if (!may_parse())
    {
        pause();
    }
    send_continue();
}

void server_connection::parse_message(std::string_view& rest)
{
    if (parser_.status() == request_parser::state::idle)
    {
        message_began_at_ = context_->loop.now();
    }
    const bool had_head = parser_.status() == request_parser::state::body;
    rest.remove_prefix(parser_.consume(rest));
    switch (parser_.status())
    {
    case request_parser::state::idle:
    case request_parser::state::head:
        break;
    case request_parser::state::body:
        continue_due_ = !had_head && rest.empty() &&
                        parser_.head().expects_continue &&
                        !parser_.head().http_1_0;
        break;
    case request_parser::state::complete:
        hand_over();
        break;
    case request_parser::state::refused:
        refuse(parser_.refusal());
        break;
    }
}

bool server_connection::may_parse() const
{
    if (parsing_ended_ || waits_for_room_)
    {
        return false;
    }
    if (exchanges_.empty())
    {
        return true;
    }
    std::size_t bytes = 0;
    for (const auto& exchange : exchanges_)
    {
        if (exchange->closes())
        {
            return false; // What follows is not read.
        }
        bytes += exchange->bytes();
    }
    return !context_->closing &&
           exchanges_.size() < context_->options.max_pipelined &&
           bytes < context_->options.max_body_bytes;
}

bool server_connection::reserve(std::size_t further_bytes)
{
    const std::size_t kept = parser_.kept_bytes();
    if (context_->options.memory == nullptr ||
        kept + further_bytes < min_accounted_bytes)
    {
        return true;
    }
    if (receive_hold_.bytes() == 0)
    {
        receive_hold_ = context_->options.memory->make_hold(
            hold_kind::request_body, shared_from_this(), peer_);
    }
    const bool reserved = receive_hold_.grow_to(kept + further_bytes);
    return reserved && !closed_ && !parsing_ended_;
}

void server_connection::hand_over()
{
    std::string body;
    received_head head = parser_.take(body);
    head.request.peer = peer_;
    parsing_ended_ = !head.persistent;
    continue_due_ = false;
    const std::size_t bytes = head.request.header_bytes + body.size();
    receive_hold_.shrink_to(bytes < min_accounted_bytes ? 0 : bytes);
    const auto exchange = std::make_shared<server_exchange>(
        *this, std::move(head), std::move(body),
        std::exchange(receive_hold_, {}));
    exchanges_.push_back(exchange);
    ++context_->open_exchanges;
    const auto context = context_;
    context->on_request(exchange);
}

void server_connection::refuse(int status, http_headers headers)
{
    parsing_ended_ = true;
    discarded_input_ = true;
    discard_request();
    received_head head;
    head.persistent = false;
    const auto exchange = std::make_shared<server_exchange>(
        *this, std::move(head), std::string(), memory_budget::hold());
    exchanges_.push_back(exchange);
    ++context_->open_exchanges;
    headers.add("content-type", "text/plain");
    exchange->respond({status, std::move(headers),
                       std::string(reason_phrase(status)) + "\n"});
}

/// While a connection waits, the kernel keeps what its client goes on sending,
/// so their number and their time are bounded.
void server_connection::wait_for_room()
{
    if (context_->waiting_for_room >= context_->options.max_waiting_for_room)
    {
        refuse(status_unavailable, retry_later());
        return;
    }
    ++context_->waiting_for_room;
    waits_for_room_ = true;
    context_->options.memory->on_room(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->stop_waiting_for_room();
                self->update();
            }
        });
}

void server_connection::stop_waiting_for_room()
{
    if (std::exchange(waits_for_room_, false))
    {
        --context_->waiting_for_room;
    }
}

void server_connection::pause()
{
    if (!std::exchange(paused_, true))
    {
        paused_at_ = context_->loop.now();
        socket_.stop_reading();
        context_->on_timing_changed();
    }
}

void server_connection::resume()
{
    if (!paused_ || !may_parse() || end_of_input_)
    {
        return;
    }
    paused_ = false;
    const time_point now = context_->loop.now();
    message_began_at_ += now - paused_at_;
    receive_timer_at_ = now;
    const std::string bytes = std::exchange(unparsed_, {});
    parse(bytes);
    if (!closed_ && !paused_)
    {
        socket_.start_reading();
    }
}

void server_connection::send_continue()
{
    if (!continue_due_ || !exchanges_.empty())
    {
        return;
    }
    continue_due_ = false;
    interim_.append("HTTP/1.1 100 Continue\r\n\r\n");
    flush();
}

bool server_connection::receives() const
{
    return parser_.status() == request_parser::state::head ||
           parser_.status() == request_parser::state::body;
}

void server_connection::check_receiving(time_point now)
{
    if (waits_for_room_ && now - paused_at_ >= max_room_wait)
    {
        refuse(status_unavailable, retry_later());
        return;
    }
    if (paused_ || parsing_ended_ || !receives())
    {
        return;
    }
    const http_server_options& options = context_->options;
    const duration elapsed = now - message_began_at_;
    const bool in_body = parser_.status() == request_parser::state::body;
    const bool too_slow =
        in_body ? now - receive_timer_at_ >= options.body_stall_timeout
                : elapsed >= options.header_timeout;
    if (too_slow || elapsed >= options.request_timeout)
    {
        refuse(status_request_timeout);
    }
}

} // namespace siskinflow::net
