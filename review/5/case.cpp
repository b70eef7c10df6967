// All gateways get SIGTERM. Callers that can't look up another one go on using
// them. What a stopping gateway has passed on must be answered.
#include "platform.hpp"

#include <csignal>

using namespace review;

namespace
{

constexpr int callers = 8;
constexpr milliseconds contact{4000};
constexpr milliseconds before_stop{2000};
constexpr milliseconds order_work{400};
constexpr milliseconds deadline{3000};
constexpr milliseconds lookup_lifetime{1000};
constexpr milliseconds lookup_limit{1000};
constexpr milliseconds grace{6000};
/// Requests sent up to this time after the SIGTERM may be cut late in `grace`.
constexpr milliseconds excused_until{3000};

struct deployment
{
    explicit deployment(record& notes_in) : notes(notes_in)
    {
        where.put("op/config", configuration({{"orders", "non_idempotent"}}));
        for (int i = 0; i < 4; ++i)
        {
            upstreams.push_back(std::make_unique<upstream>(
                "order-" + std::to_string(i), "orders",
                [](upstream& self, const upstream::call& call)
                {
                    self.note_run(call.request);
                    std::this_thread::sleep_for(order_work);
                    return call.peer.send(
                        signed_answer(call.request, "ordered"));
                }));
            upstreams.back()->enter(where, i % 2 == 0 ? "zone-a" : "zone-b");
        }
        for (int i = 0; i < 2; ++i)
        {
            vms.push_back(std::make_unique<gateway>(
                "front-" + std::to_string(i), i == 0 ? "zone-a" : "zone-b",
                door.port()));
            vms.back()->start();
        }
        for (const auto& vm : vms)
        {
            if (!vm->wait_ready(milliseconds(10'000)))
            {
                throw not_runnable{"a gateway does not become ready"};
            }
        }
    }

    int runs(const std::string& id)
    {
        int out = 0;
        for (const auto& entry : upstreams)
        {
            out += entry->runs(id);
        }
        return out;
    }

    /// Ports that one of the directories names, empty if none answers.
    std::vector<std::uint16_t> lookup(const std::string& zone) const
    {
        for (const auto& vm : vms)
        {
            const auto peer = connection::to(vm->directory_port());
            if (peer == nullptr ||
                !peer->send("GET /resolve?name=" + std::string(host) +
                            "&region=north&zone=" + zone +
                            " HTTP/1.1\r\nHost: directory\r\n\r\n"))
            {
                continue;
            }
            const message answer = peer->receive(lookup_limit);
            const auto body =
                nlohmann::json::parse(answer.body, nullptr, false);
            if (answer.status() != 200 || !body.is_object())
            {
                continue;
            }
            std::vector<std::uint16_t> out;
            for (const std::string address : body["addresses"])
            {
                out.push_back(static_cast<std::uint16_t>(
                    std::stoi(address.substr(address.find(':') + 1))));
            }
            return out;
        }
        return {};
    }

    record& notes;
    store where;
    store::door door{where};
    std::vector<std::unique_ptr<upstream>> upstreams;
    std::vector<std::unique_ptr<gateway>> vms;
    std::atomic<bool> stopped{false};
    time_point stopped_at;
};

struct counts
{
    std::atomic<int> served{0};
    std::atomic<int> cut{0};
};

/// Sends orders on new connections to the addresses that the last successful
/// lookup named.
void send_orders(deployment& all, int caller, time_point until, counts& out)
{
    const std::string zone = caller % 2 == 0 ? "zone-a" : "zone-b";
    std::vector<std::uint16_t> ports;
    time_point looked_up{};
    for (int number = 0; now() < until; ++number)
    {
        if (now() - looked_up > lookup_lifetime)
        {
            looked_up = now();
            const auto found = all.lookup(zone);
            ports = found.empty() ? ports : found;
        }
        const auto peer =
            ports.empty()
                ? nullptr
                : connection::to(
                      ports[static_cast<std::size_t>(number) % ports.size()]);
        if (peer == nullptr)
        {
            std::this_thread::sleep_for(milliseconds(50));
            continue;
        }
        client_request request;
        request.id =
            "order-" + std::to_string(caller) + "-" + std::to_string(number);
        request.method = "POST";
        request.path = "/orders/1";
        request.body = "one map";
        request.deadline = deadline;
        const time_point sent = now();
        peer->send(to_text(request));
        const message answer = peer->receive(deadline);
        out.served += answer.status() == 200 ? 1 : 0;
        const int runs = all.runs(request.id);
        if (answer.complete || answer.timed_out || runs == 0)
        {
            continue;
        }
        const auto late =
            std::chrono::duration_cast<milliseconds>(sent - all.stopped_at);
        const bool counts_as_cut = all.stopped && late > excused_until;
        out.cut += counts_as_cut ? 1 : 0;
        all.notes.line(request.id + " was sent " +
                       std::to_string(late.count()) +
                       " ms after the SIGTERM, ran " + std::to_string(runs) +
                       " times, and its connection ended without an answer");
    }
}

/// Stops all gateways as the platform does.
void stop_all(deployment& all)
{
    all.stopped_at = now();
    all.stopped = true;
    for (const auto& vm : all.vms)
    {
        vm->signal(SIGTERM);
        all.notes.line(vm->name() + " gets SIGTERM");
    }
    for (const auto& vm : all.vms)
    {
        while (!vm->ended() && now() < all.stopped_at + grace)
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
        all.notes.line(vm->name() +
                       (vm->ended() ? " " + vm->ending()
                                    : " gets SIGKILL after the grace time"));
        vm->signal(SIGKILL);
    }
}

bool run(record& notes)
{
    deployment& all = *new deployment(notes);
    std::this_thread::sleep_for(contact);
    const time_point until = now() + before_stop + grace;
    counts totals;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back([&, caller]
                             { send_orders(all, caller, until, totals); });
    }
    std::this_thread::sleep_for(before_stop);
    if (trouble())
    {
        stop_all(all);
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    notes.line(std::to_string(totals.served) + " orders were served; " +
               std::to_string(totals.cut) +
               " that were sent later than 3 s after the SIGTERM ran and got "
               "no answer");
    if (totals.served == 0)
    {
        throw not_runnable{"no order was served"};
    }
    return totals.cut == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
