#include <siskinflow/entry/answers.hpp>

#include <nlohmann/json.hpp>

namespace siskinflow::entry
{

namespace
{

/// First number of the errors that carry a refusal reason.
constexpr int refusal_code_base = 1000;
/// Number of the error that carries an unknown outcome.
constexpr int unknown_code = 1900;
/// Number of the error for a copy of a request that ran.
constexpr int replay_code = 1901;

constexpr const char* retry_after_seconds = "1";

/// Whether the cause of a refusal may pass soon, so that the caller should try
/// again.
bool is_temporary(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::not_fresh:
    case refusal_reason::no_configuration:
    case refusal_reason::rate_exceeded:
    case refusal_reason::share_wait_exceeded:
    case refusal_reason::queue_full:
    case refusal_reason::region_at_capacity:
    case refusal_reason::link_at_capacity:
    case refusal_reason::shift_capped:
    case refusal_reason::body_memory_exceeded:
    case refusal_reason::too_many_connections:
    case refusal_reason::target_refused:
    case refusal_reason::leaving:
        return true;
    default:
        return false;
    }
}

} // namespace

std::string_view name(request_outcome outcome) noexcept
{
    switch (outcome)
    {
    case request_outcome::ran:
        return "ran";
    case request_outcome::not_run:
        return "not-run";
    case request_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

net::http_response json_response(int status, std::string body)
{
    return {
        status,
        {{"content-type", "application/json"}, {"cache-control", "no-store"}},
        std::move(body)};
}

net::http_response make_error_response(int status, request_outcome outcome,
                                       std::string_view reason, int code,
                                       std::string_view message)
{
    const nlohmann::json document = {
        {"outcome", name(outcome)},
        {"reason", reason},
        {"error", {{"code", code}, {"message", message}}}};
    net::http_response response = json_response(status, document.dump() + "\n");
    response.headers.add(header_names::outcome, std::string(name(outcome)));
    response.headers.add(header_names::reason, std::string(reason));
    return response;
}

net::http_response refusal_response(refusal_reason reason,
                                    std::string_view new_permit)
{
    net::http_response response = make_error_response(
        http_status(reason), request_outcome::not_run, name(reason),
        refusal_code_base + static_cast<int>(reason),
        "the request was refused and has not run");
    if (is_temporary(reason))
    {
        response.headers.add("retry-after", retry_after_seconds);
    }
    if (!new_permit.empty())
    {
        response.headers.add(header_names::permit, std::string(new_permit));
    }
    return response;
}

net::http_response unknown_outcome_response(std::string_view reason)
{
    const bool timed_out = reason == "timed_out";
    return make_error_response(timed_out ? 504 : 502, request_outcome::unknown,
                               reason, unknown_code,
                               "the request may have run; it was not repeated");
}

net::http_response earlier_outcome_response(const permit_result& end,
                                            std::string_view new_permit)
{
    if (end.state == permit_state::voided)
    {
        net::http_response response = make_error_response(
            http_status(refusal_reason::permit_void), request_outcome::not_run,
            end.reason,
            refusal_code_base + static_cast<int>(refusal_reason::permit_void),
            "the request was refused and has not run");
        response.headers.add(header_names::permit, std::string(new_permit));
        return response;
    }
    if (end.state != permit_state::ran || end.answer == nullptr)
    {
        return unknown_outcome_response(end.reason);
    }
    const std::string_view reason = name(refusal_reason::already_ran);
    if (!end.answer->body.has_value())
    {
        return make_error_response(http_status(refusal_reason::already_ran),
                                   request_outcome::ran, reason, replay_code,
                                   "the request ran before with status " +
                                       std::to_string(end.answer->status) +
                                       "; its answer is not retained");
    }
    net::http_response response{end.answer->status, end.answer->headers,
                                *end.answer->body};
    response.headers.set(header_names::outcome,
                         std::string(name(request_outcome::ran)));
    response.headers.set(header_names::reason, std::string(reason));
    return response;
}

} // namespace siskinflow::entry
