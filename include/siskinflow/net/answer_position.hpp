/// @file
/// @brief Where an answer was read.
#pragma once

#include <cstdint>

namespace siskinflow::net
{

/// @brief The place of an answer on its connection. Bytes prove something about
/// a request only if the connection has carried nothing else that could have
/// caused them.
struct answer_position
{
    std::uint64_t connection = 0; ///< Number in its client; 0: no answer.
    std::uint16_t local_port = 0; ///< Of the connection, on this side.
    std::uint32_t answer = 0;     ///< Number on the connection, from 1.
    /// The connection had carried the id of the request before.
    bool id_repeated = false;

    /// @brief Whether an answer with the request's id can only be the one that
    /// the request has caused.
    bool conclusive() const
    {
        return connection != 0 && !id_repeated;
    }
};

} // namespace siskinflow::net
