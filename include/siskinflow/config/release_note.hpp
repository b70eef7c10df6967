/// @file
/// @brief Release notes: the changes that an operator asks for.
#pragma once

#include <siskinflow/config/configuration.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief Largest release note in bytes. The note is kept in the store beside
/// the configuration, whose values are limited to 1 MB.
constexpr std::size_t max_note_bytes = 900 * 1024;

/// @brief New values of a route; absent fields stay as they are. Whether a
/// route is idempotent can't be changed, because running requests rely on it.
struct route_change
{
    std::string name;
    std::optional<std::string> path_prefix;
    std::optional<bool> open;
    std::optional<std::vector<int>> not_run_statuses;
    std::optional<std::size_t> max_body_bytes;
    std::optional<duration> default_timeout;
    std::optional<double> shift_cap_percent_per_s;
    std::optional<std::size_t> expected_response_bytes;

    bool operator==(const route_change&) const = default;
};

/// @brief New values of a target. Address, region and failure domain can't be
/// changed: a server elsewhere is another target.
struct target_change
{
    std::string name;
    std::optional<std::vector<std::string>> routes;
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> max_connections;
    std::optional<duration> warm_up;

    bool operator==(const target_change&) const = default;
};

/// @brief New values and keys of an organisation.
struct organisation_change
{
    std::string name;
    std::optional<double> rate_per_s;
    std::optional<double> burst;
    std::vector<std::string> add_key_sha256;
    std::vector<std::string> withdraw_key_sha256;

    bool operator==(const organisation_change&) const = default;
};

/// @brief Identifies a link by its two regions.
struct link_name
{
    std::string from_region;
    std::string to_region;

    bool operator==(const link_name&) const = default;
};

/// @brief New values of a link.
struct link_change
{
    link_name link;
    std::optional<double> bytes_per_s;
    std::optional<double> burst_bytes;

    bool operator==(const link_change&) const = default;
};

/// @brief Changes of routes.
struct route_section
{
    std::vector<route_config> add;
    std::vector<route_change> change;
    std::vector<std::string> withdraw; ///< Active routes to close.
    std::vector<std::string> remove;   ///< Closing routes to delete.

    bool operator==(const route_section&) const = default;
};

/// @brief Changes of targets.
struct target_section
{
    std::vector<target_config> add;
    std::vector<target_change> change;
    std::vector<std::string> withdraw; ///< Active targets to drain.
    std::vector<std::string> resume;   ///< Leaving targets to use again.
    std::vector<std::string> remove;   ///< Leaving targets to delete.

    bool operator==(const target_section&) const = default;
};

/// @brief Changes of organisations.
struct organisation_section
{
    std::vector<organisation_config> add;
    std::vector<organisation_change> change;
    std::vector<std::string> withdraw; ///< Deleted with all their keys.

    bool operator==(const organisation_section&) const = default;
};

/// @brief Changes of links.
struct link_section
{
    std::vector<link_config> add;
    std::vector<link_change> change;
    std::vector<link_name> withdraw;

    bool operator==(const link_section&) const = default;
};

/// @brief A release note; it is accepted as a whole or refused as a whole.
struct release_note
{
    std::string id;
    std::string comment;
    route_section routes;
    target_section targets;
    organisation_section organisations;
    link_section links;

    bool operator==(const release_note&) const = default;
};

/// @brief Reads a note and checks every field by itself.
/// @param text JSON as described in docs/release-note.md
/// @return the note; otherwise `errc::too_large` or `errc::parse_error` with
/// one line per fault: JSON path, value, and how to correct it
result<release_note> parse_release_note(std::string_view text);

/// @brief Applies a note.
/// @param current the configuration that the note changes
/// @param note the changes
/// @return the new configuration with the next sequence number and an empty
/// `write_id`; otherwise `errc::invalid_argument` with one line per fault, or
/// `errc::too_large` if the result doesn't fit into one value of the store
result<configuration> apply_note(const configuration& current,
                                 const release_note& note);

/// @brief Conditions that are allowed but probably not intended, one line
/// each, such as an active route without an active target.
std::vector<std::string> warnings(const configuration& value);

} // namespace siskinflow
