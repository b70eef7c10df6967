/// @file
/// @brief Base64 encoding of keys and values in the store's JSON protocol.
#pragma once

#include <siskinflow/core/error.hpp>

#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief Encodes with the standard alphabet and padding, without line breaks.
std::string base64_encode(std::string_view bytes);

/// @brief Decodes the form that `base64_encode` writes.
/// @return the bytes, or `errc::parse_error`
result<std::string> base64_decode(std::string_view text);

} // namespace siskinflow
