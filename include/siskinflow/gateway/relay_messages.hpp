/// @file
/// @brief Messages by which a VM reads the store through another VM of its
/// failure domain.
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
        control::message_type::store_changes_request;

    std::string prefix;
    bool list = false;        ///< All entries, without waiting.
    store_revision after = 0; ///< Revision that the sender knows.
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
        control::message_type::store_changes;

    store_revision revision = 0;
    std::vector<store_change> entries;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(revision, entries);
    }
};

/// @brief Tells the other VMs that the store has confirmed a prefix to this
/// one. A VM that has missed a change notices it.
struct store_confirmation
{
    static constexpr control::message_type type =
        control::message_type::store_confirmation;

    std::string prefix;
    store_revision last_change = 0; ///< The store had no later change then.
    std::uint32_t age_ms = 0;       ///< Time since the confirmation.
    bool forwarded = false;         ///< Passed on inside the receiving domain.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(prefix, last_change, age_ms, forwarded);
    }
};

} // namespace siskinflow::gateway
