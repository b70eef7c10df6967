#include "request_flow.hpp"

#include <siskinflow/gateway/wait_decision.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Upper limit of a request's time; its route or caller may set a shorter one.
constexpr duration max_request_time = std::chrono::seconds(60);
constexpr duration no_policy_retry_after = std::chrono::milliseconds(500);
/// Another VM can take the request at once.
constexpr duration leaving_retry_after = std::chrono::milliseconds(100);

} // namespace

request_flow::request_flow(gateway_state& state, net::exchange_ptr exchange)
    : state_(state), exchange_(std::move(exchange)), policy_(state.policy),
      arrived_(state.now()), deadline_(arrived_ + max_request_time),
      waiting_since_(arrived_), sent_(arrived_),
      request_body_bytes_(exchange_->request().body.size())
{
}

// Admission

void request_flow::start()
{
    state_.in_progress.insert(shared_from_this());
    exchange_->on_cancel(
        [weak = weak_from_this()]
        {
            if (auto self = weak.lock())
            {
                self->on_caller_gone();
            }
        });
    if (const auto refused = admit())
    {
        std::optional<duration> retry_after;
        if (*refused == refusal_reason::leaving)
        {
            retry_after = leaving_retry_after;
        }
        if (*refused == refusal_reason::no_configuration ||
            *refused == refusal_reason::not_fresh)
        {
            retry_after = no_policy_retry_after;
        }
        if (*refused == refusal_reason::rate_exceeded)
        {
            retry_after =
                state_.shares[organisation_->name].wait_time(state_.now());
        }
        end_unserved(*refused, failure_reason::target_failed, retry_after);
        return;
    }
    deadline_timer_ = state_.loop.after(deadline_ - state_.now(),
                                        [weak = weak_from_this()]
                                        {
                                            if (auto self = weak.lock())
                                            {
                                                self->on_deadline();
                                            }
                                        });
    state_.had_requests = true;
    state_.retries(service_).on_request();
    prefer_other_regions_ = state_.split(service_).use_other_region(object_);
    place();
}

std::optional<refusal_reason> request_flow::admit()
{
    const net::http_request& request = exchange_->request();
    caller_fields_ = state_.protocol.read_request(request);
    if (policy_ == nullptr)
    {
        return refusal_reason::no_configuration;
    }
    if (caller_fields_.id.empty())
    {
        return refusal_reason::bad_request;
    }
    if (const auto refused = check_limits())
    {
        return refused;
    }
    route_ = policy_->find_route(request.headers.value("host"), request.path);
    if (route_ == nullptr)
    {
        return refusal_reason::unknown_route;
    }
    if (!route_->idempotent)
    {
        attempts_ = state_.orders.open(caller_fields_.id, arrived_);
    }
    if (const auto refused = check_organisation())
    {
        return refused;
    }
    const duration caller_timeout =
        caller_fields_.timeout.value_or(max_request_time);
    deadline_ = arrived_ + std::min(caller_timeout, route_->timeout);
    if (state_.stop && !state_.stop->accepts(arrived_, deadline_))
    {
        return refusal_reason::leaving;
    }
    service_ = state_.next_service(*route_);
    if (route_->affinity && !caller_fields_.object.empty())
    {
        object_ = object_hash(caller_fields_.object, service_);
    }
    return within_rate() ? std::nullopt
                         : std::optional(refusal_reason::rate_exceeded);
}

std::optional<refusal_reason> request_flow::check_limits() const
{
    const caller_limits& limits = policy_->document().limits;
    if (exchange_->request().header_bytes > limits.max_header_bytes)
    {
        return refusal_reason::header_too_large;
    }
    if (exchange_->request().body.size() > limits.max_body_bytes)
    {
        return refusal_reason::body_too_large;
    }
    return std::nullopt;
}

std::optional<refusal_reason> request_flow::check_organisation()
{
    if (!policy_->document().keys_required || route_->open)
    {
        return std::nullopt;
    }
    if (!caller_fields_.key)
    {
        return refusal_reason::missing_key;
    }
    if (!state_.accepts_keys())
    {
        return refusal_reason::not_fresh;
    }
    organisation_ = policy_->find_organisation(*caller_fields_.key);
    if (organisation_ == nullptr)
    {
        return refusal_reason::unknown_key;
    }
    return std::nullopt;
}

bool request_flow::within_rate()
{
    if (organisation_ == nullptr || organisation_->rate_per_s <= 0)
    {
        return true;
    }
    return state_.shares[organisation_->name].admit(state_.now());
}

// Placement

remaining_time request_flow::remaining() const
{
    const time_point now = state_.now();
    return {arrived_ + route_->objective - now, deadline_ - now};
}

