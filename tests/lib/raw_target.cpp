#include "raw_target.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

std::string field_value(const std::string& head, const std::string& name)
{
    const auto at = head.find(name + ": ");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Bytes of the request at the front: its head and its body.
/// @return 0 if the head is incomplete
std::size_t request_size(const std::string& received, std::size_t& head_size)
{
    const std::string head_end = "\r\n\r\n";
    const auto end = received.find(head_end);
    if (end == std::string::npos)
    {
        return 0;
    }
    head_size = end + head_end.size();
    const std::string length =
        field_value(received.substr(0, head_size), "content-length");
    return head_size + (length.empty() ? 0 : std::stoul(length));
}

void send_all(int connection, const std::string& bytes)
{
    (void)::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

} // namespace

raw_target::raw_target(answerer answer, head_answerer answer_head,
                       int receive_buffer)
    : answer_(std::move(answer)), answer_head_(std::move(answer_head)),
      listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    if (receive_buffer > 0)
    {
        ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), length);
    ::listen(listener_, SOMAXCONN);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::jthread([this] { accept_all(); });
}

raw_target::~raw_target()
{
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    std::unique_lock lock(mutex_);
    for (const int connection : connections_)
    {
        ::shutdown(connection, SHUT_RDWR);
    }
    connection_ended_.wait(lock, [this] { return connections_.empty(); });
    ::close(listener_);
}

int raw_target::runs(const std::string& id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

int raw_target::repeated_on_connection() const
{
    const std::lock_guard lock(mutex_);
    return repeated_on_connection_;
}

void raw_target::accept_all()
{
    for (;;)
    {
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection < 0)
        {
            return;
        }
        // Otherwise late bytes wait for the acknowledgement of the answer,
        // which comes with the next request.
        const int on = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard lock(mutex_);
        connections_.insert(connection);
        // Detached, because a thread that has ended keeps its stack until it is
        // joined, and a test may open thousands of connections.
        std::thread([this, connection, number = ++accepted_]
                    { serve(connection, number); })
            .detach();
    }
}

raw_target::reply raw_target::handle(const request& arrived, bool repeated)
{
    reply out = answer_(arrived);
    const std::lock_guard lock(mutex_);
    runs_[arrived.id] += out.ran ? 1 : 0;
    repeated_on_connection_ += repeated ? 1 : 0;
    return out;
}

void raw_target::on_head(const request& arrived, int connection)
{
    // The early bytes arrive while the sender is still writing the body.
    constexpr std::chrono::milliseconds early_delay{2};
    const std::string early =
        answer_head_ ? answer_head_(arrived) : std::string();
    if (!early.empty())
    {
        send_all(connection, early);
        std::this_thread::sleep_for(early_delay);
    }
}

void raw_target::serve(int connection, int number)
{
    std::string received;
    std::set<std::string> ids;
    char buffer[4096];
    request arrived;
    arrived.port = port_;
    arrived.connection = number;
    bool head_read = false;
    for (;;)
    {
        const auto count = ::recv(connection, buffer, sizeof(buffer), 0);
        if (count <= 0)
        {
            break;
        }
        received.append(buffer, static_cast<std::size_t>(count));
        std::size_t head_size = 0;
        const std::size_t size = request_size(received, head_size);
        if (size == 0)
        {
            continue;
        }
        if (!head_read)
        {
            const std::string head = received.substr(0, head_size);
            const auto path_at = head.find(' ') + 1;
            arrived.method = head.substr(0, path_at - 1);
            arrived.path =
                head.substr(path_at, head.find(' ', path_at) - path_at);
            arrived.id = field_value(head, "siskinflow-request-id");
            arrived.instance =
                field_value(head, "siskinflow-expected-instance");
            ++arrived.number;
            head_read = true;
            on_head(arrived, connection);
        }
        if (received.size() < size)
        {
            continue;
        }
        received.erase(0, size);
        head_read = false;
        const reply chosen = handle(arrived, !ids.insert(arrived.id).second);
        send_all(connection, chosen.bytes);
        if (!chosen.late_bytes.empty())
        {
            std::this_thread::sleep_for(chosen.late_after);
            send_all(connection, chosen.late_bytes);
        }
    }
    const std::lock_guard lock(mutex_);
    ::close(connection);
    connections_.erase(connection);
    connection_ended_.notify_all();
}
