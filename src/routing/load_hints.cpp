#include <siskinflow/routing/load_hints.hpp>

#include <nlohmann/json.hpp>

namespace siskinflow::routing
{

namespace
{

std::optional<std::uint32_t> read_count(const nlohmann::json& document,
                                        const char* key)
{
    const auto it = document.find(key);
    if (it == document.end() || !it->is_number_unsigned() ||
        it->get<std::uint64_t>() > load_hint_parser::max_count)
    {
        return std::nullopt;
    }
    return it->get<std::uint32_t>();
}

std::optional<bool> read_flag(const nlohmann::json& document, const char* key)
{
    const auto it = document.find(key);
    if (it == document.end() || !it->is_boolean())
    {
        return std::nullopt;
    }
    return it->get<bool>();
}

std::optional<load_hint> read_hint(std::string_view body)
{
    if (body.size() > load_hint_parser::max_body_bytes)
    {
        return std::nullopt;
    }
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    const auto running = read_count(document, "running");
    const auto slots = read_count(document, "slots");
    const auto draining = read_flag(document, "draining");
    const auto cold = read_flag(document, "cold");
    if (!running || !slots || !draining || !cold)
    {
        return std::nullopt;
    }
    return load_hint{*running, *slots, *draining, *cold};
}

} // namespace

std::optional<load_hint> load_hint_parser::parse(std::string_view body)
{
    auto hint = read_hint(body);
    if (!hint)
    {
        ++malformed_;
    }
    return hint;
}

} // namespace siskinflow::routing
