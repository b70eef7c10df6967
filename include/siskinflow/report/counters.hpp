/// @file
/// @brief Request counters of one incarnation for the final report.
#pragma once

#include <siskinflow/control/message_type.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/core/ids.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace siskinflow
{

/// @brief Number of requests with one reason.
struct reason_count
{
    std::string reason;
    std::uint64_t count = 0;

    bool operator==(const reason_count&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(reason, count);
    }
};

/// @brief Sum over all reasons.
std::uint64_t total(const std::vector<reason_count>& reasons);

/// @brief Adds to the count of a reason.
void add_reason(std::vector<reason_count>& reasons, std::string_view reason,
                std::uint64_t count = 1);

/// @brief Cumulative counts of one route, organisation and target. A
/// received request is counted in the row with an empty target, its outcome in
/// the row of the target at which it ended.
struct counter_row
{
    std::string route;
    std::string organisation;
    std::string target; ///< Empty before a target was chosen.
    std::uint64_t received = 0;
    std::uint64_t ran = 0;
    std::vector<reason_count> not_run;
    std::vector<reason_count> unknown;
    /// Labels of the permits of unknown non-idempotent requests.
    std::vector<std::string> unknown_permits;
    std::uint64_t unknown_permits_omitted = 0;

    bool operator==(const counter_row&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(route, organisation, target, received, ran, not_run, unknown,
                unknown_permits, unknown_permits_omitted);
    }
};

/// @brief Snapshot of all rows of an incarnation.
struct counter_copy
{
    incarnation_id incarnation;
    std::uint64_t version = 0; ///< Grows with each copy.
    bool final = false;        ///< Nothing is counted after this copy.
    std::vector<counter_row> rows;

    bool operator==(const counter_copy&) const = default;
};

/// @brief Message with a part of a copy.
struct counters
{
    static constexpr control::message_type type =
        control::message_type::counters;

    incarnation_id incarnation;
    std::uint64_t version = 0;
    bool final = false;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<counter_row> rows;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, version, final, part, parts, rows);
    }
};

/// @brief Maximum size of a part in bytes; leaves room for the envelope below
/// the limit of 1 MB per message.
constexpr std::size_t max_counters_bytes = 900'000;

/// @brief Splits a copy into messages.
/// @param max_bytes maximum size of one message, exceeded only by a single
/// larger row
std::vector<counters> split(const counter_copy& copy,
                            std::size_t max_bytes = max_counters_bytes);

/// @brief JSON document of a copy, for the store.
std::string to_json(const counter_copy& copy);

/// @brief Reads the form that `to_json` writes.
/// @return the copy, or `errc::parse_error`
result<counter_copy> parse_counter_copy(std::string_view json);

/// @brief Counters of this incarnation.
class counter_set
{
public:
    /// @brief Maximum number of permit labels kept over all rows; each takes
    /// 61 bytes in a message.
    static constexpr std::size_t max_unknown_permits = 4096;

    explicit counter_set(const incarnation_id& incarnation);

    /// @brief Finds or creates a row. Only names from the configuration may be
    /// given, because rows are never removed.
    /// @return a reference that stays valid for the life of the set
    counter_row& row(std::string_view route, std::string_view organisation,
                     std::string_view target = {});

    /// @brief Counts a request from a caller, before its outcome is counted.
    void count_received(std::string_view route, std::string_view organisation);

    /// @brief Counts a complete answer of a target.
    void count_ran(counter_row& row);

    /// @brief Counts a refusal that is known not to have run.
    void count_not_run(counter_row& row, std::string_view reason);

    /// @brief Counts a request that may have run.
    /// @param permit_label label of its permit, empty if it is idempotent
    void count_unknown(counter_row& row, std::string_view reason,
                       std::string_view permit_label = {});

    /// @brief Copies all rows under a new version.
    /// @param final whether this is the last copy
    counter_copy copy(bool final = false);

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    using row_key_view =
        std::tuple<std::string_view, std::string_view, std::string_view>;

    /// Transparent order that finds rows without copying the names.
    struct row_key_less
    {
        using is_transparent = void;

        bool operator()(const row_key_view& left,
                        const row_key_view& right) const
        {
            return left < right;
        }
    };

    incarnation_id incarnation_;
    std::uint64_t version_ = 0;
    std::size_t unknown_permit_count_ = 0;
    std::map<row_key, counter_row, row_key_less> rows_;
};

} // namespace siskinflow
