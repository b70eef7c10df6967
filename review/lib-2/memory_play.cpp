#include "memory_play.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace world
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t megabyte = 1U << 20;
constexpr unsigned ordering_clients = 4;
constexpr auto order_time = 200ms;
constexpr unsigned deadline_ms = 8000;
/// Ends of processes on each of two machines that break the rule.
constexpr unsigned ends_to_show = 3;

/// Sends orders one after the other until the end.
void send_orders(std::uint16_t port, const std::string& name,
                 const std::atomic<bool>& end, std::atomic<unsigned>& served,
                 std::atomic<unsigned>& lost, recorder& record)
{
    for (unsigned i = 0; !end; ++i)
    {
        const std::string id = "order-" + name + "-" + std::to_string(i);
        const auto answer =
            call(port,
                 request_head("POST", "/orders/1", id, deadline_ms) +
                     "Content-Length: 5\r\n\r\norder",
                 9s);
        served += answer.status() == 200 ? 1 : 0;
        lost += answer.whole ? 0 : 1;
        if (!answer.whole)
        {
            record.line("client gets no answer for " + id);
            std::this_thread::sleep_for(200ms);
        }
    }
}

/// What one machine's processes did.
struct machine_result
{
    unsigned ends = 0; ///< Over the memory limit, or by themselves.
    std::uint64_t most_bytes = 0;
    unsigned served = 0;
    unsigned lost = 0;
    bool started = true;
};

/// Plays one machine: the platform ends a process over the memory limit and
/// starts it again, and the clients return.
void play_machine(const memory_play& what, store& platform,
                  const machine& settings, steady::time_point stop_at,
                  recorder& record, machine_result& result)
{
    const std::string log =
        what.log_prefix + std::to_string(::getpid()) + "-" + settings.name;
    while (result.ends < ends_to_show && steady::now() < stop_at)
    {
        gateway vm(platform, settings, log);
        if (!vm.wait_ready(15s))
        {
            result.started = false;
            break;
        }
        const std::string name =
            settings.name + "-" + std::to_string(result.ends);
        std::atomic<bool> end{false};
        std::atomic<unsigned> served{0};
        std::atomic<unsigned> lost{0};
        std::vector<std::thread> clients;
        for (unsigned i = 0; i < ordering_clients; ++i)
        {
            clients.emplace_back(send_orders, vm.ports().front,
                                 name + "-" + std::to_string(i), std::cref(end),
                                 std::ref(served), std::ref(lost),
                                 std::ref(record));
        }
        bool over = false;
        {
            const auto visitors =
                what.start_crowd(vm.ports().front, name, record);
            for (unsigned n = 0;
                 !over && vm.running() && steady::now() < stop_at; ++n)
            {
                const std::uint64_t used = what.used_bytes(vm);
                result.most_bytes = std::max(result.most_bytes, used);
                over = used > settings.memory_mb * megabyte;
                if (n % 10 == 0 || over)
                {
                    record.line("platform: the process on " + settings.name +
                                " has " + std::to_string(used / megabyte) +
                                " MB of " + std::to_string(settings.memory_mb) +
                                "; " + visitors->progress());
                }
                std::this_thread::sleep_for(100ms);
            }
            if (over)
            {
                // As the platform does with a process over its memory limit.
                record.line("platform: kills the process on " + settings.name +
                            ", which is over its memory limit");
                vm.kill();
            }
            result.ends += over || !vm.running() ? 1 : 0;
            end = true;
        }
        for (auto& client : clients)
        {
            client.join();
        }
        result.served += served;
        result.lost += lost;
        vm.kill();
        std::remove(log.c_str());
    }
}

} // namespace

int play(const memory_play& what, const std::string& plan_answer)
{
    raise_descriptor_limit();
    recorder record(what.record_file);
    store platform;
    write_config(
        platform, "r7",
        {{"plans", "/plans/", "idempotent", "planning", "8000ms", "2000ms", 2},
         {"orders", "/orders/", "non_idempotent", "ordering", "8000ms",
          "1200ms", 2}});
    const auto run_plan = [&](connection& peer, const arrival& seen)
    {
        std::this_thread::sleep_for(10ms);
        (void)peer.send(upstream::sound_answer(seen.id, plan_answer));
    };
    const auto run_order = [](connection& peer, const arrival& seen)
    {
        std::this_thread::sleep_for(order_time);
        (void)peer.send(upstream::sound_answer(seen.id, "done " + seen.id));
    };
    upstream plans(platform, "i-plans", "planning", "zone-a", 6, run_plan);
    upstream orders(platform, "i-orders", "ordering", "zone-a", 12, run_order);
    const auto stop_at = steady::now() + what.length;
    std::vector<machine> machines(2);
    machines[1].name = "front-2";
    std::vector<machine_result> results(machines.size());
    std::vector<std::thread> players;
    for (std::size_t i = 0; i < machines.size(); ++i)
    {
        players.emplace_back(play_machine, std::cref(what), std::ref(platform),
                             std::cref(machines[i]), stop_at, std::ref(record),
                             std::ref(results[i]));
    }
    bool played = true;
    bool broken = true;
    for (std::size_t i = 0; i < machines.size(); ++i)
    {
        players[i].join();
        const machine_result& result = results[i];
        record.line(machines[i].name + ": processes ended " +
                    std::to_string(result.ends) + " times, most memory " +
                    std::to_string(result.most_bytes / megabyte) + " MB of " +
                    std::to_string(machines[i].memory_mb) + ", orders served " +
                    std::to_string(result.served) +
                    ", orders without an answer " +
                    std::to_string(result.lost));
        played = played && result.started && result.served > 0;
        broken = broken && result.ends >= ends_to_show;
    }
    // Without destructors: threads of connections may still run.
    std::_Exit(!played ? 2 : broken ? 1 : 0);
}

} // namespace world
