/// @file
/// @brief Messages between the holders and the owner of a budget.
///
/// Both messages carry state, not changes: sizes are absolute and transferred
/// tokens are cumulative totals, so a lost, repeated or late message can't
/// transfer anything twice.
#pragma once

#include <siskinflow/budget/budget_spec.hpp>
#include <siskinflow/control/message_type.hpp>
#include <siskinflow/core/ids.hpp>

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace siskinflow
{

/// @brief Share and demand of a holder in one budget.
struct report_entry
{
    budget_id budget;
    std::uint64_t generation = 0; ///< Generation of the grant last applied.
    std::uint32_t applied_sequence = 0; ///< Sequence of the grant last applied.
    float size = 0;                     ///< Rate or units held.
    float burst = 0;                    ///< Burst held.
    float level = 0;            ///< Tokens held, or units not asked back.
    double tokens_returned = 0; ///< Tokens returned in this generation.
    std::uint32_t in_flight = 0;
    float demand = 0;         ///< Arrivals per second, or units in use.
    std::uint32_t queued = 0; ///< Requests waiting for this share.
    float request_cost = 0;   ///< Tokens that one request takes.

    bool operator==(const report_entry&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(budget, generation, applied_sequence, size, burst, level,
                tokens_returned, in_flight, demand, queued, request_cost);
    }
};

/// @brief Message from holder to owner. The sequence counts the holder's
/// messages and so orders the reports on each budget.
struct share_report
{
    static constexpr control::message_type type =
        control::message_type::share_report;

    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::int64_t timestamp = 0; ///< Send time; only the holder reads it.
    bool leaving = false;       ///< The holder stops and wants no share.
    std::vector<report_entry> entries;

    bool operator==(const share_report&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(epoch, sequence, timestamp, leaving, entries);
    }
};

/// @brief Granted share of one budget.
struct grant_entry
{
    budget_id budget;
    std::uint64_t generation = 0; ///< Scope of the sequence and the total.
    std::uint32_t sequence = 0;   ///< Orders sizes; equal means renewal only.
    float size = 0;               ///< Rate or units.
    float burst = 0;
    double tokens_granted = 0; ///< Tokens granted in this generation.
    bool saturated = false;    ///< The whole budget is in use.

    bool operator==(const grant_entry&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(budget, generation, sequence, size, burst, tokens_granted,
                saturated);
    }
};

/// @brief Message from owner to holder.
struct share_grant
{
    static constexpr control::message_type type =
        control::message_type::share_grant;

    std::uint64_t epoch = 0;
    std::int64_t timestamp = 0; ///< Of the report that is answered.
    std::uint32_t lease_ms = 0; ///< Lease, counted from `timestamp`.
    std::vector<grant_entry> entries;

    bool operator==(const share_grant&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(epoch, timestamp, lease_ms, entries);
    }
};

/// @brief Bytes of a datagram reserved for the header of the codec.
constexpr std::size_t codec_header_allowance = 64;

/// @brief Bytes of a report without entries: the fields and the length.
constexpr std::size_t report_header_bytes = 8 + 8 + 8 + 1 + 8;
constexpr std::size_t report_entry_bytes =
    8 + 8 + 4 + 4 + 4 + 4 + 8 + 4 + 4 + 4 + 4;
constexpr std::size_t grant_header_bytes = 8 + 8 + 4 + 8;
constexpr std::size_t grant_entry_bytes = 8 + 8 + 4 + 4 + 4 + 8 + 1;

/// @brief Most entries that fit into a datagram.
constexpr std::size_t max_report_entries =
    (control::max_datagram_bytes - codec_header_allowance -
     report_header_bytes) /
    report_entry_bytes;
constexpr std::size_t max_grant_entries =
    (control::max_datagram_bytes - codec_header_allowance -
     grant_header_bytes) /
    grant_entry_bytes;

/// @brief A report and its receiver.
struct addressed_report
{
    incarnation_id owner;
    share_report message;
};

/// @brief A grant and its receiver.
struct addressed_grant
{
    incarnation_id holder;
    share_grant message;
};

} // namespace siskinflow
