/// @file
/// @brief The event loop of a process, built on h2o's.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/timer_queue.hpp>

#include <functional>
#include <memory>

namespace siskinflow::net
{

/// @brief Runs sockets and timers on the calling thread.
class event_loop
{
public:
    /// @param time source of time for timers; must outlive the loop
    explicit event_loop(const clock& time);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @brief Runs until `stop` is called.
    void run();

    /// @brief Runs one iteration.
    /// @param max_wait longest time to wait for an event
    void run_once(duration max_wait);

    /// @brief Makes `run` return after the current iteration.
    void stop();

    /// @brief Current time of the loop's clock.
    time_point now() const;

    /// @brief Runs a callback once after a delay (resolution 1 ms).
    /// @return the id for `cancel`
    timer_id after(duration delay, std::function<void()> callback);

    /// @brief Runs a callback periodically until the returned handle is
    /// destroyed.
    std::shared_ptr<void> every(duration interval,
                                std::function<void()> callback);

    /// @brief Cancels a timer made by `after`.
    void cancel(timer_id id);

    /// @brief Runs a callback in the next iteration.
    void post(std::function<void()> callback);

    /// @brief Runs a callback in the loop when the process gets a signal.
    /// @param number signal number, for example SIGTERM
    void on_signal(int number, std::function<void()> callback);

    /// @brief Runs a callback on SIGTERM and SIGINT.
    void on_stop_signal(const std::function<void()>& callback);

    /// @brief The timers that the loop runs.
    timer_queue& timers();

    /// @brief The clock of the timers.
    const clock& time() const;

    /// @brief The underlying h2o loop, for the sources of `net` only.
    struct native;
    native& handle();

private:
    std::unique_ptr<native> native_;
};

} // namespace siskinflow::net
