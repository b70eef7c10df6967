#include "state_feed.hpp"

namespace siskinflow::gateway
{

namespace
{

/// Time after an outage or a return of the store within which running targets
/// and VMs register again; those whose entries are still missing then are
/// removed.
constexpr duration reregistration_time = std::chrono::milliseconds(2300);
/// Time after a return of the store within which operators write their entries
/// again; an evacuation that is still missing then ends.
constexpr duration rewriting_time = std::chrono::seconds(10);
/// Targets that are remembered as draining.
constexpr std::size_t max_draining = 10000;

} // namespace

// Logged listener

logging_listener::logging_listener(gateway_state& state, std::string operation)
    : state_(state), operation_(std::move(operation))
{
}

void logging_listener::on_unavailable(const error& reason)
{
    state_.log.write(event_id::store_unavailable,
                     {{"operation", operation_}, {"reason", reason.message}});
}

void logging_listener::on_available(duration down)
{
    state_.log.write(
        event_id::store_available,
        {{"down_ms", std::chrono::duration_cast<std::chrono::milliseconds>(down)
                         .count()}});
}

void logging_listener::on_watch_replaced(const replaced_watch& watch)
{
    state_.log.write(event_id::watch_broken,
                     {{"watched", operation_},
                      {"reason", siskinflow::name(watch.reason)},
                      {"unconfirmed_ms", to_ms(watch.unconfirmed)},
                      {"age_ms", to_ms(watch.age)},
                      {"bytes_received", watch.bytes_received}});
}

void logging_listener::on_new_era(std::uint64_t era)
{
    state_.metric_set.counter(metric_id::store_era_listings).add();
    state_.log.write(event_id::store_era_listed,
                     {{"listed", operation_}, {"era", era}});
}

// Operators

operator_feed::operator_feed(gateway_state& state, const record_format& records)
    : logging_listener(state, "operators"), records_(records),
      pending_ends_(state.loop)
{
}

void operator_feed::on_change(const store_change& change)
{
    auto record = records_.read_operator(change);
    if (!record)
    {
        const policy_version in_force =
            state_.policy == nullptr ? 0 : state_.policy->document().version;
        state_.log.write(event_id::policy_refused,
                         {{"revision", change.position.revision},
                          {"in_force", in_force},
                          {"reason", record.error().message}});
        return;
    }
    if (auto* next = std::get_if<policy_document>(&record.value()))
    {
        on_policy(std::move(*next), change.position.revision);
    }
    if (const auto* evacuated = std::get_if<evacuation>(&record.value()))
    {
        on_evacuation(*evacuated, change.position.revision);
    }
}

void operator_feed::on_confirmed(time_point asked_at,
                                 store_position /*position*/)
{
    state_.policy_confirmed = asked_at;
}

void operator_feed::on_new_era(std::uint64_t era)
{
    listing_new_era_ = true;
    pending_ends_.postpone_all(rewriting_time);
    logging_listener::on_new_era(era);
}

void operator_feed::on_listed()
{
    listing_new_era_ = false;
}

void operator_feed::on_policy(policy_document next, store_revision revision)
{
    keep_rows_in_force(
        next, state_.policy == nullptr ? nullptr : &state_.policy->document());
    if (!state_.apply_policy(std::move(next.policy), revision))
    {
        return;
    }
    for (const row_problem& problem : next.problems)
    {
        log_problem(problem, revision);
    }
    state_.place_all_waiting();
}

void operator_feed::log_problem(const row_problem& problem,
                                store_revision revision)
{
    state_.metric_set
        .counter(metric_id::policy_row_problems,
                 {gateway::name(problem.handling)})
        .add();
    state_.log.write(event_id::policy_row_not_read,
                     {{"revision", revision},
                      {"table", gateway::name(problem.table)},
                      {"item", problem.name},
                      {"reason", problem.reason},
                      {"handling", gateway::name(problem.handling)}});
}

void operator_feed::on_evacuation(const evacuation& change,
                                  store_revision revision)
{
    if (!change.active && listing_new_era_)
    {
        pending_ends_.set(change.failure_domain, rewriting_time,
                          [this, change, revision]
                          { set_evacuated(change, revision); });
        return;
    }
    pending_ends_.cancel(change.failure_domain);
    set_evacuated(change, revision);
}

void operator_feed::set_evacuated(const evacuation& change,
                                  store_revision revision)
{
    const bool changed = change.active
                             ? evacuated_.insert(change.failure_domain).second
                             : evacuated_.erase(change.failure_domain) != 0;
    if (!changed)
    {
        return; // The listing of a new era repeats what is in force.
    }
    state_.targets.set_evacuated(evacuated_);
    std::string domain_list;
    for (const std::string& domain : evacuated_)
    {
        domain_list += (domain_list.empty() ? "" : ",") + domain;
    }
    state_.log.write(
        event_id::evacuation_changed,
        {{"failure_domains", domain_list}, {"revision", revision}});
    state_.withdraw_unsent();
    state_.place_all_waiting();
}

// Targets

target_feed::target_feed(gateway_state& state, const record_format& records)
    : logging_listener(state, "targets"), records_(records),
      pending_removals_(state.loop)
{
}

void target_feed::on_available(duration down)
{
    reregistered_by_ = state_.now() + reregistration_time;
    logging_listener::on_available(down);
}

void target_feed::on_new_era(std::uint64_t era)
{
    listing_new_era_ = true;
    reregistered_by_ = state_.now() + reregistration_time;
    pending_removals_.postpone_all(reregistration_time);
    logging_listener::on_new_era(era);
}

void target_feed::on_listed()
{
    listed_ = true;
    listing_new_era_ = false;
    state_.place_all_waiting();
}

void target_feed::on_change(const store_change& change)
{
    if (change.removed)
    {
        on_removed(records_.target_id(change.key), change.position.revision);
        return;
    }
    on_registered(change);
}

void target_feed::on_registered(const store_change& change)
{
    auto record = records_.read_target(change);
    if (!record)
    {
        state_.log.write(event_id::target_registration_refused,
                         {{"item", change.key},
                          {"revision", change.position.revision},
                          {"reason", record.error().message}});
        return;
    }
    target_record& entry = record.value();
    const auto region = state_.settings.regions.find(entry.failure_domain);
    if (region != state_.settings.regions.end())
    {
        entry.region = region->second;
    }
    if (listing_new_era_ && is_earlier_incarnation(entry))
    {
        on_removed(entry.id, change.position.revision);
        return;
    }
    pending_removals_.cancel(entry.id);
    keep_withdrawn(entry);
    const target_ptr known = state_.targets.find(entry.id);
    if (listing_new_era_ && known != nullptr && known->record() == entry)
    {
        return; // It would warm up again.
    }
    const bool was_draining = known != nullptr && known->record().draining;
    const bool added = state_.targets.put(entry, state_.now());
    if (added || was_draining != entry.draining)
    {
        state_.log.write(
            event_id::target_registration_changed,
            {{"target", entry.id},
             {"service", entry.service},
             {"change", entry.draining ? "draining"
                        : !added       ? "ready"
                        : known        ? "restarted"
                                       : "registered"},
             {"failure_domain", entry.failure_domain},
             {"revision", change.position.revision},
             {"warm_up_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  entry.warm_up_left)
                  .count()}});
    }
    if (added && !(state_.had_requests && state_.peers.introduces(entry.id)))
    {
        // Targets that registered before the first request become warm through
        // the order of the objects. A later one is introduced by a few VMs; a
        // cold request from each VM would keep hundreds of targets cold.
        state_.targets.find(entry.id)->mark_tried();
    }
    state_.limit_if_cold(*state_.targets.find(entry.id));
    if (known != nullptr && (added || entry.draining))
    {
        state_.withdraw_unsent();
    }
    if (added && listed_)
    {
        state_.place_waiting(entry.service);
    }
}

/// Whether the entry is of an incarnation before the known one: the store has
/// returned from a copy that does not have the later one. A target that runs
/// writes its entry again.
bool target_feed::is_earlier_incarnation(const target_record& entry) const
{
    const target_ptr known = state_.targets.find(entry.id);
    return known != nullptr &&
           entry.started_at_ms < known->record().started_at_ms;
}

/// An incarnation that has announced its end does not come back: an entry that
/// says otherwise is older, such as one from a copy of the store.
void target_feed::keep_withdrawn(target_record& entry)
{
    if (entry.started_at_ms == 0)
    {
        return; // Its incarnation is not known.
    }
    if (entry.draining)
    {
        if (draining_.size() >= max_draining)
        {
            draining_.clear();
        }
        draining_[entry.id] = entry.started_at_ms;
        return;
    }
    const auto found = draining_.find(entry.id);
    entry.draining =
        found != draining_.end() && found->second == entry.started_at_ms;
}

void target_feed::on_removed(const std::string& id, store_revision revision)
{
    const time_point now = state_.now();
    if (now >= reregistered_by_)
    {
        remove(id, revision);
        return;
    }
    pending_removals_.set(id, reregistered_by_ - now,
                          [this, id, revision] { remove(id, revision); });
}

void target_feed::remove(const std::string& id, store_revision revision)
{
    const target_ptr known = state_.targets.find(id);
    if (known == nullptr)
    {
        return;
    }
    state_.log.write(event_id::target_registration_changed,
                     {{"target", id},
                      {"service", known->record().service},
                      {"change", "gone"},
                      {"failure_domain", known->record().failure_domain},
                      {"revision", revision}});
    state_.targets.remove(id);
    state_.withdraw_unsent();
}

// VMs

vm_feed::vm_feed(gateway_state& state)
    : logging_listener(state, "vms"), pending_removals_(state.loop)
{
}

void vm_feed::on_change(const store_change& change)
{
    const std::string name = change.key.substr(
        std::min(change.key.size(), std::string(vm_prefix).size()));
    if (name == state_.settings.self.name)
    {
        return;
    }
    pending_removals_.cancel(name);
    if (change.removed)
    {
        on_removed(name);
        return;
    }
    const auto record = parse_vm_record(change.value);
    if (!record || record.value().name != name)
    {
        state_.log.write(
            event_id::target_registration_refused,
            {{"item", change.key},
             {"revision", change.position.revision},
             {"reason",
              record ? std::string("the name in the entry differs from its key")
                     : record.error().message}});
        return;
    }
    state_.peers.on_listed(record.value(), state_.now());
    state_.log.write(event_id::peer_changed,
                     {{"peer", name},
                      {"change", "listed"},
                      {"failure_domain", record.value().failure_domain}});
    state_.update_shares();
}

void vm_feed::on_new_era(std::uint64_t era)
{
    reregistered_by_ = state_.now() + reregistration_time;
    pending_removals_.postpone_all(reregistration_time);
    logging_listener::on_new_era(era);
}

void vm_feed::on_removed(const std::string& name)
{
    const time_point now = state_.now();
    if (now >= reregistered_by_)
    {
        unlist(name);
        return;
    }
    pending_removals_.set(name, reregistered_by_ - now,
                          [this, name] { unlist(name); });
}

void vm_feed::unlist(const std::string& name)
{
    state_.peers.on_unlisted(name);
    state_.log.write(event_id::peer_changed,
                     {{"peer", name}, {"change", "unlisted"}});
}

} // namespace siskinflow::gateway
