#include "server_world.hpp"
#include "test_sections.hpp"

#include <list>
#include <memory>
#include <string>
#include <vector>

using namespace server_world;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = 1024 * kb;

std::string post(std::size_t length, const std::string& fields = {})
{
    return "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " +
           std::to_string(length) + "\r\n" + fields + "\r\n";
}

/// A server with a memory budget.
struct budget_fixture
{
    std::shared_ptr<memory_budget> budget;
    std::unique_ptr<server_fixture> fixture;

    explicit budget_fixture(std::size_t bytes)
    {
        fixture = std::make_unique<server_fixture>(
            [&](event_loop& loop)
            {
                memory_limits limits;
                limits.bytes = bytes;
                budget = std::make_shared<memory_budget>(limits, loop);
                http_server_options options;
                options.max_body_bytes = 4 * mb;
                options.memory = budget;
                return options;
            });
    }
};

} // namespace

// Guards against a body that is not sent because the client waits, and against
// one that is asked for although it is refused.
Test(net_server_limits, asks_for_a_body_that_it_wants)
{
    server_fixture fixture;
    const std::string expects = "expect: 100-continue\r\n";
    section("wanted",
            [&]
            {
                caller client(fixture.server->port());
                client.send(post(4, expects));
                EXPECT(fixture.reads(client, "\r\n\r\n"));
                EXPECT(client.input == "HTTP/1.1 100 Continue\r\n\r\n");
                client.send("body");
                EXPECT(fixture.receives(1));
                EXPECT(fixture.received[0]->request().body == "body");
                EXPECT(
                    !fixture.received[0]->request().headers.contains("expect"));
            });
    section("after the answer to an earlier request",
            [&]
            {
                fixture.received.clear();
                caller client(fixture.server->port());
                client.send(get("/1") + post(4, expects));
                EXPECT(fixture.receives(1));
                fixture.pass(30ms);
                client.read();
                EXPECT(client.input.empty());
                fixture.answer(0, "1");
                EXPECT(fixture.reads(client, "100 Continue"));
                EXPECT(client.input.starts_with(ok_answer("1")));
            });
    section("too large",
            [&]
            {
                caller client(fixture.server->port());
                client.send(post(100 * mb, expects));
                EXPECT(fixture.closes(client));
                EXPECT(client.input.starts_with("HTTP/1.1 413 "));
            });
}

// Guards against refusals that are lost because the connection is reset while
// the client still sends.
Test(net_server_limits, refuses_large_requests_with_an_answer)
{
    http_server_options options;
    options.max_body_bytes = 100 * kb;
    server_fixture fixture(options);
    const auto refused = [&](const std::string& head, const std::string& rest,
                             const std::string& status)
    {
        caller client(fixture.server->port());
        fixture.send(client, head);
        for (int i = 0; i < 20; ++i)
        {
            client.send(rest);
            fixture.pass(2ms);
        }
        EXPECT(fixture.closes(client));
        EXPECT(client.input.starts_with("HTTP/1.1 " + status));
        EXPECT(client.input.find("connection: close\r\n") != std::string::npos);
        EXPECT(fixture.received.empty());
    };
    const std::string part(64 * kb, 'x');
    section("announced", [&] { refused(post(200 * kb), part, "413 "); });
    section("not announced",
            [&]
            {
                refused("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: "
                        "chunked\r\n\r\n",
                        "10000\r\n" + part + "\r\n", "413 ");
            });
    section("a head without end", [&] { refused("GET /", part, "431 "); });
}

// Guards against clients that hold connections without an end.
Test(net_server_limits, ends_what_takes_too_long)
{
    http_server_options options;
    options.header_timeout = 100ms;
    options.body_stall_timeout = 100ms;
    options.idle_timeout = 300ms;
    server_fixture fixture(options);
    const auto answer_to = [&](const std::string& text)
    {
        caller client(fixture.server->port());
        client.send(text);
        EXPECT(fixture.closes(client, 3s) && !client.reset);
        return client.input.substr(0, 13);
    };
    EXPECT(answer_to("GET / HT") == "HTTP/1.1 408 ");
    EXPECT(answer_to(post(9) + "part") == "HTTP/1.1 408 ");
    EXPECT(answer_to("").empty());
    EXPECT(answer_to("\r\n").empty());
    EXPECT(fixture.received.empty());
    section("a body that makes progress is not cut",
            [&]
            {
                caller client(fixture.server->port());
                client.send(post(10));
                for (int i = 0; i < 10; ++i)
                {
                    client.send("x");
                    fixture.pass(30ms);
                }
                EXPECT(fixture.receives(1));
                section("nor is one that waits for its answer",
                        [&]
                        {
                            fixture.pass(500ms);
                            fixture.answer(0, "late");
                            EXPECT(fixture.reads(client, "late"));
                        });
            });
    section("a request that takes too long altogether",
            []
            {
                http_server_options slow;
                slow.request_timeout = 200ms;
                server_fixture other(slow);
                caller client(other.server->port());
                client.send(post(500 * kb));
                const auto sends_until_closed = [&]
                {
                    client.send("x");
                    client.read();
                    return client.closed;
                };
                EXPECT(other.run_until(sends_until_closed, 3s));
                EXPECT(client.input.starts_with("HTTP/1.1 408 "));
            });
}

