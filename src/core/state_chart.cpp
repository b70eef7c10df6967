#include <siskinflow/core/state_chart.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace siskinflow
{

namespace
{

constexpr std::size_t no_transition = std::numeric_limits<std::size_t>::max();

std::optional<std::size_t> index_of(const std::vector<std::string>& names,
                                    std::string_view name)
{
    auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - names.begin());
}

} // namespace

result<state_chart> state_chart::parse(std::string_view json,
                                       std::vector<std::string_view> states,
                                       std::vector<std::string_view> events)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object() || !document.contains("states") ||
        !document["states"].is_object())
    {
        return fail(errc::parse_error, "state chart has no object 'states'");
    }
    state_chart chart;
    chart.state_names_.assign(states.begin(), states.end());
    chart.event_names_.assign(events.begin(), events.end());
    chart.event_count_ = events.size();
    chart.transitions_.assign(states.size() * events.size(), no_transition);
    if (document["states"].size() != states.size())
    {
        return fail(errc::parse_error,
                    "state chart and code have different states");
    }
    for (const auto& [state, body] : document["states"].items())
    {
        const auto from = index_of(chart.state_names_, state);
        if (!from)
        {
            return fail(errc::parse_error,
                        "state '" + state + "' is not known to the code");
        }
        const auto on_events = body.value("on", nlohmann::json::object());
        for (const auto& [event, target] : on_events.items())
        {
            const auto event_index = index_of(chart.event_names_, event);
            const auto to =
                target.is_string()
                    ? index_of(chart.state_names_, target.get<std::string>())
                    : std::nullopt;
            if (!event_index || !to)
            {
                return fail(errc::parse_error, "state '" + state +
                                                   "' has a transition on '" +
                                                   event +
                                                   "' that the code "
                                                   "does not know");
            }
            chart.transitions_[*from * chart.event_count_ + *event_index] = *to;
        }
    }
    const auto initial =
        index_of(chart.state_names_, document.value("initial", std::string()));
    if (!initial)
    {
        return fail(errc::parse_error,
                    "state chart has no known 'initial' state");
    }
    chart.initial_ = *initial;
    return chart;
}

result<std::size_t> state_chart::next(std::size_t state,
                                      std::size_t event) const
{
    const std::size_t target = transitions_.at(state * event_count_ + event);
    if (target == no_transition)
    {
        return fail(errc::invalid_argument, "state '" + state_names_[state] +
                                                "' has no transition on '" +
                                                event_names_[event] + "'");
    }
    return target;
}

} // namespace siskinflow
