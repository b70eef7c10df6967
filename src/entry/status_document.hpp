/// @file
/// @brief The document of `GET /siskinflow/v1/status`.
#pragma once

#include <siskinflow/entry/data_path.hpp>
#include <siskinflow/entry/vm_lifecycle.hpp>
#include <siskinflow/fleet/fleet_node.hpp>

#include <string>

namespace siskinflow::entry
{

/// @brief Input of the status document.
struct status_source
{
    const member& self;
    lifecycle_state state;
    const fleet_node& fleet;
    const data_path& path;
    time_point now;
    time_point config_since; ///< When this VM applied the configuration.
};

/// @brief Writes the document as JSON.
std::string status_document(const status_source& source);

} // namespace siskinflow::entry
