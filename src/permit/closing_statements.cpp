#include <siskinflow/permit/closing_statements.hpp>

#include <algorithm>

namespace siskinflow
{

namespace
{

permit_outcome outcome_of(permit_verdict verdict, std::string_view reason)
{
    permit_outcome outcome;
    outcome.verdict = verdict;
    outcome.reason = reason;
    return outcome;
}

permit_outcome listed_outcome(const used_permit& used)
{
    permit_outcome outcome;
    outcome.verdict = used.verdict;
    outcome.status = used.status;
    return outcome;
}

bool has_lower_sequence(const used_permit& left, const used_permit& right)
{
    return left.sequence < right.sequence;
}

bool is_consistent(const closing_statement& statement)
{
    const bool in_range =
        std::all_of(statement.used.begin(), statement.used.end(),
                    [&](const used_permit& used)
                    {
                        return used.sequence <= statement.last_sequence &&
                               (used.verdict == permit_verdict::ran ||
                                used.verdict == permit_verdict::unknown);
                    });
    return in_range && statement.used.size() <= max_statement_permits &&
           statement.complete_above <= statement.last_sequence &&
           statement.truncated == (statement.omitted > 0);
}

permit_outcome look_up(const closing_statement& statement,
                       permit_sequence sequence, const permit_claim& claim)
{
    const auto& used = statement.used;
    const auto listed =
        std::lower_bound(used.begin(), used.end(),
                         used_permit{sequence, 0, permit_verdict::unknown, 0},
                         has_lower_sequence);
    if (listed != used.end() && listed->sequence == sequence)
    {
        const std::uint64_t digest =
            permit_digest(claim.text, claim.organisation, claim.route);
        return listed->digest == digest ? listed_outcome(*listed)
                                        : outcome_of(permit_verdict::invalid,
                                                     permit_reasons::invalid);
    }
    if (sequence <= statement.complete_above)
    {
        return outcome_of(permit_verdict::unknown,
                          permit_reasons::not_retained);
    }
    return outcome_of(permit_verdict::not_run, permit_reasons::voided);
}

} // namespace

closing_statements::closing_statements(duration retention,
                                       std::size_t max_permits)
    : retention_(retention), max_permits_(max_permits)
{
}

result<void> closing_statements::accept(closing_statement statement,
                                        time_point now)
{
    expire(now);
    if (!is_consistent(statement))
    {
        return fail(errc::parse_error, "closing statement of incarnation " +
                                           to_string(statement.incarnation) +
                                           " has inconsistent fields");
    }
    const bool already_received = std::any_of(
        statements_.begin(), statements_.end(),
        [&](const received_statement& other)
        { return other.statement.incarnation == statement.incarnation; });
    if (already_received)
    {
        return ok();
    }
    std::sort(statement.used.begin(), statement.used.end(), has_lower_sequence);
    listed_permits_ += statement.used.size();
    statements_.push_back({std::move(statement), now});
    while (listed_permits_ > max_permits_)
    {
        listed_permits_ -= statements_.front().statement.used.size();
        statements_.pop_front();
    }
    return ok();
}

std::optional<permit_outcome>
closing_statements::find(const permit_claim& claim, time_point now)
{
    expire(now);
    const auto issuer = claimed_issuer(claim.text);
    const auto sequence = claimed_sequence(claim.text);
    if (!issuer || !sequence)
    {
        return std::nullopt;
    }
    for (const received_statement& candidate : statements_)
    {
        if (candidate.statement.incarnation == issuer.value())
        {
            return look_up(candidate.statement, sequence.value(), claim);
        }
    }
    return std::nullopt;
}

std::size_t closing_statements::size() const
{
    return statements_.size();
}

void closing_statements::expire(time_point now)
{
    while (!statements_.empty() &&
           now - statements_.front().received_at >= retention_)
    {
        listed_permits_ -= statements_.front().statement.used.size();
        statements_.pop_front();
    }
}

} // namespace siskinflow
