#include "server_world.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <string>
#include <vector>

using namespace server_world;
using namespace std::chrono_literals;
using test_sections::section;

// Guards against pipelined requests that wait for each other, and against
// answers in another order than the requests.
Test(net_server, runs_pipelined_requests_together_and_answers_in_order)
{
    server_fixture fixture;
    caller client(fixture.server->port());
    client.send(get("/1") + get("/2") + get("/3"));
    EXPECT(fixture.receives(3));
    EXPECT(fixture.server->open_exchanges() == 3);
    fixture.answer(2, "third");
    fixture.received[1]->start(200, {}, std::nullopt);
    fixture.received[1]->write("sec");
    fixture.pass(50ms);
    client.read();
    EXPECT(client.input.empty());
    EXPECT(fixture.received[2]->done());
    fixture.answer(0, "first");
    EXPECT(fixture.reads(client, "3\r\nsec\r\n"));
    EXPECT(fixture.run_until(
        [&] { return fixture.server->open_exchanges() == 2; }));
    fixture.received[1]->write("ond");
    fixture.received[1]->finish();
    EXPECT(fixture.reads(client, "third"));
    EXPECT(client.input == ok_answer("first") +
                               "HTTP/1.1 200 OK\r\ntransfer-encoding: "
                               "chunked\r\n\r\n3\r\nsec\r\n3\r\nond\r\n0\r\n"
                               "\r\n" +
                               ok_answer("third"));
    EXPECT(fixture.run_until(
        [&] { return fixture.server->open_exchanges() == 0; }));
    EXPECT(fixture.cancelled.empty());
}

// Guards against one connection that starts more requests, or holds more bytes,
// than its bounds, and against one that is never read again.
Test(net_server, bounds_pipelined_requests)
{
    section("their number",
            []
            {
                http_server_options options;
                options.max_pipelined = 2;
                server_fixture fixture(options);
                caller client(fixture.server->port());
                client.send(get("/1") + get("/2") + get("/3") + get("/4"));
                EXPECT(fixture.receives(2));
                fixture.pass(50ms);
                EXPECT(fixture.received.size() == 2);
                fixture.answer(1, "2");
                fixture.pass(50ms);
                EXPECT(fixture.received.size() == 2);
                fixture.answer(0, "1");
                EXPECT(fixture.receives(4));
                client.send(get("/5"));
                fixture.answer(2, "3");
                EXPECT(fixture.receives(5));
            });
    section("their bytes",
            []
            {
                http_server_options options;
                options.max_body_bytes = 1000;
                server_fixture fixture(options);
                caller client(fixture.server->port());
                const std::string request =
                    get("/", "content-length: 600\r\n") + std::string(600, 'x');
                client.send(request + request + request);
                EXPECT(fixture.receives(2));
                fixture.pass(50ms);
                EXPECT(fixture.received.size() == 2);
                fixture.answer(0, "1");
                EXPECT(fixture.receives(3));
                EXPECT(fixture.received[2]->request().body.size() == 600);
            });
}

// Guards against requests that run although the connection is closed in front
// of their answers.
Test(net_server, drops_requests_behind_an_answer_that_closes)
{
    server_fixture fixture;
    section(
        "by the handler",
        [&]
        {
            caller client(fixture.server->port());
            client.send(get("/1") + get("/2") + get("/3"));
            EXPECT(fixture.receives(3));
            fixture.answer(1, "hidden");
            fixture.received[0]->close_after_response();
            EXPECT(
                fixture.run_until([&] { return !fixture.cancelled.empty(); }));
            EXPECT(fixture.cancelled == std::vector<std::string>{"/3"});
            EXPECT(fixture.server->open_exchanges() == 1);
            client.send(get("/4"));
            fixture.pass(50ms);
            EXPECT(fixture.received.size() == 3);
            fixture.answer(0, "first");
            EXPECT(fixture.closes(client) && !client.reset);
            EXPECT(client.input == ok_answer("first", "connection: close\r\n"));
        });
    section("by the request",
            [&]
            {
                fixture.received.clear();
                caller client(fixture.server->port());
                client.send(get("/1", "connection: close\r\n") + get("/2"));
                EXPECT(fixture.receives(1));
                fixture.answer(0, "first");
                EXPECT(fixture.closes(client) && !client.reset);
                EXPECT(fixture.received.size() == 1);
            });
    section("by an aborted answer",
            [&]
            {
                fixture.received.clear();
                fixture.cancelled.clear();
                caller client(fixture.server->port());
                client.send(get("/1") + get("/2"));
                EXPECT(fixture.receives(2));
                fixture.received[0]->start(200, {}, 10);
                fixture.received[0]->write("part");
                fixture.received[0]->abort();
                EXPECT(fixture.closes(client));
                EXPECT(client.input.ends_with("part"));
                EXPECT(fixture.run_until(
                    [&] { return !fixture.cancelled.empty(); }));
                EXPECT(fixture.cancelled == std::vector<std::string>{"/2"});
            });
    section("by a malformed request behind them",
            [&]
            {
                fixture.received.clear();
                fixture.cancelled.clear();
                caller client(fixture.server->port());
                client.send(get("/1") + "nonsense\r\n\r\n" + get("/2"));
                EXPECT(fixture.receives(1));
                fixture.pass(50ms);
                fixture.answer(0, "first");
                EXPECT(fixture.closes(client) && !client.reset);
                EXPECT(client.input.starts_with(ok_answer("first") +
                                                "HTTP/1.1 400 "));
                EXPECT(fixture.received.size() == 1);
                EXPECT(fixture.cancelled.empty());
            });
}

