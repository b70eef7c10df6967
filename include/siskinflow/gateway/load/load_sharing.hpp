/// @file
/// @brief Load reports of targets that the VMs of a failure domain tell each
/// other.
///
/// Load pattern: many VMs with a few requests per second each, and several
/// hundred targets. One VM hears of a target every few seconds, so all of them
/// would choose the same target that was idle then. Together they hear of it
/// many times per second.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/gateway/load/load_report.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinflow::gateway
{

/// @brief A load report in a message between VMs.
struct shared_load
{
    std::uint32_t target = 0; ///< See `target_number`.
    std::uint16_t running = 0;
    std::uint16_t waiting = 0;
    std::uint16_t pace_percent = 0; ///< 0: not told.
    std::uint16_t age_ms = 0;       ///< When the message was sent.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(target, running, waiting, pace_percent, age_ms);
    }
};

/// @brief Number of a target in `shared_load`.
std::uint32_t target_number(std::string_view id);

/// @brief Reports of one message, the newest first, and their age at most.
constexpr std::size_t max_shared_loads = 64;
constexpr duration max_shared_load_age = std::chrono::seconds(2);

/// @brief Reports that this VM received since its last message.
class load_outbox
{
public:
    /// @brief Keeps a report; it replaces an earlier one of the same target.
    void record(std::string_view target, const load_report& report,
                time_point now);

    /// @brief Removes and returns the reports for the next message, the newest
    /// first.
    std::vector<shared_load> take(time_point now);

private:
    struct entry
    {
        load_report report;
        time_point received_at;
    };

    std::unordered_map<std::uint32_t, entry> entries_; ///< By target number.
};

/// @brief Converts a report of another VM.
/// @param slots of the target, as this VM knows it
load_report to_load_report(const shared_load& shared, unsigned slots);

} // namespace siskinflow::gateway
