/// @file
/// @brief A target on plain sockets, for answers that an HTTP server never
/// gives.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

/// @brief Reads requests, which may have a body with a length, and sends the
/// bytes that a test chooses.
class raw_target
{
public:
    /// @brief A request as it arrived.
    struct request
    {
        std::string id;
        std::string method;
        std::string path;       ///< With the query.
        std::string instance;   ///< Target that it is meant for.
        std::uint16_t port = 0; ///< Of the target.
        int connection = 0;     ///< Number of its connection, from 1.
        int number = 0;         ///< On its connection, from 1.
    };

    /// @brief What the target does with a request.
    struct reply
    {
        /// @brief The request runs and is answered.
        reply(std::string bytes_in, bool ran_in = true)
            : bytes(std::move(bytes_in)), ran(ran_in)
        {
        }

        std::string bytes;
        bool ran; ///< False: it has not run and never will.
        /// Sent on the connection after a while; nothing if empty.
        std::string late_bytes;
        std::chrono::milliseconds late_after{0};
    };

    /// @brief Decides what to do with a request; called from a thread of the
    /// target.
    using answerer = std::function<reply(const request&)>;

    /// @brief Chooses the bytes to send as soon as a head has arrived, before
    /// its body is read; called from a thread of the target.
    using head_answerer = std::function<std::string(const request&)>;

    /// @param answer_head nothing is sent before the body if empty
    /// @param receive_buffer of each connection in bytes; 0: of the system. A
    /// small one keeps the sender writing a large body until it is read.
    explicit raw_target(answerer answer, head_answerer answer_head = {},
                        int receive_buffer = 0);
    ~raw_target();
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// @brief How often a request has run.
    int runs(const std::string& id) const;

    /// @brief Times that a request arrived on a connection on which it had
    /// arrived before.
    int repeated_on_connection() const;

private:
    void accept_all();
    void serve(int connection, int number);
    reply handle(const request& arrived, bool repeated);

    void on_head(const request& arrived, int connection);

    answerer answer_;
    head_answerer answer_head_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_; ///< By request id.
    int repeated_on_connection_ = 0;
    std::set<int> connections_; ///< Open ones.
    std::condition_variable connection_ended_;
    int accepted_ = 0;
    std::jthread acceptor_;
};
