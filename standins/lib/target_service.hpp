/// @file
/// @brief HTTP interface of the target stand-in.
#pragma once

#include "target_model.hpp"
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_server.hpp>

#include <memory>
#include <random>
#include <string>

namespace siskinflow::standin
{

/// @brief Serves a `target_model` over HTTP.
class target_service
{
public:
    /// @param loop runs the timers; must outlive the service
    /// @param options behaviour without faults
    /// @param answer_bytes size of the body of an answer
    target_service(net::event_loop& loop, target_options options,
                   std::size_t answer_bytes);

    /// @brief Starts to listen.
    result<void> listen(const net::endpoint& local,
                        std::size_t max_connections);

    /// @brief The port that is listened on.
    std::uint16_t port() const;

private:
    void handle(const net::exchange_ptr& exchange);
    bool handle_control_path(const net::exchange_ptr& exchange);
    void run(const net::exchange_ptr& exchange);
    void finish(const net::exchange_ptr& exchange, const target_plan& plan);
    void answer(const net::exchange_ptr& exchange, const target_plan& plan);

    net::event_loop& loop_;
    std::string name_;
    target_model model_;
    std::string body_;
    std::mt19937_64 random_;
    std::unique_ptr<net::http_server> server_;
};

} // namespace siskinflow::standin
