#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/routing/target_selector.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <unordered_map>

namespace siskinflow::routing
{

namespace
{

// Draws before falling back to examining all targets. With half of the targets
// eligible, 8 draws find two of them in 96% of the cases.
constexpr int max_draws = 8;
// Recent sends older than this many half-lives count as 0.
constexpr double max_half_lives = 32;

struct string_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>()(text);
    }
};

/// This VM's requests at one target.
struct target_load
{
    std::uint32_t in_flight = 0;
    double recent_sends = 0; ///< As of `updated`.
    time_point updated{};
};

using load_index = std::unordered_map<std::string, std::shared_ptr<target_load>,
                                      string_hash, std::equal_to<>>;

/// Targets of one route in one region.
struct region_group
{
    std::string region;
    bool local = false;
    /// In descending order of the rendezvous hash for this VM.
    std::vector<target_index> targets;
    /// Number of healthy targets that this VM uses.
    std::size_t subset_size = 0;
};

struct route_groups
{
    std::vector<region_group> regions; ///< The local one first, if present.
};

/// Result of the search in one region.
struct search_result
{
    std::optional<target_index> target;
    bool probe = false;
    bool has_eligible = false; ///< Some target is eligible or probe-due.
};

std::uint64_t rendezvous_hash(std::string_view vm, const std::string& target)
{
    return stable_hash(target, stable_hash(vm));
}

} // namespace

std::string_view name(selection_refusal refusal) noexcept
{
    static constexpr std::array<std::string_view, 4> names{
        "no_target", "region_at_capacity", "link_at_capacity", "shift_capped"};
    return enum_name(names, refusal);
}

std::uint32_t subset_size(std::uint32_t targets, std::uint32_t max_connections,
                          std::uint32_t vms, const selector_settings& settings)
{
    const double max_vms_per_target =
        static_cast<double>(max_connections) /
        std::max(1U, settings.connections_per_target);
    if (targets <= settings.min_subset || vms <= max_vms_per_target)
    {
        return targets;
    }
    // Largest m with m + 4 sqrt(m) <= users.
    const double root = std::sqrt(4 + max_vms_per_target) - 2;
    const double size = root * root * targets / vms;
    return std::clamp(static_cast<std::uint32_t>(size), settings.min_subset,
                      targets);
}

struct target_selector::impl
{
    impl(selector_settings initial_settings, target_health& target_observations)
        : settings(std::move(initial_settings)), health(target_observations)
    {
    }

    void rebuild(std::size_t vms);
    void choose_subset(region_group& group, std::size_t vms) const;
    double recent_sends(const target_load& load, time_point now) const;
    double load_per_slot(target_index target, time_point now) const;
    bool within_warm_up_limit(target_index target, time_point now) const;
    bool can_accept(target_index target, const selection_request& request,
                    const selection_limits& limits, time_point now) const;
    search_result search(const region_group& group,
                         const selection_request& request,
                         const selection_limits& limits, time_point now,
                         random_source& rng) const;
    std::optional<target_index> draw_two(const region_group& group,
                                         const selection_request& request,
                                         const selection_limits& limits,
                                         time_point now,
                                         random_source& rng) const;
    search_result sample_all(const region_group& group,
                             const selection_request& request,
                             const selection_limits& limits, time_point now,
                             random_source& rng) const;
    target_index less_loaded(target_index a, target_index b,
                             time_point now) const;
    selected_target make_choice(const region_group& group,
                                const search_result& result,
                                time_point now) const;

    selector_settings settings;
    target_health& health;
    std::shared_ptr<const configuration> config;
    load_index load_by_name;
    std::vector<std::shared_ptr<target_load>> load_by_index;
    std::unordered_map<std::string, route_groups, string_hash, std::equal_to<>>
        routes;
};

void target_selector::impl::choose_subset(region_group& group,
                                          std::size_t vms) const
{
    std::uint32_t connections =
        config->targets[group.targets[0]].max_connections;
    for (const auto index : group.targets)
    {
        connections =
            std::min(connections, config->targets[index].max_connections);
    }
    group.subset_size =
        subset_size(static_cast<std::uint32_t>(group.targets.size()),
                    connections, static_cast<std::uint32_t>(vms), settings);
    std::sort(group.targets.begin(), group.targets.end(),
              [this](target_index a, target_index b)
              {
                  return rendezvous_hash(settings.vm, config->targets[a].name) >
                         rendezvous_hash(settings.vm, config->targets[b].name);
              });
}

