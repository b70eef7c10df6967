#include "command.hpp"

#include "stored_configuration.hpp"
#include <siskinflow/config/configuration_json.hpp>
#include <siskinflow/fleet/fleet_record.hpp>

#include <fstream>
#include <iterator>
#include <ostream>

namespace siskinflow::operator_detail
{

using nlohmann::json;

command::command(command_environment environment, exit_handler done)
    : environment_(std::move(environment)), on_exit_(std::move(done))
{
}

void command::finish(exit_code code, json document, std::string_view text)
{
    if (environment_.json)
    {
        document["result"] = name(code);
        environment_.out << document.dump(2, ' ', false,
                                          json::error_handler_t::replace)
                         << '\n';
    }
    else
    {
        environment_.out << text;
    }
    environment_.out.flush();
    on_exit_(code);
}

void command::fail_with(exit_code code, std::string_view message, json document)
{
    if (environment_.json)
    {
        document["error"] = message;
        finish(code, std::move(document), {});
        return;
    }
    environment_.err << "siskinflowctl: " << message << '\n';
    environment_.err.flush();
    on_exit_(code);
}

void command::progress(std::string_view line)
{
    environment_.err << line << '\n';
    environment_.err.flush();
}

bool command::require_store(std::string_view purpose)
{
    if (environment_.config_store != nullptr)
    {
        return true;
    }
    fail_with(exit_code::usage, "--store is missing; " + std::string(purpose));
    return false;
}

void command::resolve_entries(std::function<void()> next)
{
    if (!environment_.entries.empty())
    {
        next();
        return;
    }
    if (!require_store("give it, or the entry VMs by --entry"))
    {
        return;
    }
    environment_.config_store->read(
        store_keys::fleet, environment_.call_timeout,
        [this, keep_alive = shared_from_this(),
         next = std::move(next)](result<std::optional<store_value>> answer)
        {
            if (!answer)
            {
                fail_with(exit_code::unavailable,
                          "the list of entry VMs can't be read: " +
                              answer.error().message +
                              "; try again or give --entry");
                return;
            }
            environment_.entries = entry_endpoints(answer);
            if (environment_.entries.empty())
            {
                fail_with(exit_code::unavailable,
                          "the store lists no entry VM; start one or give "
                          "--entry");
                return;
            }
            next();
        });
}

void command::query_status(std::function<void(fleet_view)> next)
{
    query_fleet_status(
        environment_.caller, environment_.entries, environment_.call_timeout,
        [keep_alive = shared_from_this(),
         next = std::move(next)](fleet_view view) { next(std::move(view)); });
}

void command::read_configuration(std::function<void(stored_configuration)> next)
{
    environment_.config_store->read(
        store_keys::config, environment_.call_timeout,
        [this, keep_alive = shared_from_this(),
         next = std::move(next)](result<std::optional<store_value>> answer)
        {
            if (!answer)
            {
                fail_with(exit_code::unavailable,
                          "the configuration can't be read: " +
                              answer.error().message +
                              "; nothing was written, try again");
                return;
            }
            if (!answer.value())
            {
                next({});
                return;
            }
            auto parsed = parse_configuration(answer.value()->value);
            if (!parsed)
            {
                fail_with(exit_code::unavailable,
                          "the configuration in the store is not valid for "
                          "this version of siskinflowctl: " +
                              parsed.error().message);
                return;
            }
            next({std::move(parsed).value(), answer.value()->mod_revision});
        });
}

result<std::string> read_input(std::istream& in, const std::string& file)
{
    const auto all = [](std::istream& from)
    {
        return std::string(std::istreambuf_iterator<char>(from),
                           std::istreambuf_iterator<char>());
    };
    if (file == "-")
    {
        return all(in);
    }
    std::ifstream stream(file, std::ios::binary);
    std::string text = all(stream);
    if (!stream)
    {
        return fail(errc::io_error, "file '" + file +
                                        "' can't be read; check the name and "
                                        "the permissions");
    }
    return text;
}

std::vector<net::endpoint>
entry_endpoints(const result<std::optional<store_value>>& answer)
{
    std::vector<net::endpoint> out;
    if (!answer || !answer.value())
    {
        return out;
    }
    const auto record = parse_fleet_record(answer.value()->value);
    if (record)
    {
        for (const auto& member : record.value().members)
        {
            out.push_back(member.http);
        }
    }
    return out;
}

std::string join_names(const std::vector<std::string>& names)
{
    std::string out;
    for (const auto& name : names)
    {
        out += (out.empty() ? "" : ", ") + name;
    }
    return out;
}

json unresponsive_json(const fleet_view& view)
{
    json out = json::array();
    for (const auto& vm : view.unresponsive)
    {
        out.push_back(
            {{"entry", net::to_string(vm.address)}, {"reason", vm.reason}});
    }
    return out;
}

} // namespace siskinflow::operator_detail
