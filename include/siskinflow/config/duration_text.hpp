/// @file
/// @brief Durations as text: a number and its unit, `ms` or `s`.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>

#include <string_view>

namespace siskinflow
{

/// @brief Reads for instance "1500ms" or "2.5s".
/// @return the duration, or `errc::parse_error` naming the text
result<duration> parse_duration(std::string_view text);

} // namespace siskinflow
