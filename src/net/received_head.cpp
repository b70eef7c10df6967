#include "received_head.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace siskinflow::net
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_expectation_failed = 417;
constexpr int status_head_too_large = 431;
/// Each field takes far more memory than the shortest one has bytes.
constexpr std::size_t max_fields = 256;
/// Bytes of a field besides its name and value, as counted by the limits.
constexpr std::size_t field_separators_bytes = 4;

enum character_class : std::uint8_t
{
    token_character = 1,
    value_character = 2,
    host_character = 4,
};

constexpr std::array<std::uint8_t, 256> make_classes()
{
    std::array<std::uint8_t, 256> out{};
    for (std::size_t c = 0; c < out.size(); ++c)
    {
        const bool alphanumeric = (c >= '0' && c <= '9') ||
                                  (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z');
        out[c] |= alphanumeric ? token_character | host_character : 0;
        out[c] |= (c >= ' ' && c != 0x7f) || c == '\t' ? value_character : 0;
    }
    for (const char c : std::string_view("!#$%&'*+-.^_`|~"))
    {
        out[static_cast<std::uint8_t>(c)] |= token_character;
    }
    for (const char c : std::string_view("-._~%!$&'()*+;=:[]"))
    {
        out[static_cast<std::uint8_t>(c)] |= host_character;
    }
    return out;
}

constexpr std::array<std::uint8_t, 256> classes = make_classes();

bool consists_of(std::string_view text, character_class kind)
{
    return std::all_of(
        text.begin(), text.end(),
        [kind](char c)
        { return (classes[static_cast<std::uint8_t>(c)] & kind) != 0; });
}

std::string lower_case(std::string_view text)
{
    std::string out(text);
    for (char& c : out)
    {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return out;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, last - first + 1);
}

/// Removes the first line and its line ending.
std::string_view take_line(std::string_view& text)
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

/// Whether a list of options contains one.
bool lists_option(std::string_view list, std::string_view option)
{
    while (!list.empty())
    {
        const auto comma = std::min(list.find(','), list.size());
        if (equal_ignoring_case(trimmed(list.substr(0, comma)), option))
        {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

/// Fields that the parser uses itself.
struct special_fields
{
    std::string_view host;
    std::size_t host_count = 0;
    std::string_view authority; ///< Of a target in absolute form.
    bool absolute_target = false;
    std::size_t framing_count = 0;
};

bool set_path(http_request& request, std::string_view target)
{
    const auto query_at = target.find('?');
    request.path = target.substr(0, query_at);
    request.has_query = query_at != std::string_view::npos;
    if (request.has_query)
    {
        request.query = target.substr(query_at + 1);
    }
    return true;
}

bool parse_target(std::string_view target, received_head& out,
                  special_fields& special)
{
    if (target.starts_with('/') ||
        (target == "*" && out.request.method == "OPTIONS"))
    {
        return set_path(out.request, target);
    }
    for (const std::string_view scheme : {"http://", "https://"})
    {
        if (!equal_ignoring_case(target.substr(0, scheme.size()), scheme))
        {
            continue;
        }
        target.remove_prefix(scheme.size());
        const auto end = std::min(target.find_first_of("/?"), target.size());
        special.absolute_target = true;
        special.authority = target.substr(0, end);
        target.remove_prefix(end);
        const bool has_path = target.starts_with('/');
        return !special.authority.empty() &&
               (has_path ? set_path(out.request, target)
                         : set_path(out.request, "/" + std::string(target)));
    }
    return false;
}

/// Parses `method target HTTP/1.x`.
bool parse_request_line(std::string_view line, received_head& out,
                        special_fields& special)
{
    constexpr std::string_view version = " HTTP/1.";
    const auto method_end = line.find(' ');
    const auto target_end = line.rfind(' ');
    if (method_end == std::string_view::npos || target_end <= method_end + 1)
    {
        return false;
    }
    const std::string_view method = line.substr(0, method_end);
    const std::string_view target =
        line.substr(method_end + 1, target_end - method_end - 1);
    const std::string_view end = line.substr(target_end);
    const bool supported = end.size() == version.size() + 1 &&
                           end.starts_with(version) && end.back() >= '0' &&
                           end.back() <= '9';
    if (!supported || !is_token(method) || !is_field_value(target) ||
        target.find_first_of(" \t") != std::string_view::npos)
    {
        return false;
    }
    out.http_1_0 = end.back() == '0';
    out.persistent = !out.http_1_0;
    out.request.method = method;
    out.request.header_bytes = method.size() + target.size();
    return parse_target(target, out, special);
}

bool set_length(std::string_view value, received_head& out,
                special_fields& special)
{
    const char* end = value.data() + value.size();
    const auto [parsed_end, failure] =
        std::from_chars(value.data(), end, out.content_length);
    out.framing = body_framing::length;
    return ++special.framing_count == 1 && !value.empty() &&
           failure == std::errc() && parsed_end == end;
}

bool set_encoding(std::string_view value, received_head& out,
                  special_fields& special)
{
    out.framing = body_framing::chunked;
    return ++special.framing_count == 1 && !out.http_1_0 &&
           equal_ignoring_case(value, "chunked");
}

/// Uses a field that concerns the server itself.
/// @return whether the field was one of these
bool use_special_field(std::string_view name, std::string_view value,
                       received_head& out, special_fields& special, bool& valid)
{
    if (name == "host")
    {
        special.host = value;
        valid = ++special.host_count == 1;
        return true;
    }
    if (name == "content-length")
    {
        valid = set_length(value, out, special);
        return true;
    }
    if (name == "transfer-encoding")
    {
        valid = set_encoding(value, out, special);
        return true;
    }
    if (name == "expect")
    {
        out.expects_continue = equal_ignoring_case(value, "100-continue");
        out.refusal = out.expects_continue ? 0 : status_expectation_failed;
        return true;
    }
    return name == "upgrade";
}

bool parse_field(std::string_view line, received_head& out,
                 special_fields& special)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    {
        return false; // Also folded lines, which begin with a space.
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!is_field_value(value))
    {
        return false;
    }
    std::string name = lower_case(line.substr(0, colon));
    bool valid = true;
    if (use_special_field(name, value, out, special, valid))
    {
        return valid;
    }
    if (name == "connection")
    {
        out.persistent =
            out.http_1_0 ? lists_option(value, "keep-alive") || out.persistent
                         : out.persistent && !lists_option(value, "close");
    }
    out.request.header_bytes +=
        name.size() + value.size() + field_separators_bytes;
    out.request.headers.add(std::move(name), std::string(value));
    return true;
}

bool set_host(received_head& out, const special_fields& special)
{
    if (!out.http_1_0 && special.host_count == 0)
    {
        return false;
    }
    const std::string_view host =
        special.absolute_target ? special.authority : special.host;
    if (!consists_of(special.host, host_character) ||
        !consists_of(host, host_character))
    {
        return false;
    }
    out.request.headers.add("host", std::string(host));
    return true;
}

bool parse(std::string_view text, received_head& out)
{
    special_fields special;
    if (!parse_request_line(take_line(text), out, special))
    {
        return false;
    }
    constexpr std::size_t typical_fields = 12;
    out.request.headers.reserve(typical_fields);
    for (std::string_view line = take_line(text); !line.empty();
         line = take_line(text))
    {
        if (!parse_field(line, out, special))
        {
            return false;
        }
        if (out.request.headers.size() > max_fields)
        {
            out.refusal = status_head_too_large;
            return true;
        }
    }
    return set_host(out, special);
}

} // namespace

bool is_field_value(std::string_view text)
{
    return consists_of(text, value_character);
}

bool is_token(std::string_view text)
{
    return !text.empty() && consists_of(text, token_character);
}

std::optional<std::size_t> find_head_end(std::string_view text,
                                         std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1))
    {
        const std::string_view next = text.substr(at + 1, 2);
        if (next.starts_with('\n'))
        {
            return at + 2;
        }
        if (next == "\r\n")
        {
            return at + 3;
        }
    }
    return std::nullopt;
}

received_head parse_received_head(std::string_view text)
{
    received_head out;
    if (!parse(text, out))
    {
        out.refusal = status_bad_request;
    }
    return out;
}

} // namespace siskinflow::net
