/// @file
/// @brief An HTTP server whose requests a test answers, and raw clients.
#pragma once

#include "raw_caller.hpp"
#include <siskinflow/net/http_server.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace server_world
{

using namespace siskinflow;
using namespace siskinflow::net;
using caller = raw_caller::connection;

/// A server whose requests wait until the test answers them.
struct server_fixture
{
    boot_clock time;
    event_loop loop{time};
    std::vector<exchange_ptr> received;
    std::vector<std::string> cancelled;
    std::function<void(const exchange_ptr&)> on_received; ///< May be empty.
    std::unique_ptr<http_server> server;

    explicit server_fixture(const http_server_options& options = {})
        : server_fixture([&options](event_loop&) { return options; })
    {
    }

    /// @param make_options gets the loop, for a memory budget
    explicit server_fixture(
        const std::function<http_server_options(event_loop&)>& make_options)
    {
        const http_server_options options = make_options(loop);
        server = std::move(
            http_server::listen(loop, {"127.0.0.1", 0}, options,
                                [this](const exchange_ptr& exchange)
                                {
                                    received.push_back(exchange);
                                    exchange->on_cancel(
                                        [this, path = exchange->request().path]
                                        { cancelled.push_back(path); });
                                    if (on_received)
                                    {
                                        on_received(exchange);
                                    }
                                })
                .value());
    }

    bool run_until(const std::function<bool()>& condition,
                   duration limit = std::chrono::seconds(5))
    {
        const time_point end = time.now() + limit;
        while (!condition() && time.now() < end)
        {
            loop.run_once(std::chrono::milliseconds(5));
        }
        return condition();
    }
    bool receives(std::size_t count)
    {
        return run_until([&] { return received.size() >= count; });
    }
    void pass(duration length)
    {
        run_until([] { return false; }, length);
    }
    bool reads(caller& from, std::string_view text)
    {
        return run_until(
            [&]
            {
                from.read();
                return from.input.find(text) != std::string::npos;
            });
    }
    bool closes(caller& from, duration limit = std::chrono::seconds(5))
    {
        return run_until(
            [&]
            {
                from.read();
                return from.closed || from.reset;
            },
            limit);
    }
    /// Sends all of a text while the server reads.
    void send(caller& from, std::string_view text)
    {
        run_until(
            [&]
            {
                text.remove_prefix(from.send(text));
                return text.empty();
            });
    }
    void answer(std::size_t index, std::string body)
    {
        received.at(index)->respond({200, {}, std::move(body)});
    }
};

inline std::string get(const std::string& path, const std::string& fields = {})
{
    return "GET " + path + " HTTP/1.1\r\nhost: a\r\n" + fields + "\r\n";
}

inline std::string ok_answer(const std::string& body,
                             const std::string& fields = {})
{
    return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) +
           "\r\n" + fields + "\r\n" + body;
}

} // namespace server_world
