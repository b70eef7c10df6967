#include "gateway_world.hpp"
#include "test_sections.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// A target on plain sockets. Before its answer to every second request on a
/// connection it sends a rejection that belongs to no request.
class interjecting_target
{
public:
    interjecting_target()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        ::bind(listener_, reinterpret_cast<sockaddr*>(&address), length);
        ::listen(listener_, SOMAXCONN);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address),
                      &length);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::jthread([this] { accept_all(); });
    }

    ~interjecting_target()
    {
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        for (const int connection : connections_)
        {
            ::shutdown(connection, SHUT_RDWR);
        }
        workers_.clear();
        ::close(listener_);
    }

    std::uint16_t port() const
    {
        return port_;
    }

    int runs(const std::string& id) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }

    int interjections() const
    {
        return interjections_;
    }

private:
    void accept_all()
    {
        for (;;)
        {
            const int connection = ::accept(listener_, nullptr, nullptr);
            if (connection < 0)
            {
                return;
            }
            connections_.push_back(connection);
            workers_.emplace_back([this, connection] { serve(connection); });
        }
    }

    void serve(int connection)
    {
        std::string received;
        char buffer[4096];
        int requests = 0;
        for (;;)
        {
            const auto count = ::recv(connection, buffer, sizeof(buffer), 0);
            if (count <= 0)
            {
                break;
            }
            received.append(buffer, static_cast<std::size_t>(count));
            const auto head_end = received.find("\r\n\r\n");
            if (head_end == std::string::npos)
            {
                continue;
            }
            answer(connection, received.substr(0, head_end), ++requests);
            received.erase(0, head_end + 4);
        }
        ::close(connection);
    }

    void answer(int connection, const std::string& head, int request_number)
    {
        const std::string field = "siskinflow-request-id: ";
        const auto at = head.find(field) + field.size();
        const std::string id = head.substr(at, head.find("\r\n", at) - at);
        {
            const std::lock_guard lock(mutex_);
            ++runs_[id];
        }
        std::string bytes;
        if (request_number % 2 == 0)
        {
            ++interjections_;
            bytes = "HTTP/1.1 503 Service Unavailable\r\n"
                    "siskinflow-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
        }
        bytes += "HTTP/1.1 200 OK\r\nsiskinflow-request-id: " + id +
                 "\r\nsiskinflow-response-signature: signed\r\n"
                 "content-length: 2\r\n\r\nok";
        (void)::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    int listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::atomic<int> interjections_{0};
    std::vector<int> connections_;
    std::vector<std::jthread> workers_;
    std::jthread acceptor_;
};

} // namespace

// Guards against a request that is given up at a target that is slow but
// answers others (LOST), and against waiting on one that is silent.
Test(gateway_faults, an_overdue_attempt)
{
    gateway_world world(1, link_kind::proxied);
    std::map<std::string, standin::platform_target*> targets;
    for (const std::string id : {"m1", "m2"})
    {
        targets[id] = &world.add_target("maps", named(id));
    }
    world.configure();
    EXPECT(world.start_all());
    const std::string first = world.call(0).response.body.substr(10, 2);
    standin::platform_target& slow = *targets.at(first);
    caller_request look;
    section("a target that answers others keeps the request",
            [&]
            {
                slow.set_work(600ms);
                std::optional<net::fetch_result> others;
                caller_request before;
                before.id = "before";
                const auto early = world.send(0, before,
                                              [&](const net::fetch_result& got)
                                              { others = got; });
                world.run_for(300ms);
                slow.set_work(1500ms);
                look.id = "kept";
                EXPECT(world.call(0, look).response.status == 200);
                EXPECT(others.has_value());
                EXPECT(world.runs("kept") == 1);
            });
    section("a silent one loses it to another target, in time for the caller",
            [&]
            {
                slow.set_work(20ms);
                EXPECT(world.call(0).response.status == 200);
                world.target_link(first).cut(direction::to_client, true);
                look.id = "moved";
                EXPECT(world.call(0, look).response.status == 200);
                EXPECT(world.runs("moved") == 2);
            });
}

