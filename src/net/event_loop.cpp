#include "h2o_native.hpp"
#include <siskinflow/net/event_loop.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sys/signalfd.h>
#include <unistd.h>

namespace siskinflow::net
{

namespace
{

constexpr duration max_poll_wait = std::chrono::seconds(1);

std::int32_t to_wait_milliseconds(duration wait)
{
    // Rounded up: waking before a timer is due would busy-wait.
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(
        std::clamp(wait, duration::zero(), max_poll_wait));
    return static_cast<std::int32_t>(rounded.count());
}

void on_signal_readable(h2o_socket_t* socket, const char* /*error*/)
{
    auto* native = static_cast<event_loop::native*>(socket->data);
    signalfd_siginfo info{};
    while (::read(h2o_socket_get_fd(socket), &info, sizeof(info)) ==
           static_cast<ssize_t>(sizeof(info)))
    {
        const auto entry =
            native->signal_callbacks.find(static_cast<int>(info.ssi_signo));
        if (entry != native->signal_callbacks.end())
        {
            entry->second();
        }
    }
}

} // namespace

event_loop::event_loop(const clock& time)
    : native_(std::make_unique<native>(time))
{
    // A peer that closes its end must be an error value, not a signal.
    std::signal(SIGPIPE, SIG_IGN);
    native_->loop = h2o_evloop_create();
    native_->queue = h2o_multithread_create_queue(native_->loop);
    h2o_multithread_register_receiver(native_->queue,
                                      &native_->getaddr_receiver,
                                      h2o_hostinfo_getaddr_receiver);
}

event_loop::~event_loop()
{
    if (native_->signal_socket != nullptr)
    {
        h2o_socket_close(native_->signal_socket);
    }
    // h2o 2.2 can't destroy a loop that has ever held sockets; the process
    // has one loop and ends with it.
}

void event_loop::run()
{
    native_->stopping = false;
    while (!native_->stopping)
    {
        run_once(max_poll_wait);
    }
}

void event_loop::run_once(duration max_wait)
{
    duration wait = max_wait;
    if (const auto due = native_->timers.next_due())
    {
        wait = std::min<duration>(wait, *due - now());
    }
    if (native_->poll_without_waiting || !native_->posted.empty())
    {
        wait = duration::zero();
    }
    ++native_->passes;
    h2o_evloop_run(native_->loop, to_wait_milliseconds(wait));
    native_->poll_without_waiting = native_->timers.run_due(now());
    std::vector<std::function<void()>> ready;
    ready.swap(native_->posted);
    native_->poll_without_waiting =
        native_->poll_without_waiting || !ready.empty();
    for (auto& callback : ready)
    {
        callback();
    }
}

void event_loop::stop()
{
    native_->stopping = true;
}

time_point event_loop::now() const
{
    return native_->time.now();
}

timer_id event_loop::after(duration delay, std::function<void()> callback)
{
    return native_->timers.schedule(now() + delay, std::move(callback));
}

namespace
{

/// Runs a callback periodically until the timer is destroyed.
class periodic_timer : public std::enable_shared_from_this<periodic_timer>
{
public:
    periodic_timer(event_loop& loop, duration interval,
                   std::function<void()> callback)
        : loop_(loop), interval_(interval), callback_(std::move(callback))
    {
    }

    ~periodic_timer()
    {
        loop_.cancel(timer_);
    }

    void arm()
    {
        timer_ = loop_.after(interval_,
                             [weak = weak_from_this()]
                             {
                                 if (auto self = weak.lock())
                                 {
                                     self->arm();
                                     self->callback_();
                                 }
                             });
    }

private:
    event_loop& loop_;
    duration interval_;
    std::function<void()> callback_;
    timer_id timer_ = 0;
};

} // namespace

std::shared_ptr<void> event_loop::every(duration interval,
                                        std::function<void()> callback)
{
    auto timer =
        std::make_shared<periodic_timer>(*this, interval, std::move(callback));
    timer->arm();
    return timer;
}

void event_loop::cancel(timer_id id)
{
    native_->timers.cancel(id);
}

void event_loop::post(std::function<void()> callback)
{
    native_->posted.push_back(std::move(callback));
}

void event_loop::on_signal(int number, std::function<void()> callback)
{
    native_->signal_callbacks[number] = std::move(callback);
    sigset_t signals;
    sigemptyset(&signals);
    for (const auto& [registered, handler] : native_->signal_callbacks)
    {
        sigaddset(&signals, registered);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const int existing_descriptor =
        native_->signal_socket == nullptr
            ? -1
            : h2o_socket_get_fd(native_->signal_socket);
    const int descriptor =
        ::signalfd(existing_descriptor, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0)
    {
        std::abort();
    }
    if (existing_descriptor >= 0)
    {
        return;
    }
    native_->signal_socket = h2o_evloop_socket_create(
        native_->loop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
    native_->signal_socket->data = native_.get();
    h2o_socket_read_start(native_->signal_socket, on_signal_readable);
}

void event_loop::on_stop_signal(const std::function<void()>& callback)
{
    on_signal(SIGTERM, callback);
    on_signal(SIGINT, callback);
}

timer_queue& event_loop::timers()
{
    return native_->timers;
}

const clock& event_loop::time() const
{
    return native_->time;
}

event_loop::native& event_loop::handle()
{
    return *native_;
}

} // namespace siskinflow::net
