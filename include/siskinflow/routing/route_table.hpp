/// @file
/// @brief Finds the route of a request path.
#pragma once

#include <siskinflow/config/configuration.hpp>
#include <siskinflow/core/error.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace siskinflow::routing
{

/// @brief Converts a request path to the form that is matched.
///
/// The path is forwarded to the target as it was received, so a path that the
/// target could interpret differently is refused instead of being corrected;
/// otherwise a path that matches an open route here could reach a keyed
/// resource there. The query is removed. Each segment is percent-decoded
/// exactly once, and its parameters (from the first ';') are removed. Refused
/// are: a path that does not begin with '/', an invalid escape, an escape that
/// yields another escape (double encoding), a segment
/// "." or ".." in any encoding, an empty segment other than the last one, an
/// encoded '/', a '\', a control character, and the bytes 0xC0 and 0xC1
/// (overlong UTF-8).
/// @param path request path, with or without query
/// @return the decoded segments, each preceded by '/', without a final '/';
/// the root is the empty string; `errc::parse_error` for a refused path
result<std::string> normalize_path(std::string_view path);

/// @brief Immutable index of the routes of one configuration.
class route_table
{
public:
    /// @brief Indexes the routes. A route whose prefix `normalize_path` refuses
    /// never matches; of two routes with the same prefix the first one matches.
    /// @param config the configuration; kept while the table exists
    explicit route_table(std::shared_ptr<const configuration> config);
    ~route_table();
    route_table(route_table&&) noexcept;
    route_table& operator=(route_table&&) noexcept;

    /// @brief Finds the route with the longest matching prefix of whole
    /// segments: "/maps" matches "/maps" and "/maps/3" but not "/mapsheet".
    /// Routes that are closing match too; the caller checks the state.
    /// @param path request path as received, with or without query
    /// @return the route, valid while the table exists; `errc::parse_error` for
    /// an unsafe path, `errc::not_found` if no route matches
    result<const route_config*> find(std::string_view path) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::routing
