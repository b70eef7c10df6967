/// @file
/// @brief Requests and answers of the etcd v3 JSON protocol.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/store/store.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::etcd_json
{

/// @brief Body of /v3/kv/range for one key, or for a range if `end` is given.
std::string range_body(std::string_view key, std::string_view end = {});

/// @brief Body of /v3/kv/txn for a compare-and-swap.
std::string swap_body(const swap_request& request);

/// @brief Body of /v3/watch.
std::string watch_body(const std::string& key, store_revision from);

/// @brief Parses an answer of /v3/kv/range.
result<std::vector<store_value>> parse_range(std::string_view answer);

/// @brief Parses an answer of /v3/kv/txn.
/// @return the new revision; `errc::conflict` if the comparison failed
result<store_revision> parse_swap(std::string_view answer);

/// @brief One message of a watch.
struct watch_message
{
    std::vector<store_value> changes; ///< Without deletions.
    std::optional<error> end; ///< Set if the server has ended the watch.
};

result<watch_message> parse_watch(std::string_view line);

} // namespace siskinflow::etcd_json
