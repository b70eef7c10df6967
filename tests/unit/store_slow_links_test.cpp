#include "kv_store.hpp"
#include "test_sections.hpp"
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/store/call_patience.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <deque>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// Accepts one connection and sends one answer in parts.
class slow_server
{
public:
    /// @param head sent at once
    /// @param part sent `count` times, after a pause each
    slow_server(std::string head, std::string part, int count,
                std::chrono::milliseconds pause)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        ::bind(listener_, reinterpret_cast<sockaddr*>(&address), length);
        ::listen(listener_, 1);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address),
                      &length);
        port_ = ntohs(address.sin_port);
        thread_ =
            std::thread([this, head = std::move(head), part = std::move(part),
                         count, pause] { serve(head, part, count, pause); });
    }

    ~slow_server()
    {
        stopped_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    slow_server(const slow_server&) = delete;
    slow_server& operator=(const slow_server&) = delete;

    net::endpoint address() const
    {
        return {"127.0.0.1", port_};
    }

private:
    void serve(const std::string& head, const std::string& part, int count,
               std::chrono::milliseconds pause)
    {
        const int connection = ::accept(listener_, nullptr, nullptr);
        char buffer[2048];
        (void)::recv(connection, buffer, sizeof(buffer), 0);
        (void)::send(connection, head.data(), head.size(), MSG_NOSIGNAL);
        for (int i = 0; i < count && !stopped_; ++i)
        {
            std::this_thread::sleep_for(pause);
            (void)::send(connection, part.data(), part.size(), MSG_NOSIGNAL);
        }
        while (!stopped_)
        {
            std::this_thread::sleep_for(5ms);
        }
        ::close(connection);
    }

    int listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t port_ = 0;
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

std::string head_of(std::size_t body_bytes)
{
    return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body_bytes) +
           "\r\n\r\n";
}

/// A loop that runs until something has come about.
struct loop_fixture
{
    bool run_until(const std::function<bool()>& condition)
    {
        const time_point end = time.now() + 8s;
        while (!condition() && time.now() < end)
        {
            loop.run_once(5ms);
        }
        return condition();
    }

    boot_clock time;
    net::event_loop loop{time};
    net::http_client caller{loop};
};

/// Records the requests of a store's client and ends them as the test says.
class recording_caller final : public net::http_caller
{
public:
    std::shared_ptr<net::http_call>
    start(net::client_request request,
          std::shared_ptr<net::call_observer> observer) override
    {
        requests.push_back(std::move(request));
        observers.push_back(std::move(observer));
        return std::make_shared<handle>();
    }
    void close_idle_connections(const net::endpoint& /*peer*/) override {}

    void end(net::call_outcome outcome)
    {
        const auto observer = observers.back();
        if (outcome == net::call_outcome::complete)
        {
            observer->on_head(200, {}, {});
        }
        observer->on_end(outcome);
    }

    std::deque<net::client_request> requests;
    std::deque<std::shared_ptr<net::call_observer>> observers;

private:
    class handle final : public net::http_call
    {
        void cancel() override {}
        void pause() override {}
        void resume() override {}
        bool sent() const override
        {
            return true;
        }
    };
};

} // namespace

// Guards against a listing that is given up and begun again for ever because
// the link needs longer for it than the call may take.
Test(store_slow_links, a_listing_ends_when_it_has_arrived)
{
    const std::string part(4096, ' ');
    const std::string rest = R"({"items":[],"current-rev":7,"has-more":false})";
    constexpr int parts = 12;
    slow_server server(head_of(parts * part.size() + rest.size()) + rest, part,
                       parts, 50ms);
    loop_fixture fixture;
    platform::kv_store store(fixture.caller, server.address());
    std::optional<result<store_page>> page;
    store.list("a/", 200ms,
               [&](result<store_page> value) { page = std::move(value); });
    EXPECT(fixture.run_until([&] { return page.has_value(); }));
    EXPECT(page->has_value() && page->value().position.revision == 7);
}

// Guards against a call that never ends because its peer sends a byte now and
// then, or nothing after a part of its answer.
Test(store_slow_links, an_answer_that_stalls_ends_its_call)
{
    const auto outcome_of = [](const std::string& part, int count)
    {
        slow_server server(head_of(100'000) + std::string(2048, 'x'), part,
                           count, 20ms);
        loop_fixture fixture;
        net::client_request request;
        request.peer = server.address();
        request.timeout = 200ms;
        request.slow_answer.stall = 200ms;
        std::optional<net::call_outcome> outcome;
        const auto call = net::fetch(fixture.caller, request, 1U << 20,
                                     [&](const net::fetch_result& fetched)
                                     { outcome = fetched.outcome; });
        EXPECT(fixture.run_until([&] { return outcome.has_value(); }));
        return *outcome;
    };
    section("nothing more",
            [&] { EXPECT(outcome_of("", 0) == net::call_outcome::timed_out); });
    section("a byte now and then", [&]
            { EXPECT(outcome_of("x", 400) == net::call_outcome::timed_out); });
    section("a sound answer",
            [&]
            {
                EXPECT(outcome_of(std::string(4898, 'x'), 20) ==
                       net::call_outcome::complete);
            });
}

// Guards against calls that are made again with the same timeouts while the
// link takes longer.
Test(store_slow_links, a_call_after_a_timeout_gets_more_time)
{
    recording_caller caller;
    platform::kv_store store(caller, {"127.0.0.1", 1});
    const auto renew = [&]
    {
        store.renew_lease(1, 1s, [](const result<void>&) {});
        return caller.requests.back();
    };
    EXPECT(renew().connect_timeout == 500ms);
    section("to connect",
            [&]
            {
                caller.end(net::call_outcome::connect_timed_out);
                EXPECT(renew().connect_timeout == 1s);
                EXPECT(caller.requests.back().timeout == 1s);
                caller.end(net::call_outcome::connect_timed_out);
                EXPECT(renew().connect_timeout == 1s);
            });
    section("to answer",
            [&]
            {
                caller.end(net::call_outcome::timed_out);
                EXPECT(renew().timeout == 2s);
            });
    section("until one is answered",
            [&]
            {
                caller.end(net::call_outcome::complete);
                EXPECT(renew().timeout == 1s);
                EXPECT(caller.requests.back().connect_timeout == 500ms);
            });
}
