#include "test_sections.hpp"
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/net/http_server.hpp>

#include <rapidcheck.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::net;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

enum class close_mode
{
    close,
    reset,
};

/// A TCP socket that listens on a free port of the loopback interface.
class listening_socket
{
public:
    listening_socket()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        ::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), length);
        ::listen(descriptor_, 1);
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address),
                      &length);
        port_ = ntohs(address.sin_port);
    }

    ~listening_socket()
    {
        ::close(descriptor_);
    }

    listening_socket(const listening_socket&) = delete;
    listening_socket& operator=(const listening_socket&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// Accepts a connection and reads the request.
    /// @return the connection's descriptor
    int accept_request() const
    {
        const int connection = ::accept(descriptor_, nullptr, nullptr);
        char buffer[2048];
        (void)::recv(connection, buffer, sizeof(buffer), 0);
        return connection;
    }

private:
    int descriptor_ = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t port_ = 0;
};

/// Answers one connection with given parts and ends it.
class single_response_server
{
public:
    single_response_server(std::vector<std::string> parts, close_mode mode)
    {
        worker_ = std::jthread([this, parts = std::move(parts), mode]
                               { serve(parts, mode); });
    }

    std::uint16_t port() const
    {
        return listener_.port();
    }

private:
    void serve(const std::vector<std::string>& parts, close_mode mode) const
    {
        const int connection = listener_.accept_request();
        for (const std::string& part : parts)
        {
            (void)::send(connection, part.data(), part.size(), MSG_NOSIGNAL);
            // Lets the client read what was sent before the next part or the
            // end of the connection.
            std::this_thread::sleep_for(30ms);
        }
        const linger abortive_close{1, 0};
        if (mode == close_mode::reset)
        {
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &abortive_close,
                         sizeof(abortive_close));
        }
        ::close(connection);
    }

    listening_socket listener_;
    std::jthread worker_; ///< Joined before the socket is closed.
};

/// Answers one connection with a prefix, then repeats a text until the client
/// closes the connection.
class endless_response_server
{
public:
    endless_response_server(std::string prefix, std::string repeated)
    {
        worker_ = std::jthread(
            [this, prefix = std::move(prefix), repeated = std::move(repeated)]
            { serve(prefix, repeated); });
    }

    std::uint16_t port() const
    {
        return listener_.port();
    }

private:
    void serve(const std::string& prefix, const std::string& repeated) const
    {
        const int connection = listener_.accept_request();
        (void)::send(connection, prefix.data(), prefix.size(), MSG_NOSIGNAL);
        std::string block;
        while (block.size() < 4096)
        {
            block += repeated;
        }
        while (::send(connection, block.data(), block.size(), MSG_NOSIGNAL) > 0)
        {
        }
        ::close(connection);
    }

    listening_socket listener_;
    std::jthread worker_; ///< Joined before the socket is closed.
};

std::string answer_with(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Answers a request, sends the answer a second time on the idle connection,
/// and answers a request on another connection.
class repeating_server
{
public:
    std::uint16_t port() const
    {
        return listener_.port();
    }

    /// Time after the first answer at which the second copy is sent.
    static constexpr std::chrono::milliseconds copy_delay{30};

private:
    void serve() const
    {
        const int first = listener_.accept_request();
        const std::string answer = answer_with("first");
        (void)::send(first, answer.data(), answer.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(copy_delay);
        (void)::send(first, answer.data(), answer.size(), MSG_NOSIGNAL);
        const int second = listener_.accept_request();
        const std::string other = answer_with("second");
        (void)::send(second, other.data(), other.size(), MSG_NOSIGNAL);
        ::close(first);
        ::close(second);
    }

    listening_socket listener_;
    std::jthread worker_{[this] { serve(); }};
};

/// Calls a server on the loopback interface and waits for the end of the call.
fetch_result fetch_from(std::uint16_t port, event_loop& loop,
                        http_client& client, duration timeout)
{
    client_request request;
    request.peer = {"127.0.0.1", port};
    request.timeout = timeout;
    std::optional<fetch_result> fetched;
    const auto call =
        fetch(client, request, 1 << 20,
              [&](fetch_result value) { fetched = std::move(value); });
    while (!fetched)
    {
        loop.run_once(5ms);
    }
    return std::move(*fetched);
}

fetch_result fetch_response(event_loop& loop, http_client& client,
                            std::string answer, close_mode mode)
{
    const single_response_server server({std::move(answer)}, mode);
    return fetch_from(server.port(), loop, client, 2s);
}

fetch_result fetch_in_parts(event_loop& loop, http_client& client,
                            std::vector<std::string> parts)
{
    const single_response_server server(std::move(parts), close_mode::close);
    return fetch_from(server.port(), loop, client, 2s);
}

} // namespace

// Guards against a target's answer that ends the process, and against a
// truncated body that is reported as complete.
Test(net_client_faults, survive_malformed_answers)
{
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    const auto outcome = [&](const std::string& answer, close_mode mode)
    { return fetch_response(loop, client, answer, mode).outcome; };
    section("a length that is no number",
            [&]
            {
                EXPECT(
                    outcome("HTTP/1.1 200 OK\r\ncontent-length: 1x\r\n\r\nab",
                            close_mode::close) == call_outcome::broken);
            });
    section(
        "an unknown encoding",
        [&]
        {
            EXPECT(outcome("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n",
                           close_mode::close) == call_outcome::broken);
        });
    section("bytes that are no answer",
            [&]
            {
                EXPECT(outcome("\x01\x02garbage\r\n\r\n", close_mode::close) ==
                       call_outcome::broken);
            });
    section("a body without a length that ends with the connection",
            [&]
            {
                const auto fetched =
                    fetch_response(loop, client, "HTTP/1.1 200 OK\r\n\r\nwhole",
                                   close_mode::close);
                EXPECT(fetched.outcome == call_outcome::complete);
                EXPECT(fetched.response.body == "whole");
            });
    section("chunks whose last one is missing",
            [&]
            {
                EXPECT(outcome("HTTP/1.1 200 OK\r\ntransfer-encoding: "
                               "chunked\r\n\r\n2\r\nab\r\n",
                               close_mode::close) == call_outcome::truncated);
            });
    section("a body without a length, reset on the way",
            [&]
            {
                EXPECT(outcome("HTTP/1.1 200 OK\r\n\r\nwho",
                               close_mode::reset) == call_outcome::truncated);
            });
}

// Guards against a second copy of an answer that reaches the next caller on a
// connection that is in use again.
Test(net_client_faults, a_repeated_answer_does_not_reach_the_next_call)
{
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    const repeating_server server;
    const auto fetch_body = [&]
    { return fetch_from(server.port(), loop, client, 2s).response.body; };
    EXPECT(fetch_body() == "first");
    const time_point copy_sent = time.now() + 3 * server.copy_delay;
    while (time.now() < copy_sent)
    {
        loop.run_once(5ms);
    }
    EXPECT(fetch_body() == "second");
}

// Guards against a target that sends bytes without end: they would fill the
// memory and keep the call until its deadline.
Test(net_client_faults, end_a_call_whose_answer_does_not_end)
{
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    const auto outcome =
        [&](const std::string& prefix, const std::string& repeated)
    {
        const endless_response_server server(prefix, repeated);
        return fetch_from(server.port(), loop, client, 5s).outcome;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "transfer-encoding: chunked\r\n\r\n";
    struct endless_answer
    {
        const char* name;
        std::string prefix;
        std::string repeated;
    };
    const endless_answer heads[] = {
        {"bytes before the status line", "", "x"},
        {"empty lines before the status line", "", "\r\n"},
        {"a status line", "HTTP/1.1 200 ", "O"},
        {"a header line", ok + "a: ", "b"},
        {"header lines", ok, "a: b\r\n"},
        {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"}};
    for (const endless_answer& answer : heads)
    {
        section(answer.name,
                [&] {
                    EXPECT(outcome(answer.prefix, answer.repeated) ==
                           call_outcome::broken);
                });
    }
    const endless_answer bodies[] = {
        {"the size of a chunk", chunked, "0"},
        {"an extension of a chunk", chunked + "2;", "x"},
        {"trailers", chunked + "0\r\n", "a: b\r\n"},
        {"chunks", chunked, "1\r\nx\r\n"},
        {"a body without a length", ok + "\r\n", "x"}};
    for (const endless_answer& answer : bodies)
    {
        section(answer.name,
                [&]
                {
                    EXPECT(outcome(answer.prefix, answer.repeated) ==
                           call_outcome::truncated);
                });
    }
}

// Guards against a call that is cancelled between two passes of the loop,
// before h2o has reported its request as written: h2o frees the connection and
// then loops for ever over its list of events.
Test(net_client_faults, cancel_a_call_that_was_just_written, .timeout = 20)
{
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    const auto server =
        http_server::listen(loop, {"127.0.0.1", 0}, {},
                            [](const exchange_ptr& exchange) {
                                exchange->respond({200, {}, "answer"});
                            });
    EXPECT(server.has_value());
    const std::uint16_t port = server.value()->port();
    client_request request;
    request.peer = {"127.0.0.1", port};
    const auto start_and_cancel = [&]
    {
        for (int i = 0; i < 3; ++i)
        {
            const auto first = fetch(client, request, 100, [](fetch_result) {});
            const auto second =
                fetch(client, request, 100, [](fetch_result) {});
        }
    };
    for (int round = 0; round < 20; ++round)
    {
        EXPECT(fetch_from(port, loop, client, 2s).response.body == "answer");
        loop.post(start_and_cancel);
        loop.after(1ms, start_and_cancel);
        for (int i = 0; i < 5; ++i)
        {
            loop.run_once(2ms);
        }
    }
}

// Guards against an interim head that is taken for the answer.
Test(net_client_faults, skip_interim_heads)
{
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    const auto fetched =
        fetch_response(loop, client,
                       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                       "content-length: 5\r\n\r\nwhole",
                       close_mode::close);
    EXPECT(fetched.outcome == call_outcome::complete);
    EXPECT(fetched.response.status == 200);
    EXPECT(fetched.response.body == "whole");
}

// Guards against a malformed head behind an interim head, or split over several
// reads, that ends the process with all calls in progress.
Test(net_client_faults, survive_malformed_heads_behind_interim_heads)
{
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string malformed[] = {
        "HTTP/1.1 200 OK\r\ncontent-length: 1o\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ncontent-length: 2 \r\n\r\nab",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked \r\n\r\n"};
    for (const std::string& head : malformed)
    {
        for (const std::string& prefix :
             {std::string(), interim, interim + interim,
              std::string("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")})
        {
            section("a malformed head",
                    [&]
                    {
                        EXPECT(fetch_response(loop, client, prefix + head,
                                              close_mode::close)
                                   .outcome == call_outcome::broken);
                    });
        }
    }
    section("interim head and malformed head in separate packets",
            [&]
            {
                EXPECT(fetch_in_parts(loop, client, {interim, malformed[0]})
                           .outcome == call_outcome::broken);
            });
    section("a malformed head that arrives in two packets",
            [&]
            {
                EXPECT(fetch_in_parts(loop, client,
                                      {interim + "HTTP/1.1 200 OK\r\ncont",
                                       "ent-length: 1o\r\n\r\nab"})
                           .outcome == call_outcome::broken);
            });
}

// Guards against a truncated or changed head that ends the process.
Test(net_client_faults, survive_mutated_heads)
{
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    cr_assert(rc::check(
        "a mutated head ends the call",
        [&]
        {
            const std::string interim = *rc::gen::element<std::string>(
                "", "HTTP/1.1 100 Continue\r\n\r\n");
            std::string answer = interim +
                                 "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
                                 "connection: keep-alive\r\n"
                                 "transfer-encoding: chunked\r\n\r\n"
                                 "2\r\nab\r\n0\r\n\r\n";
            const auto position =
                *rc::gen::inRange<std::size_t>(0, answer.size());
            const auto erased_bytes = *rc::gen::inRange<std::size_t>(0, 30);
            answer.erase(position, erased_bytes);
            answer.insert(position, *rc::gen::arbitrary<std::string>());
            fetch_response(loop, client, answer, close_mode::close);
        }));
}

// Guards against a call that counts as never sent although its request reaches
// the server, now or later: its order would be sent again, or reported as not
// run (TWICE, REFUSED). The call is cancelled, or meets its limit for the
// connection, after any number of passes of the loop.
Test(net_client_faults, an_unsent_call_reaches_no_server)
{
    constexpr int calls = 400;
    constexpr unsigned max_passes = 5;
    std::mt19937 random(20261205);
    const auto one_in = [&random](unsigned n) { return random() % n == 0; };
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    std::set<std::string> arrived;
    const auto server =
        http_server::listen(loop, {"127.0.0.1", 0}, {},
                            [&](const exchange_ptr& exchange)
                            {
                                arrived.insert(exchange->request().path);
                                exchange->respond({200, {}, "ok"});
                            });
    struct silent_observer final : call_observer
    {
        void on_head(int, const http_headers&,
                     std::optional<std::size_t>) override
        {
        }
        void on_body(std::string_view) override {}
        void on_end(call_outcome outcome) override
        {
            ended = outcome;
        }
        std::optional<call_outcome> ended;
    };
    const auto run_for = [&](duration length)
    {
        const auto end = time.now() + length;
        while (time.now() < end)
        {
            loop.run_once(1ms);
        }
    };
    std::set<std::string> never_sent_paths;
    std::size_t sent_paths = 0;
    for (int i = 0; i < calls; ++i)
    {
        client_request request;
        request.peer = {"127.0.0.1", server.value()->port()};
        request.target = "/call-" + std::to_string(i);
        request.fresh_connection = !one_in(3);
        request.connect_timeout = one_in(5) ? duration(1us) : duration(1s);
        const auto observer = std::make_shared<silent_observer>();
        const auto call = client.start(request, observer);
        const unsigned passes = random() % (max_passes + 1);
        for (unsigned pass = 0; pass < passes; ++pass)
        {
            loop.run_once(0ms);
        }
        if (one_in(7))
        {
            // What is due by then is due in one pass.
            std::this_thread::sleep_for(2ms);
            loop.run_once(0ms);
        }
        const bool sent =
            observer->ended ? !never_sent(*observer->ended) : call->sent();
        call->cancel();
        sent_paths += sent ? 1 : 0;
        if (!sent)
        {
            never_sent_paths.insert(request.target);
        }
        run_for(one_in(4) ? 2ms : 0ms);
    }
    run_for(100ms);
    EXPECT(sent_paths > 0);
    EXPECT(never_sent_paths.size() > 10);
    for (const std::string& path : never_sent_paths)
    {
        EXPECT(arrived.count(path) == 0);
    }
}
