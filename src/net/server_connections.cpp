#include "http_server_impl.hpp"

#include <algorithm>
#include <sys/socket.h>

namespace siskinflow::net
{

namespace
{

/// Limit for one readable event, so that a burst does not block the loop. It is
/// above the connections that a small machine lets wait, whose unread bytes it
/// has to bear.
constexpr int max_accepts_per_event = 256;
/// Connections over the limit that may wait for their refusal to arrive.
constexpr std::size_t max_refused_open = 32;
/// A connection that is idle for less may have a request on its way.
constexpr duration min_idle = std::chrono::seconds(1);
constexpr duration soon_interval = std::chrono::milliseconds(50);
constexpr duration max_interval = std::chrono::seconds(1);
/// Checks within the shortest timeout: a timeout is late by this part at most.
constexpr int checks_per_timeout = 4;

constexpr std::string_view over_limit_answer =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "content-type: application/json\r\n"
    "siskinflow-outcome: not-run\r\n"
    "siskinflow-reason: too_many_connections\r\n"
    "retry-after: 1\r\n"
    "connection: close\r\n"
    "content-length: 58\r\n\r\n"
    "{\"outcome\":\"not-run\",\"reason\":\"too_many_connections\"}    "
    "\n";

} // namespace

http_server::impl::impl(event_loop& loop, const http_server_options& options,
                        handler on_request)
    : context(std::make_shared<server_context>(loop, options,
                                               std::move(on_request)))
{
    context->on_closed = [this](server_connection& connection)
    { remove(connection); };
    context->on_timing_changed = [this] { schedule_check(true); };
}

http_server::impl::~impl()
{
    if (listener != nullptr)
    {
        h2o_socket_close(listener);
    }
    context->loop.cancel(check_timer);
    context->destroyed = true;
    context->on_closed = [](server_connection&) {};
    context->on_timing_changed = [] {};
    for (const auto& [address, connection] : std::exchange(connections, {}))
    {
        connection->drop();
    }
}

void http_server::impl::on_accept(h2o_socket_t* listener, const char* error)
{
    auto* self = static_cast<impl*>(listener->data);
    for (int i = 0; error == nullptr && i < max_accepts_per_event; ++i)
    {
        h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr)
        {
            return;
        }
        self->admit(socket);
    }
}

void http_server::impl::admit(h2o_socket_t* socket)
{
    if (context->counts.open >= context->options.max_connections &&
        !close_longest_idle())
    {
        ++context->counts.over_connection_limit;
        refuse(socket);
        return;
    }
    ++context->counts.accepted;
    ++context->counts.open;
    add(socket, true)
        ->start(certificates.empty() ? nullptr : certificates.back().get());
}

void http_server::impl::refuse(h2o_socket_t* socket)
{
    if (!certificates.empty())
    {
        h2o_socket_close(socket);
        return;
    }
    if (context->only_closing >= max_refused_open)
    {
        // The answer fits into an empty buffer of the kernel. It arrives unless
        // the caller's bytes meet the closed connection first.
        (void)::send(h2o_socket_get_fd(socket), over_limit_answer.data(),
                     over_limit_answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        h2o_socket_close(socket);
        return;
    }
    ++context->only_closing;
    add(socket, false)->refuse_connection(std::string(over_limit_answer));
}

bool http_server::impl::close_longest_idle()
{
    const time_point now = context->loop.now();
    if (now < none_idle_until)
    {
        return false;
    }
    const auto idle_for = [now](const auto& entry)
    { return entry.second->idle_for(now); };
    const auto longest =
        std::max_element(connections.begin(), connections.end(),
                         [&](const auto& left, const auto& right)
                         { return idle_for(left) < idle_for(right); });
    const duration idle =
        longest == connections.end() ? duration::zero() : idle_for(*longest);
    if (idle < min_idle)
    {
        // All others have been idle for less.
        none_idle_until = now + min_idle - idle;
        return false;
    }
    ++context->counts.replaced_idle;
    longest->second->close_now();
    return true;
}

std::shared_ptr<server_connection> http_server::impl::add(h2o_socket_t* socket,
                                                          bool counted)
{
    auto out = std::make_shared<server_connection>(context, socket, counted);
    connections.emplace(out.get(), out);
    schedule_check(false);
    return out;
}

void http_server::impl::remove(server_connection& connection)
{
    --(connection.counted() ? context->counts.open : context->only_closing);
    connections.erase(&connection);
}

duration http_server::impl::check_interval() const
{
    const http_server_options& options = context->options;
    const duration shortest =
        std::min({options.header_timeout, options.body_stall_timeout,
                  options.request_timeout, options.idle_timeout,
                  options.write_stall_timeout});
    return std::clamp(shortest / checks_per_timeout, soon_interval,
                      max_interval);
}

void http_server::impl::schedule_check(bool soon)
{
    if (check_timer != 0 && (check_is_soon || !soon))
    {
        return;
    }
    context->loop.cancel(check_timer);
    check_is_soon = soon;
    check_timer = context->loop.after(soon ? soon_interval : check_interval(),
                                      [this]
                                      {
                                          check_timer = 0;
                                          check_is_soon = false;
                                          check_connections();
                                      });
}

void http_server::impl::check_connections()
{
    const time_point now = context->loop.now();
    std::vector<std::shared_ptr<server_connection>> checked;
    checked.reserve(connections.size());
    for (const auto& [address, connection] : connections)
    {
        checked.push_back(connection);
    }
    // Handlers' code does not run from `check`.
    for (const auto& connection : checked)
    {
        connection->check(now);
    }
    if (!connections.empty())
    {
        schedule_check(
            std::any_of(connections.begin(), connections.end(),
                        [](const auto& entry)
                        { return entry.second->needs_frequent_checks(); }));
    }
}

} // namespace siskinflow::net
