#include <siskinflow/config/flags.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/operator/commands.hpp>
#include <siskinflow/store/etcd_store.hpp>

#include <gflags/gflags.h>

#include <iostream>
#include <memory>
#include <optional>

DEFINE_string(store, "", "Endpoints of the store, with commas between them");
DEFINE_string(entry, "",
              "Endpoints of entry VMs, with commas between them; if empty, "
              "those that the store lists");
DEFINE_string(output, "text", "Form of the output: text or json");
DEFINE_double(wait, 30, "Longest wait of apply and drain, in seconds (0-3600)");
DEFINE_uint32(call_timeout_ms, 2000,
              "Deadline of each call, in milliseconds (1-60000)");
DEFINE_string(gateway, "",
              "Address and port of the metrics of a gateway, for explain");
DEFINE_string(organisation, "",
              "Organisation of the request, for explain; empty: no key");
DEFINE_string(object, "", "Object of the request, for explain; empty: none");

namespace
{

using namespace siskinflow;

constexpr double max_wait_s = 3600;
constexpr std::uint32_t max_call_timeout_ms = 60'000;

const std::vector<std::string>& flag_names()
{
    static const std::vector<std::string> names = {
        "store",           "entry",   "output",       "wait",
        "call_timeout_ms", "gateway", "organisation", "object"};
    return names;
}

int usage_error(const std::string& message)
{
    std::cerr << "siskinflowctl: " << message << '\n';
    return static_cast<int>(exit_code::usage);
}

void print_help()
{
    std::cout << "siskinflowctl [flags] COMMAND [argument]\n\nCommands:\n"
              << commands_help() << "\nFlags:\n"
              << flags_help(flag_names());
}

/// @brief Checks the flags that are not endpoints.
result<void> check_flags()
{
    if (FLAGS_output != "text" && FLAGS_output != "json")
    {
        return fail(errc::invalid_argument,
                    "--output: '" + FLAGS_output + "' is not text or json");
    }
    if (!(FLAGS_wait >= 0 && FLAGS_wait <= max_wait_s))
    {
        return fail(errc::invalid_argument,
                    "--wait: " + std::to_string(FLAGS_wait) +
                        " is not a number of seconds from 0 to 3600");
    }
    if (FLAGS_call_timeout_ms < 1 ||
        FLAGS_call_timeout_ms > max_call_timeout_ms)
    {
        return fail(
            errc::invalid_argument,
            "--call_timeout_ms: " + std::to_string(FLAGS_call_timeout_ms) +
                " is not from 1 to 60000");
    }
    return ok();
}

int run(const std::vector<net::endpoint>& store_endpoints,
        const std::vector<net::endpoint>& entry_endpoints,
        const std::optional<net::endpoint>& gateway,
        const std::vector<std::string>& words)
{
    const boot_clock time;
    net::event_loop loop(time);
    net::http_client client(loop);
    std::unique_ptr<etcd_store> config_store;
    if (!store_endpoints.empty())
    {
        config_store = std::make_unique<etcd_store>(
            client,
            [&loop](std::function<void()> callback)
            { loop.post(std::move(callback)); },
            etcd_store_options{.endpoints = store_endpoints});
    }
    const command_environment environment{
        .config_store = config_store.get(),
        .caller = client,
        .entries = entry_endpoints,
        .time = time,
        .run_after = [&loop](duration delay, std::function<void()> callback)
        { loop.after(delay, std::move(callback)); },
        .in = std::cin,
        .out = std::cout,
        .err = std::cerr,
        .json = FLAGS_output == "json",
        .max_wait = std::chrono::milliseconds(
            static_cast<std::int64_t>(FLAGS_wait * 1000)),
        .call_timeout = std::chrono::milliseconds(FLAGS_call_timeout_ms),
        .gateway = gateway,
        .organisation = FLAGS_organisation,
        .object = FLAGS_object};
    std::optional<exit_code> code;
    loop.post(
        [&]
        {
            run_command(environment, words,
                        [&](exit_code final_code)
                        {
                            code = final_code;
                            loop.stop();
                        });
        });
    loop.run();
    return static_cast<int>(code.value_or(exit_code::unavailable));
}

} // namespace

int main(int argc, char** argv)
{
    const auto command_line = read_flags(argc, argv, flag_names());
    if (!command_line)
    {
        return usage_error(command_line.error().message);
    }
    if (command_line.value().help)
    {
        print_help();
        return 0;
    }
    const auto flag_check = check_flags();
    if (!flag_check)
    {
        return usage_error(flag_check.error().message);
    }
    const auto store_endpoints = parse_endpoint_list(FLAGS_store);
    if (!store_endpoints)
    {
        return usage_error("--store: " + store_endpoints.error().message);
    }
    const auto entry_endpoints = parse_endpoint_list(FLAGS_entry);
    if (!entry_endpoints)
    {
        return usage_error("--entry: " + entry_endpoints.error().message);
    }
    std::optional<net::endpoint> gateway;
    if (!FLAGS_gateway.empty())
    {
        const auto parsed = net::parse_endpoint(FLAGS_gateway);
        if (!parsed)
        {
            return usage_error("--gateway: " + parsed.error().message);
        }
        gateway = parsed.value();
    }
    return run(store_endpoints.value(), entry_endpoints.value(), gateway,
               command_line.value().positional_arguments);
}