// Guards against a client that takes nothing of its answer and keeps it in
// memory, and against cutting one that is only slow.
Test(net_server_limits, tells_a_stalled_reader_from_a_slow_one)
{
    http_server_options options;
    options.write_stall_timeout = 300ms;
    server_fixture fixture(options);
    constexpr std::size_t length = 6 * mb;
    constexpr int receive_buffer = 8 * 1024;
    caller stalled(fixture.server->port(), receive_buffer);
    caller slow(fixture.server->port(), receive_buffer);
    stalled.send(get("/1"));
    EXPECT(fixture.receives(1));
    slow.send(get("/2"));
    EXPECT(fixture.receives(2));
    fixture.answer(0, std::string(length, 'x'));
    fixture.answer(1, std::string(length, 'x'));
    const time_point end = fixture.time.now() + 1s;
    while (fixture.time.now() < end)
    {
        slow.read(mb);
        fixture.pass(5ms);
    }
    EXPECT(fixture.server->stats().open == 1);
    EXPECT(fixture.run_until(
        [&]
        {
            slow.read(mb);
            return slow.input.size() > length;
        },
        20s));
}

// Guards against a limit of connections that idle ones use up.
Test(net_server_limits, replaces_idle_connections_at_the_limit)
{
    http_server_options options;
    options.max_connections = 2;
    server_fixture fixture(options);
    caller first(fixture.server->port());
    caller second(fixture.server->port());
    first.send(get("/1"));
    EXPECT(fixture.receives(1));
    second.send(get("/2"));
    EXPECT(fixture.receives(2));
    section("none is idle",
            [&]
            {
                caller third(fixture.server->port());
                EXPECT(fixture.closes(third));
                EXPECT(third.input.starts_with("HTTP/1.1 503 "));
                EXPECT(fixture.server->stats().over_connection_limit == 1);
                EXPECT(fixture.server->stats().open == 2);
            });
    section("one has been idle for a while",
            [&]
            {
                fixture.answer(0, "1");
                EXPECT(fixture.reads(first, ok_answer("1")));
                fixture.pass(1100ms);
                caller third(fixture.server->port());
                third.send(get("/3"));
                EXPECT(fixture.receives(3));
                EXPECT(fixture.closes(first));
                EXPECT(fixture.server->stats().replaced_idle == 1);
                EXPECT(fixture.server->stats().open == 2);
            });
}

// Guards against connections over the limit that are closed without an answer
// when many come at once: their callers can't know that nothing has run.
Test(net_server_limits, refuses_each_connection_over_the_limit)
{
    constexpr std::size_t callers = 80;
    http_server_options options;
    options.max_connections = 1;
    server_fixture fixture(options);
    caller first(fixture.server->port());
    first.send(get("/1"));
    EXPECT(fixture.receives(1));
    std::list<caller> others;
    for (std::size_t i = 0; i < callers; ++i)
    {
        others.emplace_back(fixture.server->port()).send(post(16));
    }
    for (caller& other : others)
    {
        EXPECT(fixture.closes(other));
        EXPECT(other.input.starts_with("HTTP/1.1 503 "));
        EXPECT(other.input.ends_with("}    \n"));
    }
    EXPECT(fixture.server->stats().over_connection_limit == callers);
    EXPECT(fixture.received.size() == 1);
}

