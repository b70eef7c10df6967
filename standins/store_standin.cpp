#include "store_service.hpp"
#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_server.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:2379", "Address and port to listen on");
DEFINE_double(max_writes_per_s, 300, "Writes per second before status 429");
DEFINE_double(max_reads_per_s, 2000, "Reads per second before status 429");

namespace
{

/// Two values of 1 MB in base64, and room for the rest of a transaction.
constexpr std::size_t max_request_bytes = 4 * 1024 * 1024;

constexpr std::chrono::milliseconds tick_interval{100};

} // namespace

int main(int argc, char** argv)
{
    using namespace siskinflow;
    gflags::SetUsageMessage("Stand-in for the platform's store: a subset of "
                            "the etcd v3 JSON protocol, kept in memory.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto address = net::parse_endpoint(FLAGS_listen);
    if (!address)
    {
        std::cerr << "--listen: " << address.error().message << '\n';
        return 2;
    }
    boot_clock time;
    net::event_loop loop(time);
    standin::store_service service(
        time,
        [&loop](duration delay, std::function<void()> callback)
        { loop.after(delay, std::move(callback)); },
        {FLAGS_max_writes_per_s, FLAGS_max_reads_per_s});
    net::http_server_options options;
    options.max_body_bytes = max_request_bytes;
    const auto server =
        net::http_server::listen(loop, address.value(), options,
                                 [&service](const net::exchange_ptr& exchange)
                                 { service.handle(exchange); });
    if (!server)
    {
        std::cerr << "--listen: " << server.error().message << '\n';
        return 1;
    }
    const auto ticking =
        loop.every(tick_interval, [&service] { service.tick(); });
    loop.on_stop_signal([&loop] { loop.stop(); });
    std::cout << "listening on port " << server.value()->port() << std::endl;
    loop.run();
    return 0;
}
