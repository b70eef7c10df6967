#include <siskinflow/gateway/wait_queue.hpp>

#include <algorithm>
#include <cmath>

namespace siskinflow::gateway
{

namespace
{

/// Time constant of the placement rate's moving average, in seconds.
constexpr double rate_time_constant_s = 1;
/// Lower bound of the rate; keeps the expected wait finite when nothing has
/// been placed.
constexpr double min_placements_per_s = 2;

} // namespace

double wait_queue::placements_per_s(time_point now) const
{
    return placement_rate_ *
           std::exp(-to_seconds(now - rate_updated_at_) / rate_time_constant_s);
}

void wait_queue::on_placed(time_point now)
{
    placement_rate_ = placements_per_s(now) + 1 / rate_time_constant_s;
    rate_updated_at_ = now;
}

duration wait_queue::expected_wait(waiting_rank rank, time_point now) const
{
    const auto ahead = static_cast<double>(
        std::count_if(entries_.begin(), entries_.end(),
                      [&](const entry& other) { return other.rank <= rank; }));
    const double rate = std::max(placements_per_s(now), min_placements_per_s);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>((ahead + 1) / rate));
}

void wait_queue::add(waiting_id id, waiting_rank rank, time_point arrived)
{
    entries_.insert({rank, arrived, id});
}

void wait_queue::remove(waiting_id id)
{
    std::erase_if(entries_,
                  [id](const entry& other) { return other.id == id; });
}

std::vector<waiting_id> wait_queue::order() const
{
    std::vector<waiting_id> out;
    out.reserve(entries_.size());
    for (const entry& waiting : entries_)
    {
        out.push_back(waiting.id);
    }
    return out;
}

} // namespace siskinflow::gateway
