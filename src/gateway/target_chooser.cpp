#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/target_chooser.hpp>

#include <algorithm>
#include <array>

namespace siskinflow::gateway
{

namespace
{

/// Lower bound of the expected objects per target of an average failure domain,
/// used until all objects have been seen. It keeps a domain with far fewer
/// targets than the others from changing its order once they have.
constexpr double min_expected_objects_per_target = 12;
/// Leading positions that are sorted; the rest stay unordered.
constexpr std::size_t ordered_target_count = 8;

constexpr std::array<std::string_view, 3> failure_names = {
    "no_target", "no_room", "too_late"};

/// Weight of a target for an object in rendezvous (highest random weight)
/// hashing.
std::uint64_t rendezvous_weight(std::uint64_t object, std::string_view target)
{
    return stable_hash(target, object);
}

bool is_in_other_region(distance where)
{
    return where == distance::other_region;
}

} // namespace

std::string_view name(choice_failure value) noexcept
{
    return enum_name(failure_names, value);
}

target_chooser::target_chooser(target_directory& targets, placement_costs costs)
    : targets_(targets), costs_(costs)
{
}

bool target_chooser::usable(const target& entry,
                            const choice_request& request) const
{
    return targets_.in_service(entry) &&
           request.region_allowed(entry.record().region);
}

std::optional<time_point>
target_chooser::wanted_again_at(const choice_request& request,
                                time_point now) const
{
    std::optional<time_point> earliest;
    for (const target_ptr& entry :
         targets_.of_service(std::string(request.service)))
    {
        if (!usable(*entry, request))
        {
            continue;
        }
        const time_point paused_until = entry->wish().paused_until;
        if (paused_until <= now)
        {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(paused_until), paused_until);
    }
    return earliest;
}

std::vector<target_chooser::ranked_target>
target_chooser::eligible_targets(const choice_request& request)
{
    std::vector<ranked_target> out;
    const auto& registered = targets_.of_service(std::string(request.service));
    out.reserve(registered.size());
    for (const target_ptr& entry : registered)
    {
        const target_record& record = entry->record();
        const bool tried =
            std::find(request.excluded.begin(), request.excluded.end(),
                      record.id) != request.excluded.end();
        if (tried || !usable(*entry, request))
        {
            continue;
        }
        const std::uint64_t weight =
            request.object ? rendezvous_weight(*request.object, record.id) : 0;
        out.push_back({entry.get(), targets_.distance_to(*entry), weight});
    }
    return out;
}

double target_chooser::expected_objects(std::string_view service) const
{
    const std::string name(service);
    return std::max(static_cast<double>(targets_.locations(name).objects()),
                    targets_.average_targets_per_domain(name) *
                        min_expected_objects_per_target);
}

void target_chooser::sort_by_preference(
    std::vector<ranked_target>& ranked_targets, const choice_request& request)
{
    const auto in_domain = static_cast<std::size_t>(std::count_if(
        ranked_targets.begin(), ranked_targets.end(),
        [](const ranked_target& entry)
        { return entry.target_distance == distance::same_domain; }));
    const bool by_domain =
        !request.object ||
        choose_scope(
            {expected_objects(request.service), in_domain,
             targets_.exchange_sizes(std::string(request.service)).average()},
            costs_.max_region_bytes) == object_scope::domain;
    const auto tier = [&](const ranked_target& entry)
    {
        if (is_in_other_region(entry.target_distance) !=
            request.prefer_other_regions)
        {
            return 2;
        }
        return by_domain && entry.target_distance == distance::same_region ? 1
                                                                           : 0;
    };
    const auto ordered_end = ranked_targets.begin() +
                             static_cast<std::ptrdiff_t>(std::min(
                                 ranked_targets.size(), ordered_target_count));
    std::partial_sort(
        ranked_targets.begin(), ordered_end, ranked_targets.end(),
        [&tier](const ranked_target& left, const ranked_target& right)
        {
            return std::pair(tier(left), ~left.weight) <
                   std::pair(tier(right), ~right.weight);
        });
}

std::vector<candidate>
target_chooser::candidates(const std::vector<ranked_target>& ranked_targets,
                           const choice_request& request, time_point now)
{
    const object_locations& locations =
        targets_.locations(std::string(request.service));
    const double average_peer_load =
        targets_.average_peer_load(std::string(request.service));
    std::vector<candidate> out;
    out.reserve(ranked_targets.size());
    for (std::size_t i = 0; i < ranked_targets.size(); ++i)
    {
        target& entry = *ranked_targets[i].entry;
        if (!entry.admits(now))
        {
            continue;
        }
        candidate option;
        option.target = static_cast<std::uint32_t>(i);
        option.target_distance = ranked_targets[i].target_distance;
        option.rank = request.object ? static_cast<unsigned>(i) : 0;
        option.load = entry.load(now, average_peer_load);
        option.slots = entry.record().slots;
        option.slowness = entry.slowness(now);
        option.untried = entry.untried();
        if (request.object)
        {
            const bool recent =
                locations.is_recent(*request.object, entry.record().id, now);
            option.object = recent   ? object_state::recent
                            : i == 0 ? object_state::likely
                                     : object_state::cold;
        }
        option.warm_chance =
            locations.warm_chances().estimate(option.object, option.rank);
        out.push_back(option);
    }
    return out;
}

/// Only work that the other regions can answer on time is worth the bytes
/// between regions.
std::optional<placement>
target_chooser::place_overflow(std::span<const candidate> overflow,
                               const choice_request& request) const
{
    if (!request.may_overflow || overflow.empty())
    {
        return std::nullopt;
    }
    const auto placed =
        place(overflow, request.work, request.remaining, costs_);
    return placed && placed->on_time ? placed : std::nullopt;
}

choice_outcome target_chooser::choose(const choice_request& request,
                                      time_point now)
{
    std::vector<ranked_target> ranked_targets = eligible_targets(request);
    if (ranked_targets.empty())
    {
        return {std::nullopt, choice_failure::no_target};
    }
    sort_by_preference(ranked_targets, request);
    auto all = candidates(ranked_targets, request, now);
    const auto others = std::stable_partition(
        all.begin(), all.end(),
        [&](const candidate& option)
        {
            return is_in_other_region(option.target_distance) ==
                   request.prefer_other_regions;
        });
    const bool preferred_admit = others != all.begin();
    const std::span<const candidate> options(
        all.begin(), preferred_admit ? others : all.end());
    auto placed = place(options, request.work, request.remaining, costs_);
    const bool overflow = !placed && preferred_admit;
    if (overflow)
    {
        placed = place_overflow({others, all.end()}, request);
    }
    if (placed)
    {
        const target& chosen = *ranked_targets[placed->target].entry;
        return {
            target_choice{targets_.find(chosen.record().id), *placed, overflow},
            choice_failure::no_target};
    }
    if (options.empty())
    {
        return {std::nullopt, choice_failure::no_target};
    }
    const bool in_time_when_idle = std::any_of(
        options.begin(), options.end(),
        [&](const candidate& option)
        {
            candidate idle = option;
            idle.load = 0;
            idle.warm_chance = 1;
            return expected_completion(idle, request.work, costs_) <=
                   request.remaining.deadline;
        });
    return {std::nullopt, in_time_when_idle ? choice_failure::no_room
                                            : choice_failure::too_late};
}

} // namespace siskinflow::gateway
