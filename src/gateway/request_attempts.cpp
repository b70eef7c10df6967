#include "request_flow.hpp"
#include <siskinflow/gateway/answer_result.hpp>

#include <algorithm>

// Attempts of a request: sending, classifying the answer, retrying.

namespace siskinflow::gateway
{

namespace
{

constexpr std::size_t max_answer_bytes = 32U << 20;

} // namespace

std::shared_ptr<response_buffer> request_flow::make_body()
{
    const auto act = [weak = weak_from_this()](auto&& action)
    {
        const auto self = weak.lock();
        if (self != nullptr && self->call_ != nullptr)
        {
            action(*self);
        }
    };
    return response_buffer::make(
        *state_.memory, state_.loop, exchange_->request().peer,
        {[act]
         {
             bool released = false;
             act([&released](request_flow& self)
                 { released = self.release_request_body(); });
             return released;
         },
         [act] { act([](request_flow& self) { self.call_->pause(); }); },
         [act] { act([](request_flow& self) { self.call_->resume(); }); },
         [act]
         {
             act(
                 [](request_flow& self)
                 {
                     self.call_->cancel();
                     self.end_call_later(net::call_outcome::broken);
                 });
         }});
}

/// Releases the body of a request that has been answered, in part at least:
/// delivering the answer goes before a further attempt.
/// @return whether there was a body
bool request_flow::release_request_body()
{
    if (request_body_bytes_ == 0 || !delivers_answer_)
    {
        return false;
    }
    if (!std::exchange(request_body_released_, true))
    {
        exchange_->release_body();
    }
    return true;
}

/// Whether the present attempt waits for memory, or lost its body to others.
/// It says nothing about the target.
bool request_flow::lacks_memory() const
{
    return body_ != nullptr && (body_->waits() || body_->evicted());
}

/// Detects a target that died silently long before the caller's deadline, which
/// leaves time to try another one.
void request_flow::start_attempt_timer()
{
    constexpr int expected_time_factor = 3;
    constexpr duration min_time_limit = std::chrono::milliseconds(700);
    if (!route_->idempotent ||
        attempts_->possible_runs() + 1 >= route_->max_attempts)
    {
        return;
    }
    const duration time_limit =
        std::max(min_time_limit, placement_.expected * expected_time_factor);
    attempt_timer_ = state_.loop.after(time_limit,
                                       [weak = weak_from_this()]
                                       {
                                           if (auto self = weak.lock())
                                           {
                                               self->on_attempt_timer();
                                           }
                                       });
}

/// A target that has answered any request since this one was sent is slow, not
/// dead, and cancelling would waste its work. A VM that is stopping cancels no
/// running requests.
void request_flow::on_attempt_timer()
{
    if (ended_ || call_ == nullptr)
    {
        return;
    }
    const bool target_alive = target_->answered_at() > sent_ || lacks_memory();
    if (target_alive || state_.stop || !choose().choice || !take_retry())
    {
        start_attempt_timer();
        return;
    }
    call_->cancel();
    release_target(attempt_result::no_answer);
    state_.metric_set
        .counter(metric_id::retries, {gateway::name(attempt_result::no_answer)})
        .add();
    place();
    state_.place_waiting(service_);
}

net::client_request request_flow::request_to(const target_choice& choice) const
{
    constexpr duration connect_timeout_in_region =
        std::chrono::milliseconds(250);
    constexpr duration connect_timeout_other_region =
        std::chrono::milliseconds(600);
    const net::http_request& caller_request = exchange_->request();
    const target_record& record = choice.chosen->record();
    net::client_request out;
    out.peer = record.address;
    out.method = caller_request.method;
    out.target = caller_request.path_and_query();
    out.headers = state_.protocol.target_request_headers(
        caller_request, {record.id, organisation_name(), remaining().deadline});
    if (caller_request.body_owner != nullptr)
    {
        out.shared_body = caller_request.body;
        out.body_owner = caller_request.body_owner;
    }
    else
    {
        out.body = std::string(caller_request.body);
    }
    out.id = caller_fields_.id;
    out.connect_timeout =
        state_.targets.distance_to(*choice.chosen) == distance::other_region
            ? connect_timeout_other_region
            : connect_timeout_in_region;
    out.timeout = remaining().deadline;
    out.max_body_bytes = max_answer_bytes;
    return out;
}

void request_flow::send(const target_choice& choice, send_permission permission)
{
    const time_point now = state_.now();
    if (!attempts_log_.empty())
    {
        log_sent_again(choice);
    }
    attempts_->on_started(permission);
    target_ = choice.chosen;
    placement_ = choice.place;
    load_at_send_ =
        target_->load(now, state_.targets.average_peer_load(service_));
    sent_ = now;
    status_ = 0;
    headers_ = {};
    delivers_answer_ = false;
    answer_fields_ = {};
    target_->on_sent(now);
    state_.queue_of(service_).on_placed(now);
    tried_targets_.push_back(target_->record().id);
    if (object_)
    {
        // Recorded on sending, so that the next request for the object goes to
        // the same target even before this one is answered.
        state_.targets.locations(service_).record(*object_,
                                                  tried_targets_.back(), now);
    }
    call_ = state_.http_client.start(request_to(choice), shared_from_this());
    start_attempt_timer();
}

void request_flow::on_head(int status, const net::http_headers& headers,
                           std::optional<std::size_t> content_length)
{
    status_ = status;
    headers_ = headers;
    answer_fields_ = state_.protocol.read_answer(headers_, status);
    if (answer_fields_.id != caller_fields_.id)
    {
        refuse_foreign_answer();
        answer_fields_ = {};
        return;
    }
    if (answer_fields_.malformed_fields > 0)
    {
        state_.metric_set.counter(metric_id::malformed_answer_fields)
            .add(answer_fields_.malformed_fields);
    }
    // A wish in a 421 is that of another target.
    if (status_ != misdirected_status)
    {
        apply_wish();
    }
    delivers_answer_ = may_be_delivered(
        classify_outcome(net::call_outcome::complete), answer_fields_, status_);
    if (!delivers_answer_)
    {
        return;
    }
    if (!route_->idempotent)
    {
        release_request_body(); // An order that has run is not sent again.
    }
    // A reservation may end other requests of the same connection, and this one
    // with them.
    const auto self = shared_from_this();
    const auto body = body_;
    body->reserve(expected_body_bytes(exchange_->request().method, status,
                                      content_length, max_answer_bytes));
}

void request_flow::apply_wish()
{
    target_wish wish;
    wish.leaving = answer_fields_.leaving;
    if (answer_fields_.pause)
    {
        wish.paused_until = state_.now() + *answer_fields_.pause;
    }
    const bool first_told = wish.leaving && !target_->wish().leaving;
    state_.on_target_wish(target_, wish, caller_fields_.id);
    if (first_told && state_.on_target_leaving)
    {
        state_.on_target_leaving(target_->record());
    }
}

void request_flow::withdraw_unsent()
{
    if (ended_ || call_ == nullptr ||
        state_.targets.takes_requests(*target_, state_.now()))
    {
        return;
    }
    const auto self = shared_from_this();
    if (call_->sent())
    {
        withdraw_incomplete();
        return;
    }
    call_->cancel();
    release_target(attempt_result::withdrawn);
    // The target was not tried: its next incarnation may get the request.
    tried_targets_.pop_back();
    place();
}

/// The target has the beginning of the request at most, and may act on that.
/// An idempotent request is cut off and counts as one that may have run; it is
/// placed again if that is possible at once, within the limits of retries. An
/// order is sent to its end: cut off, it could neither be sent again nor be
/// reported as not run.
void request_flow::withdraw_incomplete()
{
    const bool has_answer = status_ != 0;
    if (!route_->idempotent || has_answer || call_->fully_sent() ||
        attempts_->possible_runs() + 1 >= route_->max_attempts ||
        !choose().choice || !take_retry())
    {
        return;
    }
    call_->cancel();
    release_target(attempt_result::withdrawn);
    state_.metric_set
        .counter(metric_id::retries, {gateway::name(attempt_result::withdrawn)})
        .add();
    place();
}

/// Bytes that belong to no request or to another one say nothing about this
/// request, and its own answer may still follow on the connection, which must
/// not serve another request.
void request_flow::refuse_foreign_answer()
{
    state_.metric_set.counter(metric_id::foreign_answers).add();
    if (state_.log.accepts(event_id::foreign_answer))
    {
        state_.log.write(event_id::foreign_answer,
                         {{"request", caller_fields_.id},
                          {"target", target_->record().id},
                          {"answer_to", answer_fields_.id},
                          {"status", status_},
                          {"says_not_run", answer_fields_.not_run}});
    }
    call_->cancel();
    end_call_later(net::call_outcome::broken);
}

/// Ends a cancelled call from the loop, because its callbacks may be running.
void request_flow::end_call_later(net::call_outcome outcome)
{
    state_.loop.post(
        [weak = weak_from_this(), call = call_, outcome]
        {
            const auto self = weak.lock();
            if (self != nullptr && self->call_ == call)
            {
                self->on_end(outcome);
            }
        });
}

void request_flow::on_body(std::string_view part)
{
    if (!delivers_answer_)
    {
        return;
    }
    const auto self = shared_from_this();
    const auto body = body_;
    body->append(part);
}

/// Copies of an answer may follow it on its connection, whole or cut so that
/// they run into the next head. Only those of a request that was served can't
/// pass for a refusal; a failure may be a refusal that is not believed.
bool request_flow::keeps_connection() const
{
    return !answer_fields_.not_run &&
           classify_outcome(net::call_outcome::complete) ==
               attempt_result::answered;
}

attempt_result request_flow::classify_outcome(net::call_outcome outcome) const
{
    switch (outcome)
    {
    case net::call_outcome::complete:
        return classify_answer(answer_fields_, status_, target_->record().id);
    case net::call_outcome::connect_failed:
    case net::call_outcome::connect_timed_out:
        return attempt_result::unreachable;
    case net::call_outcome::timed_out:
        return attempt_result::no_answer;
    case net::call_outcome::broken:
    case net::call_outcome::truncated:
    case net::call_outcome::cancelled:
        return attempt_result::broken;
    }
    return attempt_result::broken;
}

void request_flow::on_end(net::call_outcome outcome)
{
    if (ended_)
    {
        return;
    }
    const bool no_memory =
        lacks_memory() && outcome != net::call_outcome::complete;
    const attempt_result result =
        no_memory ? attempt_result::abandoned : classify_outcome(outcome);
    update_estimates(result);
    release_target(result);
    const auto self = shared_from_this();
    if (end_if_caller_gone())
    {
        // Neither an answer nor a further attempt is of use to anyone.
    }
    else if (result == attempt_result::answered)
    {
        deliver();
    }
    else if (no_memory)
    {
        end_unserved(refusal_reason::target_refused, failure_reason::no_memory,
                     std::nullopt);
    }
    else
    {
        retry_or_end(result);
    }
    state_.place_waiting(service_);
}

void request_flow::update_estimates(attempt_result result)
{
    const time_point now = state_.now();
    if (result == attempt_result::misdirected)
    {
        return; // Load and warm-up are those of another target.
    }
    if (answer_fields_.load)
    {
        state_.targets.on_load(*target_, *answer_fields_.load, now);
        state_.load_reports.record(target_->record().id, *answer_fields_.load,
                                   now);
    }
    if (answer_fields_.warm_up_left)
    {
        target_->on_warm_up_left(*answer_fields_.warm_up_left, now);
        state_.limit_if_cold(*target_);
    }
    const attempt_conditions conditions{
        load_at_send_ >= target_->record().slots, target_->cold(now),
        route_->affinity, object_.has_value()};
    if (result != attempt_result::answered || !measures_work(conditions))
    {
        return;
    }
    duration work_duration = now - sent_;
    if (state_.targets.distance_to(*target_) == distance::other_region)
    {
        work_duration -=
            std::min(work_duration, placement_costs{}.region_round_trip);
    }
    // Other work on the target's machine says nothing about the object.
    work_duration = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(work_duration) / target_->pace(now));
    work_estimate& work = state_.work(*route_, service_);
    warm_chance& chance = state_.targets.locations(service_).warm_chances();
    const double expected = chance.estimate(placement_.object, placement_.rank);
    const bool warm = work.observe(work_duration, expected > 0.5);
    chance.observe(placement_.object, placement_.rank, warm);
    const work_time estimate = work.current();
    target_->on_work_time(work_duration, warm ? estimate.warm : estimate.cold);
}

