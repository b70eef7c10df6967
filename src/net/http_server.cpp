#include "h2o_native.hpp"
#include <siskinflow/net/http_server.hpp>

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <algorithm>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <new>
#include <unistd.h>
#include <unordered_set>
#include <vector>

namespace siskinflow::net
{

namespace
{

/// Limit for one readable event, so that a burst does not block the loop.
constexpr int max_accepts_per_event = 32;
/// h2o 2.2 does not read while a request is in progress, so a disconnected
/// caller is detected by polling the TCP state of its connection. A request
/// that is answered sooner than this is not checked.
constexpr duration disconnect_check_interval = std::chrono::milliseconds(50);
/// Status of the answer that ends a disconnected caller's exchange.
constexpr int status_client_closed_request = 499;

using ssl_context = std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)>;

result<ssl_context> load_certificate(const http_server_options& options)
{
    ssl_context context(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(
            context.get(), options.certificate_file.c_str()) != 1)
    {
        ERR_clear_error();
        return fail(errc::invalid_argument, "certificate file '" +
                                                options.certificate_file +
                                                "' can't be used");
    }
    if (SSL_CTX_use_PrivateKey_file(context.get(), options.key_file.c_str(),
                                    SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(context.get()) != 1)
    {
        ERR_clear_error();
        return fail(errc::invalid_argument,
                    "key file '" + options.key_file +
                        "' can't be used with the certificate");
    }
    return context;
}

/// Reason phrases of RFC 9110, for people; HTTP/1.1 clients ignore them.
const char* reason_phrase(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 413:
        return "Content Too Large";
    case 428:
        return "Precondition Required";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Other";
    }
}

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

bool is_number(std::string_view text)
{
    return !text.empty() &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, last - first + 1);
}

/// Removes the first line of a text and returns it without its line ending.
std::string_view consume_line(std::string_view& text)
{
    const auto end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    return line;
}

/// Whether parsers could disagree on where the body ends (RFC 9112, section
/// 6.3).
bool is_framing_ambiguous(std::string_view head)
{
    std::size_t framing_field_count = 0;
    for (std::string_view line = consume_line(head); !line.empty();
         line = consume_line(head))
    {
        const auto colon = std::min(line.find(':'), line.size());
        const std::string_view name = line.substr(0, colon);
        const std::string_view value =
            trimmed(line.substr(std::min(colon + 1, line.size())));
        const bool length = equal_ignoring_case(name, "content-length");
        const bool encoding = equal_ignoring_case(name, "transfer-encoding");
        framing_field_count += length || encoding ? 1 : 0;
        const bool folded = line.starts_with(' ') || line.starts_with('\t');
        if (folded || framing_field_count > 1 ||
            (length && !is_number(value)) ||
            (encoding && !equal_ignoring_case(value, "chunked")))
        {
            return true;
        }
    }
    return false;
}

/// The head of a request as it arrived. h2o 2.2 uses the first of several
/// lengths, prefers chunks to a length and hides both fields from the handler,
/// but keeps the head at the front of the input until the answer is complete.
std::string_view raw_request_head(const h2o_req_t& request)
{
    const h2o_socket_t* socket =
        request.conn->callbacks->get_socket(request.conn);
    std::string_view text(socket->input->bytes, socket->input->size);
    text.remove_prefix(std::min(text.find_first_not_of("\r\n"), text.size()));
    return text;
}

} // namespace

// Exchange

namespace
{

class server_exchange;

/// Passed back by h2o's callbacks; h2o's structure must be the first member.
struct exchange_generator
{
    h2o_generator_t super;
    server_exchange* exchange;
};

class server_exchange final
    : public http_exchange,
      public std::enable_shared_from_this<server_exchange>
{
public:
    explicit server_exchange(h2o_req_t* request) : native_request_(request)
    {
        read_request();
        generator_.super.proceed = on_proceed;
        generator_.super.stop = on_stop;
        generator_.exchange = this;
    }

    const http_request& request() const override
    {
        return request_;
    }

    void respond(http_response response) override
    {
        const std::size_t length = response.body.size();
        start(response.status, response.headers, length);
        if (!response.body.empty())
        {
            write(std::move(response.body));
        }
        finish();
    }

    void start(int status, const http_headers& headers,
               std::optional<std::size_t> content_length) override
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

    void write(std::string part) override
    {
        if (native_request_ == nullptr || !started_ ||
            end_state_ != end_state::none)
        {
            return;
        }
        queued_ += part;
        send_queued();
    }

    void finish() override
    {
        end_with(end_state::complete);
    }

    void abort() override
    {
        close_after_response();
        end_with(end_state::aborted);
    }

    void close_after_response() override
    {
        if (native_request_ != nullptr)
        {
            native_request_->http1_is_persistent = 0;
        }
    }

    void on_drain(std::function<void()> callback) override
    {
        on_drain_ = std::move(callback);
    }

    void on_cancel(std::function<void()> callback) override
    {
        on_cancel_ = std::move(callback);
    }

    bool done() const override
    {
        return native_request_ == nullptr || end_state_ == end_state::sent;
    }

    /// Called when h2o releases the request.
    void on_native_released()
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

    /// Ends the exchange if the caller disconnected before the answer started.
    void check_disconnected()
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

private:
    enum class end_state
    {
        none,
        complete, ///< To be sent once the queue is empty.
        aborted,  ///< As above, as an error.
        sent,
    };

    void read_request()
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
        request_.headers.add("host",
                             std::string(view(native_request_->authority)));
        request_.body = view(native_request_->entity);
        sockaddr_storage peer{};
        auto* address = reinterpret_cast<sockaddr*>(&peer);
        if (native_request_->conn->callbacks->get_peername(
                native_request_->conn, address) != 0)
        {
            request_.peer = from_socket_address(address).address;
        }
    }