choice_request request_flow::choice_parameters() const
{
    choice_request request;
    request.service = service_;
    request.object = object_;
    request.region_allowed = [this](std::string_view region)
    { return region_allowed(*route_, organisation_, region); };
    request.excluded = tried_targets_;
    request.prefer_other_regions = prefer_other_regions_;
    request.may_overflow = state_.split(service_).may_overflow();
    request.work = state_.work(*route_, service_).current();
    request.remaining = remaining();
    return request;
}

choice_outcome request_flow::choose()
{
    const time_point now = state_.now();
    choice_outcome out = state_.chooser.choose(choice_parameters(), now);
    region_split& split = state_.split(service_);
    const bool no_room = !out.choice && out.failure == choice_failure::no_room;
    const bool overflow = out.choice && out.choice->overflow;
    if (!prefer_other_regions_ && (no_room || overflow))
    {
        split.on_no_room(now);
    }
    if (overflow)
    {
        split.on_overflow();
    }
    return out;
}

/// Time until room is expected, at the earliest when a target that the request
/// may use wants requests again.
duration request_flow::expected_wait(waiting_rank rank) const
{
    const time_point now = state_.now();
    const duration in_queue =
        state_.queue_of(service_).expected_wait(rank, now);
    const auto wanted_again =
        state_.chooser.wanted_again_at(choice_parameters(), now);
    return wanted_again ? std::max<duration>(in_queue, *wanted_again - now)
                        : in_queue;
}

/// The exchange of a caller that has left is released at once, its `on_cancel`
/// is called in a later pass of the loop. Between the two, room that becomes
/// free must not send the request, whose body is gone.
bool request_flow::end_if_caller_gone()
{
    if (!exchange_->done())
    {
        return false;
    }
    end_cancelled();
    return true;
}

void request_flow::place()
{
    body_.reset(); // That of an earlier attempt, which is not delivered.
    if (end_if_caller_gone())
    {
        return;
    }
    const auto permission = attempts_->may_send(route_->idempotent);
    if (!permission)
    {
        end_unserved(refusal_reason::target_refused,
                     failure_reason::sent_before, std::nullopt);
        return;
    }
    const choice_outcome outcome = choose();
    if (!outcome.choice || !reserve_answer())
    {
        wait_or_refuse(outcome.choice ? choice_failure::no_room
                                      : outcome.failure);
        return;
    }
    if (!end_if_caller_gone())
    {
        send(*outcome.choice, *permission);
    }
}

/// Reserves memory for an answer of average size before the request is sent:
/// one that has been sent could only wait for it with its target's slot taken.
/// A reservation may close other connections, and that of this caller.
bool request_flow::reserve_answer()
{
    const double expected =
        state_.targets.answer_sizes(service_).average().value_or(0);
    body_ = make_body();
    const bool reserved =
        body_->reserve_expected(static_cast<std::size_t>(expected));
    if (!reserved)
    {
        body_.reset();
    }
    return reserved;
}

void request_flow::wait_or_refuse(choice_failure failure)
{
    const waiting_rank rank{organisation_ == nullptr ? route_->priority
                                                     : organisation_->priority,
                            route_->priority};
    const duration expected = expected_wait(rank);
    if (!may_wait({failure, expected, waited_, route_->objective,
                   state_.work(*route_, service_).current().warm,
                   remaining().deadline}))
    {
        end_unserved(failure == choice_failure::no_target
                         ? refusal_reason::no_target
                         : refusal_reason::region_at_capacity,
                     failure_reason::target_failed, expected);
        return;
    }
    waiting_since_ = state_.now();
    waiting_ = state_.wait(service_, rank, shared_from_this());
    const duration wait_left = max_wait(route_->objective) - waited_;
    waiting_timer_ = state_.loop.after(wait_left,
                                       [weak = weak_from_this()]
                                       {
                                           if (auto self = weak.lock())
                                           {
                                               self->on_wait_limit();
                                           }
                                       });
}

void request_flow::stop_waiting()
{
    if (waiting_ == 0)
    {
        return;
    }
    state_.stop_waiting(service_, waiting_);
    state_.loop.cancel(waiting_timer_);
    waited_ += state_.now() - waiting_since_;
    waiting_ = 0;
}

void request_flow::on_wait_limit()
{
    if (ended_ || waiting_ == 0)
    {
        return;
    }
    stop_waiting();
    end_unserved(refusal_reason::deadline_exceeded_in_queue,
                 failure_reason::target_failed, expected_wait({}));
}

bool request_flow::place_waiting()
{
    if (end_if_caller_gone())
    {
        return true;
    }
    const auto permission = attempts_->may_send(route_->idempotent);
    if (!permission)
    {
        // Another request of its id was sent or refused meanwhile.
        end_unserved(refusal_reason::target_refused,
                     failure_reason::sent_before, std::nullopt);
        return true;
    }
    const choice_outcome outcome = choose();
    if (!outcome.choice || !reserve_answer())
    {
        return false;
    }
    stop_waiting();
    if (!end_if_caller_gone())
    {
        send(*outcome.choice, *permission);
    }
    return true;
}

} // namespace siskinflow::gateway
