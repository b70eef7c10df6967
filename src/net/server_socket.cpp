#include "server_socket.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <utility>

namespace siskinflow::net
{

namespace
{

/// Read at once; a connection that pauses keeps at most this much unparsed.
constexpr std::size_t read_bytes = 16UL * 1024;
/// h2o reads all that the kernel has for a connection with TLS, so the kernel
/// keeps less for these.
constexpr int tls_receive_buffer_bytes = 128 * 1024;
/// h2o reports only the end of a write, so that smaller writes show progress.
constexpr std::size_t tls_write_limit = 64UL * 1024;
constexpr std::size_t max_write_parts = 16;

bool is_transient(int code)
{
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

server_socket& self_of(h2o_socket_t* socket)
{
    return *static_cast<server_socket*>(socket->data);
}

} // namespace

void lift_unsent_limit(int descriptor)
{
    constexpr int no_limit = 0; // Selects the system's default.
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &no_limit,
                 sizeof(no_limit));
}

server_socket::server_socket(h2o_socket_t* socket, socket_events& events)
    : socket_(socket), events_(events)
{
    socket_->data = this;
}

server_socket::~server_socket()
{
    close();
}

void server_socket::start_tls(SSL_CTX* context)
{
    is_tls_ = true;
    handshaking_ = true;
    ::setsockopt(h2o_socket_get_fd(socket_), SOL_SOCKET, SO_RCVBUF,
                 &tls_receive_buffer_bytes, sizeof(tls_receive_buffer_bytes));
    h2o_socket_ssl_handshake(socket_, context, nullptr, on_handshake);
}

void server_socket::on_handshake(h2o_socket_t* socket, const char* error)
{
    server_socket& self = self_of(socket);
    self.handshaking_ = false;
    if (error != nullptr)
    {
        self.events_.on_failed();
        return;
    }
    self.start_reading();
    self.pass_tls_input();
}

void server_socket::start_reading()
{
    if (socket_ == nullptr || handshaking_)
    {
        return;
    }
    wants_reading_ = true;
    if (is_tls_)
    {
        h2o_socket_read_start(socket_, on_tls_readable);
        return;
    }
    h2o_socket_dont_read(socket_, 1);
    h2o_socket_read_start(socket_, on_readable);
}

void server_socket::stop_reading()
{
    wants_reading_ = false;
    if (socket_ != nullptr && !handshaking_)
    {
        h2o_socket_read_stop(socket_);
    }
}

bool server_socket::is_reading() const
{
    return wants_reading_;
}

void server_socket::on_readable(h2o_socket_t* socket, const char* /*error*/)
{
    self_of(socket).read_plain();
}

void server_socket::read_plain()
{
    std::array<char, read_bytes> buffer; // Not initialized, for speed.
    const ssize_t size = ::recv(h2o_socket_get_fd(socket_), buffer.data(),
                                buffer.size(), MSG_DONTWAIT);
    if (size > 0)
    {
        events_.on_received({buffer.data(), static_cast<std::size_t>(size)});
    }
    else if (size == 0)
    {
        events_.on_end_of_input();
    }
    else if (!is_transient(errno))
    {
        events_.on_failed();
    }
}

void server_socket::on_tls_readable(h2o_socket_t* socket, const char* error)
{
    server_socket& self = self_of(socket);
    // h2o reports the end that TLS announces as bytes that can't be decoded.
    if (error == h2o_socket_error_closed ||
        error == h2o_socket_error_ssl_decode)
    {
        self.events_.on_end_of_input();
    }
    else if (error != nullptr)
    {
        self.events_.on_failed();
    }
    else
    {
        self.pass_tls_input();
    }
}

void server_socket::pass_tls_input()
{
    if (socket_ == nullptr || socket_->input->size == 0)
    {
        return;
    }
    const std::string bytes(socket_->input->bytes, socket_->input->size);
    h2o_buffer_consume(&socket_->input, socket_->input->size);
    events_.on_received(bytes);
}

std::optional<std::size_t> server_socket::write(const h2o_iovec_t* parts,
                                                std::size_t count)
{
    if (socket_ == nullptr)
    {
        return std::nullopt;
    }
    if (handshaking_ || is_writing())
    {
        return 0;
    }
    count = std::min(count, max_write_parts);
    if (is_tls_)
    {
        return write_tls(parts, count);
    }
    std::array<iovec, max_write_parts> native{};
    for (std::size_t i = 0; i < count; ++i)
    {
        native.at(i) = {parts[i].base, parts[i].len};
    }
    msghdr message{};
    message.msg_iov = native.data();
    message.msg_iovlen = count;
    const ssize_t size = ::sendmsg(h2o_socket_get_fd(socket_), &message,
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size < 0)
    {
        return is_transient(errno) ? std::optional<std::size_t>(0)
                                   : std::nullopt;
    }
    return static_cast<std::size_t>(size);
}

std::optional<std::size_t> server_socket::write_tls(const h2o_iovec_t* parts,
                                                    std::size_t count)
{
    std::array<h2o_iovec_t, max_write_parts> limited{};
    std::size_t used = 0;
    std::size_t bytes = 0;
    for (; used < count && bytes < tls_write_limit; ++used)
    {
        const std::size_t length =
            std::min(parts[used].len, tls_write_limit - bytes);
        limited.at(used) = h2o_iovec_init(parts[used].base, length);
        bytes += length;
    }
    tls_write_bytes_ = bytes;
    h2o_socket_write(socket_, limited.data(), used, on_writable);
    return 0;
}

bool server_socket::is_writing() const
{
    return socket_ != nullptr && h2o_socket_is_writing(socket_) != 0;
}

void server_socket::wait_writable()
{
    if (socket_ != nullptr && !is_writing())
    {
        h2o_socket_notify_write(socket_, on_writable);
    }
}

void server_socket::on_writable(h2o_socket_t* socket, const char* error)
{
    server_socket& self = self_of(socket);
    const std::size_t bytes = std::exchange(self.tls_write_bytes_, 0);
    if (error != nullptr)
    {
        self.events_.on_failed();
        return;
    }
    self.events_.on_written(bytes);
}

void server_socket::lift_unsent_limit()
{
    if (socket_ != nullptr)
    {
        net::lift_unsent_limit(h2o_socket_get_fd(socket_));
    }
}

std::size_t server_socket::undelivered_bytes() const
{
    int bytes = 0;
    const bool known = socket_ != nullptr && ::ioctl(h2o_socket_get_fd(socket_),
                                                     SIOCOUTQ, &bytes) == 0;
    return known && bytes > 0 && !is_reset_by_peer()
               ? static_cast<std::size_t>(bytes)
               : 0;
}

void server_socket::end_sending()
{
    if (socket_ != nullptr)
    {
        ::shutdown(h2o_socket_get_fd(socket_), SHUT_WR);
    }
}

int server_socket::tcp_state() const
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    const bool known = socket_ != nullptr &&
                       ::getsockopt(h2o_socket_get_fd(socket_), IPPROTO_TCP,
                                    TCP_INFO, &info, &length) == 0;
    return known ? int{info.tcpi_state} : int{TCP_CLOSE};
}

bool server_socket::is_reset_by_peer() const
{
    return tcp_state() == TCP_CLOSE;
}

bool server_socket::is_ended_by_peer() const
{
    return tcp_state() == TCP_CLOSE_WAIT;
}

void server_socket::close()
{
    if (socket_ != nullptr)
    {
        h2o_socket_close(std::exchange(socket_, nullptr));
    }
}

std::string server_socket::peer() const
{
    sockaddr_storage address{};
    auto* native = reinterpret_cast<sockaddr*>(&address);
    return socket_ == nullptr || h2o_socket_getpeername(socket_, native) == 0
               ? std::string()
               : from_socket_address(native).address;
}

} // namespace siskinflow::net
