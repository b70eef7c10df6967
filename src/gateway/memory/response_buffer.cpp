#include "response_buffer.hpp"

#include <algorithm>
#include <utility>

namespace siskinflow::gateway
{

namespace
{

/// Most answers of unknown length fit, and it is a small hold of the budget.
constexpr std::size_t first_reservation = 64UL * 1024;
/// A step beyond doubling would leave much reserved that is not used.
constexpr std::size_t max_step = 1024UL * 1024;
/// A block is freed when its last byte is written, so that a slow reader holds
/// little more than what it has not read.
constexpr std::size_t block_bytes = 256UL * 1024;

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

} // namespace

std::size_t next_reservation(std::size_t reserved, std::size_t needed)
{
    if (needed <= reserved)
    {
        return reserved;
    }
    const std::size_t step = std::min(reserved, max_step);
    return std::max({needed, reserved + step, first_reservation});
}

std::optional<std::size_t>
expected_body_bytes(std::string_view method, int status,
                    std::optional<std::size_t> announced, std::size_t max_bytes)
{
    if (method == "HEAD" || status == status_no_content ||
        status == status_not_modified)
    {
        return 0;
    }
    return announced ? std::optional(std::min(*announced, max_bytes))
                     : std::nullopt;
}

response_buffer::response_buffer(net::memory_budget& budget,
                                 net::event_loop& loop, call_control control)
    : budget_(budget), loop_(loop), control_(std::move(control))
{
}

std::shared_ptr<response_buffer>
response_buffer::make(net::memory_budget& budget, net::event_loop& loop,
                      std::string address, call_control control)
{
    std::shared_ptr<response_buffer> out(
        new response_buffer(budget, loop, std::move(control)));
    out->hold_ =
        budget.make_hold(net::hold_kind::response, out, std::move(address));
    return out;
}

bool response_buffer::reserve_expected(std::size_t bytes)
{
    const auto lifetime_guard = shared_from_this();
    return hold_.grow_to(bytes);
}

void response_buffer::reserve(std::optional<std::size_t> bytes)
{
    const auto lifetime_guard = shared_from_this();
    announced_ = bytes;
    if (bytes)
    {
        hold_.shrink_to(*bytes);
        grow_to(*bytes);
    }
}

void response_buffer::append(std::string_view part)
{
    if (evicted_)
    {
        return;
    }
    const auto lifetime_guard = shared_from_this();
    while (!part.empty())
    {
        if (size_ == capacity_)
        {
            add_block(part.size());
        }
        const std::size_t length = std::min(part.size(), capacity_ - size_);
        blocks_.back().append(part.substr(0, length));
        size_ += length;
        part.remove_prefix(length);
    }
    if (!waits() && capacity_ > hold_.bytes())
    {
        grow_to(next_reservation(hold_.bytes(), capacity_));
    }
}

/// Blocks of a body of unknown length double it. While the body waits, a block
/// takes no more than what has arrived.
void response_buffer::add_block(std::size_t part_bytes)
{
    std::size_t wanted = part_bytes;
    if (!waits())
    {
        wanted = announced_ && *announced_ > size_
                     ? *announced_ - size_
                     : std::max(part_bytes, size_);
    }
    std::string block;
    block.reserve(std::min(wanted, block_bytes));
    capacity_ += block.capacity();
    blocks_.push_back(std::move(block));
}

/// A failed growth may have evicted others, which call back. A body must not
/// wait for memory of the request that it answers: that is released only when
/// the request ends.
void response_buffer::grow_to(std::size_t bytes)
{
    wanted_ = bytes;
    if (hold_.grow_to(bytes) ||
        (control_.release_request && control_.release_request() &&
         hold_.grow_to(bytes)))
    {
        return;
    }
    if (!waits())
    {
        waiting_since_ = loop_.now();
        if (control_.pause)
        {
            control_.pause();
        }
    }
    budget_.on_room(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->on_room();
            }
        });
}

void response_buffer::on_room()
{
    if (!waits() || evicted_)
    {
        return;
    }
    grow_to(std::max(wanted_, capacity_));
    if (hold_.bytes() < wanted_)
    {
        return;
    }
    waiting_since_.reset();
    if (control_.resume)
    {
        control_.resume();
    }
}

std::vector<std::string> response_buffer::take()
{
    control_ = {};
    waiting_since_.reset();
    size_ = 0;
    capacity_ = 0;
    hold_.shrink_to(0);
    return std::exchange(blocks_, {});
}

duration response_buffer::stalled_for(time_point now) const
{
    return waits() ? now - *waiting_since_ : duration::zero();
}

void response_buffer::evict()
{
    if (evicted_)
    {
        return;
    }
    const auto lifetime_guard = shared_from_this();
    evicted_ = true;
    blocks_ = {};
    size_ = 0;
    capacity_ = 0;
    hold_.shrink_to(0);
    const auto give_up = std::exchange(control_, {}).give_up;
    if (give_up)
    {
        give_up();
    }
}

} // namespace siskinflow::gateway
