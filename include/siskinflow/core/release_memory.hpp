/// @file
/// @brief Returns the memory of values that stay in use.
#pragma once

#include <utility>

namespace siskinflow
{

/// @brief Replaces a value and frees what it held. Assigning an empty string
/// to a string keeps its memory for later use, also within another type.
/// @param value becomes `replacement`
template <class T>
void release_memory(T& value, T replacement = T())
{
    T released(std::move(value));
    value = std::move(replacement);
}

} // namespace siskinflow
