/// @file
/// @brief Final report of a route, built from the counter copies of all
/// incarnations.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/report/counters.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief Age beyond which a difference between replicas is an incident.
constexpr duration replica_difference_limit = std::chrono::seconds(30);

/// @brief A copy of an incarnation's counters and where it is stored.
struct report_source
{
    std::string name; ///< VM or `store`.
    counter_copy copy;
    duration age{0};            ///< Since it was received there.
    bool current_holder = true; ///< Still receives copies of this incarnation.
};

/// @brief All counter copies and limits known for one incarnation.
struct incarnation_evidence
{
    incarnation_id incarnation;
    std::string vm;
    std::vector<report_source> sources;
    /// Upper bound, from its shares, on the requests of the route that it can
    /// have received after the newest copy and sent to targets.
    std::optional<std::uint64_t> max_ran_after_copy;
};

/// @brief Input of a report.
struct report_input
{
    std::string route;
    std::vector<incarnation_evidence> incarnations;
    /// Incarnations of which it is known only that they existed.
    std::uint64_t incarnations_unaccounted = 0;
};

/// @brief How precisely the counts of an incarnation are known.
enum class report_status : std::uint8_t
{
    exact,   ///< Final counters, with no request in progress.
    bounded, ///< Exact up to a copy; what ran later has an upper bound.
    unknown, ///< What ran after the copy, if there is one, has no bound.
};

/// @brief Name of a status in snake_case.
std::string_view name(report_status status) noexcept;

/// @brief A number that is known to lie between two bounds.
struct report_range
{
    std::uint64_t at_least = 0;
    std::optional<std::uint64_t> at_most = 0; ///< Absent: no bound.

    bool operator==(const report_range&) const = default;
};

/// @brief Counts of an organisation, a target, or all rows.
struct report_counts
{
    std::uint64_t received = 0;
    std::uint64_t ran = 0;
    std::vector<reason_count> not_run;
    std::vector<reason_count> unknown;
};

/// @brief Counts of one incarnation and the bounds derived from them.
struct incarnation_statement
{
    incarnation_id incarnation;
    std::string vm;
    report_status status = report_status::unknown;
    bool has_copy = false;
    std::uint64_t version = 0; ///< Of the copy used.
    bool final = false;
    duration copy_age{0};
    report_counts counted;
    std::uint64_t in_progress = 0; ///< Received, without outcome in the copy.
    report_range received;
    report_range ran;     ///< Requests that ran at a target.
    report_range not_run; ///< Requests that did not run.
};

/// @brief An inconsistency between copies that an operator has to investigate.
struct report_incident
{
    incarnation_id incarnation;
    std::string description;
};

/// @brief Final report of a route.
struct final_report
{
    std::string route;
    report_range received;
    report_range ran;
    report_range not_run;
    report_counts counted; ///< Sum of the copies used.
    std::map<std::string, report_counts> organisations;
    std::map<std::string, report_counts> targets;
    std::vector<std::string> unknown_permits;
    std::uint64_t unknown_permits_omitted = 0;
    std::vector<incarnation_statement> incarnations;
    std::uint64_t incarnations_unaccounted = 0;
    std::vector<report_incident> incidents;
};

/// @brief Builds the report of a route.
final_report build_report(const report_input& input);

/// @brief JSON document of a report.
std::string to_json(const final_report& report);

} // namespace siskinflow
