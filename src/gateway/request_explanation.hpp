/// @file
/// @brief Tells where a request would be routed now, without sending it.
#pragma once

#include "gateway_state.hpp"
#include <siskinflow/net/http_types.hpp>

#include <string>
#include <string_view>

namespace siskinflow::gateway
{

/// @brief Path of the explanation on the metrics listener.
inline constexpr std::string_view explanation_path = "/explain";

/// @brief A request that is not sent.
struct explained_request
{
    std::string host;
    std::string path;
    std::string organisation; ///< Name; empty: the request has no key.
    std::string object;       ///< Empty: none.
};

/// @brief Reads `host`, `path`, `organisation` and `object` from a query.
explained_request read_explained_request(std::string_view query);

/// @brief Evaluates admission, quota, placement and queue for the request as
/// `request_flow` does. Nothing changes by it: no quota is taken, no attempt is
/// recorded.
/// @return a JSON document; docs/siskinflowctl.md lists its fields
net::http_response explain_request(const gateway_state& state,
                                   const explained_request& request);

} // namespace siskinflow::gateway
