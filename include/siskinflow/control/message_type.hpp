/// @file
/// @brief Types of the messages between VMs and limits of the protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace siskinflow::control
{

/// @brief Version of the encoding; messages of other versions are dropped.
constexpr std::uint8_t protocol_version = 1;

/// @brief Largest datagram in bytes, below the usual path MTU.
constexpr std::size_t max_datagram_bytes = 1200;

/// @brief Type of a message. Each message struct names its own as
/// `static constexpr message_type type`. A number is never reused.
enum class message_type : std::uint8_t
{
    heartbeat = 1,
    share_report = 2,
    share_grant = 3,
    revision_push = 4,
    revision_fetch = 5,
    permit_query = 6,
    permit_outcome = 7,
    closing_statement = 8,
    counters = 9,
    join_request = 10,
    leave_notice = 11,
    acknowledgement = 12,
    counters_request = 13,
    counters_bundle = 14,
    peer_state = 15,
    domain_state = 16,
    store_changes_request = 17,
    store_changes = 18,
    store_confirmation = 19,
    target_leaving = 20,
    store_position_request = 21,
    store_position_changes = 22,
    store_position_confirmation = 23,
    peer_report = 24,
};

/// @brief Name of a message type in snake_case, "unknown" if undefined.
std::string_view name(message_type type) noexcept;

} // namespace siskinflow::control
