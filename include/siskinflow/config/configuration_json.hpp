/// @file
/// @brief JSON form of the configuration, as kept in the store.
#pragma once

#include <siskinflow/config/configuration.hpp>
#include <siskinflow/core/error.hpp>

#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief JSON document of a configuration.
std::string to_json(const configuration& value);

/// @brief Reads the form that `to_json` writes, with the same checks of
/// fields and references as for release notes.
/// @return the configuration; otherwise `errc::parse_error` with one line per
/// fault
result<configuration> parse_configuration(std::string_view json);

} // namespace siskinflow
