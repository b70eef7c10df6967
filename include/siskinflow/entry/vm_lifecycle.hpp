/// @file
/// @brief Lifecycle of an entry process; the transitions are read from
/// `charts/vm_lifecycle.json`.
#pragma once

#include <siskinflow/core/state_chart.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace siskinflow
{

/// @brief States of `charts/vm_lifecycle.json`.
enum class lifecycle_state : std::uint8_t
{
    starting, ///< No configuration yet.
    serving,
    leaving,  ///< Serves, but lookups no longer return it.
    draining, ///< Finishes the requests in progress.
    stopped,
};

/// @brief Events of `charts/vm_lifecycle.json`.
enum class lifecycle_event : std::uint8_t
{
    ready,
    stop,
    lookups_expired,
    idle,
};

std::string_view name(lifecycle_state state) noexcept;
std::string_view name(lifecycle_event event) noexcept;

/// @brief Current state of this process.
class vm_lifecycle
{
public:
    vm_lifecycle();

    lifecycle_state state() const
    {
        return state_;
    }

    /// @brief Whether new requests are accepted.
    bool accepts_requests() const
    {
        return state_ == lifecycle_state::serving ||
               state_ == lifecycle_state::leaving;
    }

    /// @brief Applies an event; one without a transition from the
    /// current state is ignored.
    /// @return whether the state changed
    bool apply(lifecycle_event event);

    /// @brief Called after each change.
    void on_change(
        std::function<void(lifecycle_state from, lifecycle_state to)> callback);

private:
    state_chart chart_;
    lifecycle_state state_;
    std::function<void(lifecycle_state, lifecycle_state)> on_change_;
};

} // namespace siskinflow
