/// @file
/// @brief Idle connections of the HTTP client.
#pragma once

#include "client_connection.hpp"
#include <siskinflow/net/event_loop.hpp>

#include <deque>
#include <memory>
#include <unordered_map>

namespace siskinflow::net
{

/// @brief Keeps clean connections for further requests. All others are closed
/// with their last owner.
class connection_pool
{
public:
    explicit connection_pool(event_loop& loop) : loop_(loop) {}
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// @brief The connection that has been idle for longest among those that
    /// may carry a request, or a new one.
    /// @param id hash of the request's id, 0 if it has none
    std::shared_ptr<client_connection> take(const endpoint& peer,
                                            std::uint64_t id);

    /// @brief A connection that is not kept before its first use.
    std::shared_ptr<client_connection> make(const endpoint& peer);

    /// @brief Number for a connection that replaces one that was not open.
    std::uint64_t next_number()
    {
        return ++last_number_;
    }

    /// @brief Keeps a connection if it is clean after its last answer.
    void put(std::shared_ptr<client_connection> connection);

    /// @brief Closes the idle connections to a peer.
    void close_idle(const endpoint& peer)
    {
        idle_.erase(peer);
    }

private:
    struct idle_connection
    {
        std::shared_ptr<client_connection> connection;
        time_point since;
    };

    void close_expired(std::deque<idle_connection>& connections);
    void schedule_expiry();
    void expire();

    event_loop& loop_;
    std::unordered_map<endpoint, std::deque<idle_connection>> idle_;
    std::uint64_t last_number_ = 0;
    timer_id expiry_timer_ = 0; ///< 0: not scheduled.
};

} // namespace siskinflow::net
