/// @file
/// @brief Decides when a watch is given up; internal to the store client.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace siskinflow
{

/// @brief What a mirror does about its running watch.
enum class watch_action : std::uint8_t
{
    keep,
    watch_again, ///< Its answer is missing.
    list,        ///< Its answer is missing again, or longer than a listing.
};

/// @brief Name of an action in snake_case, "unknown" if undefined.
std::string_view name(watch_action value) noexcept;

/// @brief A running watch as a mirror sees it.
struct watch_observation
{
    duration overdue{0};            ///< Since its answer should have begun.
    duration allowed{0};            ///< Longest such time.
    std::size_t bytes_received = 0; ///< Of its answer.
    duration arriving{0};           ///< Since the first of these bytes.
    duration stalled{0};            ///< Since the last of these bytes.
    std::size_t listing_bytes = 0;  ///< About what a listing would bring.
};

/// @brief Decides when a watch is given up, and for what.
///
/// Addresses the load of a mirror that is behind by many versions of a large
/// entry while other VMs confirm a new version several times a second: a watch
/// that is given up for each of them never brings any. A watch is therefore
/// kept while its answer arrives. What takes its place asks for less, a
/// listing, or gets twice the time.
class watch_supervision
{
public:
    watch_supervision();

    /// @brief Time that the answer to a watch may take to begin once the store
    /// has something to tell.
    duration patience() const
    {
        return patience_;
    }

    watch_action judge(const watch_observation& watch) const;

    /// @brief A watch was given up before its answer had begun.
    void on_unanswered();

    /// @brief A listing takes the place of a watch.
    void on_listing();

    /// @brief A watch or a listing was answered.
    /// @param took time to the answer since it was due, if that is known
    void on_answered(std::optional<duration> took);

private:
    duration patience_;
    unsigned unanswered_ = 0; ///< Watches in a row.
};

} // namespace siskinflow