    void add_response_header(const std::string& name, const std::string& value)
    {
        // h2o keeps the pointers, so the text is copied into its pool.
        const h2o_iovec_t name_copy =
            h2o_strdup(&native_request_->pool, name.data(), name.size());
        const h2o_iovec_t value_copy =
            h2o_strdup(&native_request_->pool, value.data(), value.size());
        h2o_add_header_by_str(&native_request_->pool,
                              &native_request_->res.headers, name_copy.base,
                              name_copy.len, 1, nullptr, value_copy.base,
                              value_copy.len);
    }

    bool is_head() const
    {
        return request_.method == "HEAD";
    }

    void end_with(end_state kind)
    {
        if (native_request_ == nullptr || !started_ ||
            end_state_ != end_state::none)
        {
            return;
        }
        end_state_ = kind;
        send_queued();
    }

    void send_queued()
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

    void on_part_sent()
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

    void notify_cancelled()
    {
        if (on_cancel_)
        {
            const auto callback = std::exchange(on_cancel_, nullptr);
            callback();
        }
    }

    static void on_proceed(h2o_generator_t* generator, h2o_req_t* /*request*/)
    {
        reinterpret_cast<exchange_generator*>(generator)
            ->exchange->on_part_sent();
    }

    static void on_stop(h2o_generator_t* generator, h2o_req_t* /*request*/)
    {
        auto* self = reinterpret_cast<exchange_generator*>(generator)->exchange;
        const auto lifetime_guard = self->shared_from_this();
        self->notify_cancelled();
    }

    h2o_req_t* native_request_;
    exchange_generator generator_{};
    http_request request_;
    bool started_ = false;
    bool write_in_flight_ = false;
    end_state end_state_ = end_state::none;
    std::string sending_;
    std::string queued_;
    std::function<void()> on_drain_;
    std::function<void()> on_cancel_;
};

} // namespace

// Server

struct http_server::impl
{
    /// h2o's handler with a pointer to the server.
    struct native_handler
    {
        h2o_handler_t super;
        impl* server;
    };

    /// Keeps an exchange alive as long as the memory pool of its request.
    struct pooled_exchange
    {
        impl* server;
        std::shared_ptr<server_exchange> exchange;
    };

    event_loop* loop = nullptr;
    http_server_options options;
    handler on_request;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept_context{};
    h2o_socket_t* listener = nullptr;
    std::vector<ssl_context> certificates; ///< Connections may use old ones.
    http_server_stats counts;
    std::unordered_set<server_exchange*> in_progress;
    std::shared_ptr<void> disconnect_timer;
    std::uint16_t listening_port = 0;

    void configure()
    {
        h2o_config_init(&config);
        config.server_name = h2o_iovec_init("siskinflow", 10);
        config.max_request_entity_size = options.max_body_bytes;
        config.http1.req_timeout = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                options.request_timeout)
                .count());
        config.http1.upgrade_to_http2 = 0;
        h2o_hostconf_t* host = h2o_config_register_host(
            &config, h2o_iovec_init("default", 7), 65535);
        h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
        auto* native = reinterpret_cast<native_handler*>(
            h2o_create_handler(path, sizeof(native_handler)));
        native->super.on_req = on_native_request;
        native->server = this;
        h2o_context_init(&context, loop->handle().loop, &config);
        accept_context.ctx = &context;
        accept_context.hosts = config.hosts;
    }

    static int on_native_request(h2o_handler_t* handler, h2o_req_t* request)
    {
        impl* self = reinterpret_cast<native_handler*>(handler)->server;
        const std::string_view head = raw_request_head(*request);
        if (!head.starts_with(view(request->input.method)) ||
            is_framing_ambiguous(head))
        {
            // What follows on the connection may be part of the body.
            request->http1_is_persistent = 0;
            h2o_send_error_400(request, "Bad Request", "Bad Request", 0);
            return 0;
        }
        auto exchange = std::make_shared<server_exchange>(request);
        void* memory = h2o_mem_alloc_shared(
            &request->pool, sizeof(pooled_exchange), on_request_released);
        new (memory) pooled_exchange{self, exchange};
        self->in_progress.insert(exchange.get());
        self->on_request(exchange);
        return 0;
    }

    static void on_request_released(void* memory)
    {
        auto* owner = static_cast<pooled_exchange*>(memory);
        owner->server->in_progress.erase(owner->exchange.get());
        owner->exchange->on_native_released();
        owner->~pooled_exchange();
    }

    static void on_connection_closed(void* data)
    {
        --static_cast<impl*>(data)->counts.open;
    }

    static void on_accept(h2o_socket_t* listener, const char* error)
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

    void admit(h2o_socket_t* socket)
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

    void refuse(h2o_socket_t* socket) const
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
            (void)::send(h2o_socket_get_fd(socket), answer.data(),
                         answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        }
        h2o_socket_close(socket);
    }

    void check_disconnected_callers()
    {
        const std::vector<server_exchange*> exchanges(in_progress.begin(),
                                                      in_progress.end());
        for (server_exchange* exchange : exchanges)
        {
            if (in_progress.count(exchange) != 0)
            {
                exchange->check_disconnected();
            }
        }
    }
};

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
