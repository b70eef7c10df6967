/// @file
/// @brief State of a mirror; internal to the store client.
#pragma once

#include "call_pacing.hpp"
#include "watch_supervision.hpp"
#include <siskinflow/store/store_mirror.hpp>

#include <optional>

namespace siskinflow
{

/// @brief What a mirror remembers of a key.
struct known_key
{
    store_position position;
    std::size_t bytes = 0; ///< In an answer of the store, about.
};

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
    std::map<std::string, known_key> known_keys;
    std::size_t known_bytes = 0; ///< Of all known keys in an answer, about.
    store_position position;
    /// The store and the VMs that asked it know no later change.
    store_position last_change;
    time_point request_time{}; ///< When the last listing or watch was sent.
    time_point confirmed_at{}; ///< By the store or by another VM.
    time_point peer_confirmed_at{};
    store_position peers_last_change;  ///< Told by other VMs.
    time_point peers_last_change_at{}; ///< When they told it.
    /// Since when the store has had a change that this mirror should be told.
    std::optional<time_point> change_due_since;
    duration current_wait{0}; ///< Of the last watch.
    bool watching = false;    ///< A watch is running.
    watch_supervision supervision;
    timer_id watch_check = 0; ///< Of the running watch.
    time_point watch_check_at{};
    std::size_t bytes_received = 0; ///< Of its answer, at the last check.
    time_point first_bytes_at{};    ///< When these were seen.
    time_point last_bytes_at{};
    std::uint64_t current_watch = 0;   ///< Replies to earlier ones are ignored.
    std::uint64_t current_listing = 0; ///< The same for listings.
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

    /// Gives up the running watch, if there is one.
    void drop_watch();

    void watch_changes();

    /// Continues after a pause, unless another call was made meanwhile.
    void watch_if_idle();

    /// Short enough that the others are told within their
    /// `max_unconfirmed_time`, and that this mirror confirms its state itself
    /// if nobody tells it.
    duration next_wait() const;

    void watch_changes_for(duration wait);

    /// Makes a watch; the call was taken from the budget.
    void send_watch(duration wait);

    void schedule(duration delay, void (impl::*next)());

    // Supervision of the running watch (mirror_supervision.cpp)

    /// Whether the running watch could bring a change by now if it had one.
    bool answer_may_be_due() const;

    /// Whether the running watch was sent before this mirror began to confirm
    /// for others, and waits too long for that.
    bool outlasts_confirmations() const;

    /// Time without a confirmation after which the running watch may be lost.
    duration unconfirmed_limit() const;

    time_point next_watch_check() const;

    void check_watch_later();

    /// Takes into account what has come about since the check was scheduled.
    void check_watch_sooner();

    /// Keeps the running watch or puts another call in its place.
    void supervise_watch();

    void note_received_bytes();

    watch_observation observe_watch() const;

    void watch_again();

    void list_instead(watch_end reason);

    void report_replaced_watch(watch_end reason);

    /// Whether another VM knows a change that this mirror does not.
    bool behind() const;

    void on_later_change(store_position change);

    /// Time from when an answer was due; empty if it was not known to be due.
    std::optional<duration> time_to_answer(time_point sent_at) const;

    /// A call was answered that was sent at a time.
    void on_answered(time_point sent_at);

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

    /// Whether a watch has ended without a change and before its time; asking
    /// again at once could go on without end.
    bool is_early(const store_page& page) const;

    /// When the store knew no changes beyond those of a watch's page.
    time_point confirmed_time(const store_page& page) const;

    void confirm(time_point at, bool relayed);

    void on_peer_confirmation(const mirror_confirmation& confirmation);

    /// Reports keys that were removed while no watch was running.
    void remove_missing(const store_page& page);

    void apply(const store_page& page);

    void forget(const std::string& key);

    void on_success();

    void retry_later(const error& reason, void (impl::*next)());
};

} // namespace siskinflow
