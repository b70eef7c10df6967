#include <siskinflow/store/store_mirror.hpp>

#include <algorithm>
#include <set>

namespace siskinflow
{

namespace
{

constexpr duration list_timeout = std::chrono::seconds(2);
constexpr duration initial_retry_delay = std::chrono::milliseconds(50);
/// Longer than for an unreachable store: calls that the store refuses load it,
/// while the end of a network partition should be noticed at once.
constexpr duration max_retry_delay_refused = std::chrono::milliseconds(800);
constexpr duration max_retry_delay_unreachable = std::chrono::milliseconds(200);
/// Time allowed for the answer to a watch beyond its wait.
constexpr duration watch_answer_time = std::chrono::milliseconds(400);
/// Time after which a running watch should have told what another VM knows.
constexpr duration watch_delivery_time = std::chrono::milliseconds(300);
/// The shortest wait that the platform's store accepts.
constexpr duration min_watch_wait = std::chrono::milliseconds(1);

} // namespace

struct store_mirror::impl : std::enable_shared_from_this<impl>
{
    impl(prefix_reader& source, timer_queue& timers, const clock& time,
         std::string prefix, const mirror_options& options,
         mirror_listener& listener)
        : source(source), timers(timers), time(time), prefix(std::move(prefix)),
          options(options), listener(&listener)
    {
    }

    prefix_reader& source;
    timer_queue& timers;
    const clock& time;
    std::string prefix;
    mirror_options options;
    mirror_listener* listener; ///< Null once the mirror is destroyed.
    std::map<std::string, store_revision> known_revisions;
    store_revision revision = 0;
    /// The store and the VMs that asked it know no later change.
    store_revision last_change = 0;
    time_point request_time{}; ///< When the last listing or watch was sent.
    time_point confirmed_at{}; ///< By the store or by another VM.
    time_point peer_confirmed_at{};
    store_revision peers_last_change = 0; ///< Told by other VMs.
    duration current_wait{0};             ///< Of the last watch.
    bool watching = false;                ///< A watch is running.
    std::uint64_t current_watch = 0;   ///< Replies to earlier ones are ignored.
    std::uint64_t current_listing = 0; ///< The same for listings.
    bool confirms_for_others = false;
    std::function<void(const mirror_confirmation&)> on_confirmation;
    bool has_listed = false;
    bool failing = false;
    time_point failing_since{};
    time_point available_since{};
    duration retry_delay = initial_retry_delay;

    void list()
    {
        const std::uint64_t listing_id = ++current_listing;
        request_time = time.now();
        source.list(
            prefix, list_timeout,
            [self = shared_from_this(), listing_id](result<store_page> page)
            {
                if (listing_id == self->current_listing)
                {
                    self->on_list(std::move(page));
                }
            });
    }

    void watch_changes()
    {
        watch_changes_for(next_wait());
    }

    /// Short enough that the others are told within their
    /// `max_unconfirmed_time`, and that this mirror confirms its state itself
    /// if nobody tells it.
    duration next_wait() const
    {
        constexpr int confirmations_per_limit = 2;
        const duration limit = options.max_unconfirmed_time;
        if (confirms_for_others)
        {
            return std::min(options.max_watch_wait,
                            limit / confirmations_per_limit);
        }
        const bool peers_confirm = time.now() - peer_confirmed_at < limit;
        const duration own_wait =
            std::max(limit - watch_answer_time, limit / 2);
        return peers_confirm ? options.max_watch_wait
                             : std::min(options.max_watch_wait, own_wait);
    }

    /// Schedules a check that the watch was not lost.
    void check_watch_later(std::uint64_t watch_id)
    {
        const duration limit = std::min(options.max_unconfirmed_time,
                                        current_wait + watch_answer_time);
        const time_point due = std::max(confirmed_at, request_time) + limit;
        timers.schedule(due,
                        [weak = weak_from_this(), watch_id, limit]
                        {
                            const auto self = weak.lock();
                            if (self != nullptr && self->listener != nullptr)
                            {
                                self->check_watch(watch_id, limit);
                            }
                        });
    }

