/// @file
/// @brief Raw h2o types for the sources of `net`; never included elsewhere.
#pragma once

#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>

#include <h2o.h>
#include <h2o/hostinfo.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>

#include <functional>
#include <sys/socket.h>
#include <vector>

namespace siskinflow::net
{

/// @brief h2o's loop with the project's timers and posted callbacks.
struct event_loop::native
{
    explicit native(const clock& time) : time(time) {}

    const clock& time;
    timer_queue timers;
    std::vector<std::function<void()>> posted;
    bool stopping = false;
    /// Set after callbacks ran outside h2o's loop: h2o does not process their
    /// completed writes before it sleeps for the whole wait.
    bool poll_without_waiting = false;
    std::uint64_t passes = 0; ///< Number of calls of h2o's loop.
    h2o_loop_t* loop = nullptr;
    h2o_multithread_queue_t* queue = nullptr;
    h2o_multithread_receiver_t getaddr_receiver{};
    h2o_socket_t* signal_socket = nullptr;
    std::map<int, std::function<void()>> signal_callbacks;
};

/// @brief A socket address of either family.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr* get()
    {
        return reinterpret_cast<sockaddr*>(&storage);
    }
};

/// @brief Converts an endpoint.
/// @return the address, or `errc::invalid_argument` if it is no IP address
result<socket_address> to_socket_address(const endpoint& value);

/// @brief Converts back.
endpoint from_socket_address(const sockaddr* address);

/// @brief Connections that the kernel holds for a listener until they are
/// accepted, if nothing limits them further.
constexpr int max_listen_backlog = 4096;

/// @brief Creates a bound, non-blocking socket.
/// @param type SOCK_STREAM (which then also listens) or SOCK_DGRAM
/// @param backlog connections that may wait to be accepted
/// @return the descriptor, or `errc::io_error` naming the address
result<int> open_bound_socket(const endpoint& local, int type,
                              int backlog = max_listen_backlog);

/// @brief Port that a descriptor is bound to.
std::uint16_t bound_port(int descriptor);

/// @brief The text of an h2o vector.
inline std::string_view view(const h2o_iovec_t& text)
{
    return {text.base, text.len};
}

} // namespace siskinflow::net
