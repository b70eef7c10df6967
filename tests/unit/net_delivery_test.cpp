#include "server_world.hpp"
#include "test_sections.hpp"

#include <string>

using namespace server_world;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::size_t kb = 1024;
/// More than the kernel keeps for a caller with a small buffer, so that the
/// answer is written to its end while the caller still reads.
constexpr std::size_t answer_bytes = 200 * kb;
constexpr int receive_buffer = 16 * 1024;

/// Reads an answer at some 50 KB a second.
/// @param then runs once, after a time
void read_slowly(server_fixture& fixture, caller& client, duration after,
                 const std::function<void()>& then)
{
    constexpr std::size_t part = 2 * kb;
    const time_point begins = fixture.time.now();
    bool due = true;
    while (!client.closed && !client.reset && fixture.time.now() - begins < 8s)
    {
        if (due && fixture.time.now() - begins >= after)
        {
            due = false;
            then();
        }
        client.read(part);
        fixture.pass(40ms);
    }
}

std::string large_answer()
{
    return std::string(answer_bytes, 'x');
}

} // namespace

// Guards against an answer whose end is lost because the server closes the
// connection while the kernel still sends, and the caller then sends more.
Test(net_delivery, a_slow_reader_gets_a_closing_answer_whole)
{
    section("it sends more after the answer was written",
            []
            {
                server_fixture fixture;
                caller client(fixture.server->port(), receive_buffer);
                client.send(get("/", "connection: close\r\n"));
                EXPECT(fixture.receives(1));
                fixture.answer(0, large_answer());
                read_slowly(fixture, client, 3000ms,
                            [&] { client.send(get("/next")); });
                EXPECT(client.input.size() > answer_bytes);
                EXPECT(fixture.received.size() == 1);
            });
    section("its next request was there already",
            []
            {
                server_fixture fixture;
                caller client(fixture.server->port(), receive_buffer);
                client.send(get("/", "connection: close\r\n") + get("/next"));
                EXPECT(fixture.receives(1));
                fixture.answer(0, large_answer());
                read_slowly(fixture, client, 3000ms,
                            [&] { client.send(get("/third")); });
                EXPECT(client.input.size() > answer_bytes);
                EXPECT(fixture.received.size() == 1);
            });
    section("it has ended its sending side",
            []
            {
                server_fixture fixture;
                caller client(fixture.server->port(), receive_buffer);
                client.send(get("/"));
                EXPECT(fixture.receives(1));
                fixture.answer(0, large_answer());
                read_slowly(fixture, client, 100ms,
                            [&] { client.end_sending(); });
                EXPECT(client.input.size() > answer_bytes);
            });
}

// Guards against a stopping process that ends while callers have not received
// what was written.
Test(net_delivery, tells_which_answers_have_not_arrived)
{
    server_fixture fixture;
    EXPECT(fixture.server->undelivered_connections() == 0);
    caller client(fixture.server->port(), receive_buffer);
    client.send(get("/"));
    EXPECT(fixture.receives(1));
    fixture.server->close_after_responses();
    fixture.answer(0, large_answer());
    section("written, not read",
            [&]
            {
                EXPECT(fixture.run_until(
                    [&] { return fixture.server->open_exchanges() == 0; }));
                EXPECT(fixture.server->undelivered_connections() == 1);
                fixture.pass(1500ms);
                EXPECT(fixture.server->undelivered_connections() == 1);
            });
    section("read",
            [&]
            {
                EXPECT(fixture.closes(client));
                EXPECT(client.input.size() > answer_bytes);
                EXPECT(fixture.run_until(
                    [&] {
                        return fixture.server->undelivered_connections() == 0;
                    }));
            });
}

// Guards against connections that stay for ever because their caller does not
// read the end of an answer.
Test(net_delivery, a_caller_that_reads_nothing_is_given_up)
{
    http_server_options options;
    options.write_stall_timeout = 1500ms;
    server_fixture fixture(options);
    caller client(fixture.server->port(), receive_buffer);
    client.send(get("/"));
    EXPECT(fixture.receives(1));
    fixture.server->close_after_responses();
    fixture.answer(0, large_answer());
    EXPECT(fixture.run_until(
        [&]
        {
            return fixture.server->stats().open == 0 &&
                   fixture.server->undelivered_connections() == 0;
        }));
}
