#include <siskinflow/config/flags.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>

namespace siskinflow
{

namespace
{

gflags::CommandLineFlagInfo flag_info(const std::string& name)
{
    return gflags::GetCommandLineFlagInfoOrDie(name.c_str());
}

bool is_known(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// @param origin the flag or variable as the user wrote it
result<void> set_flag(const std::string& name, const std::string& value,
                      const std::string& origin)
{
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
    {
        return fail(errc::invalid_argument, origin + ": '" + value +
                                                "' is not a valid " +
                                                flag_info(name).type);
    }
    return ok();
}

result<void> read_environment(const std::vector<std::string>& names)
{
    for (const auto& name : names)
    {
        const std::string variable = environment_name(name);
        const char* value = std::getenv(variable.c_str());
        if (value == nullptr)
        {
            continue;
        }
        auto outcome = set_flag(name, value, variable);
        if (!outcome)
        {
            return outcome;
        }
    }
    return ok();
}

/// @brief Parses the arguments of a command line.
class argument_parser
{
public:
    argument_parser(int argc, const char* const* argv,
                    const std::vector<std::string>& names)
        : arguments_(argv + 1, argv + std::max(argc, 1)), names_(names)
    {
    }

    result<command_line> parse()
    {
        while (next_index_ < arguments_.size())
        {
            auto outcome = parse_argument(arguments_[next_index_++]);
            if (!outcome)
            {
                return outcome.as_failure();
            }
        }
        return command_line_;
    }

private:
    result<void> parse_argument(const std::string& argument)
    {
        if (argument == "--")
        {
            command_line_.positional_arguments.insert(
                command_line_.positional_arguments.end(),
                arguments_.begin() + static_cast<std::ptrdiff_t>(next_index_),
                arguments_.end());
            next_index_ = arguments_.size();
            return ok();
        }
        if (!argument.starts_with('-') || argument == "-")
        {
            command_line_.positional_arguments.push_back(argument);
            return ok();
        }
        return parse_flag(argument);
    }

    result<void> parse_flag(const std::string& argument)
    {
        const std::string text =
            argument.substr(argument.starts_with("--") ? 2 : 1);
        const auto equals = text.find('=');
        const std::string name = text.substr(0, equals);
        if (name == "help" || name == "h")
        {
            command_line_.help = true;
            return ok();
        }
        if (!is_known(names_, name))
        {
            return fail(errc::invalid_argument,
                        "--" + name + ": unknown flag; --help lists all");
        }
        if (equals != std::string::npos)
        {
            return set_flag(name, text.substr(equals + 1), "--" + name);
        }
        if (flag_info(name).type == "bool")
        {
            return set_flag(name, "true", "--" + name);
        }
        if (next_index_ == arguments_.size())
        {
            return fail(errc::invalid_argument,
                        "--" + name + ": the value is missing");
        }
        return set_flag(name, arguments_[next_index_++], "--" + name);
    }

    std::vector<std::string> arguments_;
    const std::vector<std::string>& names_;
    std::size_t next_index_ = 0;
    command_line command_line_;
};

} // namespace

std::string environment_name(std::string_view flag)
{
    std::string out = "SISKINFLOW_";
    for (const char c : flag)
    {
        out.push_back(c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A')
                                           : c);
    }
    return out;
}

result<command_line> read_flags(int argc, const char* const* argv,
                                const std::vector<std::string>& names)
{
    auto outcome = read_environment(names);
    if (!outcome)
    {
        return outcome.as_failure();
    }
    return argument_parser(argc, argv, names).parse();
}

result<std::vector<net::endpoint>> parse_endpoint_list(std::string_view text)
{
    std::vector<net::endpoint> out;
    while (!text.empty())
    {
        const auto comma = text.find(',');
        auto parsed = net::parse_endpoint(text.substr(0, comma));
        if (!parsed)
        {
            return parsed.as_failure();
        }
        if (parsed.value().port == 0)
        {
            return fail(errc::parse_error, "'" +
                                               net::to_string(parsed.value()) +
                                               "' has no port to connect to");
        }
        out.push_back(std::move(parsed).value());
        text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                           : comma + 1);
    }
    return out;
}

std::string flags_help(const std::vector<std::string>& names)
{
    std::string out;
    for (const auto& name : names)
    {
        const auto info = flag_info(name);
        out += "  --" + name + " (" + info.type + ", default '" +
               info.default_value + "', " + environment_name(name) + ")\n" +
               "      " + info.description + "\n";
    }
    return out;
}

} // namespace siskinflow
