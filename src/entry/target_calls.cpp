#include "target_calls.hpp"

#include <algorithm>
#include <utility>

namespace siskinflow::entry
{

namespace
{

/// Most attempts of one request.
constexpr std::uint32_t max_attempts = 1 + max_retries;
/// Bytes that may wait for a slow caller before reading from the target stops.
constexpr std::size_t high_water_bytes = 256 * 1024;
/// Largest answer of a non-idempotent request kept for later copies.
constexpr std::size_t max_retained_answer_bytes = 64 * 1024;
/// Time that the target needs to detect the closed connection after a
/// cancellation; its slot is not reused earlier.
constexpr duration cancel_grace = std::chrono::milliseconds(50);
/// An attempt without a response head after this multiple of the target's
/// latency quantile is abandoned, and another target is tried.
constexpr double attempt_latency_factor = 8;
constexpr duration min_attempt_timeout = std::chrono::seconds(1);

bool is_retryable(const request& req)
{
    return req.route->idempotent && req.attempts < max_attempts;
}

bool is_not_run_status(const route_config& route, int status)
{
    const auto& statuses = route.not_run_statuses;
    return std::find(statuses.begin(), statuses.end(), status) !=
           statuses.end();
}

} // namespace

net::client_request make_target_request(const request& req, time_point now)
{
    const net::http_request& received = req.exchange->request();
    net::client_request out;
    out.peer = req.chosen.target->address;
    out.method = received.method;
    out.target = received.path_and_query();
    out.headers = received.headers;
    out.headers.remove_hop_by_hop();
    out.headers.remove("authorization");
    out.headers.remove("content-length");
    out.headers.remove("expect");
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(req.deadline -
                                                              now);
    out.headers.set(header_names::timeout, std::to_string(remaining.count()));
    out.body = std::string(received.body);
    // A pooled connection that the target has closed meanwhile would make the
    // outcome unknown.
    out.fresh_connection = !req.route->idempotent;
    out.timeout = req.deadline - now;
    return out;
}

/// One attempt of a request at a target.
class target_calls::attempt final
    : public net::call_observer,
      public std::enable_shared_from_this<target_calls::attempt>
{
public:
    attempt(target_calls& calls, request_ptr req)
        : calls_(calls), request_(std::move(req)),
          target_(request_->chosen.target->name),
          started_at_(calls.dependencies_.time.now())
    {
    }

    /// Abandons the attempt if no response head arrives within `limit`.
    void start_head_timer(duration limit)
    {
        head_timer_ = calls_.dependencies_.timers.schedule(
            started_at_ + limit, [this] { on_head_timeout(); });
    }

    void on_head(int status, const net::http_headers& headers,
                 std::optional<std::size_t> content_length) override
    {
        calls_.dependencies_.timers.cancel(head_timer_);
        status_ = status;
        head_received_at_ = calls_.dependencies_.time.now();
        refused_by_target_ = is_not_run_status(*request_->route, status);
        if (refused_by_target_)
        {
            return;
        }
        headers_ = headers;
        // The server adds its own values of these fields.
        headers_.remove("date");
        headers_.remove("server");
        headers_.set(header_names::outcome,
                     std::string(name(request_outcome::ran)));
        if (request_->exchange == nullptr)
        {
            return;
        }
        const bool head = request_->is_head();
        request_->exchange->start(
            status, headers_,
            head ? std::optional(content_length.value_or(0)) : content_length);
        resume_when_drained();
    }

    void on_body(std::string_view part) override
    {
        received_bytes_ += part.size();
        if (refused_by_target_)
        {
            return;
        }
        retain(part);
        if (request_->exchange == nullptr)
        {
            return;
        }
        undelivered_bytes_ += part.size();
        request_->exchange->write(std::string(part));
        if (undelivered_bytes_ > high_water_bytes && request_->call != nullptr)
        {
            request_->call->pause();
        }
    }

    void on_end(net::call_outcome outcome) override
    {
        calls_.dependencies_.timers.cancel(head_timer_);
        const auto keep_alive = std::move(request_->call);
        request_->cancel_pending = nullptr;
        calls_.running_attempts_.erase(request_->id);
        const time_point now = calls_.dependencies_.time.now();
        report_health(outcome, now);
        calls_.selector_.request_finished(target_);
        const bool closed =
            lease_lapsed_ || outcome == net::call_outcome::timed_out;
        calls_.owner_.release_slot(target_,
                                   closed ? cancel_grace : duration::zero());
        calls_.owner_.settle_link(request_->chosen, *request_->route,
                                  received_bytes_);
        if (outcome == net::call_outcome::timed_out)
        {
            // The path to the target may drop packets, which would affect the
            // idle connections to it as well.
            calls_.dependencies_.caller.close_idle_connections(
                request_->chosen.target->address);
        }
        finish(outcome);
    }

    /// Handles the cancellation of the call after the caller disconnected.
    void on_cancelled()
    {
        calls_.dependencies_.timers.cancel(head_timer_);
        calls_.running_attempts_.erase(request_->id);
        for (const auto& change : calls_.health_.record(
                 target_, routing::attempt_outcome::cancelled, duration::zero(),
                 calls_.dependencies_.time.now(), calls_.rng_))
        {
            calls_.dependencies_.observer.on_health_change(change);
        }
        calls_.selector_.request_finished(target_);
        calls_.owner_.release_slot(target_, cancel_grace);
        calls_.owner_.settle_link(request_->chosen, *request_->route,
                                  received_bytes_);
    }

    bool is_idempotent_at(std::string_view target) const
    {
        return request_->route->idempotent && target_ == target;
    }

    /// Ends the attempt because the lease of its slot lapsed: the owner may
    /// have granted the slot to another VM.
    void end_without_lease()
    {
        const auto keep_alive = shared_from_this();
        const bool sent = request_->call->sent();
        lease_lapsed_ = true;
        request_->call->cancel();
        on_end(sent ? net::call_outcome::broken
                    : net::call_outcome::connect_failed);
    }

private:
    void on_head_timeout()
    {
        const auto keep_alive = shared_from_this();
        const bool sent = request_->call->sent();
        request_->call->cancel();
        on_end(sent ? net::call_outcome::timed_out
                    : net::call_outcome::connect_timed_out);
    }

    void resume_when_drained()
    {
        // Capturing `this` is safe: the exchange outlives neither the request
        // nor its attempt.
        request_->exchange->on_drain(
            [this, weak = std::weak_ptr<request>(request_)]
            {
                const auto req = weak.lock();
                if (req == nullptr || req->call == nullptr)
                {
                    return;
                }
                undelivered_bytes_ = 0;
                req->call->resume();
            });
    }

    void retain(std::string_view part)
    {
        if (request_->permit && retained_body_.has_value())
        {
            *retained_body_ += part;
            if (retained_body_->size() > max_retained_answer_bytes)
            {
                retained_body_.reset();
            }
        }
    }

    void report_health(net::call_outcome outcome, time_point now)
    {
        using routing::attempt_outcome;
        attempt_outcome health_outcome = attempt_outcome::failure;
        if (lease_lapsed_)
        {
            health_outcome = attempt_outcome::cancelled;
        }
        else if (outcome == net::call_outcome::complete)
        {
            health_outcome = refused_by_target_ ? attempt_outcome::shed
                             : status_ >= 500   ? attempt_outcome::failure
                                                : attempt_outcome::success;
        }
        else if (outcome == net::call_outcome::timed_out)
        {
            health_outcome = attempt_outcome::timed_out;
        }
        const duration latency = head_received_at_.value_or(now) - started_at_;
        for (const auto& change : calls_.health_.record(
                 target_, health_outcome, latency, now, calls_.rng_))
        {
            calls_.dependencies_.observer.on_health_change(change);
        }
    }

    void finish(net::call_outcome outcome)
    {
        if (refused_by_target_ && outcome == net::call_outcome::complete)
        {
            calls_.owner_.on_request_ended(
                request_,
                {request_outcome::not_run,
                 std::string(name(refusal_reason::target_refused)), status_});
            return;
        }
        if (outcome == net::call_outcome::complete)
        {
            finish_complete();
            return;
        }
        if (status_ != 0 && !refused_by_target_)
        {
            finish_truncated(outcome);
            return;
        }
        finish_unanswered(outcome);
    }

    void finish_complete()
    {
        if (request_->permit)
        {
            (void)calls_.dependencies_.permits.complete(
                *request_->permit, status_, headers_, std::move(retained_body_),
                calls_.dependencies_.time.now());
        }
        if (request_->exchange != nullptr)
        {
            request_->exchange->finish();
        }
        calls_.owner_.on_request_ended(request_,
                                       {request_outcome::ran, {}, status_});
    }

    void finish_truncated(net::call_outcome outcome)
    {
        // The caller has part of the answer, so only closing its connection can
        // indicate that the rest is missing.
        if (request_->exchange != nullptr)
        {
            request_->exchange->abort();
        }
        calls_.owner_.on_request_ended(
            request_, {request_outcome::unknown,
                       std::string(net::name(outcome)), status_});
    }

    void finish_unanswered(net::call_outcome outcome)
    {
        if (net::never_sent(outcome))
        {
            // Proven not to have run, so any request may be tried elsewhere.
            if (request_->attempts < max_attempts &&
                retry(retry_reason::connect_failed))
            {
                return;
            }
            calls_.owner_.on_request_ended(
                request_,
                {request_outcome::not_run,
                 std::string(name(refusal_reason::connect_failed)), 0});
            return;
        }
        request_->may_have_run = true;
        const retry_reason reason = outcome == net::call_outcome::timed_out
                                        ? retry_reason::attempt_timeout
                                        : retry_reason::connection_lost;
        // Repeating a request does not relieve a target that sheds load.
        if (!refused_by_target_ && is_retryable(*request_) && retry(reason))
        {
            return;
        }
        calls_.owner_.on_request_ended(
            request_,
            {request_outcome::unknown, std::string(net::name(outcome)), 0});
    }

    bool retry(retry_reason reason)
    {
        const time_point now = calls_.dependencies_.time.now();
        if (request_->exchange == nullptr || request_->exchange->done())
        {
            return false;
        }
        retry_budget& budget = calls_.retry_budget_for(request_->route->name);
        const duration backoff =
            retry_backoff(request_->attempts - 1, calls_.rng_());
        if (now + backoff >= request_->deadline || !budget.try_take())
        {
            return false;
        }
        request_->excluded_targets.push_back(request_->chosen.target->name);
        calls_.dependencies_.observer.on_retry(*request_, reason);
        request_->pending_timer = calls_.dependencies_.timers.schedule(
            now + backoff,
            [&owner = calls_.owner_, req = request_] { owner.requeue(req); });
        return true;
    }

    target_calls& calls_;
    request_ptr request_;
    std::string target_;
    time_point started_at_;
    timer_id head_timer_ = 0;
    std::optional<time_point> head_received_at_;
    int status_ = 0;
    bool refused_by_target_ = false;
    bool lease_lapsed_ = false; ///< No lease covers its slot any more.
    net::http_headers headers_;
    std::optional<std::string> retained_body_ = std::string();
    std::size_t received_bytes_ = 0;
    std::size_t undelivered_bytes_ = 0; ///< Not yet read by the caller.
};

target_calls::target_calls(const data_path_dependencies& dependencies,
                           attempt_owner& owner,
                           routing::target_selector& selector,
                           routing::target_health& health,
                           routing::random_source& rng)
    : dependencies_(dependencies), owner_(owner), selector_(selector),
      health_(health), rng_(rng)
{
}

retry_budget& target_calls::retry_budget_for(std::string_view route)
{
    return retry_budgets_[std::string(route)];
}

void target_calls::end_requests_without_lease(std::string_view target,
                                              std::size_t count)
{
    std::vector<std::shared_ptr<attempt>> attempts_to_end;
    for (auto running = running_attempts_.rbegin();
         running != running_attempts_.rend() && attempts_to_end.size() < count;
         ++running)
    {
        if (running->second->is_idempotent_at(target))
        {
            attempts_to_end.push_back(running->second->shared_from_this());
        }
    }
    for (const auto& ended_attempt : attempts_to_end)
    {
        ended_attempt->end_without_lease();
    }
}

void target_calls::start(const request_ptr& req)
{
    const time_point now = dependencies_.time.now();
    if (req->attempts == 0)
    {
        retry_budget_for(req->route->name).on_request();
    }
    ++req->attempts;
    if (const auto change = selector_.request_started(req->chosen, now))
    {
        dependencies_.observer.on_health_change(*change);
    }
    net::client_request outgoing = make_target_request(*req, now);
    auto current = std::make_shared<attempt>(*this, req);
    if (is_retryable(*req))
    {
        const auto health = health_.observation(req->chosen.target->name, now);
        const double quantile = health ? health->latency_quantile_s : 0;
        const auto limit = std::max<duration>(
            min_attempt_timeout,
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                quantile * attempt_latency_factor)));
        // This limit is not the timeout of the call: once the head has been
        // passed on, no other target can answer, and the rest of the answer may
        // take until the deadline.
        if (limit < outgoing.timeout)
        {
            current->start_head_timer(limit);
        }
    }
    req->cancel_pending = [current, weak = std::weak_ptr<request>(req)]
    {
        if (const auto self = weak.lock())
        {
            self->call.reset();
        }
        current->on_cancelled();
    };
    running_attempts_[req->id] = current.get();
    req->call = dependencies_.caller.start(std::move(outgoing), current);
}

} // namespace siskinflow::entry
