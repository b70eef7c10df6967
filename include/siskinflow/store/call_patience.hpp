/// @file
/// @brief How long calls of one peer may take.
#pragma once

#include <siskinflow/core/clock.hpp>

namespace siskinflow
{

/// @brief Grows the timeouts of calls that have timed out, and resets them once
/// a call succeeds.
///
/// Addresses a link that is full: while a connection takes longer than its
/// timeout, a call that is made again with the same timeout never succeeds.
class call_patience
{
public:
    /// @brief Time allowed for a connection: 500 ms, 1 s after a timeout.
    /// A longer one would notice the end of a network partition too late.
    duration connect_timeout() const;

    /// @brief Time allowed for an answer: the usual one, or twice as long after
    /// a timeout.
    duration answer_timeout(duration usual) const;

    /// @brief No connection was established in time.
    void on_connect_timeout();

    /// @brief A connection was established, and no answer came in time.
    void on_answer_timeout();

    /// @brief A call was answered.
    void on_answered();

private:
    bool connect_timed_out_ = false;
    bool answer_timed_out_ = false;
};

} // namespace siskinflow
