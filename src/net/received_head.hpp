/// @file
/// @brief Parses the head of a request that the server received; internal to
/// `net`.
#pragma once

#include <siskinflow/net/http_server.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace siskinflow::net
{

/// @brief How the end of a body is found.
enum class body_framing : std::uint8_t
{
    none,
    length,
    chunked,
};

/// @brief A request without its body, or the status that refuses it.
struct received_head
{
    int refusal = 0; ///< 0: the head is valid.
    http_request request;
    body_framing framing = body_framing::none;
    std::size_t content_length = 0;
    bool http_1_0 = false;
    bool persistent = true; ///< Further requests may follow.
    bool expects_continue = false;
};

/// @brief Where a head ends.
/// @param text begins with the request line
/// @param from where to look; what is in front was searched before
/// @return length of the head with its empty line, or nothing
std::optional<std::size_t> find_head_end(std::string_view text,
                                         std::size_t from);

/// @brief Parses a whole head. Strict where parsers could disagree (RFC 9112):
/// folded lines, control characters, several or invalid lengths, encodings
/// other than chunked, a length with an encoding, and a missing, repeated or
/// invalid host are refused. Framing, `host`, `expect` and `upgrade` are not
/// among the fields; `host` follows as the last one.
received_head parse_received_head(std::string_view text);

/// @brief Whether a field's value may be sent on: it has no control characters
/// except tabs.
bool is_field_value(std::string_view text);

/// @brief Whether a text is a token, such as a field's name (RFC 9110).
bool is_token(std::string_view text);

} // namespace siskinflow::net
