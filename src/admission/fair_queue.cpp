#include <siskinflow/admission/fair_queue.hpp>

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <set>
#include <unordered_map>

namespace siskinflow
{

namespace
{

// Maximum number of requests of an organisation in one round. A larger value
// would let an organisation with a high rate delay the others for a whole
// round.
constexpr double max_quantum = 32;

constexpr std::size_t min_queue_bound = 16;

// Time constant of the moving average of the service rate.
constexpr double service_rate_time_constant_s = 1.0;

constexpr double max_estimated_wait_s = 3600;

struct queued_request
{
    queue_item_id item = 0;
    time_point expires_at{};
    refusal_reason expiry_reason = refusal_reason::none;
};

struct org_queue
{
    std::string name;
    double rate_per_s = 1;
    std::size_t bound = 0;
    double quantum = 1;
    double deficit = 0;
    std::list<queued_request> items;
    double served_per_s = 0; ///< Moving average of the service rate.
    time_point last_served_at{};
    bool configured = true; ///< In the classes of the last `set_classes`.

    double current_service_rate(time_point now) const
    {
        return served_per_s * std::exp(-to_seconds(now - last_served_at) /
                                       service_rate_time_constant_s);
    }

    void record_service(time_point now)
    {
        served_per_s =
            current_service_rate(now) + 1.0 / service_rate_time_constant_s;
        last_served_at = now;
    }

    // Requests may be served faster than the rate while tokens are left, so
    // the rate alone would refuse requests that can be served in time.
    double expected_rate(time_point now) const
    {
        return std::max(rate_per_s, current_service_rate(now));
    }
};

struct queue_position
{
    org_queue* queue = nullptr;
    std::list<queued_request>::iterator request;
};

} // namespace

std::size_t queue_bound(double rate_per_s, double burst)
{
    const double requests = rate_per_s * to_seconds(share_wait_limit) + burst;
    return std::max(min_queue_bound,
                    static_cast<std::size_t>(std::ceil(requests)));
}

struct fair_queue::impl
{
    std::map<std::string, org_queue, std::less<>> queues;
    /// Queues with requests, in serving order.
    std::vector<org_queue*> active_queues;
    std::size_t next_index = 0; ///< Position in `active_queues`.
    std::unordered_map<queue_item_id, queue_position> by_item;
    std::set<std::pair<time_point, queue_item_id>> by_expiry;

    void remove(queue_item_id item)
    {
        const auto it = by_item.find(item);
        org_queue& queue = *it->second.queue;
        by_expiry.erase({it->second.request->expires_at, item});
        queue.items.erase(it->second.request);
        by_item.erase(it);
        if (queue.items.empty())
        {
            deactivate(queue);
        }
    }

    void deactivate(org_queue& queue)
    {
        const auto it =
            std::find(active_queues.begin(), active_queues.end(), &queue);
        const auto index = static_cast<std::size_t>(it - active_queues.begin());
        active_queues.erase(it);
        if (index < next_index)
        {
            --next_index;
        }
        queue.deficit = 0;
    }

