#include <siskinflow/store/change_log.hpp>

#include <algorithm>

namespace siskinflow
{

namespace
{

/// Removals kept; a reader that misses older ones lists the prefix again.
constexpr std::size_t max_removals = 4096;

} // namespace

// Log

void change_log::record(const store_change& change)
{
    last_change_ = std::max(last_change_, change.position);
    if (!change.removed)
    {
        entries_[change.key] = change;
        return;
    }
    entries_.erase(change.key);
    removals_.emplace(change.position, change.key);
    while (removals_.size() > max_removals)
    {
        first_position_ = removals_.begin()->first;
        removals_.erase(removals_.begin());
    }
}

void change_log::confirm(store_position position)
{
    if (position.era != position_.era || position_ == store_position())
    {
        first_position_ = position;
    }
    position_ = std::max(position_, position);
}

void change_log::begin_era()
{
    removals_.clear();
}

store_page change_log::listing() const
{
    store_page out;
    out.position = position_;
    out.entries.reserve(entries_.size());
    for (const auto& [key, entry] : entries_)
    {
        out.entries.push_back(entry);
    }
    return out;
}

result<store_page> change_log::changes_after(store_position after) const
{
    if (after < first_position_)
    {
        return fail(errc::stale, "changes since revision " +
                                     std::to_string(after.revision) +
                                     " of era " + std::to_string(after.era) +
                                     " are not known");
    }
    store_page out;
    out.position = position_;
    if (after >= last_change_)
    {
        return out; // Waiting readers ask this several times a second.
    }
    for (const auto& [key, entry] : entries_)
    {
        if (entry.position > after)
        {
            out.entries.push_back(entry);
        }
    }
    for (auto it = removals_.upper_bound(after); it != removals_.end(); ++it)
    {
        out.entries.push_back({it->second, {}, it->first, true});
    }
    std::stable_sort(out.entries.begin(), out.entries.end(),
                     [](const store_change& left, const store_change& right)
                     { return left.position < right.position; });
    return out;
}

// Listener

void recording_listener::on_change(const store_change& change)
{
    log_.record(change);
    next_.on_change(change);
}

void recording_listener::on_confirmed(time_point request_time,
                                      store_position position)
{
    log_.confirm(position);
    next_.on_confirmed(request_time, position);
    if (on_recorded_)
    {
        on_recorded_();
    }
}

void recording_listener::on_new_era(std::uint64_t era)
{
    log_.begin_era();
    next_.on_new_era(era);
}

void recording_listener::on_listed()
{
    next_.on_listed();
}

void recording_listener::on_unavailable(const error& reason)
{
    next_.on_unavailable(reason);
}

void recording_listener::on_available(duration outage)
{
    next_.on_available(outage);
}

void recording_listener::on_watch_replaced(const replaced_watch& watch)
{
    next_.on_watch_replaced(watch);
}

} // namespace siskinflow