void target_selector::impl::rebuild(std::size_t vms)
{
    routes.clear();
    for (const auto& route : config->routes)
    {
        std::map<std::string, region_group> regions;
        for (target_index i = 0; i < config->targets.size(); ++i)
        {
            const auto& target = config->targets[i];
            // A subset does not include leaving targets.
            if (target.state == target_state::active &&
                std::find(target.routes.begin(), target.routes.end(),
                          route.name) != target.routes.end())
            {
                regions[target.region].targets.push_back(i);
            }
        }
        auto& groups = routes[route.name].regions;
        for (auto& [region, group] : regions)
        {
            group.region = region;
            group.local = region == settings.region;
            choose_subset(group, vms);
            groups.insert(group.local ? groups.begin() : groups.end(),
                          std::move(group));
        }
    }
}

double target_selector::impl::recent_sends(const target_load& load,
                                           time_point now) const
{
    const double half_lives =
        to_seconds(now - load.updated) / to_seconds(settings.send_half_life);
    return half_lives > max_half_lives
               ? 0
               : load.recent_sends * std::exp2(-std::max(0.0, half_lives));
}

/// Load in requests per usable slot.
double target_selector::impl::load_per_slot(target_index target,
                                            time_point now) const
{
    const auto& load = *load_by_index[target];
    const double slots = std::max(1U, config->targets[target].slots);
    const double warm_fraction = health.warm_fraction(target, now);
    const double usable_slots = 1 + (slots - 1) * warm_fraction;
    return (load.in_flight + recent_sends(load, now)) / usable_slots +
           health.reported_load(target, load.in_flight, now) +
           health.failure_penalty(target, now) +
           (warm_fraction < 1 ? settings.cold_penalty : 0);
}

/// Whether the target has a free slot among those that its warm-up allows.
bool target_selector::impl::within_warm_up_limit(target_index target,
                                                 time_point now) const
{
    const double warm_fraction = health.warm_fraction(target, now);
    if (warm_fraction >= 1)
    {
        return true;
    }
    const double slots = std::max(1U, config->targets[target].slots);
    return load_by_index[target]->in_flight <
           std::floor(1 + (slots - 1) * warm_fraction);
}

/// Whether the request may go to the target, regardless of its health.
bool target_selector::impl::can_accept(target_index target,
                                       const selection_request& request,
                                       const selection_limits& limits,
                                       time_point now) const
{
    const auto& candidate = config->targets[target];
    return std::find(request.excluded.begin(), request.excluded.end(),
                     candidate.name) == request.excluded.end() &&
           within_warm_up_limit(target, now) &&
           (!limits.slot_available || limits.slot_available(candidate));
}

target_index target_selector::impl::less_loaded(target_index a, target_index b,
                                                time_point now) const
{
    return load_per_slot(b, now) < load_per_slot(a, now) ? b : a;
}

/// Draws two distinct candidates and returns the less loaded one; nothing if
/// fewer than two usable ones are drawn.
std::optional<target_index> target_selector::impl::draw_two(
    const region_group& group, const selection_request& request,
    const selection_limits& limits, time_point now, random_source& rng) const
{
    std::uniform_int_distribution<std::size_t> random_position(
        0, group.subset_size - 1);
    std::optional<target_index> first;
    for (int i = 0; i < max_draws; ++i)
    {
        const auto target = group.targets[random_position(rng)];
        if (first == target || !health.eligible(target) ||
            !can_accept(target, request, limits, now))
        {
            continue;
        }
        if (first)
        {
            return less_loaded(*first, target, now);
        }
        first = target;
    }
    return std::nullopt;
}

/// Examines the first `subset_size` healthy targets of the group and draws two
/// candidates among them by reservoir sampling.
search_result target_selector::impl::sample_all(
    const region_group& group, const selection_request& request,
    const selection_limits& limits, time_point now, random_source& rng) const
{
    search_result result;
    std::array<target_index, 2> drawn{};
    std::size_t candidate_count = 0;
    std::size_t healthy = 0;
    for (const auto target : group.targets)
    {
        if (healthy == group.subset_size)
        {
            break;
        }
        if (!health.eligible(target) ||
            std::find(request.excluded.begin(), request.excluded.end(),
                      config->targets[target].name) != request.excluded.end())
        {
            continue;
        }
        ++healthy;
        result.has_eligible = true;
        if (!can_accept(target, request, limits, now))
        {
            continue;
        }
        const std::size_t reservoir_position =
            candidate_count < drawn.size()
                ? candidate_count
                : std::uniform_int_distribution<std::size_t>(
                      0, candidate_count)(rng);
        if (reservoir_position < drawn.size())
        {
            drawn[reservoir_position] = target;
        }
        ++candidate_count;
    }
    if (candidate_count > 0)
    {
        result.target = candidate_count == 1
                            ? drawn[0]
                            : less_loaded(drawn[0], drawn[1], now);
    }
    return result;
}

