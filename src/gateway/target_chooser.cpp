#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/target_chooser.hpp>

#include <algorithm>
#include <array>

namespace siskinflow::gateway
{

namespace
{

/// Objects of a service for each target of a failure domain up to which the
/// domain keeps them by itself. A target holds about 25 to 80 objects.
constexpr double objects_per_target = 24;
/// Objects for each target of an ordinary failure domain that are expected
/// before all have been seen. A domain with far fewer targets than the others
/// then need not change its order once it has seen them.
constexpr double objects_expected_per_target = 12;
/// Positions of the order that matter to the choice.
constexpr std::size_t ordered_targets = 8;

constexpr std::array<std::string_view, 3> failure_names = {
    "no_target", "no_room", "too_late"};

/// Weight of a target for an object: highest random weight hashing.
std::uint64_t weight_of(std::uint64_t object, std::string_view target)
{
    return stable_hash(target, object);
}

bool is_away(distance where)
{
    return where == distance::other_region;
}

} // namespace

std::string_view name(choice_failure value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < failure_names.size() ? failure_names[index] : "unknown";
}

target_chooser::target_chooser(target_directory& targets, placement_costs costs)
    : targets_(targets), costs_(costs)
{
}

std::vector<target_chooser::ranked>
target_chooser::eligible(const choice_request& request)
{
    std::vector<ranked> out;
    const auto& all = targets_.of_service(std::string(request.service));
    out.reserve(all.size());
    for (const target_ptr& entry : all)
    {
        const target_record& record = entry->record();
        const bool tried =
            std::find(request.excluded.begin(), request.excluded.end(),
                      record.id) != request.excluded.end();
        if (tried || !targets_.in_service(*entry) ||
            !request.region_allowed(record.region))
        {
            continue;
        }
        const std::uint64_t weight =
            request.object ? weight_of(*request.object, record.id) : 0;
        out.push_back({entry.get(), targets_.where(*entry), weight});
    }
    return out;
}

double target_chooser::expected_objects(std::string_view service) const
{
    const std::string name(service);
    return std::max(static_cast<double>(targets_.locations(name).objects()),
                    targets_.usual_targets(name) * objects_expected_per_target);
}

void target_chooser::order(std::vector<ranked>& found,
                           const choice_request& request)
{
    const auto in_domain = static_cast<std::size_t>(
        std::count_if(found.begin(), found.end(),
                      [](const ranked& entry)
                      { return entry.where == distance::same_domain; }));
    const bool by_domain =
        !request.object ||
        expected_objects(request.service) <=
            static_cast<double>(in_domain) * objects_per_target;
    const auto tier = [&](const ranked& entry)
    {
        if (is_away(entry.where) != request.leaves_region)
        {
            return 2;
        }
        return by_domain && entry.where == distance::same_region ? 1 : 0;
    };
    const auto middle =
        found.begin() +
        static_cast<std::ptrdiff_t>(std::min(found.size(), ordered_targets));
    std::partial_sort(found.begin(), middle, found.end(),
                      [&tier](const ranked& left, const ranked& right)
                      {
                          return std::pair(tier(left), ~left.weight) <
                                 std::pair(tier(right), ~right.weight);
                      });
}

std::vector<candidate>
target_chooser::candidates(const std::vector<ranked>& found,
                           const choice_request& request, time_point now)
{
    const object_locations& locations =
        targets_.locations(std::string(request.service));
    const double usual = targets_.usual_load(std::string(request.service));
    std::vector<candidate> out;
    out.reserve(found.size());
    bool side_in_use = false;
    for (std::size_t i = 0; i < found.size(); ++i)
    {
        target& entry = *found[i].entry;
        if (!entry.admits(now))
        {
            continue;
        }
        side_in_use =
            side_in_use || is_away(found[i].where) == request.leaves_region;
        candidate option;
        option.target = static_cast<std::uint32_t>(i);
        option.where = found[i].where;
        option.rank = request.object ? static_cast<unsigned>(i) : 0;
        option.load = entry.load(now, usual);
        option.slots = entry.record().slots;
        option.slowness = entry.slowness();
        option.untried = entry.untried();
        if (request.object)
        {
            const bool recent =
                locations.recent(*request.object, entry.record().id, now);
            option.object = recent   ? object_state::recent
                            : i == 0 ? object_state::likely
                                     : object_state::cold;
        }
        option.warm_chance = locations.chance().of(option.object, option.rank);
        out.push_back(option);
    }
    if (side_in_use)
    {
        std::erase_if(out,
                      [&](const candidate& option) {
                          return is_away(option.where) != request.leaves_region;
                      });
    }
    return out;
}

choice_outcome target_chooser::choose(const choice_request& request,
                                      time_point now)
{
    std::vector<ranked> found = eligible(request);
    if (found.empty())
    {
        return {std::nullopt, choice_failure::no_target};
    }
    order(found, request);
    const auto options = candidates(found, request, now);
    const auto placed = place(options, request.work, request.left, costs_);
    if (placed)
    {
        const target& chosen = *found[placed->target].entry;
        return {target_choice{targets_.find(chosen.record().id), *placed},
                choice_failure::no_target};
    }
    if (options.empty())
    {
        return {std::nullopt, choice_failure::no_target};
    }
    const bool in_time = std::any_of(
        options.begin(), options.end(),
        [&](const candidate& option)
        {
            candidate idle = option;
            idle.load = 0;
            idle.warm_chance = 1;
            return expected_completion(idle, request.work, costs_) <=
                   request.left.deadline;
        });
    return {std::nullopt,
            in_time ? choice_failure::no_room : choice_failure::too_late};
}

} // namespace siskinflow::gateway
