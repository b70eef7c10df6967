#include <siskinflow/store/memory_store.hpp>

#include <algorithm>

namespace siskinflow
{

namespace
{

/// @brief State of one watch, shared by its handle and the store.
struct watch_state
{
    std::string begin;
    std::string end;
    store_revision next = 0;
    std::function<void(store_value)> on_change;
    std::function<void(error)> on_end;
    bool ended = false;
};

class memory_watch final : public store_watch
{
public:
    explicit memory_watch(std::shared_ptr<watch_state> state)
        : state_(std::move(state))
    {
    }
    ~memory_watch() override
    {
        state_->ended = true;
    }

private:
    std::shared_ptr<watch_state> state_;
};

bool all_values_fit(const swap_request& request)
{
    return std::all_of(request.puts.begin(), request.puts.end(),
                       [](const auto& put)
                       { return put.second.size() <= max_store_value_bytes; });
}

} // namespace

struct memory_store::impl : std::enable_shared_from_this<impl>
{
    impl(std::shared_ptr<data> shared, const clock& time, timer_queue& timers)
        : shared(std::move(shared)), time(time), timers(timers)
    {
    }

    std::shared_ptr<data> shared;
    const clock& time;
    timer_queue& timers;
    store_faults faults;
    store_counters counters;
    std::vector<std::shared_ptr<watch_state>> watches;

    /// @brief Runs a callback later unless the store was destroyed.
    void schedule(duration delay, std::function<void()> callback)
    {
        timers.schedule(
            time.now() + delay,
            [weak = weak_from_this(), callback = std::move(callback)]
            {
                if (const auto self = weak.lock())
                {
                    callback();
                }
            });
    }

    /// @brief Makes a call under the current faults.
    /// @param operation runs on the data
    /// @param lost_reply_code error code if the answer is lost
    template <class T>
    void call(duration timeout, errc lost_reply_code,
              std::function<result<T>()> operation, callback<T> done)
    {
        if (faults.outage)
        {
            answer<T>(duration{0}, done,
                      fail(errc::unavailable, "the store refuses calls"));
            return;
        }
        if (faults.silent)
        {
            answer<T>(timeout, done,
                      fail(lost_reply_code, "the store gave no answer"));
            return;
        }
        if (faults.delay >= timeout || faults.lose_replies)
        {
            static_cast<void>(operation());
            answer<T>(timeout, done,
                      fail(lost_reply_code, "the answer was lost"));
            return;
        }
        answer<T>(faults.delay, done, operation());
    }

    template <class T>
    void answer(duration delay, callback<T> done, result<T> value)
    {
        schedule(delay, [done = std::move(done), value = std::move(value)]
                 { done(value); });
    }

    void schedule_delivery()
    {
        schedule(faults.delay, [this] { deliver(); });
    }

    void deliver()
    {
        if (faults.silent || faults.stale_revision != 0)
        {
            return;
        }
        std::erase_if(watches, [](const auto& item) { return item->ended; });
        const auto active_watches = watches;
        for (const auto& item : active_watches)
        {
            deliver_to(*item);
        }
    }

    void deliver_to(watch_state& item)
    {
        const auto changes =
            shared->values().changes_since(item.next, item.begin, item.end);
        item.next = shared->values().revision() + 1;
        for (const auto& change : changes)
        {
            if (!item.ended && change.value)
            {
                item.on_change({change.key, *change.value, change.revision});
            }
        }
    }

    void break_watches()
    {
        schedule(duration{0},
                 [this]
                 {
                     const auto active_watches = std::exchange(watches, {});
                     for (const auto& item : active_watches)
                     {
                         end(*item);
                     }
                 });
    }

    static void end(watch_state& item)
    {
        if (!item.ended)
        {
            item.ended = true;
            item.on_end({errc::unavailable, "the store ended the watch"});
        }
    }
};

store_revision memory_store::data::put(std::string key, std::string value)
{
    const auto revision =
        values_.apply({{std::move(key), std::optional(std::move(value))}});
    notify();
    return revision;
}

void memory_store::data::notify()
{
    for (memory_store* client : clients_)
    {
        client->impl_->schedule_delivery();
    }
}

memory_store::memory_store(std::shared_ptr<data> shared, const clock& time,
                           timer_queue& timers)
    : impl_(std::make_shared<impl>(std::move(shared), time, timers))
{
    impl_->shared->clients_.insert(this);
}

memory_store::memory_store(const clock& time, timer_queue& timers)
    : memory_store(std::make_shared<data>(), time, timers)
{
}

memory_store::~memory_store()
{
    impl_->shared->clients_.erase(this);
}

const std::shared_ptr<memory_store::data>& memory_store::shared() const
{
    return impl_->shared;
}

void memory_store::set_faults(const store_faults& faults)
{
    impl_->faults = faults;
    if (faults.outage)
    {
        impl_->break_watches();
    }
    impl_->schedule_delivery();
}

const store_faults& memory_store::faults() const
{
    return impl_->faults;
}

const store_counters& memory_store::counters() const
{
    return impl_->counters;
}

void memory_store::read(std::string key, duration timeout,
                        callback<std::optional<store_value>> done)
{
    ++impl_->counters.reads;
    impl_->call<std::optional<store_value>>(
        timeout, errc::timeout,
        [this, key = std::move(key)]() -> result<std::optional<store_value>> {
            return impl_->shared->values_.read(key,
                                               impl_->faults.stale_revision);
        },
        std::move(done));
}

void memory_store::read_prefix(std::string prefix, duration timeout,
                               callback<std::vector<store_value>> done)
{
    ++impl_->counters.reads;
    impl_->call<std::vector<store_value>>(
        timeout, errc::timeout,
        [this, prefix = std::move(prefix)]() -> result<std::vector<store_value>>
        {
            return impl_->shared->values_.read_range(
                prefix, prefix_end(prefix), impl_->faults.stale_revision);
        },
        std::move(done));
}

void memory_store::swap(swap_request request, duration timeout,
                        callback<store_revision> done)
{
    ++impl_->counters.swaps;
    impl_->call<store_revision>(
        timeout, errc::unknown_outcome,
        [this, request = std::move(request)]() -> result<store_revision>
        {
            if (!all_values_fit(request))
            {
                return fail(errc::too_large,
                            "a value for key '" + request.key +
                                "' is larger than the store allows");
            }
            auto& shared = *impl_->shared;
            const auto mod_revision = shared.values_.mod_revision(request.key);
            if (mod_revision != request.expected)
            {
                return fail(errc::conflict,
                            "key '" + request.key + "' is at revision " +
                                std::to_string(mod_revision) + ", not " +
                                std::to_string(request.expected));
            }
            std::vector<std::pair<std::string, std::optional<std::string>>>
                writes(request.puts.begin(), request.puts.end());
            const auto revision = shared.values_.apply(writes);
            shared.notify();
            return revision;
        },
        std::move(done));
}

std::unique_ptr<store_watch>
memory_store::watch(std::string key, store_revision from,
                    std::function<void(store_value)> on_change,
                    std::function<void(error)> on_end)
{
    ++impl_->counters.watches;
    auto state = std::make_shared<watch_state>();
    state->end = watch_end(key);
    state->begin = std::move(key);
    state->next = from != 0 ? from : impl_->shared->values_.revision() + 1;
    state->on_change = std::move(on_change);
    state->on_end = std::move(on_end);
    impl_->watches.push_back(state);
    if (impl_->faults.outage)
    {
        impl_->break_watches();
    }
    else
    {
        impl_->schedule_delivery();
    }
    return std::make_unique<memory_watch>(std::move(state));
}

} // namespace siskinflow
