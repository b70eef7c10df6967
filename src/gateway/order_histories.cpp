#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/order_histories.hpp>

#include <utility>

namespace siskinflow::gateway
{

namespace
{

/// An id is known for at least the longest time of a request.
constexpr duration min_known_time = std::chrono::seconds(60);
/// Ids after which older ones are forgotten earlier; each takes about 100
/// bytes.
constexpr std::size_t max_recent = 20000;

} // namespace

std::shared_ptr<attempt_history> order_histories::open(std::string_view id,
                                                       time_point now)
{
    forget_old(now);
    const std::uint64_t key = stable_hash(id);
    auto& history = recent_[key];
    if (history == nullptr)
    {
        const auto found = older_.find(key);
        history = found == older_.end() ? nullptr : found->second;
    }
    if (history == nullptr)
    {
        history = std::make_shared<attempt_history>();
    }
    history->on_requested();
    return history;
}

void order_histories::forget_old(time_point now)
{
    if (now - recent_since_ < min_known_time && recent_.size() < max_recent)
    {
        return;
    }
    older_ = std::exchange(recent_, {});
    recent_since_ = now;
}

} // namespace siskinflow::gateway
