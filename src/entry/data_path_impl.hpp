/// @file
/// @brief State and steps of the data path; private to its sources.
#pragma once

#include "admission_checks.hpp"
#include "slot_demand.hpp"
#include "target_calls.hpp"
#include <siskinflow/admission/tenant_keys.hpp>
#include <siskinflow/entry/data_path.hpp>
#include <siskinflow/routing/route_table.hpp>
#include <siskinflow/routing/shift_limiter.hpp>

#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace siskinflow::entry
{

/// @brief Name of the queue of an organisation on a route.
inline std::string queue_class_name(std::string_view organisation,
                                    std::string_view route)
{
    return std::string(organisation) + "|" + std::string(route);
}

/// @brief Longest wait in the queue on a used-up rate budget. A caller at its
/// rate may be a few requests early; one far above it is refused at once.
constexpr duration max_wait_on_exhausted_budget =
    std::chrono::milliseconds(250);

/// @brief Arrivals per second, averaged over about a second.
class arrival_meter
{
public:
    /// @brief Counts an arrival.
    void count(time_point now)
    {
        rate_at_update_ = rate(now) + 1;
        updated_ = now;
    }

    double rate(time_point now) const
    {
        return rate_at_update_ * std::exp(-to_seconds(now - updated_));
    }

private:
    double rate_at_update_ = 0;
    time_point updated_{};
};

struct data_path::impl final : attempt_owner
{
    impl(data_path_options given,
         const data_path_dependencies& given_dependencies)
        : options(std::move(given)), dependencies(given_dependencies),
          rng(options.seed), selector(selector_options(options), health),
          calls(dependencies, *this, selector, health, rng)
    {
    }

    ~impl() override
    {
        // Breaks the reference cycle between request, attempt and observer,
        // which exists while a call is in progress.
        for (const auto& [id, req] : requests)
        {
            req->cancel_pending = nullptr;
            req->call.reset();
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    static routing::selector_settings
    selector_options(const data_path_options& options)
    {
        routing::selector_settings settings;
        settings.vm = options.vm;
        settings.region = options.region;
        return settings;
    }

    // Configuration

    void configure(std::shared_ptr<const configuration> next, std::size_t vms);
    void configure_queues();
    void refuse_withdrawn_keys();
    bool is_key_valid(const request& req) const;

    // Admission

    void handle(net::exchange_ptr exchange);
    bool may_become_fresh(time_point now);
    void admit(const request_ptr& req);
    void refuse_on_arrival(const request_ptr& req, refusal_reason reason);
    void begin_permit(const request_ptr& req);
    void answer_from_earlier_copy(const request_ptr& req,
                                  const permit_admission& start);
    void wait_for_first_copy(const request_ptr& req, permit_sequence sequence);
    void ask_issuer(const request_ptr& req);
    void finish_with_permit_result(const request_ptr& req,
                                   const permit_result& end);
    void enqueue(const request_ptr& req);
    bool is_over_rate(const request& req) const;
    bool exceeds_share_rate(const request& req, time_point now) const;
    void register_cancel_handler(const request_ptr& req);
    void on_caller_disconnected(const request_ptr& req);

    // Dispatch

    void serve_queue();
    bool can_leave_queue(const request_ptr& req, time_point now);
    bool take_rate_token(const request_ptr& req, time_point now);
    void return_rate_token(const request_ptr& req, time_point now);
    bool choose_target(const request_ptr& req, time_point now);
    void dispatch(const request_ptr& req, time_point now);
    void refuse_expired(time_point now);
    void end_requests_without_lease(time_point now);
    void report_queue_lengths();

    // End of a request

    void refuse(const request_ptr& req, refusal_reason reason);
    void refuse(const request_ptr& req, std::string_view reason_name,
                net::http_response response);
    void finish_unknown(const request_ptr& req, std::string_view reason);
    void void_permit(const request& req, std::string_view reason);
    void record_outcome(const request_ptr& req, request_outcome outcome,
                        std::string_view reason, int status);
    void remove_request(const request_ptr& req);
    std::string new_permit(const request& req);

    void release_slot(std::string_view target, duration delay) override;
    void settle_link(const routing::selected_target& chosen,
                     const route_config& route, std::size_t bytes) override;
    void requeue(const request_ptr& req) override;
    void on_request_ended(const request_ptr& req,
                          const request_result& end) override;

    void withdraw_from_shift(const request& req, refusal_reason reason);

    data_path_options options;
    data_path_dependencies dependencies;
    routing::random_source rng;
    std::shared_ptr<const configuration> config;
    std::unique_ptr<routing::route_table> routes;
    tenant_keys keys;
    routing::target_health health;
    routing::target_selector selector;
    target_calls calls;
    fair_queue queue;
    slot_demand demand;
    std::unordered_map<std::string, routing::shift_limiter> shift_limiters;
    std::unordered_map<queue_item_id, request_ptr> requests;
    queue_item_id last_request_id = 0;
    std::unordered_set<std::string> endpoint_probes;
    std::unordered_map<budget_id, arrival_meter> arrivals;
    struct organisation_queues
    {
        budget_id rate;
        std::vector<std::string> classes;
    };
    std::vector<organisation_queues> queues;
    /// Slots of closed connections that are released after a delay, by target.
    std::unordered_map<std::string, std::uint32_t> delayed_releases;
    std::size_t body_bytes = 0;
    bool serving_queue = false;
    time_point next_health_check{};
    std::optional<time_point> last_fresh;
};

} // namespace siskinflow::entry
