/// @file
/// @brief Checks the head of an answer before h2o reads it; internal to `net`.
#pragma once

#include <cstddef>
#include <string_view>

namespace siskinflow::net
{

/// @brief Whether h2o's client can parse the received part of a response. It
/// ends the process if the length is no number or the encoding is unknown, also
/// in a head behind interim heads. A status that no answer to this client can
/// have is refused as well.
/// @param received bytes from the start of the answer or, once h2o has skipped
/// interim heads, of a later head; the head may be incomplete
/// @param max_bytes a longer head is refused
/// @return true also for a head that is not complete yet
bool is_parsable_response_head(std::string_view received,
                               std::size_t max_bytes);

} // namespace siskinflow::net
