#include "answer_head.hpp"

#include <siskinflow/net/http_types.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>

namespace siskinflow::net
{

namespace
{

/// Any number with this many digits fits into 64 bits.
constexpr std::size_t max_length_digits = 18;

/// Without the spaces in front. Those behind are kept, because h2o keeps them.
std::string_view without_leading_spaces(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
    return text;
}

bool is_length(std::string_view text)
{
    return !text.empty() && text.size() <= max_length_digits &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Whether a status line begins in the text: the beginning of an additional
/// answer has run into the head of the next one, and the fields are those of
/// two answers.
bool contains_status_line(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t minor_size = 2; // "1 "
    constexpr std::size_t status_size = 3;
    for (auto at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1))
    {
        const auto status =
            text.substr(std::min(text.size(), at + version.size() + minor_size))
                .substr(0, status_size);
        if (status.size() == status_size &&
            status.find_first_not_of("0123456789") == std::string_view::npos)
        {
            return true;
        }
    }
    return false;
}

/// The framing fields of a head that have been read so far.
struct framing_fields
{
    std::string_view length;
    bool chunked = false;

    /// @return false if h2o can't read the line, or if it is none of one head
    bool parse_line(std::string_view line)
    {
        // h2o reads a folded line as a field without a name, so that the value
        // in front of it is not the whole one.
        const bool folded = line.starts_with(' ') || line.starts_with('\t');
        if (folded || contains_status_line(line))
        {
            return false;
        }
        const auto colon = std::min(line.find(':'), line.size());
        const std::string_view name = line.substr(0, colon);
        const std::string_view value = without_leading_spaces(
            line.substr(std::min(colon + 1, line.size())));
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

/// A status line as RFC 9112, section 4, defines it, with a status that an
/// answer to this client can have: it never asks to switch protocols.
struct status_line
{
    int status = 0; ///< 0: not valid.

    explicit status_line(std::string_view line)
    {
        constexpr std::string_view version = "HTTP/1.";
        constexpr std::size_t status_at = 9; // After "HTTP/1.1 ".
        constexpr std::size_t status_end = status_at + 3;
        const bool framed =
            line.size() >= status_end && line.starts_with(version) &&
            (line[version.size()] == '0' || line[version.size()] == '1') &&
            line[status_at - 1] == ' ' &&
            (line.size() == status_end || line[status_end] == ' ') &&
            !contains_status_line(line.substr(status_end));
        if (!framed)
        {
            return;
        }
        int parsed = 0;
        const char* first = line.data() + status_at;
        const char* last = line.data() + status_end;
        const auto [end, failure] = std::from_chars(first, last, parsed);
        const bool valid = failure == std::errc() && end == last &&
                           parsed >= min_status && parsed <= max_status &&
                           parsed != switching_protocols;
        status = valid ? parsed : 0;
    }

    bool valid() const
    {
        return status != 0;
    }

    bool interim() const
    {
        return status < first_final_status;
    }

private:
    static constexpr int min_status = 100;
    static constexpr int switching_protocols = 101;
    static constexpr int first_final_status = 200;
    static constexpr int max_status = 599;
};

enum class head_state
{
    incomplete,
    interim, ///< Complete; another head follows.
    final,
    malformed,
};

/// Removes the first line with its line ending.
/// @return nothing if the line is incomplete
std::optional<std::string_view> take_line(std::string_view& received)
{
    const auto end = received.find('\n');
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view line = received.substr(0, end);
    received.remove_prefix(end + 1);
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    return line;
}

/// Removes one head from the front of the received bytes.
head_state take_head(std::string_view& received)
{
    const auto first_line = take_line(received);
    if (!first_line)
    {
        return head_state::incomplete;
    }
    const status_line status(*first_line);
    if (!status.valid())
    {
        return head_state::malformed;
    }
    framing_fields fields;
    while (const auto line = take_line(received))
    {
        if (line->empty())
        {
            const bool ambiguous = fields.chunked && !fields.length.empty();
            return ambiguous          ? head_state::malformed
                   : status.interim() ? head_state::interim
                                      : head_state::final;
        }
        if (!fields.parse_line(*line))
        {
            return head_state::malformed;
        }
    }
    return head_state::incomplete;
}

} // namespace

bool is_parsable_response_head(std::string_view received, std::size_t max_bytes)
{
    const bool may_continue = received.size() <= max_bytes;
    received = received.substr(0, max_bytes);
    // h2o skips interim heads and reads the head behind them in the same pass.
    while (!received.empty())
    {
        switch (take_head(received))
        {
        case head_state::incomplete:
            return may_continue;
        case head_state::interim:
            break;
        case head_state::final:
            return true;
        case head_state::malformed:
            return false;
        }
    }
    return may_continue;
}

} // namespace siskinflow::net
