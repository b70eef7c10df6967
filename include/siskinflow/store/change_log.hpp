/// @file
/// @brief Changes of a mirrored prefix, kept for other readers.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/store/lease_store.hpp>
#include <siskinflow/store/store_mirror.hpp>

#include <functional>
#include <map>
#include <string>

namespace siskinflow
{

/// @brief The current entries of a prefix and its latest removals, by which a
/// reader that knows an earlier position is brought up to date.
class change_log
{
public:
    /// @brief Records a change.
    void record(const store_change& change);

    /// @brief Records that all changes up to a position have been recorded.
    void confirm(store_position position);

    /// @brief Drops the removals of earlier eras. Readers that know an earlier
    /// era list the prefix. The changes up to the listing of the new era
    /// follow.
    void begin_era();

    /// @brief Position up to which all changes have been recorded; zero if
    /// there was no listing.
    store_position position() const
    {
        return position_;
    }

    /// @brief All current entries.
    store_page listing() const;

    /// @brief Changes after a position.
    /// @return the changes, in order of their positions, or `errc::stale` if
    /// removals since then have been dropped or the position is of an earlier
    /// era
    result<store_page> changes_after(store_position after) const;

private:
    std::map<std::string, store_change> entries_;
    std::multimap<store_position, std::string> removals_;
    store_position first_position_; ///< Removals since then are known.
    store_position position_;
    store_position last_change_; ///< Latest position of a change.
};

/// @brief Passes on what a mirror reports and keeps it in a log.
class recording_listener final : public mirror_listener
{
public:
    /// @param next receives every call; must outlive the listener
    explicit recording_listener(mirror_listener& next) : next_(next) {}

    const change_log& log() const
    {
        return log_;
    }

    void on_change(const store_change& change) override;
    void on_confirmed(time_point request_time,
                      store_position position) override;
    void on_new_era(std::uint64_t era) override;
    void on_listed() override;
    void on_unavailable(const error& reason) override;
    void on_available(duration outage) override;
    void on_watch_replaced(const replaced_watch& watch) override;

    /// @brief Sets the callback for when changes have been confirmed.
    void on_recorded(std::function<void()> callback)
    {
        on_recorded_ = std::move(callback);
    }

private:
    change_log log_;
    mirror_listener& next_;
    std::function<void()> on_recorded_;
};

} // namespace siskinflow
