/// @file
/// @brief A connection of the HTTP client and what it has carried.
#pragma once

#include "h2o_native.hpp"
#include <siskinflow/core/state_chart.hpp>
#include <siskinflow/net/answer_position.hpp>
#include <siskinflow/net/endpoint.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace siskinflow::net
{

/// @brief States of a connection, as in `charts/client_connection.json`.
enum class connection_state : std::uint8_t
{
    fresh,    ///< Nothing was sent on it.
    in_use,   ///< A request was sent; its answer is not complete.
    clean,    ///< Idle; nothing more is due on it.
    doubtful, ///< In use; bytes may follow the answer, so it is closed then.
    closed,
};

/// @brief Name of a state in snake_case, "unknown" if undefined.
std::string_view name(connection_state value) noexcept;

/// @brief What happens to a connection.
enum class connection_event : std::uint8_t
{
    send,
    keep,    ///< The answer is complete, and nothing can follow it.
    doubt,   ///< Something was read, or given up, after which bytes may follow.
    replace, ///< It was no longer open, or had unread bytes, when taken.
    close,
};

/// @brief Name of an event in snake_case, "unknown" if undefined.
std::string_view name(connection_event value) noexcept;

/// @brief One connection to a peer. It holds h2o's socket while it is idle.
///
/// An additional answer bears the id of a request that the connection has
/// carried. Each id is therefore sent on a connection once at most: an answer
/// with the id of a request is then the one that the request has caused.
class client_connection
{
public:
    /// @param peer address of the peer
    /// @param number unique in the client
    client_connection(const endpoint& peer, std::uint64_t number,
                      h2o_loop_t* loop);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    const endpoint& peer() const
    {
        return peer_;
    }
    connection_state state() const
    {
        return state_;
    }

    /// @brief Whether it may carry a request.
    /// @param id hash of the request's id, 0 if it has none
    bool may_carry(std::uint64_t id) const;

    /// @brief The peer had closed the idle connection, or sent bytes that were
    /// not due; h2o opens a new one in its place.
    /// @param number of the new connection
    void replace(std::uint64_t number);

    /// @brief A request is written.
    /// @param id hash of the request's id, 0 if it has none
    void on_sent(std::uint64_t id, h2o_socket_t* socket);

    /// @brief The head of an answer was read.
    void on_head()
    {
        ++position_.answer;
    }

    /// @brief Bytes that nothing explains may follow: the connection serves no
    /// other request.
    void doubt();

    /// @brief The answer is complete and h2o has put the socket aside.
    /// @return whether the connection may serve another request; it is closed
    /// otherwise
    bool try_keep();

    /// @brief Where the answer to the present request was read.
    const answer_position& position() const
    {
        return position_;
    }

    /// @brief h2o's pool, which holds the socket of this connection only.
    h2o_socketpool_t& native()
    {
        return native_;
    }

private:
    bool apply(connection_event event);

    endpoint peer_;
    h2o_socketpool_t native_{};
    connection_state state_ = connection_state::fresh;
    answer_position position_;
    std::vector<std::uint64_t> carried_ids_; ///< Hashes.
};

} // namespace siskinflow::net
