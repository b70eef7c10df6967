/// @file
/// @brief Splits the messages between VMs into datagrams; internal to the
/// gateway.
#pragma once

#include <siskinflow/control/codec.hpp>
#include <siskinflow/gateway/peers.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace siskinflow::gateway
{

inline void prepare_further_part(peer_state& /*message*/) {}

/// @brief Leaves out what the first part has said.
inline void prepare_further_part(peer_report& message)
{
    message.loads.clear();
}

/// @brief Leaves out what the first part has said.
inline void prepare_further_part(domain_state& message)
{
    message.lists_serving = false;
    message.serving.clear();
}

/// @brief Encodes a message with as many usages in each datagram as fit.
/// @param message its usages are ignored
/// @return at least one datagram
template <class Message>
std::vector<std::string>
encode_parts(const incarnation_id& sender, Message message,
             const std::vector<organisation_usage>& usages)
{
    std::vector<std::string> out;
    auto next = usages.begin();
    do
    {
        message.usages.clear();
        const std::size_t used = control::encode(sender, message).size();
        const std::size_t room = control::max_datagram_bytes -
                                 std::min(used, control::max_datagram_bytes);
        const auto count = std::min<std::ptrdiff_t>(
            static_cast<std::ptrdiff_t>(room / sizeof(organisation_usage)),
            usages.end() - next);
        message.usages.assign(next, next + count);
        out.push_back(control::encode(sender, message));
        prepare_further_part(message);
        next += count;
    } while (next != usages.end());
    return out;
}

} // namespace siskinflow::gateway
