/// @file
/// @brief Identifiers shared by several modules.
#pragma once

#include <siskinflow/core/error.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief Identifies one run of an entry process: 128 random bits.
struct incarnation_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const incarnation_id&) const = default;

    /// @brief Whether the id is unset.
    bool empty() const noexcept
    {
        return high == 0 && low == 0;
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(high, low);
    }
};

/// @brief Generates an id from the operating system's random source.
incarnation_id make_incarnation_id();

/// @brief 32 lower-case hexadecimal digits.
std::string to_string(const incarnation_id& id);

/// @brief Parses the output of `to_string`.
/// @return the id, or `errc::parse_error`
result<incarnation_id> parse_incarnation_id(std::string_view text);

/// @brief 64-bit hash of a string with a seed (xxHash), the same on every VM.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// @brief SHA-256 digest as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

} // namespace siskinflow

template <>
struct std::hash<siskinflow::incarnation_id>
{
    std::size_t operator()(const siskinflow::incarnation_id& id) const noexcept
    {
        return id.high ^ id.low;
    }
};
