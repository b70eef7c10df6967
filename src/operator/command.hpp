/// @file
/// @brief Base class and helper functions of the commands.
#pragma once

#include "stored_configuration.hpp"
#include <siskinflow/core/error.hpp>
#include <siskinflow/operator/commands.hpp>
#include <siskinflow/operator/vm_status.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::operator_detail
{

using exit_handler = std::function<void(exit_code)>;

/// @brief Base of a running command; it is kept alive by its callbacks.
class command : public std::enable_shared_from_this<command>
{
public:
    command(command_environment environment, exit_handler done);
    virtual ~command() = default;

    virtual void start() = 0;

protected:
    /// @brief Ends the command with its result: JSON, or text for people.
    void finish(exit_code code, nlohmann::json document, std::string_view text);

    /// @brief Ends the command with an error.
    void fail_with(exit_code code, std::string_view message,
                   nlohmann::json document = nlohmann::json::object());

    /// @brief Prints a progress line on standard error.
    void progress(std::string_view line);

    /// @brief Uses the given entry VMs or reads them from the fleet record in
    /// the store; ends the command if it finds none.
    void resolve_entries(std::function<void()> next);

    /// @brief Requests the status of all entry VMs.
    void query_status(std::function<void(fleet_view)> next);

    /// @brief Reads and checks the configuration in the store; ends the
    /// command if it can't.
    void read_configuration(std::function<void(stored_configuration)> next);

    /// @brief Checks that a store is configured; otherwise ends the command
    /// with a usage error.
    /// @param purpose why the command needs the store, for the message
    bool require_store(std::string_view purpose);

    template <class Derived>
    std::shared_ptr<Derived> self()
    {
        return std::static_pointer_cast<Derived>(shared_from_this());
    }

    command_environment environment_;

private:
    exit_handler on_exit_;
};

/// @brief Reads a file, or standard input for "-".
result<std::string> read_input(std::istream& in, const std::string& file);

/// @brief HTTP endpoints of the entry VMs in the fleet record; empty if the
/// record can't be read.
std::vector<net::endpoint>
entry_endpoints(const result<std::optional<store_value>>& answer);

/// @brief Joins names with ", ".
std::string join_names(const std::vector<std::string>& names);

/// @brief JSON list of the entry VMs that gave no usable answer.
nlohmann::json unresponsive_json(const fleet_view& view);

std::shared_ptr<command> make_validate(command_environment environment,
                                       const std::string& file,
                                       exit_handler done);
std::shared_ptr<command> make_apply(command_environment environment,
                                    const std::string& file, exit_handler done);
std::shared_ptr<command> make_status(command_environment environment,
                                     exit_handler done);
std::shared_ptr<command> make_drain(command_environment environment,
                                    const std::string& target,
                                    exit_handler done);
std::shared_ptr<command> make_report(command_environment environment,
                                     const std::string& route,
                                     exit_handler done);
std::shared_ptr<command> make_explain(command_environment environment,
                                      const std::string& location,
                                      exit_handler done);
std::shared_ptr<command> make_hash_key(command_environment environment,
                                       exit_handler done);
std::shared_ptr<command> make_site_map_publish(command_environment environment,
                                               const std::string& file,
                                               exit_handler done);
std::shared_ptr<command> make_site_map_show(command_environment environment,
                                            exit_handler done);
std::shared_ptr<command> make_site_map_find(command_environment environment,
                                            const std::string& address,
                                            exit_handler done);

} // namespace siskinflow::operator_detail
