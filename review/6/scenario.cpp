// Clients that leave together while some of their orders wait for a target.
#include "world.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace std::chrono_literals;

namespace
{

constexpr unsigned slots = 6;
constexpr unsigned staying_clients = 20;
constexpr unsigned leaving_clients = 8;
constexpr auto run_time = 300ms;
/// From sending an order to leaving, well before the deadline.
constexpr auto patience = 120ms;
constexpr auto round_pause = 400ms;
constexpr unsigned deadline_ms = 5000;
constexpr auto length = 25s;

std::string body_of(const std::string& id)
{
    std::string out = "order " + id + " ";
    out.append(300 - std::min<std::size_t>(300, out.size()), 'x');
    return out;
}

std::string order(const std::string& id)
{
    const std::string body = body_of(id);
    return world::request_head("POST", "/orders/1", id, deadline_ms) +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What the upstreams ran.
class ledger
{
public:
    explicit ledger(world::recorder& record) : record_(record) {}

    void run(const std::string& upstream, const world::arrival& seen)
    {
        ++runs_;
        const bool changed = seen.request.body != body_of(seen.id);
        changed_ += changed ? 1 : 0;
        if (changed || seen.id.starts_with("leave"))
        {
            record_.line(upstream + " runs " + seen.id + " with a body of " +
                         std::to_string(seen.request.body.size()) + " bytes" +
                         (changed ? ", another one than was sent" : ""));
        }
    }
    unsigned runs() const
    {
        return runs_;
    }
    unsigned changed() const
    {
        return changed_;
    }

private:
    world::recorder& record_;
    std::atomic<unsigned> runs_{0};
    std::atomic<unsigned> changed_{0};
};

/// Sends orders one after the other, each on the same connection.
void stay(std::uint16_t port, unsigned number, const std::atomic<bool>& end,
          std::atomic<unsigned>& served)
{
    auto peer = world::connection::open(port);
    std::string rest;
    for (unsigned i = 0; !end; ++i)
    {
        const std::string id =
            "stay-" + std::to_string(number) + "-" + std::to_string(i);
        const bool sent = peer.valid() && peer.send(order(id));
        const auto answer =
            sent ? world::read_message(peer, rest, 6s) : world::message();
        served += answer.status() == 200 ? 1 : 0;
        if (!answer.whole || answer.field("connection") == "close")
        {
            peer = world::connection::open(port);
            rest.clear();
        }
        if (answer.status() != 200)
        {
            std::this_thread::sleep_for(100ms);
        }
    }
}

/// One host of clients: each sends an order, and if `leave` is set all close
/// their connections at the same moment.
void play_host(std::uint16_t port, unsigned round, bool leave,
               std::atomic<unsigned>& answered, world::recorder& record)
{
    std::vector<world::connection> clients;
    for (unsigned i = 0; i < leaving_clients; ++i)
    {
        clients.push_back(world::connection::open(port));
    }
    for (unsigned i = 0; i < leaving_clients; ++i)
    {
        const std::string id =
            "leave-" + std::to_string(round) + "-" + std::to_string(i);
        (void)clients[i].send(order(id));
        record.line("client sends " + id + " with a body of " +
                    std::to_string(body_of(id).size()) + " bytes");
    }
    if (leave)
    {
        std::this_thread::sleep_for(patience);
        clients.clear();
        record.line("the clients of round " + std::to_string(round) +
                    " have closed their connections");
        return;
    }
    for (auto& client : clients)
    {
        std::string rest;
        const auto answer = world::read_message(client, rest, 6s);
        answered += answer.whole ? 1 : 0;
        record.line("client gets " + answer.start_line + " for " +
                    answer.field("siskinflow-request-id"));
    }
}

} // namespace

int main()
{
    const bool leave = world::trouble();
    world::recorder record("review/6/record.txt");
    ledger ledger(record);
    world::store platform;
    const auto run = [&](const std::string& name)
    {
        return
            [&ledger, name](world::connection& peer, const world::arrival& seen)
        {
            ledger.run(name, seen);
            std::this_thread::sleep_for(run_time);
            (void)peer.send(
                world::upstream::sound_answer(seen.id, "done " + seen.id));
        };
    };
    world::write_config(platform, "r7",
                        {{"orders", "/orders/", "non_idempotent", "ordering",
                          "4000ms", "1200ms", 2}});
    world::upstream first(platform, "i-first", "ordering", "zone-a", slots,
                          run("i-first"));
    world::upstream second(platform, "i-second", "ordering", "zone-a", slots,
                           run("i-second"));
    const std::string log = "/tmp/review-6-" + std::to_string(::getpid());
    world::gateway vm(platform, {}, log);
    if (!vm.wait_ready(15s))
    {
        record.line("the gateway did not become ready");
        vm.kill();
        std::_Exit(2);
    }
    std::atomic<bool> end{false};
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> answered{0};
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < staying_clients; ++i)
    {
        clients.emplace_back(stay, vm.ports().front, i, std::cref(end),
                             std::ref(served));
    }
    const auto stop_at = world::steady::now() + length;
    unsigned round = 0;
    for (; world::steady::now() < stop_at; ++round)
    {
        std::this_thread::sleep_for(round_pause);
        play_host(vm.ports().front, round, leave, answered, record);
    }
    end = true;
    for (auto& client : clients)
    {
        client.join();
    }
    const bool alive = vm.running();
    record.line("rounds " + std::to_string(round) + " of " +
                std::to_string(leaving_clients) + " clients, leaving " +
                (leave ? "yes" : "no") + "; orders run " +
                std::to_string(ledger.runs()) + ", served to those that stay " +
                std::to_string(served) + ", answers to the others " +
                std::to_string(answered) + ", run with another body " +
                std::to_string(ledger.changed()) + ", gateway " +
                (alive ? "running" : vm.end_text()));
    vm.kill();
    std::remove(log.c_str());
    const bool played = served > 0 && alive;
    // Without destructors: threads of connections may still run.
    std::_Exit(!played ? 2 : ledger.changed() > 0 ? 1 : 0);
}
