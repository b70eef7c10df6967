#include "../config/flag_checker.hpp"
#include <siskinflow/gateway/gateway_settings.hpp>

#include <gflags/gflags.h>

#include <sstream>

DECLARE_string(vm_name);
DECLARE_string(region);
DECLARE_string(failure_domain);
DECLARE_string(http_listen);
DECLARE_string(control_listen);
DECLARE_string(store);
DECLARE_uint64(max_connections);

DEFINE_string(readiness_listen, "127.0.0.1:8082",
              "Address and port of the readiness check");
DEFINE_string(directory_listen, "127.0.0.1:8083",
              "Address and port of the directory of VMs for callers");
DEFINE_string(metrics_listen, "127.0.0.1:8084",
              "Address and port of the metrics");
DEFINE_string(domain_regions, "",
              "Region of each failure domain, as a comma-separated list of "
              "domain=region");
DEFINE_uint64(memory_limit, 256,
              "Memory of the machine in MB; bodies and answers get a third of "
              "what 24 MB for the process leave (32-1000000)");
DEFINE_uint64(descriptor_limit, 4096,
              "Descriptors that the process may open; a lower limit of the "
              "system wins (512-1000000)");
DEFINE_string(stop_grace, "6s",
              "Time from SIGTERM to the forced exit of the process");
DEFINE_string(directory_lifetime, "1s", "Lifetime of a lookup answer");
DEFINE_string(policy_limit, "2500ms",
              "Time within which a change of the operators' entries must be in "
              "force on all VMs (1s-1h)");
DEFINE_string(drain_limit, "2500ms",
              "Time within which a change of a target's registration must be "
              "in force on all VMs (1s-1h)");
DEFINE_string(revocation_limit, "",
              "Time without confirmation from the store after which requests "
              "with a key are refused; empty: no limit");
DEFINE_double(retry_ratio, 0.2,
              "Further attempts allowed per request, over all VMs (0-1)");
DEFINE_double(retry_slack, 50,
              "Further attempts allowed beyond the ratio, over all VMs "
              "(0-100000)");
DEFINE_double(cold_slack, 5,
              "Requests per second that a cold target may get beyond its "
              "rate, over all VMs (0-1000)");
DEFINE_double(region_exchange_bytes, 2048,
              "Mean bytes of a request and its answer up to which the objects "
              "of a service are spread over the region (0-1000000000)");

