/// @file
/// @brief The entry daemon: all modules on one event loop.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/entry/vm_lifecycle.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/telemetry/log.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow::entry
{

/// @brief Validated settings of an entry node.
struct entry_options
{
    std::string vm;
    std::string region;
    std::string failure_domain;
    std::string site; ///< Empty if not known.
    net::endpoint http_listen;
    net::endpoint control_listen;
    net::endpoint http_advertised;
    net::endpoint control_advertised;
    std::vector<net::endpoint> store;
    std::optional<net::endpoint> vm_list;
    std::vector<net::endpoint> seeds;
    net::http_server_options http;
    log_options log;
    std::size_t max_header_bytes = 32 * 1024;
    std::size_t max_body_memory_bytes = 64 * 1024 * 1024;
    duration lookup_lifetime = std::chrono::seconds(10);
    /// Longest wait for requests in progress at a graceful stop.
    duration drain_limit = std::chrono::minutes(15);
};

/// @brief The entry daemon of one VM.
class entry_node
{
public:
    /// @brief Opens the sockets and starts to join the fleet.
    /// @param loop runs the node; must outlive it
    /// @return the node, or an error that names the address or file
    static result<std::unique_ptr<entry_node>> start(net::event_loop& loop,
                                                     entry_options options);
    ~entry_node();

    /// @brief Begins a graceful stop. A second call begins draining at once,
    /// without waiting for the rest of the lookup lifetime.
    void stop();

    /// @brief Called when the graceful stop is complete.
    void on_stopped(std::function<void()> callback);

    /// @brief Reloads the certificate and its key.
    void reload_certificate();

    /// @brief Current state of the process's lifecycle.
    lifecycle_state state() const;

private:
    struct impl;
    explicit entry_node(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::entry
