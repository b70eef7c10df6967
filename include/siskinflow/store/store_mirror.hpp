/// @file
/// @brief Follows the changes of a store prefix.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/timer_queue.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief Why a watch was given up.
enum class watch_end : std::uint8_t
{
    unconfirmed, ///< Its answer was due, and nobody has confirmed the state.
    behind,      ///< Another VM knows a later change.
    too_long,    ///< Its answer is longer or slower than a listing.
};

/// @brief Name of a reason in snake_case, "unknown" if undefined.
std::string_view name(watch_end value) noexcept;

/// @brief A watch that was given up.
struct replaced_watch
{
    watch_end reason = watch_end::unconfirmed;
    duration unconfirmed{0};        ///< Since the last confirmation.
    duration age{0};                ///< Since the watch was sent.
    std::size_t bytes_received = 0; ///< Of its answer.
};

/// @brief Receives what changed in a mirrored prefix.
class mirror_listener
{
public:
    virtual ~mirror_listener() = default;

    /// @brief A key was written or removed. Versions of one key arrive in
    /// order; versions in between may be left out.
    virtual void on_change(const store_change& change) = 0;

    /// @brief All changes up to the time of a request, and up to a position,
    /// have been reported.
    virtual void on_confirmed(time_point /*request_time*/,
                              store_position /*position*/)
    {
    }

    /// @brief The store has returned from an older copy. The listing of the new
    /// era is reported next, until `on_listed`: keys that it lacks as removed,
    /// all others as written. The listener decides what it keeps.
    virtual void on_new_era(std::uint64_t /*era*/) {}

    /// @brief All keys of a listing have been reported.
    virtual void on_listed() = 0;

    /// @brief A watch was given up.
    virtual void on_watch_replaced(const replaced_watch& /*watch*/) {}

    /// @brief A call failed after one that succeeded.
    virtual void on_unavailable(const error& reason) = 0;

    /// @brief A call succeeded after one or more had failed.
    /// @param outage time since the first failure
    virtual void on_available(duration outage) = 0;
};

/// @brief Evidence that a VM knew all changes of a prefix at some time.
struct mirror_confirmation
{
    store_position last_change; ///< No later change had been made.
    time_point at{};
};

/// @brief How often a mirror calls the store.
struct mirror_options
{
    /// Delay between a change and the next watch, so that changes in quick
    /// succession arrive with one call.
    duration batch_delay{0};
    /// The same for changes that were read through another VM.
    duration relayed_batch_delay{0};
    /// Maximum wait of one watch. The platform's store allows 30 s.
    duration max_watch_wait = std::chrono::seconds(25);
    /// Time without a confirmation after which the watch is replaced: a watch
    /// whose answer was lost can't be told from a quiet one. It bounds how long
    /// a change can be missed.
    duration max_unconfirmed_time = std::chrono::seconds(25);
    /// Seeds the jitter of retries; differs between the VMs of a fleet.
    std::uint64_t jitter_seed = 0;
};

/// @brief Lists a prefix once and then follows its changes by watches. After a
/// failure it resumes from the last known position; when the store has dropped
/// that history or has begun a new era, it lists again and reports the
/// difference. It never goes back to a lower era. Its calls are paced: whatever
/// the store answers, it makes at most 200 calls in a minute.
///
/// A mirror that others tell of their confirmations leaves its watch waiting
/// for long. Without them, its watches are short enough to confirm by
/// themselves that nothing has changed.
///
/// It has one call in progress at most. A call whose answer arrives is not
/// given up for another one, except for a listing that is shorter; a listing
/// ends by itself only.
class store_mirror
{
public:
    /// @param source the store; must outlive the mirror
    /// @param timers run the retries; must outlive the mirror
    /// @param time the timers' clock
    /// @param prefix keys to mirror
    /// @param listener told of changes; must outlive the mirror
    store_mirror(prefix_reader& source, timer_queue& timers, const clock& time,
                 std::string prefix, const mirror_options& options,
                 mirror_listener& listener);
    ~store_mirror();
    store_mirror(const store_mirror&) = delete;
    store_mirror& operator=(const store_mirror&) = delete;

    /// @brief Starts listing the prefix.
    void start();

    /// @brief Replaces the running watch unless its answer is arriving. A store
    /// that was down may have lost a watch that still waits on an open
    /// connection.
    void refresh();

    /// @brief Asks for the store's present revision, which the running watch
    /// tells only with the next change. Does nothing while an answer is due.
    void catch_up();

    /// @brief Makes the watches short, so that the other VMs can be told often
    /// that nothing has changed.
    void confirm_for_others(bool confirms);

    /// @brief Called with each confirmation by the store itself, while this
    /// mirror confirms for others.
    void on_confirmation(std::function<void(const mirror_confirmation&)> call);

    /// @brief Takes over the confirmation of another VM. If it knows a later
    /// change than this mirror, a watch that has not told it is replaced. If it
    /// knows a higher era, the prefix is listed; one of a lower era is ignored.
    void on_peer_confirmation(const mirror_confirmation& confirmation);

    /// @brief Whether the state was confirmed within `max_unconfirmed_time`.
    bool confirmed() const;

    /// @brief Whether a listing has been completed.
    bool listed() const;

    /// @brief Whether the last call failed.
    bool unavailable() const;

    /// @brief When calls last succeeded again after a failure; the start of
    /// the clock if they never failed.
    time_point available_since() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow
