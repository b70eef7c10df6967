#include "raw_target.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
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

} // namespace

raw_target::raw_target(answerer answer)
    : answer_(std::move(answer)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
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
    for (const int connection : connections_)
    {
        ::shutdown(connection, SHUT_RDWR);
    }
    workers_.clear();
    for (const int connection : connections_)
    {
        ::close(connection);
    }
    ::close(listener_);
}

int raw_target::runs(const std::string& id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
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
        connections_.push_back(connection);
        workers_.emplace_back([this, connection] { serve(connection); });
    }
}

void raw_target::serve(int connection)
{
    const std::string head_end = "\r\n\r\n";
    std::string received;
    char buffer[4096];
    int number = 0;
    for (;;)
    {
        const auto count = ::recv(connection, buffer, sizeof(buffer), 0);
        if (count <= 0)
        {
            break;
        }
        received.append(buffer, static_cast<std::size_t>(count));
        const auto end = received.find(head_end);
        if (end == std::string::npos)
        {
            continue;
        }
        const std::string head = received.substr(0, end + 2);
        received.erase(0, end + head_end.size());
        const request arrived{field_value(head, "siskinflow-request-id"),
                              field_value(head, "siskinflow-expected-instance"),
                              ++number};
        {
            const std::lock_guard lock(mutex_);
            ++runs_[arrived.id];
        }
        const std::string bytes = answer_(arrived);
        (void)::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    ::shutdown(connection, SHUT_RDWR);
}
