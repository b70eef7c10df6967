#include "request_flow.hpp"
#include <siskinflow/core/enum_name.hpp>

#include <algorithm>
#include <array>

// Completion of a request: answers, refusals, failures and their log lines.

namespace siskinflow::gateway
{

namespace
{

/// Minimum retry-after time: about one answer of a target.
constexpr duration min_retry_after = std::chrono::milliseconds(100);
/// The retry-after time is at most the caller's remaining time divided by this.
constexpr int retry_after_divisor = 3;

constexpr std::array<std::string_view, 7> failure_names = {
    "connection_lost", "bad_answer",  "target_failed", "timed_out",
    "cut_by_stop",     "sent_before", "no_memory"};

} // namespace

std::string_view name(failure_reason value) noexcept
{
    return enum_name(failure_names, value);
}

void request_flow::on_deadline()
{
    if (ended_)
    {
        return;
    }
    const auto self = shared_from_this();
    const bool no_memory = lacks_memory();
    give_up_call(no_memory ? attempt_result::abandoned
                           : attempt_result::no_answer);
    end_unserved(refusal_reason::deadline_exceeded_in_queue,
                 no_memory ? failure_reason::no_memory
                           : failure_reason::timed_out,
                 std::nullopt);
    state_.place_waiting(service_);
}

void request_flow::cut_by_stop()
{
    if (ended_)
    {
        return;
    }
    const auto self = shared_from_this();
    give_up_call(attempt_result::abandoned);
    end_unserved(refusal_reason::leaving, failure_reason::cut_by_stop,
                 min_retry_after);
}

/// @param result of an attempt that has reached its target
void request_flow::give_up_call(attempt_result result)
{
    if (call_ == nullptr)
    {
        return;
    }
    const bool sent = call_->sent();
    call_->cancel();
    release_target(sent ? result : attempt_result::unreachable);
}

void request_flow::on_caller_gone()
{
    if (ended_)
    {
        return;
    }
    const auto self = shared_from_this();
    if (call_ != nullptr)
    {
        call_->cancel();
        release_target(attempt_result::abandoned);
    }
    end_cancelled();
    if (!service_.empty())
    {
        state_.place_waiting(service_);
    }
}

void request_flow::end_cancelled()
{
    log_not_served(0, "cancelled", std::nullopt);
    finish();
}

void request_flow::deliver()
{
    const bool success = status_ < 500;
    state_.metric_set
        .counter(metric_id::requests, {route_->name, organisation_name(),
                                       success ? "ran" : "unknown"})
        .add();
    state_.metric_set.latency(metric_id::request_latency, {route_->name})
        .observe(elapsed());
    if (success)
    {
        log_served(status_);
    }
    else
    {
        log_not_served(status_, "target_answered_failure", std::nullopt);
    }
    state_.targets.exchange_sizes(service_).observe(request_body_bytes_ +
                                                    body_->size());
    state_.targets.answer_sizes(service_).observe(body_->size());
    // The exchange accounts for the body from here on. Nothing else can take
    // the room meanwhile, because waiting owners are called from the loop.
    exchange_->respond_in_parts(status_, headers_, body_->take());
    finish();
}

/// Ends a request that no target has answered: refused if it has certainly not
/// run, otherwise with a failure that promises nothing.
void request_flow::end_unserved(refusal_reason refusal, failure_reason failure,
                                std::optional<duration> retry_after)
{
    if (const auto proof = attempts_->report_not_run())
    {
        refuse(*proof, refusal, retry_after);
        return;
    }
    fail_with(failure);
}

/// The statuses 408, 421, 429 and 503 promise that the request has not run and
/// never will, so nothing else may answer with them.
void request_flow::refuse(not_run_proof /*proof*/, refusal_reason reason,
                          std::optional<duration> retry_after)
{
    state_.metric_set.counter(metric_id::refusals, {siskinflow::name(reason)})
        .add();
    if (retry_after)
    {
        const duration max_retry_after =
            (deadline_ - state_.now()) / retry_after_divisor;
        retry_after = std::max(
            min_retry_after, std::min<duration>(*retry_after, max_retry_after));
    }
    answer(http_status(reason), siskinflow::name(reason), retry_after);
}

void request_flow::fail_with(failure_reason reason)
{
    constexpr int bad_gateway = 502;
    constexpr int gateway_timeout = 504;
    state_.metric_set
        .counter(metric_id::unknown_outcomes, {gateway::name(reason)})
        .add();
    answer(reason == failure_reason::timed_out ? gateway_timeout : bad_gateway,
           gateway::name(reason), std::nullopt);
}

void request_flow::answer(int status, std::string_view reason,
                          std::optional<duration> retry_after)
{
    net::http_response out;
    out.status = status;
    out.headers = state_.protocol.gateway_answer_headers(caller_fields_);
    out.headers.add("content-type", "application/json");
    if (retry_after)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.3f", to_seconds(*retry_after));
        out.headers.add("retry-after", text);
    }
    out.body = "{\"reason\":\"" + std::string(reason) + "\"}\n";
    log_not_served(status, reason, retry_after);
    exchange_->respond(std::move(out));
    finish();
}

