#include "state_feed.hpp"

namespace siskinflow::gateway
{

namespace
{

/// Time after an outage of the store within which running targets register
/// again; targets whose entries are still missing then are removed.
constexpr duration reregistration_time = std::chrono::milliseconds(2300);

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

void logging_listener::on_watch_replaced(duration unconfirmed)
{
    state_.log.write(
        event_id::watch_broken,
        {{"watched", operation_},
         {"reason",
          "not confirmed for " + std::to_string(to_ms(unconfirmed)) + " ms"}});
}

// Operators

operator_feed::operator_feed(gateway_state& state, const record_format& records)
    : logging_listener(state, "operators"), records_(records)
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
                         {{"revision", change.revision},
                          {"in_force", in_force},
                          {"reason", record.error().message}});
        return;
    }
    if (auto* next = std::get_if<policy_document>(&record.value()))
    {
        on_policy(std::move(*next), change.revision);
    }
    if (const auto* evacuated = std::get_if<evacuation>(&record.value()))
    {
        on_evacuation(*evacuated, change.revision);
    }
}

void operator_feed::on_confirmed(time_point asked_at,
                                 store_revision /*revision*/)
{
    state_.policy_confirmed = asked_at;
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
    if (change.active)
    {
        evacuated_.insert(change.failure_domain);
    }
    else
    {
        evacuated_.erase(change.failure_domain);
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
    : logging_listener(state, "targets"), records_(records)
{
}

void target_feed::on_available(duration down)
{
    reregistered_by_ = state_.now() + reregistration_time;
    logging_listener::on_available(down);
}

void target_feed::on_listed()
{
    listed_ = true;
    state_.place_all_waiting();
}

void target_feed::on_change(const store_change& change)
{
    if (change.removed)
    {
        on_removed(records_.target_id(change.key), change.revision);
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
                          {"revision", change.revision},
                          {"reason", record.error().message}});
        return;
    }
    target_record& entry = record.value();
    const auto region = state_.settings.regions.find(entry.failure_domain);
    if (region != state_.settings.regions.end())
    {
        entry.region = region->second;
    }
    const auto pending_removal = pending_removals_.find(entry.id);
    if (pending_removal != pending_removals_.end())
    {
        state_.loop.cancel(pending_removal->second);
        pending_removals_.erase(pending_removal);
    }
    const target_ptr known = state_.targets.find(entry.id);
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
             {"revision", change.revision},
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

void target_feed::on_removed(const std::string& id, store_revision revision)
{
    const time_point now = state_.now();
    if (now >= reregistered_by_)
    {
        remove(id, revision);
        return;
    }
    if (pending_removals_.count(id) != 0)
    {
        return;
    }
    pending_removals_[id] = state_.loop.after(reregistered_by_ - now,
                                              [this, id, revision]
                                              {
                                                  pending_removals_.erase(id);
                                                  remove(id, revision);
                                              });
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

vm_feed::vm_feed(gateway_state& state) : logging_listener(state, "vms") {}

void vm_feed::on_change(const store_change& change)
{
    const std::string name = change.key.substr(
        std::min(change.key.size(), std::string(vm_prefix).size()));
    if (name == state_.settings.self.name)
    {
        return;
    }
    if (change.removed)
    {
        state_.peers.on_unlisted(name);
        state_.log.write(event_id::peer_changed,
                         {{"peer", name}, {"change", "unlisted"}});
        return;
    }
    const auto record = parse_vm_record(change.value);
    if (!record || record.value().name != name)
    {
        state_.log.write(
            event_id::target_registration_refused,
            {{"item", change.key},
             {"revision", change.revision},
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

} // namespace siskinflow::gateway
