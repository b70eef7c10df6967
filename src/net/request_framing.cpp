#include "request_framing.hpp"

#include <siskinflow/net/http_types.hpp>

#include <algorithm>

namespace siskinflow::net
{

namespace
{

bool is_number(std::string_view text)
{
    return !text.empty() &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, last - first + 1);
}

/// Removes the first line of a text and returns it without its line ending.
std::string_view consume_line(std::string_view& text)
{
    const auto end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    return line;
}

} // namespace

bool is_framing_ambiguous(std::string_view head)
{
    std::size_t framing_field_count = 0;
    for (std::string_view line = consume_line(head); !line.empty();
         line = consume_line(head))
    {
        const auto colon = std::min(line.find(':'), line.size());
        const std::string_view name = line.substr(0, colon);
        const std::string_view value =
            trimmed(line.substr(std::min(colon + 1, line.size())));
        const bool length = equal_ignoring_case(name, "content-length");
        const bool encoding = equal_ignoring_case(name, "transfer-encoding");
        framing_field_count += length || encoding ? 1 : 0;
        const bool folded = line.starts_with(' ') || line.starts_with('\t');
        if (folded || framing_field_count > 1 ||
            (length && !is_number(value)) ||
            (encoding && !equal_ignoring_case(value, "chunked")))
        {
            return true;
        }
    }
    return false;
}

} // namespace siskinflow::net
