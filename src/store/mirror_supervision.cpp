#include "store_mirror_impl.hpp"
#include <siskinflow/core/enum_name.hpp>

#include <algorithm>
#include <array>

namespace siskinflow
{

namespace
{

constexpr std::array<std::string_view, 3> watch_end_names{"unconfirmed",
                                                          "behind", "too_long"};

/// Time allowed for the answer to a watch beyond its wait.
constexpr duration watch_answer_time = std::chrono::milliseconds(400);
/// The shortest wait that the platform's store accepts.
constexpr duration min_watch_wait = std::chrono::milliseconds(1);
/// Time between two looks at an answer that is arriving.
constexpr duration arrival_check_interval = std::chrono::milliseconds(100);

} // namespace

std::string_view name(watch_end value) noexcept
{
    return enum_name(watch_end_names, value);
}

bool store_mirror::impl::answer_may_be_due() const
{
    return watching && (source.watch_bytes_received(prefix) > 0 ||
                        current_wait <= min_watch_wait ||
                        time.now() - request_time < supervision.patience());
}

bool store_mirror::impl::outlasts_confirmations() const
{
    return confirms_for_others && current_wait > next_wait();
}

duration store_mirror::impl::unconfirmed_limit() const
{
    return std::min(options.max_unconfirmed_time,
                    current_wait +
                        std::max(watch_answer_time, supervision.patience()));
}

time_point store_mirror::impl::next_watch_check() const
{
    if (bytes_received > 0)
    {
        return time.now() + arrival_check_interval;
    }
    time_point due = std::max(confirmed_at, request_time) + unconfirmed_limit();
    if (change_due_since)
    {
        due = std::min(due, std::max(*change_due_since, request_time) +
                                supervision.patience());
    }
    if (outlasts_confirmations())
    {
        due = std::min(due, request_time + supervision.patience());
    }
    return due;
}

void store_mirror::impl::check_watch_later()
{
    watch_check_at = next_watch_check();
    timers.cancel(watch_check);
    watch_check =
        timers.schedule(watch_check_at,
                        [weak = weak_from_this()]
                        {
                            const auto self = weak.lock();
                            if (self != nullptr && self->listener != nullptr)
                            {
                                self->supervise_watch();
                            }
                        });
}

void store_mirror::impl::check_watch_sooner()
{
    // Events that come often must not put off the next check.
    if (watching && next_watch_check() < watch_check_at)
    {
        check_watch_later();
    }
}

void store_mirror::impl::supervise_watch()
{
    if (!watching || listing_due)
    {
        return;
    }
    note_received_bytes();
    const watch_observation watch = observe_watch();
    switch (supervision.judge(watch))
    {
    case watch_action::keep:
        if (bytes_received == 0 && outlasts_confirmations() &&
            time.now() - request_time >= supervision.patience())
        {
            watch_changes();
            return;
        }
        check_watch_later();
        return;
    case watch_action::watch_again:
        watch_again();
        return;
    case watch_action::list:
        list_instead(bytes_received > 0 ? watch_end::too_long
                     : change_due_since ? watch_end::behind
                                        : watch_end::unconfirmed);
        return;
    }
}

void store_mirror::impl::note_received_bytes()
{
    const std::size_t received =
        watching ? source.watch_bytes_received(prefix) : 0;
    if (received == bytes_received)
    {
        return;
    }
    last_bytes_at = time.now();
    first_bytes_at = bytes_received == 0 ? last_bytes_at : first_bytes_at;
    bytes_received = received;
}

watch_observation store_mirror::impl::observe_watch() const
{
    const time_point now = time.now();
    watch_observation out;
    out.overdue = now - std::max(confirmed_at, request_time);
    out.allowed = unconfirmed_limit();
    if (change_due_since)
    {
        const duration late = now - std::max(*change_due_since, request_time);
        if (late >= supervision.patience() || out.overdue < out.allowed)
        {
            out.overdue = late;
            out.allowed = supervision.patience();
        }
    }
    out.bytes_received = bytes_received;
    out.arriving = now - first_bytes_at;
    out.stalled = now - last_bytes_at;
    out.listing_bytes = known_bytes;
    return out;
}

void store_mirror::impl::watch_again()
{
    if (!take_call())
    {
        return; // Supervised again when the budget allows a call.
    }
    report_replaced_watch(change_due_since ? watch_end::behind
                                           : watch_end::unconfirmed);
    supervision.on_unanswered();
    send_watch(change_due_since ? min_watch_wait : next_wait());
}

void store_mirror::impl::list_instead(watch_end reason)
{
    report_replaced_watch(reason);
    supervision.on_listing();
    list();
}

void store_mirror::impl::report_replaced_watch(watch_end reason)
{
    listener->on_watch_replaced({reason, time.now() - confirmed_at,
                                 time.now() - request_time, bytes_received});
}

bool store_mirror::impl::behind() const
{
    return position < peers_last_change &&
           position.era == peers_last_change.era;
}

void store_mirror::impl::on_later_change(store_position change)
{
    peers_last_change = change;
    peers_last_change_at = time.now();
    if (!change_due_since)
    {
        change_due_since = peers_last_change_at;
    }
    check_watch_sooner();
}

std::optional<duration>
store_mirror::impl::time_to_answer(time_point sent_at) const
{
    const bool was_due =
        !has_listed || change_due_since || current_wait <= min_watch_wait;
    if (!was_due)
    {
        return std::nullopt;
    }
    return time.now() - std::max(sent_at, change_due_since.value_or(sent_at));
}

void store_mirror::impl::on_answered(time_point sent_at)
{
    supervision.on_answered(time_to_answer(sent_at));
    if (!behind() || sent_at >= peers_last_change_at)
    {
        change_due_since.reset(); // The store has nothing later.
        return;
    }
    change_due_since = time.now();
}

} // namespace siskinflow
