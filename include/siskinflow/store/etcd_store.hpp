/// @file
/// @brief Store client with the etcd v3 JSON protocol over HTTP/1.1.
#pragma once

#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/store/store.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace siskinflow
{

/// @brief Settings of an `etcd_store`.
struct etcd_store_options
{
    /// Servers of one store; the next one is tried after a failure.
    std::vector<net::endpoint> endpoints;
    /// Maximum size of the answer to a read of a prefix.
    std::size_t max_answer_bytes = 32 * 1024 * 1024;
    /// A watch ends after this time and the caller starts a new one, so that a
    /// connection that went silent is detected. Costs one call per watch each
    /// time.
    duration max_watch_duration = std::chrono::seconds(10);
};

/// @brief `store` over POST /v3/kv/range, /v3/kv/txn and /v3/watch.
///
/// Destroying it drops the callbacks of running calls.
class etcd_store final : public store
{
public:
    /// @param caller makes the HTTP calls; must outlive the store
    /// @param post runs a function in a later iteration of the event loop
    /// @param options servers and limits; at least one endpoint
    etcd_store(net::http_caller& caller,
               std::function<void(std::function<void()>)> post,
               etcd_store_options options);
    ~etcd_store() override;

    void read(std::string key, duration timeout,
              callback<std::optional<store_value>> done) override;
    void read_prefix(std::string prefix, duration timeout,
                     callback<std::vector<store_value>> done) override;
    void swap(swap_request request, duration timeout,
              callback<store_revision> done) override;
    std::unique_ptr<store_watch>
    watch(std::string key, store_revision from,
          std::function<void(store_value)> on_change,
          std::function<void(error)> on_end) override;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow
