#include "net/client_connection.hpp"
#include "raw_target.hpp"
#include "test_sections.hpp"
#include <siskinflow/net/http_client.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::net;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

std::string answer(const std::string& fields, const std::string& body = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

const std::string empty_answer = answer("content-length: 0\r\n");

/// What a call saw.
struct seen_answer
{
    std::optional<call_outcome> outcome;
    answer_position position;
};

/// Ends with the answer and says whether its connection may be used again.
class judging_observer final : public call_observer
{
public:
    judging_observer(seen_answer& seen, bool keeps) : seen_(seen), keeps_(keeps)
    {
    }
    void on_head(int /*status*/, const http_headers& /*headers*/,
                 std::optional<std::size_t> /*content_length*/) override
    {
    }
    void on_body(std::string_view /*part*/) override {}
    bool keeps_connection() const override
    {
        return keeps_;
    }
    void on_end(call_outcome outcome) override
    {
        seen_.outcome = outcome;
    }

private:
    seen_answer& seen_;
    bool keeps_;
};

/// A client and a server on plain sockets.
class connection_fixture
{
public:
    explicit connection_fixture(raw_target::answerer server)
        : server_(std::move(server)), loop_(time_), client_(loop_)
    {
    }

    answer_position call(const std::string& id = {}, bool keeps = true)
    {
        client_request request;
        request.peer = {"127.0.0.1", server_.port()};
        request.id = id;
        seen_answer seen;
        const auto running =
            client_.start(std::move(request),
                          std::make_shared<judging_observer>(seen, keeps));
        while (!seen.outcome)
        {
            loop_.run_once(10ms);
        }
        EXPECT(*seen.outcome == call_outcome::complete);
        return running->position();
    }

    void run_for(duration time)
    {
        const time_point end = loop_.now() + time;
        while (loop_.now() < end)
        {
            loop_.run_once(10ms);
        }
    }

private:
    boot_clock time_;
    raw_target server_;
    event_loop loop_;
    http_client client_;
};

/// Whether a connection is used again after an answer of these bytes.
bool is_used_again(const std::string& bytes)
{
    connection_fixture fixture(
        [&](const raw_target::request& arrived)
        { return arrived.connection == 1 ? bytes : empty_answer; });
    const auto first = fixture.call();
    return fixture.call().connection == first.connection;
}

} // namespace

// Guards against an answer on a connection that has carried its request's id
// before, where a copy of the earlier answer can't be told from the due one.
Test(net_connections, carry_an_id_once)
{
    connection_fixture fixture([](const raw_target::request& /*arrived*/)
                               { return empty_answer; });
    const auto first = fixture.call("a");
    section("another id goes over the kept connection",
            [&]
            {
                const auto second = fixture.call("b");
                EXPECT(second.connection == first.connection);
                EXPECT(second.answer == 2);
                EXPECT(second.local_port == first.local_port);
                EXPECT(second.conclusive());
            });
    section("the same id goes over a new one",
            [&]
            {
                const auto repeated = fixture.call("a");
                EXPECT(repeated.connection != first.connection);
                EXPECT(repeated.answer == 1 && repeated.conclusive());
            });
    section("and over a third one",
            [&]
            {
                const auto again = fixture.call("a");
                EXPECT(again.connection != first.connection);
                EXPECT(again.answer == 1 && again.conclusive());
            });
    section("requests without an id use any",
            [&] { EXPECT(fixture.call().answer > 1); });
}

// Guards against a connection that is used again although more bytes than the
// answer have arrived on it.
Test(net_connections, are_closed_after_additional_bytes)
{
    section("none: it is used again",
            [&]
            {
                EXPECT(is_used_again(empty_answer));
                EXPECT(is_used_again(answer("content-length: 2\r\n", "ok")));
                EXPECT(is_used_again(answer("transfer-encoding: chunked\r\n",
                                            "2\r\nok\r\n0\r\n\r\n")));
            });
    section("behind an answer without a body",
            [&] { EXPECT(!is_used_again(empty_answer + "H")); });
    section("behind a body with a length",
            [&] {
                EXPECT(!is_used_again(answer("content-length: 2\r\n", "okH")));
            });
    section("behind the last chunk",
            [&]
            {
                EXPECT(!is_used_again(answer("transfer-encoding: chunked\r\n",
                                             "2\r\nok\r\n0\r\n\r\nHTTP/1.1")));
            });
    section("behind an answer to an interim head",
            [&]
            {
                EXPECT(!is_used_again("HTTP/1.1 100 Continue\r\n\r\n" +
                                      empty_answer + "H"));
            });
    section("while it is idle",
            [&]
            {
                connection_fixture fixture(
                    [](const raw_target::request& /*arrived*/)
                    {
                        raw_target::reply out(empty_answer);
                        out.late_bytes = empty_answer;
                        out.late_after = 30ms;
                        return out;
                    });
                const auto first = fixture.call();
                fixture.run_for(100ms);
                const auto second = fixture.call();
                EXPECT(second.connection != first.connection);
                EXPECT(second.answer == 1);
            });
}

// Guards against a connection that is used again although its last answer was
// one after which copies may come.
Test(net_connections, are_closed_if_the_observer_says_so)
{
    connection_fixture fixture([](const raw_target::request& /*arrived*/)
                               { return empty_answer; });
    const auto first = fixture.call("a", false);
    EXPECT(fixture.call("b").connection != first.connection);
}

// Guards against ids that are kept without a bound.
Test(net_connections, carry_a_bounded_number_of_requests)
{
    constexpr int more_than_one_carries = 1200;
    connection_fixture fixture([](const raw_target::request& /*arrived*/)
                               { return empty_answer; });
    const auto first = fixture.call();
    answer_position last;
    for (int i = 0; i < more_than_one_carries; ++i)
    {
        last = fixture.call();
    }
    EXPECT(last.connection == first.connection + 1);
}

// Guards against connections that the peer is about to close.
Test(net_connections, are_closed_when_idle_for_long)
{
    connection_fixture fixture([](const raw_target::request& /*arrived*/)
                               { return empty_answer; });
    const auto first = fixture.call();
    fixture.run_for(5500ms);
    EXPECT(fixture.call().connection != first.connection);
}

// Guards against a chart and a table of names that differ.
Test(net_connections, names_follow_the_chart)
{
    EXPECT(name(connection_state::doubtful) == "doubtful");
    EXPECT(name(connection_event::replace) == "replace");
    EXPECT(
        state_chart::parse(chart_text("client_connection"),
                           {"fresh", "in_use", "clean", "doubtful", "closed"},
                           {"send", "keep", "doubt", "replace", "close"})
            .has_value());
}
