/// @file
/// @brief How callers and targets spell what the gateway needs to know.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/gateway/targets.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/net/http_types.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::gateway
{

/// @brief What a caller says of its request, apart from HTTP itself.
struct caller_terms
{
    std::string id;     ///< Unique for each attempt of a caller.
    std::string object; ///< What the request is about; may be empty.
    std::optional<std::string> key;   ///< Tenant key, if one was presented.
    std::optional<duration> patience; ///< How long the caller waits.
};

/// @brief What a target is told besides the caller's own request.
struct target_terms
{
    std::string_view instance;     ///< Only this target may run it.
    std::string_view organisation; ///< Empty on open routes.
    duration left{0};              ///< Time until nobody waits any more.
};

/// @brief What a target says with its answer, apart from HTTP itself.
struct answer_terms
{
    std::string_view id;      ///< Request that the answer belongs to.
    bool signed_body = false; ///< The target vouches for status and body.
    bool not_run = false;     ///< The target did not run the request.
    bool recoded = false;     ///< The body is not the target's own bytes.
    std::optional<load_report> load;
    std::optional<duration> warm_up_left;
};

/// @brief Which VMs a caller asks for.
struct lookup_terms
{
    std::string failure_domain;
    std::string region;
};

/// @brief Translates between HTTP messages and the types above. It decides
/// nothing.
class dialect
{
public:
    virtual ~dialect() = default;

    virtual caller_terms read_request(const net::http_request& from) const = 0;

    /// @brief Headers of the request to the target: those of the caller
    /// without the key and the fields that concern one connection.
    virtual net::http_headers forward(const net::http_request& from,
                                      const target_terms& terms) const = 0;

    virtual answer_terms read_answer(const net::http_headers& headers,
                                     int status) const = 0;

    /// @brief Headers of an answer of the gateway's own to this request.
    virtual net::http_headers own_answer(const caller_terms& terms) const = 0;

    virtual lookup_terms read_lookup(const net::http_request& from) const = 0;

    virtual net::http_response
    lookup_answer(const std::vector<net::endpoint>& vms,
                  duration lifetime) const = 0;
};

} // namespace siskinflow::gateway
