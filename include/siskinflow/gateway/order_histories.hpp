/// @file
/// @brief What a VM knows of the orders that it has handled lately.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/gateway/attempt_history.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace siskinflow::gateway
{

/// @brief Attempts of orders (requests that must not run twice) by request id.
///
/// A caller may send an order again under its id, at once or later. The
/// requests of one id share their attempts, so that no further one is sent, or
/// reported as not run, while an earlier one may have run.
class order_histories
{
public:
    /// @brief The attempts of an id that a caller requests.
    /// @param id of the request
    /// @param now current time
    std::shared_ptr<attempt_history> open(std::string_view id, time_point now);

    /// @brief Number of ids that are known.
    std::size_t size() const
    {
        return recent_.size() + older_.size();
    }

private:
    using by_id =
        std::unordered_map<std::uint64_t, std::shared_ptr<attempt_history>>;

    void forget_old(time_point now);

    by_id recent_; ///< By the hash of the id.
    by_id older_;
    time_point recent_since_{};
};

} // namespace siskinflow::gateway
