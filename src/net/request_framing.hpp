/// @file
/// @brief Check of a request's framing before it is handled.
#pragma once

#include <string_view>

namespace siskinflow::net
{

/// @brief Whether parsers could disagree on where the body ends (RFC 9112,
/// section 6.3).
/// @param head request line and fields as they arrived
bool is_framing_ambiguous(std::string_view head);

} // namespace siskinflow::net
