#include "command.hpp"
#include <siskinflow/operator/commands.hpp>

#include <algorithm>
#include <ostream>

namespace siskinflow
{

using namespace operator_detail;

namespace
{

/// @brief A command, its argument, its help text and its factory.
struct command_definition
{
    const char* name;
    const char* argument; ///< Empty: none.
    const char* description;
    std::shared_ptr<command> (*make)(command_environment, const std::string&,
                                     exit_handler);
};

constexpr command_definition definitions[] = {
    {"validate", "FILE",
     "checks a release note; with --store also against the configuration",
     make_validate},
    {"apply", "FILE", "writes a release note and waits until it is in force",
     make_apply},
    {"status", "", "shows what is in force, per VM, and which VM lags",
     [](command_environment environment, const std::string&, exit_handler done)
     { return make_status(std::move(environment), std::move(done)); }},
    {"report", "ROUTE", "shows the final report of a route", make_report},
    {"drain", "TARGET", "waits until a withdrawn target runs no request",
     make_drain},
    {"explain", "HOST/PATH",
     "tells where a gateway would route a request now, and why", make_explain},
    {"hash-key", "", "reads a key from standard input and prints its SHA-256",
     [](command_environment environment, const std::string&, exit_handler done)
     { return make_hash_key(std::move(environment), std::move(done)); }},
    {"sitemap publish", "FILE", "writes the site map to the store",
     make_site_map_publish},
    {"sitemap show", "", "shows sites, size and hash of the site map",
     [](command_environment environment, const std::string&, exit_handler done)
     { return make_site_map_show(std::move(environment), std::move(done)); }},
    {"sitemap find", "ADDRESS", "says which site an address belongs to",
     make_site_map_find},
};

/// @brief Whether an argument can be sent in a URL as it is.
bool is_plain_name(const std::string& text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [](char c)
                                        {
                                            return (c >= 'a' && c <= 'z') ||
                                                   (c >= 'A' && c <= 'Z') ||
                                                   (c >= '0' && c <= '9') ||
                                                   c == '.' || c == '_' ||
                                                   c == '-';
                                        });
}

/// @brief Merges `sitemap` and its subcommand into one word.
std::vector<std::string> merge_subcommand(std::vector<std::string> words)
{
    if (words.size() > 1 && words[0] == "sitemap")
    {
        words[0] += " " + words[1];
        words.erase(words.begin() + 1);
    }
    return words;
}

void fail_usage(const command_environment& environment,
                const std::string& message, const exit_handler& done)
{
    environment.err << "siskinflowctl: " << message
                    << "; --help lists all commands\n";
    done(exit_code::usage);
}

} // namespace

std::string_view name(exit_code code) noexcept
{
    switch (code)
    {
    case exit_code::ok:
        return "ok";
    case exit_code::usage:
        return "usage";
    case exit_code::invalid_note:
        return "invalid_note";
    case exit_code::unavailable:
        return "unavailable";
    case exit_code::conflict:
        return "conflict";
    case exit_code::pending:
        return "pending";
    case exit_code::unknown_outcome:
        return "unknown_outcome";
    }
    return "unknown";
}

void run_command(const command_environment& environment,
                 const std::vector<std::string>& arguments,
                 std::function<void(exit_code)> done)
{
    const auto words = merge_subcommand(arguments);
    if (words.empty())
    {
        fail_usage(environment, "the command is missing", done);
        return;
    }
    const auto definition =
        std::find_if(std::begin(definitions), std::end(definitions),
                     [&](const auto& entry) { return entry.name == words[0]; });
    if (definition == std::end(definitions))
    {
        fail_usage(environment, "command '" + words[0] + "' is unknown", done);
        return;
    }
    const std::string argument_name = definition->argument;
    if (words.size() != (argument_name.empty() ? 1U : 2U))
    {
        fail_usage(environment,
                   words[0] + (argument_name.empty()
                                   ? " takes no argument"
                                   : " takes one " + argument_name),
                   done);
        return;
    }
    const std::string argument = argument_name.empty() ? "" : words[1];
    const bool is_name = argument_name == "ROUTE" || argument_name == "TARGET";
    if (is_name && !is_plain_name(argument))
    {
        fail_usage(environment,
                   argument_name + " '" + argument +
                       "' is not a name of letters, digits, '.', '_' or '-'",
                   done);
        return;
    }
    definition->make(environment, argument, std::move(done))->start();
}

std::string commands_help()
{
    std::string out;
    for (const auto& entry : definitions)
    {
        std::string usage =
            std::string("  ") + entry.name + " " + entry.argument;
        usage.resize(std::max<std::size_t>(25, usage.size() + 1), ' ');
        out += usage + entry.description + "\n";
    }
    return out;
}

} // namespace siskinflow
