#include "answer_head.hpp"

#include <siskinflow/net/http_types.hpp>

#include <algorithm>

namespace siskinflow::net
{

namespace
{

/// Any number with this many digits fits into 64 bits.
constexpr std::size_t max_length_digits = 18;

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, last - first + 1);
}

bool is_length(std::string_view text)
{
    return !text.empty() && text.size() <= max_length_digits &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// The framing fields of a head that have been read so far.
struct framing_fields
{
    std::string_view length;
    bool chunked = false;

    /// @return false if h2o can't read the line
    bool parse_line(std::string_view line)
    {
        const auto colon = std::min(line.find(':'), line.size());
        const std::string_view name = line.substr(0, colon);
        const std::string_view value =
            trimmed(line.substr(std::min(colon + 1, line.size())));
        if (equal_ignoring_case(name, "transfer-encoding"))
        {
            const bool supported =
                equal_ignoring_case(value, "chunked") && !chunked;
            chunked = true;
            return supported;
        }
        if (!equal_ignoring_case(name, "content-length"))
        {
            return true;
        }
        const bool consistent =
            is_length(value) && (length.empty() || length == value);
        length = value;
        return consistent;
    }
};

} // namespace

bool is_parsable_response_head(std::string_view received, std::size_t max_bytes)
{
    const bool may_continue = received.size() <= max_bytes;
    received = received.substr(0, max_bytes);
    framing_fields fields;
    bool is_status_line = true;
    while (!received.empty())
    {
        const auto end = received.find('\n');
        if (end == std::string_view::npos)
        {
            return may_continue;
        }
        const std::string_view line = trimmed(received.substr(0, end));
        received.remove_prefix(end + 1);
        if (line.empty() && !is_status_line)
        {
            return !(fields.chunked && !fields.length.empty());
        }
        if (!is_status_line && !fields.parse_line(line))
        {
            return false;
        }
        is_status_line = false;
    }
    return may_continue;
}

} // namespace siskinflow::net
