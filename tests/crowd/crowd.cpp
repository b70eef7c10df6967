#include "crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace crowd
{

namespace
{

constexpr std::chrono::milliseconds tick{20};
/// Parts of a client's bytes in one round, so that all clients progress alike.
constexpr std::size_t max_sends_per_round = 4;
constexpr std::size_t max_read_bytes = 256UL * 1024;

sockaddr_in loopback(std::uint32_t host, std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl((127U << 24) + host);
    out.sin_port = htons(port);
    return out;
}

std::string with_number(std::string text, std::size_t number)
{
    const std::string field = "{client}";
    if (const auto at = text.find(field); at != std::string::npos)
    {
        text.replace(at, field.size(), std::to_string(number));
    }
    return text;
}

} // namespace

clients::clients(std::uint16_t port, plan what)
    : port_(port), plan_(std::move(what)),
      active_at_(std::chrono::steady_clock::now())
{
    connect_all();
    thread_ = std::jthread([this](const std::stop_token& stopping)
                           { run(stopping); });
}

clients::~clients()
{
    thread_.request_stop();
    thread_.join();
    for (const client& entry : clients_)
    {
        if (entry.descriptor >= 0)
        {
            ::close(entry.descriptor);
        }
    }
}

bool clients::quiet_for(std::chrono::milliseconds time) const
{
    return std::chrono::steady_clock::now() - active_at_.load() > time;
}

void clients::connect_all()
{
    for (std::size_t i = 0; i < plan_.clients; ++i)
    {
        const int descriptor =
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (plan_.receive_buffer > 0)
        {
            ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF,
                         &plan_.receive_buffer, sizeof(plan_.receive_buffer));
        }
        const auto host = static_cast<std::uint32_t>(2 + i % plan_.addresses);
        const sockaddr_in from = loopback(host, 0);
        const sockaddr_in to = loopback(1, port_);
        (void)::bind(descriptor, reinterpret_cast<const sockaddr*>(&from),
                     sizeof(from));
        (void)::connect(descriptor, reinterpret_cast<const sockaddr*>(&to),
                        sizeof(to));
        clients_.push_back({descriptor, with_number(plan_.head, i)});
    }
    open_ = clients_.size();
}

void clients::run(const std::stop_token& stopping)
{
    std::vector<pollfd> watched(clients_.size());
    const auto began = std::chrono::steady_clock::now();
    auto next_tick = began;
    while (!stopping.stop_requested())
    {
        const auto now = std::chrono::steady_clock::now();
        const bool tick_due = now >= next_tick;
        next_tick = tick_due ? now + tick : next_tick;
        for (std::size_t i = 0; i < clients_.size(); ++i)
        {
            const bool started = now >= began + i * plan_.start_interval;
            const bool sends = started && !next_bytes(clients_[i]).empty();
            const bool reads = reads_now(clients_[i], tick_due);
            watched[i] = {clients_[i].descriptor,
                          static_cast<short>((sends ? POLLOUT : 0) |
                                             (reads ? POLLIN : 0) | POLLRDHUP),
                          0};
        }
        (void)::poll(watched.data(), watched.size(),
                     static_cast<int>(tick.count()));
        for (std::size_t i = 0; i < clients_.size(); ++i)
        {
            if (watched[i].revents == 0 ||
                exchange(clients_[i], watched[i].revents))
            {
                continue;
            }
            ::close(clients_[i].descriptor);
            clients_[i].descriptor = -1;
            --open_;
            note_activity();
        }
    }
}

bool clients::reads() const
{
    return plan_.bytes_read_per_tick + plan_.bytes_read_at_once > 0;
}

bool clients::reads_now(const client& entry, bool tick_due) const
{
    return entry.received < plan_.bytes_read_at_once ||
           (tick_due && plan_.bytes_read_per_tick > 0);
}

/// @return false if the connection has ended
bool clients::exchange(client& entry, short events)
{
    if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0)
    {
        return false;
    }
    if ((events & POLLIN) != 0 && !receive(entry))
    {
        return false;
    }
    // A client that never reads can't see the end behind unread bytes.
    if ((events & POLLRDHUP) != 0 && !reads())
    {
        return false;
    }
    for (std::size_t i = 0; i < max_sends_per_round; ++i)
    {
        if ((events & POLLOUT) != 0 && !send_next(entry))
        {
            return false;
        }
    }
    return true;
}

bool clients::send_next(client& entry)
{
    const std::string_view part = next_bytes(entry);
    if (part.empty())
    {
        return true;
    }
    const auto count = ::send(entry.descriptor, part.data(), part.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0)
    {
        return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    entry.sent += static_cast<std::size_t>(count);
    bytes_sent_ += static_cast<std::uint64_t>(count);
    note_activity();
    return true;
}

bool clients::receive(client& entry)
{
    const std::size_t at_once =
        plan_.bytes_read_at_once -
        std::min(entry.received, plan_.bytes_read_at_once);
    std::string buffer(
        std::max(std::min(at_once, max_read_bytes), plan_.bytes_read_per_tick),
        '\0');
    const auto count =
        ::recv(entry.descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0)
    {
        return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    entry.received += static_cast<std::size_t>(count);
    note_activity();
    return count > 0;
}

std::string_view clients::next_bytes(const client& entry) const
{
    if (entry.sent < entry.head.size())
    {
        return std::string_view(entry.head).substr(entry.sent);
    }
    const std::size_t after_head = entry.sent - entry.head.size();
    const std::size_t blocks_size = plan_.block.size() * plan_.blocks;
    if (after_head < blocks_size)
    {
        return std::string_view(plan_.block)
            .substr(after_head % plan_.block.size());
    }
    return std::string_view(plan_.tail)
        .substr(std::min(after_head - blocks_size, plan_.tail.size()));
}

void clients::note_activity()
{
    active_at_ = std::chrono::steady_clock::now();
}

} // namespace crowd