// Guards against answers that a stopping server drops, and against requests
// that it still accepts.
Test(net_server_limits, answers_what_it_has_before_it_closes)
{
    server_fixture fixture;
    caller client(fixture.server->port());
    caller idle(fixture.server->port());
    client.send(get("/1") + get("/2"));
    EXPECT(fixture.receives(2));
    fixture.server->close_after_responses();
    client.send(get("/3"));
    fixture.pass(30ms);
    EXPECT(fixture.received.size() == 2);
    fixture.answer(0, "1");
    fixture.answer(1, "2");
    EXPECT(fixture.closes(client) && !client.reset);
    EXPECT(client.input ==
           ok_answer("1") + ok_answer("2", "connection: close\r\n"));
    idle.send(get("/4"));
    EXPECT(fixture.receives(3));
    fixture.answer(2, "4");
    EXPECT(fixture.closes(idle) && !idle.reset);
    EXPECT(idle.input == ok_answer("4", "connection: close\r\n"));
}

// Guards against memory that is announced, held or leaked outside the budget.
Test(net_server_limits, accounts_for_bodies_and_answers)
{
    budget_fixture world(64 * mb);
    server_fixture& fixture = *world.fixture;
    caller client(fixture.server->port());
    client.send(post(2 * mb));
    fixture.pass(20ms);
    EXPECT(world.budget->held() <= 16 * kb);
    fixture.send(client, std::string(mb, 'x'));
    EXPECT(fixture.run_until([&] { return world.budget->held() >= mb; }));
    EXPECT(world.budget->held() <= mb + 32 * kb);
    fixture.send(client, std::string(mb, 'x'));
    EXPECT(fixture.receives(1));
    EXPECT(world.budget->held() >= 2 * mb);
    fixture.answer(0, std::string(16 * mb, 'y'));
    EXPECT(world.budget->held() > 8 * mb);
    section("until the client has read",
            [&]
            {
                EXPECT(fixture.run_until(
                    [&]
                    {
                        client.read(mb);
                        return client.input.size() > 16 * mb;
                    }));
                EXPECT(fixture.run_until(
                    [&] { return world.budget->held() == 0; }));
            });
    section(
        "until the client has gone",
        [&]
        {
            client.send(post(2 * mb));
            fixture.send(client, std::string(mb, 'x'));
            EXPECT(fixture.run_until([&] { return world.budget->held() > 0; }));
            client.close();
            EXPECT(
                fixture.run_until([&] { return world.budget->held() == 0; }));
        });
}

// Replays clients that send most of a body and stop. Guards against a budget
// that they hold for ever, and against a refusal that the client does not see.
Test(net_server_limits, evicts_stalled_bodies)
{
    budget_fixture world(4 * mb);
    server_fixture& fixture = *world.fixture;
    caller first(fixture.server->port());
    caller second(fixture.server->port());
    first.send(post(2 * mb));
    fixture.send(first, std::string(2 * mb - kb, 'x'));
    fixture.pass(100ms);
    second.send(post(2 * mb));
    std::string rest(2 * mb, 'y');
    const auto send_rest = [&]
    {
        rest.erase(0, second.send(rest));
        return !fixture.received.empty();
    };
    fixture.run_until(send_rest, 500ms);
    EXPECT(fixture.received.empty() && world.budget->evictions() == 0);
    EXPECT(world.budget->held() <= 3 * mb);
    EXPECT(fixture.run_until(send_rest, 5s));
    EXPECT(fixture.received[0]->request().body == std::string(2 * mb, 'y'));
    EXPECT(fixture.closes(first) && !first.reset);
    EXPECT(first.input.starts_with("HTTP/1.1 503 "));
    EXPECT(first.input.find("retry-after: 1\r\n") != std::string::npos);
    EXPECT(world.budget->evictions() == 1);
}

// Replays clients that ask for large answers and do not read them.
Test(net_server_limits, evicts_answers_that_nobody_takes)
{
    budget_fixture world(24 * mb);
    server_fixture& fixture = *world.fixture;
    constexpr std::size_t length = 14 * mb;
    caller stalled(fixture.server->port(), 8 * 1024);
    stalled.send(get("/1"));
    EXPECT(fixture.receives(1));
    fixture.answer(0, std::string(length, 'x'));
    fixture.pass(1200ms);
    caller other(fixture.server->port());
    other.send(get("/2"));
    EXPECT(fixture.receives(2));
    fixture.answer(1, std::string(length, 'y'));
    EXPECT(fixture.run_until(
        [&]
        {
            other.read(mb);
            return other.input.size() > length;
        }));
    EXPECT(world.budget->evictions() == 1);
    EXPECT(fixture.run_until([&] { return world.budget->held() == 0; }));
}
