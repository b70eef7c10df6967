/// @file
/// @brief Interpreter of the state charts in `charts/`.
#pragma once

#include <siskinflow/core/error.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief A state chart read from JSON:
/// `{"name": N, "initial": S, "states": {S: {"on": {EVENT: S2}}}}`.
/// States and events are numbered in the order given by the caller, so that
/// an instance is one integer.
class state_chart
{
public:
    /// @brief Reads a chart.
    /// @param json the document
    /// @param states names in the order of the caller's enum
    /// @param events names in the order of the caller's enum
    /// @return the chart, or `errc::parse_error` if the document names a state
    /// or event that the caller does not know, or the other way round
    static result<state_chart> parse(std::string_view json,
                                     std::vector<std::string_view> states,
                                     std::vector<std::string_view> events);

    /// @brief Number of the initial state.
    std::size_t initial() const
    {
        return initial_;
    }

    /// @brief The state after an event.
    /// @return the next state, or `errc::invalid_argument` if the chart has no
    /// such transition
    result<std::size_t> next(std::size_t state, std::size_t event) const;

private:
    std::size_t initial_ = 0;
    std::size_t event_count_ = 0;
    std::vector<std::size_t> transitions_; ///< By state and event.
    std::vector<std::string> state_names_;
    std::vector<std::string> event_names_;
};

/// @brief Text of `charts/<name>.json`, built into the library.
/// @return the document, or an empty view if there is no such chart
std::string_view chart_text(std::string_view name);

} // namespace siskinflow
