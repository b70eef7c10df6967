/// @file
/// @brief Load reports of targets.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace siskinflow::routing
{

/// @brief Load as reported by a target; it may be out of date or wrong.
struct load_hint
{
    std::uint32_t running = 0; ///< Requests that run at the target.
    std::uint32_t slots = 0;   ///< Requests that may run at the target.
    bool draining = false;
    bool cold = false;

    bool operator==(const load_hint&) const = default;
};

/// @brief Parses answers to `GET /load` and counts the malformed ones.
class load_hint_parser
{
public:
    /// @brief Parses
    /// `{"running":n,"slots":n,"draining":bool,"cold":bool}`. Unknown members
    /// are ignored so that targets can add fields.
    /// @param body the body of a complete answer with status 200
    /// @return the hint, or nothing if the answer is malformed (a member is
    /// missing, of another type, negative or over `max_count`, or the body is
    /// over `max_body_bytes`)
    std::optional<load_hint> parse(std::string_view body);

    /// @brief Number of malformed answers so far.
    std::uint64_t malformed() const
    {
        return malformed_;
    }

    static constexpr std::uint32_t max_count = 1'000'000; ///< Requests.
    static constexpr std::size_t max_body_bytes = 4096;

private:
    std::uint64_t malformed_ = 0;
};

} // namespace siskinflow::routing
