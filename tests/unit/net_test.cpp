#include "test_sections.hpp"
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/net/tcp_messages.hpp>
#include <siskinflow/net/udp_socket.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

using namespace siskinflow;
using namespace siskinflow::net;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// One loop with a server on a free port and a client.
struct http_fixture
{
    boot_clock time;
    event_loop loop{time};
    http_client client{loop};
    std::unique_ptr<http_server> server;

    explicit http_fixture(http_server::handler handler,
                          const http_server_options& options = {})
    {
        server = std::move(http_server::listen(loop, {"127.0.0.1", 0}, options,
                                               std::move(handler))
                               .value());
    }

    bool run_until(const std::function<bool()>& condition, duration limit = 5s)
    {
        const time_point end = time.now() + limit;
        while (!condition() && time.now() < end)
        {
            loop.run_once(10ms);
        }
        return condition();
    }

    client_request request(std::string method, std::string target)
    {
        client_request out;
        out.peer = {"127.0.0.1", server->port()};
        out.method = std::move(method);
        out.target = std::move(target);
        return out;
    }

    fetch_result call(client_request outgoing)
    {
        std::optional<fetch_result> received;
        const auto handle =
            fetch(client, std::move(outgoing), 64 * 1024 * 1024,
                  [&](fetch_result value) { received = std::move(value); });
        run_until([&] { return received.has_value(); });
        return received.value_or(fetch_result{});
    }
};

void echo(const exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    exchange->respond(
        {200,
         {{"x-method", request.method}},
         request.path + "?" + request.query + "|" + std::string(request.body)});
}

} // namespace

// Guards against a request or an answer that arrives incomplete.
Test(net_http, carries_whole_requests_and_answers)
{
    http_fixture fixture(echo);
    section("a body in both directions",
            [&]
            {
                auto request = fixture.request("POST", "/a/b?c=d");
                request.body = std::string(200000, 'x');
                const auto received = fixture.call(request);
                EXPECT(received.outcome == call_outcome::complete);
                EXPECT(received.response.body == "/a/b?c=d|" + request.body);
            });
    section("HEAD has headers and no body",
            [&]
            {
                const auto received =
                    fixture.call(fixture.request("HEAD", "/a"));
                EXPECT(received.outcome == call_outcome::complete);
                EXPECT(received.response.headers.value("x-method") == "HEAD");
                EXPECT(received.response.body.empty());
            });
    section("many calls over pooled and over new connections",
            [&]
            {
                for (int i = 0; i < 50; ++i)
                {
                    auto request = fixture.request("GET", "/n");
                    request.fresh_connection = i % 2 == 0;
                    EXPECT(fixture.call(request).outcome ==
                           call_outcome::complete);
                }
            });
}

// Guards against a call that is made outside h2o's callbacks and then waits for
// the next event or the longest sleep of the loop, because h2o does not look at
// its finished writes before it sleeps.
Test(net_http, calls_from_timers_do_not_wait_for_other_events)
{
    // The server has a loop of its own, because its timers would wake the
    // loop under test.
    std::atomic<std::uint16_t> port{0};
    std::atomic<bool> done{false};
    std::thread serving(
        [&]
        {
            http_fixture fixture(echo);
            port = fixture.server->port();
            fixture.run_until([&] { return done.load(); }, 20s);
        });
    while (port == 0)
    {
        std::this_thread::yield();
    }
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    client_request request;
    request.peer = {"127.0.0.1", port};
    std::optional<duration> elapsed;
    std::shared_ptr<http_call> call;
    const auto start = [&]
    {
        const time_point start_time = time.now();
        call = fetch(client, request, 1000,
                     [&, start_time](const fetch_result&)
                     { elapsed = time.now() - start_time; });
    };
    const auto run = [&]
    {
        elapsed.reset();
        const time_point end = time.now() + 10s;
        while (!elapsed && time.now() < end)
        {
            // Longer than the bound below, so that only the fault exceeds it.
            loop.run_once(3s);
        }
    };
    loop.after(1ms, start);
    run(); // Opens the connection that the second call uses again.
    loop.after(1ms, start);
    run();
    done = true;
    serving.join();
    EXPECT(elapsed.has_value() && *elapsed < 1s);
}

