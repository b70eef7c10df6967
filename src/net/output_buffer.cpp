#include "output_buffer.hpp"

#include <siskinflow/core/release_memory.hpp>

#include <utility>

namespace siskinflow::net
{

namespace
{

/// Copying fewer bytes is cheaper than a further part of a write.
constexpr std::size_t small_part_bytes = 8UL * 1024;

} // namespace

void output_buffer::append(std::string part)
{
    bytes_ += part.size();
    if (part.size() <= small_part_bytes && first_ < parts_.size() &&
        parts_.back().size() <= small_part_bytes)
    {
        held_bytes_ -= parts_.back().capacity();
        parts_.back() += part;
        held_bytes_ += parts_.back().capacity();
    }
    else if (!part.empty())
    {
        parts_.push_back(std::move(part));
        held_bytes_ += parts_.back().capacity();
    }
}

void output_buffer::consume(std::size_t bytes)
{
    bytes_ -= bytes;
    while (bytes > 0)
    {
        std::string& part = parts_[first_];
        if (bytes < part.size() - offset_)
        {
            offset_ += bytes;
            return;
        }
        bytes -= part.size() - offset_;
        held_bytes_ -= part.capacity();
        release_memory(part);
        offset_ = 0;
        ++first_;
    }
    if (bytes_ == 0)
    {
        clear();
    }
}

void output_buffer::add_vectors(std::vector<h2o_iovec_t>& out)
{
    std::size_t offset = offset_;
    for (std::size_t i = first_; i < parts_.size(); ++i)
    {
        out.push_back(h2o_iovec_init(parts_[i].data() + offset,
                                     parts_[i].size() - offset));
        offset = 0;
    }
}

void output_buffer::clear()
{
    parts_.clear();
    first_ = 0;
    offset_ = 0;
    bytes_ = 0;
    held_bytes_ = 0;
}

} // namespace siskinflow::net
