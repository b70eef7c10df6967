#include <siskinflow/net/http_types.hpp>

#include <algorithm>
#include <array>

namespace siskinflow::net
{

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop_names = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "transfer-encoding",
    "proxy-authenticate",
    "proxy-authorization"};

constexpr char to_lower(char character)
{
    return character >= 'A' && character <= 'Z'
               ? static_cast<char>(character | 0x20)
               : character;
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                       [name](std::string_view hop_by_hop_name)
                       { return equal_ignoring_case(name, hop_by_hop_name); });
}

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Names listed in the `connection` fields.
std::vector<std::string> connection_options(const http_headers& headers)
{
    std::vector<std::string> options;
    for (const auto& [name, value] : headers)
    {
        if (!equal_ignoring_case(name, "connection"))
        {
            continue;
        }
        std::string_view remaining = value;
        while (!remaining.empty())
        {
            const std::size_t comma = remaining.find(',');
            options.emplace_back(trim(remaining.substr(0, comma)));
            remaining = comma == std::string_view::npos
                            ? std::string_view()
                            : remaining.substr(comma + 1);
        }
    }
    return options;
}

} // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
    {
        return false;
    }
    // Names on arrival are in lower case already, so most comparisons end
    // here.
    if (left == right)
    {
        return true;
    }
    return std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b)
                      { return to_lower(a) == to_lower(b); });
}

void http_headers::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

void http_headers::set(std::string_view name, std::string value)
{
    remove(name);
    fields_.emplace_back(std::string(name), std::move(value));
}

void http_headers::remove(std::string_view name)
{
    std::erase_if(fields_, [name](const field& item)
                  { return equal_ignoring_case(item.first, name); });
}

std::string_view http_headers::value(std::string_view name) const
{
    const auto match =
        std::find_if(fields_.begin(), fields_.end(),
                     [name](const field& item)
                     { return equal_ignoring_case(item.first, name); });
    return match == fields_.end() ? std::string_view() : match->second;
}

bool http_headers::contains(std::string_view name) const
{
    return count(name) != 0;
}

std::size_t http_headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(fields_.begin(), fields_.end(),
                      [name](const field& item)
                      { return equal_ignoring_case(item.first, name); }));
}

void http_headers::remove_hop_by_hop()
{
    for (const std::string& option : connection_options(*this))
    {
        remove(option);
    }
    std::erase_if(fields_,
                  [](const field& item) { return is_hop_by_hop(item.first); });
}

} // namespace siskinflow::net
