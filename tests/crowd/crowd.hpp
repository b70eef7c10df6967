/// @file
/// @brief Clients on plain sockets that take the server's memory or descriptors
/// and give nothing back.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace crowd
{

/// @brief What each client of a crowd sends and reads.
struct plan
{
    std::size_t clients = 0;
    std::size_t addresses = 20; ///< Loopback addresses that they come from.
    std::string head;           ///< `{client}` is replaced by its number.
    std::string block;          ///< Sent `blocks` times after the head.
    std::size_t blocks = 0;
    std::string tail;                    ///< Sent after the blocks.
    std::size_t bytes_read_at_once = 0;  ///< Before the slow reading begins.
    std::size_t bytes_read_per_tick = 0; ///< A tick takes 20 ms.
    /// Between the first bytes of two clients.
    std::chrono::milliseconds start_interval{0};
    int receive_buffer = 0; ///< In bytes; 0: of the system.
};

/// @brief Clients that connect, send, and keep their connections open until
/// they are destroyed or the server closes them.
class clients
{
public:
    clients(std::uint16_t port, plan what);
    ~clients();
    clients(const clients&) = delete;
    clients& operator=(const clients&) = delete;

    /// @brief Whether no client has sent or received anything for a time.
    bool quiet_for(std::chrono::milliseconds time) const;

    /// @brief Clients whose connection is open.
    std::size_t open() const
    {
        return open_;
    }

    std::uint64_t bytes_sent() const
    {
        return bytes_sent_;
    }

private:
    struct client
    {
        int descriptor = -1;
        std::string head;
        std::size_t sent = 0;
        std::size_t received = 0;
    };

    void run(const std::stop_token& stopping);
    void connect_all();
    bool exchange(client& entry, short events);
    bool send_next(client& entry);
    bool receive(client& entry);
    bool reads() const;
    bool reads_now(const client& entry, bool tick_due) const;
    std::string_view next_bytes(const client& entry) const;
    void note_activity();

    std::uint16_t port_;
    plan plan_;
    std::vector<client> clients_;
    std::atomic<std::size_t> open_{0};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::chrono::steady_clock::time_point> active_at_;
    std::jthread thread_;
};

} // namespace crowd
