/// @file
/// @brief Reads gflags from the environment and the command line.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/net/endpoint.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief Parsed command line, apart from the flags, which gflags holds.
struct command_line
{
    bool help = false; ///< --help was given.
    /// Arguments that are not flags.
    std::vector<std::string> positional_arguments;
};

/// @brief Name of the environment variable of a flag: `SISKINFLOW_` and the
/// flag's name in upper case.
std::string environment_name(std::string_view flag);

/// @brief Sets flags from their environment variables and then from the
/// command line, which takes precedence. gflags' own parser ends the process
/// with status 1 on a bad flag; here it is an error that the caller reports.
/// @param argc as given to `main`
/// @param argv as given to `main`
/// @param names the flags of the program
/// @return the positional arguments; `errc::invalid_argument` with one line
/// that names the flag or variable
result<command_line> read_flags(int argc, const char* const* argv,
                                const std::vector<std::string>& names);

/// @brief One paragraph per flag: name, type, default, variable, meaning.
std::string flags_help(const std::vector<std::string>& names);

/// @brief Reads endpoints with commas between them; empty text is an empty
/// list.
/// @return the endpoints, or `errc::parse_error` naming the bad one
result<std::vector<net::endpoint>> parse_endpoint_list(std::string_view text);

} // namespace siskinflow
