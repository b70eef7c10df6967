// A few of one upstream's answers are an interim head with a malformed head
// behind it. The gateways that read them must go on serving their callers.
#include "platform.hpp"

using namespace review;

namespace
{

constexpr int gateways = 2;
/// One answer of the faulty upstream in this many is spoiled.
constexpr int spoiled_each = 50;
constexpr milliseconds test_time{30'000};
constexpr milliseconds contact{4000};
constexpr milliseconds restart_delay{500};
constexpr milliseconds order_work{1000};
/// More broken connections than this break the rule.
constexpr int allowed_losses = 3;

const std::string spoiled_answer = "HTTP/1.1 100 Continue\r\n\r\n"
                                   "HTTP/1.1 200 OK\r\n"
                                   "Content-Length: 1o\r\n\r\n"
                                   "0123456789";

bool answer_order(upstream& self, const upstream::call& call)
{
    self.note_run(call.request);
    std::this_thread::sleep_for(order_work);
    return call.peer.send(signed_answer(call.request, "ordered"));
}

bool answer_lookup(upstream& self, const upstream::call& call)
{
    self.note_run(call.request);
    std::this_thread::sleep_for(milliseconds(20));
    return call.peer.send(signed_answer(call.request, "found"));
}

struct deployment
{
    explicit deployment(record& notes_in) : notes(notes_in)
    {
        where.put("op/config", configuration({{"lookups", "idempotent"},
                                              {"orders", "non_idempotent"}}));
        for (int i = 0; i < 3; ++i)
        {
            const std::string zone = i == 0 ? "zone-a" : "zone-b";
            lookups.push_back(std::make_unique<upstream>(
                "lookup-" + std::to_string(i), "lookups",
                [this, i](upstream& self, const upstream::call& call)
                { return on_lookup(i, self, call); }));
            lookups.back()->enter(where, zone);
            orders.push_back(std::make_unique<upstream>(
                "order-" + std::to_string(i), "orders", answer_order));
            orders.back()->enter(where, zone);
        }
        for (int i = 0; i < gateways; ++i)
        {
            vms.push_back(std::make_unique<gateway>(
                "front-" + std::to_string(i), i % 2 == 0 ? "zone-a" : "zone-b",
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

    bool on_lookup(int index, upstream& self, const upstream::call& call)
    {
        const bool spoil =
            trouble() && index == 0 && call.number % spoiled_each == 0;
        if (!spoil)
        {
            return answer_lookup(self, call);
        }
        notes.line(self.id() + " spoils the answer to " +
                   call.request.field("siskinflow-request-id"));
        call.peer.send(spoiled_answer);
        return false;
    }

    int order_runs(const std::string& id)
    {
        int out = 0;
        for (const auto& entry : orders)
        {
            out += entry->runs(id);
        }
        return out;
    }

    record& notes;
    store where;
    store::door door{where};
    std::vector<std::unique_ptr<upstream>> lookups;
    std::vector<std::unique_ptr<upstream>> orders;
    std::vector<std::unique_ptr<gateway>> vms;
};

/// Sends orders on one kept connection after the other.
void send_orders(deployment& all, int vm, int client, time_point until,
                 std::atomic<int>& lost, std::atomic<int>& served)
{
    const std::uint16_t port = all.vms[static_cast<std::size_t>(vm)]->port();
    std::unique_ptr<connection> kept;
    int served_on_connection = 0;
    for (int number = 0; now() < until; ++number)
    {
        if (kept == nullptr)
        {
            kept = connection::to(port);
            served_on_connection = 0;
        }
        if (kept == nullptr)
        {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        client_request request;
        request.id = "order-" + std::to_string(vm) + "-" +
                     std::to_string(client) + "-" + std::to_string(number);
        request.method = "POST";
        request.path = "/orders/1";
        request.body = "one map";
        kept->send(to_text(request));
        const message answer = kept->receive(milliseconds(4000));
        const int runs = all.order_runs(request.id);
        served += answer.complete && answer.status() == 200 ? 1 : 0;
        if (answer.complete)
        {
            ++served_on_connection;
            continue;
        }
        all.notes.line(request.id + " on a connection that served " +
                       std::to_string(served_on_connection) +
                       " requests: ran " + std::to_string(runs) +
                       " times, the connection ended without an answer");
        lost += runs > 0 && served_on_connection > 0 && !answer.timed_out;
        kept.reset();
    }
}

void send_lookups(deployment& all, int vm, time_point until)
{
    const std::uint16_t port = all.vms[static_cast<std::size_t>(vm)]->port();
    for (int number = 0; now() < until; ++number)
    {
        std::this_thread::sleep_for(milliseconds(25));
        const auto peer = connection::to(port);
        if (peer == nullptr)
        {
            continue;
        }
        client_request request;
        request.id =
            "lookup-" + std::to_string(vm) + "-" + std::to_string(number);
        request.path = "/lookups/" + std::to_string(number % 50);
        peer->send(to_text(request));
        peer->receive(milliseconds(3000));
    }
}

/// Starts a process again after it has ended, as the platform does.
void keep_running(deployment& all, time_point until, std::vector<int>& ends)
{
    while (now() < until)
    {
        std::this_thread::sleep_for(milliseconds(50));
        for (std::size_t i = 0; i < all.vms.size(); ++i)
        {
            gateway& vm = *all.vms[i];
            if (!vm.ended())
            {
                continue;
            }
            ++ends[i];
            all.notes.line(vm.name() + " " + vm.ending() +
                           ", nobody sent it a signal");
            std::this_thread::sleep_for(restart_delay);
            vm.start();
        }
    }
}

bool run(record& notes)
{
    deployment& all = *new deployment(notes);
    notes.line("all gateways are ready");
    // The time after which the pages count a machine as in touch.
    std::this_thread::sleep_for(contact);
    const time_point until = now() + test_time;
    std::atomic<int> lost{0};
    std::atomic<int> served{0};
    std::vector<int> ends(all.vms.size(), 0);
    std::vector<std::thread> clients;
    for (int vm = 0; vm < gateways; ++vm)
    {
        for (int client = 0; client < 4; ++client)
        {
            clients.emplace_back(
                [&, vm, client]
                { send_orders(all, vm, client, until, lost, served); });
        }
        clients.emplace_back([&, vm] { send_lookups(all, vm, until); });
    }
    keep_running(all, until, ends);
    for (std::thread& client : clients)
    {
        client.join();
    }
    for (std::size_t i = 0; i < ends.size(); ++i)
    {
        notes.line(all.vms[i]->name() + " ended by itself " +
                   std::to_string(ends[i]) + " times");
    }
    notes.line(std::to_string(served) + " orders were served; " +
               std::to_string(lost) +
               " ran at a sound upstream and got no answer on a kept "
               "connection, more than " +
               std::to_string(allowed_losses) + " break the rule");
    if (served == 0)
    {
        throw not_runnable{"no order was served"};
    }
    return lost <= allowed_losses;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
