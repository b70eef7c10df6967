/// @file
/// @brief The gateway daemon: serves callers through registered targets.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/gateway/gateway_settings.hpp>
#include <siskinflow/gateway/message_codec.hpp>
#include <siskinflow/gateway/record_format.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <functional>
#include <memory>

namespace siskinflow::gateway
{

/// @brief Interfaces to the platform that the gateway runs on. All must outlive
/// the node.
struct gateway_platform
{
    lease_store& store;
    const message_codec& protocol;
    const record_format& records;
};

/// @brief One entry VM; operators, targets and peers are connected through the
/// store.
class gateway_node
{
public:
    /// @brief Starts listening and mirroring the store.
    /// @param loop runs the node; must outlive it
    /// @param http_client makes the calls to targets; must outlive the node
    /// @return the node, or the error of the listener that can't be opened
    static result<std::unique_ptr<gateway_node>>
    start(net::event_loop& loop, net::http_caller& http_client,
          const gateway_platform& platform, gateway_settings settings);

    ~gateway_node();

    /// @brief Stops gracefully: callers are directed to other VMs, requests in
    /// progress finish.
    void stop();

    /// @brief Logs that changed settings take effect only at the next start.
    void reload();

    /// @brief Sets the callback for when the node has stopped.
    void on_stopped(std::function<void()> callback);

    struct impl;

private:
    explicit gateway_node(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::gateway