search_result target_selector::impl::search(const region_group& group,
                                            const selection_request& request,
                                            const selection_limits& limits,
                                            time_point now,
                                            random_source& rng) const
{
    if (request.idempotent && request.excluded.empty())
    {
        for (const auto target : group.targets)
        {
            // With no other request in flight, the next outcome recorded is
            // that of the probe.
            if (health.probe_due(target, now) &&
                load_by_index[target]->in_flight == 0 &&
                can_accept(target, request, limits, now))
            {
                return {target, true, true};
            }
        }
    }
    const auto drawn = draw_two(group, request, limits, now, rng);
    return drawn ? search_result{drawn, false, true}
                 : sample_all(group, request, limits, now, rng);
}

selected_target target_selector::impl::make_choice(const region_group& group,
                                                   const search_result& result,
                                                   time_point now) const
{
    selected_target out;
    out.target = &config->targets[*result.target];
    out.local = group.local;
    out.cold = health.warm_fraction(*result.target, now) < 1;
    out.probe = result.probe;
    return out;
}

target_selector::target_selector(selector_settings settings,
                                 target_health& health)
    : impl_(std::make_unique<impl>(std::move(settings), health))
{
}

target_selector::~target_selector() = default;

std::vector<health_change>
target_selector::configure(std::shared_ptr<const configuration> config,
                           std::size_t vms, time_point now)
{
    auto& self = *impl_;
    auto changes = self.health.configure(config, now);
    self.config = std::move(config);
    self.load_by_index.clear();
    std::erase_if(self.load_by_name,
                  [&](const auto& entry)
                  {
                      return entry.second->in_flight == 0 &&
                             !self.config->find_target(entry.first);
                  });
    for (const auto& target : self.config->targets)
    {
        auto& load = self.load_by_name[target.name];
        if (!load)
        {
            load = std::make_shared<target_load>();
        }
        self.load_by_index.push_back(load);
    }
    self.rebuild(vms);
    return changes;
}

selection_result target_selector::choose(const selection_request& request,
                                         const selection_limits& limits,
                                         time_point now,
                                         random_source& rng) const
{
    const auto refuse = [](selection_refusal reason)
    { return boost::outcome_v2::failure(reason); };
    const auto groups = impl_->routes.find(request.route);
    if (groups == impl_->routes.end() || groups->second.regions.empty())
    {
        return refuse(selection_refusal::no_target);
    }
    const auto& regions = groups->second.regions;
    const std::size_t local_count = regions.front().local ? 1 : 0;
    const std::size_t remote_count = regions.size() - local_count;
    // Other regions have equal priority; starting at a random one spreads the
    // load over them.
    const std::size_t first_remote =
        remote_count > 1 ? std::uniform_int_distribution<std::size_t>(
                               0, remote_count - 1)(rng)
                         : 0;
    auto reason = selection_refusal::no_target;
    for (std::size_t i = 0; i < regions.size(); ++i)
    {
        const auto& group =
            regions[i < local_count
                        ? i
                        : local_count +
                              (i - local_count + first_remote) % remote_count];
        const auto result = impl_->search(group, request, limits, now, rng);
        if (!result.target)
        {
            reason =
                result.has_eligible
                    ? std::max(reason, selection_refusal::region_at_capacity)
                    : reason;
            continue;
        }
        if (!group.local && limits.link_has_budget &&
            !limits.link_has_budget(impl_->settings.region, group.region,
                                    request.expected_bytes))
        {
            reason = std::max(reason, selection_refusal::link_at_capacity);
            continue;
        }
        if (limits.shift_allows && !limits.shift_allows(group.region))
        {
            reason = std::max(reason, selection_refusal::shift_capped);
            continue;
        }
        return impl_->make_choice(group, result, now);
    }
    return refuse(reason);
}

std::optional<health_change>
target_selector::request_started(const selected_target& chosen, time_point now)
{
    auto& load = impl_->load_by_name[chosen.target->name];
    if (!load)
    {
        load = std::make_shared<target_load>();
    }
    load->recent_sends = impl_->recent_sends(*load, now) + 1;
    load->updated = now;
    ++load->in_flight;
    return chosen.probe ? impl_->health.begin_probe(chosen.target->name, now)
                        : std::nullopt;
}

void target_selector::request_finished(std::string_view target)
{
    const auto it = impl_->load_by_name.find(target);
    if (it != impl_->load_by_name.end() && it->second->in_flight > 0)
    {
        --it->second->in_flight;
    }
}

std::uint32_t target_selector::in_flight(std::string_view target) const
{
    const auto it = impl_->load_by_name.find(target);
    return it == impl_->load_by_name.end() ? 0 : it->second->in_flight;
}

std::vector<std::string> target_selector::subset(std::string_view route) const
{
    std::vector<std::string> out;
    const auto groups = impl_->routes.find(route);
    if (groups == impl_->routes.end())
    {
        return out;
    }
    for (const auto& group : groups->second.regions)
    {
        for (std::size_t i = 0; i < group.subset_size; ++i)
        {
            out.push_back(impl_->config->targets[group.targets[i]].name);
        }
    }
    return out;
}

} // namespace siskinflow::routing
