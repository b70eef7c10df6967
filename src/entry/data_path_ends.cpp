#include "data_path_impl.hpp"

#include <utility>

namespace siskinflow::entry
{

// End of a request

std::string data_path::impl::new_permit(const request& req)
{
    if (req.route == nullptr || req.route->idempotent)
    {
        return {};
    }
    return dependencies.issuer.issue(req.organisation, req.route->name,
                                     dependencies.time.now());
}

void data_path::impl::refuse(const request_ptr& req, refusal_reason reason)
{
    if (req->may_have_run)
    {
        finish_unknown(req, name(reason));
        return;
    }
    const bool may_retry = reason != refusal_reason::unknown_key &&
                           reason != refusal_reason::missing_key &&
                           reason != refusal_reason::route_closed;
    refuse(
        req, name(reason),
        refusal_response(reason, may_retry ? new_permit(*req) : std::string()));
}

void data_path::impl::refuse(const request_ptr& req,
                             std::string_view reason_name,
                             net::http_response response)
{
    // The permit is voided before the response is sent, so that no later copy
    // can run after "not run" was reported.
    void_permit(*req, reason_name);
    record_outcome(req, request_outcome::not_run, reason_name, response.status);
    if (req->exchange != nullptr)
    {
        req->exchange->respond(std::move(response));
    }
    remove_request(req);
}

/// Ends a request whose outcome can't be known.
void data_path::impl::finish_unknown(const request_ptr& req,
                                     std::string_view reason)
{
    net::http_response response = unknown_outcome_response(reason);
    record_outcome(req, request_outcome::unknown, reason, response.status);
    if (req->exchange != nullptr)
    {
        req->exchange->respond(std::move(response));
    }
    remove_request(req);
}

/// Voids the permit of a request that is queued or whose attempts made no
/// connection.
void data_path::impl::void_permit(const request& req, std::string_view reason)
{
    if (!req.permit)
    {
        return;
    }
    if (req.attempts == 0)
    {
        (void)dependencies.permits.refuse(*req.permit, reason);
        return;
    }
    (void)dependencies.permits.not_started(*req.permit, reason);
}

void data_path::impl::record_outcome(const request_ptr& req,
                                     request_outcome outcome,
                                     std::string_view reason, int status)
{
    request_record record;
    if (req->route != nullptr)
    {
        record.route = req->route->name;
    }
    if (req->attempts > 0)
    {
        record.target = req->chosen.target->name;
    }
    record.organisation = req->organisation;
    record.outcome = outcome;
    record.reason = reason;
    record.permit = req->permit_text;
    record.status = status;
    record.latency = dependencies.time.now() - req->received;
    dependencies.observer.on_finished(record);
}

void data_path::impl::remove_request(const request_ptr& req)
{
    if (requests.erase(req->id) != 0)
    {
        body_bytes -= req->body_bytes;
    }
}

void data_path::impl::release_slot(std::string_view target, duration delay)
{
    const budget_id budget(slots_budget(target));
    if (delay <= duration::zero())
    {
        dependencies.budgets.release(budget, dependencies.time.now());
        return;
    }
    ++delayed_releases[std::string(target)];
    dependencies.timers.schedule(dependencies.time.now() + delay,
                                 [this, budget, name = std::string(target)]
                                 {
                                     if (--delayed_releases[name] == 0)
                                     {
                                         delayed_releases.erase(name);
                                     }
                                     dependencies.budgets.release(
                                         budget, dependencies.time.now());
                                     serve_queue();
                                 });
}

void data_path::impl::settle_link(const routing::selected_target& chosen,
                                  const route_config& route, std::size_t bytes)
{
    demand.settle_link(dependencies.budgets, options.region,
                       chosen.target->region, route.expected_response_bytes,
                       bytes, dependencies.time.now());
}

void data_path::impl::requeue(const request_ptr& req)
{
    req->pending_timer = 0;
    if (requests.count(req->id) == 0)
    {
        return;
    }
    enqueue(req);
}

void data_path::impl::on_request_ended(const request_ptr& req,
                                       const request_result& end)
{
    if (end.outcome == request_outcome::not_run)
    {
        const bool by_target =
            end.reason == name(refusal_reason::target_refused);
        refuse(req, by_target ? refusal_reason::target_refused
                              : refusal_reason::connect_failed);
        serve_queue();
        return;
    }
    if (end.outcome == request_outcome::unknown && req->permit)
    {
        (void)dependencies.permits.mark_unknown(*req->permit, end.reason,
                                                dependencies.time.now());
    }
    record_outcome(req, end.outcome, end.reason, end.status);
    const bool unanswered =
        end.outcome == request_outcome::unknown && end.status == 0;
    if (unanswered && req->exchange != nullptr)
    {
        req->exchange->respond(unknown_outcome_response(end.reason));
    }
    remove_request(req);
    serve_queue();
}

/// Notifies the shift limiter that an offered request will not be sent.
void data_path::impl::withdraw_from_shift(const request& req,
                                          refusal_reason reason)
{
    req.shift_limiter->withdrawn(reason == refusal_reason::shift_capped,
                                 dependencies.time.now());
}

} // namespace siskinflow::entry