namespace siskinflow::gateway
{

namespace
{

void check_range(flag_checker& check, std::string_view flag, double value,
                 double max)
{
    if (!(value >= 0 && value <= max))
    {
        check.add_fault(flag, "is not from 0 to " + std::to_string(max));
    }
}

std::map<std::string, std::string> read_regions(flag_checker& check,
                                                const std::string& text)
{
    std::map<std::string, std::string> out;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');)
    {
        const auto equals = part.find('=');
        if (equals == std::string::npos || equals == 0 ||
            equals + 1 == part.size())
        {
            check.add_fault("domain_regions",
                            "'" + part + "' is not of the form domain=region");
            return out;
        }
        out[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return out;
}

void check_self(flag_checker& check, gateway_settings& out)
{
    out.self.name = check.name_text("vm_name", FLAGS_vm_name);
    out.self.region = check.name_text("region", FLAGS_region);
    out.self.failure_domain =
        check.name_text("failure_domain", FLAGS_failure_domain);
    out.self.requests =
        check.connectable_address("http_listen", FLAGS_http_listen, {});
    out.self.peers =
        check.connectable_address("control_listen", FLAGS_control_listen, {});
}

void check_addresses(flag_checker& check, gateway_settings& out)
{
    out.readiness_listen =
        check.address("readiness_listen", FLAGS_readiness_listen);
    out.directory_listen =
        check.address("directory_listen", FLAGS_directory_listen);
    out.metrics_listen = check.address("metrics_listen", FLAGS_metrics_listen);
    out.store = check.address("store", FLAGS_store);
    out.regions = read_regions(check, FLAGS_domain_regions);
    out.regions[out.self.failure_domain] = out.self.region;
}

duration read_limit(flag_checker& check, std::string_view flag,
                    const std::string& text)
{
    constexpr duration min_limit = std::chrono::seconds(1);
    constexpr duration max_limit = std::chrono::hours(1);
    const duration limit = check.duration_value(flag, text);
    if (limit < min_limit || limit > max_limit)
    {
        check.add_fault(flag, "is not from 1s to 1h");
    }
    return limit;
}

void check_limits(flag_checker& check, gateway_settings& out)
{
    out.max_connections =
        check.number("max_connections", FLAGS_max_connections, 1, 1'000'000);
    constexpr std::size_t megabyte = 1U << 20;
    out.memory_bytes =
        check.number("memory_limit", FLAGS_memory_limit, 32, 1'000'000) *
        megabyte;
    out.max_descriptors = check.number("descriptor_limit",
                                       FLAGS_descriptor_limit, 512, 1'000'000);
    out.stop_grace = check.duration_value("stop_grace", FLAGS_stop_grace);
    out.lookup_lifetime =
        check.duration_value("directory_lifetime", FLAGS_directory_lifetime);
    out.policy_limit = read_limit(check, "policy_limit", FLAGS_policy_limit);
    out.drain_limit = read_limit(check, "drain_limit", FLAGS_drain_limit);
    if (!FLAGS_revocation_limit.empty())
    {
        out.revocation_limit =
            check.duration_value("revocation_limit", FLAGS_revocation_limit);
    }
    check_range(check, "retry_ratio", FLAGS_retry_ratio, 1);
    check_range(check, "retry_slack", FLAGS_retry_slack, 100'000);
    check_range(check, "cold_slack", FLAGS_cold_slack, 1000);
    out.retry_ratio = FLAGS_retry_ratio;
    out.retry_slack = FLAGS_retry_slack;
    out.cold_slack = FLAGS_cold_slack;
    check_range(check, "region_exchange_bytes", FLAGS_region_exchange_bytes,
                1e9);
    out.region_exchange_bytes = FLAGS_region_exchange_bytes;
}

} // namespace

const std::vector<std::string>& gateway_setting_names()
{
    static const std::vector<std::string> names = {"vm_name",
                                                   "region",
                                                   "failure_domain",
                                                   "http_listen",
                                                   "control_listen",
                                                   "readiness_listen",
                                                   "directory_listen",
                                                   "metrics_listen",
                                                   "store",
                                                   "domain_regions",
                                                   "max_connections",
                                                   "memory_limit",
                                                   "descriptor_limit",
                                                   "stop_grace",
                                                   "directory_lifetime",
                                                   "policy_limit",
                                                   "drain_limit",
                                                   "revocation_limit",
                                                   "retry_ratio",
                                                   "retry_slack",
                                                   "cold_slack",
                                                   "region_exchange_bytes",
                                                   "log_level",
                                                   "log_format"};
    return names;
}

result<std::optional<gateway_settings>>
load_gateway_settings(int argc, const char* const* argv)
{
    const auto help = read_flags_only(argc, argv, gateway_setting_names());
    if (!help)
    {
        return help.error();
    }
    if (help.value())
    {
        return std::optional<gateway_settings>();
    }
    flag_checker check;
    gateway_settings out;
    check_self(check, out);
    check_addresses(check, out);
    check_limits(check, out);
    check_log_flags(check, out.level, out.format);
    if (!check.fault().empty())
    {
        return fail(errc::invalid_argument, check.fault());
    }
    return std::optional(std::move(out));
}

std::string gateway_settings_help()
{
    return "siskinflow_gateway [flags]\n\nRuns the gateway daemon. A flag on "
           "the command line wins over its environment variable.\n\nFlags:\n" +
           flags_help(gateway_setting_names());
}

} // namespace siskinflow::gateway
