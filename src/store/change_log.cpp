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
    last_change_ = std::max(last_change_, change.revision);
    if (!change.removed)
    {
        entries_[change.key] = change;
        return;
    }
    entries_.erase(change.key);
    removals_.emplace(change.revision, change.key);
    while (removals_.size() > max_removals)
    {
        first_revision_ = removals_.begin()->first;
        removals_.erase(removals_.begin());
    }
}

void change_log::confirm(store_revision revision)
{
    if (revision_ == 0)
    {
        first_revision_ = revision;
    }
    revision_ = std::max(revision_, revision);
}

store_page change_log::listing() const
{
    store_page out;
    out.revision = revision_;
    out.entries.reserve(entries_.size());
    for (const auto& [key, entry] : entries_)
    {
        out.entries.push_back(entry);
    }
    return out;
}

result<store_page> change_log::changes_after(store_revision after) const
{
    if (after < first_revision_)
    {
        return fail(errc::stale, "removals since revision " +
                                     std::to_string(after) +
                                     " have been dropped");
    }
    store_page out;
    out.revision = revision_;
    if (after >= last_change_)
    {
        return out; // Waiting readers ask this several times a second.
    }
    for (const auto& [key, entry] : entries_)
    {
        if (entry.revision > after)
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
                     { return left.revision < right.revision; });
    return out;
}

// Listener

void recording_listener::on_change(const store_change& change)
{
    log_.record(change);
    next_.on_change(change);
}

void recording_listener::on_confirmed(time_point request_time,
                                      store_revision revision)
{
    log_.confirm(revision);
    next_.on_confirmed(request_time, revision);
    if (on_recorded_)
    {
        on_recorded_();
    }
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

void recording_listener::on_watch_replaced(duration unconfirmed)
{
    next_.on_watch_replaced(unconfirmed);
}

} // namespace siskinflow