    void check_watch(std::uint64_t watch_id, duration limit)
    {
        if (watch_id != current_watch || !watching)
        {
            return;
        }
        if (time.now() - std::max(confirmed_at, request_time) < limit)
        {
            check_watch_later(watch_id);
            return;
        }
        replace_watch();
    }

    void replace_watch()
    {
        listener->on_watch_replaced(time.now() - confirmed_at);
        watch_changes();
    }

    void watch_changes_for(duration wait)
    {
        const std::uint64_t watch_id = ++current_watch;
        request_time = time.now();
        current_wait = wait;
        watching = true;
        check_watch_later(watch_id);
        source.await_changes(
            prefix, revision, wait,
            [self = shared_from_this(), watch_id](result<store_page> page)
            {
                if (watch_id == self->current_watch)
                {
                    self->on_changes(std::move(page));
                }
            });
    }

    void on_list(result<store_page> page)
    {
        if (listener == nullptr)
        {
            return;
        }
        if (!page)
        {
            retry_later(page.error(), &impl::list);
            return;
        }
        on_success();
        remove_missing(page.value());
        apply(page.value());
        // Removals that the listing does not show were made before it.
        last_change = std::max(last_change, page.value().revision);
        confirm(request_time, page.value().relayed);
        has_listed = true;
        listener->on_confirmed(request_time, revision);
        listener->on_listed();
        watch_changes();
    }

    void on_changes(result<store_page> page)
    {
        watching = false;
        if (listener == nullptr)
        {
            return;
        }
        if (!page && page.error().code == errc::stale)
        {
            list();
            return;
        }
        if (!page)
        {
            retry_later(page.error(), &impl::watch_changes);
            return;
        }
        on_success();
        apply(page.value());
        if (!page.value().relayed)
        {
            confirm(confirmed_time(page.value()), false);
        }
        listener->on_confirmed(request_time, revision);
        if (page.value().entries.empty())
        {
            watch_changes();
            return;
        }
        schedule(page.value().relayed ? options.relayed_batch_delay
                                      : options.batch_delay,
                 &impl::watch_changes);
    }

    void schedule(duration delay, void (impl::*next)())
    {
        timers.schedule(time.now() + delay,
                        [weak = weak_from_this(), next]
                        {
                            const auto self = weak.lock();
                            if (self != nullptr && self->listener != nullptr)
                            {
                                (self.get()->*next)();
                            }
                        });
    }

    /// When the store knew no changes beyond those of a watch's page.
    time_point confirmed_time(const store_page& page) const
    {
        const time_point wait_end = request_time + current_wait;
        const bool waited = page.entries.empty() && time.now() >= wait_end;
        return waited ? wait_end : request_time;
    }

    void confirm(time_point at, bool relayed)
    {
        confirmed_at = std::max(confirmed_at, at);
        if (confirms_for_others && !relayed && on_confirmation)
        {
            on_confirmation({last_change, at});
        }
    }

    void on_peer_confirmation(const mirror_confirmation& confirmation)
    {
        if (confirmation.last_change <= revision)
        {
            confirmed_at = std::max(confirmed_at, confirmation.at);
            peer_confirmed_at = std::max(peer_confirmed_at, confirmation.at);
            return;
        }
        if (confirmation.last_change > peers_last_change)
        {
            peers_last_change = confirmation.last_change;
            catch_up_later(time.now());
        }
    }

    /// Gives the running watch time to tell a change that another VM knows.
    /// @param heard_at when this VM heard of the change
    void catch_up_later(time_point heard_at)
    {
        timers.schedule(heard_at + watch_delivery_time,
                        [weak = weak_from_this(), heard_at]
                        {
                            const auto self = weak.lock();
                            if (self != nullptr && self->listener != nullptr)
                            {
                                self->catch_up_if_behind(heard_at);
                            }
                        });
    }

