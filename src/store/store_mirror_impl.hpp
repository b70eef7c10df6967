/// @file
/// @brief State of a mirror; internal to the store client.
#pragma once

#include "call_pacing.hpp"
#include <siskinflow/store/store_mirror.hpp>

namespace siskinflow
{

struct store_mirror::impl : std::enable_shared_from_this<impl>
{
    impl(prefix_reader& source, timer_queue& timers, const clock& time,
         std::string prefix, const mirror_options& options,
         mirror_listener& listener)
        : source(source), timers(timers), time(time), prefix(std::move(prefix)),
          options(options), listener(&listener),
          pacing(time.now(),
                 options.jitter_seed + std::hash<std::string>()(this->prefix))
    {
    }

    prefix_reader& source;
    timer_queue& timers;
    const clock& time;
    std::string prefix;
    mirror_options options;
    mirror_listener* listener; ///< Null once the mirror is destroyed.
    std::map<std::string, store_position> known_positions;
    store_position position;
    /// The store and the VMs that asked it know no later change.
    store_position last_change;
    time_point request_time{}; ///< When the last listing or watch was sent.
    time_point confirmed_at{}; ///< By the store or by another VM.
    time_point peer_confirmed_at{};
    store_position peers_last_change;  ///< Told by other VMs.
    duration current_wait{0};          ///< Of the last watch.
    bool watching = false;             ///< A watch is running.
    std::uint64_t current_watch = 0;   ///< Replies to earlier ones are ignored.
    std::uint64_t current_listing = 0; ///< The same for listings.
    unsigned replaced_watches = 0;     ///< In a row.
    bool listing = false;              ///< A listing is running.
    bool listing_due = false;          ///< A listing is scheduled.
    bool era_pending = false;    ///< The listing of a new era is not complete.
    std::uint64_t peers_era = 0; ///< Highest era that other VMs have told.
    bool confirms_for_others = false;
    std::function<void(const mirror_confirmation&)> on_confirmation;
    bool has_listed = false;
    bool failing = false;
    time_point failing_since{};
    time_point available_since{};
    call_pacing pacing;
    bool call_postponed = false; ///< Until the budget allows a call.

    // Calls (store_mirror.cpp)

    /// Whether a call may be made now. If not, the next call is made as soon as
    /// the budget allows it.
    bool take_call();

    void make_postponed_call();

    void list();

    /// Charges the further calls of a listing of several pages.
    void charge_listing(std::uint64_t calls_before,
                        const result<store_page>& page);

    /// A call that another VM answered is no call of the store.
    void refund_if_relayed(const result<store_page>& page);

    void watch_changes();

    /// Short enough that the others are told within their
    /// `max_unconfirmed_time`, and that this mirror confirms its state itself
    /// if nobody tells it.
    duration next_wait() const;

    /// Schedules a check that the watch was not lost.
    void check_watch_later(std::uint64_t watch_id);

    void check_watch(std::uint64_t watch_id, duration limit);

    void watch_changes_for(duration wait);

    void schedule(duration delay, void (impl::*next)());

    // Answers (mirror_answers.cpp)

    /// Lists the prefix because the watch can't go on.
    /// @param history_dropped the store has refused the watch
    void list_again(bool history_dropped);

    void list_if_due();

    /// Lists the prefix in an era that is higher than the mirror's. The answer
    /// to a listing that is running already is of that era or is dropped.
    void on_higher_era();

    void on_peer_era(std::uint64_t era);

    void on_list(result<store_page> page);

    void begin_era_of(const store_page& page);

    void on_changes(result<store_page> page);

    void on_watch_failed(const error& reason);

    /// Whether all calls have failed for so long that a watch could bring more
    /// than a listing.
    bool out_for_long() const;

    /// Makes a further call in place of a watch that was not answered.
    void replace_watch();

    void report_replaced_watch(watch_end reason);

    /// Whether a watch has ended without a change and before its time; asking
    /// again at once could go on without end.
    bool is_early(const store_page& page) const;

    /// When the store knew no changes beyond those of a watch's page.
    time_point confirmed_time(const store_page& page) const;

    void confirm(time_point at, bool relayed);

    void on_peer_confirmation(const mirror_confirmation& confirmation);

    /// Gives the running watch time to tell a change that another VM knows.
    /// @param heard_at when this VM heard of the change
    void catch_up_later(time_point heard_at);

    void catch_up_if_behind(time_point heard_at);

    /// Reports keys that were removed while no watch was running.
    void remove_missing(const store_page& page);

    void apply(const store_page& page);

    void on_success();

    void retry_later(const error& reason, void (impl::*next)());
};

} // namespace siskinflow
