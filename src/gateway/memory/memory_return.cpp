#include "memory_return.hpp"

#include <algorithm>
#include <malloc.h>

namespace siskinflow::gateway
{

namespace
{

constexpr std::size_t min_freed_bytes = 4UL * 1024 * 1024;
constexpr duration min_interval = std::chrono::seconds(1);
/// Buffers and state of an open connection.
constexpr std::size_t connection_bytes = 16UL * 1024;
/// The allocator's own threshold rises to the size of the largest block that
/// was freed, up to 32 MB; bodies would then be kept after they were freed.
constexpr int mmap_threshold_bytes = 256 * 1024;
constexpr int trim_threshold_bytes = 1024 * 1024;

} // namespace

memory_return_decision decide_memory_return(const memory_return_state& state,
                                            std::size_t used_bytes,
                                            time_point now)
{
    memory_return_decision out;
    out.next = state;
    out.next.peak_bytes = std::max(state.peak_bytes, used_bytes);
    out.give_back = out.next.peak_bytes - used_bytes >= min_freed_bytes &&
                    now - state.returned_at >= min_interval;
    if (out.give_back)
    {
        out.next = {used_bytes, now};
    }
    return out;
}

std::size_t estimate_used_bytes(std::size_t held_bytes, std::size_t connections)
{
    return held_bytes + connections * connection_bytes;
}

void configure_allocator()
{
    (void)::mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    (void)::mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
}

void return_free_memory()
{
    (void)::malloc_trim(0);
}

} // namespace siskinflow::gateway
