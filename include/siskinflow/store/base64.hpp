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

/// @brief Decodes what `base64_encode` writes; any other form is an error.
/// @return the bytes, or `errc::parse_error`
result<std::string> base64_decode(std::string_view text);

} // namespace siskinflow
