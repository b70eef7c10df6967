#include "target_model.hpp"

#include <siskinflow/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace siskinflow::standin
{

namespace
{

using std::chrono::milliseconds;

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

bool read_flag(const nlohmann::json& value, bool& out)
{
    if (!value.is_boolean())
    {
        return false;
    }
    out = value.get<bool>();
    return true;
}

bool read_flag(const nlohmann::json& value, std::optional<bool>& out)
{
    bool flag = false;
    const bool read = read_flag(value, flag);
    out = flag;
    return read;
}

bool read_ms(const nlohmann::json& value, duration& out)
{
    if (!value.is_number_unsigned())
    {
        return false;
    }
    out = milliseconds(value.get<std::uint32_t>());
    return true;
}

template <class Number>
bool read_number(const nlohmann::json& value, std::optional<Number>& out)
{
    if (!value.is_number_unsigned())
    {
        return false;
    }
    out = value.get<Number>();
    return true;
}

bool read_fault(const std::string& field, const nlohmann::json& value,
                target_faults& out)
{
    const std::array<std::pair<std::string_view, bool*>, 7> flags = {
        {{"truncate", &out.truncate},
         {"close_after_receiving", &out.close_after_receiving},
         {"close_before_answering", &out.close_before_answering},
         {"hang", &out.hang},
         {"shed", &out.shed},
         {"drain", &out.drain},
         {"cold", &out.cold}}};
    for (const auto& [flag, target] : flags)
    {
        if (field == flag)
        {
            return read_flag(value, *target);
        }
    }
    if (field == "slow_ms")
    {
        return read_ms(value, out.added_service_time);
    }
    if (field == "late_ms")
    {
        return read_ms(value, out.answer_delay);
    }
    if (field == "lie_running")
    {
        return read_number(value, out.running_override);
    }
    if (field == "lie_draining")
    {
        return read_flag(value, out.draining_override);
    }
    if (field == "lie_healthy")
    {
        return read_flag(value, out.healthy_override);
    }
    return field == "count" && read_number(value, out.count);
}

} // namespace

result<target_faults> parse_faults(std::string_view json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object())
    {
        return fail(errc::parse_error, "faults are not a JSON object");
    }
    target_faults faults;
    for (const auto& [field, value] : document.items())
    {
        if (!read_fault(field, value, faults))
        {
            return fail(errc::parse_error,
                        "fault '" + field + "' is unknown or has a wrong type");
        }
    }
    return faults;
}

target_model::target_model(target_options options, time_point now)
    : options_(std::move(options)), started_(now),
      cold_until_(now + options_.cold_time)
{
    record_load(now);
}

target_plan target_model::arrive(const target_request& request,
                                 std::uint64_t accepted_connections,
                                 double random, time_point now)
{
    target_plan plan;
    plan.sequence = ++last_sequence_;
    with_authorization_ += request.has_credentials ? 1 : 0;
    const duration connect = take_connect_delay(accepted_connections);
    const bool faulty = consume_fault();
    const bool deadline_passed =
        request.timeout && *request.timeout <= duration(0);
    if (running_.size() >= options_.slots || deadline_passed ||
        (faulty && faults_.shed))
    {
        ++shed_;
        plan.ending = target_ending::shed;
        add_ledger_entry(plan.sequence, request, run_state::shed, now);
        return plan;
    }
    const duration service = request.service_time.value_or(
        options_.service_time +
        duration(static_cast<duration::rep>(
            random * static_cast<double>(options_.service_jitter.count()))));
    const double factor = cold(now) ? options_.cold_factor : 1;
    plan.run_time =
        connect + duration(static_cast<duration::rep>(
                      static_cast<double>(service.count()) * factor));
    if (faulty)
    {
        plan.run_time += faults_.added_service_time;
        plan.answer_delay = faults_.answer_delay;
        plan.close_at_once = faults_.close_after_receiving;
        if (faults_.truncate)
        {
            plan.ending = target_ending::truncate;
        }
        if (faults_.close_before_answering || faults_.close_after_receiving)
        {
            plan.ending = target_ending::close;
        }
        if (faults_.hang)
        {
            plan.ending = target_ending::no_answer;
        }
    }
    const bool exceeds_timeout =
        plan.run_time > request.timeout.value_or(plan.run_time);
    if (exceeds_timeout && plan.ending != target_ending::no_answer)
    {
        plan.run_time = *request.timeout;
        plan.ending = target_ending::timeout;
    }
    running_.insert(plan.sequence);
    ++started_runs_;
    max_running_ = std::max(max_running_, running_.size());
    count_run(request.idempotency_key);
    add_ledger_entry(plan.sequence, request, run_state::running, now);
    record_load(now);
    return plan;
}

void target_model::finish(std::uint64_t sequence, bool timed_out,
                          time_point now)
{
    end_run(sequence, timed_out ? run_state::timed_out : run_state::finished,
            now);
}

void target_model::cancel(std::uint64_t sequence, time_point now)
{
    end_run(sequence, run_state::cancelled, now);
}

void target_model::set_faults(target_faults faults, time_point now)
{
    if (faults.drain && !draining_since_)
    {
        draining_since_ = now;
    }
    if (!faults.drain)
    {
        draining_since_.reset();
    }
    if (faults.cold)
    {
        cold_until_ = now + options_.cold_time;
    }
    faults_ = faults;
    record_load(now);
}

