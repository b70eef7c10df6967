/// @file
/// @brief Formats and ranges of the fields that notes and configurations share.
#pragma once

#include "json_reader.hpp"
#include <siskinflow/config/configuration.hpp>

#include <string_view>

namespace siskinflow::config_detail
{

inline constexpr std::size_t max_name_bytes = 64;
inline constexpr std::size_t max_path_bytes = 256;
inline constexpr std::size_t max_comment_bytes = 1024;

inline constexpr std::size_t max_names_per_list = 10000;
inline constexpr std::size_t max_keys_per_organisation = 64;
inline constexpr std::size_t max_not_run_statuses = 16;

inline constexpr integer_range not_run_status_range{400, 599};
inline constexpr integer_range max_body_range{0, 64 * 1024 * 1024};
inline constexpr integer_range timeout_ms_range{1, 600'000};
inline constexpr integer_range expected_response_range{1, 1 << 30};
inline constexpr number_range shift_cap_range{0.001, 100};
inline constexpr integer_range slots_range{1, 10'000};
inline constexpr integer_range max_connections_range{1, 100'000};
inline constexpr integer_range warm_up_s_range{0, 3600};
inline constexpr number_range rate_range{0.001, 1e6};
/// A burst under one request would refuse every request.
inline constexpr number_range burst_range{1, 1e6};
inline constexpr number_range link_rate_range{1, 1e12};
inline constexpr number_range link_burst_range{1, 1e12};

bool is_name(std::string_view text);
bool is_name_or_empty(std::string_view text);
bool is_comment(std::string_view text);
bool is_path_prefix(std::string_view text);
bool is_address(std::string_view text);
bool is_key_digest(std::string_view text);

inline constexpr text_format name_format{
    is_name, "a name of 1 to 64 letters, digits, '.', '_' or '-' that begins "
             "with a letter or digit"};
inline constexpr text_format optional_name_format{
    is_name_or_empty, "empty or a name of 1 to 64 letters, digits, '.', "
                      "'_' or '-'"};
inline constexpr text_format comment_format{
    is_comment, "a text of at most 1024 bytes without control characters"};
inline constexpr text_format path_prefix_format{
    is_path_prefix,
    "a path prefix of at most 256 printable characters that begins with '/', "
    "has no '?', '#' or space and lies outside /siskinflow/"};
inline constexpr text_format address_format{
    is_address, "an IP address and port such as 127.0.0.1:8080"};
inline constexpr text_format key_digest_format{
    is_key_digest,
    "a SHA-256 digest of 64 lower-case hexadecimal digits; make it with "
    "'siskinflowctl hash-key' and never write a key in clear",
    true};

/// @brief Fields of a route without its state; absent ones keep the default.
route_config read_route(object_reader& reader);

/// @brief Fields of a target without its state.
target_config read_target(object_reader& reader);

organisation_config read_organisation(object_reader& reader);
link_config read_link(object_reader& reader);

/// @brief Checks constraints across the objects of a configuration, such as
/// unique names and references to routes.
/// @param path_of returns the path of an object for a message, given its kind
/// ("routes", ...) and index
using object_path_function =
    std::function<std::string(const char* kind, std::size_t index)>;
void check_references(const configuration& value,
                      const object_path_function& path_of, fault_list& faults);

} // namespace siskinflow::config_detail
