#include <siskinflow/admission/refusal.hpp>
#include <siskinflow/core/enum_name.hpp>

#include <array>

namespace siskinflow
{

namespace
{

struct refusal_row
{
    refusal_reason reason;
    std::string_view name;
    int status;
};

constexpr std::array<refusal_row, refusal_reason_count> refusal_table = {{
    {refusal_reason::none, "none", 200},
    {refusal_reason::unknown_route, "unknown_route", 404},
    {refusal_reason::route_closed, "route_closed", 410},
    {refusal_reason::missing_key, "missing_key", 401},
    {refusal_reason::unknown_key, "unknown_key", 401},
    {refusal_reason::not_fresh, "not_fresh", 503},
    {refusal_reason::no_configuration, "no_configuration", 503},
    {refusal_reason::rate_exceeded, "rate_exceeded", 429},
    {refusal_reason::share_wait_exceeded, "share_wait_exceeded", 503},
    {refusal_reason::queue_full, "queue_full", 429},
    {refusal_reason::deadline_too_short, "deadline_too_short", 503},
    {refusal_reason::deadline_exceeded_in_queue, "deadline_exceeded_in_queue",
     503},
    {refusal_reason::no_target, "no_target", 503},
    {refusal_reason::region_at_capacity, "region_at_capacity", 503},
    {refusal_reason::link_at_capacity, "link_at_capacity", 503},
    {refusal_reason::shift_capped, "shift_capped", 503},
    {refusal_reason::permit_required, "permit_required", 428},
    {refusal_reason::permit_invalid, "permit_invalid", 400},
    {refusal_reason::permit_expired, "permit_expired", 409},
    {refusal_reason::permit_void, "permit_void", 409},
    {refusal_reason::permit_issuer_unreachable, "permit_issuer_unreachable",
     502},
    {refusal_reason::already_ran, "already_ran", 409},
    {refusal_reason::body_too_large, "body_too_large", 413},
    {refusal_reason::body_memory_exceeded, "body_memory_exceeded", 503},
    {refusal_reason::header_too_large, "header_too_large", 431},
    {refusal_reason::too_many_connections, "too_many_connections", 503},
    {refusal_reason::request_timeout, "request_timeout", 408},
    {refusal_reason::connect_failed, "connect_failed", 502},
    {refusal_reason::target_refused, "target_refused", 503},
    {refusal_reason::retry_budget_exhausted, "retry_budget_exhausted", 503},
    {refusal_reason::leaving, "leaving", 503},
    {refusal_reason::bad_request, "bad_request", 400},
    {refusal_reason::method_not_supported, "method_not_supported", 405},
    {refusal_reason::cancelled, "cancelled", 499},
}};

constexpr bool rows_match_enum_order()
{
    for (std::size_t i = 0; i < refusal_table.size(); ++i)
    {
        if (static_cast<std::size_t>(refusal_table[i].reason) != i)
        {
            return false;
        }
    }
    return true;
}
static_assert(rows_match_enum_order(), "the table is indexed by the reason");

} // namespace

std::string_view name(refusal_reason reason) noexcept
{
    const auto index = static_cast<std::size_t>(reason);
    return index < refusal_table.size() ? refusal_table[index].name : "unknown";
}

int http_status(refusal_reason reason) noexcept
{
    const auto index = static_cast<std::size_t>(reason);
    return index < refusal_table.size() ? refusal_table[index].status : 500;
}

std::string_view name(retry_reason reason) noexcept
{
    static constexpr std::array<std::string_view, retry_reason_count> names = {
        "connect_failed", "connection_lost", "attempt_timeout", "target_error",
        "not_run_status"};
    return enum_name(names, reason);
}

} // namespace siskinflow
