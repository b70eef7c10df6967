#include <siskinflow/core/timer_queue.hpp>

#include <utility>

namespace siskinflow
{

timer_id timer_queue::schedule(time_point due, std::function<void()> callback)
{
    const timer_id id = ++last_id_;
    auto position = entries_.emplace(due, entry{id, std::move(callback)});
    by_id_.emplace(id, position);
    return id;
}

void timer_queue::cancel(timer_id id)
{
    auto it = by_id_.find(id);
    if (it == by_id_.end())
    {
        return;
    }
    entries_.erase(it->second);
    by_id_.erase(it);
}

bool timer_queue::run_due(time_point now)
{
    bool ran = false;
    while (!entries_.empty() && entries_.begin()->first <= now)
    {
        entry due = std::move(entries_.begin()->second);
        entries_.erase(entries_.begin());
        by_id_.erase(due.id);
        due.callback();
        ran = true;
    }
    return ran;
}

std::optional<time_point> timer_queue::next_due() const
{
    if (entries_.empty())
    {
        return std::nullopt;
    }
    return entries_.begin()->first;
}

} // namespace siskinflow
