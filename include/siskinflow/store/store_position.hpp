/// @file
/// @brief Position in the history of a store that may return from a copy.
#pragma once

#include <siskinflow/store/store.hpp>

#include <compare>
#include <cstdint>

namespace siskinflow
{

/// @brief A revision together with the era in which it was assigned. A store
/// that returns from an older copy begins a new era and assigns revisions
/// again, so revisions of different eras can't be compared.
///
/// The constructor keeps a bare revision from being taken for a position.
struct store_position
{
    constexpr store_position() = default;
    constexpr store_position(std::uint64_t era_in, store_revision revision_in)
        : era(era_in), revision(revision_in)
    {
    }

    std::uint64_t era = 0; ///< 0: the store does not count eras.
    store_revision revision = 0;

    /// @brief Orders by era first.
    auto operator<=>(const store_position&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(era, revision);
    }
};

} // namespace siskinflow
