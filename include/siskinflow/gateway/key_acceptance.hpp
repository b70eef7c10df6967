/// @file
/// @brief Whether tenant keys are accepted while the store is unreachable.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <memory>
#include <optional>

namespace siskinflow::gateway
{

/// @brief Decides by the age of the configuration. A disconnected VM can't know
/// which keys have been revoked meanwhile.
class key_acceptance
{
public:
    virtual ~key_acceptance() = default;

    /// @param age time since the store confirmed the configuration
    virtual bool accepts_keys(duration age) const = 0;
};

/// @brief Creates the rule: with a limit, keys are accepted up to that age of
/// the configuration; without one, a disconnected VM continues with its last
/// configuration.
std::unique_ptr<key_acceptance>
make_key_acceptance(std::optional<duration> limit);

} // namespace siskinflow::gateway
