#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/gateway/attempt_history.hpp>

#include <array>

namespace siskinflow::gateway
{

namespace
{

constexpr std::array<std::string_view, 9> result_names = {
    "answered", "failed",    "rejected",  "misdirected", "unreachable",
    "broken",   "no_answer", "abandoned", "withdrawn"};

constexpr std::array<std::string_view, 4> reason_names = {
    "never_sent", "not_written", "rejected", "misdirected"};

/// What the end of an attempt proves; nothing if it may have run.
std::optional<not_run_reason> proof_of(attempt_result result, bool written,
                                       const net::answer_position& position)
{
    if (!written)
    {
        return not_run_reason::not_written;
    }
    if (!position.conclusive())
    {
        return std::nullopt;
    }
    switch (result)
    {
    case attempt_result::rejected:
        return not_run_reason::rejected;
    case attempt_result::misdirected:
        return not_run_reason::misdirected;
    default:
        return std::nullopt;
    }
}

} // namespace

std::string_view name(attempt_result value) noexcept
{
    return enum_name(result_names, value);
}

std::string_view name(not_run_reason value) noexcept
{
    return enum_name(reason_names, value);
}

void attempt_history::on_started(send_permission /*permission*/)
{
    in_progress_ = true;
}

void attempt_history::on_ended(attempt_result result, bool written,
                               const net::answer_position& position)
{
    in_progress_ = false;
    if (const auto reason = proof_of(result, written, position))
    {
        last_proof_ = not_run_proof(*reason, position);
        return;
    }
    ++possible_runs_;
}

std::optional<not_run_proof> attempt_history::not_run() const
{
    if (in_progress_ || possible_runs_ > 0)
    {
        return std::nullopt;
    }
    return last_proof_;
}

std::optional<not_run_proof> attempt_history::report_not_run()
{
    const auto proof = not_run();
    reported_not_run_ = proof.has_value();
    return proof;
}

std::optional<send_permission> attempt_history::may_send(bool idempotent) const
{
    if (in_progress_ || reported_not_run_ ||
        (possible_runs_ > 0 && !idempotent))
    {
        return std::nullopt;
    }
    return send_permission();
}

} // namespace siskinflow::gateway
