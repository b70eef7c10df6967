#include "void_set.hpp"
#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/core/state_chart.hpp>
#include <siskinflow/permit/permit_table.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinflow
{

namespace
{

constexpr std::array<std::string_view, 6> state_names = {
    "issued", "queued", "running", "ran", "unknown", "void"};
constexpr std::array<std::string_view, 6> event_names = {
    "enqueue", "refuse", "dispatch", "complete", "lose", "not_started"};

state_chart load_chart()
{
    auto chart = state_chart::parse(chart_text("permit"),
                                    {state_names.begin(), state_names.end()},
                                    {event_names.begin(), event_names.end()});
    if (!chart)
    {
        // The chart is compiled in: a mismatch is a defect of the build.
        std::abort();
    }
    return std::move(chart).value();
}

std::size_t size_of(const permit_answer& answer)
{
    std::size_t size = answer.body ? answer.body->size() : 0;
    for (const auto& [field, value] : answer.headers)
    {
        size += field.size() + value.size();
    }
    return size;
}

auto not_in_progress(permit_sequence sequence)
{
    return fail(errc::invalid_argument,
                "permit " + std::to_string(sequence) + " is not in progress");
}

} // namespace

std::string_view name(permit_state state) noexcept
{
    return enum_name(state_names, state);
}

std::string_view name(permit_event event) noexcept
{
    return enum_name(event_names, event);
}

std::string_view name(permit_disposition disposition) noexcept
{
    static constexpr std::array<std::string_view, 8> names = {
        "proceed", "wait_for_first", "already_ran", "unknown",
        "voided",  "expired",        "invalid",     "foreign"};
    return enum_name(names, disposition);
}

struct permit_table::impl
{
    struct entry
    {
        permit_state state = permit_state::issued;
        time_point issued_at;
        std::uint64_t digest = 0;
        std::shared_ptr<const permit_answer> answer;
        std::string reason;
        std::vector<std::pair<waiter_id, waiter>> waiters;
    };

    impl(const permit_issuer& issuer_in, const permit_limits& limits_in)
        : issuer(issuer_in), limits(limits_in), chart(load_chart())
    {
        // If an outcome were removed before the permit expires, a copy of the
        // request could run again.
        limits.retention = std::max(limits.retention, permit_lifetime);
    }

    const permit_issuer& issuer;
    permit_limits limits;
    state_chart chart;
    std::unordered_map<permit_sequence, entry> entries;
    void_set void_permits;
    /// Permits with an outcome, by the time at which it became known.
    std::deque<std::pair<time_point, permit_sequence>> finished_permits;
    std::deque<permit_sequence> retained_answers; ///< Oldest first.
    std::size_t answer_bytes = 0;
    std::size_t in_flight = 0;
    /// Highest sequence of the removed permits, which ran or may have run.
    permit_sequence highest_removed = 0;
    waiter_id last_waiter = 0;
    bool closed = false;

    result<permit_state> next(permit_state state, permit_event event) const
    {
        const auto next_state = chart.next(static_cast<std::size_t>(state),
                                           static_cast<std::size_t>(event));
        if (!next_state)
        {
            return next_state.error();
        }
        return static_cast<permit_state>(next_state.value());
    }

    permit_result end_of(const entry& value) const
    {
        return {value.state, value.answer, value.reason};
    }

    /// Whether a permit without an entry may have been used and removed.
    bool may_have_been_removed(const permit& value, time_point now) const
    {
        return value.sequence <= highest_removed &&
               now - value.issued_at >= limits.retention;
    }

    bool expired(time_point issued_at, time_point now) const
    {
        return now - issued_at >= permit_lifetime;
    }

    /// Start of a permit without an entry: its final state, or `issued`.
    permit_admission start_without_entry(const permit& value,
                                         time_point now) const
    {
        permit_admission start;
        start.sequence = value.sequence;
        start.end.state = permit_state::voided;
        if (void_permits.contains(value.sequence))
        {
            start.disposition = permit_disposition::voided;
            start.end.reason = permit_reasons::voided;
        }
        else if (may_have_been_removed(value, now))
        {
            start.disposition = permit_disposition::unknown;
            start.end.state = permit_state::unknown;
            start.end.reason = permit_reasons::not_retained;
        }
        else if (expired(value.issued_at, now))
        {
            start.disposition = permit_disposition::expired;
            start.end.reason = permit_reasons::expired;
        }
        else if (closed)
        {
            start.disposition = permit_disposition::voided;
            start.end.reason = permit_reasons::closing;
        }
        else
        {
            start.disposition = permit_disposition::proceed;
            start.end.state = permit_state::issued;
        }
        return start;
    }

    permit_admission start_from_entry(permit_sequence sequence,
                                      const entry& value) const
    {
        permit_admission start;
        start.sequence = sequence;
        start.end = end_of(value);
        switch (value.state)
        {
        case permit_state::ran:
            start.disposition = permit_disposition::already_ran;
            break;
        case permit_state::unknown:
            start.disposition = permit_disposition::unknown;
            break;
        default:
            start.disposition = permit_disposition::wait_for_first;
            break;
        }
        return start;
    }

    /// Applies an event that ends the use of a permit and calls its waiters.
    result<void> finish(permit_sequence sequence, permit_event event,
                        std::shared_ptr<const permit_answer> answer,
                        std::string_view reason, time_point now)
    {
        const auto entry_it = entries.find(sequence);
        if (entry_it == entries.end())
        {
            return not_in_progress(sequence);
        }
        const auto next_state = next(entry_it->second.state, event);
        if (!next_state)
        {
            return next_state.error();
        }
        entry& value = entry_it->second;
        value.state = next_state.value();
        value.answer = std::move(answer);
        value.reason = reason;
        --in_flight;
        const permit_result end = end_of(value);
        const auto waiters = std::move(value.waiters);
        value.waiters.clear();
        if (value.state == permit_state::voided)
        {
            void_permits.insert({sequence, value.issued_at});
            entries.erase(entry_it);
        }
        else
        {
            finished_permits.emplace_back(now, sequence);
        }
        // Last, because a waiter may call the table.
        for (const auto& [id, callback] : waiters)
        {
            callback(end);
        }
        return ok();
    }

    std::shared_ptr<const permit_answer>
    retain_answer(permit_sequence sequence, int status,
                  net::http_headers headers, std::optional<std::string> body)
    {
        auto answer = std::make_shared<permit_answer>();
        answer->status = status;
        answer->headers = std::move(headers);
        answer->body = std::move(body);
        const std::size_t size = size_of(*answer);
        if (!answer->body || size > limits.answer_bytes ||
            size > limits.total_answer_bytes)
        {
            answer->headers = {};
            answer->body.reset();
            return answer;
        }
        answer_bytes += size;
        retained_answers.push_back(sequence);
        return answer;
    }

    /// Reduces the oldest answers to their status until their total size is
    /// within the limit.
    void limit_answer_bytes()
    {
        while (answer_bytes > limits.total_answer_bytes)
        {
            const permit_sequence oldest = retained_answers.front();
            retained_answers.pop_front();
            const auto entry_it = entries.find(oldest);
            if (entry_it != entries.end())
            {
                drop_answer(entry_it->second);
            }
        }
    }

    void drop_answer(entry& value)
    {
        if (value.answer && value.answer->body)
        {
            answer_bytes -= size_of(*value.answer);
            auto reduced = std::make_shared<permit_answer>();
            reduced->status = value.answer->status;
            value.answer = std::move(reduced);
        }
    }

    void remove_outcome(permit_sequence sequence)
    {
        const auto entry_it = entries.find(sequence);
        if (entry_it == entries.end())
        {
            return;
        }
        drop_answer(entry_it->second);
        entries.erase(entry_it);
        highest_removed = std::max(highest_removed, sequence);
    }

    void expire(time_point now)
    {
        while (!finished_permits.empty() &&
               now - finished_permits.front().first >= limits.retention)
        {
            remove_outcome(finished_permits.front().second);
            finished_permits.pop_front();
        }
        while (!retained_answers.empty() &&
               !entries.contains(retained_answers.front()))
        {
            retained_answers.pop_front();
        }
        void_permits.expire(now);
    }
};

permit_table::permit_table(const permit_issuer& issuer,
                           const permit_limits& limits)
    : impl_(std::make_unique<impl>(issuer, limits))
{
}

permit_table::~permit_table() = default;

permit_admission permit_table::admit(const permit_claim& claim, time_point now)
{
    expire(now);
    const auto verified =
        impl_->issuer.verify(claim.text, claim.organisation, claim.route);
    if (!verified)
    {
        permit_admission start;
        const auto issuer = claimed_issuer(claim.text);
        if (issuer && issuer.value() != impl_->issuer.incarnation())
        {
            start.disposition = permit_disposition::foreign;
        }
        start.end.state = permit_state::voided;
        start.end.reason = permit_reasons::invalid;
        return start;
    }
    const permit& value = verified.value();
    const auto entry_it = impl_->entries.find(value.sequence);
    if (entry_it != impl_->entries.end())
    {
        return impl_->start_from_entry(value.sequence, entry_it->second);
    }
    permit_admission start = impl_->start_without_entry(value, now);
    if (start.disposition == permit_disposition::proceed)
    {
        const auto queued =
            impl_->next(permit_state::issued, permit_event::enqueue);
        impl::entry& created = impl_->entries[value.sequence];
        created.state = queued.value();
        created.issued_at = value.issued_at;
        created.digest =
            permit_digest(claim.text, claim.organisation, claim.route);
        ++impl_->in_flight;
        start.end.state = created.state;
    }
    return start;
}

result<void> permit_table::dispatch(permit_sequence sequence, time_point now)
{
    const auto entry_it = impl_->entries.find(sequence);
    if (entry_it == impl_->entries.end())
    {
        return not_in_progress(sequence);
    }
    const auto next_state =
        impl_->next(entry_it->second.state, permit_event::dispatch);
    if (!next_state)
    {
        return next_state.error();
    }
    if (impl_->expired(entry_it->second.issued_at, now))
    {
        (void)refuse(sequence, permit_reasons::expired);
        return fail(errc::stale, "permit " + std::to_string(sequence) +
                                     " has expired in the queue");
    }
    entry_it->second.state = next_state.value();
    return ok();
}

result<void> permit_table::complete(permit_sequence sequence, int status,
                                    net::http_headers headers,
                                    std::optional<std::string> body,
                                    time_point now)
{
    const auto entry_it = impl_->entries.find(sequence);
    if (entry_it == impl_->entries.end() ||
        !impl_->next(entry_it->second.state, permit_event::complete))
    {
        return not_in_progress(sequence);
    }
    auto answer = impl_->retain_answer(sequence, status, std::move(headers),
                                       std::move(body));
    auto finished = impl_->finish(sequence, permit_event::complete,
                                  std::move(answer), {}, now);
    impl_->limit_answer_bytes();
    return finished;
}

result<void> permit_table::mark_unknown(permit_sequence sequence,
                                        std::string_view reason, time_point now)
{
    return impl_->finish(sequence, permit_event::lose, nullptr, reason, now);
}

result<void> permit_table::refuse(permit_sequence sequence,
                                  std::string_view reason)
{
    return impl_->finish(sequence, permit_event::refuse, nullptr, reason, {});
}

result<void> permit_table::not_started(permit_sequence sequence,
                                       std::string_view reason)
{
    return impl_->finish(sequence, permit_event::not_started, nullptr, reason,
                         {});
}

result<permit_table::waiter_id> permit_table::wait(permit_sequence sequence,
                                                   waiter callback)
{
    const auto entry_it = impl_->entries.find(sequence);
    if (entry_it == impl_->entries.end() ||
        (entry_it->second.state != permit_state::queued &&
         entry_it->second.state != permit_state::running))
    {
        return not_in_progress(sequence);
    }
    auto& waiters = entry_it->second.waiters;
    if (waiters.size() >= impl_->limits.waiters_per_permit)
    {
        return fail(errc::too_large, "too many copies of the request wait for "
                                     "permit " +
                                         std::to_string(sequence));
    }
    waiters.emplace_back(++impl_->last_waiter, std::move(callback));
    return impl_->last_waiter;
}

void permit_table::cancel_wait(permit_sequence sequence, waiter_id id)
{
    const auto entry_it = impl_->entries.find(sequence);
    if (entry_it != impl_->entries.end())
    {
        std::erase_if(entry_it->second.waiters,
                      [id](const auto& entry) { return entry.first == id; });
    }
}

namespace
{

permit_outcome outcome_of(const permit_admission& start)
{
    permit_outcome outcome;
    outcome.reason = start.end.reason;
    switch (start.disposition)
    {
    case permit_disposition::already_ran:
        outcome.verdict = permit_verdict::ran;
        break;
    case permit_disposition::wait_for_first:
        outcome.verdict = permit_verdict::in_progress;
        outcome.reason = permit_reasons::in_progress;
        break;
    case permit_disposition::unknown:
        outcome.verdict = permit_verdict::unknown;
        break;
    default:
        outcome.verdict = permit_verdict::not_run;
        break;
    }
    if (start.end.answer)
    {
        const permit_answer& answer = *start.end.answer;
        outcome.status = static_cast<std::uint16_t>(answer.status);
        outcome.answer_retained = answer.body.has_value();
        outcome.body = answer.body.value_or(std::string());
        outcome.headers.assign(answer.headers.begin(), answer.headers.end());
    }
    return outcome;
}

} // namespace

permit_outcome permit_table::query(const permit_query& question, time_point now)
{
    expire(now);
    const auto verified = impl_->issuer.verify(
        question.permit, question.organisation, question.route);
    if (!verified)
    {
        permit_outcome outcome;
        outcome.verdict = permit_verdict::invalid;
        outcome.reason = permit_reasons::invalid;
        return outcome;
    }
    const permit& value = verified.value();
    const auto entry_it = impl_->entries.find(value.sequence);
    if (entry_it != impl_->entries.end())
    {
        return outcome_of(
            impl_->start_from_entry(value.sequence, entry_it->second));
    }
    permit_admission start = impl_->start_without_entry(value, now);
    if (start.disposition == permit_disposition::proceed)
    {
        impl_->void_permits.insert(value);
        start.disposition = permit_disposition::voided;
        start.end.reason = permit_reasons::voided;
    }
    return outcome_of(start);
}

void permit_table::expire(time_point now)
{
    impl_->expire(now);
}

closing_statement permit_table::close()
{
    impl_->closed = true;
    std::vector<permit_sequence> queued;
    for (const auto& [sequence, value] : impl_->entries)
    {
        if (value.state == permit_state::queued)
        {
            queued.push_back(sequence);
        }
    }
    for (const permit_sequence sequence : queued)
    {
        (void)refuse(sequence, permit_reasons::closing);
    }
    closing_statement statement;
    statement.incarnation = impl_->issuer.incarnation();
    statement.last_sequence = impl_->issuer.last_sequence();
    statement.complete_above = impl_->highest_removed;
    for (const auto& [sequence, value] : impl_->entries)
    {
        const bool ran = value.state == permit_state::ran;
        statement.used.push_back(
            {sequence, value.digest,
             ran ? permit_verdict::ran : permit_verdict::unknown,
             static_cast<std::uint16_t>(ran ? value.answer->status : 0)});
    }
    auto& used = statement.used;
    std::sort(used.begin(), used.end(),
              [](const used_permit& left, const used_permit& right)
              { return left.sequence > right.sequence; });
    if (used.size() > max_statement_permits)
    {
        // The newest permits are the ones whose copies may still arrive.
        const used_permit& first_omitted = used[max_statement_permits];
        statement.complete_above =
            std::max(statement.complete_above, first_omitted.sequence);
        statement.omitted = used.size() - max_statement_permits;
        statement.truncated = true;
        used.resize(max_statement_permits);
    }
    return statement;
}

permit_counts permit_table::counts() const
{
    return {impl_->entries.size(), impl_->in_flight,
            impl_->void_permits.bytes(), impl_->answer_bytes};
}

} // namespace siskinflow
