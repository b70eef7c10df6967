/// @file
/// @brief Messages by which a VM reads the store through another VM of its
/// failure domain. The messages of earlier builds, `store_changes_request`,
/// `store_changes` and `store_confirmation`, carry revisions without their era
/// and are not used any more.
#pragma once

#include <siskinflow/control/message_type.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Asks for the entries of a prefix or its changes.
struct store_changes_request
{
    static constexpr control::message_type type =
        control::message_type::store_position_request;

    std::string prefix;
    bool list = false;    ///< All entries, without waiting.
    store_position after; ///< Position that the sender knows.
    std::uint32_t wait_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(prefix, list, after, wait_ms);
    }
};

/// @brief Answer to `store_changes_request`.
struct store_changes
{
    static constexpr control::message_type type =
        control::message_type::store_position_changes;

    store_position position;
    std::vector<store_change> entries;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(position, entries);
    }
};

/// @brief Tells the other VMs that the store has confirmed a prefix to this
/// one. A VM that has missed a change notices it.
struct store_confirmation
{
    static constexpr control::message_type type =
        control::message_type::store_position_confirmation;

    std::string prefix;
    store_position last_change; ///< The store had no later change then.
    std::uint32_t age_ms = 0;   ///< Time since the confirmation.
    bool forwarded = false;     ///< Passed on inside the receiving domain.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(prefix, last_change, age_ms, forwarded);
    }
};

} // namespace siskinflow::gateway
