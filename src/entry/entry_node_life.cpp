#include "entry_node_impl.hpp"

#include <utility>

namespace siskinflow::entry
{

namespace
{

/// Time for the last messages of a graceful stop and for the record without
/// this VM to come into force, which takes two freshness windows when another
/// change is in progress.
constexpr duration handover_timeout = std::chrono::seconds(8);

} // namespace

// Lifecycle

void entry_node::impl::stop()
{
    if (!lifecycle.apply(lifecycle_event::stop))
    {
        return;
    }
    if (lifecycle.state() == lifecycle_state::stopped)
    {
        finish();
        return;
    }
    if (lifecycle.state() == lifecycle_state::draining)
    {
        begin_draining();
        return;
    }
    fleet->begin_leaving();
    refresh_lookup();
    http_server->close_after_responses();
    loop.after(options.lookup_lifetime,
               [this]
               {
                   if (lifecycle.apply(lifecycle_event::lookups_expired))
                   {
                       begin_draining();
                   }
               });
}

void entry_node::impl::begin_draining()
{
    drain_deadline = time.now() + options.drain_limit;
}

void entry_node::impl::finish_draining_when_idle()
{
    if (lifecycle.state() != lifecycle_state::draining)
    {
        return;
    }
    // Answers may still be on their way to callers on slow links.
    const bool idle = path->in_progress() == 0 &&
                      http_server->open_exchanges() == 0 &&
                      http_server->undelivered_connections() == 0;
    const bool ends = idle || time.now() >= drain_deadline;
    if (ends && lifecycle.apply(lifecycle_event::idle))
    {
        hand_over();
    }
}

void entry_node::impl::hand_over()
{
    http_server->stop_accepting();
    budgets->return_all(time.now());
    const std::string statement =
        control::encode(self.incarnation, permits.close());
    for (const member& successor : successors_of(self.incarnation, *record))
    {
        ++pending_handovers;
        message_sender.request(successor.control, statement, handover_timeout,
                               [this](const result<std::string>&)
                               { --pending_handovers; });
    }
    ++pending_handovers;
    reports.finish([this] { --pending_handovers; });
    fleet->leave();
    const time_point deadline = time.now() + handover_timeout;
    timers.push_back(loop.every(service_tick_interval,
                                [this, deadline]
                                {
                                    if (is_handover_complete() ||
                                        time.now() >= deadline)
                                    {
                                        finish();
                                    }
                                }));
}

/// Whether the other members no longer need this process.
bool entry_node::impl::is_handover_complete() const
{
    // Until the record without this VM is in force, the other members need its
    // evidence for the majority of the previous members.
    const bool has_left =
        fleet->has_left() && fleet->fleet_in_force(fleet->record_revision());
    // If the whole fleet is leaving, no member remains to write that record.
    return pending_handovers == 0 && (has_left || fleet->all_leaving());
}

void entry_node::impl::finish()
{
    if (const auto callback = std::exchange(on_stopped, nullptr))
    {
        log.write(event_id::stopped,
                  {{"reason", "requested"},
                   {"uptime_s", to_seconds(time.now() - started_at)}});
        log.flush();
        callback();
    }
}

} // namespace siskinflow::entry
