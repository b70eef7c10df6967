#include "data_path_impl.hpp"

#include <utility>
#include <vector>

namespace siskinflow::entry
{

namespace
{

refusal_reason reason_of(routing::selection_refusal refusal)
{
    switch (refusal)
    {
    case routing::selection_refusal::no_target:
        return refusal_reason::no_target;
    case routing::selection_refusal::region_at_capacity:
        return refusal_reason::region_at_capacity;
    case routing::selection_refusal::link_at_capacity:
        return refusal_reason::link_at_capacity;
    case routing::selection_refusal::shift_capped:
        return refusal_reason::shift_capped;
    }
    return refusal_reason::no_target;
}

} // namespace

// Dispatch

void data_path::impl::serve_queue()
{
    if (serving_queue || config == nullptr)
    {
        return;
    }
    serving_queue = true;
    const time_point now = dependencies.time.now();
    const auto ready = [&](std::string_view /*organisation*/, queue_item_id id)
    { return can_leave_queue(requests.at(id), now); };
    while (const auto id = queue.pop(ready, now))
    {
        dispatch(request_ptr(requests.at(*id)), now);
    }
    serving_queue = false;
}

bool data_path::impl::can_leave_queue(const request_ptr& req, time_point now)
{
    req->wait_reason = refusal_reason::none;
    if (req->exchange->done())
    {
        // The caller has left and the body is released; the cancellation, which
        // is due in a later pass of the loop, removes the request.
        return false;
    }
    if (!req->route->open)
    {
        // The key may have been withdrawn while the request waited.
        if (!is_key_valid(*req))
        {
            req->wait_reason = refusal_reason::unknown_key;
            return true;
        }
        if (!dependencies.is_fresh())
        {
            req->wait_reason = refusal_reason::not_fresh;
            return !may_become_fresh(now);
        }
    }
    if (!take_rate_token(req, now))
    {
        return false;
    }
    const bool leaves_queue =
        req->wait_reason != refusal_reason::none || choose_target(req, now);
    if (!leaves_queue || req->wait_reason != refusal_reason::none)
    {
        return_rate_token(req, now);
    }
    return leaves_queue;
}

/// Returns the rate token of a request that is not dispatched now. A token kept
/// while its request waits for a slot could later be used in excess of the
/// burst.
void data_path::impl::return_rate_token(const request_ptr& req, time_point now)
{
    if (req->has_rate_token && req->attempts == 0)
    {
        dependencies.budgets.shares().settle(req->rate_budget, -1, now);
        req->has_rate_token = false;
    }
}

bool data_path::impl::take_rate_token(const request_ptr& req, time_point now)
{
    if (req->route->open || req->has_rate_token)
    {
        return true;
    }
    const take_result taken =
        dependencies.budgets.take(req->rate_budget, 1, now, attempt::repeated);
    req->has_rate_token = taken.taken;
    if (taken.taken)
    {
        return true;
    }
    req->wait_reason = taken.exhausted ? refusal_reason::rate_exceeded
                                       : refusal_reason::share_wait_exceeded;
    return taken.exhausted &&
           now - req->received > max_wait_on_exhausted_budget &&
           exceeds_share_rate(*req, now);
}

bool data_path::impl::choose_target(const request_ptr& req, time_point now)
{
    routing::selection_request criteria;
    criteria.route = req->route->name;
    criteria.idempotent = req->route->idempotent;
    criteria.expected_bytes = req->route->expected_response_bytes;
    const std::vector<std::string_view> excluded(req->excluded_targets.begin(),
                                                 req->excluded_targets.end());
    criteria.excluded = excluded;
    routing::selection_limits limits;
    limits.slot_available = [&](const target_config& target)
    {
        return dependencies.budgets.shares().free_slots(
                   demand.slot_budget(target), now) > 0;
    };
    limits.link_has_budget =
        [&](std::string_view from, std::string_view to, std::size_t bytes)
    { return demand.link_allows(dependencies.budgets, from, to, bytes, now); };
    routing::shift_limiter& limiter = *req->shift_limiter;
    limits.shift_allows = [&](std::string_view region)
    { return limiter.allows(region, now); };
    const auto chosen = selector.choose(criteria, limits, now, rng);
    if (!chosen.has_value())
    {
        req->wait_reason = reason_of(chosen.error());
        if (chosen.error() == routing::selection_refusal::no_target)
        {
            return true;
        }
        demand.signal_shortage(dependencies.budgets, *config, *req->route,
                               options.region, now, rng);
        return false;
    }
    if (!dependencies.budgets.acquire(
            demand.slot_budget(*chosen.value().target), now))
    {
        req->wait_reason = refusal_reason::region_at_capacity;
        return false;
    }
    req->chosen = chosen.value();
    demand.explore(dependencies.budgets, *config, *req->route, options.region,
                   now, rng);
    return true;
}

void data_path::impl::dispatch(const request_ptr& req, time_point now)
{
    if (req->wait_reason != refusal_reason::none)
    {
        withdraw_from_shift(*req, req->wait_reason);
        refuse(req, req->wait_reason);
        return;
    }
    const target_config& target = *req->chosen.target;
    // The target belongs to the present configuration, which may be newer than
    // the one under which the request was admitted. The old configuration owns
    // the old route, so it is released last.
    req->route = config->find_route(req->route->name);
    req->config = config;
    if (req->permit && req->attempts == 0 &&
        !dependencies.permits.dispatch(*req->permit, now).has_value())
    {
        release_slot(target.name, duration::zero());
        withdraw_from_shift(*req, refusal_reason::permit_expired);
        refuse(req, refusal_reason::permit_expired);
        return;
    }
    req->shift_limiter->sent(target.region, now);
    demand.charge_link(dependencies.budgets, options.region, target.region,
                       req->route->expected_response_bytes, now);
    calls.start(req);
}

void data_path::impl::refuse_expired(time_point now)
{
    std::vector<std::pair<request_ptr, refusal_reason>> expired_requests;
    for (const expired_item& expired : queue.expire(now))
    {
        const request_ptr req = requests.at(expired.item);
        // The resource that the request waited for is a more specific reason
        // than the expiry itself.
        expired_requests.emplace_back(
            req, req->wait_reason == refusal_reason::none ? expired.reason
                                                          : req->wait_reason);
    }
    for (const auto& [req, reason] : expired_requests)
    {
        withdraw_from_shift(*req, reason);
        refuse(req, reason);
    }
}

/// Ends the idempotent requests whose slots lost their lease while in use: the
/// owner may have granted these slots to another VM.
void data_path::impl::end_requests_without_lease(time_point now)
{
    if (config == nullptr)
    {
        return;
    }
    for (const target_config& target : config->targets)
    {
        const std::uint32_t slots_without_lease =
            dependencies.budgets.shares().slots_without_lease(
                demand.slot_budget(target), now);
        if (slots_without_lease == 0)
        {
            continue;
        }
        // Slots with a delayed release still count as in use.
        const auto found = delayed_releases.find(target.name);
        const std::uint32_t releasing =
            found == delayed_releases.end() ? 0 : found->second;
        if (slots_without_lease > releasing)
        {
            calls.end_requests_without_lease(target.name,
                                             slots_without_lease - releasing);
        }
    }
}

void data_path::impl::report_queue_lengths()
{
    for (const organisation_queues& organisation : queues)
    {
        std::size_t waiting = 0;
        for (const std::string& queue_class : organisation.classes)
        {
            waiting += queue.size(queue_class);
        }
        dependencies.budgets.shares().set_queued(
            organisation.rate, static_cast<std::uint32_t>(waiting));
    }
}

} // namespace siskinflow::entry
