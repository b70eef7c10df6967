#include "h2o_native.hpp"
#include <siskinflow/net/tcp_messages.hpp>

#include <unordered_set>

namespace siskinflow::net
{

namespace
{

constexpr std::size_t length_prefix_bytes = 4;

std::string frame(std::string_view message)
{
    const auto size = static_cast<std::uint32_t>(message.size());
    std::string out;
    out.reserve(length_prefix_bytes + message.size());
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        out.push_back(static_cast<char>((size >> shift) & 0xFF));
    }
    out += message;
    return out;
}

/// What the input buffer of a connection holds.
enum class frame_state
{
    incomplete,
    complete,
    too_large,
};

frame_state inspect_frame(const h2o_buffer_t& input, std::size_t& size)
{
    if (input.size < length_prefix_bytes)
    {
        return frame_state::incomplete;
    }
    size = 0;
    for (std::size_t i = 0; i < length_prefix_bytes; ++i)
    {
        size = (size << 8) | static_cast<unsigned char>(input.bytes[i]);
    }
    if (size > max_stream_message_bytes)
    {
        return frame_state::too_large;
    }
    return input.size < length_prefix_bytes + size ? frame_state::incomplete
                                                   : frame_state::complete;
}

} // namespace

// Server

struct message_server::impl
{
    /// One accepted connection.
    struct connection
    {
        impl* server;
        h2o_socket_t* socket;
        std::string answer;
    };

    event_loop* loop = nullptr;
    h2o_socket_t* listener = nullptr;
    handler on_message;
    std::uint64_t malformed = 0;
    std::unordered_set<connection*> connections;

    ~impl()
    {
        while (!connections.empty())
        {
            close(*connections.begin());
        }
        if (listener != nullptr)
        {
            h2o_socket_close(listener);
        }
    }

    static void on_accept(h2o_socket_t* listener, const char* error)
    {
        auto* self = static_cast<impl*>(listener->data);
        h2o_socket_t* socket = nullptr;
        if (error != nullptr ||
            (socket = h2o_evloop_socket_accept(listener)) == nullptr)
        {
            return;
        }
        auto* accepted = new connection{self, socket, {}};
        self->connections.insert(accepted);
        socket->data = accepted;
        h2o_socket_read_start(socket, on_readable);
    }

    static void on_readable(h2o_socket_t* socket, const char* error)
    {
        auto* accepted = static_cast<connection*>(socket->data);
        impl* self = accepted->server;
        if (error != nullptr)
        {
            self->malformed += socket->input->size == 0 ? 0 : 1;
            self->close(accepted);
            return;
        }
        self->serve(accepted);
    }

    void serve(connection* accepted)
    {
        h2o_socket_t* socket = accepted->socket;
        std::size_t size = 0;
        switch (inspect_frame(*socket->input, size))
        {
        case frame_state::incomplete:
            return;
        case frame_state::too_large:
            ++malformed;
            close(accepted);
            return;
        case frame_state::complete:
            break;
        }
        const std::string request(socket->input->bytes + length_prefix_bytes,
                                  size);
        h2o_buffer_consume(&socket->input, length_prefix_bytes + size);
        const std::string answer = on_message(request);
        if (answer.empty())
        {
            // Counted by the handler, which knows what was wrong.
            close(accepted);
            return;
        }
        accepted->answer = frame(answer);
        h2o_socket_read_stop(socket);
        h2o_iovec_t buffer =
            h2o_iovec_init(accepted->answer.data(), accepted->answer.size());
        h2o_socket_write(socket, &buffer, 1, on_written);
    }

    static void on_written(h2o_socket_t* socket, const char* error)
    {
        auto* accepted = static_cast<connection*>(socket->data);
        if (error != nullptr)
        {
            accepted->server->close(accepted);
            return;
        }
        h2o_socket_read_start(socket, on_readable);
        accepted->server->serve(accepted);
    }

    void close(connection* accepted)
    {
        connections.erase(accepted);
        h2o_socket_close(accepted->socket);
        delete accepted;
    }
};