void request_flow::finish()
{
    ended_ = true;
    stop_waiting();
    state_.loop.cancel(deadline_timer_);
    state_.loop.cancel(attempt_timer_);
    call_.reset();
    body_.reset();
    state_.in_progress.erase(shared_from_this());
}

// Log

std::string_view request_flow::organisation_name() const
{
    return organisation_ == nullptr ? std::string_view()
                                    : std::string_view(organisation_->name);
}

/// Why the request has certainly not run; "none" if it may have.
std::string_view request_flow::proof_name() const
{
    const auto proof = attempts_->not_run();
    return proof ? gateway::name(proof->reason()) : "none";
}

/// Adds where the answer of an attempt was read: the connection's number and
/// local port, and the answer's number on it; "none" without an answer.
void request_flow::log_position(const net::answer_position& position)
{
    answers_log_ += answers_log_.empty() ? "" : ",";
    answers_log_ += position.connection == 0
                        ? "none"
                        : std::to_string(position.connection) + ":" +
                              std::to_string(position.local_port) + ":" +
                              std::to_string(position.answer) +
                              (position.id_repeated ? ":repeated" : "");
}

duration request_flow::elapsed() const
{
    return state_.now() - arrived_;
}

void request_flow::log_served(int status)
{
    if (!state_.log.accepts(event_id::request_served))
    {
        return;
    }
    state_.log.write(event_id::request_served,
                     {{"request", caller_fields_.id},
                      {"route", route_->name},
                      {"organisation", organisation_name()},
                      {"service", service_},
                      {"target", target_->record().id},
                      {"object", gateway::name(placement_.object)},
                      {"rank", placement_.rank},
                      {"attempts", tried_targets_.size()},
                      {"waited_ms", to_ms(waited_)},
                      {"total_ms", to_ms(elapsed())},
                      {"status", status},
                      {"policy", policy_->document().version},
                      {"steps", attempts_log_},
                      {"answers", answers_log_},
                      {"load", load_at_send_},
                      {"expected_ms", to_ms(placement_.expected)},
                      {"objective_ms", to_ms(route_->objective)}});
}

/// A line for each further attempt of a request that must not run twice: it
/// tells what the attempt rests on.
void request_flow::log_sent_again(const target_choice& choice)
{
    if (route_->idempotent || !state_.log.accepts(event_id::order_sent_again))
    {
        return;
    }
    state_.log.write(event_id::order_sent_again,
                     {{"request", caller_fields_.id},
                      {"route", route_->name},
                      {"target", choice.chosen->record().id},
                      {"proof", proof_name()},
                      {"steps", attempts_log_},
                      {"answers", answers_log_},
                      {"policy", policy_->document().version}});
}

void request_flow::log_not_served(int status, std::string_view reason,
                                  std::optional<duration> retry_after)
{
    if (!state_.log.accepts(event_id::request_not_served))
    {
        return;
    }
    const bool has_route = route_ != nullptr;
    const double rate_fraction =
        organisation_ == nullptr
            ? 1
            : state_.shares[organisation_->name].fraction();
    state_.log.write(
        event_id::request_not_served,
        {{"request", caller_fields_.id},
         {"route", has_route ? route_->name : std::string()},
         {"organisation", organisation_name()},
         {"service", service_},
         {"reason", reason},
         {"status", status},
         {"attempts", tried_targets_.size()},
         {"waited_ms", to_ms(waited_)},
         {"total_ms", to_ms(elapsed())},
         {"steps", attempts_log_},
         {"answers", answers_log_},
         {"proof", proof_name()},
         {"retry_after_ms", retry_after ? to_ms(*retry_after) : 0},
         {"policy", policy_ == nullptr ? 0 : policy_->document().version},
         {"policy_age_ms", to_ms(state_.now() - state_.policy_since)},
         {"waiting", state_.queue_of(service_).size()},
         {"targets", state_.targets.of_service(service_).size()},
         {"share", rate_fraction},
         {"left_ms", to_ms(deadline_ - state_.now())}});
}

} // namespace siskinflow::gateway
