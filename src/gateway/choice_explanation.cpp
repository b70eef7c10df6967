#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/choice_explanation.hpp>

#include <algorithm>
#include <array>
#include <tuple>

namespace siskinflow::gateway
{

namespace
{

constexpr std::array<std::string_view, 12> exclusion_names = {
    "none",    "draining", "leaving", "evacuated",  "forbidden_region",
    "tried",   "paused",   "ejected", "warming_up", "other_region",
    "no_room", "too_late"};

target_exclusion exclusion_of(const target& entry,
                              const target_directory& targets,
                              const choice_request& request, time_point now)
{
    const target_record& record = entry.record();
    if (record.draining)
    {
        return target_exclusion::draining;
    }
    if (entry.wish().leaving)
    {
        return target_exclusion::leaving;
    }
    if (!targets.in_service(entry))
    {
        return target_exclusion::evacuated;
    }
    if (!request.region_allowed(record.region))
    {
        return target_exclusion::forbidden_region;
    }
    if (std::find(request.excluded.begin(), request.excluded.end(),
                  record.id) != request.excluded.end())
    {
        return target_exclusion::tried;
    }
    if (entry.admits(now))
    {
        return target_exclusion::none;
    }
    if (!entry.wish().allows_requests(now))
    {
        return target_exclusion::paused;
    }
    return entry.cold(now) && !entry.ejected(now) ? target_exclusion::warming_up
                                                  : target_exclusion::ejected;
}

/// Why a candidate could not be chosen even if it were the only one.
target_exclusion exclusion_of(const candidate& option,
                              const choice_request& request,
                              const placement_costs& costs)
{
    const auto can_be_placed = [&](const candidate& alone)
    {
        return place({&alone, 1}, request.work, request.remaining, costs)
            .has_value();
    };
    if (can_be_placed(option))
    {
        return target_exclusion::none;
    }
    candidate idle = option;
    idle.load = 0;
    return can_be_placed(idle) ? target_exclusion::no_room
                               : target_exclusion::too_late;
}

} // namespace

std::string_view name(target_exclusion value) noexcept
{
    return enum_name(exclusion_names, value);
}

choice_explanation target_chooser::explain(const choice_request& request,
                                           time_point now) const
{
    const std::string service(request.service);
    const target_index index(targets_, service);
    const std::uint64_t order_hash =
        request.object ? *request.object
                       : stable_hash(service, requests_without_object_ + 1);
    evaluation current;
    start(current, request, index, order_hash, now);
    choice_explanation out;
    out.outcome = evaluate(current);
    // All candidates, also if the choice needed only the first ones.
    start(current, request, index, order_hash, now);
    current.rank(0, target_tiers::preferred - 1);
    add_all(current);
    for (const target_ptr& entry : targets_.of_service(service))
    {
        const target_record& record = entry->record();
        explained_target item{record.id, record.failure_domain, record.region,
                              exclusion_of(*entry, targets_, request, now)};
        const auto option =
            std::find_if(current.options.begin(), current.options.end(),
                         [&](const candidate& each)
                         { return index.at(each.target).subject == entry; });
        if (option != current.options.end())
        {
            item.excluded = exclusion_of(*option, request, costs_);
            item.rank = option->rank;
            item.object = option->object;
            item.warm_chance = option->warm_chance;
            item.load = option->load;
            item.slots = option->slots;
            item.expected = expected_completion(*option, request.work, costs_);
        }
        else if (item.excluded == target_exclusion::none)
        {
            item.excluded = target_exclusion::other_region;
        }
        out.targets.push_back(std::move(item));
    }
    std::sort(out.targets.begin(), out.targets.end(),
              [](const explained_target& left, const explained_target& right)
              {
                  return std::tie(left.excluded, left.rank, left.id) <
                         std::tie(right.excluded, right.rank, right.id);
              });
    return out;
}

} // namespace siskinflow::gateway