    void set_quanta()
    {
        double smallest = 0;
        for (const auto& [name, queue] : queues)
        {
            if (queue.rate_per_s > 0 &&
                (smallest == 0 || queue.rate_per_s < smallest))
            {
                smallest = queue.rate_per_s;
            }
        }
        for (auto& [name, queue] : queues)
        {
            const double ratio =
                smallest > 0 ? queue.rate_per_s / smallest : 1.0;
            queue.quantum = std::clamp(ratio, 1.0, max_quantum);
        }
    }
};

fair_queue::fair_queue() : impl_(std::make_unique<impl>()) {}
fair_queue::~fair_queue() = default;
fair_queue::fair_queue(fair_queue&&) noexcept = default;
fair_queue& fair_queue::operator=(fair_queue&&) noexcept = default;

std::vector<queue_item_id>
fair_queue::set_classes(const std::vector<queue_class>& classes)
{
    for (auto& [name, queue] : impl_->queues)
    {
        queue.configured = false;
    }
    for (const auto& definition : classes)
    {
        auto& queue = impl_->queues[definition.organisation];
        queue.name = definition.organisation;
        queue.rate_per_s = definition.rate_per_s;
        queue.bound = definition.bound;
        queue.configured = true;
    }
    std::vector<queue_item_id> dropped;
    for (auto& [name, queue] : impl_->queues)
    {
        if (!queue.configured)
        {
            for (const auto& request : queue.items)
            {
                dropped.push_back(request.item);
            }
        }
    }
    for (const queue_item_id item : dropped)
    {
        impl_->remove(item);
    }
    std::erase_if(impl_->queues,
                  [](const auto& entry) { return !entry.second.configured; });
    impl_->set_quanta();
    return dropped;
}

admission_result fair_queue::push(std::string_view organisation,
                                  queue_item_id item, time_point deadline,
                                  time_point now)
{
    const auto it = impl_->queues.find(organisation);
    if (it == impl_->queues.end())
    {
        return {false, refusal_reason::unknown_key, {}};
    }
    org_queue& queue = it->second;
    if (queue.items.size() >= queue.bound || impl_->by_item.contains(item))
    {
        return {false, refusal_reason::queue_full, {}};
    }
    duration wait{0};
    const double rate = queue.expected_rate(now);
    if (!queue.items.empty() && rate > 0)
    {
        const double seconds = double(queue.items.size()) / rate;
        wait =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                std::min(seconds, max_estimated_wait_s)));
    }
    if (now + wait >= deadline)
    {
        return {false, refusal_reason::deadline_too_short, wait};
    }
    const bool expires_at_deadline = deadline <= now + share_wait_limit;
    queued_request request{
        item, expires_at_deadline ? deadline : now + share_wait_limit,
        expires_at_deadline ? refusal_reason::deadline_exceeded_in_queue
                            : refusal_reason::share_wait_exceeded};
    if (queue.items.empty())
    {
        impl_->active_queues.push_back(&queue);
    }
    impl_->by_expiry.insert({request.expires_at, item});
    queue.items.push_back(request);
    impl_->by_item[item] = {&queue, std::prev(queue.items.end())};
    return {true, refusal_reason::none, wait};
}

std::optional<queue_item_id> fair_queue::pop(const ready_predicate& can_serve,
                                             time_point now)
{
    auto& active_queues = impl_->active_queues;
    for (std::size_t tried = 0, total = active_queues.size(); tried < total;
         ++tried)
    {
        if (impl_->next_index >= active_queues.size())
        {
            impl_->next_index = 0;
        }
        org_queue& queue = *active_queues[impl_->next_index];
        const queued_request& first = queue.items.front();
        if (first.expires_at <= now || !can_serve(queue.name, first.item))
        {
            // A queue that can't be served now accumulates no deficit;
            // otherwise it would be served in a burst later.
            queue.deficit = 0;
            ++impl_->next_index;
            continue;
        }
        if (queue.deficit < 1)
        {
            queue.deficit += queue.quantum;
        }
        queue.deficit -= 1;
        queue.record_service(now);
        const queue_item_id item = first.item;
        if (queue.deficit < 1)
        {
            ++impl_->next_index;
        }
        impl_->remove(item);
        return item;
    }
    return std::nullopt;
}

std::vector<expired_item> fair_queue::expire(time_point now)
{
    std::vector<expired_item> expired;
    while (!impl_->by_expiry.empty() && impl_->by_expiry.begin()->first <= now)
    {
        const queue_item_id item = impl_->by_expiry.begin()->second;
        expired.push_back({item, impl_->by_item[item].request->expiry_reason});
        impl_->remove(item);
    }
    return expired;
}

bool fair_queue::cancel(queue_item_id item)
{
    if (!impl_->by_item.contains(item))
    {
        return false;
    }
    impl_->remove(item);
    return true;
}

std::size_t fair_queue::size(std::string_view organisation) const
{
    const auto it = impl_->queues.find(organisation);
    return it == impl_->queues.end() ? 0 : it->second.items.size();
}

std::size_t fair_queue::size() const
{
    return impl_->by_item.size();
}

} // namespace siskinflow
