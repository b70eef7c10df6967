#include "answer_writer.hpp"

#include "reason_phrase.hpp"
#include "received_head.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace siskinflow::net
{

namespace
{

/// Large enough for most heads, so that the string is not reallocated.
constexpr std::size_t typical_head_bytes = 512;
constexpr int min_status = 100;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_internal_error = 500;
constexpr int max_status = 599;

bool has_no_body(int status)
{
    return status < first_final_status || status == status_no_content ||
           status == status_not_modified;
}

bool is_sendable(const http_headers::field& field)
{
    return is_token(field.first) && is_field_value(field.second) &&
           !equal_ignoring_case(field.first, "content-length") &&
           !equal_ignoring_case(field.first, "transfer-encoding") &&
           !equal_ignoring_case(field.first, "connection");
}

void append_lower_case(std::string& out, std::string_view text)
{
    for (const char c : text)
    {
        out += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
}

} // namespace

void answer_writer::start(int status, const http_headers& headers,
                          std::optional<std::size_t> content_length,
                          const answer_context& context, output_buffer& out)
{
    started_ = true;
    // A status that clients can't read must never reach one.
    status = status < min_status || status > max_status ? status_internal_error
                                                        : status;
    const bool until_close = !content_length && context.http_1_0 &&
                             !has_no_body(status) && !context.head_request;
    closes_ = !context.persistent || until_close;
    framing_ = has_no_body(status) || context.head_request ? framing::none
               : content_length                            ? framing::length
               : until_close ? framing::until_close
                             : framing::chunked;
    remaining_ = content_length.value_or(0);
    std::string head;
    head.reserve(typical_head_bytes);
    head.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    head.append(reason_phrase(status)).append("\r\n");
    for (const auto& field : headers)
    {
        if (is_sendable(field))
        {
            append_lower_case(head, field.first);
            head.append(": ").append(field.second).append("\r\n");
        }
    }
    if (content_length && !has_no_body(status))
    {
        head.append("content-length: ").append(std::to_string(*content_length));
        head.append("\r\n");
    }
    else if (framing_ == framing::chunked)
    {
        head.append("transfer-encoding: chunked\r\n");
    }
    if (closes_ || context.http_1_0)
    {
        head.append(closes_ ? "connection: close\r\n"
                            : "connection: keep-alive\r\n");
    }
    head.append("\r\n");
    out.append(std::move(head));
}

void answer_writer::write(std::string part, output_buffer& out)
{
    if (framing_ == framing::none || part.empty())
    {
        return;
    }
    if (framing_ == framing::length)
    {
        part.resize(std::min(part.size(), remaining_));
        remaining_ -= part.size();
    }
    if (framing_ != framing::chunked)
    {
        out.append(std::move(part));
        return;
    }
    constexpr int hexadecimal = 16;
    std::array<char, hexadecimal> digits{};
    const char* end =
        std::to_chars(digits.data(), digits.data() + digits.size(), part.size(),
                      hexadecimal)
            .ptr;
    std::string size_line(digits.data(),
                          static_cast<std::size_t>(end - digits.data()));
    out.append(size_line.append("\r\n"));
    out.append(std::move(part));
    out.append("\r\n");
}

bool answer_writer::finish(output_buffer& out)
{
    if (framing_ == framing::chunked)
    {
        out.append("0\r\n\r\n");
    }
    return framing_ != framing::length || remaining_ == 0;
}

} // namespace siskinflow::net
