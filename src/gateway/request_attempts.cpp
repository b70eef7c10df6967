#include "request_flow.hpp"

#include <algorithm>

// Attempts of a request: sending, judging the answer, repeating.

namespace siskinflow::gateway
{

namespace
{

/// Whether the attempt proves that the target did not run the request.
bool is_certainly_not_run(attempt_result result)
{
    return result == attempt_result::unreachable ||
           result == attempt_result::rejected ||
           result == attempt_result::misdirected;
}

/// Statuses that promise a caller that its request has not run. From a target
/// that does not say so itself, they can't be passed on.
bool promises_not_run(int status)
{
    return status == 408 || status == 429 || status == 503;
}

} // namespace

/// A target that died silently is found long before the caller's deadline,
/// which leaves time for another one.
void request_flow::watch_attempt()
{
    constexpr int expected_multiple = 3;
    constexpr duration least = std::chrono::milliseconds(700);
    if (!route_->idempotent || runs_ + 1 >= route_->max_attempts)
    {
        return;
    }
    const duration patience =
        std::max(least, placement_.expected * expected_multiple);
    attempt_timer_ = state_.loop.after(patience,
                                       [weak = weak_from_this()]
                                       {
                                           if (auto self = weak.lock())
                                           {
                                               self->on_attempt_overdue();
                                           }
                                       });
}

/// A target that has answered any request since is slow, not dead, and its
/// work on this one would be lost. A leaving VM gives up nothing that runs.
void request_flow::on_attempt_overdue()
{
    if (ended_ || call_ == nullptr)
    {
        return;
    }
    const bool lives = target_->answered_at() > sent_;
    if (lives || state_.leaving || !choose().choice ||
        !may_repeat(attempt_result::no_answer))
    {
        watch_attempt();
        return;
    }
    call_->cancel();
    release_target(attempt_result::no_answer);
    state_.numbers
        .counter(metric_id::retries, {gateway::name(attempt_result::no_answer)})
        .add();
    place();
    state_.place_waiting(service_);
}

net::client_request request_flow::request_to(const target_choice& choice) const
{
    constexpr duration connect_in_region = std::chrono::milliseconds(250);
    constexpr duration connect_to_other_region = std::chrono::milliseconds(600);
    const net::http_request& from = exchange_->request();
    const target_record& record = choice.chosen->record();
    net::client_request out;
    out.peer = record.address;
    out.method = from.method;
    out.target = from.query.empty() ? from.path : from.path + "?" + from.query;
    out.headers = state_.speech.forward(
        from, {record.id, organisation_name(), left().deadline});
    out.body = std::string(from.body);
    out.connect_timeout =
        state_.targets.where(*choice.chosen) == distance::other_region
            ? connect_to_other_region
            : connect_in_region;
    out.timeout = left().deadline;
    return out;
}

void request_flow::send(const target_choice& choice)
{
    const time_point now = state_.now();
    target_ = choice.chosen;
    placement_ = choice.place;
    load_at_send_ = target_->load(now, state_.targets.usual_load(service_));
    sent_ = now;
    status_ = 0;
    headers_ = {};
    body_.clear();
    too_large_ = false;
    answer_ = {};
    target_->on_sent(now);
    state_.line(service_).on_placed(now);
    tried_.push_back(target_->record().id);
    if (object_)
    {
        // The next request on the object finds it there even if it arrives
        // before this one is answered.
        state_.targets.locations(service_).remember(*object_, tried_.back(),
                                                    now);
    }
    call_ = state_.caller.start(request_to(choice), shared_from_this());
    watch_attempt();
}

void request_flow::on_head(int status, const net::http_headers& headers,
                           std::optional<std::size_t> /*content_length*/)
{
    status_ = status;
    headers_ = headers;
    answer_ = state_.speech.read_answer(headers_, status);
}

void request_flow::on_body(std::string_view part)
{
    constexpr std::size_t most_bytes = 32U << 20;
    too_large_ = too_large_ || body_.size() + part.size() > most_bytes;
    if (!too_large_)
    {
        body_.append(part);
    }
}

attempt_result request_flow::judge(net::call_outcome outcome) const
{
    switch (outcome)
    {
    case net::call_outcome::complete:
        return judge_answer();
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

attempt_result request_flow::judge_answer() const
{
    constexpr int misdirected_status = 421;
    const bool other_request = !answer_.id.empty() && answer_.id != terms_.id;
    if (other_request || too_large_)
    {
        return attempt_result::broken;
    }
    if (status_ == misdirected_status)
    {
        return attempt_result::misdirected;
    }
    if (answer_.not_run)
    {
        return attempt_result::rejected;
    }
    const bool success = status_ >= 200 && status_ < 300;
    if (success)
    {
        const bool whole =
            answer_.signed_body && !answer_.recoded && !answer_.id.empty();
        return whole ? attempt_result::answered : attempt_result::broken;
    }
    return status_ >= 500 || promises_not_run(status_)
               ? attempt_result::failed
               : attempt_result::answered;
}

void request_flow::on_end(net::call_outcome outcome)
{
    if (ended_)
    {
        return;
    }
    const attempt_result result = judge(outcome);
    learn(result);
    release_target(result);
    const auto keep = shared_from_this();
    if (result == attempt_result::answered)
    {
        deliver();
    }
    else
    {
        repeat_or_end(result);
    }
    state_.place_waiting(service_);
}

void request_flow::learn(attempt_result result)
{
    const time_point now = state_.now();
    if (answer_.load)
    {
        state_.targets.on_load(*target_, *answer_.load, now);
    }
    if (answer_.warm_up_left)
    {
        target_->on_warm_up_left(*answer_.warm_up_left, now);
        state_.limit_if_cold(*target_);
    }
    const bool queued = load_at_send_ >= target_->record().slots;
    if (result != attempt_result::answered || queued || target_->cold(now))
    {
        return;
    }
    duration taken = now - sent_;
    if (state_.targets.where(*target_) == distance::other_region)
    {
        taken -= std::min(taken, placement_costs{}.region_round_trip);
    }
    work_estimate& work = state_.work(*route_, service_);
    warm_chance& chance = state_.targets.locations(service_).chance();
    const double expected = chance.of(placement_.object, placement_.rank);
    const bool warm = work.observe(taken, expected > 0.5);
    chance.observe(placement_.object, placement_.rank, warm);
    const work_time usual = work.current();
    target_->on_work_time(taken, warm ? usual.warm : usual.cold);
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
    steps_ += (steps_.empty() ? "" : ",") + id + ":" +
              std::string(gateway::name(result)) + ":" +
              std::to_string(to_ms(now - sent_));
    if (!is_certainly_not_run(result))
    {
        ++runs_;
        may_have_run_ = true;
    }
    call_.reset();
    state_.loop.cancel(attempt_timer_);
}

bool request_flow::may_repeat(attempt_result result) const
{
    /// Rejections that one request may meet beside the attempts that ran.
    constexpr unsigned most_rejections = 2;
    if (!is_certainly_not_run(result) && !route_->idempotent)
    {
        return false;
    }
    const work_time work = state_.work(*route_, service_).current();
    return runs_ < route_->max_attempts &&
           tried_.size() < route_->max_attempts + most_rejections &&
           left().deadline > work.warm && state_.retries(service_).take();
}

void request_flow::repeat_or_end(attempt_result result)
{
    if (may_repeat(result))
    {
        state_.numbers.counter(metric_id::retries, {gateway::name(result)})
            .add();
        place();
        return;
    }
    if (result == attempt_result::failed && answer_.signed_body &&
        !promises_not_run(status_))
    {
        deliver();
        return;
    }
    if (!may_have_run_)
    {
        refuse(refusal_reason::target_refused,
               state_.line(service_).expected_wait({}, state_.now()));
        return;
    }
    switch (result)
    {
    case attempt_result::no_answer:
        fail_with(failure_reason::timed_out);
        return;
    case attempt_result::failed:
        fail_with(failure_reason::target_failed);
        return;
    default:
        fail_with(headers_.size() > 0 ? failure_reason::bad_answer
                                      : failure_reason::connection_lost);
        return;
    }
}

} // namespace siskinflow::gateway
