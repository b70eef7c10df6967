#include <siskinflow/store/lease_keeper.hpp>

#include <algorithm>
#include <utility>

namespace siskinflow
{

namespace
{

/// Renewals within one lifetime of the lease. They also find a store that is
/// silent for less than that, which has forgotten the watches it swallowed.
constexpr int renewals_per_ttl = 6;
constexpr duration retry_delay = std::chrono::milliseconds(300);
constexpr duration call_timeout = std::chrono::seconds(1);

} // namespace

struct lease_keeper::impl : std::enable_shared_from_this<impl>
{
    impl(lease_store& source, timer_queue& timers, const clock& time,
         std::string key, std::string value, duration ttl)
        : source(source), timers(timers), time(time), key(std::move(key)),
          value(std::move(value)), ttl(ttl)
    {
    }

    lease_store& source;
    timer_queue& timers;
    const clock& time;
    std::string key;
    std::string value;
    duration ttl;
    std::uint64_t lease = 0; ///< 0: none is held.
    bool stopped = false;
    bool failing = false;
    std::function<void(const error&)> on_lost;
    std::function<void()> on_recovered;

    void grant()
    {
        source.grant_lease(
            ttl, call_timeout,
            [self = shared_from_this()](const result<store_lease>& granted)
            { self->on_granted(granted); });
    }

    void on_granted(const result<store_lease>& granted)
    {
        note(granted);
        if (!granted)
        {
            after(retry_delay, &impl::grant);
            return;
        }
        lease = granted.value().id;
        if (stopped)
        {
            end();
            return;
        }
        write();
    }

    void write()
    {
        source.put(key, value, lease, call_timeout,
                   [self = shared_from_this()](const result<void>& written)
                   { self->on_written(written); });
    }

    void on_written(const result<void>& written)
    {
        note(written);
        if (!written && written.error().code == errc::not_found)
        {
            grant();
            return;
        }
        if (!written)
        {
            // The write may have taken effect; writing it again is harmless.
            after(retry_delay, &impl::write);
            return;
        }
        after(ttl / renewals_per_ttl, &impl::renew);
    }

    void renew()
    {
        source.renew_lease(
            lease, call_timeout,
            [self = shared_from_this()](const result<void>& renewed)
            { self->on_renewed(renewed); });
    }

    void on_renewed(const result<void>& renewed)
    {
        note(renewed);
        if (!renewed && renewed.error().code == errc::not_found)
        {
            grant();
            return;
        }
        after(renewed ? ttl / renewals_per_ttl : retry_delay, &impl::renew);
    }

    /// Notes whether the store answered. That a lease has ended is an answer.
    template <class T>
    void note(const result<T>& got)
    {
        const bool answered = got || got.error().code == errc::not_found;
        const bool was_failing = std::exchange(failing, !answered);
        if (stopped || failing == was_failing)
        {
            return;
        }
        if (answered && on_recovered)
        {
            on_recovered();
        }
        if (!answered && on_lost)
        {
            on_lost(got.error());
        }
    }

    void after(duration delay, void (impl::*next)())
    {
        if (stopped)
        {
            return;
        }
        timers.schedule(time.now() + delay,
                        [weak = weak_from_this(), next]
                        {
                            const auto self = weak.lock();
                            if (self != nullptr && !self->stopped)
                            {
                                (self.get()->*next)();
                            }
                        });
    }

    void end()
    {
        if (lease != 0)
        {
            source.end_lease(lease, call_timeout,
                             [](const result<void>&)
                             {
                                 // If the store can't be reached, the lease
                                 // runs out.
                             });
            lease = 0;
        }
    }
};

lease_keeper::lease_keeper(lease_store& source, timer_queue& timers,
                           const clock& time, std::string key,
                           std::string value, duration ttl)
    : impl_(std::make_shared<impl>(source, timers, time, std::move(key),
                                   std::move(value), ttl))
{
}

lease_keeper::~lease_keeper()
{
    impl_->stopped = true;
}

void lease_keeper::on_lost(std::function<void(const error&)> callback)
{
    impl_->on_lost = std::move(callback);
}

void lease_keeper::on_recovered(std::function<void()> callback)
{
    impl_->on_recovered = std::move(callback);
}

void lease_keeper::start()
{
    impl_->grant();
}

void lease_keeper::stop()
{
    impl_->stopped = true;
    impl_->end();
}

} // namespace siskinflow
