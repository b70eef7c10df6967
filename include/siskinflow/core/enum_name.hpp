/// @file
/// @brief Names of enum values from a table.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <type_traits>

namespace siskinflow
{

/// @brief Name of an enum value.
/// @param names one name for each value, in the order of the values from 0
/// @param value the value, for example as received in a message
/// @return the name, "unknown" if the value is undefined
template <class Enum, std::size_t size>
constexpr std::string_view
enum_name(const std::array<std::string_view, size>& names, Enum value) noexcept
{
    static_assert(std::is_enum_v<Enum>);
    const auto index = static_cast<std::size_t>(value);
    return index < size ? names[index] : std::string_view("unknown");
}

} // namespace siskinflow