// Guards against a refused connection that is reported as a sent request.
Test(net_http, tells_whether_a_request_was_sent)
{
    http_fixture fixture([](const exchange_ptr&) {});
    section("nothing listens",
            [&]
            {
                auto request = fixture.request("GET", "/");
                request.peer.port = 1;
                EXPECT(never_sent(fixture.call(request).outcome));
            });
    section("the peer does not answer",
            [&]
            {
                auto request = fixture.request("GET", "/");
                request.timeout = 100ms;
                const auto received = fixture.call(request);
                EXPECT(received.outcome == call_outcome::timed_out);
                EXPECT(!never_sent(received.outcome));
            });
}

// Guards against an aborted answer that looks complete to the caller.
Test(net_http, shows_an_aborted_answer_as_truncated)
{
    http_fixture fixture(
        [](const exchange_ptr& exchange)
        {
            const bool sized = exchange->request().path == "/sized";
            exchange->start(
                200, {}, sized ? std::optional<std::size_t>(10) : std::nullopt);
            exchange->write("abc");
            exchange->on_drain([exchange] { exchange->abort(); });
        });
    for (const char* path : {"/sized", "/chunked"})
    {
        section(path,
                [&]
                {
                    const auto received =
                        fixture.call(fixture.request("GET", path));
                    EXPECT(received.outcome != call_outcome::complete);
                });
    }
}

// Guards against a request that continues after its caller disconnected.
Test(net_http, notices_that_the_caller_has_gone)
{
    bool cancelled = false;
    exchange_ptr held;
    http_fixture fixture(
        [&](const exchange_ptr& exchange)
        {
            held = exchange;
            exchange->on_cancel([&] { cancelled = true; });
        });
    auto request = fixture.request("GET", "/");
    auto call = fetch(fixture.client, request, 1000, [](fetch_result) {});
    EXPECT(fixture.run_until([&] { return held != nullptr; }));
    call->cancel();
    EXPECT(fixture.run_until([&] { return cancelled; }));
}

// Guards against buffering a whole answer in memory for a slow caller.
Test(net_http, holds_the_sender_back_while_the_receiver_is_paused)
{
    static constexpr std::size_t total = 64 * 1024 * 1024;
    static constexpr std::size_t part = 64 * 1024;
    std::size_t written = 0;
    http_fixture fixture(
        [&](const exchange_ptr& exchange)
        {
            exchange->start(200, {}, total);
            const auto write_next_part = [&written, exchange]
            {
                if (written == total)
                {
                    exchange->finish();
                    return;
                }
                written += part;
                exchange->write(std::string(part, 'z'));
            };
            exchange->on_drain(write_next_part);
            write_next_part();
        });

    struct counting_observer : call_observer
    {
        std::size_t received = 0;
        std::optional<call_outcome> ended;
        std::function<void()> at_head = [] {};
        void on_head(int, const http_headers&,
                     std::optional<std::size_t>) override
        {
            at_head();
        }
        void on_body(std::string_view body) override
        {
            received += body.size();
        }
        void on_end(call_outcome outcome) override
        {
            ended = outcome;
        }
    };
    const auto call_with_pause = [&](bool at_head)
    {
        written = 0;
        auto observer = std::make_shared<counting_observer>();
        std::shared_ptr<http_call> call;
        bool head_received = false;
        observer->at_head = [&]
        {
            head_received = true;
            if (at_head)
            {
                call->pause();
            }
        };
        call = fixture.client.start(fixture.request("GET", "/"), observer);
        EXPECT(fixture.run_until(
            [&] { return at_head ? head_received : observer->received > 0; }));
        call->pause();
        fixture.run_until([] { return false; }, 300ms);
        EXPECT(written < total / 2);
        call->resume();
        EXPECT(fixture.run_until([&] { return observer->ended.has_value(); },
                                 20s));
        EXPECT(*observer->ended == call_outcome::complete);
        EXPECT(observer->received == total);
    };
    section("by a pause while the body is received",
            [&] { call_with_pause(false); });
    section("by a pause when the head arrives, before any of the body is read",
            [&] { call_with_pause(true); });
}

