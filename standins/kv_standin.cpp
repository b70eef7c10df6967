#include "kv_service.hpp"
#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_server.hpp>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:2380", "Address and port to listen on");

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};

} // namespace

int main(int argc, char** argv)
{
    using namespace siskinflow;
    gflags::SetUsageMessage(
        "Stand-in for the users' metadata store, kept in memory. On SIGUSR2 it "
        "takes a copy, on SIGUSR1 it returns to it and begins a new era.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto address = net::parse_endpoint(FLAGS_listen);
    if (!address)
    {
        std::cerr << "--listen: " << address.error().message << '\n';
        return 2;
    }
    boot_clock time;
    net::event_loop loop(time);
    standin::kv_service service(time);
    const auto server =
        net::http_server::listen(loop, address.value(), {},
                                 [&service](const net::exchange_ptr& exchange)
                                 { service.handle(exchange); });
    if (!server)
    {
        std::cerr << "--listen: " << server.error().message << '\n';
        return 1;
    }
    const auto ticking =
        loop.every(tick_interval, [&service] { service.tick(); });
    loop.on_signal(SIGUSR2,
                   [&service]
                   {
                       service.take_copy();
                       std::cout << "copied revision " << service.revision()
                                 << std::endl;
                   });
    loop.on_signal(SIGUSR1,
                   [&service]
                   {
                       service.return_to_copy();
                       std::cout << "era " << service.era() << " at revision "
                                 << service.revision() << std::endl;
                   });
    loop.on_stop_signal([&loop] { loop.stop(); });
    std::cout << "listening on port " << server.value()->port() << std::endl;
    loop.run();
    return 0;
}
