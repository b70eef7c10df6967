#include "client_connection.hpp"

#include <siskinflow/core/enum_name.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace siskinflow::net
{

namespace
{

/// Requests that one connection carries; it bounds the ids that are kept.
constexpr std::size_t max_requests = 1000;
/// h2o's pool of a connection has room for its socket only, which it keeps
/// until the connection is closed.
constexpr std::size_t native_capacity = 1;
constexpr std::uint64_t native_timeout_ms = 24ULL * 3600 * 1000;

constexpr std::array<std::string_view, 5> state_names = {
    "fresh", "in_use", "clean", "doubtful", "closed"};
constexpr std::array<std::string_view, 5> event_names = {
    "send", "keep", "doubt", "replace", "close"};

/// The chart is compiled in; its parts are checked by a test.
const state_chart& chart()
{
    static const state_chart out =
        state_chart::parse(chart_text("client_connection"),
                           {state_names.begin(), state_names.end()},
                           {event_names.begin(), event_names.end()})
            .value();
    return out;
}

std::uint16_t local_port(h2o_socket_t* socket)
{
    sockaddr_storage address{};
    auto* native = reinterpret_cast<sockaddr*>(&address);
    return h2o_socket_getsockname(socket, native) == 0
               ? std::uint16_t{0}
               : from_socket_address(native).port;
}

} // namespace

std::string_view name(connection_state value) noexcept
{
    return enum_name(state_names, value);
}

std::string_view name(connection_event value) noexcept
{
    return enum_name(event_names, value);
}

client_connection::client_connection(const endpoint& peer, std::uint64_t number,
                                     h2o_loop_t* loop)
    : peer_(peer)
{
    position_.connection = number;
    auto address = to_socket_address(peer);
    h2o_socketpool_init_by_address(&native_, address.value().get(),
                                   address.value().length, 0, native_capacity);
    // In place of `h2o_socketpool_set_timeout`, which also starts a timer for
    // each pool. h2o 2.2 reads the loop's time when it looks for the socket,
    // and stops the timer with the pool only if the loop is set.
    native_.timeout = native_timeout_ms;
    native_._interval_cb.loop = loop;
}

client_connection::~client_connection()
{
    native_._interval_cb.loop = nullptr; // There is no timer to stop.
    h2o_socketpool_dispose(&native_);
}

bool client_connection::apply(connection_event event)
{
    const auto next = chart().next(static_cast<std::size_t>(state_),
                                   static_cast<std::size_t>(event));
    if (!next)
    {
        return false;
    }
    state_ = static_cast<connection_state>(next.value());
    return true;
}

bool client_connection::may_carry(std::uint64_t id) const
{
    const bool idle =
        state_ == connection_state::fresh || state_ == connection_state::clean;
    return idle &&
           (id == 0 || std::find(carried_ids_.begin(), carried_ids_.end(),
                                 id) == carried_ids_.end());
}

void client_connection::replace(std::uint64_t number)
{
    apply(connection_event::replace);
    carried_ids_.clear();
    position_ = {};
    position_.connection = number;
}

void client_connection::on_sent(std::uint64_t id, h2o_socket_t* socket)
{
    if (state_ == connection_state::fresh)
    {
        position_.local_port = local_port(socket);
    }
    position_.id_repeated = !may_carry(id);
    carried_ids_.push_back(id);
    apply(connection_event::send);
}

void client_connection::doubt()
{
    apply(connection_event::doubt);
}

bool client_connection::try_keep()
{
    // h2o keeps no socket whose peer closes it or has sent too much.
    const bool open = !h2o_linklist_is_empty(&native_._shared.sockets);
    const bool keeps = open && carried_ids_.size() < max_requests &&
                       apply(connection_event::keep);
    if (!keeps)
    {
        apply(connection_event::close);
    }
    return keeps;
}

} // namespace siskinflow::net
