#include "void_set.hpp"

#include <algorithm>

namespace siskinflow
{

void void_set::insert(const permit& value)
{
    chunk& containing_chunk = chunks_[value.sequence / chunk_permits];
    containing_chunk.bits.set(value.sequence % chunk_permits);
    containing_chunk.latest_issue =
        std::max(containing_chunk.latest_issue, value.issued_at);
}

bool void_set::contains(permit_sequence sequence) const
{
    const auto chunk_it = chunks_.find(sequence / chunk_permits);
    return chunk_it != chunks_.end() &&
           chunk_it->second.bits.test(sequence % chunk_permits);
}

void void_set::expire(time_point now)
{
    // Sequences grow with the issue time, so the first chunk is the oldest.
    while (!chunks_.empty() &&
           now - chunks_.begin()->second.latest_issue >= permit_lifetime)
    {
        chunks_.erase(chunks_.begin());
    }
}

std::size_t void_set::bytes() const
{
    return chunks_.size() * sizeof(chunk);
}

} // namespace siskinflow
