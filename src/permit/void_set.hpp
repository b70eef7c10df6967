/// @file
/// @brief Set of void permits at one bit per permit issued.
#pragma once

#include <siskinflow/permit/permit_issuer.hpp>

#include <bitset>
#include <map>

namespace siskinflow
{

/// @brief Stores void permits until they have expired. An overload voids every
/// refused permit, so a separate entry for each would take hundreds of
/// megabytes within the lifetime of a permit.
class void_set
{
public:
    /// @brief Adds a permit.
    void insert(const permit& value);

    /// @brief Whether the permit was added and has not been dropped.
    bool contains(permit_sequence sequence) const;

    /// @brief Drops chunks whose permits have all expired.
    void expire(time_point now);

    /// @brief Approximate memory in bytes.
    std::size_t bytes() const;

private:
    static constexpr permit_sequence chunk_permits = 4096;

    struct chunk
    {
        std::bitset<chunk_permits> bits;
        time_point latest_issue;
    };

    std::map<permit_sequence, chunk> chunks_; ///< By sequence / chunk_permits.
};

} // namespace siskinflow
