/// @file
/// @brief Attempts of requests at targets; private to the data path.
#pragma once

#include <siskinflow/admission/retry_budget.hpp>
#include <siskinflow/entry/data_path.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace siskinflow::entry
{

/// @brief Result of a request, determined by its last attempt.
struct request_result
{
    request_outcome outcome = request_outcome::unknown;
    std::string reason; ///< Name of a refusal reason or of the failure.
    int status = 0;     ///< Of the target, if it answered.
};

/// @brief Callbacks of the attempts into the data path.
class attempt_owner
{
public:
    virtual ~attempt_owner() = default;

    /// @brief Releases the slot of a target.
    /// @param delay time until the target has certainly seen a cancellation
    virtual void release_slot(std::string_view target, duration delay) = 0;

    /// @brief Settles the link budget with the bytes of the response.
    virtual void settle_link(const routing::selected_target& chosen,
                             const route_config& route, std::size_t bytes) = 0;

    /// @brief Queues the request again, so that another target is chosen.
    virtual void requeue(const request_ptr& req) = 0;

    /// @brief Called when the request has ended; an answer that was started is
    /// complete or aborted.
    virtual void on_request_ended(const request_ptr& req,
                                  const request_result& end) = 0;
};

/// @brief Sends requests to chosen targets and passes their answers on.
class target_calls
{
public:
    target_calls(const data_path_dependencies& dependencies,
                 attempt_owner& owner, routing::target_selector& selector,
                 routing::target_health& health, routing::random_source& rng);

    /// @brief Sends a request to the target that was chosen for it; its slot
    /// has been taken.
    void start(const request_ptr& req);

    /// @brief Closes the connections of idempotent requests at a target, the
    /// newest first, because no lease covers their slots.
    /// @param count most requests to end
    void end_requests_without_lease(std::string_view target, std::size_t count);

    /// @brief Retry budget of a route.
    retry_budget& retry_budget_for(std::string_view route);

private:
    class attempt;
    friend class attempt;

    const data_path_dependencies& dependencies_;
    attempt_owner& owner_;
    routing::target_selector& selector_;
    routing::target_health& health_;
    routing::random_source& rng_;
    std::unordered_map<std::string, retry_budget> retry_budgets_;
    std::map<queue_item_id, attempt*>
        running_attempts_; ///< In order of arrival.
};

/// @brief Builds the request to a target: hop-by-hop fields and the tenant key
/// are removed, the remaining time is added.
net::client_request make_target_request(const request& req, time_point now);

} // namespace siskinflow::entry