// Guards against an order that is sent to a target after its caller was told
// that it has not been read: the answer in front of it closes the connection,
// and its cancellation is still due.
Test(net_server, tells_at_once_which_requests_can_not_be_answered)
{
    server_fixture fixture;
    caller client(fixture.server->port());
    section("behind an answer that closes",
            [&]
            {
                client.send(get("/1") + get("/2") + get("/3"));
                EXPECT(fixture.receives(3));
                fixture.received[1]->close_after_response();
                EXPECT(!fixture.received[0]->done());
                EXPECT(!fixture.received[1]->done());
                EXPECT(fixture.received[2]->done());
                EXPECT(fixture.cancelled.empty());
            });
    section("after the caller has left",
            [&]
            {
                client.close();
                EXPECT(fixture.run_until(
                    [&] { return fixture.cancelled.size() == 3; }));
                EXPECT(fixture.received[0]->done());
            });
    section("in the same bytes as one that is answered and closes",
            []
            {
                server_fixture closing;
                closing.on_received = [](const exchange_ptr& exchange)
                {
                    exchange->close_after_response();
                    exchange->respond({200, {}, "only"});
                };
                caller last(closing.server->port());
                last.send(get("/1") + get("/2"));
                EXPECT(closing.closes(last) && !last.reset);
                EXPECT(closing.received.size() == 1);
                EXPECT(last.input ==
                       ok_answer("only", "connection: close\r\n"));
            });
}

// Guards against work for a client that has gone, also if it has sent more
// than the server reads.
Test(net_server, notices_a_disconnect_at_once)
{
    http_server_options options;
    options.max_pipelined = 2;
    server_fixture fixture(options);
    for (const std::size_t sent : {1U, 2U, 4U})
    {
        section(std::to_string(sent) + " requests",
                [&]
                {
                    fixture.received.clear();
                    fixture.cancelled.clear();
                    caller client(fixture.server->port());
                    for (std::size_t i = 0; i < sent; ++i)
                    {
                        client.send(get("/" + std::to_string(i)));
                    }
                    const std::size_t running = std::min<std::size_t>(sent, 2);
                    EXPECT(fixture.receives(running));
                    client.close();
                    EXPECT(fixture.run_until(
                        [&] { return fixture.cancelled.size() == running; }));
                    EXPECT(fixture.received[0]->done());
                    fixture.answer(0, "nobody reads this");
                    EXPECT(fixture.server->open_exchanges() == 0);
                    EXPECT(fixture.run_until(
                        [&] { return fixture.server->stats().open == 0; }));
                });
    }
}

