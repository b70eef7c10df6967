// Entry daemon: one process on each entry VM.
#include <siskinflow/config/settings.hpp>
#include <siskinflow/entry/entry_node.hpp>

#include <csignal>
#include <cstdio>

using namespace siskinflow;

namespace
{

constexpr int exit_usage = 2;
constexpr int exit_failure = 1;

entry::entry_options make_entry_options(const settings& source)
{
    entry::entry_options options;
    options.vm = source.vm_name;
    options.region = source.region;
    options.failure_domain = source.failure_domain;
    options.site = source.site;
    options.http_listen = source.http_listen;
    options.control_listen = source.control_listen;
    options.http_advertised = source.advertise_http;
    options.control_advertised = source.advertise_control;
    options.store = source.store;
    options.vm_list = source.vm_list;
    options.seeds = source.seeds;
    options.http.max_body_bytes = source.max_body_bytes;
    options.http.max_connections = source.max_connections;
    options.http.request_timeout = source.request_timeout;
    options.http.certificate_file = source.certificate_file;
    options.http.key_file = source.key_file;
    options.log = {source.level, source.format};
    options.max_header_bytes = source.max_header_bytes;
    options.max_body_memory_bytes = source.max_body_memory_bytes;
    options.lookup_lifetime = source.lookup_lifetime;
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    boot_clock time;
    const auto loaded = load_settings(argc, argv);
    if (!loaded.has_value())
    {
        event_log(time).write(event_id::setting_refused,
                              {{"reason", loaded.error().message}});
        return exit_usage;
    }
    if (!loaded.value())
    {
        std::fputs(settings_help().c_str(), stdout);
        return 0;
    }
    net::event_loop loop(time);
    auto started =
        entry::entry_node::start(loop, make_entry_options(*loaded.value()));
    if (!started.has_value())
    {
        std::fprintf(stderr, "siskinflowd: %s\n",
                     started.error().message.c_str());
        return exit_failure;
    }
    entry::entry_node& node = *started.value();
    node.on_stopped([&loop] { loop.stop(); });
    loop.on_stop_signal([&node] { node.stop(); });
    loop.on_signal(SIGHUP, [&node] { node.reload_certificate(); });
    loop.run();
    return 0;
}
