#include "data_path_impl.hpp"

#include <algorithm>
#include <utility>

namespace siskinflow::entry
{

namespace
{

/// Tolerance for the measured arrival rate, which varies around the true one.
constexpr double arrival_tolerance = 1.05;
/// Time that requests wait for freshness instead of being refused: a VM that
/// learns of a newer revision is not fresh until it has fetched it.
constexpr duration freshness_wait = std::chrono::seconds(1);

} // namespace

// Admission

void data_path::impl::handle(net::exchange_ptr exchange)
{
    const time_point now = dependencies.time.now();
    auto req = std::make_shared<request>();
    req->id = ++last_request_id;
    req->exchange = std::move(exchange);
    req->received = now;
    req->config = config;
    req->body_bytes = req->exchange->request().body.size();
    requests.emplace(req->id, req);
    body_bytes += req->body_bytes;
    register_cancel_handler(req);

    check_context context{options, config.get(), routes.get(),
                          keys,    body_bytes,   now};
    refusal_reason refusal = check_request(*req, context);
    if (req->route != nullptr)
    {
        dependencies.observer.on_received(*req);
    }
    if (req->route != nullptr && !req->route->open && !may_become_fresh(now))
    {
        // Takes precedence over other reasons, whose responses may disclose the
        // outcome of earlier copies.
        refusal = refusal == refusal_reason::none || !req->permit_text.empty()
                      ? refusal_reason::not_fresh
                      : refusal;
    }
    if (refusal == refusal_reason::none && !dependencies.accepts_requests())
    {
        refusal = refusal_reason::leaving;
    }
    const bool has_permit = req->exchange->request().headers.count(
                                header_names::idempotency_key) != 0;
    if (refusal == refusal_reason::no_configuration && has_permit)
    {
        // An earlier copy may have run on another VM. Without routes and keys
        // the permit can't be settled, so "not run" might be false.
        finish_unknown(req, name(refusal));
        return;
    }
    if (refusal != refusal_reason::none)
    {
        refuse_on_arrival(req, refusal);
        return;
    }
    admit(req);
}

/// Refuses a request. One that carries a permit may be a copy of a request
/// that runs, and a delayed copy of it may follow, so "not run" is reported
/// only after the permit has been voided.
void data_path::impl::refuse_on_arrival(const request_ptr& req,
                                        refusal_reason reason)
{
    if (req->permit_text.empty())
    {
        refuse(req, reason);
        return;
    }
    req->arrival_refusal = reason;
    begin_permit(req);
}

/// Whether this VM is fresh or was so recently that waiting is worthwhile.
bool data_path::impl::may_become_fresh(time_point now)
{
    if (dependencies.is_fresh())
    {
        last_fresh = now;
    }
    return last_fresh.has_value() && now - *last_fresh < freshness_wait;
}

void data_path::impl::admit(const request_ptr& req)
{
    req->queue_class = queue_class_name(req->organisation, req->route->name);
    req->rate_budget = organisation_budget(req->organisation);
    req->shift_limiter = &shift_limiters.at(req->route->name);
    if (req->route->idempotent)
    {
        enqueue(req);
        return;
    }
    if (req->permit_text.empty())
    {
        refuse(req, refusal_reason::permit_required);
        return;
    }
    begin_permit(req);
}

void data_path::impl::begin_permit(const request_ptr& req)
{
    const permit_claim claim{req->permit_text, req->organisation,
                             req->route->name};
    const permit_admission start =
        dependencies.permits.admit(claim, dependencies.time.now());
    dependencies.observer.on_permit(start.disposition);
    const refusal_reason refusal = req->arrival_refusal;
    const bool is_refused = refusal != refusal_reason::none;
    switch (start.disposition)
    {
    case permit_disposition::proceed:
        req->permit = start.sequence;
        if (is_refused)
        {
            refuse(req, refusal);
            return;
        }
        enqueue(req);
        return;
    case permit_disposition::wait_for_first:
    case permit_disposition::already_ran:
    case permit_disposition::unknown:
    case permit_disposition::voided:
        answer_from_earlier_copy(req, start);
        return;
    case permit_disposition::expired:
        refuse(req, is_refused ? refusal : refusal_reason::permit_expired);
        return;
    case permit_disposition::invalid:
        refuse(req, is_refused ? refusal : refusal_reason::permit_invalid);
        return;
    case permit_disposition::foreign:
        ask_issuer(req);
        return;
    }
}

void data_path::impl::answer_from_earlier_copy(const request_ptr& req,
                                               const permit_admission& start)
{
    if (!req->route->open && !dependencies.is_fresh())
    {
        // Applies also while the VM may become fresh again, because the copy is
        // not queued and its key is not checked later.
        req->arrival_refusal = refusal_reason::not_fresh;
    }
    if (start.disposition == permit_disposition::wait_for_first &&
        req->arrival_refusal != refusal_reason::not_fresh)
    {
        wait_for_first_copy(req, start.sequence);
        return;
    }
    finish_with_permit_result(req, start.end);
}

void data_path::impl::wait_for_first_copy(const request_ptr& req,
                                          permit_sequence sequence)
{
    const auto wait_id = dependencies.permits.wait(
        sequence, [this, req](const permit_result& end)
        { finish_with_permit_result(req, end); });
    if (!wait_id.has_value())
    {
        finish_with_permit_result(req,
                                  {permit_state::unknown, nullptr,
                                   std::string(permit_reasons::in_progress)});
        return;
    }
    const auto id = wait_id.value();
    req->cancel_pending = [this, sequence, id]
    { dependencies.permits.cancel_wait(sequence, id); };
    req->pending_timer = dependencies.timers.schedule(
        req->deadline,
        [this, req, sequence, id]
        {
            req->pending_timer = 0;
            dependencies.permits.cancel_wait(sequence, id);
            finish_with_permit_result(
                req, {permit_state::unknown, nullptr,
                      std::string(permit_reasons::in_progress)});
        });
}

void data_path::impl::ask_issuer(const request_ptr& req)
{
    const permit_claim claim{req->permit_text, req->organisation,
                             req->route->name};
    dependencies.resolver.resolve(
        claim, req->deadline - dependencies.time.now(),
        [this, req](result<permit_outcome> outcome)
        {
            if (!outcome.has_value())
            {
                finish_with_permit_result(
                    req, {permit_state::unknown, nullptr,
                          std::string(name(
                              refusal_reason::permit_issuer_unreachable))});
                return;
            }
            finish_with_permit_result(req, to_permit_result(outcome.value()));
        });
}

void data_path::impl::finish_with_permit_result(const request_ptr& req,
                                                const permit_result& end)
{
    if (requests.count(req->id) == 0)
    {
        return;
    }
    dependencies.timers.cancel(req->pending_timer);
    req->cancel_pending = nullptr;
    if (req->arrival_refusal != refusal_reason::none &&
        end.state == permit_state::voided)
    {
        refuse(req, req->arrival_refusal);
        return;
    }
    if (req->arrival_refusal == refusal_reason::not_fresh)
    {
        // The key may have been withdrawn, so the answer is not disclosed; "not
        // run" would be false.
        finish_unknown(req, name(refusal_reason::not_fresh));
        return;
    }
    request_outcome outcome = request_outcome::unknown;
    std::string_view reason = end.reason;
    if (end.state == permit_state::voided)
    {
        outcome = request_outcome::not_run;
    }
    else if (end.state == permit_state::ran)
    {
        // The first copy was counted as run; this one did not run itself.
        outcome = request_outcome::not_run;
        reason = name(refusal_reason::already_ran);
    }
    net::http_response response =
        earlier_outcome_response(end, new_permit(*req));
    record_outcome(req, outcome, reason, response.status);
    if (req->exchange != nullptr)
    {
        req->exchange->respond(std::move(response));
    }
    remove_request(req);
}

void data_path::impl::enqueue(const request_ptr& req)
{
    if (!req->route->open && req->attempts == 0)
    {
        // Demand is counted here, because a request that waits behind others
        // does not request tokens itself, and a refused one is demand as well.
        arrivals[req->rate_budget].count(dependencies.time.now());
        dependencies.budgets.shares().count_arrival(req->rate_budget, 1,
                                                    dependencies.time.now());
    }
    if (is_over_rate(*req))
    {
        refuse(req, refusal_reason::rate_exceeded);
        return;
    }
    const admission_result admitted = queue.push(
        req->queue_class, req->id, req->deadline, dependencies.time.now());
    if (!admitted.admitted)
    {
        refuse(req, admitted.reason);
        return;
    }
    req->shift_limiter->offered(dependencies.time.now());
    serve_queue();
}

bool data_path::impl::is_over_rate(const request& req) const
{
    const time_point now = dependencies.time.now();
    if (req.route->open || req.has_rate_token ||
        !dependencies.budgets.shares().exhausted(req.rate_budget, now) ||
        !exceeds_share_rate(req, now))
    {
        return false;
    }
    const organisation_config* tenant =
        config->find_organisation(req.organisation);
    const double allowed =
        tenant == nullptr
            ? 0
            : tenant->rate_per_s * to_seconds(max_wait_on_exhausted_budget);
    return static_cast<double>(queue.size(req.queue_class)) >=
           std::max(1.0, allowed);
}

/// Whether the arrival rate exceeds the share. Without this check, requests
/// that queued while their share had no owner would be refused for exceeding
/// the rate, although they arrived within it.
bool data_path::impl::exceeds_share_rate(const request& req,
                                         time_point now) const
{
    const auto found = arrivals.find(req.rate_budget);
    const double share =
        dependencies.budgets.shares().held(req.rate_budget, now).size;
    return found != arrivals.end() && share > 0 &&
           found->second.rate(now) > share * arrival_tolerance;
}

void data_path::impl::register_cancel_handler(const request_ptr& req)
{
    req->exchange->on_cancel(
        [this, weak = std::weak_ptr<request>(req)]
        {
            if (const auto req = weak.lock())
            {
                on_caller_disconnected(req);
            }
        });
}

void data_path::impl::on_caller_disconnected(const request_ptr& req)
{
    if (requests.count(req->id) == 0)
    {
        return;
    }
    const bool was_queued = queue.cancel(req->id);
    if (!was_queued && req->permit && req->call != nullptr)
    {
        // The target may have started the request, so the call continues and
        // its outcome is kept for the caller's next copy. A call that was
        // paused for the caller has to be resumed here; nothing else resumes
        // it.
        req->exchange.reset();
        req->call->resume();
        return;
    }
    const bool sent =
        req->may_have_run || (req->call != nullptr && req->call->sent());
    if (const auto cancel = std::exchange(req->cancel_pending, nullptr))
    {
        cancel();
    }
    dependencies.timers.cancel(req->pending_timer);
    if (was_queued)
    {
        withdraw_from_shift(*req, req->wait_reason);
    }
    void_permit(*req, name(refusal_reason::cancelled));
    record_outcome(req,
                   sent ? request_outcome::unknown : request_outcome::not_run,
                   name(refusal_reason::cancelled), 0);
    remove_request(req);
    serve_queue();
}

} // namespace siskinflow::entry
