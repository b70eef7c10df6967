#include "flag_checker.hpp"
#include <siskinflow/config/settings.hpp>

#include <gflags/gflags.h>

#include <algorithm>

DEFINE_string(vm_name, "", "Name of this VM in the platform's VM list");
DEFINE_string(region, "", "Region of this VM");
DEFINE_string(failure_domain, "", "Failure domain of this VM");
DEFINE_string(
    site, "",
    "Site of this VM in the site map; if empty, lookups rank it by its "
    "region only");
DEFINE_string(http_listen, "127.0.0.1:8080",
              "Address and port for callers and operators");
DEFINE_string(control_listen, "127.0.0.1:8081",
              "Address and port for other VMs, over UDP and TCP");
DEFINE_string(advertise_http, "",
              "Address and port that lookups name; if empty, --http_listen");
DEFINE_string(advertise_control, "",
              "Address and port that other VMs use; if empty, "
              "--control_listen");
DEFINE_string(store, "", "Endpoints of the store, with commas between them");
DEFINE_string(vm_list, "",
              "Endpoint of the platform's VM list; if empty, it is not used");
DEFINE_string(seeds, "",
              "Control endpoints of other VMs, with commas between them, for "
              "a start while the store is down");
DEFINE_string(certificate_file, "",
              "Certificate chain in PEM; if empty, plain HTTP");
DEFINE_string(key_file, "", "Private key in PEM of the certificate");
DEFINE_uint64(max_connections, 4096,
              "Open connections of callers; further ones get status 503 "
              "(1-1000000)");
DEFINE_uint64(max_header_bytes, 32768,
              "Bytes of one request's header (1024-1048576)");
DEFINE_uint64(max_body_bytes, 1048576,
              "Bytes of one request's body, over the limits of the routes "
              "(0-67108864)");
DEFINE_uint64(max_body_memory_bytes, 67108864,
              "Bytes of all bodies held at once; at least --max_body_bytes "
              "(1048576-68719476736)");
DEFINE_uint32(request_timeout_ms, 10000,
              "Time to receive one request, in milliseconds (100-600000)");
DEFINE_uint32(lookup_lifetime_s, 10,
              "Lifetime of lookup answers, in seconds; a leaving VM serves at "
              "least as long (1-300)");
DEFINE_string(log_level, "info",
              "Least severe level that is logged: info, warning or error");
DEFINE_string(log_format, "logfmt", "Form of a log line: logfmt or json");

namespace siskinflow
{

namespace
{

void check_location(flag_checker& check, settings& out)
{
    out.vm_name = check.name_text("vm_name", FLAGS_vm_name);
    out.region = check.name_text("region", FLAGS_region);
    out.failure_domain =
        check.name_text("failure_domain", FLAGS_failure_domain);
    if (!FLAGS_site.empty())
    {
        out.site = check.name_text("site", FLAGS_site);
    }
}

void check_addresses(flag_checker& check, settings& out)
{
    out.http_listen = check.address("http_listen", FLAGS_http_listen);
    out.control_listen = check.address("control_listen", FLAGS_control_listen);
    out.advertise_http = check.connectable_address(
        "advertise_http", FLAGS_advertise_http, out.http_listen);
    out.advertise_control = check.connectable_address(
        "advertise_control", FLAGS_advertise_control, out.control_listen);
    out.store = check.addresses("store", FLAGS_store);
    if (out.store.empty())
    {
        check.add_fault("store", "is missing; give at least one endpoint");
    }
    if (!FLAGS_vm_list.empty())
    {
        out.vm_list = check.connectable_address("vm_list", FLAGS_vm_list, {});
    }
    out.seeds = check.addresses("seeds", FLAGS_seeds);
}

void check_files(flag_checker& check, settings& out)
{
    out.certificate_file = FLAGS_certificate_file;
    out.key_file = FLAGS_key_file;
    if (out.certificate_file.empty() != out.key_file.empty())
    {
        check.add_fault(out.key_file.empty() ? "key_file" : "certificate_file",
                        "is missing; give --certificate_file and --key_file "
                        "together");
    }
    check.check_readable("certificate_file", out.certificate_file);
    check.check_readable("key_file", out.key_file);
}

void check_limits(flag_checker& check, settings& out)
{
    out.max_connections =
        check.number("max_connections", FLAGS_max_connections, 1, 1'000'000);
    out.max_header_bytes =
        check.number("max_header_bytes", FLAGS_max_header_bytes, 1024, 1 << 20);
    out.max_body_bytes =
        check.number("max_body_bytes", FLAGS_max_body_bytes, 0, 64ULL << 20);
    out.max_body_memory_bytes = check.number(
        "max_body_memory_bytes", FLAGS_max_body_memory_bytes,
        std::max<std::uint64_t>(1 << 20, out.max_body_bytes), 64ULL << 30);
    out.request_timeout = std::chrono::milliseconds(check.number(
        "request_timeout_ms", FLAGS_request_timeout_ms, 100, 600'000));
    out.lookup_lifetime = std::chrono::seconds(
        check.number("lookup_lifetime_s", FLAGS_lookup_lifetime_s, 1, 300));
}

} // namespace

void check_log_flags(flag_checker& check, log_level& level, log_format& format)
{
    level =
        check.choice("log_level", FLAGS_log_level,
                     {log_level::info, log_level::warning, log_level::error});
    format = check.choice("log_format", FLAGS_log_format,
                          {log_format::logfmt, log_format::json});
}

result<bool> read_flags_only(int argc, const char* const* argv,
                             const std::vector<std::string>& names)
{
    const auto parsed = read_flags(argc, argv, names);
    if (!parsed)
    {
        return parsed.error();
    }
    if (!parsed.value().help && !parsed.value().positional_arguments.empty())
    {
        return fail(errc::invalid_argument,
                    "argument '" + parsed.value().positional_arguments.front() +
                        "' is not a flag; --help "
                        "lists all");
    }
    return parsed.value().help;
}

const std::vector<std::string>& setting_names()
{
    static const std::vector<std::string> names = {"vm_name",
                                                   "region",
                                                   "failure_domain",
                                                   "site",
                                                   "http_listen",
                                                   "control_listen",
                                                   "advertise_http",
                                                   "advertise_control",
                                                   "store",
                                                   "vm_list",
                                                   "seeds",
                                                   "certificate_file",
                                                   "key_file",
                                                   "max_connections",
                                                   "max_header_bytes",
                                                   "max_body_bytes",
                                                   "max_body_memory_bytes",
                                                   "request_timeout_ms",
                                                   "lookup_lifetime_s",
                                                   "log_level",
                                                   "log_format"};
    return names;
}

result<std::optional<settings>> load_settings(int argc, const char* const* argv)
{
    const auto help = read_flags_only(argc, argv, setting_names());
    if (!help)
    {
        return help.error();
    }
    if (help.value())
    {
        return std::optional<settings>();
    }
    flag_checker check;
    settings out;
    check_location(check, out);
    check_addresses(check, out);
    check_files(check, out);
    check_limits(check, out);
    check_log_flags(check, out.level, out.format);
    if (!check.fault().empty())
    {
        return fail(errc::invalid_argument, check.fault());
    }
    return std::optional(std::move(out));
}

std::string settings_help()
{
    return "siskinflowd [flags]\n\nRuns the entry daemon. A flag on the "
           "command line wins over its environment variable.\n\nFlags:\n" +
           flags_help(setting_names());
}

} // namespace siskinflow
