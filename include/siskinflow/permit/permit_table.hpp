/// @file
/// @brief Records the outcomes of the permits of one incarnation.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/net/http_types.hpp>
#include <siskinflow/permit/permit_issuer.hpp>
#include <siskinflow/permit/permit_messages.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief States of `charts/permit.json`.
enum class permit_state : std::uint8_t
{
    issued,
    queued,
    running,
    ran,
    unknown,
    voided, ///< `void` in the chart, which is a keyword here.
};

/// @brief Events of `charts/permit.json`.
enum class permit_event : std::uint8_t
{
    enqueue,
    refuse,
    dispatch,
    complete,
    lose,
    not_started,
};

/// @brief Name of a state as in the chart.
std::string_view name(permit_state state) noexcept;

/// @brief Name of an event as in the chart.
std::string_view name(permit_event event) noexcept;

/// @brief What the data path does with a request that carries a permit.
enum class permit_disposition : std::uint8_t
{
    proceed,        ///< First copy: queue it, then `dispatch` or `refuse`.
    wait_for_first, ///< `wait` for the outcome of the first copy.
    already_ran,    ///< Answer with `permit_result::answer`.
    unknown,        ///< The outcome can't be known.
    voided,         ///< Not run, and never will be.
    expired,        ///< Too old and never used: not run, and never will be.
    invalid,        ///< Not issued for this organisation and route: not run.
    foreign,        ///< Issued by another incarnation: ask `claimed_issuer`.
};

/// @brief Name of a disposition in snake_case.
std::string_view name(permit_disposition disposition) noexcept;

/// @brief Reasons that the table gives for an outcome.
namespace permit_reasons
{
inline constexpr std::string_view expired = "permit_expired";
inline constexpr std::string_view voided = "permit_void";
inline constexpr std::string_view invalid = "permit_invalid";
inline constexpr std::string_view closing = "closing";
inline constexpr std::string_view in_progress = "permit_in_progress";
inline constexpr std::string_view not_retained = "permit_outcome_not_retained";
} // namespace permit_reasons

/// @brief The answer of a request that ran.
struct permit_answer
{
    int status = 0;
    net::http_headers headers;       ///< Empty if not retained.
    std::optional<std::string> body; ///< Absent if not retained.
};

/// @brief Final outcome of a permit.
struct permit_result
{
    permit_state state = permit_state::unknown;  ///< ran, unknown or voided.
    std::shared_ptr<const permit_answer> answer; ///< Set if it ran.
    std::string reason;                          ///< Set if it did not.
};

/// @brief A permit with the request that carries it.
struct permit_claim
{
    std::string_view text;
    std::string_view organisation;
    std::string_view route;
};

/// @brief Result of `permit_table::admit`.
struct permit_admission
{
    permit_disposition disposition = permit_disposition::invalid;
    permit_sequence sequence = 0; ///< For the further calls.
    permit_result end;            ///< For already_ran, unknown, voided.
};

/// @brief Limits of a permit table.
struct permit_limits
{
    /// Time for which an outcome is kept; at least `permit_lifetime`.
    duration retention = std::chrono::minutes(15);
    std::size_t answer_bytes = 64 * 1024; ///< Largest answer retained.
    std::size_t total_answer_bytes = 16 * 1024 * 1024;
    std::size_t waiters_per_permit = 16;
};

/// @brief Counts of a permit table.
struct permit_counts
{
    std::size_t used = 0;       ///< Queued, running, ran or unknown.
    std::size_t in_flight = 0;  ///< Queued or running.
    std::size_t void_bytes = 0; ///< Memory of the set of void permits.
    std::size_t answer_bytes = 0;
};

/// @brief Used permits of this incarnation. A permit is dispatched at most
/// once, and never after it was said not to have run.
class permit_table
{
public:
    using waiter = std::function<void(const permit_result&)>;
    using waiter_id = std::uint64_t;

    /// @param issuer verifies the permits; must outlive the table
    /// @param limits bounds of memory and time
    explicit permit_table(const permit_issuer& issuer,
                          const permit_limits& limits = {});
    ~permit_table();
    permit_table(const permit_table&) = delete;
    permit_table& operator=(const permit_table&) = delete;

    /// @brief Admits a request, or tells why it must not run. After `proceed`
    /// the permit is queued.
    /// @param claim permit, organisation and route of the request
    /// @param now the current time
    permit_admission admit(const permit_claim& claim, time_point now);

    /// @brief Allows the request to be handed to a target.
    /// @return `errc::stale` if the permit has expired in the queue, in which
    /// case it is void; `errc::invalid_argument` if it is not queued. After an
    /// error the request must not be sent.
    result<void> dispatch(permit_sequence sequence, time_point now);

    /// @brief Records the answer of the target.
    /// @param body nothing if it exceeded `permit_limits::answer_bytes`
    result<void> complete(permit_sequence sequence, int status,
                          net::http_headers headers,
                          std::optional<std::string> body, time_point now);

    /// @brief Records that the outcome can't be known.
    result<void> mark_unknown(permit_sequence sequence, std::string_view reason,
                              time_point now);

    /// @brief Voids a queued permit, before "not run" is answered.
    result<void> refuse(permit_sequence sequence, std::string_view reason);

    /// @brief Voids a running permit of which it is known that the target
    /// did not start it, before "not run" is answered.
    result<void> not_started(permit_sequence sequence, std::string_view reason);

    /// @brief Registers a callback by which a copy of a request gets the
    /// outcome of the first one.
    /// @return the id for `cancel_wait`; `errc::invalid_argument` if the
    /// permit is not in progress; `errc::too_large` if too many copies wait,
    /// in which case the outcome is unknown to this copy
    result<waiter_id> wait(permit_sequence sequence, waiter callback);

    /// @brief Removes a waiter; one that was called already is ignored.
    void cancel_wait(permit_sequence sequence, waiter_id id);

    /// @brief Answers a query of another VM. Voids a permit that has not been
    /// used.
    permit_outcome query(const permit_query& question, time_point now);

    /// @brief Removes outcomes beyond their retention. `admit` and `query` do
    /// so as well.
    void expire(time_point now);

    /// @brief Ends the use of permits: queued ones and all that have not been
    /// used become void, and running ones are stated as unknown.
    /// @return the statement to hand to other VMs
    closing_statement close();

    /// @brief Current counts.
    permit_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
