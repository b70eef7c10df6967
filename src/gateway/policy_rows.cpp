#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/gateway/policy_rows.hpp>

#include <algorithm>
#include <array>

namespace siskinflow::gateway
{

namespace
{

constexpr std::array<std::string_view, 3> table_names = {"routes", "services",
                                                         "organisations"};
constexpr std::array<std::string_view, 3> handling_names = {
    "non_idempotent", "previous", "left_out"};

template <class Row>
const Row* find_row(const std::vector<Row>& rows, const std::string& name)
{
    const auto found =
        std::find_if(rows.begin(), rows.end(),
                     [&](const Row& row) { return row.name == name; });
    return found == rows.end() ? nullptr : &*found;
}

/// Adds the row in force that a problem concerns, unless the new policy has
/// another row of that name.
template <class Row>
bool keep_row(std::vector<Row>& rows, const std::vector<Row>& rows_in_force,
              const std::string& name)
{
    const Row* in_force = find_row(rows_in_force, name);
    if (name.empty() || in_force == nullptr || find_row(rows, name) != nullptr)
    {
        return false;
    }
    rows.push_back(*in_force);
    return true;
}

bool keep_route(policy& next, const policy& in_force,
                const row_problem& problem)
{
    if (!keep_row(next.routes, in_force.routes, problem.name))
    {
        return false;
    }
    route_policy& kept = next.routes.back();
    kept.idempotent = kept.idempotent && problem.idempotent;
    return true;
}

bool keep_organisation(policy& next, const policy& in_force,
                       const row_problem& problem)
{
    if (!problem.keys ||
        !keep_row(next.organisations, in_force.organisations, problem.name))
    {
        return false;
    }
    next.organisations.back().keys = *problem.keys;
    return true;
}

bool keep_row_of(policy& next, const policy& in_force,
                 const row_problem& problem)
{
    switch (problem.table)
    {
    case policy_table::routes:
        return keep_route(next, in_force, problem);
    case policy_table::services:
        return keep_row(next.services, in_force.services, problem.name);
    case policy_table::organisations:
        return keep_organisation(next, in_force, problem);
    }
    return false;
}

} // namespace

std::string_view name(policy_table table) noexcept
{
    return enum_name(table_names, table);
}

std::string_view name(row_handling handling) noexcept
{
    return enum_name(handling_names, handling);
}

void keep_rows_in_force(policy_document& document, const policy* in_force)
{
    for (row_problem& problem : document.problems)
    {
        if (problem.handling == row_handling::left_out && in_force != nullptr &&
            keep_row_of(document.policy, *in_force, problem))
        {
            problem.handling = row_handling::previous;
        }
    }
}

} // namespace siskinflow::gateway
