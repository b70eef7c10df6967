/// @file
/// @brief A target on plain sockets, for answers that an HTTP server never
/// gives.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// @brief Runs every request that arrives and sends the bytes that a test
/// chooses. Requests must not have a body.
class raw_target
{
public:
    /// @brief A request as it arrived.
    struct request
    {
        std::string id;
        std::string instance; ///< Target that it is meant for.
        int number = 0;       ///< On its connection, from 1.
    };

    /// @brief Gives the bytes to send for a request; called from a thread of
    /// the target.
    using answerer = std::function<std::string(const request&)>;

    explicit raw_target(answerer answer);
    ~raw_target();
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// @brief How often a request has run.
    int runs(const std::string& id) const;

private:
    void accept_all();
    void serve(int connection);

    answerer answer_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_; ///< By request id.
    std::vector<int> connections_;
    std::vector<std::jthread> workers_;
    std::jthread acceptor_;
};
