/// @file
/// @brief Messages between VMs about permits.
#pragma once

#include <siskinflow/control/message_type.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/permit/permit_issuer.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinflow
{

/// @brief Outcome of a permit as stated by its issuer.
enum class permit_verdict : std::uint8_t
{
    not_run = 1,     ///< It has not run and never will.
    ran = 2,         ///< It ran and was answered.
    unknown = 3,     ///< It may have run.
    in_progress = 4, ///< It is queued or running; ask again.
    invalid = 5,     ///< Not issued for this organisation and route.
};

/// @brief Name of a verdict in snake_case, "unknown" if undefined.
std::string_view name(permit_verdict verdict) noexcept;

/// @brief Asks the issuer for the outcome of a permit. The issuer voids one
/// that has not been used.
struct permit_query
{
    static constexpr control::message_type type =
        control::message_type::permit_query;

    std::string permit; ///< Text form.
    std::string organisation;
    std::string route;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(permit, organisation, route);
    }
};

/// @brief Answer to a `permit_query`.
struct permit_outcome
{
    static constexpr control::message_type type =
        control::message_type::permit_outcome;

    permit_verdict verdict = permit_verdict::unknown;
    std::string reason;       ///< Why it was not run or is unknown.
    std::uint16_t status = 0; ///< HTTP status if it ran.
    bool answer_retained = false;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(verdict, reason, status, answer_retained, headers, body);
    }
};

/// @brief Outcome of one used permit in a closing statement.
struct used_permit
{
    permit_sequence sequence = 0;
    std::uint64_t digest = 0; ///< `permit_digest` of permit and request.
    permit_verdict verdict = permit_verdict::unknown;
    std::uint16_t status = 0; ///< HTTP status if it ran.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sequence, digest, verdict, status);
    }
};

/// @brief Largest number of permits in a closing statement: 19 bytes each
/// make 912,000 bytes, below the limit of 1 MB per message.
constexpr std::size_t max_statement_permits = 48'000;

/// @brief Final statement of an incarnation about its permits. Every permit
/// above `complete_above` that is not listed is permanently void.
struct closing_statement
{
    static constexpr control::message_type type =
        control::message_type::closing_statement;

    incarnation_id incarnation;
    permit_sequence last_sequence = 0; ///< Issued last.
    /// Permits up to this one may have run without being listed.
    permit_sequence complete_above = 0;
    bool truncated = false;    ///< Retained outcomes were left out.
    std::uint64_t omitted = 0; ///< Number of outcomes left out.
    std::vector<used_permit> used;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, last_sequence, complete_above, truncated, omitted,
                used);
    }
};

/// @brief Hash of the text of a permit, its organisation and route, for
/// VMs that can't verify its signature.
std::uint64_t permit_digest(std::string_view text,
                            std::string_view organisation,
                            std::string_view route);

} // namespace siskinflow
