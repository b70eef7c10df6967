/// @file
/// @brief Length-prefixed messages over TCP between the system's processes.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace siskinflow::net
{

/// @brief Largest message in bytes; a longer one closes the connection.
constexpr std::size_t max_stream_message_bytes = 1200 * 1024;

/// @brief Answers each request message with one message.
class message_server
{
public:
    /// @brief Turns a request into the answer; an empty answer closes the
    /// connection.
    using handler = std::function<std::string(std::string_view request)>;

    /// @brief Starts to listen.
    /// @return the server, or `errc::io_error` / `errc::invalid_argument`
    static result<std::unique_ptr<message_server>>
    listen(event_loop& loop, const endpoint& local, handler on_message);
    ~message_server();

    /// @brief The port that is listened on.
    std::uint16_t port() const;

    /// @brief Frames that were too long or cut off.
    std::uint64_t malformed() const;

private:
    struct impl;
    explicit message_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

/// @brief Sends request messages, each on a connection of its own.
class message_sender
{
public:
    virtual ~message_sender() = default;
    using answer_handler = std::function<void(result<std::string>)>;

    /// @brief Sends a request and waits for the answer.
    /// @param done called once with the answer, `errc::timeout`,
    /// `errc::unavailable` (nothing was sent) or `errc::unknown_outcome`
    virtual void request(const endpoint& peer, std::string message,
                         duration timeout, answer_handler done) = 0;
};

/// @brief `message_sender` on h2o sockets.
class message_client final : public message_sender
{
public:
    explicit message_client(event_loop& loop);
    ~message_client() override;
    void request(const endpoint& peer, std::string message, duration timeout,
                 answer_handler done) override;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow::net
