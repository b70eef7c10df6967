#include "request_head.hpp"

#include <charconv>

namespace siskinflow::net
{

namespace
{

/// Large enough for most heads, so that the string is not reallocated.
constexpr std::size_t typical_head_bytes = 1024;

bool is_safe_field(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) ==
           std::string_view::npos;
}

} // namespace

std::string format_request_head(const client_request& request)
{
    std::string head;
    head.reserve(typical_head_bytes);
    head.append(request.method).append(" ").append(request.target);
    head.append(" HTTP/1.1\r\n");
    if (!request.headers.contains("host"))
    {
        head += "host: " + to_string(request.peer) + "\r\n";
    }
    for (const auto& [name, value] : request.headers)
    {
        if (is_safe_field(name) && is_safe_field(value) &&
            !equal_ignoring_case(name, "content-length") &&
            !equal_ignoring_case(name, "connection"))
        {
            head.append(name).append(": ").append(value).append("\r\n");
        }
    }
    const bool has_body = !request.body_bytes().empty() ||
                          request.method == "POST" || request.method == "PUT" ||
                          request.method == "PATCH";
    if (has_body)
    {
        head +=
            "content-length: " + std::to_string(request.body_bytes().size()) +
            "\r\n";
    }
    head += request.fresh_connection ? "connection: close\r\n\r\n"
                                     : "connection: keep-alive\r\n\r\n";
    return head;
}

std::optional<std::size_t> parse_content_length(std::string_view text)
{
    std::size_t length = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, code] = std::from_chars(text.data(), end, length);
    if (text.empty() || code != std::errc() || parsed_end != end)
    {
        return std::nullopt;
    }
    return length;
}

} // namespace siskinflow::net
