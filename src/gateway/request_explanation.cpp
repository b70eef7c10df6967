#include "request_explanation.hpp"

#include "entry/http_api.hpp"
#include <siskinflow/admission/refusal.hpp>
#include <siskinflow/gateway/choice_explanation.hpp>
#include <siskinflow/gateway/wait_decision.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

using nlohmann::json;

/// A request with its route and organisation.
struct resolved_request
{
    const explained_request& request;
    const route_policy& route;
    const organisation_policy* organisation;
};

json target_json(const explained_target& entry)
{
    json out = {{"target", entry.id},
                {"failure_domain", entry.failure_domain},
                {"region", entry.region}};
    if (entry.excluded != target_exclusion::none)
    {
        out["excluded"] = name(entry.excluded);
    }
    if (entry.slots > 0)
    {
        out["rank"] = entry.rank;
        out["object"] = name(entry.object);
        out["warm_chance"] = entry.warm_chance;
        out["load"] = entry.load;
        out["slots"] = entry.slots;
        out["expected_ms"] = to_ms(entry.expected);
    }
    return out;
}

/// What becomes of the request if no target can take it.
json queue_json(const gateway_state& state, const resolved_request& resolved,
                const choice_request& choice, const choice_outcome& outcome)
{
    const time_point now = state.now();
    const route_policy& route = resolved.route;
    const waiting_rank rank{resolved.organisation == nullptr
                                ? route.priority
                                : resolved.organisation->priority,
                            route.priority};
    const std::string service(choice.service);
    const wait_queue* queue = state.find_queue(service);
    const wait_queue none;
    const wait_queue& used = queue == nullptr ? none : *queue;
    duration expected = used.expected_wait(rank, now);
    if (const auto wanted = state.chooser.wanted_again_at(choice, now))
    {
        expected = std::max<duration>(expected, *wanted - now);
    }
    json out = {{"waiting", used.size()},
                {"expected_wait_ms", to_ms(expected)}};
    if (outcome.choice)
    {
        out["answer"] = "not_needed";
        return out;
    }
    const bool waits =
        may_wait({outcome.failure, expected, duration::zero(), route.objective,
                  choice.work.warm, choice.remaining.deadline});
    out["answer"] = waits ? "waits" : "refused";
    return out;
}

json service_json(const gateway_state& state, const resolved_request& resolved,
                  const weighted_service& entry)
{
    const route_policy& route = resolved.route;
    const work_estimate* work = state.find_work(route, entry.service);
    const region_split* split = state.find_split(entry.service);
    choice_request choice;
    choice.service = entry.service;
    if (route.affinity && !resolved.request.object.empty())
    {
        choice.object = object_hash(resolved.request.object, entry.service);
    }
    choice.region_allowed = [&](std::string_view region)
    { return region_allowed(route, resolved.organisation, region); };
    choice.prefer_other_regions =
        choice.object && split != nullptr && split->selects(*choice.object);
    choice.work = work == nullptr
                      ? work_estimate(route.objective, route.timeout).current()
                      : work->current();
    choice.remaining = {route.objective, route.timeout};
    const choice_explanation explained =
        state.chooser.explain(choice, state.now());
    json out = {
        {"service", entry.service},
        {"weight", entry.weight},
        {"other_regions_first", choice.prefer_other_regions},
        {"target", nullptr},
        {"queue", queue_json(state, resolved, choice, explained.outcome)},
        {"targets", json::array()}};
    if (explained.outcome.choice)
    {
        const target_choice& chosen = *explained.outcome.choice;
        out["target"] = chosen.chosen->record().id;
        out["rank"] = chosen.place.rank;
        out["expected_ms"] = to_ms(chosen.place.expected);
        out["on_time"] = chosen.place.on_time;
    }
    else
    {
        out["failure"] = name(explained.outcome.failure);
    }
    for (const explained_target& item : explained.targets)
    {
        out["targets"].push_back(target_json(item));
    }
    return out;
}

json quota_json(const gateway_state& state,
                const organisation_policy& organisation)
{
    json out = {{"rate_per_s", organisation.rate_per_s},
                {"burst", organisation.burst}};
    const auto found = state.shares.find(organisation.name);
    if (organisation.rate_per_s > 0 && found != state.shares.end())
    {
        const rate_share& share = found->second;
        out["left"] = share.left(state.now());
        out["vm_fraction"] = share.fraction();
        out["admits"] = share.would_admit(state.now());
        out["retry_after_ms"] = to_ms(share.wait_time(state.now()));
    }
    return out;
}

const organisation_policy* find_by_name(const policy& document,
                                        const std::string& wanted)
{
    const auto found = std::find_if(
        document.organisations.begin(), document.organisations.end(),
        [&](const organisation_policy& entry) { return entry.name == wanted; });
    return found == document.organisations.end() ? nullptr : &*found;
}

/// The checks of `request_flow::admit` that concern the route and the key.
std::optional<refusal_reason>
refusal_of(const gateway_state& state, const route_policy* route,
           const organisation_policy* organisation,
           const explained_request& request)
{
    if (route == nullptr)
    {
        return refusal_reason::unknown_route;
    }
    if (!state.policy->document().keys_required || route->open)
    {
        return std::nullopt;
    }
    if (request.organisation.empty())
    {
        return refusal_reason::missing_key;
    }
    if (!state.accepts_keys())
    {
        return refusal_reason::not_fresh;
    }
    return organisation == nullptr ? std::optional(refusal_reason::unknown_key)
                                   : std::nullopt;
}

json document_of(const gateway_state& state, const explained_request& request)
{
    json out = {{"vm", state.settings.self.name},
                {"host", request.host},
                {"path", request.path},
                {"object", request.object}};
    if (state.policy == nullptr)
    {
        out["refused"] = name(refusal_reason::no_configuration);
        return out;
    }
    out["version"] = state.policy->document().version;
    const route_policy* route =
        state.policy->find_route(request.host, request.path);
    const organisation_policy* organisation =
        find_by_name(state.policy->document(), request.organisation);
    if (route != nullptr)
    {
        out["route"] = route->name;
    }
    if (const auto refused = refusal_of(state, route, organisation, request))
    {
        out["refused"] = name(*refused);
        return out;
    }
    if (route->open || !state.policy->document().keys_required)
    {
        organisation = nullptr; // As for a request, whose key is not read.
    }
    if (organisation != nullptr)
    {
        out["organisation"] = organisation->name;
        out["quota"] = quota_json(state, *organisation);
        if (!out["quota"].value("admits", true))
        {
            out["refused"] = name(refusal_reason::rate_exceeded);
        }
    }
    out["services"] = json::array();
    for (const weighted_service& entry : route->services)
    {
        out["services"].push_back(
            service_json(state, {request, *route, organisation}, entry));
    }
    return out;
}

} // namespace

explained_request read_explained_request(std::string_view query)
{
    return {entry::query_value(query, "host"),
            entry::query_value(query, "path"),
            entry::query_value(query, "organisation"),
            entry::query_value(query, "object")};
}

net::http_response explain_request(const gateway_state& state,
                                   const explained_request& request)
{
    return {200,
            {{"content-type", "application/json"}},
            document_of(state, request)
                    .dump(-1, ' ', false, json::error_handler_t::replace) +
                "\n"};
}

} // namespace siskinflow::gateway
