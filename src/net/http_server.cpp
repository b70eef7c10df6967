#include "http_server_impl.hpp"

namespace siskinflow::net
{

namespace
{

/// h2o 2.2 does not read while a request is in progress, so a disconnected
/// caller is detected by polling the TCP state of its connection. A request
/// that is answered sooner than this is not checked.
constexpr duration disconnect_check_interval = std::chrono::milliseconds(50);

} // namespace

void http_server::impl::configure()
{
    h2o_config_init(&config);
    config.server_name = h2o_iovec_init("siskinflow", 10);
    config.max_request_entity_size = options.max_body_bytes;
    config.http1.req_timeout = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            options.request_timeout)
            .count());
    config.http1.upgrade_to_http2 = 0;
    h2o_hostconf_t* host =
        h2o_config_register_host(&config, h2o_iovec_init("default", 7), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* native = reinterpret_cast<native_handler*>(
        h2o_create_handler(path, sizeof(native_handler)));
    native->super.on_req = on_native_request;
    native->server = this;
    h2o_context_init(&context, loop->handle().loop, &config);
    accept_context.ctx = &context;
    accept_context.hosts = config.hosts;
}

http_server::http_server(std::unique_ptr<impl> state) : impl_(std::move(state))
{
}

http_server::~http_server()
{
    stop_accepting();
    // Open connections refer to the context until the process ends; h2o 2.2
    // can't close them, so the state is leaked on purpose.
    (void)impl_.release();
}

result<std::unique_ptr<http_server>>
http_server::listen(event_loop& loop, const endpoint& listen,
                    const http_server_options& options, handler on_request)
{
    auto state = std::make_unique<impl>();
    state->loop = &loop;
    state->options = options;
    state->on_request = std::move(on_request);
    if (!options.certificate_file.empty())
    {
        auto certificate = load_certificate(options);
        if (!certificate.has_value())
        {
            return certificate.error();
        }
        state->certificates.push_back(std::move(certificate.value()));
        state->accept_context.ssl_ctx = state->certificates.back().get();
    }
    auto descriptor = open_bound_socket(listen, SOCK_STREAM);
    if (!descriptor.has_value())
    {
        return descriptor.error();
    }
    state->configure();
    state->listening_port = bound_port(descriptor.value());
    state->listener = h2o_evloop_socket_create(
        loop.handle().loop, descriptor.value(), H2O_SOCKET_FLAG_DONT_READ);
    state->listener->data = state.get();
    h2o_socket_read_start(state->listener, impl::on_accept);
    impl* self = state.get();
    state->disconnect_timer =
        loop.every(disconnect_check_interval,
                   [self] { self->check_disconnected_callers(); });
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

std::uint16_t http_server::port() const
{
    return impl_->listening_port;
}

std::size_t http_server::open_exchanges() const
{
    return impl_->in_progress.size();
}

http_server_stats http_server::stats() const
{
    return impl_->counts;
}

result<void> http_server::reload_certificate()
{
    if (impl_->options.certificate_file.empty())
    {
        return ok();
    }
    auto certificate = load_certificate(impl_->options);
    if (!certificate.has_value())
    {
        return certificate.error();
    }
    impl_->certificates.push_back(std::move(certificate.value()));
    impl_->accept_context.ssl_ctx = impl_->certificates.back().get();
    return ok();
}

void http_server::close_after_responses()
{
    h2o_context_request_shutdown(&impl_->context);
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
