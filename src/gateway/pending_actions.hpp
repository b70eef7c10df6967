/// @file
/// @brief Actions that run later unless they are cancelled; internal to the
/// gateway.
#pragma once

#include <siskinflow/net/event_loop.hpp>

#include <functional>
#include <map>
#include <string>

namespace siskinflow::gateway
{

/// @brief At most one pending action for each key.
class pending_actions
{
public:
    /// @param loop runs the actions; must outlive this object
    explicit pending_actions(net::event_loop& loop) : loop_(loop) {}

    /// @brief Runs an action after a delay, in place of the key's former one.
    void set(const std::string& key, duration delay,
             std::function<void()> action);

    void cancel(const std::string& key);

    /// @brief Starts the delay of all actions anew.
    void postpone_all(duration delay);

private:
    struct pending
    {
        timer_id timer = 0;
        std::function<void()> action;
    };

    net::event_loop& loop_;
    std::map<std::string, pending> actions_;
};

} // namespace siskinflow::gateway