std::string target_model::load(time_point now) const
{
    const snapshot seen = reported_snapshot(now);
    nlohmann::ordered_json document;
    document["running"] = faults_.running_override.value_or(seen.running);
    document["slots"] = options_.slots;
    document["draining"] = faults_.draining_override.value_or(seen.draining);
    document["cold"] = seen.cold;
    return document.dump();
}

std::pair<int, std::string> target_model::health(time_point now) const
{
    const bool healthy = faults_.healthy_override.value_or(true);
    const bool draining =
        faults_.draining_override.value_or(reported_snapshot(now).draining);
    nlohmann::ordered_json document;
    document["healthy"] = healthy;
    document["draining"] = draining;
    return {healthy ? 200 : 503, document.dump()};
}

std::string target_model::ledger() const
{
    nlohmann::ordered_json summary;
    summary["target"] = options_.name;
    summary["received"] = last_sequence_;
    summary["started"] = started_runs_;
    summary["finished"] = finished_runs_;
    summary["shed"] = shed_;
    summary["max_running"] = max_running_;
    summary["with_authorization"] = with_authorization_;
    summary["double_runs"] = double_runs_;
    summary["after_drain"] = after_drain_;
    summary["omitted"] = last_sequence_ - entries_.size();
    std::string out = summary.dump() + "\n";
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        const ledger_entry& from = entries_[i];
        nlohmann::ordered_json entry;
        entry["sequence"] = i + 1;
        entry["method"] = from.method;
        entry["path"] = from.path;
        entry["body_sha256"] = from.body_sha256;
        entry["idempotency_key"] = from.idempotency_key;
        entry["state"] = name(from.state);
        entry["received_ms"] = to_ms(from.received);
        entry["ended_ms"] = to_ms(from.ended);
        if (from.after_drain)
        {
            entry["after_drain_ms"] = to_ms(*from.after_drain);
        }
        // Paths are bytes; anything that is not UTF-8 is replaced.
        out += entry.dump(-1, ' ', false,
                          nlohmann::json::error_handler_t::replace);
        out += "\n";
    }
    return out;
}

std::string_view target_model::name(run_state state)
{
    static constexpr std::array<std::string_view, 5> names = {
        "shed", "running", "finished", "cancelled", "timed_out"};
    return names[static_cast<std::size_t>(state)];
}

bool target_model::cold(time_point now) const
{
    return now < cold_until_;
}

/// Whether the faults apply to this request, counting it if they are limited.
bool target_model::consume_fault()
{
    if (!faults_.count)
    {
        return true;
    }
    if (*faults_.count == 0)
    {
        return false;
    }
    --*faults_.count;
    return true;
}

void target_model::end_run(std::uint64_t sequence, run_state state,
                           time_point now)
{
    if (running_.erase(sequence) == 0)
    {
        return;
    }
    finished_runs_ += state == run_state::finished ? 1 : 0;
    if (sequence <= entries_.size())
    {
        entries_[sequence - 1].state = state;
        entries_[sequence - 1].ended = now - started_;
    }
    record_load(now);
}

void target_model::record_load(time_point now)
{
    if (options_.report_lag == duration(0))
    {
        history_.clear();
    }
    history_.push_back({now, static_cast<std::uint32_t>(running_.size()),
                        draining_since_.has_value(), cold(now)});
    // The newest snapshot beyond the lag is still the one to report.
    while (history_.size() > 1 && history_[1].at <= now - options_.report_lag)
    {
        history_.pop_front();
    }
}

target_model::snapshot target_model::reported_snapshot(time_point now) const
{
    const time_point seen_at = now - options_.report_lag;
    snapshot seen = history_.front();
    for (const snapshot& candidate : history_)
    {
        if (candidate.at <= seen_at)
        {
            seen = candidate;
        }
    }
    seen.cold = cold(seen_at);
    return seen;
}

void target_model::add_ledger_entry(std::uint64_t sequence,
                                    const target_request& request,
                                    run_state state, time_point now)
{
    const bool draining = draining_since_.has_value();
    after_drain_ += draining ? 1 : 0;
    if (sequence > options_.ledger_limit)
    {
        return;
    }
    ledger_entry entry;
    entry.method = request.method;
    entry.path = request.path;
    entry.body_sha256 = request.body.empty() ? "" : sha256_hex(request.body);
    entry.idempotency_key = request.idempotency_key;
    entry.state = state;
    entry.received = now - started_;
    if (draining)
    {
        entry.after_drain = now - *draining_since_;
    }
    entries_.push_back(std::move(entry));
}

void target_model::count_run(const std::string& idempotency_key)
{
    if (!idempotency_key.empty() && ++runs_by_key_[idempotency_key] > 1)
    {
        ++double_runs_;
    }
}

duration target_model::take_connect_delay(std::uint64_t accepted_connections)
{
    new_connections_ += accepted_connections - seen_connections_;
    seen_connections_ = accepted_connections;
    if (new_connections_ == 0)
    {
        return duration(0);
    }
    --new_connections_;
    return options_.connect_cost;
}

} // namespace siskinflow::standin
