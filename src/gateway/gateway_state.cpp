#include "gateway_state.hpp"

#include "request_flow.hpp"
#include <siskinflow/core/ids.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace siskinflow::gateway
{

namespace
{

/// Fraction of the retry ratio and slack that is used: the VMs count requests
/// in windows that are not aligned with each other.
constexpr double retry_margin = 0.7;
/// Time after its start in which a VM first reads the policy in force.
constexpr duration start_time = std::chrono::seconds(10);
/// Change of a share from which it is logged.
constexpr double min_logged_change = 0.1;
/// Time in which requests return to a target after a pause that it asked for.
/// It differs between VMs by up to as much again.
constexpr duration min_return_time = std::chrono::seconds(1);
/// Failed placements after which a pass over the waiting requests ends.
constexpr int max_failed_placements = 6;

template <class Map>
const typename Map::mapped_type* find_in(const Map& map,
                                         const std::string& name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

std::string work_name(const route_policy& route, const std::string& service)
{
    return route.name + '\n' + service;
}

placement_costs costs_of(const gateway_settings& settings)
{
    placement_costs out;
    out.max_region_bytes = settings.region_exchange_bytes;
    return out;
}

} // namespace

gateway_state::gateway_state(net::event_loop& loop_in,
                             net::http_caller& http_client_in,
                             const message_codec& protocol_in,
                             event_log& log_in, metrics& metric_set_in,
                             gateway_settings settings_in)
    : loop(loop_in), http_client(http_client_in), protocol(protocol_in),
      log(log_in), metric_set(metric_set_in), settings(std::move(settings_in)),
      memory(std::make_shared<net::memory_budget>(
          net::limits_for_machine(settings.memory_bytes), loop_in)),
      targets({settings.self.failure_domain, settings.self.region}),
      chooser(targets, costs_of(settings)), peers(settings.self),
      started_at(loop_in.now()),
      key_acceptance_(make_key_acceptance(settings.revocation_limit))
{
}

work_estimate& gateway_state::work(const route_policy& route,
                                   const std::string& service)
{
    return work_
        .try_emplace(work_name(route, service), route.objective, route.timeout)
        .first->second;
}

const work_estimate* gateway_state::find_work(const route_policy& route,
                                              const std::string& service) const
{
    return find_in(work_, work_name(route, service));
}

const region_split* gateway_state::find_split(const std::string& service) const
{
    return find_in(splits_, service);
}

const wait_queue* gateway_state::find_queue(const std::string& service) const
{
    return find_in(wait_queues_, service);
}

retry_budget& gateway_state::retries(const std::string& service)
{
    const auto found = retries_.find(service);
    if (found != retries_.end())
    {
        return found->second;
    }
    const double vms = static_cast<double>(peers.size());
    return retries_
        .try_emplace(service, settings.retry_ratio * retry_margin,
                     settings.retry_slack * retry_margin / vms)
        .first->second;
}

const std::string& gateway_state::next_service(const route_policy& route)
{
    if (route.services.size() == 1)
    {
        return route.services.front().service;
    }
    // Smooth weighted round robin: the proportions are exact after few
    // requests.
    double total = 0;
    for (const weighted_service& entry : route.services)
    {
        total += entry.weight;
    }
    auto& credits = service_credits_[route.name];
    const std::string* chosen = nullptr;
    double highest_credit = 0;
    for (const weighted_service& entry : route.services)
    {
        double& credit = credits[entry.service];
        credit += total > 0 ? entry.weight / total : 0;
        if (chosen == nullptr || credit > highest_credit)
        {
            chosen = &entry.service;
            highest_credit = credit;
        }
    }
    credits[*chosen] -= 1;
    return *chosen;
}

waiting_id gateway_state::wait(const std::string& service, waiting_rank rank,
                               const std::shared_ptr<request_flow>& flow)
{
    const waiting_id id = ++last_waiting_id_;
    wait_queues_[service].add(id, rank, now());
    waiting_[id] = flow;
    return id;
}

void gateway_state::stop_waiting(const std::string& service, waiting_id id)
{
    wait_queues_[service].remove(id);
    waiting_.erase(id);
}

void gateway_state::place_waiting(const std::string& service)
{
    const auto found = wait_queues_.find(service);
    if (found == wait_queues_.end() || found->second.size() == 0)
    {
        return;
    }
    int failed = 0;
    for (const waiting_id id : found->second.order())
    {
        const auto entry = waiting_.find(id);
        const auto flow =
            entry == waiting_.end() ? nullptr : entry->second.lock();
        if (flow == nullptr)
        {
            stop_waiting(service, id);
            continue;
        }
        failed += flow->place_waiting() ? 0 : 1;
        if (failed >= max_failed_placements)
        {
            return;
        }
    }
}

void gateway_state::place_all_waiting()
{
    std::vector<std::string> services;
    for (const auto& [service, waiting] : wait_queues_)
    {
        if (waiting.size() > 0)
        {
            services.push_back(service);
        }
    }
    for (const std::string& service : services)
    {
        place_waiting(service);
    }
}

bool gateway_state::apply_policy(gateway::policy next, store_revision revision)
{
    const policy_version previous =
        policy == nullptr ? 0 : policy->document().version;
    if (next.version <= previous)
    {
        if (next.version < previous)
        {
            log.write(event_id::policy_refused,
                      {{"revision", revision},
                       {"in_force", previous},
                       {"reason", "version " + std::to_string(next.version) +
                                      " is older"}});
        }
        return false;
    }
    policy = std::make_shared<const policy_index>(std::move(next));
    policy_since = now();
    log.write(event_id::policy_in_force,
              {{"version", policy->document().version},
               {"previous", previous},
               {"routes", policy->document().routes.size()},
               {"services", policy->document().services.size()},
               {"organisations", policy->document().organisations.size()},
               {"revision", revision}});
    update_shares();
    return true;
}

void gateway_state::update_shares()
{
    if (policy == nullptr)
    {
        return;
    }
    const initial_level initial = now() - started_at < start_time
                                      ? initial_level::empty
                                      : initial_level::full;
    for (const organisation_policy& entry : policy->document().organisations)
    {
        if (entry.rate_per_s <= 0)
        {
            continue;
        }
        organisation_by_number[organisation_number(entry.name)] = entry.name;
        rate_share& share = shares[entry.name];
        share.update(entry.rate_per_s, entry.burst, peers.size(), now(),
                     initial);
        double& logged = logged_fractions_[entry.name];
        if (std::abs(share.fraction() - logged) >= min_logged_change)
        {
            log.write(event_id::rate_share_changed,
                      {{"organisation", entry.name},
                       {"part", share.fraction()},
                       {"previous", logged},
                       {"vms", peers.size()}});
            logged = share.fraction();
        }
    }
    update_cold_rates();
}

void gateway_state::update_cold_rates()
{
    const std::vector<std::string> vms = peers.names();
    targets.for_each(
        [&](target& entry)
        {
            if (entry.cold(now()))
            {
                limit_cold(entry, vms);
            }
        });
}

void gateway_state::limit_if_cold(target& entry)
{
    if (entry.cold(now()))
    {
        limit_cold(entry, peers.names());
    }
}

/// A cold target can handle its rate plus some slack from all VMs together. A
/// few VMs, chosen identically by every VM, may send to it, each an equal part
/// of the rate with a burst of one request.
void gateway_state::limit_cold(target& entry,
                               const std::vector<std::string>& vms)
{
    const service_policy* service =
        policy == nullptr ? nullptr
                          : policy->find_service(entry.record().service);
    const double rate = service == nullptr ? 0 : service->warm_up_rate_per_s;
    if (rate <= 0)
    {
        return;
    }
    const auto max_senders = static_cast<std::size_t>(
        std::max(1.0, settings.cold_slack + rate / 2 - 1));
    const std::size_t sender_count = std::min(max_senders, vms.size());
    const std::uint64_t seed = stable_hash(entry.record().id);
    const std::uint64_t own = stable_hash(settings.self.name, seed);
    const auto before = static_cast<std::size_t>(std::count_if(
        vms.begin(), vms.end(),
        [&](const std::string& vm) { return stable_hash(vm, seed) < own; }));
    entry.limit_cold_rate(
        before < sender_count ? rate / static_cast<double>(sender_count) : 0,
        now());
}

void gateway_state::on_target_wish(const target_ptr& entry,
                                   const target_wish& wish,
                                   std::string_view told_by)
{
    const target_record& record = entry->record();
    const bool leaves = wish.leaving && !entry->wish().leaving;
    const bool pauses = wish.paused_until > entry->wish().paused_until;
    if (!leaves && !pauses)
    {
        return;
    }
    const std::uint64_t seed = stable_hash(record.id);
    const auto spread = static_cast<std::int64_t>(
        stable_hash(settings.self.name, seed) %
        static_cast<std::uint64_t>(min_return_time.count()));
    targets.on_wish(record.id, record.started_at_ms, wish,
                    min_return_time + duration(spread));
    limit_if_cold(*entry);
    const std::string_view reason = leaves ? "leaving" : "pause";
    metric_set.counter(metric_id::target_withdrawals, {reason}).add();
    log.write(event_id::target_withdrawn,
              {{"target", record.id},
               {"service", record.service},
               {"reason", reason},
               {"for_ms", pauses ? to_ms(wish.paused_until - now()) : 0},
               {"told_by", told_by}});
    withdraw_unsent();
    if (pauses)
    {
        loop.after(wish.paused_until - now(),
                   [this, entry] { on_pause_end(entry); });
    }
}

void gateway_state::withdraw_unsent()
{
    // A request that is placed again may end, which removes it.
    const auto requests = in_progress;
    for (const auto& request : requests)
    {
        request->withdraw_unsent();
    }
}

void gateway_state::on_pause_end(const target_ptr& entry)
{
    if (!entry->wish().allows_requests(now()))
    {
        return;
    }
    log.write(
        event_id::target_wanted_again,
        {{"target", entry->record().id}, {"service", entry->record().service}});
    place_waiting(entry->record().service);
}

region_load gateway_state::load_of(const std::string& service) const
{
    region_load out;
    const double average_peer_load = targets.average_peer_load(service);
    for (const target_ptr& entry : targets.of_service(service))
    {
        if (!targets.in_service(*entry) || entry->ejected(now()) ||
            !entry->wish().allows_requests(now()))
        {
            continue;
        }
        const bool remote =
            targets.distance_to(*entry) == distance::other_region;
        (remote ? out.remote_load : out.local_load) +=
            entry->load(now(), average_peer_load);
        (remote ? out.remote_slots : out.local_slots) += entry->record().slots;
    }
    return out;
}

/// Assumes that callers are spread evenly over the failure domains.
double gateway_state::local_caller_fraction() const
{
    const auto in_region =
        std::count_if(settings.regions.begin(), settings.regions.end(),
                      [&](const auto& entry)
                      { return entry.second == settings.self.region; });
    return static_cast<double>(in_region) /
           static_cast<double>(
               std::max<std::size_t>(1, settings.regions.size()));
}

region_split& gateway_state::split(const std::string& service)
{
    region_split& out = splits_[service];
    if (!out.started())
    {
        out.start(load_of(service), local_caller_fraction(), now());
    }
    return out;
}

void gateway_state::update_splits()
{
    for (auto& [service, split] : splits_)
    {
        region_load load = load_of(service);
        // Requests in the wait queue wait for targets of this region.
        load.local_load += static_cast<double>(queue_of(service).size());
        split.update(load, now());
    }
}

} // namespace siskinflow::gateway
