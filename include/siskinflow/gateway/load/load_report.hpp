/// @file
/// @brief Load that a target reports with its answers.
#pragma once

#include <optional>

namespace siskinflow::gateway
{

/// @brief A target's own count of its requests and its present pace.
struct load_report
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Ratio of the present to the usual work time on the target's machine;
    /// empty if the target does not tell.
    std::optional<double> pace = std::nullopt;
};

/// @brief Lowest and highest pace that is believed. A target that reports
/// anything else is still used, and its measured work time corrects the rest.
constexpr double min_pace = 0.1;
constexpr double max_pace = 20;

/// @brief Whether a report can be true: it names slots, and not more than ten
/// requests for each of them.
constexpr bool is_plausible(const load_report& report)
{
    constexpr unsigned max_requests_per_slot = 10;
    return report.slots > 0 && report.slots < 1U << 20 &&
           report.running <= report.slots * max_requests_per_slot &&
           report.waiting <= report.slots * max_requests_per_slot;
}

} // namespace siskinflow::gateway
