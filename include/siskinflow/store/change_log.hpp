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
/// reader that knows an earlier revision is brought up to date.
class change_log
{
public:
    /// @brief Records a change.
    void record(const store_change& change);

    /// @brief Records that all changes up to a revision have been recorded.
    void confirm(store_revision revision);

    /// @brief Revision up to which all changes have been recorded; 0 if there
    /// was no listing.
    store_revision revision() const
    {
        return revision_;
    }

    /// @brief All current entries.
    store_page listing() const;

    /// @brief Changes after a revision.
    /// @return the changes, in order of their revisions, or `errc::stale` if
    /// removals since then have been dropped
    result<store_page> changes_after(store_revision after) const;

private:
    std::map<std::string, store_change> entries_;
    std::multimap<store_revision, std::string> removals_;
    store_revision first_revision_ = 0; ///< Removals since then are known.
    store_revision revision_ = 0;
    store_revision last_change_ = 0; ///< Latest revision of a change.
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
                      store_revision revision) override;
    void on_listed() override;
    void on_unavailable(const error& reason) override;
    void on_available(duration outage) override;
    void on_watch_replaced(duration unconfirmed) override;

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
