#include "answer_head.hpp"

#include <siskinflow/net/http_types.hpp>

#include <algorithm>

namespace siskinflow::net
{

namespace
{

/// Digits of a length that fits into 64 bits in any case.
constexpr std::size_t most_length_digits = 18;

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
    return !text.empty() && text.size() <= most_length_digits &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// What the framing fields of a head have said so far.
struct framing
{
    std::string_view length;
    bool chunked = false;

    /// @return whether the line is fit to be read
    bool add(std::string_view line)
    {
        const auto colon = std::min(line.find(':'), line.size());
        const std::string_view name = line.substr(0, colon);
        const std::string_view value =
            trimmed(line.substr(std::min(colon + 1, line.size())));
        if (same_name(name, "transfer-encoding"))
        {
            const bool known = same_name(value, "chunked") && !chunked;
            chunked = true;
            return known;
        }
        if (!same_name(name, "content-length"))
        {
            return true;
        }
        const bool fits =
            is_length(value) && (length.empty() || length == value);
        length = value;
        return fits;
    }
};

} // namespace

bool is_usable_answer_head(std::string_view received)
{
    framing said;
    bool status_line = true;
    while (!received.empty())
    {
        const auto end = received.find('\n');
        if (end == std::string_view::npos)
        {
            return true;
        }
        const std::string_view line = trimmed(received.substr(0, end));
        received.remove_prefix(end + 1);
        if (line.empty() && !status_line)
        {
            return !(said.chunked && !said.length.empty());
        }
        if (!status_line && !said.add(line))
        {
            return false;
        }
        status_line = false;
    }
    return true;
}

} // namespace siskinflow::net
