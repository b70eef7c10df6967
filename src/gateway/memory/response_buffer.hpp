/// @file
/// @brief The body of a target's answer while it is received.
#pragma once

#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/memory_budget.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Size to reserve for a body of unknown length. Addresses answers in
/// chunks: small ones stay small holds, long ones are reserved in few steps.
/// @param reserved size reserved so far
/// @param needed bytes received
std::size_t next_reservation(std::size_t reserved, std::size_t needed);

/// @brief Bytes to reserve before a body is read.
/// @param method of the request
/// @param announced length that the head states
/// @param max_bytes size at which an answer is cut
/// @return nothing if the length is unknown
std::optional<std::size_t>
expected_body_bytes(std::string_view method, int status,
                    std::optional<std::size_t> announced,
                    std::size_t max_bytes);

/// @brief Reserves memory for a body before it is read, and stops reading while
/// there is none. A body that waits for more memory while it holds some is
/// given up if others need it.
class response_buffer final
    : public net::hold_owner,
      public std::enable_shared_from_this<response_buffer>
{
public:
    /// @brief What the buffer asks of the call; none is called after `take`.
    struct call_control
    {
        /// Releases what only a further attempt would need.
        /// @return whether there was anything
        std::function<bool()> release_request;
        std::function<void()> pause;
        std::function<void()> resume;
        std::function<void()> give_up; ///< After the memory was released.
    };

    /// @param address of the client, whose share of the budget is limited
    static std::shared_ptr<response_buffer> make(net::memory_budget& budget,
                                                 net::event_loop& loop,
                                                 std::string address,
                                                 call_control control);

    /// @brief Reserves an expected size before the request is sent.
    /// @return false if there is no room, so that the request must wait
    bool reserve_expected(std::size_t bytes);

    /// @brief Reserves what `expected_body_bytes` returned.
    void reserve(std::optional<std::size_t> bytes);

    /// @brief Adds a part that was received. It is kept even if the reservation
    /// fails, because it is in memory already.
    void append(std::string_view part);

    std::size_t size() const
    {
        return size_;
    }

    /// @brief Whether reading has stopped until there is memory.
    bool waits() const
    {
        return waiting_since_.has_value();
    }

    bool evicted() const
    {
        return evicted_;
    }

    /// @brief Hands out the body, in blocks, and releases its hold.
    std::vector<std::string> take();

    duration stalled_for(time_point now) const override;
    void evict() override;

private:
    response_buffer(net::memory_budget& budget, net::event_loop& loop,
                    call_control control);
    void add_block(std::size_t part_bytes);
    void grow_to(std::size_t bytes);
    void on_room();

    net::memory_budget& budget_;
    net::event_loop& loop_;
    call_control control_;
    net::memory_budget::hold hold_;
    std::vector<std::string> blocks_;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0; ///< Of all blocks.
    std::optional<std::size_t> announced_;
    std::size_t wanted_ = 0; ///< Size that the last reservation was for.
    std::optional<time_point> waiting_since_;
    bool evicted_ = false;
};

} // namespace siskinflow::gateway
