/// @file
/// @brief Reason phrases of HTTP answers; internal to `net`.
#pragma once

namespace siskinflow::net
{

/// @brief Reason phrase of RFC 9110, for people; HTTP/1.1 clients ignore it.
/// @return the phrase, "Other" for a status without one here
const char* reason_phrase(int status);

} // namespace siskinflow::net
