// Invariants of the composition tests.
#include "composition_vm.hpp"

#include <algorithm>

namespace composition
{

using namespace std::chrono_literals;

namespace
{

/// I5 and I10 of the design.
constexpr duration withdrawal_limit = 3s;
/// A reduced rate holds after this time: the owner changes once and the last
/// lease under the old rate lapses.
constexpr duration reduction_limit = 10s;
/// For the tick that ends a request without a lease, and its closing.
constexpr duration overdue_limit = 100ms;
constexpr duration answer_slack = 100ms;

} // namespace

void world::complain(const std::string& what)
{
    if (complaint_.empty())
    {
        complaint_ = what + " at " +
                     std::to_string(time.now().time_since_epoch() / 1ms) +
                     " ms;" + description_;
    }
}

/// The rate in the strictest note that must hold by now.
double world::rate_limit(std::size_t organisation) const
{
    const auto found = notes_.find("rate-" + std::to_string(organisation));
    const bool reduced = found != notes_.end() && found->second.in_force &&
                         time.now() - *found->second.in_force > reduction_limit;
    return base_.organisations[organisation].rate_per_s / (reduced ? 2 : 1);
}

/// A request reaches a target, or would if it accepted connections.
void world::check_calls(const target_call& call)
{
    const auto in_force_too_long = [this](const std::string& what)
    {
        const auto found = notes_.find(what);
        return found != notes_.end() && found->second.in_force &&
               time.now() - *found->second.in_force > withdrawal_limit;
    };
    const caller_request& sent = *by_id_.at(call.id);
    if (!call.request.headers.value("authorization").empty())
    {
        complain("a target sees a key");
    }
    if (in_force_too_long(sent.key))
    {
        complain("a request with a withdrawn key is dispatched");
    }
    if (in_force_too_long(call.target))
    {
        complain("new work for a leaving target");
    }
    if (dispatched_.insert(call.id).second)
    {
        const double burst = rate_limit(sent.organisation) / 2;
        excess_.at(sent.organisation) += 1;
        if (excess_.at(sent.organisation) > burst + 1e-6)
        {
            complain("organisation " + std::to_string(sent.organisation) +
                     " is over its rate by " +
                     std::to_string(excess_.at(sent.organisation) - burst));
        }
    }
    if (!call.received || call.shed)
    {
        return;
    }
    started_ids_.insert(call.id);
    if (said_not_run_.count(call.id) != 0)
    {
        complain("a request runs that was said not to have run");
    }
    if (call.permit.empty())
    {
        return;
    }
    if (!started_permits_.insert(call.permit).second)
    {
        complain("a permit starts twice");
    }
    if (said_not_run_.count(call.permit) != 0)
    {
        complain("a permit runs that was said not to have run");
    }
}

void world::check_step()
{
    for (std::size_t i = 0; i < excess_.size(); ++i)
    {
        excess_.at(i) =
            std::max(0.0, excess_.at(i) - rate_limit(i) * to_seconds(step));
    }
    note_in_force();
    check_revisions();
    check_slots();
    check_answers();
}

void world::note_in_force()
{
    for (const slot& each : slots_)
    {
        if (each.node != nullptr && !each.paused)
        {
            const known_revisions& seen = each.node->fleet.in_force();
            in_force_.config = std::max(in_force_.config, seen.config);
            in_force_.fleet = std::max(in_force_.fleet, seen.fleet);
        }
    }
    for (auto& [what, note] : notes_)
    {
        if (!note.in_force && in_force_.config >= note.revision)
        {
            note.in_force = time.now();
        }
    }
}

void world::check_revisions()
{
    for (slot& each : slots_)
    {
        if (each.node == nullptr)
        {
            continue;
        }
        const fleet_node& fleet = each.node->fleet;
        const known_revisions known{fleet.config_revision(),
                                    fleet.record_revision()};
        if (known.config < each.last.config || known.fleet < each.last.fleet)
        {
            complain("a revision decreases");
        }
        each.last = known;
        const auto config = each.node->path.config();
        const std::uint64_t sequence = config == nullptr ? 0 : config->sequence;
        if (sequence < each.last_sequence)
        {
            complain("an old configuration returns");
        }
        each.last_sequence = sequence;
        if (fleet.is_fresh() &&
            (known.config < in_force_.config || known.fleet < in_force_.fleet))
        {
            complain("a fresh VM does not know a revision in force");
        }
    }
}

/// Requests at a target whose slots have lost their lease. A paused VM can't
/// end them, and orders are never ended.
std::uint32_t world::uncovered(std::size_t index, std::size_t target)
{
    const slot& each = slots_[index];
    const auto since = std::pair(index, target);
    const std::uint32_t count =
        each.node == nullptr
            ? 0
            : each.node->budgets.shares().slots_without_lease(
                  slots_budget("target-" + std::to_string(target)),
                  each.node->clock.now());
    if (count == 0)
    {
        overdue_since_.erase(since);
        return 0;
    }
    const auto [entry, added] = overdue_since_.emplace(since, time.now());
    const time_point from = std::max(entry->second, each.paused_at);
    const bool is_order_target = target >= 2;
    const bool excused =
        each.paused || is_order_target || time.now() - from <= overdue_limit;
    return excused ? count : 0;
}

void world::check_slots()
{
    std::erase_if(calls_, [](const auto& call)
                  { return call->over && !call->running; });
    for (std::size_t target = 0; target < base_.targets.size(); ++target)
    {
        std::vector<std::uint32_t> running(slots_.size(), 0);
        for (const auto& call : calls_)
        {
            const bool here = call->target == base_.targets[target].name;
            running[call->vm] += here && call->running ? 1 : 0;
        }
        std::uint32_t covered = 0;
        for (std::size_t i = 0; i < slots_.size(); ++i)
        {
            const std::uint32_t excused = uncovered(i, target);
            covered += running[i] - std::min(running[i], excused);
        }
        if (covered > base_.targets[target].slots)
        {
            complain("more requests at " + base_.targets[target].name +
                     " than slots: " + std::to_string(covered));
        }
    }
}

void world::check_answers()
{
    for (auto& item : requests_)
    {
        const caller_exchange& exchange = *item.exchange;
        if (exchange.starts > 1 || exchange.finishes + exchange.aborts > 1)
        {
            complain("more than one answer");
        }
        const slot& at = slots_[item.vm];
        const bool late =
            time.now() > std::max(item.deadline, at.paused_at) + answer_slack;
        if (!exchange.done() && !at.paused && late)
        {
            complain("no answer by the deadline");
        }
        if (exchange.done() && !item.judged)
        {
            item.judged = true;
            judge(item);
        }
    }
}

void world::judge(caller_request& item)
{
    const caller_exchange& exchange = *item.exchange;
    counts.aborted += static_cast<std::uint64_t>(exchange.aborts);
    if (exchange.gone || exchange.finishes == 0)
    {
        return;
    }
    const std::string outcome = exchange.field(entry::header_names::outcome);
    const std::string reason = exchange.field(entry::header_names::reason);
    counts.ran += outcome == "ran" ? 1 : 0;
    counts.unknown += outcome == "unknown" ? 1 : 0;
    counts.not_run += outcome == "not-run" ? 1 : 0;
    counts.replayed += reason == "already_ran" ? 1 : 0;
    ++counts.reasons[outcome + " " + reason];
    if (outcome != "not-run")
    {
        return;
    }
    // Without a valid key a permit can't be settled, so only this copy is
    // said not to have run.
    const bool settled = !item.permit.empty() && reason != "unknown_key";
    if (started_ids_.count(item.id) != 0 ||
        (settled && started_permits_.count(item.permit) != 0))
    {
        complain("\"not run\" (" + reason + ") about a request that ran");
    }
    said_not_run_.insert(item.id);
    if (settled)
    {
        said_not_run_.insert(item.permit);
    }
}

void world::check_recovered()
{
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        if (!slots_[i].node->serves())
        {
            complain("VM " + std::to_string(i) + " is no fresh member");
            return;
        }
        if (slots_[i].node->path.in_progress() != 0)
        {
            complain("VM " + std::to_string(i) + " keeps requests");
        }
    }
    for (std::size_t i = 0; i < slots_.size() * 2; ++i)
    {
        caller_request item;
        item.vm = i / 2;
        item.organisation = i % 3;
        item.key = "key-" + std::to_string(item.organisation);
        vm& node = *slots_[item.vm].node;
        if (i % 2 == 1)
        {
            item.permit = node.issuer.issue(
                "organisation-" + std::to_string(item.organisation), "orders",
                node.clock.now());
        }
        const caller_request& sent = submit(std::move(item));
        advance(timeout_of_requests + answer_slack);
        const caller_exchange& exchange = *sent.exchange;
        if (exchange.status != 200)
        {
            complain("VM " + std::to_string(sent.vm) + " does not serve: " +
                     exchange.field(entry::header_names::reason));
        }
    }
    for (const slot& each : slots_)
    {
        if (each.node->path.in_progress() != 0 ||
            each.node->path.queued() != 0 || each.node->path.body_bytes() != 0)
        {
            complain("requests are left over");
        }
        for (const target_config& target : base_.targets)
        {
            if (each.node->budgets.shares().in_use(slots_budget(target.name)) !=
                0)
            {
                complain("slots of " + target.name + " are not released");
            }
        }
    }
}

} // namespace composition
