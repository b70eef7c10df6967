/// @file
/// @brief Limits the number of retries.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>

namespace siskinflow
{

/// @brief Maximum number of retries of one request.
constexpr unsigned max_retries = 2;

/// @brief Token bucket for the retries of one route: each request adds a
/// fraction of a token, each retry takes one token.
class retry_budget
{
public:
    /// @param tokens_per_request tokens that one request adds
    /// @param max_tokens capacity of the bucket; also the initial number, so
    /// that the first failures after a start can be retried
    explicit retry_budget(double tokens_per_request = 0.1,
                          double max_tokens = 10);

    /// @brief Counts a request (not a retry).
    void on_request();

    /// @brief Takes a token for a retry.
    /// @return whether the retry is allowed
    bool try_take();

    /// @brief Tokens left.
    double tokens() const
    {
        return tokens_;
    }

private:
    double tokens_per_request_;
    double max_tokens_;
    double tokens_;
};

/// @brief Limits of the wait before a retry.
struct backoff_limits
{
    duration base = std::chrono::milliseconds(10);
    duration max = std::chrono::milliseconds(500);
};

/// @brief Wait before a retry, with full jitter: uniformly distributed between
/// 0 and min(max, base x 2^retry).
/// @param retry 0 for the first retry
/// @param random uniformly distributed over all values
duration retry_backoff(unsigned retry, std::uint64_t random,
                       const backoff_limits& limits = {});

} // namespace siskinflow
