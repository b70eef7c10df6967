#include <siskinflow/fleet/membership.hpp>

#include <algorithm>
#include <utility>

namespace siskinflow
{

namespace
{

duration suspect_timeout(const membership_view& view,
                         const membership_options& options)
{
    return view.relayed ? options.suspect_after_relayed : options.suspect_after;
}

/// How long a member has been silent, not counting the time before the record
/// was known here and the time in which this VM may have been disconnected or
/// paused itself.
duration silence_duration(const freshness& state, const membership_view& view,
                          const member& candidate)
{
    time_point since = view.record_since;
    since = std::max(since, view.fresh_since.value_or(view.now));
    if (auto heard = state.last_heard(candidate.incarnation))
    {
        since = std::max(since, *heard);
    }
    return view.now - since;
}

bool is_absent(const freshness& state, const membership_view& view,
               const membership_options& options, const member& candidate)
{
    // A new VM may not be listed yet, so one that was just heard is not absent.
    return view.absences != nullptr &&
           view.absences->absent_for(candidate.vm, duration(0), view.now,
                                     options) &&
           silence_duration(state, view, candidate) >
               suspect_timeout(view, options) / 2;
}

bool is_replaced(const membership_view& view, const member& candidate)
{
    return std::any_of(view.joining.begin(), view.joining.end(),
                       [&candidate](const auto& entry)
                       {
                           return entry.second.vm == candidate.vm &&
                                  entry.first != candidate.incarnation;
                       });
}

bool remains_member(const freshness& state, const membership_view& view,
                    const membership_options& options, const member& candidate)
{
    return view.leaving.count(candidate.incarnation) == 0 &&
           !is_replaced(view, candidate) &&
           !is_suspect(state, view, options, candidate) &&
           !is_absent(state, view, options, candidate);
}

} // namespace

void absence_tracker::on_vm_list(const vm_states& vms, time_point requested_at,
                                 const fleet_record& record)
{
    requested_at_ = requested_at;
    std::map<std::string, time_point> absent;
    for (const member& item : record.members)
    {
        if (vms.count(item.vm) == 0)
        {
            auto it = absent_since_.find(item.vm);
            absent[item.vm] =
                it == absent_since_.end() ? requested_at : it->second;
        }
    }
    absent_since_ = std::move(absent);
}

bool absence_tracker::absent_for(const std::string& vm, duration length,
                                 time_point now,
                                 const membership_options& options) const
{
    auto since = absent_since_.find(vm);
    return requested_at_ && now - *requested_at_ <= options.vm_list_max_age &&
           since != absent_since_.end() && now - since->second >= length;
}

bool is_suspect(const freshness& state, const membership_view& view,
                const membership_options& options, const member& candidate)
{
    return candidate.incarnation != view.self &&
           silence_duration(state, view, candidate) >
               suspect_timeout(view, options);
}

const member* first_live_member(const freshness& state,
                                const membership_view& view,
                                const membership_options& options)
{
    for (const member& candidate : state.record().members)
    {
        if (view.leaving.count(candidate.incarnation) == 0 &&
            !is_suspect(state, view, options, candidate))
        {
            return &candidate;
        }
    }
    return nullptr;
}

std::optional<fleet_record> next_record(const freshness& state,
                                        const membership_view& view,
                                        const membership_options& options)
{
    if (!view.fresh_since || !view.may_change_record)
    {
        return std::nullopt;
    }
    const member* writer = first_live_member(state, view, options);
    if (writer == nullptr || writer->incarnation != view.self)
    {
        return std::nullopt;
    }
    const fleet_record& current = state.record();
    fleet_record next{current.epoch, {}, {}, {}};
    for (const member& candidate : current.members)
    {
        if (remains_member(state, view, options, candidate))
        {
            next.members.push_back(candidate);
        }
    }
    for (const auto& [id, joining] : view.joining)
    {
        if (current.find(id) == nullptr && view.leaving.count(id) == 0)
        {
            next.members.push_back(joining);
        }
    }
    if (next.members.empty())
    {
        return std::nullopt;
    }
    if (next.members != current.members)
    {
        next.epoch = current.epoch + 1;
        next.previous_members = current.members;
        return next;
    }
    // The change is over: the same epoch without the previous members.
    return current.previous_members.empty() ? std::nullopt
                                            : std::optional(next);
}

std::optional<fleet_record> recovery_record(const freshness& state,
                                            const membership_view& view)
{
    if (!state.all_stopped() || view.joining.count(view.self) == 0)
    {
        return std::nullopt;
    }
    fleet_record next{state.record().epoch + 1, {}, {}, {}};
    for (const auto& [id, joining] : view.joining)
    {
        if (state.record().find(id) == nullptr && view.leaving.count(id) == 0)
        {
            next.members.push_back(joining);
        }
    }
    return next.members.empty() ? std::nullopt : std::optional(next);
}

} // namespace siskinflow
