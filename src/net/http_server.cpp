#include "http_server_impl.hpp"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace siskinflow::net
{

namespace
{

/// Unsent bytes that the kernel keeps for a connection. Without it the kernel
/// takes up to some megabytes of an answer, which no budget accounts for, and
/// reports progress only after a third of that: a slow reader looks stalled.
constexpr int max_unsent_bytes = 128 * 1024;

/// Sets options that accepted sockets inherit.
void set_inherited_options(int descriptor, const http_server_options& options)
{
    if (options.receive_buffer_bytes > 0)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF,
                     &options.receive_buffer_bytes,
                     sizeof(options.receive_buffer_bytes));
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes,
                 sizeof(max_unsent_bytes));
}

} // namespace

http_server::http_server(std::unique_ptr<impl> state) : impl_(std::move(state))
{
}

http_server::~http_server() = default;

result<std::unique_ptr<http_server>>
http_server::listen(event_loop& loop, const endpoint& listen,
                    const http_server_options& options, handler on_request)
{
    auto state = std::make_unique<impl>(loop, options, std::move(on_request));
    if (!options.certificate_file.empty())
    {
        auto certificate = load_certificate(options);
        if (!certificate.has_value())
        {
            return certificate.error();
        }
        state->certificates.push_back(std::move(certificate.value()));
    }
    auto descriptor =
        open_bound_socket(listen, SOCK_STREAM,
                          static_cast<int>(std::min<std::size_t>(
                              options.max_unaccepted, max_listen_backlog)));
    if (!descriptor.has_value())
    {
        return descriptor.error();
    }
    set_inherited_options(descriptor.value(), options);
    state->listening_port = bound_port(descriptor.value());
    state->listener = h2o_evloop_socket_create(
        loop.handle().loop, descriptor.value(), H2O_SOCKET_FLAG_DONT_READ);
    state->listener->data = state.get();
    h2o_socket_read_start(state->listener, impl::on_accept);
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

std::uint16_t http_server::port() const
{
    return impl_->listening_port;
}

std::size_t http_server::open_exchanges() const
{
    return impl_->context->open_exchanges;
}

std::size_t http_server::undelivered_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(impl_->connections.begin(), impl_->connections.end(),
                      [](const auto& entry)
                      { return entry.second->has_undelivered_output(); }));
}

http_server_stats http_server::stats() const
{
    return impl_->context->counts;
}

result<void> http_server::reload_certificate()
{
    if (impl_->context->options.certificate_file.empty())
    {
        return ok();
    }
    auto certificate = load_certificate(impl_->context->options);
    if (!certificate.has_value())
    {
        return certificate.error();
    }
    impl_->certificates.push_back(std::move(certificate.value()));
    return ok();
}

void http_server::set_max_body_bytes(std::size_t value)
{
    impl_->context->options.max_body_bytes = value;
}

void http_server::close_after_responses()
{
    impl_->context->closing = true;
    // What the kernel has taken arrives also if the process is killed first,
    // unless the client sends more.
    if (impl_->listener != nullptr)
    {
        lift_unsent_limit(h2o_socket_get_fd(impl_->listener));
    }
    for (const auto& [address, connection] : impl_->connections)
    {
        connection->lift_unsent_limit();
    }
}

void http_server::stop_accepting()
{
    if (impl_->listener != nullptr)
    {
        h2o_socket_close(impl_->listener);
        impl_->listener = nullptr;
    }
}

} // namespace siskinflow::net
