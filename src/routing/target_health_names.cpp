#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/routing/target_health.hpp>

#include <array>

namespace siskinflow::routing
{

std::string_view name(health_state state) noexcept
{
    static constexpr std::array<std::string_view, 3> names{"healthy", "ejected",
                                                           "probing"};
    return enum_name(names, state);
}

std::string_view name(health_event event) noexcept
{
    static constexpr std::array<std::string_view, 5> names{
        "eject", "probe", "succeed", "fail", "reset"};
    return enum_name(names, event);
}

std::string_view name(health_reason reason) noexcept
{
    static constexpr std::array<std::string_view, 9> names{
        "consecutive_failures", "error_rate", "latency",
        "unreachable",          "probe_sent", "probe_succeeded",
        "probe_failed",         "probe_lost", "ejection_limit"};
    return enum_name(names, reason);
}

std::string_view name(attempt_outcome outcome) noexcept
{
    static constexpr std::array<std::string_view, 5> names{
        "success", "failure", "timed_out", "shed", "cancelled"};
    return enum_name(names, outcome);
}

} // namespace siskinflow::routing
