/// @file
/// @brief What the attempts of a request prove: whether it may have run.
#pragma once

#include <siskinflow/gateway/attempt_result.hpp>
#include <siskinflow/net/answer_position.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace siskinflow::gateway
{

/// @brief Why it is certain that a request has not run and never will.
enum class not_run_reason : std::uint8_t
{
    never_sent,  ///< No attempt was made.
    not_written, ///< Nothing was written to a connection in the last attempt.
    rejected,    ///< The target of the last attempt rejected it.
    misdirected, ///< Another target answered at the address.
};

/// @brief Name of a reason in snake_case, "unknown" if undefined.
std::string_view name(not_run_reason value) noexcept;

/// @brief Proof that a request has not run and never will. Whoever promises
/// that to the caller needs one, and only `attempt_history` gives it.
class not_run_proof
{
public:
    not_run_reason reason() const
    {
        return reason_;
    }

    /// @brief Where the answer was read on which the proof rests; not
    /// conclusive if it rests on no answer.
    const net::answer_position& position() const
    {
        return position_;
    }

private:
    friend class attempt_history;
    not_run_proof(not_run_reason reason, const net::answer_position& position)
        : reason_(reason), position_(position)
    {
    }

    not_run_reason reason_;
    net::answer_position position_;
};

/// @brief Permission to send a request to a target: it has not run, or may run
/// more than once. Only `attempt_history` gives it.
class send_permission
{
private:
    friend class attempt_history;
    send_permission() = default;
};

/// @brief The attempts of one request id.
class attempt_history
{
public:
    /// @brief An attempt begins.
    void on_started(send_permission permission);

    /// @brief The attempt in progress has ended.
    /// @param result how it ended
    /// @param written whether its connection was established, so that bytes of
    /// the request may have reached the target
    /// @param position where its answer was read; an answer proves nothing
    /// unless this is conclusive
    void on_ended(attempt_result result, bool written,
                  const net::answer_position& position);

    /// @brief Proof that the request has not run and never will.
    /// @return nothing if an attempt is in progress or may have run
    std::optional<not_run_proof> not_run() const;

    /// @brief As `not_run`, for an answer that tells the caller. Nothing can be
    /// sent after that until a caller requests it again.
    std::optional<not_run_proof> report_not_run();

    /// @brief A caller sends the request once more: after a report it may be
    /// sent again.
    void on_requested()
    {
        reported_not_run_ = false;
    }

    /// @brief Permission for a further attempt.
    /// @param idempotent whether the request may run more than once
    /// @return nothing if the request might then run twice and must not, if an
    /// attempt is in progress, or if the caller was told that it has not run
    std::optional<send_permission> may_send(bool idempotent) const;

    /// @brief Attempts that have ended and may have run.
    unsigned possible_runs() const
    {
        return possible_runs_;
    }

private:
    not_run_proof last_proof_{not_run_reason::never_sent, {}};
    unsigned possible_runs_ = 0;
    bool in_progress_ = false;
    bool reported_not_run_ = false;
};

} // namespace siskinflow::gateway
