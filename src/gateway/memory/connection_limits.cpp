#include "connection_limits.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace siskinflow::gateway
{

namespace
{

/// Connections to targets and the store, sockets to other VMs, the listeners
/// and the loop's own descriptors.
constexpr std::size_t own_descriptors = 256;
/// Lookups are short; a fleet of callers makes about one per second each.
constexpr std::size_t max_directory = 128;
/// The largest failure domain has 74 VMs, each with three reads in progress.
constexpr std::size_t max_relay = 256;
/// The platform and a few collectors of metrics.
constexpr std::size_t max_operator_connections = 64;
/// Parts of the descriptors, for small limits.
constexpr std::size_t listener_part = 8;
constexpr std::size_t operator_part = 32;
constexpr std::size_t min_callers = 32;
/// Part of a machine's memory that is used.
constexpr double used_part = 0.9;
/// Code and state of the process.
constexpr std::size_t process_bytes = 24UL * 1024 * 1024;
/// What the kernel receives for a new connection, and buffers and state.
constexpr std::size_t connection_bytes = (128UL + 32UL) * 1024;
/// Of these connections, the part that may wait to be accepted.
constexpr std::size_t unaccepted_part = 4;
constexpr std::size_t min_unaccepted = 16;

} // namespace

connection_limits divide_descriptors(std::size_t max_descriptors,
                                     std::size_t max_callers)
{
    connection_limits out;
    out.directory = std::min(max_directory, max_descriptors / listener_part);
    out.relay = std::min(max_relay, max_descriptors / listener_part);
    out.readiness =
        std::min(max_operator_connections, max_descriptors / operator_part);
    out.metrics = out.readiness;
    const std::size_t others = own_descriptors + out.directory + out.relay +
                               out.readiness + out.metrics;
    const std::size_t left =
        max_descriptors - std::min(max_descriptors, others);
    out.requests = std::min(max_callers, std::max(min_callers, left));
    return out;
}

caller_connection_limits connections_for_memory(std::size_t memory_bytes,
                                                std::size_t budget_bytes)
{
    const auto used =
        static_cast<std::size_t>(used_part * static_cast<double>(memory_bytes));
    const std::size_t others = process_bytes + budget_bytes;
    const std::size_t left = used - std::min(used, others);
    const std::size_t all = left / connection_bytes;
    const std::size_t unaccepted = all / unaccepted_part;
    return {std::max(min_callers, all - unaccepted),
            std::max(min_unaccepted, unaccepted)};
}

std::size_t usable_descriptors(std::size_t setting)
{
    rlimit of_system{};
    if (::getrlimit(RLIMIT_NOFILE, &of_system) != 0)
    {
        return setting;
    }
    return std::min<std::size_t>(setting, of_system.rlim_cur);
}

} // namespace siskinflow::gateway