// Guards against a VM that goes on sending to a target that left during a cut
// from the store, long after the cut has ended (DRAIN).
Test(gateway_faults, a_target_leaves_during_a_cut)
{
    /// Within the time in which a VM is taken to be in touch again.
    constexpr std::chrono::milliseconds in_touch{4000};
    gateway_world world(1, link_kind::proxied);
    world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    world.store_link().silence_open();
    world.cut_store(true);
    world.run_for(3s);
    auto& second = world.add_target("maps", named("m2"));
    world.register_target("m1", "draining");
    world.run_for(1s);
    world.cut_store(false);
    EXPECT(world.until(
        [&]
        {
            return world.log(0).find(
                       "target=m1 service=maps change=draining") !=
                   std::string::npos;
        },
        in_touch));
    const std::size_t before = second.runs().size();
    EXPECT(world.call(0).response.status == 200);
    EXPECT(second.runs().size() == before + 1);
}

// Guards against work for callers that have left (GONE).
Test(gateway_faults, a_caller_leaves)
{
    constexpr std::chrono::milliseconds bound{500};
    gateway_world world(1);
    auto slow = named("m1");
    slow.work = 2s;
    auto& target = world.add_target("maps", slow);
    world.configure();
    EXPECT(world.start_all());
    caller_request look;
    look.id = "left";
    const auto running = world.send(0, look, [](const net::fetch_result&) {});
    EXPECT(world.until([&] { return world.runs("left") == 1; }));
    running->cancel();
    EXPECT(world.until([&] { return target.cancelled() == 1; }, bound));
}

// Guards against a change that a VM in touch with the store misses, because the
// answer to its watch was lost and no other call failed (CONFIG, DRAIN).
Test(gateway_faults, the_answer_to_a_watch_is_lost)
{
    /// Within the time in which a VM is taken to be in touch again, less the
    /// time of the calls below.
    constexpr std::chrono::milliseconds in_touch{3900};
    gateway_world world(2);
    auto& first = world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.start_all());
    const auto lose_watches = [&]
    {
        world.store().set_outage(standin::kv_outage::silent);
        world.store().set_outage(standin::kv_outage::none);
    };
    section("the operators' entries: a removed prefix is refused",
            [&]
            {
                world.run_for(1s);
                lose_watches();
                world.configure({{"prefix", "/plans/"}});
                world.run_for(in_touch);
                for (std::size_t vm = 0; vm < 2; ++vm)
                {
                    EXPECT(world.call(vm).response.status == 404);
                }
            });
    section("the entries of targets: a target that drains gets nothing",
            [&]
            {
                auto& second = world.add_target("maps", named("m2"));
                world.run_for(3s);
                lose_watches();
                world.register_target("m1", "draining");
                world.run_for(in_touch);
                const std::size_t before = first.runs().size();
                const std::size_t before_second = second.runs().size();
                caller_request look;
                look.path = "/plans/1";
                for (std::size_t vm = 0; vm < 2; ++vm)
                {
                    EXPECT(world.call(vm, look).response.status == 200);
                }
                EXPECT(first.runs().size() == before);
                EXPECT(second.runs().size() == before_second + 2);
            });
}

// Guards against a rejection that belongs to no request and is taken for the
// answer to an order, which then runs at a second target or is reported as not
// run (TWICE, REFUSED), and against a connection with an answer still due that
// serves another request.
Test(gateway_faults, a_rejection_without_an_id)
{
    constexpr int order_count = 40;
    interjecting_target first;
    gateway_world world(1);
    world.configure();
    EXPECT(world.start_all());
    world.add_entry("raw", "orders", first.port());
    auto& second = world.add_target("orders", named("o2"));
    world.run_for(1500ms);
    int failed = 0;
    for (int i = 0; i < order_count; ++i)
    {
        caller_request order;
        order.path = "/orders/1";
        order.method = "POST";
        order.object = std::to_string(i % 8);
        order.id = "order-" + std::to_string(i);
        const auto got = world.call(0, order);
        const auto at_second = second.runs().find(order.id);
        const int runs =
            first.runs(order.id) + (at_second == second.runs().end() ? 0 : 1);
        EXPECT(runs <= 1);
        EXPECT(runs == 0 || got.response.status == 200 ||
               got.response.status == 502);
        failed += got.response.status == 502 ? 1 : 0;
    }
    section("each order that met such bytes failed, and no other",
            [&]
            {
                EXPECT(first.interjections() > 3);
                EXPECT(failed == first.interjections());
            });
}
