#include "request_parser.hpp"

#include <siskinflow/core/release_memory.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace siskinflow::net
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_too_large = 413;
constexpr int status_head_too_large = 431;
/// Of a chunk's size with its extensions, and of a trailer.
constexpr std::size_t max_line_bytes = 4096;
constexpr std::size_t max_trailer_bytes = 8192;
/// Factor by which the room for a body of unknown length grows: it is copied
/// rarely, and pages that are not written to use no memory.
constexpr std::size_t growth_factor = 4;

} // namespace

body_decoder::body_decoder(body_framing framing, std::size_t content_length,
                           std::size_t max_bytes)
    : status_(state::incomplete), framing_(framing), max_bytes_(max_bytes)
{
    if (framing == body_framing::chunked)
    {
        part_ = part::size_line;
        return;
    }
    remaining_ = framing == body_framing::length ? content_length : 0;
    if (remaining_ == 0)
    {
        status_ = state::complete;
        return;
    }
    body_.reserve(remaining_);
}

std::size_t body_decoder::consume(std::string_view input)
{
    std::size_t used = 0;
    while (status_ == state::incomplete && used < input.size())
    {
        const std::string_view rest = input.substr(used);
        used += part_ == part::data ? consume_data(rest) : consume_line(rest);
    }
    return used;
}

std::size_t body_decoder::consume_data(std::string_view input)
{
    const std::string_view data = input.substr(0, remaining_);
    append(data);
    remaining_ -= data.size();
    if (remaining_ == 0 && status_ == state::incomplete)
    {
        part_ = part::data_end;
        status_ = framing_ == body_framing::length ? state::complete
                                                   : state::incomplete;
    }
    return data.size();
}

void body_decoder::append(std::string_view data)
{
    if (body_.size() + data.size() > max_bytes_)
    {
        status_ = state::too_large;
        return;
    }
    const std::size_t size = body_.size() + data.size();
    if (size > body_.capacity())
    {
        body_.reserve(std::min(max_bytes_, size * growth_factor));
    }
    body_.append(data);
}

std::size_t body_decoder::consume_line(std::string_view input)
{
    const auto end = input.find('\n');
    const std::size_t used =
        end == std::string_view::npos ? input.size() : end + 1;
    line_.append(input.substr(0, std::min(used, max_line_bytes + 1)));
    if (line_.size() > max_line_bytes)
    {
        status_ = state::malformed;
        return used;
    }
    if (end != std::string_view::npos)
    {
        // A line feed alone ends a line for some parsers only.
        const bool whole = line_.ends_with("\r\n");
        line_.resize(line_.size() - (whole ? 2 : 0));
        if (whole && is_field_value(line_))
        {
            end_line();
        }
        else
        {
            status_ = state::malformed;
        }
        line_.clear();
    }
    return used;
}

void body_decoder::end_line()
{
    switch (part_)
    {
    case part::data_end:
        part_ = part::size_line;
        status_ = line_.empty() ? state::incomplete : state::malformed;
        return;
    case part::size_line:
        begin_chunk();
        return;
    case part::trailers:
        trailer_bytes_ += line_.size();
        if (line_.empty())
        {
            status_ = state::complete;
        }
        else if (trailer_bytes_ > max_trailer_bytes ||
                 !is_token(std::string_view(line_).substr(0, line_.find(':'))))
        {
            status_ = state::malformed;
        }
        return;
    case part::data:
        return;
    }
}

void body_decoder::begin_chunk()
{
    constexpr int hexadecimal = 16;
    const char* begin = line_.data();
    const char* end = begin + line_.size();
    std::size_t size = 0;
    const auto [parsed_end, failure] =
        std::from_chars(begin, end, size, hexadecimal);
    const std::string_view rest(parsed_end,
                                static_cast<std::size_t>(end - parsed_end));
    const auto extension = rest.find_first_not_of(" \t");
    const bool valid = failure == std::errc() &&
                       (rest.empty() || (extension != std::string_view::npos &&
                                         rest[extension] == ';'));
    if (!valid)
    {
        status_ = state::malformed;
        return;
    }
    if (size > max_bytes_ - body_.size())
    {
        status_ = state::too_large;
        return;
    }
    remaining_ = size;
    part_ = size == 0 ? part::trailers : part::data;
}

std::size_t request_parser::consume(std::string_view input)
{
    if (status_ == state::complete || status_ == state::refused)
    {
        return 0;
    }
    if (status_ != state::body)
    {
        return consume_head(input);
    }
    const std::size_t used = decoder_.consume(input);
    switch (decoder_.status())
    {
    case body_decoder::state::incomplete:
        break;
    case body_decoder::state::complete:
        status_ = state::complete;
        break;
    case body_decoder::state::malformed:
        refuse(status_bad_request);
        break;
    case body_decoder::state::too_large:
        refuse(status_too_large);
        break;
    }
    return used;
}

std::size_t request_parser::consume_head(std::string_view input)
{
    std::size_t skipped = 0;
    if (text_.empty())
    {
        skipped = std::min(input.find_first_not_of("\r\n"), input.size());
        skipped_bytes_ += skipped;
        input.remove_prefix(skipped);
        status_ = input.empty() ? state::idle : state::head;
    }
    // Most heads arrive at once and are parsed in place.
    const std::size_t before = text_.size();
    if (before > 0)
    {
        text_.append(input.substr(0, limits_.header_bytes + 1));
    }
    const std::string_view text = before > 0 ? std::string_view(text_) : input;
    constexpr std::size_t end_bytes = 3; // Of the line ending and empty line.
    const auto end =
        find_head_end(text, before > end_bytes ? before - end_bytes : 0);
    if (end.value_or(text.size()) + skipped_bytes_ > limits_.header_bytes)
    {
        refuse(status_head_too_large);
        return skipped + input.size();
    }
    if (end)
    {
        end_head(text.substr(0, *end));
        return skipped + *end - before;
    }
    if (before == 0)
    {
        text_ = input;
    }
    return skipped + input.size();
}

void request_parser::end_head(std::string_view text)
{
    head_ = parse_received_head(text);
    text_.clear();
    skipped_bytes_ = 0;
    if (head_.refusal != 0)
    {
        refuse(head_.refusal);
        return;
    }
    if (head_.framing == body_framing::length &&
        head_.content_length > limits_.body_bytes)
    {
        refuse(status_too_large);
        return;
    }
    decoder_ =
        body_decoder(head_.framing, head_.content_length, limits_.body_bytes);
    status_ = decoder_.status() == body_decoder::state::complete
                  ? state::complete
                  : state::body;
}

void request_parser::refuse(int status)
{
    status_ = state::refused;
    refusal_ = status;
    release_memory(text_);
    release_memory(decoder_);
}

received_head request_parser::take(std::string& body)
{
    body = std::move(decoder_.body());
    release_memory(decoder_);
    status_ = state::idle;
    return std::move(head_);
}

} // namespace siskinflow::net
