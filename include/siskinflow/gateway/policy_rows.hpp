/// @file
/// @brief Use of a policy in which some rows could not be read.
///
/// A row that one writer gets wrong, or that a newer operator tool writes, must
/// not take the other rows out of service.
#pragma once

#include <siskinflow/gateway/policy.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Table of a policy.
enum class policy_table : std::uint8_t
{
    routes,
    services,
    organisations,
};

/// @brief Name of a table in snake_case.
std::string_view name(policy_table table) noexcept;

/// @brief What is used in place of a row as it was written.
enum class row_handling : std::uint8_t
{
    non_idempotent, ///< The row, with a kind that forbids repeating.
    previous,       ///< The row of the same name that was in force.
    left_out,       ///< Nothing.
};

/// @brief Name of a handling in snake_case.
std::string_view name(row_handling handling) noexcept;

/// @brief A row that could not be read as written.
struct row_problem
{
    policy_table table = policy_table::routes;
    std::string name; ///< Empty if it could not be read.
    std::string reason;
    row_handling handling = row_handling::left_out;
    /// Keys that the row grants to an organisation, if they could be read.
    std::optional<std::vector<key_digest>> keys;
    /// Whether the kind of a route's row could be read and allows repeating.
    bool idempotent = false;
};

/// @brief A policy as it was read, with the rows that could not be read.
struct policy_document
{
    gateway::policy policy;
    std::vector<row_problem> problems;
};

/// @brief Replaces rows that could not be read by those in force.
///
/// A service keeps its row, and so does a route, whose requests may run more
/// than once only if the new row says so too. An organisation keeps its row with the
/// keys that the new row grants, and is left out if these could not be read, so
/// that no withdrawn key stays in use.
/// @param document the new policy; the handling of its problems is updated
/// @param in_force the policy in force, null if there is none
void keep_rows_in_force(policy_document& document, const policy* in_force);

} // namespace siskinflow::gateway
