/// @file
/// @brief The configuration as read from the store.
#pragma once

#include <siskinflow/config/configuration.hpp>
#include <siskinflow/store/store.hpp>

namespace siskinflow::operator_detail
{

/// @brief A configuration and the revision that a write must compare with.
struct stored_configuration
{
    configuration value;
    store_revision revision = 0; ///< 0: none was written yet.
};

} // namespace siskinflow::operator_detail
