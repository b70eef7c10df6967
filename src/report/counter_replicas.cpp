#include <siskinflow/report/counter_replicas.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace siskinflow
{

namespace
{

/// Limit on the parts of a copy. 64 parts of 900 KB hold far more rows than a
/// configuration of 1 MB can define.
constexpr std::uint32_t max_parts = 64;

/// When the complete copy arrived, or the first part if none is complete. A
/// live incarnation sends a copy every second, so its time is recent.
template <class Entry>
time_point received_time(const Entry& entry)
{
    return entry.complete ? entry.complete->received_at : entry.first_seen;
}

} // namespace

counter_replicas::counter_replicas(std::size_t max_copies)
    : max_copies_(max_copies)
{
}

result<bool> counter_replicas::accept(counters message, time_point now)
{
    if (message.parts == 0 || message.parts > max_parts ||
        message.part >= message.parts)
    {
        return fail(errc::parse_error,
                    "counters part " + std::to_string(message.part) + " of " +
                        std::to_string(message.parts) + " is out of range");
    }
    const auto [it, inserted] =
        entries_.try_emplace(message.incarnation, replica_entry{{}, {}, now});
    replica_entry& entry = it->second;
    const bool stale =
        (entry.complete && (entry.complete->copy.final ||
                            message.version <= entry.complete->copy.version)) ||
        message.version < entry.pending.version;
    if (stale)
    {
        return fail(errc::stale,
                    "counters of incarnation " +
                        to_string(message.incarnation) +
                        " are superseded by those already received");
    }
    if (message.version > entry.pending.version)
    {
        entry.pending = {message.version, message.parts, {}};
    }
    if (message.parts != entry.pending.parts)
    {
        return fail(errc::parse_error,
                    "parts of counters disagree on the number of parts");
    }
    entry.pending.rows[message.part] = std::move(message.rows);
    const bool complete = entry.pending.rows.size() == entry.pending.parts;
    if (complete)
    {
        store_completed(entry, message, now);
    }
    enforce_capacity();
    return complete;
}

const counter_replica*
counter_replicas::find(const incarnation_id& incarnation) const
{
    const auto it = entries_.find(incarnation);
    return it == entries_.end() || !it->second.complete ? nullptr
                                                        : &*it->second.complete;
}

std::vector<const counter_replica*> counter_replicas::all() const
{
    std::vector<const counter_replica*> out;
    for (const auto& [incarnation, entry] : entries_)
    {
        if (entry.complete)
        {
            out.push_back(&*entry.complete);
        }
    }
    return out;
}

std::uint64_t counter_replicas::dropped_count() const
{
    return dropped_;
}

void counter_replicas::store_completed(replica_entry& entry,
                                       const counters& last_part,
                                       time_point now)
{
    counter_replica replica;
    replica.received_at = now;
    replica.copy.incarnation = last_part.incarnation;
    replica.copy.version = last_part.version;
    replica.copy.final = last_part.final;
    for (auto& [part, rows] : entry.pending.rows)
    {
        std::move(rows.begin(), rows.end(),
                  std::back_inserter(replica.copy.rows));
    }
    entry.complete = std::move(replica);
    entry.pending = {last_part.version, 0, {}};
}

void counter_replicas::enforce_capacity()
{
    if (entries_.size() <= max_copies_)
    {
        return;
    }
    const auto oldest = std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& left, const auto& right)
        { return received_time(left.second) < received_time(right.second); });
    entries_.erase(oldest);
    ++dropped_;
}

} // namespace siskinflow