void request_flow::release_target(attempt_result result)
{
    const time_point now = state_.now();
    const bool was_ejected = target_->ejected(now);
    target_->on_ended(result, now);
    const std::string& id = target_->record().id;
    if (!was_ejected && target_->ejected(now))
    {
        state_.log.write(event_id::target_ejected,
                         {{"target", id},
                          {"route", route_->name},
                          {"reason", gateway::name(result)}});
    }
    attempts_log_ += (attempts_log_.empty() ? "" : ",") + id + ":" +
                     std::string(gateway::name(result)) + ":" +
                     std::to_string(to_ms(now - sent_));
    log_position(call_->position());
    attempts_->on_ended(result, call_->sent(), call_->position());
    call_.reset();
    state_.loop.cancel(attempt_timer_);
}

/// Takes a further attempt from the limits of the request and the budget of all
/// VMs.
bool request_flow::take_retry()
{
    /// Rejections allowed for one request in addition to the attempts that ran.
    constexpr unsigned max_rejections = 2;
    const work_time work = state_.work(*route_, service_).current();
    return !exchange_->done() && !request_body_released_ &&
           attempts_->possible_runs() < route_->max_attempts &&
           tried_targets_.size() < route_->max_attempts + max_rejections &&
           remaining().deadline > work.warm &&
           state_.retries(service_).try_take();
}

void request_flow::retry_or_end(attempt_result result)
{
    if (attempts_->may_send(route_->idempotent) && take_retry())
    {
        state_.metric_set.counter(metric_id::retries, {gateway::name(result)})
            .add();
        place();
        return;
    }
    if (delivers_answer_ && result == attempt_result::failed)
    {
        deliver();
        return;
    }
    end_unserved(refusal_reason::target_refused, failure_of(result),
                 expected_wait({}));
}

failure_reason request_flow::failure_of(attempt_result result) const
{
    switch (result)
    {
    case attempt_result::no_answer:
        return failure_reason::timed_out;
    case attempt_result::failed:
        return failure_reason::target_failed;
    default:
        return headers_.size() > 0 ? failure_reason::bad_answer
                                   : failure_reason::connection_lost;
    }
}

} // namespace siskinflow::gateway