message_server::message_server(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

message_server::~message_server() = default;

result<std::unique_ptr<message_server>>
message_server::listen(event_loop& loop, const endpoint& local,
                       handler on_message)
{
    auto descriptor = open_bound_socket(local, SOCK_STREAM);
    if (!descriptor.has_value())
    {
        return descriptor.error();
    }
    auto state = std::make_unique<impl>();
    state->loop = &loop;
    state->on_message = std::move(on_message);
    state->listener = h2o_evloop_socket_create(
        loop.handle().loop, descriptor.value(), H2O_SOCKET_FLAG_DONT_READ);
    state->listener->data = state.get();
    h2o_socket_read_start(state->listener, impl::on_accept);
    return std::unique_ptr<message_server>(
        new message_server(std::move(state)));
}

std::uint16_t message_server::port() const
{
    return bound_port(h2o_socket_get_fd(impl_->listener));
}

std::uint64_t message_server::malformed() const
{
    return impl_->malformed;
}

// Client

struct message_client::impl : std::enable_shared_from_this<impl>
{
    /// One request on its own connection.
    struct pending_request
    {
        impl* client;
        h2o_socket_t* socket = nullptr;
        timer_id deadline = 0;
        std::string request;
        answer_handler done;
        bool sent = false;
    };

    explicit impl(event_loop& loop) : loop(loop) {}

    ~impl()
    {
        while (!pending_requests.empty())
        {
            release(*pending_requests.begin());
        }
    }

    event_loop& loop;
    std::unordered_set<pending_request*> pending_requests;

    void release(pending_request* pending)
    {
        pending_requests.erase(pending);
        loop.cancel(pending->deadline);
        if (pending->socket != nullptr)
        {
            h2o_socket_close(pending->socket);
        }
        delete pending;
    }

    void finish(pending_request* pending, result<std::string> outcome)
    {
        answer_handler done = std::move(pending->done);
        release(pending);
        done(std::move(outcome));
    }

    void finish_disconnected(pending_request* pending)
    {
        if (pending->sent)
        {
            finish(pending,
                   fail(errc::unknown_outcome,
                        "connection closed before the whole answer arrived"));
            return;
        }
        finish(pending,
               fail(errc::unavailable, "connection could not be established"));
    }

    static void on_connect(h2o_socket_t* socket, const char* error)
    {
        auto* pending = static_cast<pending_request*>(socket->data);
        if (error != nullptr)
        {
            pending->client->finish_disconnected(pending);
            return;
        }
        pending->sent = true;
        h2o_iovec_t buffer =
            h2o_iovec_init(pending->request.data(), pending->request.size());
        h2o_socket_write(socket, &buffer, 1, on_written);
    }

    static void on_written(h2o_socket_t* socket, const char* error)
    {
        auto* pending = static_cast<pending_request*>(socket->data);
        if (error != nullptr)
        {
            pending->client->finish_disconnected(pending);
            return;
        }
        h2o_socket_read_start(socket, on_readable);
    }

    static void on_readable(h2o_socket_t* socket, const char* error)
    {
        auto* pending = static_cast<pending_request*>(socket->data);
        std::size_t size = 0;
        const frame_state state = inspect_frame(*socket->input, size);
        if (state == frame_state::complete)
        {
            std::string answer(socket->input->bytes + length_prefix_bytes,
                               size);
            pending->client->finish(pending, std::move(answer));
            return;
        }
        if (error != nullptr || state == frame_state::too_large)
        {
            pending->client->finish_disconnected(pending);
        }
    }
};

message_client::message_client(event_loop& loop)
    : impl_(std::make_shared<impl>(loop))
{
}

message_client::~message_client() = default;

void message_client::request(const endpoint& peer, std::string message,
                             duration timeout, answer_handler done)
{
    auto address = to_socket_address(peer);
    auto* pending = new impl::pending_request{impl_.get(), nullptr, 0,
                                              frame(message), std::move(done)};
    impl_->pending_requests.insert(pending);
    if (address.has_value())
    {
        pending->socket =
            h2o_socket_connect(impl_->loop.handle().loop, address.value().get(),
                               address.value().length, impl::on_connect);
    }
    if (pending->socket == nullptr)
    {
        pending->deadline =
            impl_->loop.after(duration::zero(), [this, pending]
                              { impl_->finish_disconnected(pending); });
        return;
    }
    pending->socket->data = pending;
    pending->deadline = impl_->loop.after(
        timeout,
        [this, pending]
        {
            impl_->finish(pending,
                          fail(errc::timeout, "no answer within the timeout"));
        });
}

} // namespace siskinflow::net
