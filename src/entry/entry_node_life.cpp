#include "entry_node_impl.hpp"

#include <utility>

namespace siskinflow::entry
{

namespace
{

/// Time for the last messages of a graceful stop and for the record without
/// this VM to come into force, which takes two freshness windows when another
/// change is in progress.
constexpr duration farewell_limit = std::chrono::seconds(8);

} // namespace

// Life

void entry_node::impl::stop()
{
    if (!life.apply(lifecycle_event::stop))
    {
        return;
    }
    if (life.state() == lifecycle_state::stopped)
    {
        finish();
        return;
    }
    if (life.state() == lifecycle_state::draining)
    {
        begin_draining();
        return;
    }
    fleet->begin_leaving();
    refresh_lookup();
    front->close_after_responses();
    loop.after(options.lookup_lifetime,
               [this]
               {
                   if (life.apply(lifecycle_event::lookups_expired))
                   {
                       begin_draining();
                   }
               });
}

void entry_node::impl::begin_draining()
{
    drain_deadline = time.now() + options.drain_limit;
}

void entry_node::impl::check_idle()
{
    if (life.state() != lifecycle_state::draining)
    {
        return;
    }
    const bool idle = path->in_progress() == 0 || time.now() >= drain_deadline;
    if (idle && life.apply(lifecycle_event::idle))
    {
        say_farewell();
    }
}

void entry_node::impl::say_farewell()
{
    front->stop_accepting();
    budgets->return_all(time.now());
    const std::string statement =
        control::encode(self.incarnation, permits.close());
    for (const member& successor : successors_of(self.incarnation, *record))
    {
        ++farewells;
        messages.request(successor.control, statement, farewell_limit,
                         [this](const result<std::string>&) { --farewells; });
    }
    ++farewells;
    reports.finish([this] { --farewells; });
    fleet->leave();
    const time_point limit = time.now() + farewell_limit;
    timers.push_back(loop.every(service_tick,
                                [this, limit]
                                {
                                    if (is_released() || time.now() >= limit)
                                    {
                                        finish();
                                    }
                                }));
}

/// Whether the others no longer need this process.
bool entry_node::impl::is_released() const
{
    // While the record without this VM comes into force, the others need its
    // evidence for the majority of the previous members.
    const bool has_left =
        fleet->has_left() && fleet->fleet_in_force(fleet->record_revision());
    // A fleet that leaves as a whole has nobody to write such a record.
    return farewells == 0 && (has_left || fleet->all_leaving());
}

void entry_node::impl::finish()
{
    if (const auto callback = std::exchange(on_stopped, nullptr))
    {
        log.write(event_id::stopped,
                  {{"reason", "requested"},
                   {"uptime_s", to_seconds(time.now() - started)}});
        log.flush();
        callback();
    }
}

} // namespace siskinflow::entry
