/// @file
/// @brief Text of a request's head and length of a body; internal to `net`.
#pragma once

#include <siskinflow/net/http_client.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace siskinflow::net
{

/// @brief Head of a request with its framing. Fields whose name or value could
/// end the head early are left out.
std::string request_head(const client_request& request);

/// @brief Reads a `content-length`; nothing if it is no number.
std::optional<std::size_t> parse_length(std::string_view text);

} // namespace siskinflow::net
