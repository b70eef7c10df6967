#include "http_server_impl.hpp"

namespace siskinflow::net
{

namespace
{

/// Limit for one readable event, so that a burst does not block the loop.
constexpr int max_accepts_per_event = 32;

} // namespace

void http_server::impl::on_connection_closed(void* data)
{
    --static_cast<impl*>(data)->counts.open;
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
    if (counts.open >= options.max_connections)
    {
        ++counts.over_connection_limit;
        refuse(socket);
        return;
    }
    ++counts.accepted;
    ++counts.open;
    socket->on_close.cb = on_connection_closed;
    socket->on_close.data = this;
    h2o_accept(&accept_context, socket);
}

void http_server::impl::refuse(h2o_socket_t* socket) const
{
    static constexpr std::string_view answer =
        "HTTP/1.1 503 Service Unavailable\r\n"
        "content-type: application/json\r\n"
        "siskinflow-outcome: not-run\r\n"
        "siskinflow-reason: too_many_connections\r\n"
        "retry-after: 1\r\n"
        "connection: close\r\n"
        "content-length: 58\r\n\r\n"
        "{\"outcome\":\"not-run\",\"reason\":\"too_many_connections\"}    "
        "\n";
    if (accept_context.ssl_ctx == nullptr)
    {
        (void)::send(h2o_socket_get_fd(socket), answer.data(), answer.size(),
                     MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    h2o_socket_close(socket);
}

} // namespace siskinflow::net
