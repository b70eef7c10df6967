/// @file
/// @brief State of a request in an entry VM, and its record and observer.
#pragma once

#include <siskinflow/admission/fair_queue.hpp>
#include <siskinflow/admission/tenant_keys.hpp>
#include <siskinflow/budget/budget_spec.hpp>
#include <siskinflow/config/configuration.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/timer_queue.hpp>
#include <siskinflow/entry/answers.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/permit/permit_table.hpp>
#include <siskinflow/routing/shift_limiter.hpp>
#include <siskinflow/routing/target_selector.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow::entry
{

/// @brief State of one request from its arrival to its outcome.
struct request
{
    queue_item_id id = 0;
    net::exchange_ptr exchange; ///< Empty once the caller disconnected.
    std::shared_ptr<const configuration> config;
    const route_config* route = nullptr;          ///< Belongs to `config`.
    std::string organisation;                     ///< Empty on an open route.
    std::optional<siskinflow::key_digest> digest; ///< Of the tenant key.
    std::string queue_class;
    budget_id rate_budget;                           ///< Of the organisation.
    routing::shift_limiter* shift_limiter = nullptr; ///< Of the route.
    time_point received;
    time_point deadline;
    std::size_t body_bytes = 0;

    std::string permit_text;
    std::optional<permit_sequence> permit; ///< On a non-idempotent route.
    /// Why the request is refused once its permit has been settled.
    refusal_reason arrival_refusal = refusal_reason::none;

    bool has_rate_token = false;
    refusal_reason wait_reason = refusal_reason::none;

    // Attempts at targets.
    routing::selected_target chosen;
    std::uint32_t attempts = 0;
    /// An earlier attempt ended without proof that its target did not run the
    /// request.
    bool may_have_run = false;
    /// Targets of earlier attempts; copied, because the configuration that
    /// named them may be replaced meanwhile.
    std::vector<std::string> excluded_targets;
    std::shared_ptr<net::http_call> call;
    /// Ends the attempt or wait in progress; empty if there is none.
    std::function<void()> cancel_pending;
    /// Of the pause before a retry, or of the deadline of a wait.
    timer_id pending_timer = 0;

    bool is_head() const
    {
        return exchange != nullptr && exchange->request().method == "HEAD";
    }
};

using request_ptr = std::shared_ptr<request>;

/// @brief Record of a request that has ended.
struct request_record
{
    std::string_view route; ///< Empty if the route is unknown.
    std::string_view organisation;
    std::string_view target; ///< Empty if none was chosen.
    request_outcome outcome = request_outcome::not_run;
    std::string_view reason; ///< Reason of a refusal or an unknown outcome.
    std::string_view permit;
    int status = 0;
    duration latency{0}; ///< From the arrival to the end.
};

/// @brief Receives the events of the data path.
class data_path_observer
{
public:
    virtual ~data_path_observer() = default;

    /// @brief A request for a known route has arrived.
    virtual void on_received(const request& arrived) = 0;

    /// @brief A request has ended.
    virtual void on_finished(const request_record& record) = 0;

    /// @brief Another attempt is made.
    virtual void on_retry(const request& repeated, retry_reason reason) = 0;

    /// @brief A request with a permit was looked up in the permit table.
    virtual void on_permit(permit_disposition /*disposition*/) {}

    /// @brief A target was ejected, probed or restored.
    virtual void on_health_change(const routing::health_change& change) = 0;
};

} // namespace siskinflow::entry
