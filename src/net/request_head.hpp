/// @file
/// @brief Formats request heads and parses body lengths; internal to `net`.
#pragma once

#include <siskinflow/net/http_client.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace siskinflow::net
{

/// @brief Formats the head of a request with its framing. Fields whose name or
/// value could end the head early are left out.
std::string format_request_head(const client_request& request);

/// @brief Parses a `content-length` value.
/// @return the length, or nothing if the text is no number
std::optional<std::size_t> parse_content_length(std::string_view text);

} // namespace siskinflow::net