// Guards against bodies and connections beyond their limits.
Test(net_http, refuses_above_its_limits)
{
    http_server_options options;
    options.max_body_bytes = 1000;
    options.max_connections = 1;
    http_fixture fixture(echo, options);
    section("a body that is too large",
            [&]
            {
                auto request = fixture.request("POST", "/");
                request.body = std::string(2000, 'x');
                request.fresh_connection = true;
                EXPECT(fixture.call(request).response.status == 413);
            });
    section("one connection too many",
            [&]
            {
                auto request = fixture.request("GET", "/");
                EXPECT(fixture.call(request).response.status == 200);
                request.fresh_connection = true;
                const auto received = fixture.call(request);
                EXPECT(received.response.status == 503);
                EXPECT(received.response.headers.value("siskinflow-outcome") ==
                       "not-run");
            });
}

// Guards against forwarding hop-by-hop header fields.
Test(net_http, removes_hop_by_hop_fields)
{
    http_headers headers{{"connection", "close, X-Private"},
                         {"x-private", "1"},
                         {"te", "trailers"},
                         {"x-kept", "1"}};
    headers.remove_hop_by_hop();
    EXPECT(headers.size() == 1 && headers.contains("X-Kept"));
}

// Guards against messages that are truncated or mixed up on a stream.
Test(net_messages, answers_requests_and_drops_oversized_frames)
{
    boot_clock time;
    event_loop loop(time);
    auto server = std::move(
        message_server::listen(loop, {"127.0.0.1", 0},
                               [](std::string_view request)
                               { return "re:" + std::string(request); })
            .value());
    message_client client(loop);
    const auto send_request = [&](std::uint16_t port, std::string text)
    {
        std::optional<result<std::string>> received;
        client.request({"127.0.0.1", port}, std::move(text), 2s,
                       [&](result<std::string> value)
                       { received = std::move(value); });
        while (!received)
        {
            loop.run_once(10ms);
        }
        return std::move(*received);
    };
    section("a message of a megabyte",
            [&]
            {
                const std::string large(1024 * 1024, 'm');
                EXPECT(send_request(server->port(), large).value() ==
                       "re:" + large);
            });
    section(
        "an oversized message",
        [&]
        {
            EXPECT(!send_request(server->port(),
                                 std::string(max_stream_message_bytes + 1, 'm'))
                        .has_value());
            EXPECT(server->malformed() == 1);
        });
    section("nothing listens",
            [&] {
                EXPECT(send_request(1, "x").error().code == errc::unavailable);
            });
}

// Guards against datagrams that do not arrive or name the wrong sender.
Test(net_udp, carries_datagrams)
{
    boot_clock time;
    event_loop loop(time);
    std::string received;
    endpoint sender;
    auto receiver = std::move(
        udp_socket::bind(loop, {"127.0.0.1", 0},
                         [&](const endpoint& from, std::string_view payload)
                         {
                             sender = from;
                             received = payload;
                         })
            .value());
    auto other =
        std::move(udp_socket::bind(loop, {"127.0.0.1", 0},
                                   [](const endpoint&, std::string_view) {})
                      .value());
    other->send({"127.0.0.1", receiver->port()}, "hello");
    for (int i = 0; i < 100 && received.empty(); ++i)
    {
        loop.run_once(10ms);
    }
    EXPECT(received == "hello" && sender.port == other->port());
}
