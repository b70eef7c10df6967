#include "memory_watch.hpp"

#include <utility>

namespace siskinflow::gateway
{

using net::hold_kind;

namespace
{

/// Growth of a count since it was last looked at.
std::uint64_t increase(std::uint64_t& known, std::uint64_t count)
{
    return count - std::exchange(known, count);
}

} // namespace

memory_watch::memory_watch(const net::memory_budget& budget, event_log& log,
                           metrics& metric_set)
    : budget_(budget), log_(log), metrics_(metric_set)
{
}

void memory_watch::check(const caller_connections_seen& callers, time_point now)
{
    log_memory();
    log_connections(callers);
    const std::size_t used = estimate_used_bytes(budget_.held(), callers.open);
    const memory_return_decision decision =
        decide_memory_return(return_state_, used, now);
    return_state_ = decision.next;
    if (decision.give_back)
    {
        return_free_memory();
    }
}

void memory_watch::log_memory()
{
    const std::uint64_t evicted =
        increase(known_evictions_, budget_.evictions());
    const std::uint64_t waits =
        increase(known_waits_, budget_.failed_growths());
    if (evicted + waits == 0)
    {
        return;
    }
    log_.write(event_id::memory_scarce,
               {{"held", budget_.held()},
                {"limit", budget_.limit()},
                {"request_bodies", budget_.held(hold_kind::request_body) +
                                       budget_.held(hold_kind::kept_body)},
                {"responses", budget_.held(hold_kind::response)},
                {"unsent_answers", budget_.held(hold_kind::unsent_answer)},
                {"evicted", evicted},
                {"waits", waits}});
}

void memory_watch::log_connections(const caller_connections_seen& callers)
{
    const std::uint64_t refused = increase(known_refused_, callers.refused);
    if (refused > 0)
    {
        log_.write(event_id::connections_scarce, {{"open", callers.open},
                                                  {"limit", callers.limit},
                                                  {"refused", refused}});
    }
}

void memory_watch::set_metrics(const caller_connections_seen& callers)
{
    for (std::size_t i = 0; i < net::hold_kind_count; ++i)
    {
        const auto kind = static_cast<hold_kind>(i);
        metrics_.gauge(metric_id::memory_held, {net::name(kind)})
            .set(static_cast<double>(budget_.held(kind)));
        metrics_.counter(metric_id::memory_evictions, {net::name(kind)})
            .raise_to(budget_.evictions(kind));
    }
    metrics_.gauge(metric_id::memory_limit)
        .set(static_cast<double>(budget_.limit()));
    metrics_.counter(metric_id::memory_waits)
        .raise_to(budget_.failed_growths());
    metrics_.gauge(metric_id::connections, {"caller"})
        .set(static_cast<double>(callers.open));
    metrics_.counter(metric_id::connections_refused, {"limit"})
        .raise_to(callers.refused);
}

} // namespace siskinflow::gateway
