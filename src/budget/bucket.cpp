#include <siskinflow/budget/bucket.hpp>

#include <algorithm>
#include <cmath>

namespace siskinflow
{

namespace
{

// Longer waits are reported as `duration::max()`; the conversion of a larger
// double to nanoseconds would overflow.
constexpr double max_wait_s = 1e9;

} // namespace

bucket::bucket(double rate, double burst, double level, time_point now)
    : rate_(rate), burst_(burst), level_(std::min(level, burst)), updated_(now)
{
}

double bucket::level(time_point now) const
{
    if (now <= updated_)
    {
        return level_;
    }
    const double refilled = level_ + rate_ * to_seconds(now - updated_);
    return std::min(refilled, std::max(burst_, level_));
}

void bucket::refill(time_point now)
{
    level_ = level(now);
    updated_ = std::max(updated_, now);
}

bool bucket::try_take(double amount, time_point now)
{
    refill(now);
    if (level_ < amount)
    {
        return false;
    }
    level_ -= amount;
    return true;
}

duration bucket::time_until_available(double amount, time_point now) const
{
    const double missing = amount - level(now);
    if (missing <= 0)
    {
        return duration::zero();
    }
    if (rate_ <= 0 || amount > burst_ || missing / rate_ > max_wait_s)
    {
        return duration::max();
    }
    return duration(
        static_cast<duration::rep>(std::ceil(missing / rate_ * 1e9)));
}

void bucket::settle(double amount, time_point now)
{
    refill(now);
    level_ = std::min(level_ - amount, burst_);
}

double bucket::add(double amount, time_point now)
{
    refill(now);
    const double accepted = std::clamp(burst_ - level_, 0.0, amount);
    level_ += accepted;
    return amount - accepted;
}

double bucket::resize(double rate, double burst, time_point now)
{
    refill(now);
    rate_ = rate;
    burst_ = burst;
    const double excess = std::max(0.0, level_ - burst_);
    level_ -= excess;
    return excess;
}

bucket bucket::split(double rate, double burst, time_point now)
{
    refill(now);
    const double part_rate = std::clamp(rate, 0.0, rate_);
    const double part_burst = std::clamp(burst, 0.0, burst_);
    const double part_level =
        burst_ > 0 ? std::max(0.0, level_) * (part_burst / burst_) : 0.0;
    rate_ -= part_rate;
    burst_ -= part_burst;
    level_ -= part_level;
    return {part_rate, part_burst, part_level, now};
}

void bucket::merge(const bucket& part, time_point now)
{
    refill(now);
    rate_ += part.rate_;
    burst_ += part.burst_;
    level_ += part.level(now);
}

} // namespace siskinflow