    void catch_up_if_behind(time_point heard_at)
    {
        const bool behind = revision < peers_last_change;
        // A later watch would have told the change at once.
        const bool watch_is_older = watching && request_time < heard_at;
        if (behind && watch_is_older)
        {
            listener->on_watch_replaced(time.now() - confirmed_at);
            watch_changes_for(min_watch_wait);
        }
    }

    /// Reports keys that were removed while no watch was running.
    void remove_missing(const store_page& page)
    {
        std::set<std::string> listed_keys;
        for (const store_change& entry : page.entries)
        {
            listed_keys.insert(entry.key);
        }
        std::vector<std::string> removed_keys;
        for (const auto& [key, last_revision] : known_revisions)
        {
            // A watch may have brought it while the listing was read.
            const bool is_later = last_revision > page.revision;
            if (listed_keys.count(key) == 0 && !is_later)
            {
                removed_keys.push_back(key);
            }
        }
        for (const std::string& key : removed_keys)
        {
            known_revisions.erase(key);
            listener->on_change({key, {}, page.revision, true});
        }
    }

    void apply(const store_page& page)
    {
        for (const store_change& entry : page.entries)
        {
            store_revision& last_revision = known_revisions[entry.key];
            if (entry.revision <= last_revision)
            {
                continue;
            }
            last_revision = entry.revision;
            last_change = std::max(last_change, entry.revision);
            listener->on_change(entry);
            if (entry.removed)
            {
                known_revisions.erase(entry.key);
            }
        }
        revision = std::max(revision, page.revision);
    }

    void on_success()
    {
        retry_delay = initial_retry_delay;
        if (failing)
        {
            failing = false;
            available_since = time.now();
            listener->on_available(available_since - failing_since);
        }
    }

    void retry_later(const error& reason, void (impl::*next)())
    {
        if (!failing)
        {
            failing = true;
            failing_since = time.now();
            listener->on_unavailable(reason);
        }
        retry_delay =
            std::min(retry_delay * 2, reason.code == errc::timeout
                                          ? max_retry_delay_unreachable
                                          : max_retry_delay_refused);
        schedule(retry_delay, next);
    }
};

store_mirror::store_mirror(prefix_reader& source, timer_queue& timers,
                           const clock& time, std::string prefix,
                           const mirror_options& options,
                           mirror_listener& listener)
    : impl_(std::make_shared<impl>(source, timers, time, std::move(prefix),
                                   options, listener))
{
}

store_mirror::~store_mirror()
{
    impl_->listener = nullptr;
}

void store_mirror::start()
{
    impl_->list();
}

void store_mirror::refresh()
{
    // The watch may also have been lost while calls are failing, so `failing`
    // is not checked.
    if (impl_->has_listed)
    {
        impl_->watch_changes();
    }
}

void store_mirror::catch_up()
{
    if (impl_->has_listed && !impl_->failing)
    {
        impl_->watch_changes_for(min_watch_wait);
    }
}

void store_mirror::confirm_for_others(bool confirms)
{
    const bool begins = confirms && !impl_->confirms_for_others;
    impl_->confirms_for_others = confirms;
    if (begins && impl_->watching)
    {
        impl_->watch_changes();
    }
}

void store_mirror::on_confirmation(
    std::function<void(const mirror_confirmation&)> call)
{
    impl_->on_confirmation = std::move(call);
}

void store_mirror::on_peer_confirmation(const mirror_confirmation& confirmation)
{
    if (impl_->has_listed)
    {
        impl_->on_peer_confirmation(confirmation);
    }
}

bool store_mirror::confirmed() const
{
    return impl_->time.now() - impl_->confirmed_at <=
           impl_->options.max_unconfirmed_time;
}

bool store_mirror::listed() const
{
    return impl_->has_listed;
}

bool store_mirror::unavailable() const
{
    return impl_->failing;
}

time_point store_mirror::available_since() const
{
    return impl_->available_since;
}

} // namespace siskinflow
