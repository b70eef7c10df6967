/// @file
/// @brief Gives memory back to the system after many bytes were freed.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstddef>

namespace siskinflow::gateway
{

/// @brief What the decision to give memory back rests on.
struct memory_return_state
{
    std::size_t peak_bytes = 0; ///< Since memory was last given back.
    time_point returned_at{};   ///< When it was.
};

/// @brief The decision and the state for the next one.
struct memory_return_decision
{
    memory_return_state next;
    bool give_back = false;
};

/// @brief Whether to give free memory back: at most once a second, and only if
/// much was freed, because the allocator walks through all of its memory.
/// Addresses crowds that leave: freed blocks below others in use stay in the
/// process otherwise.
/// @param used_bytes in use now, as an estimate
memory_return_decision decide_memory_return(const memory_return_state& state,
                                            std::size_t used_bytes,
                                            time_point now);

/// @brief Bytes that callers use, as an estimate.
/// @param held_bytes bodies and answers
std::size_t estimate_used_bytes(std::size_t held_bytes,
                                std::size_t connections);

/// @brief Makes the allocator take large blocks from the system and give each
/// back when it is freed.
void configure_allocator();

/// @brief Gives the free memory of the allocator back to the system.
void return_free_memory();

} // namespace siskinflow::gateway
