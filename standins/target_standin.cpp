// Stand-in for a target: runs any request, keeps a ledger, injects faults.
#include "target_service.hpp"
#include <siskinflow/net/event_loop.hpp>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(listen, "127.0.0.1:0", "address and port");
DEFINE_string(name, "target", "name in answers and in the ledger");
DEFINE_uint32(slots, 4, "requests that run at once; further ones get 503");
DEFINE_uint32(max_connections, 400, "connections that are served at once");
DEFINE_double(connect_cost_ms, 1, "delay of the first request on each");
DEFINE_double(service_ms, 0, "time for which a request holds a slot");
DEFINE_double(service_jitter_ms, 0, "largest random addition to service_ms");
DEFINE_uint64(answer_bytes, 1024, "size of the body of an answer");
DEFINE_double(cold_ms, 0, "time after the start in which the target is cold");
DEFINE_double(cold_factor, 4, "multiplies the service time while cold");
DEFINE_double(report_lag_ms, 0, "age of what /load and /health say");
DEFINE_uint64(ledger_limit, 100000, "lines of the ledger");

namespace
{

siskinflow::duration from_ms(double value)
{
    constexpr double ns_per_ms = 1e6;
    return siskinflow::duration(
        static_cast<siskinflow::duration::rep>(value * ns_per_ms));
}

siskinflow::standin::target_options options_from_flags()
{
    siskinflow::standin::target_options options;
    options.name = FLAGS_name;
    options.slots = FLAGS_slots;
    options.connect_cost = from_ms(FLAGS_connect_cost_ms);
    options.service_time = from_ms(FLAGS_service_ms);
    options.service_jitter = from_ms(FLAGS_service_jitter_ms);
    options.cold_time = from_ms(FLAGS_cold_ms);
    options.cold_factor = FLAGS_cold_factor;
    options.report_lag = from_ms(FLAGS_report_lag_ms);
    options.ledger_limit = FLAGS_ledger_limit;
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const siskinflow::boot_clock time;
    siskinflow::net::event_loop loop(time);
    siskinflow::standin::target_service service(loop, options_from_flags(),
                                                FLAGS_answer_bytes);
    const auto local = siskinflow::net::parse_endpoint(FLAGS_listen);
    const auto listening =
        local ? service.listen(local.value(), FLAGS_max_connections)
              : siskinflow::result<void>(local.error());
    if (!listening)
    {
        std::fprintf(stderr, "target_standin: %s\n",
                     listening.error().message.c_str());
        return 1;
    }
    std::printf("listening on port %u\n", service.port());
    std::fflush(stdout);
    loop.on_stop_signal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
