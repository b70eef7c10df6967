/// @file
/// @brief State shared by the requests of a gateway; internal to the gateway.
#pragma once

#include <siskinflow/admission/retry_budget.hpp>
#include <siskinflow/gateway/gateway_settings.hpp>
#include <siskinflow/gateway/key_acceptance.hpp>
#include <siskinflow/gateway/load/load_sharing.hpp>
#include <siskinflow/gateway/message_codec.hpp>
#include <siskinflow/gateway/order_histories.hpp>
#include <siskinflow/gateway/peers.hpp>
#include <siskinflow/gateway/planned_stop.hpp>
#include <siskinflow/gateway/policy.hpp>
#include <siskinflow/gateway/rate_share.hpp>
#include <siskinflow/gateway/region_split.hpp>
#include <siskinflow/gateway/target_chooser.hpp>
#include <siskinflow/gateway/targets.hpp>
#include <siskinflow/gateway/wait_queue.hpp>
#include <siskinflow/gateway/work_estimate.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/net/memory_budget.hpp>
#include <siskinflow/store/store.hpp>
#include <siskinflow/telemetry/log.hpp>
#include <siskinflow/telemetry/metrics.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace siskinflow::gateway
{

class request_flow;

/// @brief State of one gateway process, used only by its event loop.
struct gateway_state
{
    gateway_state(net::event_loop& loop, net::http_caller& http_client,
                  const message_codec& protocol, event_log& log,
                  metrics& metric_set, gateway_settings settings);

    net::event_loop& loop;
    net::http_caller& http_client;
    const message_codec& protocol;
    event_log& log;
    metrics& metric_set;
    gateway_settings settings;
    /// Bytes that are held for callers.
    std::shared_ptr<net::memory_budget> memory;

    std::shared_ptr<const policy_index> policy; ///< Null until one is known.
    time_point policy_since{};
    /// Time of the last query with which the store confirmed that it has no
    /// newer policy.
    time_point policy_confirmed{};
    target_directory targets;
    target_chooser chooser;
    peer_table peers;
    load_outbox load_reports; ///< For the VMs of the failure domain.
    std::unordered_map<std::string, rate_share> shares; ///< By organisation.
    /// Organisations with a rate limit, by their number in peer messages.
    std::unordered_map<std::uint32_t, std::string> organisation_by_number;
    std::unordered_set<std::shared_ptr<request_flow>> in_progress;
    order_histories orders;
    std::optional<planned_stop> stop; ///< Empty until a stop is requested.
    bool had_requests = false;        ///< Whether a request has been admitted.
    time_point started_at;

    time_point now() const
    {
        return loop.now();
    }

    /// @brief Whether the policy was confirmed recently enough to accept keys.
    bool accepts_keys() const
    {
        return key_acceptance_->accepts_keys(now() - policy_confirmed);
    }

    /// @brief Work time of a route's requests at a service.
    work_estimate& work(const route_policy& route, const std::string& service);

    /// @brief Retry budget of a service.
    retry_budget& retries(const std::string& service);

    /// @brief Waiting requests of a service.
    wait_queue& queue_of(const std::string& service)
    {
        return wait_queues_[service];
    }

    /// @brief Service for the next request of a route, in proportion to the
    /// weights.
    const std::string& next_service(const route_policy& route);

    /// @brief Adds a request to the wait queue of its service.
    waiting_id wait(const std::string& service, waiting_rank rank,
                    const std::shared_ptr<request_flow>& flow);

    /// @brief Removes a request from the wait queue.
    void stop_waiting(const std::string& service, waiting_id id);

    /// @brief Places waiting requests of a service while there is room.
    void place_waiting(const std::string& service);

    /// @brief Places waiting requests of all services.
    void place_all_waiting();

    /// @brief Applies a policy if it is newer than the one in force; an older
    /// one is refused.
    /// @return whether it was applied
    bool apply_policy(gateway::policy next, store_revision revision);

    /// @brief Updates this VM's shares of all fleet-wide limits.
    void update_shares();

    /// @brief Updates the rates that this VM may send to cold targets from the
    /// known VMs.
    void update_cold_rates();

    /// @brief Sets the rate that this VM may send to a target, if it is cold.
    void limit_if_cold(target& entry);

    /// @brief Applies what a target has said about the requests that it wants.
    /// Requests that were placed on it and not sent are placed again.
    /// @param told_by request id of the answer, or name of the VM that told it
    void on_target_wish(const target_ptr& entry, const target_wish& wish,
                        std::string_view told_by);

    /// @brief Places requests again that were placed on a target which takes no
    /// more, and were not sent. To be called after every change that takes a
    /// target out of service, whoever told it.
    void withdraw_unsent();

    /// @brief Called when an answer has told that a target is leaving.
    std::function<void(const target_record&)> on_target_leaving;

    /// @brief Decides which requests of a service go to other regions.
    region_split& split(const std::string& service);

    /// @brief As `work`, `split` and `queue_of`; null if there was no request
    /// yet.
    const work_estimate* find_work(const route_policy& route,
                                   const std::string& service) const;
    const region_split* find_split(const std::string& service) const;
    const wait_queue* find_queue(const std::string& service) const;

    /// @brief Adjusts the region splits to the current load.
    void update_splits();

private:
    void on_pause_end(const target_ptr& entry);
    void limit_cold(target& entry, const std::vector<std::string>& vms);
    region_load load_of(const std::string& service) const;
    double local_caller_fraction() const;

    std::unique_ptr<key_acceptance> key_acceptance_;
    std::unordered_map<std::string, work_estimate> work_;
    std::unordered_map<std::string, retry_budget> retries_;
    std::unordered_map<std::string, wait_queue> wait_queues_;
    std::unordered_map<std::string, region_split> splits_;
    std::unordered_map<waiting_id, std::weak_ptr<request_flow>> waiting_;
    std::unordered_map<std::string, std::map<std::string, double>>
        service_credits_;
    std::unordered_map<std::string, double> logged_fractions_;
    waiting_id last_waiting_id_ = 0;
};

} // namespace siskinflow::gateway
