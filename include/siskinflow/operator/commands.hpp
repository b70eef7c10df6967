/// @file
/// @brief The commands of the operators' client.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/store/confirmed_swap.hpp>
#include <siskinflow/store/store.hpp>

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow
{

/// @brief Exit code of `siskinflowctl`; a number is never reused.
enum class exit_code : int
{
    ok = 0,
    usage = 2,        ///< The command line is wrong.
    invalid_note = 3, ///< The note has faults; nothing was written.
    unavailable = 4,  ///< Store or entry VMs gave no answer.
    conflict = 5,     ///< Another note was written first; nothing was written.
    pending = 6,      ///< Written or begun, but not yet in force or done.
    unknown_outcome = 7, ///< Whether the note was written is not known.
};

/// @brief Name of an exit code in snake_case.
std::string_view name(exit_code code) noexcept;

/// @brief Dependencies and options of a command. All references must outlive
/// them.
struct command_environment
{
    store* config_store = nullptr; ///< Null without --store.
    net::http_caller& caller;
    /// Entry VMs to ask; if empty, those of the fleet record in the store.
    std::vector<net::endpoint> entries;
    const clock& time;
    delay_function run_after;
    std::istream& in;
    std::ostream& out;
    std::ostream& err; ///< Progress and errors.
    bool json = false; ///< One JSON document on `out` instead of text.
    /// Longest wait of `apply` and `drain`.
    duration max_wait = std::chrono::seconds(30);
    duration call_timeout = std::chrono::seconds(2);
    duration poll_interval = std::chrono::milliseconds(200);
    /// Metrics listener of a gateway, for `explain`.
    std::optional<net::endpoint> gateway = std::nullopt;
    /// Organisation and object of the request that `explain` asks about.
    std::string organisation = {};
    std::string object = {};
};

/// @brief Runs one command.
/// @param environment dependencies and options of the command
/// @param words the command and its arguments
/// @param done called once with the exit code, possibly before the return
void run_command(const command_environment& environment,
                 const std::vector<std::string>& words,
                 std::function<void(exit_code)> done);

/// @brief Help text with one line per command.
std::string commands_help();

} // namespace siskinflow
