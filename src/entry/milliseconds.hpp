/// @file
/// @brief Durations as numbers for documents, events and messages.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>

namespace siskinflow::entry
{

/// @brief Whole milliseconds of a duration, rounded towards zero.
inline std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace siskinflow::entry
