/// @file
/// @brief Bytes of an answer that are not yet written; internal to `net`.
#pragma once

#include "h2o_native.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace siskinflow::net
{

/// @brief A queue of parts. Large parts are moved in, small ones are joined.
class output_buffer
{
public:
    void append(std::string part);

    /// @brief Removes bytes from the front.
    void consume(std::size_t bytes);

    std::size_t bytes() const
    {
        return bytes_;
    }
    bool empty() const
    {
        return bytes_ == 0;
    }

    /// @brief Bytes that the parts take in memory. A part is freed when its
    /// last byte is written.
    std::size_t held_bytes() const
    {
        return held_bytes_;
    }

    /// @brief Adds the parts, as vectors, to a list.
    void add_vectors(std::vector<h2o_iovec_t>& out);

    void clear();

private:
    std::vector<std::string> parts_;
    std::size_t first_ = 0;  ///< Part that is written next.
    std::size_t offset_ = 0; ///< Written bytes of that part.
    std::size_t bytes_ = 0;
    std::size_t held_bytes_ = 0;
};

} // namespace siskinflow::net
