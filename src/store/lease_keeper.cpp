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
/// Longest time between two leases while none of them holds.
constexpr duration max_grant_delay = std::chrono::milliseconds(2400);
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
    std::uint64_t lease_id = 0;  ///< 0: no lease is held.
    std::uint64_t lease_era = 0; ///< In which it was granted.
    /// Calls and timers of earlier steps are ignored.
    std::uint64_t current_step = 0;
    time_point next_grant_at{};         ///< No lease is taken before.
    duration grant_delay = retry_delay; ///< Doubles until a renewal succeeds.
    bool stopped = false;
    bool failing = false;
    time_point answered_at{}; ///< When the last answered call was sent.
    std::function<void(const error&)> on_unavailable;
    std::function<void()> on_recovered;

    /// A callback that is ignored once the keeper has taken another step.
    template <class T>
    auto reply(void (impl::*next)(const result<T>&))
    {
        return [self = shared_from_this(), step = ++current_step,
                sent_at = time.now(), next](const result<T>& value)
        {
            self->update_availability(value, sent_at);
            if (step == self->current_step)
            {
                (self.get()->*next)(value);
            }
        };
    }

    void request_lease()
    {
        client.grant_lease(ttl, call_timeout, reply(&impl::on_granted));
    }

    /// Takes a lease in place of one that has ended. A store that ends each
    /// lease at once is asked less and less often.
    void take_another_lease()
    {
        lease_id = 0;
        ++current_step;
        const time_point now = time.now();
        const duration wait = std::max(duration::zero(), next_grant_at - now);
        next_grant_at = now + wait + grant_delay;
        grant_delay = std::min(grant_delay * 2, max_grant_delay);
        if (wait == duration::zero())
        {
            request_lease();
            return;
        }
        schedule(wait, &impl::request_lease);
    }

    /// The store has returned from a copy that does not have this lease. Its
    /// number may have been given to another holder.
    void on_new_era(std::uint64_t era)
    {
        if (!stopped && lease_id != 0 && era > lease_era)
        {
            take_another_lease();
        }
    }

    void on_granted(const result<store_lease>& granted)
    {
        if (!granted)
        {
            schedule(retry_delay, &impl::request_lease);
            return;
        }
        lease_id = granted.value().id;
        lease_era = client.era();
        if (stopped)
        {
            end_lease_if_held();
            return;
        }
        write_key();
    }

    void write_key()
    {
        client.put(key, value, lease_id, call_timeout,
                   reply(&impl::on_written));
    }

    void on_written(const result<void>& written)
    {
        if (!written && written.error().code == errc::not_found)
        {
            take_another_lease();
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
        client.renew_lease(lease_id, call_timeout, reply(&impl::on_renewed));
    }

    void on_renewed(const result<void>& renewed)
    {
        if (!renewed && renewed.error().code == errc::not_found)
        {
            take_another_lease();
            return;
        }
        if (renewed)
        {
            grant_delay = retry_delay;
        }
        schedule(renewed ? ttl / renewals_per_ttl : retry_delay, &impl::renew);
    }

    /// Reports when the store stops or resumes answering. `errc::not_found`,
    /// an ended lease, counts as an answer.
    template <class T>
    void update_availability(const result<T>& reply, time_point sent_at)
    {
        const bool answered = reply || reply.error().code == errc::not_found;
        const bool was_failing = std::exchange(failing, !answered);
        answered_at = answered ? std::max(answered_at, sent_at) : answered_at;
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
                        [weak = weak_from_this(), next, step = ++current_step]
                        {
                            const auto self = weak.lock();
                            if (self != nullptr && !self->stopped &&
                                step == self->current_step)
                            {
                                (self.get()->*next)();
                            }
                        });
    }

    void end_lease_if_held()
    {
        // In a later era, the number may be the lease of another holder.
        if (lease_id != 0 && lease_era == client.era())
        {
            client.end_lease(lease_id, call_timeout,
                             [](const result<void>&)
                             {
                                 // If the store can't be reached, the lease
                                 // expires by itself.
                             });
        }
        lease_id = 0;
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
    impl_->client.on_new_era(
        [weak = std::weak_ptr(impl_)](std::uint64_t era)
        {
            if (const auto self = weak.lock())
            {
                self->on_new_era(era);
            }
        });
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
