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
    time_point request_time{}; ///< When the last listing or watch was sent.
    std::uint64_t current_watch = 0;   ///< Replies to earlier ones are ignored.
    std::uint64_t current_listing = 0; ///< The same for listings.
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
        watch_changes_for(options.max_watch_wait);
    }

    void watch_changes_for(duration wait)
    {
        const std::uint64_t watch_id = ++current_watch;
        request_time = time.now();
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
        has_listed = true;
        listener->on_confirmed(request_time, revision);
        listener->on_listed();
        watch_changes();
    }

    void on_changes(result<store_page> page)
    {
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
    // The shortest wait that the platform's store accepts.
    constexpr duration min_wait = std::chrono::milliseconds(1);
    if (impl_->has_listed && !impl_->failing)
    {
        impl_->watch_changes_for(min_wait);
    }
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
