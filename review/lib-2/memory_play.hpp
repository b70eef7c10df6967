/// @file
/// @brief Plays machines whose processes the platform ends when they go over
/// the memory of their machine.
#pragma once

#include "world.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace world
{

/// @brief A crowd of clients at a gateway.
class crowd
{
public:
    virtual ~crowd() = default;
    /// @brief What it has done so far, for the record.
    virtual std::string progress() const = 0;
};

/// @brief What is played.
struct memory_play
{
    std::string record_file;
    std::string log_prefix;
    std::chrono::seconds length{60};
    /// Starts a crowd at a port; the name is part of its request ids.
    std::function<std::unique_ptr<crowd>(
        std::uint16_t port, const std::string& name, recorder& record)>
        start_crowd;
    /// Bytes that count toward the memory of the machine.
    std::function<std::uint64_t(const gateway& vm)> used_bytes;
};

/// @brief Plays two of the site's smallest machines, with orders on a route of
/// their own and the crowd's requests on `/plans/`.
/// @return exit status: 1 if the processes of both machines ended three times
int play(const memory_play& what, const std::string& plan_answer);

} // namespace world
