/// @file
/// @brief Whether tenant keys may be honoured without word from the store.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <memory>
#include <optional>

namespace siskinflow::gateway
{

/// @brief Decides by the age of the configuration. A VM that is cut off can't
/// know which keys have been withdrawn meanwhile.
class key_trust
{
public:
    virtual ~key_trust() = default;

    /// @param age time since the store confirmed the configuration
    virtual bool holds(duration age) const = 0;
};

/// @brief Strict revocation trusts keys up to an age; without a limit, a VM
/// that is cut off serves on with the configuration that it knows.
std::unique_ptr<key_trust> make_key_trust(std::optional<duration> limit);

} // namespace siskinflow::gateway
