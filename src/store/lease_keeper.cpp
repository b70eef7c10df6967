#include <siskinflow/store/lease_keeper.hpp>

#include <algorithm>
#include <utility>

namespace siskinflow
{

namespace
{

/// Renewals within one TTL. They also detect a store that stops answering for
/// less than a TTL and has lost the watches it received meanwhile.
constexpr int renewals_per_ttl = 6;
constexpr duration retry_delay = std::chrono::milliseconds(300);
constexpr duration call_timeout = std::chrono::seconds(1);

} // namespace

struct lease_keeper::impl : std::enable_shared_from_this<impl>
{
    impl(lease_store& client, timer_queue& timers, const clock& time,
         std::string key, std::string value, duration ttl)
        : client(client), timers(timers), time(time), key(std::move(key)),
          value(std::move(value)), ttl(ttl)
    {
    }

    lease_store& client;
    timer_queue& timers;
    const clock& time;
    std::string key;
    std::string value;
    duration ttl;
    std::uint64_t lease_id = 0; ///< 0: no lease is held.
    bool stopped = false;
    bool failing = false;
    time_point call_sent_at{};
    time_point answered_at{}; ///< When the last answered call was sent.
    std::function<void(const error&)> on_unavailable;
    std::function<void()> on_recovered;

    void request_lease()
    {
        call_sent_at = time.now();
        client.grant_lease(
            ttl, call_timeout,
            [self = shared_from_this()](const result<store_lease>& granted)
            { self->on_granted(granted); });
    }

    void on_granted(const result<store_lease>& granted)
    {
        update_availability(granted);
        if (!granted)
        {
            schedule(retry_delay, &impl::request_lease);
            return;
        }
        lease_id = granted.value().id;
        if (stopped)
        {
            end_lease_if_held();
            return;
        }
        write_key();
    }

    void write_key()
    {
        call_sent_at = time.now();
        client.put(key, value, lease_id, call_timeout,
                   [self = shared_from_this()](const result<void>& written)
                   { self->on_written(written); });
    }

    void on_written(const result<void>& written)
    {
        update_availability(written);
        if (!written && written.error().code == errc::not_found)
        {
            request_lease();
            return;
        }
        if (!written)
        {
            // The write may have taken effect; writing it again is harmless.
            schedule(retry_delay, &impl::write_key);
            return;
        }
        schedule(ttl / renewals_per_ttl, &impl::renew);
    }

    void renew()
    {
        call_sent_at = time.now();
        client.renew_lease(
            lease_id, call_timeout,
            [self = shared_from_this()](const result<void>& renewed)
            { self->on_renewed(renewed); });
    }

    void on_renewed(const result<void>& renewed)
    {
        update_availability(renewed);
        if (!renewed && renewed.error().code == errc::not_found)
        {
            request_lease();
            return;
        }
        schedule(renewed ? ttl / renewals_per_ttl : retry_delay, &impl::renew);
    }

    /// Reports when the store stops or resumes answering. `errc::not_found`,
    /// an ended lease, counts as an answer.
    template <class T>
    void update_availability(const result<T>& reply)
    {
        const bool answered = reply || reply.error().code == errc::not_found;
        const bool was_failing = std::exchange(failing, !answered);
        answered_at = answered ? call_sent_at : answered_at;
        if (stopped || failing == was_failing)
        {
            return;
        }
        if (answered && on_recovered)
        {
            on_recovered();
        }
        if (!answered && on_unavailable)
        {
            on_unavailable(reply.error());
        }
    }

    void schedule(duration delay, void (impl::*next)())
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

    void end_lease_if_held()
    {
        if (lease_id != 0)
        {
            client.end_lease(lease_id, call_timeout,
                             [](const result<void>&)
                             {
                                 // If the store can't be reached, the lease
                                 // expires by itself.
                             });
            lease_id = 0;
        }
    }
};

lease_keeper::lease_keeper(lease_store& client, timer_queue& timers,
                           const clock& time, std::string key,
                           std::string value, duration ttl)
    : impl_(std::make_shared<impl>(client, timers, time, std::move(key),
                                   std::move(value), ttl))
{
}

lease_keeper::~lease_keeper()
{
    impl_->stopped = true;
}

void lease_keeper::on_unavailable(std::function<void(const error&)> callback)
{
    impl_->on_unavailable = std::move(callback);
}

void lease_keeper::on_recovered(std::function<void()> callback)
{
    impl_->on_recovered = std::move(callback);
}

void lease_keeper::start()
{
    impl_->request_lease();
}

time_point lease_keeper::answered_at() const
{
    return impl_->answered_at;
}

void lease_keeper::stop()
{
    impl_->stopped = true;
    impl_->end_lease_if_held();
}

} // namespace siskinflow
