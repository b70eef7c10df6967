/// @file
/// @brief Checks of a request on arrival; private to the data path.
#pragma once

#include <siskinflow/admission/refusal.hpp>
#include <siskinflow/admission/tenant_keys.hpp>
#include <siskinflow/entry/data_path.hpp>
#include <siskinflow/routing/route_table.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::entry
{

/// @brief Input of the checks besides the request.
struct check_context
{
    const data_path_options& options;
    const configuration* config;
    const routing::route_table* routes;
    const tenant_keys& keys;
    std::size_t body_bytes; ///< Bodies of all requests in progress.
    time_point now;
};

/// @brief Checks a request and fills in its route, organisation, permit text
/// and deadline.
/// @return the reason to refuse it, or `refusal_reason::none`
refusal_reason check_request(request& req, const check_context& context);

/// @brief Result of `check_key`.
struct key_check
{
    refusal_reason refusal = refusal_reason::none;
    std::optional<key_digest> digest;
    std::string organisation;
};

/// @brief Finds the organisation that a value of the `Authorization` field
/// belongs to.
key_check check_key(std::string_view authorization, const tenant_keys& keys);

/// @brief Converts an outcome that another VM reported.
permit_result to_permit_result(const permit_outcome& outcome);

/// @brief Response that lists issued permits.
net::http_response
permit_list_response(const std::vector<std::string>& permits);

} // namespace siskinflow::entry
