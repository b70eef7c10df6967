// Gateway daemon: one process on each entry VM of the users' platform.
#include "../platform/http_codec.hpp"
#include "../platform/kv_store.hpp"
#include "../platform/store_records.hpp"
#include <siskinflow/gateway/gateway_node.hpp>

#include <csignal>
#include <cstdio>

using namespace siskinflow;

namespace
{

constexpr int exit_usage = 2;
constexpr int exit_failure = 1;

} // namespace

int main(int argc, char** argv)
{
    boot_clock time;
    auto loaded = gateway::load_gateway_settings(argc, argv);
    if (!loaded)
    {
        event_log(time).write(event_id::setting_refused,
                              {{"reason", loaded.error().message}});
        return exit_usage;
    }
    if (!loaded.value())
    {
        std::fputs(gateway::gateway_settings_help().c_str(), stdout);
        return 0;
    }
    gateway::gateway_settings settings = std::move(*loaded.value());
    net::event_loop loop(time);
    net::http_client caller(loop);
    platform::kv_store store(caller, settings.store);
    const platform::http_codec codec;
    const platform::store_records records;
    auto started = gateway::gateway_node::start(
        loop, caller, {store, codec, records}, std::move(settings));
    if (!started)
    {
        std::fprintf(stderr, "siskinflow_gateway: %s\n",
                     started.error().message.c_str());
        return exit_failure;
    }
    gateway::gateway_node& node = *started.value();
    node.on_stopped([&loop] { loop.stop(); });
    loop.on_stop_signal([&node] { node.stop(); });
    loop.on_signal(SIGHUP, [&node] { node.reload(); });
    loop.run();
    return 0;
}
