#include "test_sections.hpp"
#include <siskinflow/config/settings.hpp>
#include <siskinflow/gateway/gateway_settings.hpp>

#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace siskinflow;
using test_sections::section;

namespace
{

const std::vector<std::string> required = {"--vm_name=vm1", "--region=north",
                                           "--failure_domain=n1",
                                           "--store=127.0.0.1:2379"};

result<std::optional<settings>> load(std::vector<std::string> arguments,
                                     bool with_required = true)
{
    const gflags::FlagSaver restore;
    if (with_required)
    {
        arguments.insert(arguments.begin(), required.begin(), required.end());
    }
    std::vector<const char*> argv = {"siskinflowd"};
    for (const auto& argument : arguments)
    {
        argv.push_back(argument.c_str());
    }
    return load_settings(static_cast<int>(argv.size()), argv.data());
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against settings that reach the daemon changed or not at all.
Test(config_settings, flags_and_variables)
{
    const auto value =
        *load({"--seeds", "127.0.0.1:1,[::1]:2", "--lookup_lifetime_s=3",
               "--log_format=json", "--site=munich"})
             .value();
    EXPECT(value.vm_name == "vm1" && value.store.size() == 1);
    EXPECT(value.seeds.size() == 2 && value.seeds[1].address == "::1");
    EXPECT(value.lookup_lifetime == std::chrono::seconds(3));
    EXPECT(value.format == log_format::json);
    EXPECT(value.site == "munich" && load({}).value()->site.empty());
    EXPECT(value.advertise_http == value.http_listen);
    EXPECT(!value.vm_list.has_value());
    section("a flag takes precedence over its variable",
            []
            {
                setenv("SISKINFLOW_MAX_CONNECTIONS", "7", 1);
                EXPECT(load({}).value()->max_connections == 7);
                EXPECT(load({"--max_connections=8"}).value()->max_connections ==
                       8);
                setenv("SISKINFLOW_MAX_CONNECTIONS", "x", 1);
                EXPECT(contains(load({}).error().message,
                                "SISKINFLOW_MAX_CONNECTIONS: 'x'"));
                unsetenv("SISKINFLOW_MAX_CONNECTIONS");
            });
    EXPECT(!load({"--help"}).value().has_value());
}

// Guards against a bad setting that is reported only once the daemon serves.
Test(config_settings, each_bad_flag_is_named_in_one_line)
{
    const std::vector<std::string> bad = {"--vm_name=a b",
                                          "--region=",
                                          "--failure_domain=",
                                          "--site=a/b",
                                          "--http_listen=localhost:1",
                                          "--control_listen=1",
                                          "--advertise_http=0.0.0.0:80",
                                          "--advertise_control=127.0.0.1:0",
                                          "--store=",
                                          "--store=127.0.0.1:1,x",
                                          "--vm_list=x",
                                          "--seeds=127.0.0.1:0",
                                          "--certificate_file=no/such/file",
                                          "--key_file=no/such/file",
                                          "--max_connections=0",
                                          "--max_connections=-1",
                                          "--max_header_bytes=1023",
                                          "--max_body_bytes=67108865",
                                          "--max_body_memory_bytes=1048575",
                                          "--request_timeout_ms=99",
                                          "--lookup_lifetime_s=301",
                                          "--log_level=loud",
                                          "--log_format=xml",
                                          "--unknown=1"};
    for (const auto& argument : bad)
    {
        section(argument,
                [&]
                {
                    const auto outcome = load({argument});
                    EXPECT(!outcome.has_value());
                    const auto& message = outcome.error().message;
                    const auto flag = argument.substr(0, argument.find('='));
                    const bool pair = contains(argument, "_file");
                    EXPECT(pair ? contains(message, "_file: is missing")
                                : message.starts_with(flag + ": "));
                    EXPECT(!contains(message, "\n"));
                });
    }
    EXPECT(contains(load({}, false).error().message, "--vm_name"));
    EXPECT(contains(load({"word"}).error().message, "'word' is not a flag"));
    EXPECT(contains(load({"--region"}).error().message, "value is missing"));
    EXPECT(contains(
        load({"--certificate_file=no/such/file", "--key_file=no/such/file"})
            .error()
            .message,
        "--certificate_file: file 'no/such/file' can't be read"));
}

namespace
{

/// The default as a page shows it; gflags prints 17 digits of a number.
std::string default_of(const gflags::CommandLineFlagInfo& info)
{
    if (info.default_value.empty())
    {
        return "none";
    }
    std::ostringstream out;
    if (info.type == "double")
    {
        out << '`' << std::stod(info.default_value) << '`';
        return out.str();
    }
    return "`" + info.default_value + "`";
}

/// Checks that a page lists each flag with its default, and no other.
void check_page(const std::string& file, const std::vector<std::string>& names,
                const std::string& help)
{
    std::ifstream in(std::string(SISKINFLOW_SOURCE_DIR) + "/docs/" + file);
    const std::string page{std::istreambuf_iterator<char>(in),
                           std::istreambuf_iterator<char>()};
    for (const auto& name : names)
    {
        section(name,
                [&]
                {
                    const auto info =
                        gflags::GetCommandLineFlagInfoOrDie(name.c_str());
                    const std::string default_text = default_of(info);
                    EXPECT(contains(page, "| `--" + name + "` | " +
                                              default_text + " |"));
                    EXPECT(contains(help, "--" + name + " ("));
                    EXPECT(contains(help, environment_name(name)));
                });
    }
    const std::string row = "| `--";
    std::size_t rows = 0;
    for (auto at = page.find(row); at != std::string::npos;
         at = page.find(row, at + 1))
    {
        ++rows;
    }
    EXPECT(rows == names.size());
}

} // namespace

// Guards against a page of settings that differs from the code.
Test(config_settings, the_pages_list_every_flag_with_its_default)
{
    section("entry daemon", []
            { check_page("settings.md", setting_names(), settings_help()); });
    section("gateway daemon",
            []
            {
                check_page("gateway-settings.md",
                           gateway::gateway_setting_names(),
                           gateway::gateway_settings_help());
            });
}

// Guards against a gateway that starts with a setting it can't use.
Test(config_settings, the_gateway_names_the_bad_flag)
{
    const auto fault = [](std::vector<const char*> extra)
    {
        std::vector<const char*> arguments = {"siskinflow_gateway",
                                              "--vm_name=a",
                                              "--region=north",
                                              "--failure_domain=z1",
                                              "--store=127.0.0.1:1",
                                              "--http_listen=127.0.0.1:2",
                                              "--control_listen=127.0.0.1:3"};
        arguments.insert(arguments.end(), extra.begin(), extra.end());
        const auto loaded = gateway::load_gateway_settings(
            static_cast<int>(arguments.size()), arguments.data());
        return loaded ? std::string() : loaded.error().message;
    };
    EXPECT(fault({}).empty());
    EXPECT(contains(fault({"--stop_grace=6"}), "--stop_grace: '6'"));
    EXPECT(contains(fault({"--stop_grace=6s", "--domain_regions=z1"}),
                    "--domain_regions: 'z1'"));
    EXPECT(contains(fault({"--domain_regions=z1=north", "--retry_ratio=2"}),
                    "--retry_ratio"));
    EXPECT(contains(fault({"--retry_ratio=0.2", "--memory_limit=31"}),
                    "--memory_limit"));
    EXPECT(contains(fault({"--memory_limit=32", "--descriptor_limit=511"}),
                    "--descriptor_limit"));
}
