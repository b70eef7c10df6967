#include <siskinflow/budget/budget_spec.hpp>

#include <algorithm>

namespace siskinflow
{

std::string_view name(budget_kind kind) noexcept
{
    switch (kind)
    {
    case budget_kind::rate:
        return "rate";
    case budget_kind::count:
        return "count";
    }
    return "unknown";
}

std::string organisation_budget(std::string_view organisation)
{
    return "org:" + std::string(organisation);
}

std::string link_budget(std::string_view from, std::string_view to)
{
    return "link:" + std::string(from) + ":" + std::string(to);
}

std::string slots_budget(std::string_view target)
{
    return "slots:" + std::string(target);
}

std::vector<budget_spec> budgets_of(const configuration& config)
{
    std::vector<budget_spec> specs;
    for (const auto& organisation : config.organisations)
    {
        specs.push_back({.name = organisation_budget(organisation.name),
                         .kind = budget_kind::rate,
                         .size = organisation.rate_per_s,
                         .burst = organisation.burst,
                         .region = {},
                         .failure_domain = {}});
    }
    for (const auto& link : config.links)
    {
        specs.push_back({.name = link_budget(link.from_region, link.to_region),
                         .kind = budget_kind::rate,
                         .size = link.bytes_per_s,
                         .burst = link.burst_bytes,
                         .region = link.from_region,
                         .failure_domain = {}});
    }
    for (const auto& target : config.targets)
    {
        const bool active = target.state == target_state::active;
        specs.push_back({.name = slots_budget(target.name),
                         .kind = budget_kind::count,
                         .size = active ? double(target.slots) : 0.0,
                         .warm_up = target.warm_up,
                         .region = target.region,
                         .failure_domain = target.failure_domain});
    }
    return specs;
}

incarnation_id ownership::owner_of(budget_id budget) const
{
    const auto it = owners.find(budget.value);
    return it == owners.end() ? incarnation_id{} : it->second;
}

ownership make_ownership(const fleet_record& record, const incarnation_id& self,
                         const std::vector<budget_spec>& specs,
                         const owner_chooser& choose_owner)
{
    ownership owned;
    owned.epoch = record.epoch;
    const auto is_listed = [&record](const incarnation_id& id)
    {
        return std::any_of(record.members.begin(), record.members.end(),
                           [&id](const member& candidate)
                           { return candidate.incarnation == id; });
    };
    owned.is_member = is_listed(self);
    owned.members_removed = std::any_of(
        record.previous_members.begin(), record.previous_members.end(),
        [&is_listed](const member& previous)
        { return !is_listed(previous.incarnation); });
    for (const auto& each : record.members)
    {
        owned.members.push_back(each.incarnation);
    }
    for (const auto& spec : specs)
    {
        if (const member* owner = choose_owner(record, spec))
        {
            owned.owners[budget_id(spec.name).value] = owner->incarnation;
        }
    }
    return owned;
}

} // namespace siskinflow
