#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/report/final_report.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace siskinflow
{

namespace
{

/// Rows of one route.
std::vector<counter_row> rows_of_route(const counter_copy& copy,
                                       std::string_view route)
{
    std::vector<counter_row> out;
    std::copy_if(copy.rows.begin(), copy.rows.end(), std::back_inserter(out),
                 [route](const counter_row& row)
                 { return row.route == route; });
    return out;
}

void add(report_counts& sum, const counter_row& row)
{
    sum.received += row.received;
    sum.ran += row.ran;
    for (const reason_count& entry : row.not_run)
    {
        add_reason(sum.not_run, entry.reason, entry.count);
    }
    for (const reason_count& entry : row.unknown)
    {
        add_reason(sum.unknown, entry.reason, entry.count);
    }
}

report_counts sum_of(const std::vector<counter_row>& rows)
{
    report_counts sum;
    for (const counter_row& row : rows)
    {
        add(sum, row);
    }
    return sum;
}

std::uint64_t outcome_count(const report_counts& counts)
{
    return counts.ran + total(counts.not_run) + total(counts.unknown);
}

/// Whether any total is lower in the newer copy than in the older one.
bool counts_decreased(const report_counts& older, const report_counts& newer)
{
    return newer.received < older.received || newer.ran < older.ran ||
           total(newer.not_run) < total(older.not_run) ||
           total(newer.unknown) < total(older.unknown);
}

std::string format_seconds(duration value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.0f s", to_seconds(value));
    return text;
}

const report_source* newest_source(const incarnation_evidence& evidence)
{
    const auto newest = std::max_element(
        evidence.sources.begin(), evidence.sources.end(),
        [](const report_source& left, const report_source& right)
        { return left.copy.version < right.copy.version; });
    return newest == evidence.sources.end() ? nullptr : &*newest;
}

/// Compares the copies of one incarnation.
class replica_check
{
public:
    replica_check(std::string_view route, const incarnation_evidence& evidence,
                  const report_source& newest)
        : route_(route), evidence_(evidence), newest_(newest),
          newest_rows_(rows_of_route(newest.copy, route)),
          newest_counts_(sum_of(newest_rows_))
    {
    }

    /// Adds incidents; returns whether the copies contradict each other.
    bool run(std::vector<report_incident>& incidents) const
    {
        bool contradiction =
            outcome_count(newest_counts_) > newest_counts_.received;
        if (contradiction)
        {
            incidents.push_back(
                {evidence_.incarnation,
                 "the copy at " + newest_.name +
                     " has more outcomes than received requests"});
        }
        for (const report_source& source : evidence_.sources)
        {
            if (&source != &newest_)
            {
                contradiction |= compare(source, incidents);
            }
        }
        return contradiction;
    }

private:
    bool compare(const report_source& source,
                 std::vector<report_incident>& incidents) const
    {
        const auto rows = rows_of_route(source.copy, route_);
        if (rows == newest_rows_)
        {
            return false;
        }
        const bool same_version = source.copy.version == newest_.copy.version;
        if (same_version || counts_decreased(sum_of(rows), newest_counts_) ||
            source.copy.final)
        {
            incidents.push_back({evidence_.incarnation,
                                 "the copies at " + source.name + " and " +
                                     newest_.name + " contradict each other"});
            return true;
        }
        if (source.current_holder && source.age > replica_difference_limit)
        {
            incidents.push_back({evidence_.incarnation,
                                 "the copy at " + source.name + " is " +
                                     format_seconds(source.age) +
                                     " old and differs from the copy at " +
                                     newest_.name});
        }
        return false;
    }

    std::string_view route_;
    const incarnation_evidence& evidence_;
    const report_source& newest_;
    std::vector<counter_row> newest_rows_;
    report_counts newest_counts_;
};

/// Sets the ranges and the status of a statement from its counts.
void set_bounds(incarnation_statement& statement,
                const std::optional<std::uint64_t>& max_ran_after_copy)
{
    const report_counts& counted = statement.counted;
    const std::uint64_t not_run = total(counted.not_run);
    const std::uint64_t unresolved =
        total(counted.unknown) + statement.in_progress;
    statement.received = {counted.received, std::nullopt};
    statement.ran = {counted.ran, std::nullopt};
    statement.not_run = {not_run, std::nullopt};
    if (statement.final)
    {
        statement.received.at_most = counted.received;
        statement.ran.at_most = counted.ran + unresolved;
        statement.not_run.at_most = not_run + unresolved;
        statement.status = statement.in_progress == 0 ? report_status::exact
                                                      : report_status::bounded;
    }
    else if (max_ran_after_copy)
    {
        // Shares limit the requests that can run, but not those refused.
        statement.ran.at_most = counted.ran + unresolved + *max_ran_after_copy;
        statement.status = report_status::bounded;
    }
}

incarnation_statement build_statement(std::string_view route,
                                      const incarnation_evidence& evidence,
                                      std::vector<report_incident>& incidents)
{
    incarnation_statement statement;
    statement.incarnation = evidence.incarnation;
    statement.vm = evidence.vm;
    statement.received = {0, std::nullopt};
    statement.ran = {0, std::nullopt};
    statement.not_run = {0, std::nullopt};
    const report_source* newest = newest_source(evidence);
    if (newest == nullptr ||
        replica_check(route, evidence, *newest).run(incidents))
    {
        return statement;
    }
    statement.has_copy = true;
    statement.version = newest->copy.version;
    statement.final = newest->copy.final;
    statement.copy_age = newest->age;
    statement.counted = sum_of(rows_of_route(newest->copy, route));
    statement.in_progress =
        statement.counted.received - outcome_count(statement.counted);
    set_bounds(statement, evidence.max_ran_after_copy);
    return statement;
}

void add(report_range& sum, const report_range& range)
{
    sum.at_least += range.at_least;
    if (sum.at_most && range.at_most)
    {
        *sum.at_most += *range.at_most;
    }
    else
    {
        sum.at_most.reset();
    }
}

void add_rows(final_report& report, const std::vector<counter_row>& rows)
{
    for (const counter_row& row : rows)
    {
        add(report.counted, row);
        add(report.organisations[row.organisation], row);
        if (!row.target.empty())
        {
            add(report.targets[row.target], row);
        }
        report.unknown_permits.insert(report.unknown_permits.end(),
                                      row.unknown_permits.begin(),
                                      row.unknown_permits.end());
        report.unknown_permits_omitted += row.unknown_permits_omitted;
    }
}

} // namespace

std::string_view name(report_status status) noexcept
{
    static constexpr std::array<std::string_view, 3> names = {
        "exact", "bounded", "unknown"};
    return enum_name(names, status);
}

final_report build_report(const report_input& input)
{
    final_report report;
    report.route = input.route;
    report.incarnations_unaccounted = input.incarnations_unaccounted;
    for (const incarnation_evidence& evidence : input.incarnations)
    {
        const incarnation_statement statement =
            build_statement(input.route, evidence, report.incidents);
        add(report.received, statement.received);
        add(report.ran, statement.ran);
        add(report.not_run, statement.not_run);
        if (statement.has_copy)
        {
            add_rows(report,
                     rows_of_route(newest_source(evidence)->copy, input.route));
        }
        report.incarnations.push_back(statement);
    }
    if (report.incarnations_unaccounted > 0)
    {
        report.received.at_most.reset();
        report.ran.at_most.reset();
        report.not_run.at_most.reset();
    }
    return report;
}

namespace
{

using json = nlohmann::ordered_json;

json range_json(const report_range& range)
{
    json out;
    out["at_least"] = range.at_least;
    out["at_most"] = range.at_most ? json(*range.at_most) : json(nullptr);
    return out;
}

json reasons_json(const std::vector<reason_count>& reasons)
{
    json out = json::object();
    for (const reason_count& entry : reasons)
    {
        out[entry.reason] = entry.count;
    }
    return out;
}

json counts_json(const report_counts& counts)
{
    json out;
    out["received"] = counts.received;
    out["ran"] = counts.ran;
    out["not_run"] = reasons_json(counts.not_run);
    out["unknown"] = reasons_json(counts.unknown);
    return out;
}

json counts_json(const std::map<std::string, report_counts>& groups)
{
    json out = json::object();
    for (const auto& [group, counts] : groups)
    {
        out[group] = counts_json(counts);
    }
    return out;
}

json statement_json(const incarnation_statement& statement)
{
    json out;
    out["incarnation"] = to_string(statement.incarnation);
    out["vm"] = statement.vm;
    out["status"] = name(statement.status);
    out["has_copy"] = statement.has_copy;
    if (statement.has_copy)
    {
        out["copy"] = {{"version", statement.version},
                       {"final", statement.final},
                       {"age_s", to_seconds(statement.copy_age)}};
        out["counted"] = counts_json(statement.counted);
        out["in_progress"] = statement.in_progress;
    }
    out["received"] = range_json(statement.received);
    out["ran"] = range_json(statement.ran);
    out["not_run"] = range_json(statement.not_run);
    return out;
}

} // namespace

std::string to_json(const final_report& report)
{
    json out;
    out["route"] = report.route;
    out["received"] = range_json(report.received);
    out["ran"] = range_json(report.ran);
    out["not_run"] = range_json(report.not_run);
    out["counted"] = counts_json(report.counted);
    out["organisations"] = counts_json(report.organisations);
    out["targets"] = counts_json(report.targets);
    out["unknown_permits"] = report.unknown_permits;
    out["unknown_permits_omitted"] = report.unknown_permits_omitted;
    out["incarnations_unaccounted"] = report.incarnations_unaccounted;
    out["incarnations"] = json::array();
    for (const incarnation_statement& statement : report.incarnations)
    {
        out["incarnations"].push_back(statement_json(statement));
    }
    out["incidents"] = json::array();
    for (const report_incident& incident : report.incidents)
    {
        out["incidents"].push_back(
            {{"incarnation", to_string(incident.incarnation)},
             {"description", incident.description}});
    }
    return out.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace siskinflow
