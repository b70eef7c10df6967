/// @file
/// @brief What the requests of a gateway share; internal to the gateway.
#pragma once

#include <siskinflow/admission/retry_budget.hpp>
#include <siskinflow/gateway/dialect.hpp>
#include <siskinflow/gateway/gateway_settings.hpp>
#include <siskinflow/gateway/key_trust.hpp>
#include <siskinflow/gateway/peers.hpp>
#include <siskinflow/gateway/policy.hpp>
#include <siskinflow/gateway/rate_share.hpp>
#include <siskinflow/gateway/region_split.hpp>
#include <siskinflow/gateway/target_chooser.hpp>
#include <siskinflow/gateway/targets.hpp>
#include <siskinflow/gateway/waiting_line.hpp>
#include <siskinflow/gateway/work_estimate.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/store/store.hpp>
#include <siskinflow/telemetry/log.hpp>
#include <siskinflow/telemetry/metrics.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace siskinflow::gateway
{

class request_flow;

/// @brief State of one gateway process, used by its one loop.
struct gateway_state
{
    gateway_state(net::event_loop& loop, net::http_caller& http_client,
                  const dialect& protocol, event_log& log, metrics& metric_set,
                  gateway_settings settings);

    net::event_loop& loop;
    net::http_caller& http_client;
    const dialect& protocol;
    event_log& log;
    metrics& metric_set;
    gateway_settings settings;

    std::shared_ptr<const policy_index> policy; ///< Null until one is known.
    time_point policy_since{};
    /// When the store was last asked and confirmed that it has no newer one.
    time_point policy_confirmed{};
    target_directory targets;
    target_chooser chooser;
    peer_table peers;
    std::unordered_map<std::string, rate_share> shares; ///< By organisation.
    /// Organisations with a rate, by their number in messages.
    std::unordered_map<std::uint32_t, std::string> organisation_by_number;
    std::unordered_set<std::shared_ptr<request_flow>> in_progress;
    bool leaving = false;

    time_point now() const
    {
        return loop.now();
    }

    /// @brief Whether the policy is young enough to honour keys by it.
    bool accepts_keys() const
    {
        return key_trust_->holds(now() - policy_confirmed);
    }

    /// @brief Work time of a route's requests at a service.
    work_estimate& work(const route_policy& route, const std::string& service);

    /// @brief Budget of a service for further attempts.
    retry_budget& retries(const std::string& service);

    /// @brief Requests of a service that wait.
    waiting_line& line(const std::string& service)
    {
        return lines_[service];
    }

    /// @brief Service that gets the next request of a route, so that each gets
    /// its weight's part.
    const std::string& next_service(const route_policy& route);

    /// @brief Registers a request as waiting.
    waiting_id wait(const std::string& service, waiting_rank rank,
                    const std::shared_ptr<request_flow>& flow);

    /// @brief Ends the waiting of a request.
    void stop_waiting(const std::string& service, waiting_id id);

    /// @brief Places waiting requests of a service for which there is room.
    void place_waiting(const std::string& service);

    /// @brief Places waiting requests of all services.
    void place_all_waiting();

    /// @brief Takes over a policy; an older one than that in force is refused.
    /// @return whether it is in force now
    bool apply_policy(gateway::policy next, store_revision revision);

    /// @brief Brings this VM's parts of all fleet-wide limits up to date.
    void update_shares();

    /// @brief Brings the rates that this VM may send to cold targets up to
    /// date with the VMs that are known.
    void update_cold_rates();

    /// @brief Sets the rate that this VM may send to a target, if it is cold.
    void limit_if_cold(target& entry);

    /// @brief Part of a service's requests that leaves the region.
    region_split& split(const std::string& service);

    /// @brief Brings these parts up to date with the load.
    void update_splits();

private:
    void limit_cold(target& entry, const std::vector<std::string>& vms);
    region_load load_of(const std::string& service) const;
    double local_caller_fraction() const;

    std::unique_ptr<key_trust> key_trust_;
    std::unordered_map<std::string, work_estimate> work_;
    std::unordered_map<std::string, retry_budget> retries_;
    std::unordered_map<std::string, waiting_line> lines_;
    std::unordered_map<std::string, region_split> splits_;
    std::unordered_map<waiting_id, std::weak_ptr<request_flow>> waiting_;
    std::unordered_map<std::string, std::map<std::string, double>>
        service_credits_;
    std::unordered_map<std::string, double> logged_fractions_;
    waiting_id last_waiting_id_ = 0;
};

} // namespace siskinflow::gateway
