/// @file
/// @brief How the descriptors of a process are divided.
#pragma once

#include <cstddef>

namespace siskinflow::gateway
{

/// @brief Connections that each listener may have open.
struct connection_limits
{
    std::size_t requests = 0;
    std::size_t directory = 0;
    std::size_t relay = 0; ///< Other VMs that read changes of the store.
    std::size_t readiness = 0;
    std::size_t metrics = 0;
};

/// @brief Divides the descriptors of the process. Addresses connections of
/// callers that are opened and never closed: they can't take the descriptors
/// that targets, other VMs, the store, lookups and the readiness check need.
/// @param max_descriptors of the process, at least 512
/// @param max_callers limit that an operator has set for callers
connection_limits divide_descriptors(std::size_t max_descriptors,
                                     std::size_t max_callers);

/// @brief Connections of callers.
struct caller_connection_limits
{
    std::size_t open = 0;
    std::size_t unaccepted = 0; ///< Held by the kernel until they are accepted.
};

/// @brief Connections of callers that the memory of a machine bears, beside
/// the budget for what they send and receive: each may have bytes that wait
/// unread in the kernel, which count as memory of the process.
/// @param memory_bytes memory of the machine
/// @param budget_bytes accounted bytes
caller_connection_limits connections_for_memory(std::size_t memory_bytes,
                                                std::size_t budget_bytes);

/// @brief Descriptors that the process may open.
/// @param setting limit that an operator has set
/// @return the setting, or the system's limit if that is lower
std::size_t usable_descriptors(std::size_t setting);

} // namespace siskinflow::gateway
