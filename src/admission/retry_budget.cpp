#include <siskinflow/admission/retry_budget.hpp>

#include <algorithm>

namespace siskinflow
{

retry_budget::retry_budget(double tokens_per_request, double max_tokens)
    : tokens_per_request_(tokens_per_request), max_tokens_(max_tokens),
      tokens_(max_tokens)
{
}

void retry_budget::on_request()
{
    tokens_ = std::min(max_tokens_, tokens_ + tokens_per_request_);
}

bool retry_budget::try_take()
{
    // The sum of ten additions of 0.1 is slightly below 1.
    constexpr double tolerance = 1e-9;
    if (tokens_ < 1 - tolerance)
    {
        return false;
    }
    tokens_ = std::max(0.0, tokens_ - 1);
    return true;
}

duration retry_backoff(unsigned retry, std::uint64_t random,
                       const backoff_limits& limits)
{
    // Beyond this number of doublings every usual base exceeds `limits.max`.
    constexpr unsigned max_doublings = 20;
    const duration doubled =
        limits.base * (1U << std::min(retry, max_doublings));
    const duration ceiling = std::min(limits.max, doubled);
    // 53 bits are exact in a double.
    const double fraction = double(random >> 11) / double(1ULL << 53);
    return duration(
        static_cast<duration::rep>(double(ceiling.count()) * fraction));
}

} // namespace siskinflow
