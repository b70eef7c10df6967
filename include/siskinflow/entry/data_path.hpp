/// @file
/// @brief Forwards requests from callers to targets.
#pragma once

#include <siskinflow/budget/budget_node.hpp>
#include <siskinflow/config/configuration.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/timer_queue.hpp>
#include <siskinflow/entry/request.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/permit/permit_issuer.hpp>
#include <siskinflow/permit/permit_table.hpp>
#include <siskinflow/routing/target_health.hpp>
#include <siskinflow/routing/target_selector.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::entry
{

/// @brief Settings of a data path.
struct data_path_options
{
    std::string vm;
    std::string region;
    std::size_t max_header_bytes = 32 * 1024;
    /// Limit for the bodies of all requests in progress; requests beyond it are
    /// refused.
    std::size_t max_body_memory_bytes = 64 * 1024 * 1024;
    std::uint64_t seed = 1; ///< Seed of the random choices.
};

/// @brief Finds the outcome of a permit that another incarnation issued.
class permit_resolver
{
public:
    virtual ~permit_resolver() = default;

    /// @brief Asks for the outcome.
    /// @param done called once; gets `errc::unavailable` if no VM that knows
    /// the outcome answered
    virtual void resolve(const permit_claim& claim, duration timeout,
                         std::function<void(result<permit_outcome>)> done) = 0;
};

/// @brief Objects that a data path uses; all must outlive it.
struct data_path_dependencies
{
    const clock& time;
    timer_queue& timers;
    net::http_caller& caller;
    budget_node& budgets;
    permit_issuer& issuer;
    permit_table& permits;
    permit_resolver& resolver;
    data_path_observer& observer;
    std::function<bool()> is_fresh;         ///< Whether this VM is fresh.
    std::function<bool()> accepts_requests; ///< Whether new ones are accepted.
};

/// @brief In-flight requests and health of a target, for status pages.
struct target_status
{
    std::string name;
    target_state state = target_state::active;
    std::uint32_t in_flight = 0;
    routing::health_state health = routing::health_state::healthy;
};

/// @brief Waiting requests of an organisation on a route.
struct queue_status
{
    std::string route;
    std::string organisation; ///< Empty on an open route.
    std::size_t waiting = 0;
};

/// @brief Admits, queues and dispatches requests, and passes responses on.
class data_path
{
public:
    data_path(data_path_options options,
              const data_path_dependencies& dependencies);
    ~data_path();

    /// @brief Replaces the configuration. Queued requests whose key it
    /// withdraws are refused.
    /// @param vms number of entry VMs, for the subsets of targets
    void set_configuration(std::shared_ptr<const configuration> config,
                           std::size_t vms);

    /// @brief The configuration in use, or null.
    std::shared_ptr<const configuration> config() const;

    /// @brief Handles a request outside the reserved paths.
    void handle(net::exchange_ptr exchange);

    /// @brief Issues permits for a route.
    /// @param authorization value of the header field, may be empty
    /// @return the answer for the caller
    net::http_response issue_permits(std::string_view route,
                                     std::string_view authorization,
                                     std::size_t count);

    /// @brief Dispatches the queued requests that can be served now; called
    /// when a share was granted.
    void serve_queue();

    /// @brief Periodic work; to be called every 10 to 50 ms.
    void tick();

    /// @brief Records a load report of a target, or nothing if its health
    /// endpoint did not answer.
    void record_load(std::string_view target,
                     const std::optional<routing::load_hint>& hint,
                     time_point requested_at);

    /// @brief Marks the ejected targets that no request can probe as probing;
    /// the next answers of their load endpoints decide.
    void begin_endpoint_probes();

    /// @brief Targets whose load endpoint this VM should poll.
    std::vector<const target_config*> targets_to_poll() const;

    /// @brief Requests queued or in progress.
    std::size_t in_progress() const;

    /// @brief Requests of a route queued or in progress.
    std::size_t in_progress(std::string_view route) const;

    /// @brief Requests waiting in queues.
    std::size_t queued() const;

    /// @brief Lengths of all queues.
    std::vector<queue_status> queues() const;

    /// @brief Bytes of request bodies held.
    std::size_t body_bytes() const;

    /// @brief Status of all targets of the configuration.
    std::vector<target_status> targets() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::entry
