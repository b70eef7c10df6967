#include "admission_checks.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace siskinflow::entry
{

namespace
{

constexpr std::array<std::string_view, 7> forwarded_methods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr std::string_view bearer_scheme = "bearer ";
constexpr std::size_t max_key_bytes = 512;
constexpr std::chrono::milliseconds longest_timeout = std::chrono::minutes(10);

/// Sets the deadline from the caller's timeout header or, without one, from
/// the default of the route.
refusal_reason read_deadline(request& req, time_point now)
{
    const std::string_view text =
        req.exchange->request().headers.value(header_names::timeout);
    req.deadline = now + req.route->default_timeout;
    if (text.empty())
    {
        return refusal_reason::none;
    }
    std::int64_t milliseconds = 0;
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, milliseconds);
    if (code != std::errc() || rest != end || milliseconds <= 0)
    {
        return refusal_reason::bad_request;
    }
    req.deadline = now + std::min(std::chrono::milliseconds(milliseconds),
                                  longest_timeout);
    return refusal_reason::none;
}

refusal_reason check_sizes(const request& req, const check_context& context)
{
    if (req.body_bytes > req.route->max_body_bytes)
    {
        return refusal_reason::body_too_large;
    }
    if (context.body_bytes > context.options.max_body_memory_bytes)
    {
        return refusal_reason::body_memory_exceeded;
    }
    return refusal_reason::none;
}

refusal_reason find_route(request& req, const check_context& context)
{
    if (context.config == nullptr)
    {
        return refusal_reason::no_configuration;
    }
    const auto match = context.routes->find(req.exchange->request().path);
    if (!match.has_value())
    {
        return match.error().code == errc::parse_error
                   ? refusal_reason::bad_request
                   : refusal_reason::unknown_route;
    }
    req.route = match.value();
    return refusal_reason::none;
}

refusal_reason authenticate(request& req, const check_context& context)
{
    if (req.route->open)
    {
        return refusal_reason::none;
    }
    const net::http_headers& headers = req.exchange->request().headers;
    if (headers.count("authorization") > 1)
    {
        return refusal_reason::bad_request;
    }
    key_check key = check_key(headers.value("authorization"), context.keys);
    req.digest = key.digest;
    req.organisation = std::move(key.organisation);
    return key.refusal;
}

} // namespace

refusal_reason check_request(request& req, const check_context& context)
{
    const net::http_request& received = req.exchange->request();
    if (received.header_bytes > context.options.max_header_bytes)
    {
        return refusal_reason::header_too_large;
    }
    if (std::find(forwarded_methods.begin(), forwarded_methods.end(),
                  received.method) == forwarded_methods.end())
    {
        return refusal_reason::method_not_supported;
    }
    if (const auto refusal = find_route(req, context);
        refusal != refusal_reason::none)
    {
        return refusal;
    }
    // The key is checked before the state of the route, so that a caller
    // without a key learns nothing about the service.
    if (const auto refusal = authenticate(req, context);
        refusal != refusal_reason::none)
    {
        return refusal;
    }
    // The deadline is read before the further checks, because a refusal has to
    // settle the permit within it.
    const refusal_reason deadline_refusal = read_deadline(req, context.now);
    if (!req.route->idempotent)
    {
        if (received.headers.count(header_names::idempotency_key) > 1)
        {
            return refusal_reason::bad_request;
        }
        req.permit_text = received.headers.value(header_names::idempotency_key);
    }
    if (req.route->state == route_state::closing)
    {
        return refusal_reason::route_closed;
    }
    if (const auto refusal = check_sizes(req, context);
        refusal != refusal_reason::none)
    {
        return refusal;
    }
    return deadline_refusal;
}

key_check check_key(std::string_view authorization, const tenant_keys& keys)
{
    if (authorization.empty())
    {
        return {refusal_reason::missing_key, {}, {}};
    }
    if (authorization.size() <= bearer_scheme.size() ||
        authorization.size() > max_key_bytes ||
        !net::equal_ignoring_case(authorization.substr(0, bearer_scheme.size()),
                                  bearer_scheme))
    {
        return {refusal_reason::unknown_key, {}, {}};
    }
    key_check out;
    out.digest = digest_of(authorization.substr(bearer_scheme.size()));
    const std::string* organisation = keys.find(*out.digest);
    if (organisation == nullptr)
    {
        out.refusal = refusal_reason::unknown_key;
        return out;
    }
    out.organisation = *organisation;
    return out;
}

permit_result to_permit_result(const permit_outcome& outcome)
{
    permit_result end;
    end.reason = outcome.reason;
    switch (outcome.verdict)
    {
    case permit_verdict::not_run:
    case permit_verdict::invalid:
        end.state = permit_state::voided;
        return end;
    case permit_verdict::unknown:
    case permit_verdict::in_progress:
        end.state = permit_state::unknown;
        return end;
    case permit_verdict::ran:
        break;
    }
    auto answer = std::make_shared<permit_answer>();
    answer->status = outcome.status;
    for (const auto& [name, value] : outcome.headers)
    {
        answer->headers.add(name, value);
    }
    if (outcome.answer_retained)
    {
        answer->body = outcome.body;
    }
    end.state = permit_state::ran;
    end.answer = std::move(answer);
    return end;
}

net::http_response permit_list_response(const std::vector<std::string>& permits)
{
    const nlohmann::json document = {
        {"permits", permits},
        {"lifetime_s",
         std::chrono::duration_cast<std::chrono::seconds>(permit_lifetime)
             .count()}};
    return json_response(200, document.dump() + "\n");
}

} // namespace siskinflow::entry
