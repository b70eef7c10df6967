#include "store_mirror_impl.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace siskinflow
{

namespace
{

/// An empty answer to a watch before this time and before the end of its wait
/// counts as a failure.
constexpr duration early_answer = std::chrono::milliseconds(400);
/// After an outage of this length the prefix is listed: a listing is bounded by
/// the state, the answer to a watch only by what has changed meanwhile.
constexpr duration min_outage_to_list = std::chrono::seconds(1);

/// Bytes that an entry takes in an answer of the store: its value as base64
/// text, its key and the fields around them.
std::size_t bytes_in_answer(const store_change& entry)
{
    constexpr std::size_t field_bytes = 80;
    return entry.key.size() + entry.value.size() * 4 / 3 + field_bytes;
}

} // namespace

void store_mirror::impl::list_again(bool history_dropped)
{
    listing_due = true;
    const duration pause = pacing.relist_pause(history_dropped);
    if (pause == duration::zero())
    {
        list();
        return;
    }
    schedule(pause, &impl::list_if_due);
}

void store_mirror::impl::list_if_due()
{
    if (listing_due)
    {
        list();
    }
}

void store_mirror::impl::on_higher_era()
{
    if (!has_listed || era_pending)
    {
        return;
    }
    era_pending = true;
    if (!listing && !listing_due)
    {
        list_again(false);
    }
}

void store_mirror::impl::on_peer_era(std::uint64_t era)
{
    if (era > peers_era)
    {
        peers_era = era;
        source.expect_era(era);
        on_higher_era();
    }
}

void store_mirror::impl::on_list(result<store_page> page)
{
    listing = false;
    if (listener == nullptr)
    {
        return;
    }
    if (page && page.value().position.era < position.era)
    {
        page = fail(errc::unavailable, "the listing is of an earlier era");
    }
    if (!page)
    {
        // Not made again if another listing was made meanwhile.
        listing_due = true;
        retry_later(page.error(), &impl::list_if_due);
        return;
    }
    pacing.on_success();
    on_success();
    begin_era_of(page.value());
    remove_missing(page.value());
    apply(page.value());
    on_answered(request_time);
    // Removals that the listing does not show were made before it.
    last_change = std::max(last_change, page.value().position);
    confirm(request_time, page.value().relayed);
    has_listed = true;
    listener->on_confirmed(request_time, position);
    listener->on_listed();
    watch_changes();
}

void store_mirror::impl::begin_era_of(const store_page& page)
{
    era_pending = false;
    if (has_listed && page.position.era > position.era)
    {
        listener->on_new_era(page.position.era);
    }
}

void store_mirror::impl::on_changes(result<store_page> page)
{
    watching = false;
    if (listener == nullptr)
    {
        return;
    }
    if (!page && page.error().code == errc::stale)
    {
        list_again(true);
        return;
    }
    if (page && page.value().position.era > position.era)
    {
        on_higher_era();
        return;
    }
    if (page && page.value().position.era < position.era)
    {
        page = fail(errc::unavailable, "the changes are of an earlier era");
    }
    if (page && is_early(page.value()))
    {
        page = fail(errc::unavailable, "a watch ended before its time");
    }
    if (!page)
    {
        on_watch_failed(page.error());
        return;
    }
    // A change that arrives before a listing is made takes its place.
    listing_due = listing_due && era_pending;
    pacing.on_watch_success();
    on_success();
    apply(page.value());
    on_answered(request_time);
    if (!page.value().relayed)
    {
        confirm(confirmed_time(page.value()), false);
    }
    listener->on_confirmed(request_time, position);
    if (page.value().entries.empty())
    {
        watch_changes();
        return;
    }
    schedule(page.value().relayed ? options.relayed_batch_delay
                                  : options.batch_delay,
             &impl::watch_if_idle);
}

void store_mirror::impl::on_watch_failed(const error& reason)
{
    if (reason.code == errc::too_large)
    {
        list_again(false);
        return;
    }
    listing_due = listing_due || out_for_long();
    retry_later(reason,
                listing_due ? &impl::list_if_due : &impl::watch_if_idle);
}

bool store_mirror::impl::out_for_long() const
{
    return failing && time.now() - failing_since >= min_outage_to_list;
}

bool store_mirror::impl::is_early(const store_page& page) const
{
    return page.entries.empty() &&
           time.now() - request_time < std::min(current_wait, early_answer);
}

time_point store_mirror::impl::confirmed_time(const store_page& page) const
{
    const time_point wait_end = request_time + current_wait;
    const bool waited = page.entries.empty() && time.now() >= wait_end;
    return waited ? wait_end : request_time;
}

void store_mirror::impl::confirm(time_point at, bool relayed)
{
    confirmed_at = std::max(confirmed_at, at);
    if (confirms_for_others && !relayed && on_confirmation)
    {
        on_confirmation({last_change, at});
    }
}

void store_mirror::impl::on_peer_confirmation(
    const mirror_confirmation& confirmation)
{
    const std::uint64_t peer_era = confirmation.last_change.era;
    if (peer_era > position.era)
    {
        on_peer_era(peer_era);
        return;
    }
    if (peer_era < position.era)
    {
        return;
    }
    if (confirmation.last_change <= position)
    {
        confirmed_at = std::max(confirmed_at, confirmation.at);
        peer_confirmed_at = std::max(peer_confirmed_at, confirmation.at);
        return;
    }
    if (confirmation.last_change > peers_last_change)
    {
        on_later_change(confirmation.last_change);
    }
}

void store_mirror::impl::remove_missing(const store_page& page)
{
    std::set<std::string> listed_keys;
    for (const store_change& entry : page.entries)
    {
        listed_keys.insert(entry.key);
    }
    std::vector<std::string> removed_keys;
    for (const auto& [key, known] : known_keys)
    {
        const bool is_later = known.position > page.position;
        if (listed_keys.count(key) == 0 && !is_later)
        {
            removed_keys.push_back(key);
        }
    }
    for (const std::string& key : removed_keys)
    {
        forget(key);
        listener->on_change({key, {}, page.position, true});
    }
}

void store_mirror::impl::apply(const store_page& page)
{
    for (const store_change& entry : page.entries)
    {
        known_key& known = known_keys[entry.key];
        if (entry.position <= known.position)
        {
            continue;
        }
        known_bytes += bytes_in_answer(entry) - known.bytes;
        known = {entry.position, bytes_in_answer(entry)};
        last_change = std::max(last_change, entry.position);
        listener->on_change(entry);
        if (entry.removed)
        {
            forget(entry.key);
        }
    }
    position = std::max(position, page.position);
}

void store_mirror::impl::forget(const std::string& key)
{
    const auto known = known_keys.find(key);
    known_bytes -= known->second.bytes;
    known_keys.erase(known);
}

void store_mirror::impl::on_success()
{
    if (failing)
    {
        failing = false;
        available_since = time.now();
        listener->on_available(available_since - failing_since);
    }
}

void store_mirror::impl::retry_later(const error& reason, void (impl::*next)())
{
    if (!failing)
    {
        failing = true;
        failing_since = time.now();
        listener->on_unavailable(reason);
    }
    schedule(pacing.retry_pause(reason.code), next);
}

} // namespace siskinflow
