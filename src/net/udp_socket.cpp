#include "h2o_native.hpp"
#include <siskinflow/net/udp_socket.hpp>

#include <array>

namespace siskinflow::net
{

namespace
{

constexpr std::size_t receive_buffer_bytes = 65536;
/// Limit for one readable event, so that a flood does not block the loop.
constexpr int max_datagrams_per_event = 64;

} // namespace

struct udp_socket::impl
{
    h2o_socket_t* socket = nullptr;
    receiver on_datagram;
    std::array<char, receive_buffer_bytes> buffer{};

    static void on_readable(h2o_socket_t* socket, const char* /*error*/)
    {
        auto* self = static_cast<impl*>(socket->data);
        for (int i = 0; i < max_datagrams_per_event && self->receive_one(); ++i)
        {
        }
    }

    bool receive_one()
    {
        socket_address from;
        from.length = sizeof(from.storage);
        const ssize_t size =
            ::recvfrom(h2o_socket_get_fd(socket), buffer.data(), buffer.size(),
                       0, from.get(), &from.length);
        if (size < 0)
        {
            return false;
        }
        on_datagram(from_socket_address(from.get()),
                    {buffer.data(), static_cast<std::size_t>(size)});
        return true;
    }
};

udp_socket::udp_socket(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

udp_socket::~udp_socket()
{
    h2o_socket_close(impl_->socket);
}

result<std::unique_ptr<udp_socket>>
udp_socket::bind(event_loop& loop, const endpoint& local, receiver on_datagram)
{
    auto descriptor = open_bound_socket(local, SOCK_DGRAM);
    if (!descriptor.has_value())
    {
        return descriptor.error();
    }
    auto state = std::make_unique<impl>();
    state->on_datagram = std::move(on_datagram);
    state->socket = h2o_evloop_socket_create(
        loop.handle().loop, descriptor.value(), H2O_SOCKET_FLAG_DONT_READ);
    state->socket->data = state.get();
    h2o_socket_read_start(state->socket, impl::on_readable);
    return std::unique_ptr<udp_socket>(new udp_socket(std::move(state)));
}

void udp_socket::send(const endpoint& peer, std::string_view payload)
{
    auto address = to_socket_address(peer);
    if (!address.has_value())
    {
        return;
    }
    // A full socket buffer loses the datagram, as the network may do as well.
    (void)::sendto(h2o_socket_get_fd(impl_->socket), payload.data(),
                   payload.size(), MSG_DONTWAIT, address.value().get(),
                   address.value().length);
}

std::uint16_t udp_socket::port() const
{
    return bound_port(h2o_socket_get_fd(impl_->socket));
}

} // namespace siskinflow::net
