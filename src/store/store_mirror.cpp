#include <siskinflow/store/store_mirror.hpp>

#include <algorithm>
#include <set>

namespace siskinflow
{

namespace
{

constexpr duration list_timeout = std::chrono::seconds(2);
constexpr duration first_retry = std::chrono::milliseconds(50);
/// A store that refuses is spared more than one that can't be reached: its
/// calls cost, and a cut that has ended is to be noticed at once.
constexpr duration longest_retry_refused = std::chrono::milliseconds(800);
constexpr duration longest_retry_unreachable = std::chrono::milliseconds(200);

} // namespace

struct store_mirror::impl : std::enable_shared_from_this<impl>
{
    impl(lease_store& source, timer_queue& timers, const clock& time,
         std::string prefix, const mirror_options& options,
         mirror_listener& listener)
        : source(source), timers(timers), time(time), prefix(std::move(prefix)),
          options(options), listener(&listener)
    {
    }

    lease_store& source;
    timer_queue& timers;
    const clock& time;
    std::string prefix;
    mirror_options options;
    mirror_listener* listener; ///< Null once the mirror is destroyed.
    std::map<std::string, store_revision> known;
    store_revision revision = 0;
    time_point asked{};      ///< When the call that counts was sent.
    std::uint64_t watch = 0; ///< Number of the watch that counts.
    bool has_listed = false;
    bool failing = false;
    time_point failing_since{};
    time_point available_since{};
    duration retry = first_retry;

    void list()
    {
        asked = time.now();
        source.list(prefix, list_timeout,
                    [self = shared_from_this()](result<store_page> page)
                    { self->on_list(std::move(page)); });
    }

    void await()
    {
        const std::uint64_t number = ++watch;
        asked = time.now();
        source.await_changes(
            prefix, revision, options.watch,
            [self = shared_from_this(), number](result<store_page> page)
            {
                if (number == self->watch)
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
        succeeded();
        remove_missing(page.value());
        apply(page.value());
        has_listed = true;
        listener->on_confirmed(asked);
        listener->on_listed();
        await();
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
            retry_later(page.error(), &impl::await);
            return;
        }
        succeeded();
        apply(page.value());
        listener->on_confirmed(asked);
        if (page.value().entries.empty())
        {
            await();
            return;
        }
        after(options.pause, &impl::await);
    }

    void after(duration delay, void (impl::*next)())
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

    /// Reports the keys that were removed while no watch could tell.
    void remove_missing(const store_page& page)
    {
        std::set<std::string> present;
        for (const store_change& entry : page.entries)
        {
            present.insert(entry.key);
        }
        std::vector<std::string> gone;
        for (const auto& [key, seen] : known)
        {
            if (present.count(key) == 0)
            {
                gone.push_back(key);
            }
        }
        for (const std::string& key : gone)
        {
            known.erase(key);
            listener->on_change({key, {}, page.revision, true});
        }
    }

    void apply(const store_page& page)
    {
        for (const store_change& entry : page.entries)
        {
            store_revision& seen = known[entry.key];
            if (entry.revision <= seen)
            {
                continue;
            }
            seen = entry.revision;
            listener->on_change(entry);
            if (entry.removed)
            {
                known.erase(entry.key);
            }
        }
        revision = std::max(revision, page.revision);
    }

    void succeeded()
    {
        retry = first_retry;
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
        retry = std::min(retry * 2, reason.code == errc::timeout
                                        ? longest_retry_unreachable
                                        : longest_retry_refused);
        after(retry, next);
    }
};

store_mirror::store_mirror(lease_store& source, timer_queue& timers,
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
    // A watch may have been swallowed while calls failed as well.
    if (impl_->has_listed)
    {
        impl_->await();
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
