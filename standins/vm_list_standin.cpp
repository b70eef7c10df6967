#include "vm_list_service.hpp"
#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_server.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:8500", "Address and port to listen on");
DEFINE_uint32(lag_ms, 0, "Age of the list that callers see, in milliseconds");

int main(int argc, char** argv)
{
    using namespace siskinflow;
    gflags::SetUsageMessage(
        "Stand-in for the platform's list of VMs.\n"
        "  GET /v1/vms reads it, POST /standin/vms replaces "
        "it:\n  {\"vms\":[{\"name\":\"vm1\","
        "\"state\":\"live|leaving\"}]}");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto address = net::parse_endpoint(FLAGS_listen);
    if (!address)
    {
        std::cerr << "--listen: " << address.error().message << '\n';
        return 2;
    }
    boot_clock time;
    net::event_loop loop(time);
    standin::vm_list_service service(time,
                                     std::chrono::milliseconds(FLAGS_lag_ms));
    const auto server = net::http_server::listen(
        loop, address.value(), {},
        [&service](const net::exchange_ptr& exchange)
        {
            const auto& request = exchange->request();
            exchange->respond(
                service.handle(request.method, request.path, request.body));
        });
    if (!server)
    {
        std::cerr << "--listen: " << server.error().message << '\n';
        return 1;
    }
    loop.on_stop_signal([&loop] { loop.stop(); });
    std::cout << "listening on port " << server.value()->port() << std::endl;
    loop.run();
    return 0;
}
