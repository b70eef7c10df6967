#include <siskinflow/control/message_type.hpp>
#include <siskinflow/core/enum_name.hpp>

#include <array>

namespace siskinflow::control
{

std::string_view name(message_type type) noexcept
{
    static constexpr std::array<std::string_view, 25> names = {
        "unknown",
        "heartbeat",
        "share_report",
        "share_grant",
        "revision_push",
        "revision_fetch",
        "permit_query",
        "permit_outcome",
        "closing_statement",
        "counters",
        "join_request",
        "leave_notice",
        "acknowledgement",
        "counters_request",
        "counters_bundle",
        "peer_state",
        "domain_state",
        "store_changes_request",
        "store_changes",
        "store_confirmation",
        "target_leaving",
        "store_position_request",
        "store_position_changes",
        "store_position_confirmation",
        "peer_report"};
    return enum_name(names, type);
}

} // namespace siskinflow::control
