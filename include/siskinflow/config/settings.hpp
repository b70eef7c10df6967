/// @file
/// @brief Settings of the entry daemon.
#pragma once

#include <siskinflow/config/flags.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/telemetry/event_id.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow
{

/// @brief Checked settings; docs/settings.md describes each.
struct settings
{
    std::string vm_name;
    std::string region;
    std::string failure_domain;
    std::string site; ///< Site of the site map; empty if not known.
    net::endpoint http_listen;
    net::endpoint control_listen;
    net::endpoint advertise_http;    ///< Where callers reach this VM.
    net::endpoint advertise_control; ///< Where other VMs reach this VM.
    std::vector<net::endpoint> store;
    std::optional<net::endpoint> vm_list;
    std::vector<net::endpoint> seeds; ///< Control endpoints of other VMs.
    std::string certificate_file;     ///< Plain HTTP if empty.
    std::string key_file;
    std::size_t max_connections = 0;
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;        ///< Of one request.
    std::size_t max_body_memory_bytes = 0; ///< Of all requests together.
    duration request_timeout{0};           ///< To receive one request.
    duration lookup_lifetime{0};
    log_level level = log_level::info; ///< Least severe level to log.
    log_format format = log_format::logfmt;
};

/// @brief Names of all flags of the entry daemon, in the order of
/// docs/settings.md.
const std::vector<std::string>& setting_names();

/// @brief Reads the settings from environment and command line.
/// @return the settings; nothing if --help was given, which the caller answers
/// with `settings_help`; `errc::invalid_argument` with one line that
/// names the flag
result<std::optional<settings>> load_settings(int argc,
                                              const char* const* argv);

/// @brief Text for --help.
std::string settings_help();

} // namespace siskinflow
