/// @file
/// @brief Finds the organisation of a tenant key.
#pragma once

#include <siskinflow/config/configuration.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief SHA-256 digest of a key. Keys themselves are never stored.
using key_digest = std::array<std::uint8_t, 32>;

/// @brief Digest of a key as received.
key_digest digest_of(std::string_view key);

/// @brief Parses a digest of 64 hexadecimal digits.
/// @return nothing if the text has another form
std::optional<key_digest> parse_digest(std::string_view hex);

/// @brief Immutable map from key digest to organisation, built from one
/// configuration.
class tenant_keys
{
public:
    tenant_keys();

    /// @brief Adds the keys of all organisations. Entries that are not a valid
    /// digest are skipped and counted.
    explicit tenant_keys(const configuration& config);
    ~tenant_keys();
    tenant_keys(tenant_keys&&) noexcept;
    tenant_keys& operator=(tenant_keys&&) noexcept;

    /// @brief Organisation of a digest.
    /// @return null if the key is unknown; valid for the life of this object
    const std::string* find(const key_digest& digest) const;

    /// @brief Organisation of a key.
    const std::string* find_key(std::string_view key) const;

    /// @brief Number of keys.
    std::size_t size() const;

    /// @brief Number of entries in the configuration that were not a valid
    /// digest.
    std::size_t malformed() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
