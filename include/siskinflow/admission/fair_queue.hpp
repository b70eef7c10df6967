/// @file
/// @brief Queues of waiting requests, one per organisation.
#pragma once

#include <siskinflow/admission/refusal.hpp>
#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief Longest time for which a request waits for a share. If the VM that
/// owns a budget fails, the fleet record without it is in force after about
/// 2.9 s, and the slots of the failed VM expire 3.3 s later.
constexpr duration share_wait_limit = std::chrono::seconds(7);

/// @brief Identifies a queued request; chosen by the caller, unique in a queue.
using queue_item_id = std::uint64_t;

/// @brief Weight and length limit of an organisation's queue.
struct queue_class
{
    std::string organisation;
    double rate_per_s = 1;  ///< Weight, and expected rate of service.
    std::size_t bound = 64; ///< Maximum number of waiting requests.
};

/// @brief Queue length limit for the requests that arrive at a rate during
/// `share_wait_limit`, plus a burst. The queue of an organisation that keeps
/// to its rate then doesn't fill up while a share is missing.
std::size_t queue_bound(double rate_per_s, double burst);

/// @brief Result of queueing a request.
struct admission_result
{
    bool admitted = false;
    refusal_reason reason = refusal_reason::none;
    duration estimated_wait{0};
};

/// @brief A request that left the queue without being served.
struct expired_item
{
    queue_item_id item = 0;
    refusal_reason reason = refusal_reason::none;
};

/// @brief Deficit round robin over bounded queues. Reads no clock: the current
/// time is an argument.
class fair_queue
{
public:
    fair_queue();
    ~fair_queue();
    fair_queue(fair_queue&&) noexcept;
    fair_queue& operator=(fair_queue&&) noexcept;

    /// @brief Replaces the set of organisations.
    /// @return the waiting requests of organisations that no longer exist
    std::vector<queue_item_id>
    set_classes(const std::vector<queue_class>& classes);

    /// @brief Queues a request unless its queue is full or its deadline can't
    /// be met.
    /// @param deadline when the caller gives up
    admission_result push(std::string_view organisation, queue_item_id item,
                          time_point deadline, time_point now);

    /// @brief Whether an organisation's first request can be served now.
    /// Called at most once per organisation in one call of `pop`.
    using ready_predicate =
        std::function<bool(std::string_view organisation, queue_item_id item)>;

    /// @brief Removes the next request in fair order that is ready. Expired
    /// requests are skipped; `expire` removes them.
    std::optional<queue_item_id> pop(const ready_predicate& can_serve,
                                     time_point now);

    /// @brief Removes requests whose deadline or `share_wait_limit` has passed.
    std::vector<expired_item> expire(time_point now);

    /// @brief Removes a request, for example when its caller went away.
    /// @return whether it was waiting
    bool cancel(queue_item_id item);

    /// @brief Waiting requests of an organisation.
    std::size_t size(std::string_view organisation) const;

    /// @brief Waiting requests in total.
    std::size_t size() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
