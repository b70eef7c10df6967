/// @file
/// @brief Latest counter copies of other incarnations.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/report/counters.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace siskinflow
{

/// @brief A complete copy and when its last part arrived, on the receiver's
/// clock.
struct counter_replica
{
    counter_copy copy;
    time_point received_at;
};

/// @brief Keeps the newest complete copy of each incarnation. A final copy is
/// never replaced.
class counter_replicas
{
public:
    /// @param max_copies limit on incarnations; beyond it the entry received
    /// first is dropped and counted
    explicit counter_replicas(std::size_t max_copies = 1024);

    /// @brief Adds a part of a copy.
    /// @return whether it completed a copy; `errc::parse_error` if its part
    /// number is out of range or its number of parts differs from earlier ones;
    /// `errc::stale` if the same, a newer or a final copy is held
    result<bool> accept(counters message, time_point now);

    /// @brief Copy of an incarnation.
    /// @return null if there is none
    const counter_replica* find(const incarnation_id& incarnation) const;

    /// @brief All copies in no particular order.
    std::vector<const counter_replica*> all() const;

    /// @brief Incarnations whose copies were dropped; a report has to count
    /// them as unknown.
    std::uint64_t dropped_count() const;

private:
    struct partial_copy
    {
        std::uint64_t version = 0;
        std::uint32_t parts = 0;
        std::map<std::uint32_t, std::vector<counter_row>> rows;
    };

    struct replica_entry
    {
        std::optional<counter_replica> complete;
        partial_copy pending;
        time_point first_seen;
    };

    void store_completed(replica_entry& entry, const counters& last_part,
                         time_point now);
    void enforce_capacity();

    std::size_t max_copies_;
    std::uint64_t dropped_ = 0;
    std::unordered_map<incarnation_id, replica_entry> entries_;
};

} // namespace siskinflow
