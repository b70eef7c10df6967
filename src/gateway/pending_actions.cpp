#include "pending_actions.hpp"

#include <utility>

namespace siskinflow::gateway
{

void pending_actions::set(const std::string& key, duration delay,
                          std::function<void()> action)
{
    cancel(key);
    const timer_id timer = loop_.after(delay,
                                       [this, key]
                                       {
                                           const auto finished =
                                               actions_.extract(key);
                                           finished.mapped().action();
                                       });
    actions_[key] = {timer, std::move(action)};
}

void pending_actions::cancel(const std::string& key)
{
    const auto found = actions_.find(key);
    if (found != actions_.end())
    {
        loop_.cancel(found->second.timer);
        actions_.erase(found);
    }
}

void pending_actions::postpone_all(duration delay)
{
    const auto postponed = actions_;
    for (const auto& [key, entry] : postponed)
    {
        set(key, delay, entry.action);
    }
}

} // namespace siskinflow::gateway
