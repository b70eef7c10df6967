#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/permit/permit_messages.hpp>

#include <array>

namespace siskinflow
{

std::string_view name(permit_verdict verdict) noexcept
{
    static constexpr std::array<std::string_view, 6> names = {
        "unknown", "not_run", "ran", "unknown", "in_progress", "invalid"};
    return enum_name(names, verdict);
}

std::uint64_t permit_digest(std::string_view text,
                            std::string_view organisation,
                            std::string_view route)
{
    const std::uint64_t text_hash = stable_hash(text);
    return stable_hash(route, stable_hash(organisation, text_hash));
}

} // namespace siskinflow
