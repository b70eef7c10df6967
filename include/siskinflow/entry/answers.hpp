/// @file
/// @brief Responses that siskinflow generates itself, as opposed to those of
/// targets.
#pragma once

#include <siskinflow/admission/refusal.hpp>
#include <siskinflow/net/http_types.hpp>
#include <siskinflow/permit/permit_table.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinflow::entry
{

/// @brief Outcome of a request.
enum class request_outcome : std::uint8_t
{
    ran,
    not_run,
    unknown,
};

/// @brief Name as sent in `Siskinflow-Outcome`.
std::string_view name(request_outcome outcome) noexcept;

/// @brief Header names of siskinflow, in lower case.
namespace header_names
{
inline constexpr const char* outcome = "siskinflow-outcome";
inline constexpr const char* reason = "siskinflow-reason";
inline constexpr const char* permit = "siskinflow-permit";
inline constexpr const char* timeout = "siskinflow-timeout-ms";
inline constexpr const char* idempotency_key = "idempotency-key";
} // namespace header_names

/// @brief Response with an outcome, a reason and a numbered error in JSON.
/// @param status HTTP status
/// @param code number of the error
/// @param message human-readable text
net::http_response make_error_response(int status, request_outcome outcome,
                                       std::string_view reason, int code,
                                       std::string_view message);

/// @brief Response that refuses a request.
/// @param reason reason of the refusal
/// @param new_permit offered to the caller; none if empty
net::http_response refusal_response(refusal_reason reason,
                                    std::string_view new_permit = {});

/// @brief Response to a request whose outcome can't be known.
/// @param reason name of the failure
net::http_response unknown_outcome_response(std::string_view reason);

/// @brief Response to a further copy of a request, made from the outcome of the
/// first copy.
/// @param end outcome of the first copy
/// @param new_permit offered if the request was not run
net::http_response earlier_outcome_response(const permit_result& end,
                                            std::string_view new_permit);

/// @brief Response with a JSON document.
net::http_response json_response(int status, std::string body);

} // namespace siskinflow::entry
