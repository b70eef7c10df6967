/// @file
/// @brief How one attempt of a request ended.
#pragma once

#include <cstdint>
#include <string_view>

namespace siskinflow::gateway
{

/// @brief How a request to a target ended; input of the target's health.
enum class attempt_result : std::uint8_t
{
    answered,    ///< A complete answer that is not a failure.
    failed,      ///< A complete answer that reports a failure.
    rejected,    ///< The target had no room and did not run it.
    misdirected, ///< Another target uses the address.
    unreachable, ///< No connection could be made.
    broken,      ///< The connection or the answer broke.
    no_answer,   ///< No answer within the time limit.
    abandoned,   ///< The caller left; not counted as a failure.
    withdrawn,   ///< Not sent, because the target no longer wants requests.
};

/// @brief Name of a result in snake_case, "unknown" if undefined.
std::string_view name(attempt_result value) noexcept;

} // namespace siskinflow::gateway
