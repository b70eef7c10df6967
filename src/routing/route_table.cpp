#include <siskinflow/routing/route_table.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace siskinflow::routing
{

namespace
{

struct string_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>()(text);
    }
};

std::optional<unsigned> hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
    {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    if (lower >= 'a' && lower <= 'f')
    {
        return lower - 'a' + 10;
    }
    return std::nullopt;
}

std::optional<unsigned char> escaped_byte(std::string_view text)
{
    if (text.size() < 3 || text[0] != '%')
    {
        return std::nullopt;
    }
    const auto high = hex_value(text[1]);
    const auto low = hex_value(text[2]);
    if (!high || !low)
    {
        return std::nullopt;
    }
    return static_cast<unsigned char>(*high * 16 + *low);
}

bool is_forbidden(unsigned char byte)
{
    return byte < 0x20 || byte == 0x7F || byte == '\\' || byte == 0xC0 ||
           byte == 0xC1;
}

bool contains_escape(std::string_view text)
{
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (escaped_byte(text.substr(i)))
        {
            return true;
        }
    }
    return false;
}

/// Appends the decoded segment; false if it is refused.
bool append_segment(std::string_view raw, std::string& out)
{
    const std::size_t start = out.size();
    bool has_escape = false;
    for (std::size_t i = 0; i < raw.size(); ++i)
    {
        unsigned char byte = static_cast<unsigned char>(raw[i]);
        if (byte == '%')
        {
            const auto value = escaped_byte(raw.substr(i));
            if (!value || *value == '/')
            {
                return false;
            }
            byte = *value;
            has_escape = true;
            i += 2;
        }
        if (is_forbidden(byte))
        {
            return false;
        }
        out.push_back(static_cast<char>(byte));
    }
    if (has_escape && contains_escape(std::string_view(out).substr(start)))
    {
        return false;
    }
    out.resize(std::min(out.size(), out.find(';', start)));
    const auto segment = std::string_view(out).substr(start);
    return !segment.empty() && segment != "." && segment != "..";
}

} // namespace

result<std::string> normalize_path(std::string_view path)
{
    path = path.substr(0, path.find_first_of("?#"));
    if (path.empty() || path.front() != '/')
    {
        return fail(errc::parse_error, "request path does not begin with '/'");
    }
    std::string out;
    out.reserve(path.size());
    while (path.size() > 1)
    {
        path.remove_prefix(1);
        const auto raw = path.substr(0, path.find('/'));
        path.remove_prefix(raw.size());
        out.push_back('/');
        if (!append_segment(raw, out))
        {
            return fail(errc::parse_error,
                        "request path has an ambiguous segment");
        }
    }
    return out;
}

struct route_table::impl
{
    std::shared_ptr<const configuration> config;
    std::unordered_map<std::string, const route_config*, string_hash,
                       std::equal_to<>>
        by_prefix;
};

route_table::route_table(std::shared_ptr<const configuration> config)
    : impl_(std::make_unique<impl>())
{
    impl_->config = std::move(config);
    for (const auto& route : impl_->config->routes)
    {
        auto prefix = normalize_path(route.path_prefix);
        if (prefix)
        {
            impl_->by_prefix.emplace(std::move(prefix).value(), &route);
        }
    }
}

route_table::~route_table() = default;
route_table::route_table(route_table&&) noexcept = default;
route_table& route_table::operator=(route_table&&) noexcept = default;

result<const route_config*> route_table::find(std::string_view path) const
{
    const auto normalized = normalize_path(path);
    if (!normalized)
    {
        return normalized.as_failure();
    }
    std::string_view prefix = normalized.value();
    while (true)
    {
        const auto it = impl_->by_prefix.find(prefix);
        if (it != impl_->by_prefix.end())
        {
            return it->second;
        }
        if (prefix.empty())
        {
            return fail(errc::not_found, "no route matches the request path");
        }
        prefix = prefix.substr(0, prefix.rfind('/'));
    }
}

} // namespace siskinflow::routing
