#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/target_chooser.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace siskinflow::gateway
{

namespace
{

/// Lower bound of the expected objects per target of an average failure domain,
/// used until all objects have been seen. It keeps a domain with far fewer
/// targets than the others from changing its order once they have.
constexpr double min_expected_objects_per_target = 12;
/// Rank of the targets that are not among the first of an object's order.
constexpr unsigned unordered_rank = 8;
/// Untried targets beyond the first of the order that one choice considers.
constexpr std::size_t max_untried_candidates = 8;
/// Stands for an idle target that is not among the candidates.
constexpr std::uint32_t any_other_target =
    std::numeric_limits<std::uint32_t>::max();

constexpr std::array<std::string_view, 3> failure_names = {
    "no_target", "no_room", "too_late"};

bool is_in_other_region(distance where)
{
    return where == distance::other_region;
}

/// Position from which a range is passed through, so that equally good targets
/// at its beginning do not get all requests.
std::uint32_t start_in(selection::index_range range, std::uint64_t hash)
{
    return range.begin + static_cast<std::uint32_t>(hash % range.size());
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

std::optional<time_point>
target_chooser::wanted_again_at(const choice_request& request,
                                time_point now) const
{
    std::optional<time_point> earliest;
    for (const target_ptr& entry :
         targets_.of_service(std::string(request.service)))
    {
        if (!targets_.in_service(*entry) ||
            !request.region_allowed(entry->record().region))
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

// Tiers

void target_chooser::target_tiers::clear()
{
    for (auto& tier : ranges)
    {
        tier.clear();
    }
    excluded.clear();
}

bool target_chooser::target_tiers::is_excluded(std::uint32_t index) const
{
    return std::find(excluded.begin(), excluded.end(), index) != excluded.end();
}

bool target_chooser::target_tiers::is_preferred(std::uint32_t index) const
{
    const auto contains_index = [index](selection::index_range range)
    { return range.contains(index); };
    return std::any_of(
        ranges.begin(), ranges.begin() + preferred,
        [&](const auto& tier)
        { return std::any_of(tier.begin(), tier.end(), contains_index); });
}

std::size_t target_chooser::target_tiers::count(std::size_t begin,
                                                std::size_t end) const
{
    std::size_t out = 0;
    for (std::size_t tier = begin; tier < end; ++tier)
    {
        for (const selection::index_range& range : ranges[tier])
        {
            out += range.size();
            out -= static_cast<std::size_t>(std::count_if(
                excluded.begin(), excluded.end(),
                [&](std::uint32_t index) { return range.contains(index); }));
        }
    }
    return out;
}

bool target_chooser::orders_by_domain(const evaluation& current,
                                      bool own_region_allowed) const
{
    if (!current.request->object)
    {
        return true;
    }
    std::size_t in_domain = 0;
    if (own_region_allowed)
    {
        const selection::index_range own =
            current.index->regions().front().own_domain;
        const auto& excluded = current.tiers.excluded;
        in_domain = own.size() - static_cast<std::size_t>(std::count_if(
                                     excluded.begin(), excluded.end(),
                                     [own](std::uint32_t index)
                                     { return own.contains(index); }));
    }
    const double objects =
        std::max(static_cast<double>(current.locations->objects()),
                 current.index->average_targets_per_domain() *
                     min_expected_objects_per_target);
    const std::string service(current.request->service);
    return choose_scope(
               {objects, in_domain, targets_.exchange_sizes(service).average()},
               costs_.max_region_bytes) == object_scope::domain;
}

void target_chooser::find_tiers(evaluation& current) const
{
    target_tiers& tiers = current.tiers;
    std::optional<bool> by_domain;
    for (const indexed_region& region : current.index->regions())
    {
        const bool allowed = current.request->region_allowed(region.name);
        const bool other = is_in_other_region(
            current.index->at(region.all().begin).target_distance);
        if (!by_domain)
        {
            by_domain = orders_by_domain(current, allowed && !other);
        }
        if (!allowed)
        {
            continue;
        }
        if (other != current.request->prefer_other_regions)
        {
            tiers.ranges[target_tiers::preferred].push_back(region.all());
        }
        else if (other || !*by_domain)
        {
            tiers.ranges[0].push_back(region.all());
        }
        else
        {
            tiers.ranges[0].push_back(region.own_domain);
            tiers.ranges[1].push_back(region.other_domains);
        }
    }
}

// Candidates

/// Continues the order with the targets of further tiers, each tier behind the
/// one before.
void target_chooser::evaluation::rank(std::size_t first_tier,
                                      std::size_t last_tier)
{
    for (std::size_t tier = first_tier; tier <= last_tier; ++tier)
    {
        ranked_count +=
            index->order().first(order_hash, tiers.ranges[tier], tiers.excluded,
                                 std::span(ranked).subspan(ranked_count));
    }
}

bool target_chooser::evaluation::is_ranked(std::uint32_t target) const
{
    const auto* const end = ranked.data() + ranked_count;
    return std::find(ranked.data(), end, target) != end;
}

void target_chooser::evaluation::add_option(std::uint32_t target, unsigned rank)
{
    const indexed_target& entry = index->at(target);
    const gateway::target& subject = *entry.subject;
    if (!subject.admits(now))
    {
        return;
    }
    candidate option;
    option.target = target;
    option.target_distance = entry.target_distance;
    option.rank = request->object ? rank : 0;
    option.load = subject.load(now, average_peer_load);
    option.slots = subject.record().slots;
    option.slowness = subject.slowness();
    option.untried = subject.untried();
    if (request->object)
    {
        const bool is_recent =
            std::find(recent.begin(), recent.end(), target) != recent.end();
        option.object = is_recent   ? object_state::recent
                        : rank == 0 ? object_state::likely
                                    : object_state::cold;
    }
    option.warm_chance =
        locations->warm_chances().estimate(option.object, option.rank);
    options.push_back(option);
}

/// Adds the targets of a tier that are not ranked.
void target_chooser::evaluation::add_others(std::size_t tier, unsigned rank)
{
    for (const selection::index_range& range : tiers.ranges[tier])
    {
        if (range.size() == 0)
        {
            continue;
        }
        std::uint32_t target = start_in(range, order_hash);
        for (std::uint32_t i = 0; i < range.size(); ++i)
        {
            if (!is_ranked(target) && !tiers.is_excluded(target))
            {
                add_option(target, rank);
            }
            target = target + 1 < range.end ? target + 1 : range.begin;
        }
    }
}

/// Adds the first targets of the order, those that hold the object, and untried
/// ones of the failure domain.
void target_chooser::add_leading(evaluation& current) const
{
    for (std::size_t i = 0; i < current.ranked_count; ++i)
    {
        current.add_option(current.ranked[i], static_cast<unsigned>(i));
    }
    const auto add = [&](std::uint32_t target)
    {
        if (!current.is_ranked(target) && !current.tiers.is_excluded(target) &&
            current.tiers.is_preferred(target))
        {
            current.add_option(target, unordered_rank);
        }
    };
    for (const std::uint32_t target : current.recent)
    {
        add(target);
    }
    const std::vector<std::uint32_t>& untried = current.index->untried();
    const std::size_t considered =
        std::min(untried.size(), max_untried_candidates);
    for (std::size_t i = 0; i < considered; ++i)
    {
        const std::uint32_t target =
            untried[(current.order_hash + i) % untried.size()];
        const bool added =
            std::any_of(current.options.begin(), current.options.end(),
                        [target](const candidate& option)
                        { return option.target == target; });
        if (!added)
        {
            add(target);
        }
    }
}

/// Adds all targets of the preferred regions, or those of the rest if none of
/// the preferred ones admits requests.
void target_chooser::add_all(evaluation& current) const
{
    current.options.clear();
    for (std::size_t i = 0; i < current.ranked_count; ++i)
    {
        current.add_option(current.ranked[i], static_cast<unsigned>(i));
    }
    current.add_others(0, unordered_rank);
    current.add_others(1, unordered_rank);
    if (!current.options.empty())
    {
        return;
    }
    const std::size_t preferred = current.ranked_count;
    current.rank(target_tiers::preferred, target_tiers::preferred);
    for (std::size_t i = preferred; i < current.ranked_count; ++i)
    {
        current.add_option(current.ranked[i], static_cast<unsigned>(i));
    }
    current.add_others(target_tiers::preferred, unordered_rank);
}

// Choice

target_index& target_chooser::index_of(std::string_view service)
{
    const auto found = indices_.find(service);
    if (found == indices_.end())
    {
        const std::string name(service);
        return indices_.emplace(name, target_index(targets_, name))
            .first->second;
    }
    if (found->second.version() != targets_.version())
    {
        found->second = target_index(targets_, found->first);
    }
    return found->second;
}

void target_chooser::start(evaluation& current, const choice_request& request,
                           const target_index& index, std::uint64_t order_hash,
                           time_point now) const
{
    const std::string service(request.service);
    current.request = &request;
    current.index = &index;
    current.locations = &targets_.locations(service);
    current.now = now;
    current.order_hash = order_hash;
    current.average_peer_load = targets_.average_peer_load(service);
    current.tiers.clear();
    for (const std::string& id : request.excluded)
    {
        if (const auto target = index.find(id))
        {
            current.tiers.excluded.push_back(*target);
        }
    }
    current.recent.clear();
    if (request.object)
    {
        current.locations->for_each_recent(
            *request.object, now,
            [&current](const std::string& id)
            {
                if (const auto target = current.index->find(id))
                {
                    current.recent.push_back(*target);
                }
            });
    }
    current.ranked_count = 0;
    current.options.clear();
    find_tiers(current);
}

choice_outcome target_chooser::outcome_of(const evaluation& current,
                                          const placement& placed) const
{
    return {target_choice{current.index->at(placed.target).subject, placed},
            choice_failure::no_target};
}

/// The best that a target which is not among the candidates could be: idle, and
/// cold for the object.
candidate target_chooser::best_other(const evaluation& current) const
{
    const selection::index_range own =
        current.index->regions().front().own_domain;
    const auto in_own = [own](std::uint32_t target)
    { return own.contains(target); };
    const auto& excluded = current.tiers.excluded;
    const auto ranked = std::span(current.ranked).first(current.ranked_count);
    const auto considered =
        std::count_if(excluded.begin(), excluded.end(), in_own) +
        std::count_if(ranked.begin(), ranked.end(), in_own);
    candidate out;
    out.target = any_other_target;
    out.rank = unordered_rank;
    out.target_distance = current.request->prefer_other_regions
                              ? distance::other_region
                          : considered < static_cast<std::ptrdiff_t>(own.size())
                              ? distance::same_domain
                              : distance::same_region;
    out.warm_chance =
        current.locations->warm_chances().estimate(out.object, out.rank);
    return out;
}

/// Places a request on one of the leading targets of its order.
/// @return nothing if a target further back may be better
std::optional<placement>
target_chooser::place_leading(evaluation& current) const
{
    current.options.push_back(best_other(current));
    const auto placed = place(current.options, current.request->work,
                              current.request->remaining, costs_);
    // Whether a late request may go to any but its first target depends on the
    // utilization of all targets.
    const bool conclusive = placed && placed->target != any_other_target &&
                            (placed->on_time || placed->rank == 0);
    return conclusive ? placed : std::nullopt;
}

choice_outcome target_chooser::place_options(const evaluation& current) const
{
    const work_time& work = current.request->work;
    const remaining_time& remaining = current.request->remaining;
    if (current.options.empty())
    {
        return {std::nullopt, choice_failure::no_target};
    }
    const auto placed = place(current.options, work, remaining, costs_);
    if (placed)
    {
        return outcome_of(current, *placed);
    }
    const bool in_time_when_idle =
        std::any_of(current.options.begin(), current.options.end(),
                    [&](const candidate& option)
                    {
                        candidate idle = option;
                        idle.load = 0;
                        idle.warm_chance = 1;
                        return expected_completion(idle, work, costs_) <=
                               remaining.deadline;
                    });
    return {std::nullopt, in_time_when_idle ? choice_failure::no_room
                                            : choice_failure::too_late};
}

choice_outcome target_chooser::evaluate(evaluation& current) const
{
    current.rank(0, target_tiers::preferred - 1);
    add_leading(current);
    if (!current.options.empty())
    {
        const bool complete = current.tiers.count(0, target_tiers::preferred) ==
                              current.ranked_count;
        if (complete)
        {
            return place_options(current);
        }
        if (const auto placed = place_leading(current))
        {
            return outcome_of(current, *placed);
        }
    }
    add_all(current);
    return place_options(current);
}

choice_outcome target_chooser::choose(const choice_request& request,
                                      time_point now)
{
    target_index& index = index_of(request.service);
    index.update_untried();
    const std::uint64_t order_hash =
        request.object
            ? *request.object
            : stable_hash(request.service, ++requests_without_object_);
    start(evaluation_, request, index, order_hash, now);
    return evaluate(evaluation_);
}

} // namespace siskinflow::gateway
