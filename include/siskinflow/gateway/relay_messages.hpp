/// @file
/// @brief Messages by which a VM reads the store through another VM of its
/// failure domain.
#pragma once

#include <siskinflow/control/message_type.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Largest page in bytes.
constexpr std::size_t max_relayed_page_bytes = 8U << 20;

/// @brief Asks for the entries of a prefix or its changes.
struct store_changes_request
{
    static constexpr control::message_type type =
        control::message_type::store_changes_request;

    std::string prefix;
    bool list = false;       ///< All entries, without waiting.
    std::uint64_t after = 0; ///< Revision that the sender knows.
    std::uint32_t wait_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(prefix, list, after, wait_ms);
    }
};

/// @brief One entry of `store_changes`.
struct relayed_change
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(key, value, revision, removed);
    }
};

/// @brief Answer to `store_changes_request`.
struct store_changes
{
    static constexpr control::message_type type =
        control::message_type::store_changes;

    std::uint64_t revision = 0;
    std::vector<relayed_change> entries;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(revision, entries);
    }
};

/// @brief Converts a page of the store to a message.
store_changes to_message(const store_page& page);

/// @brief Converts a message to a page of the store.
store_page to_page(store_changes message);

} // namespace siskinflow::gateway
