/// @file
/// @brief The reserved paths under `/siskinflow/v1/`.
#pragma once

#include <siskinflow/net/http_server.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace siskinflow::entry
{

/// @brief Prefix of the reserved paths.
inline constexpr std::string_view api_prefix = "/siskinflow/v1/";

/// @brief Value of a query parameter, percent-decoded; empty if absent.
std::string query_value(std::string_view query, std::string_view name);

/// @brief Dispatches requests to handlers by the last part of the path and the
/// method.
class http_api
{
public:
    using handler = std::function<net::http_response(const net::http_request&)>;

    /// @brief Adds a path.
    /// @param method `GET` (which also serves `HEAD`) or `POST`
    void add(std::string method, std::string name, handler serve);

    using async_handler = std::function<void(const net::exchange_ptr&)>;

    /// @brief Adds a path whose handler responds asynchronously.
    void add_async(std::string method, std::string name, async_handler serve);

    /// @brief Whether a path is reserved.
    static bool is_reserved(std::string_view path);

    /// @brief Answers a request for a reserved path.
    void handle(const net::exchange_ptr& exchange) const;

private:
    struct registration
    {
        std::string method;
        async_handler serve;
    };
    std::map<std::string, registration, std::less<>> registrations_;
};

} // namespace siskinflow::entry
