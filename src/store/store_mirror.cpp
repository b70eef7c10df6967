#include "store_mirror_impl.hpp"

#include <algorithm>
#include <utility>

namespace siskinflow
{

namespace
{

constexpr duration list_timeout = std::chrono::seconds(2);
/// Time allowed for the answer to a watch beyond its wait.
constexpr duration watch_answer_time = std::chrono::milliseconds(400);
/// The shortest wait that the platform's store accepts.
constexpr duration min_watch_wait = std::chrono::milliseconds(1);

} // namespace

bool store_mirror::impl::take_call()
{
    const duration wait = pacing.take_call(time.now());
    if (wait > duration::zero() && !call_postponed)
    {
        call_postponed = true;
        schedule(wait, &impl::make_postponed_call);
    }
    return wait == duration::zero();
}

void store_mirror::impl::make_postponed_call()
{
    call_postponed = false;
    if (!has_listed || listing_due)
    {
        list();
        return;
    }
    if (watching)
    {
        supervise_watch();
        return;
    }
    watch_if_idle();
}

void store_mirror::impl::list()
{
    if (listing)
    {
        return; // It ends by itself.
    }
    listing_due = true;
    if (!take_call())
    {
        return;
    }
    listing_due = false;
    listing = true;
    drop_watch();
    const std::uint64_t listing_id = ++current_listing;
    const std::uint64_t calls_before = source.list_calls(prefix);
    request_time = time.now();
    source.list(prefix, list_timeout,
                [self = shared_from_this(), listing_id,
                 calls_before](result<store_page> page)
                {
                    self->charge_listing(calls_before, page);
                    if (listing_id == self->current_listing)
                    {
                        self->on_list(std::move(page));
                    }
                });
}

void store_mirror::impl::charge_listing(std::uint64_t calls_before,
                                        const result<store_page>& page)
{
    const std::uint64_t calls = source.list_calls(prefix) - calls_before;
    if (calls > 1)
    {
        pacing.charge(static_cast<double>(calls - 1), time.now());
    }
    refund_if_relayed(page);
}

void store_mirror::impl::refund_if_relayed(const result<store_page>& page)
{
    if (page && page.value().relayed)
    {
        pacing.charge(-1, time.now());
    }
}

void store_mirror::impl::drop_watch()
{
    ++current_watch; // Its answer is of no use any more.
    if (std::exchange(watching, false))
    {
        source.cancel_watch(prefix);
    }
}

void store_mirror::impl::watch_changes()
{
    watch_changes_for(next_wait());
}

void store_mirror::impl::watch_if_idle()
{
    if (!watching)
    {
        watch_changes();
    }
}

duration store_mirror::impl::next_wait() const
{
    constexpr int confirmations_per_limit = 2;
    const duration limit = options.max_unconfirmed_time;
    if (confirms_for_others)
    {
        return std::min(options.max_watch_wait,
                        limit / confirmations_per_limit);
    }
    const bool peers_confirm = time.now() - peer_confirmed_at < limit;
    const duration own_wait = std::max(limit - watch_answer_time, limit / 2);
    return peers_confirm ? options.max_watch_wait
                         : std::min(options.max_watch_wait, own_wait);
}

void store_mirror::impl::watch_changes_for(duration wait)
{
    // A watch from the position of an earlier era would mix the eras.
    if (era_pending || listing || listing_due || !take_call())
    {
        return;
    }
    send_watch(wait);
}

void store_mirror::impl::send_watch(duration wait)
{
    const std::uint64_t watch_id = ++current_watch;
    request_time = time.now();
    current_wait = wait;
    watching = true;
    bytes_received = 0;
    check_watch_later();
    source.await_changes(
        prefix, position, wait,
        [self = shared_from_this(), watch_id](result<store_page> page)
        {
            self->refund_if_relayed(page);
            if (watch_id == self->current_watch)
            {
                self->on_changes(std::move(page));
            }
        });
}

void store_mirror::impl::schedule(duration delay, void (impl::*next)())
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
    impl_->source.on_new_era(
        [weak = std::weak_ptr(impl_)](std::uint64_t era)
        {
            const auto self = weak.lock();
            if (self != nullptr && self->listener != nullptr &&
                era > self->position.era)
            {
                self->on_higher_era();
            }
        });
    impl_->list();
}

void store_mirror::refresh()
{
    // The watch may also have been lost while calls are failing, so `failing`
    // is not checked.
    if (!impl_->has_listed)
    {
        return;
    }
    if (impl_->listing_due || impl_->out_for_long())
    {
        impl_->list();
        return;
    }
    impl_->note_received_bytes();
    if (!impl_->watching || impl_->bytes_received == 0)
    {
        impl_->watch_changes();
    }
}

void store_mirror::catch_up()
{
    if (impl_->has_listed && !impl_->failing && !impl_->answer_may_be_due())
    {
        impl_->watch_changes_for(min_watch_wait);
    }
}

void store_mirror::confirm_for_others(bool confirms)
{
    const bool begins = confirms && !impl_->confirms_for_others;
    impl_->confirms_for_others = confirms;
    if (begins)
    {
        impl_->check_watch_sooner();
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
