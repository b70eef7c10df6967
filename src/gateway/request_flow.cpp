#include "request_flow.hpp"

#include <siskinflow/core/ids.hpp>

#include <algorithm>
#include <array>

namespace siskinflow::gateway
{

namespace
{

/// Longest time that a request may take if neither its route nor its caller
/// says less.
constexpr duration longest_patience = std::chrono::seconds(60);
/// Part of its objective that a request may wait for room.
constexpr int objective_parts_to_wait = 2;
/// Time after which a caller is told to come back at least: one answer of a
/// target.
constexpr duration shortest_retry_after = std::chrono::milliseconds(100);
/// Part of its time within which a caller comes back after a refusal.
constexpr int patience_parts_to_return = 3;
constexpr duration no_policy_retry_after = std::chrono::milliseconds(500);

constexpr std::array<std::string_view, 5> failure_names = {
    "connection_lost", "bad_answer", "target_failed", "timed_out",
    "cut_by_stop"};

long long to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

bool contains(const std::vector<std::string>& list, std::string_view value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

std::string_view name(failure_reason value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < failure_names.size() ? failure_names[index] : "unknown";
}

request_flow::request_flow(gateway_state& state, net::exchange_ptr exchange)
    : state_(state), exchange_(std::move(exchange)), policy_(state.policy),
      arrived_(state.now()), deadline_(arrived_ + longest_patience),
      waiting_since_(arrived_), sent_(arrived_)
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
        if (*refused == refusal_reason::no_configuration)
        {
            retry_after = no_policy_retry_after;
        }
        if (*refused == refusal_reason::rate_exceeded)
        {
            retry_after = state_.shares[organisation_->name].wait(state_.now());
        }
        refuse(*refused, retry_after);
        return;
    }
    deadline_timer_ = state_.loop.after(deadline_ - state_.now(),
                                        [weak = weak_from_this()]
                                        {
                                            if (auto self = weak.lock())
                                            {
                                                self->on_time_out();
                                            }
                                        });
    state_.retries(service_).on_request();
    leaves_region_ = state_.split(service_).leaves(object_);
    place();
}

std::optional<refusal_reason> request_flow::admit()
{
    const net::http_request& request = exchange_->request();
    terms_ = state_.speech.read_request(request);
    if (policy_ == nullptr)
    {
        return refusal_reason::no_configuration;
    }
    if (terms_.id.empty())
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
    if (const auto refused = check_organisation())
    {
        return refused;
    }
    const duration patience = terms_.patience.value_or(longest_patience);
    deadline_ = arrived_ + std::min(patience, route_->timeout);
    service_ = state_.next_service(*route_);
    if (route_->affinity && !terms_.object.empty())
    {
        object_ = stable_hash(terms_.object, stable_hash(service_));
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
    if (!terms_.key)
    {
        return refusal_reason::missing_key;
    }
    organisation_ = policy_->find_organisation(*terms_.key);
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
    return state_.shares[organisation_->name].take(state_.now());
}

// Placement

time_left request_flow::left() const
{
    const time_point now = state_.now();
    return {arrived_ + route_->objective - now, deadline_ - now};
}

bool request_flow::region_allowed(std::string_view region) const
{
    const auto& of_route = route_->allowed_regions;
    if (!of_route.empty() && !contains(of_route, region))
    {
        return false;
    }
    return organisation_ == nullptr || organisation_->allowed_regions.empty() ||
           contains(organisation_->allowed_regions, region);
}

choice_outcome request_flow::choose()
{
    choice_request request;
    request.service = service_;
    request.object = object_;
    request.region_allowed = [this](std::string_view region)
    { return region_allowed(region); };
    request.excluded = tried_;
    request.leaves_region = leaves_region_;
    request.work = state_.work(*route_, service_).current();
    request.left = left();
    return state_.chooser.choose(request, state_.now());
}

void request_flow::place()
{
    const choice_outcome outcome = choose();
    if (outcome.choice)
    {
        send(*outcome.choice);
        return;
    }
    wait_or_refuse(outcome.failure);
}

bool request_flow::may_wait(duration expected) const
{
    const duration most = route_->objective / objective_parts_to_wait;
    const duration work = state_.work(*route_, service_).current().warm;
    return waited_ + expected <= most && expected + work <= left().deadline;
}

void request_flow::wait_or_refuse(choice_failure failure)
{
    waiting_line& line = state_.line(service_);
    const waiting_rank rank{organisation_ == nullptr ? route_->priority
                                                     : organisation_->priority,
                            route_->priority};
    const duration expected = line.expected_wait(rank, state_.now());
    if (failure == choice_failure::too_late || !may_wait(expected))
    {
        if (may_have_run_)
        {
            fail_with(failure_reason::target_failed);
            return;
        }
        refuse(failure == choice_failure::no_target
                   ? refusal_reason::no_target
                   : refusal_reason::region_at_capacity,
               expected);
        return;
    }
    waiting_since_ = state_.now();
    waiting_ = state_.wait(service_, rank, shared_from_this());
    const duration most = route_->objective / objective_parts_to_wait - waited_;
    waiting_timer_ = state_.loop.after(most,
                                       [weak = weak_from_this()]
                                       {
                                           if (auto self = weak.lock())
                                           {
                                               self->give_up_waiting();
                                           }
                                       });
}

void request_flow::leave_line()
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

void request_flow::give_up_waiting()
{
    if (ended_ || waiting_ == 0)
    {
        return;
    }
    leave_line();
    if (may_have_run_)
    {
        fail_with(failure_reason::target_failed);
        return;
    }
    refuse(refusal_reason::deadline_exceeded_in_queue,
           state_.line(service_).expected_wait({}, state_.now()));
}

bool request_flow::place_waiting()
{
    const choice_outcome outcome = choose();
    if (!outcome.choice)
    {
        return false;
    }
    leave_line();
    send(*outcome.choice);
    return true;
}

// Attempts

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
    // These statuses would promise that the request has not run.
    const bool false_promise =
        status_ == 408 || status_ == 429 || status_ == 503;
    return status_ >= 500 || false_promise ? attempt_result::failed
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
    const bool certainly_not_run = result == attempt_result::unreachable ||
                                   result == attempt_result::rejected ||
                                   result == attempt_result::misdirected;
    if (!certainly_not_run)
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
    const bool not_run = result == attempt_result::unreachable ||
                         result == attempt_result::rejected ||
                         result == attempt_result::misdirected;
    if (!not_run && !route_->idempotent)
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
        status_ != 408 && status_ != 429 && status_ != 503)
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

// Ends

void request_flow::on_time_out()
{
    if (ended_)
    {
        return;
    }
    const auto keep = shared_from_this();
    if (call_ != nullptr)
    {
        const bool sent = call_->sent();
        call_->cancel();
        release_target(sent ? attempt_result::no_answer
                            : attempt_result::unreachable);
    }
    if (may_have_run_)
    {
        fail_with(failure_reason::timed_out);
    }
    else
    {
        refuse(refusal_reason::deadline_exceeded_in_queue, std::nullopt);
    }
    state_.place_waiting(service_);
}

void request_flow::on_caller_gone()
{
    if (ended_)
    {
        return;
    }
    const auto keep = shared_from_this();
    if (call_ != nullptr)
    {
        call_->cancel();
        release_target(attempt_result::abandoned);
    }
    log_not_served(0, "cancelled", std::nullopt);
    finish();
    if (!service_.empty())
    {
        state_.place_waiting(service_);
    }
}

void request_flow::deliver()
{
    const bool success = status_ < 500;
    state_.numbers
        .counter(metric_id::requests, {route_->name, organisation_name(),
                                       success ? "ran" : "unknown"})
        .add();
    state_.numbers.latency(metric_id::request_latency, {route_->name})
        .observe(spent());
    if (success)
    {
        log_served(status_);
    }
    else
    {
        log_not_served(status_, "target_answered_failure", std::nullopt);
    }
    exchange_->respond({status_, std::move(headers_), std::move(body_)});
    finish();
}

void request_flow::refuse(refusal_reason reason,
                          std::optional<duration> retry_after)
{
    state_.numbers.counter(metric_id::refusals, {siskinflow::name(reason)})
        .add();
    if (retry_after)
    {
        const duration most =
            (deadline_ - state_.now()) / patience_parts_to_return;
        retry_after = std::max(shortest_retry_after,
                               std::min<duration>(*retry_after, most));
    }
    answer(http_status(reason), siskinflow::name(reason), retry_after);
}

void request_flow::fail_with(failure_reason reason)
{
    constexpr int bad_gateway = 502;
    constexpr int gateway_timeout = 504;
    state_.numbers.counter(metric_id::unknown_outcomes, {gateway::name(reason)})
        .add();
    answer(reason == failure_reason::timed_out ? gateway_timeout : bad_gateway,
           gateway::name(reason), std::nullopt);
}

void request_flow::answer(int status, std::string_view reason,
                          std::optional<duration> retry_after)
{
    net::http_response out;
    out.status = status;
    out.headers = state_.speech.own_answer(terms_);
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
    leave_line();
    state_.loop.cancel(deadline_timer_);
    state_.loop.cancel(attempt_timer_);
    call_.reset();
    state_.in_progress.erase(shared_from_this());
}

// Log

std::string_view request_flow::organisation_name() const
{
    return organisation_ == nullptr ? std::string_view()
                                    : std::string_view(organisation_->name);
}

duration request_flow::spent() const
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
                     {{"request", terms_.id},
                      {"route", route_->name},
                      {"organisation", organisation_name()},
                      {"service", service_},
                      {"target", target_->record().id},
                      {"object", gateway::name(placement_.object)},
                      {"rank", placement_.rank},
                      {"attempts", tried_.size()},
                      {"waited_ms", to_ms(waited_)},
                      {"total_ms", to_ms(spent())},
                      {"status", status},
                      {"policy", policy_->document().version},
                      {"load", load_at_send_},
                      {"expected_ms", to_ms(placement_.expected)},
                      {"objective_ms", to_ms(route_->objective)}});
}

void request_flow::log_not_served(int status, std::string_view reason,
                                  std::optional<duration> retry_after)
{
    if (!state_.log.accepts(event_id::request_not_served))
    {
        return;
    }
    const bool routed = route_ != nullptr;
    const double share = organisation_ == nullptr
                             ? 1
                             : state_.shares[organisation_->name].part();
    state_.log.write(
        event_id::request_not_served,
        {{"request", terms_.id},
         {"route", routed ? route_->name : std::string()},
         {"organisation", organisation_name()},
         {"service", service_},
         {"reason", reason},
         {"status", status},
         {"attempts", tried_.size()},
         {"waited_ms", to_ms(waited_)},
         {"total_ms", to_ms(spent())},
         {"steps", steps_},
         {"retry_after_ms", retry_after ? to_ms(*retry_after) : 0},
         {"policy", policy_ == nullptr ? 0 : policy_->document().version},
         {"policy_age_ms", to_ms(state_.now() - state_.policy_since)},
         {"waiting", state_.line(service_).size()},
         {"targets", state_.targets.of_service(service_).size()},
         {"share", share},
         {"left_ms", to_ms(deadline_ - state_.now())}});
}

} // namespace siskinflow::gateway