// Guards against use of freed memory when callbacks answer or release
// exchanges, or destroy the server.
Test(net_server, callbacks_may_do_anything)
{
    section("answers and releases inside on_cancel",
            []
            {
                server_fixture fixture;
                caller client(fixture.server->port());
                client.send(get("/1") + get("/2") + get("/3"));
                EXPECT(fixture.receives(3));
                int calls = 0;
                for (const auto& exchange : fixture.received)
                {
                    exchange->on_cancel(
                        [&]
                        {
                            ++calls;
                            for (const auto& other : fixture.received)
                            {
                                other->respond({200, {}, "x"});
                                other->abort();
                            }
                            fixture.received.clear();
                        });
                }
                client.close();
                EXPECT(fixture.run_until([&] { return calls == 3; }));
            });
    section("answers of later requests inside on_drain",
            []
            {
                server_fixture fixture;
                caller client(fixture.server->port());
                client.send(get("/1") + get("/2"));
                EXPECT(fixture.receives(2));
                const auto first = fixture.received[0];
                first->start(200, {}, std::nullopt);
                first->on_drain(
                    [&]
                    {
                        fixture.answer(1, "second");
                        fixture.received[0]->on_drain(nullptr);
                        fixture.received[0]->finish();
                        fixture.received.clear();
                    });
                first->write("one");
                EXPECT(fixture.reads(client, "second"));
            });
    section("the server inside the handler, on_cancel and on_drain",
            []
            {
                for (const std::string where : {"handler", "cancel", "drain"})
                {
                    boot_clock time;
                    event_loop loop(time);
                    std::unique_ptr<http_server> server;
                    exchange_ptr kept;
                    bool destroyed = false;
                    const auto destroy = [&]
                    {
                        destroyed = true;
                        server.reset();
                    };
                    const auto handle = [&](const exchange_ptr& exchange)
                    {
                        kept = exchange;
                        exchange->on_cancel(destroy);
                        exchange->on_drain(destroy);
                        if (where == "handler")
                        {
                            destroy();
                        }
                        if (where == "drain")
                        {
                            exchange->start(200, {}, std::nullopt);
                            exchange->write("part");
                        }
                    };
                    server = std::move(
                        http_server::listen(loop, {"127.0.0.1", 0}, {}, handle)
                            .value());
                    caller client(server->port());
                    client.send(get("/1") + get("/2"));
                    for (int i = 0; i < 200 && !destroyed; ++i)
                    {
                        loop.run_once(5ms);
                        if (where == "cancel" && kept != nullptr)
                        {
                            client.close();
                        }
                    }
                    EXPECT(destroyed);
                    loop.run_once(1ms);
                    kept->respond({200, {}, "late"});
                    EXPECT(kept->done());
                }
            });
}

// Guards against answers that are framed wrongly for their request or status.
Test(net_server, frames_answers)
{
    server_fixture fixture;
    const auto ask = [&](const std::string& request, http_response response)
    {
        fixture.received.clear();
        caller client(fixture.server->port());
        client.send(request);
        EXPECT(fixture.receives(1));
        fixture.received[0]->respond(std::move(response));
        fixture.reads(client, "\r\n\r\n");
        fixture.pass(10ms);
        client.read();
        return client.input;
    };
    EXPECT(ask(get("/"), {204, {}, "dropped"}) ==
           "HTTP/1.1 204 No Content\r\n\r\n");
    EXPECT(ask(get("/"), {304, {}, ""}) == "HTTP/1.1 304 Not Modified\r\n\r\n");
    EXPECT(ask("HEAD / HTTP/1.1\r\nhost: a\r\n\r\n", {200, {}, "body"}) ==
           "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n");
    EXPECT(ask("GET / HTTP/1.0\r\n\r\n", {200, {}, "x"}) ==
           ok_answer("x", "connection: close\r\n"));
    EXPECT(ask("GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
               {200, {}, "x"}) == ok_answer("x", "connection: keep-alive\r\n"));
    EXPECT(ask(get("/"), {0, {}, ""}).starts_with("HTTP/1.1 500 "));
    EXPECT(ask(get("/"), {600, {}, ""}).starts_with("HTTP/1.1 500 "));
    EXPECT(ask(get("/"), {200,
                          {{"X-Kept", "1"},
                           {"x-cut", "a\r\nb: c"},
                           {"Content-Length", "9"},
                           {"connection", "x"}},
                          "x"}) ==
           "HTTP/1.1 200 OK\r\nx-kept: 1\r\ncontent-length: 1\r\n\r\nx");
    section("an answer shorter than announced closes the connection",
            [&]
            {
                fixture.received.clear();
                caller client(fixture.server->port());
                client.send(get("/"));
                EXPECT(fixture.receives(1));
                fixture.received[0]->start(200, {}, 5);
                fixture.received[0]->write("abc");
                fixture.received[0]->finish();
                EXPECT(fixture.closes(client));
                EXPECT(client.input.ends_with("\r\n\r\nabc"));
            });
    section("HTTP/1.0 without a length ends with the connection",
            [&]
            {
                fixture.received.clear();
                caller client(fixture.server->port());
                client.send("GET / HTTP/1.0\r\n\r\n");
                EXPECT(fixture.receives(1));
                fixture.received[0]->start(200, {}, std::nullopt);
                fixture.received[0]->write("abc");
                fixture.received[0]->finish();
                EXPECT(fixture.closes(client));
                EXPECT(client.input ==
                       "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc");
            });
}
