/// @file
/// @brief How the gateway's data is represented in HTTP messages.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/gateway/load/load_report.hpp>
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

/// @brief Fields of a caller's request beyond plain HTTP.
struct caller_fields
{
    std::string id;     ///< Unique for each attempt of a caller.
    std::string object; ///< Object that the request concerns; may be empty.
    std::optional<std::string> key;  ///< Tenant key, if one was presented.
    std::optional<duration> timeout; ///< How long the caller waits.
};

/// @brief Fields sent to a target in addition to the caller's request.
struct target_fields
{
    std::string_view instance;     ///< Only this target may run it.
    std::string_view organisation; ///< Empty on open routes.
    duration remaining{0};         ///< Time until the caller stops waiting.
};

/// @brief Fields of a target's answer beyond plain HTTP.
struct answer_fields
{
    /// Request that the answer belongs to; empty if it names none or several.
    std::string_view id;
    std::string_view instance;    ///< Target that answered; may be empty.
    bool signed_body = false;     ///< The target signed status and body.
    bool not_run = false;         ///< The target did not run the request.
    bool content_encoded = false; ///< The body was re-encoded on the way.
    std::optional<load_report> load;
    std::optional<duration> warm_up_left;
    bool leaving = false; ///< The target stops soon.
    /// Time for which the target wants no requests from this VM.
    std::optional<duration> pause;
    unsigned malformed_fields = 0; ///< Fields that were ignored.
};

/// @brief Parameters of a caller's lookup.
struct lookup_fields
{
    std::string failure_domain;
    std::string region;
};

/// @brief Translates between HTTP messages and the types above, without making
/// any decisions.
class message_codec
{
public:
    virtual ~message_codec() = default;

    virtual caller_fields read_request(const net::http_request& from) const = 0;

    /// @brief Headers of the request to the target: those of the caller
    /// without the key and the fields that concern one connection.
    virtual net::http_headers
    target_request_headers(const net::http_request& from,
                           const target_fields& fields) const = 0;

    virtual answer_fields read_answer(const net::http_headers& headers,
                                      int status) const = 0;

    /// @brief Headers of an answer that the gateway itself gives to this
    /// request.
    virtual net::http_headers
    gateway_answer_headers(const caller_fields& fields) const = 0;

    virtual lookup_fields read_lookup(const net::http_request& from) const = 0;

    virtual net::http_response
    lookup_answer(const std::vector<net::endpoint>& vms,
                  duration lifetime) const = 0;
};

} // namespace siskinflow::gateway
