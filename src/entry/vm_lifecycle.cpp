#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/entry/vm_lifecycle.hpp>

#include <array>
#include <utility>

namespace siskinflow
{

namespace
{

constexpr std::array<std::string_view, 5> state_names = {
    "starting", "serving", "leaving", "draining", "stopped"};
constexpr std::array<std::string_view, 4> event_names = {
    "ready", "stop", "lookups_expired", "idle"};

} // namespace

std::string_view name(lifecycle_state state) noexcept
{
    return enum_name(state_names, state);
}

std::string_view name(lifecycle_event event) noexcept
{
    return enum_name(event_names, event);
}

vm_lifecycle::vm_lifecycle()
    : chart_(state_chart::parse(chart_text("vm_lifecycle"),
                                {state_names.begin(), state_names.end()},
                                {event_names.begin(), event_names.end()})
                 .value()),
      state_(static_cast<lifecycle_state>(chart_.initial()))
{
}

bool vm_lifecycle::apply(lifecycle_event event)
{
    const auto next = chart_.next(static_cast<std::size_t>(state_),
                                  static_cast<std::size_t>(event));
    if (!next.has_value())
    {
        return false;
    }
    const lifecycle_state from =
        std::exchange(state_, static_cast<lifecycle_state>(next.value()));
    if (on_change_)
    {
        on_change_(from, state_);
    }
    return true;
}

void vm_lifecycle::on_change(
    std::function<void(lifecycle_state, lifecycle_state)> callback)
{
    on_change_ = std::move(callback);
}

} // namespace siskinflow
