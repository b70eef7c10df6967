#include "connection_pool.hpp"

#include <algorithm>

namespace siskinflow::net
{

namespace
{

/// Idle connections kept for each peer.
constexpr std::size_t max_idle_per_peer = 64;
/// Shorter than the idle timeout of usual servers, so that a kept connection is
/// rarely found closed by the peer.
constexpr duration max_idle_time = std::chrono::seconds(4);
constexpr duration expiry_interval = std::chrono::seconds(1);

} // namespace

connection_pool::~connection_pool()
{
    loop_.cancel(expiry_timer_);
}

std::shared_ptr<client_connection> connection_pool::make(const endpoint& peer)
{
    return std::make_shared<client_connection>(peer, next_number(),
                                               loop_.handle().loop);
}

std::shared_ptr<client_connection> connection_pool::take(const endpoint& peer,
                                                         std::uint64_t id)
{
    const auto found = idle_.find(peer);
    if (found == idle_.end())
    {
        return make(peer);
    }
    auto& connections = found->second;
    close_expired(connections);
    const auto usable = std::find_if(
        connections.begin(), connections.end(),
        [id](const auto& entry) { return entry.connection->may_carry(id); });
    if (usable == connections.end())
    {
        return make(peer);
    }
    auto out = std::move(usable->connection);
    connections.erase(usable);
    return out;
}

void connection_pool::put(std::shared_ptr<client_connection> connection)
{
    if (!connection->try_keep())
    {
        return;
    }
    auto& connections = idle_[connection->peer()];
    if (connections.size() >= max_idle_per_peer)
    {
        return;
    }
    connections.push_back({std::move(connection), loop_.now()});
    schedule_expiry();
}

void connection_pool::close_expired(std::deque<idle_connection>& connections)
{
    const time_point now = loop_.now();
    while (!connections.empty() &&
           now - connections.front().since >= max_idle_time)
    {
        connections.pop_front();
    }
}

void connection_pool::schedule_expiry()
{
    if (expiry_timer_ == 0)
    {
        expiry_timer_ = loop_.after(expiry_interval, [this] { expire(); });
    }
}

void connection_pool::expire()
{
    expiry_timer_ = 0;
    for (auto entry = idle_.begin(); entry != idle_.end();)
    {
        auto& connections = entry->second;
        close_expired(connections);
        entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
    }
    if (!idle_.empty())
    {
        schedule_expiry();
    }
}

} // namespace siskinflow::net
