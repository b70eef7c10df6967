#include "refusal_copier.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace
{

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view id_field = "siskinflow-request-id";
constexpr std::string_view interim_head =
    "HTTP/1.1 103 Early Hints\r\nlink: </style>; rel=preload\r\n\r\n";
constexpr std::string_view misdirected_line = "HTTP/1.1 421";
constexpr std::size_t max_head_bytes = 65536;

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Where the line of a field begins; nothing without such a field.
std::optional<std::size_t> find_field(std::string_view head,
                                      std::string_view name)
{
    std::size_t at = head.find(line_end);
    while (at != std::string_view::npos)
    {
        at += line_end.size();
        const std::string_view line = head.substr(at, name.size() + 1);
        if (line.size() > name.size() && line.back() == ':' &&
            std::equal(name.begin(), name.end(), line.begin(),
                       [](char a, char b) { return a == lower(b); }))
        {
            return at;
        }
        at = head.find(line_end, at);
    }
    return std::nullopt;
}

std::string_view field(std::string_view head, std::string_view name)
{
    const auto at = find_field(head, name);
    if (!at)
    {
        return {};
    }
    std::string_view value = head.substr(*at + name.size() + 1);
    value = value.substr(0, value.find(line_end));
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    return value;
}

/// Bytes of the body that follows; nothing if the head does not tell.
std::optional<std::size_t> body_size(std::string_view head)
{
    const std::string_view text = field(head, "content-length");
    std::size_t out = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, code] = std::from_chars(text.data(), end, out);
    return !text.empty() && code == std::errc() && parsed == end
               ? std::optional(out)
               : std::nullopt;
}

bool is_refusal(std::string_view head)
{
    return field(head, "siskinflow-not-executed") == "1" ||
           head.starts_with(misdirected_line);
}

} // namespace

std::string refusal_copier::on_answer(std::string_view part)
{
    std::string out;
    while (!part.empty())
    {
        if (framing_unknown_ || body_left_ > 0)
        {
            const std::size_t bytes = framing_unknown_
                                          ? part.size()
                                          : std::min(body_left_, part.size());
            out += part.substr(0, bytes);
            part.remove_prefix(bytes);
            body_left_ -= framing_unknown_ ? 0 : bytes;
            request_in_progress_ = body_left_ > 0;
            continue;
        }
        const std::size_t before = head_.size();
        head_ += part;
        const std::size_t end = head_.find(head_end);
        if (end == std::string::npos)
        {
            framing_unknown_ = head_.size() > max_head_bytes;
            out += framing_unknown_ ? std::exchange(head_, {}) : "";
            return out;
        }
        head_.resize(end + head_end.size());
        part.remove_prefix(head_.size() - before);
        on_head(out);
    }
    return out;
}

/// Passes a whole head on, with a copy in front of it if one is due.
void refusal_copier::on_head(std::string& out)
{
    const std::string head = std::exchange(head_, {});
    const std::string id(field(head, id_field));
    out += copy_in_front_of(id);
    out += head;
    const auto size = body_size(head);
    framing_unknown_ = !size;
    body_left_ = size.value_or(0);
    request_in_progress_ = body_left_ > 0;
    if (size == 0 && is_refusal(head) && !id.empty())
    {
        ++state_.refusals;
        refusals_.push_back({id, head});
        wishes_idle_copy_ = chance() && random_() % copy_kind_names.size() == 0;
    }
}

/// A copy of the refusal of the request that is in progress again, always; or,
/// by chance, one of the newest refusal, mostly cut, as only that can pass for
/// the answer to another request.
std::string refusal_copier::copy_in_front_of(std::string_view next_id)
{
    constexpr std::array kinds{copy_kind::whole, copy_kind::cut,
                               copy_kind::behind_interim, copy_kind::twice};
    const auto same =
        std::find_if(refusals_.begin(), refusals_.end(),
                     [&](const refusal& each) { return each.id == next_id; });
    const bool again = same != refusals_.end();
    if (refusals_.empty() || state_.per_hundred == 0 || (!again && !chance()))
    {
        return {};
    }
    copy_kind kind = kinds[random_() % kinds.size()];
    if (!again && random_() % 2 == 0)
    {
        kind = copy_kind::cut;
    }
    count(kind);
    state_.of_same_id += again ? 1 : 0;
    return bytes_of(kind, again ? *same : refusals_.back());
}

std::string refusal_copier::bytes_of(copy_kind kind, const refusal& from) const
{
    switch (kind)
    {
    case copy_kind::cut:
        return cut_head(from);
    case copy_kind::behind_interim:
        return std::string(interim_head) + from.head;
    case copy_kind::twice:
        return from.head + from.head;
    default:
        return from.head;
    }
}

/// The head up to the middle of the field in front of its id.
std::string refusal_copier::cut_head(const refusal& from) const
{
    const std::size_t id_at = find_field(from.head, id_field).value_or(0);
    if (id_at < line_end.size())
    {
        return from.head;
    }
    const std::size_t end = id_at - line_end.size();
    const std::size_t begin = from.head.rfind(line_end, end - 1);
    return from.head.substr(0, end - (end - begin) / 4);
}

bool refusal_copier::take_idle_wish()
{
    return std::exchange(wishes_idle_copy_, false);
}

std::string refusal_copier::idle_copy()
{
    if (request_in_progress_ || framing_unknown_ || !head_.empty() ||
        refusals_.empty())
    {
        return {};
    }
    count(copy_kind::idle);
    return refusals_.back().head;
}

bool refusal_copier::chance()
{
    constexpr unsigned hundred = 100;
    return random_() % hundred < state_.per_hundred;
}

void refusal_copier::count(copy_kind kind)
{
    ++state_.played[static_cast<std::size_t>(kind)];
}
