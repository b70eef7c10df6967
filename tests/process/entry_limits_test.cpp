// The entry daemon against callers that speak HTTP in unusual, slow or hostile
// ways, over raw sockets.
#include "deployment.hpp"
#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/net/http_server.hpp>

#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace siskinflow;
using namespace std::chrono_literals;
using nlohmann::json;
using processes::deployment;
using processes::deployment_plan;
using test_sections::section;

namespace
{

constexpr std::chrono::milliseconds answer_limit = 5s;

int connect_to(std::uint16_t port, int receive_buffer = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    (void)::connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address));
    return descriptor;
}

/// One answer as read from a connection.
struct raw_answer
{
    int status = 0;
    std::string head; ///< In lower case.
    std::string body;
};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string field(const std::string& head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
    {
        return "";
    }
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Removes a chunked body from the front of a text.
/// @return whether it was complete
bool take_chunks(std::string& from, std::string& body)
{
    std::size_t at = 0;
    while (true)
    {
        const auto line = from.find("\r\n", at);
        if (line == std::string::npos)
        {
            return false;
        }
        const std::size_t size =
            std::strtoul(from.substr(at, line - at).c_str(), nullptr, 16);
        if (from.size() < line + 2 + size + 2)
        {
            return false;
        }
        body += from.substr(line + 2, size);
        at = line + 2 + size + 2;
        if (size == 0)
        {
            from.erase(0, at);
            return true;
        }
    }
}

/// A connection that sends and receives exactly what the test says.
class raw_connection
{
public:
    raw_connection(processes::http& caller, std::uint16_t port,
                   int receive_buffer = 0)
        : caller_(caller), descriptor_(connect_to(port, receive_buffer))
    {
    }
    ~raw_connection()
    {
        close();
    }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void send(const std::string& text) const
    {
        (void)::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
    }
    void end_sending() const
    {
        ::shutdown(descriptor_, SHUT_WR);
    }
    void close()
    {
        if (descriptor_ >= 0)
        {
            ::close(std::exchange(descriptor_, -1));
        }
    }

    /// Reads what has arrived, at most `most` bytes.
    void read_some(std::size_t most = 1 << 20)
    {
        std::string buffer(most, '\0');
        const ssize_t size =
            ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0)
        {
            received_bytes += static_cast<std::size_t>(size);
            input.append(buffer, 0, static_cast<std::size_t>(size));
        }
        closed = closed || size == 0 ||
                 (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool wait_closed(std::chrono::milliseconds limit = answer_limit)
    {
        return caller_.run_until(
            [this]
            {
                read_some();
                return closed;
            },
            limit);
    }

    /// Reads one whole answer; status 0 if none arrives.
    raw_answer answer(bool head_only = false)
    {
        raw_answer out;
        caller_.run_until(
            [&]
            {
                read_some();
                return out.status != 0 || take(out, head_only) || closed;
            },
            answer_limit);
        return out;
    }

    std::string input;
    std::size_t received_bytes = 0;
    bool closed = false;

private:
    bool take(raw_answer& out, bool head_only)
    {
        const auto end = input.find("\r\n\r\n");
        if (end == std::string::npos)
        {
            return false;
        }
        const std::string head = lower(input.substr(0, end + 2));
        std::string rest = input.substr(end + 4);
        std::string body;
        if (!head_only && field(head, "transfer-encoding") == "chunked")
        {
            if (!take_chunks(rest, body))
            {
                return false;
            }
        }
        else if (!head_only)
        {
            const auto size = std::strtoul(
                field(head, "content-length").c_str(), nullptr, 10);
            if (rest.size() < size)
            {
                return false;
            }
            body = rest.substr(0, size);
            rest.erase(0, size);
        }
        out = {std::atoi(head.c_str() + 9), head, body};
        input = rest;
        return true;
    }

    processes::http& caller_;
    int descriptor_;
};

std::string get_text(const std::string& path, const std::string& more = "")
{
    return "GET " + path +
           " HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer key-acme\r\n" +
           more + "\r\n";
}

std::string order_text(const std::string& permit, const std::string& more = "")
{
    return "POST /orders/1 HTTP/1.1\r\nhost: entry\r\n"
           "authorization: Bearer key-acme\r\nidempotency-key: " +
           permit + "\r\ncontent-length: 3\r\n" + more + "\r\none";
}

/// One VM, which is enough to look at one connection.
deployment_plan one_vm()
{
    deployment_plan plan;
    plan.vms = 1;
    plan.targets = {{"maps-1", "maps", 6, 0, {}},
                    {"orders-1", "orders", 3, 0, {}}};
    return plan;
}

/// Value of a metric, summed over its labels.
double metric(deployment& run, const std::string& name)
{
    const auto got =
        run.caller().get(run.http_port(0), "/siskinflow/v1/metrics");
    double sum = 0;
    std::istringstream lines(got.response.body);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with(name + "{") || line.starts_with(name + " "))
        {
            sum += std::atof(line.substr(line.rfind(' ') + 1).c_str());
        }
    }
    return sum;
}

std::string ledger_text(deployment& run, const std::string& target)
{
    return run.caller()
        .get(run.target_port(target), "/standin/ledger")
        .response.body;
}

/// A target inside the test, for answers that the stand-in does not give.
class inner_target
{
public:
    inner_target(deployment& run, net::http_server::handler handler)
    {
        auto made = net::http_server::listen(
            run.caller().loop(), {"127.0.0.1", 0}, {},
            [handler = std::move(handler)](const net::exchange_ptr& exchange)
            {
                if (exchange->request().path.starts_with("/inner"))
                {
                    handler(exchange);
                    return;
                }
                // The VM asks for the load of the target.
                exchange->respond({404, {}, ""});
            });
        server_ = std::move(made).value();
        const json target = {
            {"name", "inner"},
            {"routes", {"inner"}},
            {"region", "region-0"},
            {"failure_domain", "domain-0"},
            {"address", "127.0.0.1:" + std::to_string(server_->port())},
            {"slots", 4},
            {"max_connections", 400}};
        const json route = {{"name", "inner"},
                            {"path_prefix", "/inner"},
                            {"idempotent", true},
                            {"open", false},
                            {"not_run_statuses", {503}},
                            {"default_timeout_ms", 8000},
                            {"shift_cap_percent_per_s", 100}};
        added = run.apply({{"id", "inner"},
                           {"routes", {{"add", {route}}}},
                           {"targets", {{"add", {target}}}}}) == 0;
    }
    bool added = false;

private:
    std::unique_ptr<net::http_server> server_;
};

} // namespace

// Guards against answers that are lost, mixed up or wrongly framed on a
// connection that carries several requests.
Test(entry_limits, connections_carry_several_requests)
{
    deployment run(one_vm());
    EXPECT(run.ready());
    raw_connection connection(run.caller(), run.http_port(0));
    section("one after the other",
            [&]
            {
                for (int i = 0; i < 3; ++i)
                {
                    connection.send(get_text("/maps/1"));
                    EXPECT(connection.answer().status == 200);
                }
            });
    section("pipelined requests are answered in order",
            [&]
            {
                connection.send(get_text("/maps/1", "x-request-id: a\r\n") +
                                get_text("/nothing") +
                                get_text("/maps/2", "x-request-id: b\r\n"));
                EXPECT(field(connection.answer().head, "x-request-id") == "a");
                EXPECT(connection.answer().status == 404);
                EXPECT(field(connection.answer().head, "x-request-id") == "b");
            });
    section("the answer to HEAD has no body",
            [&]
            {
                std::string text = get_text("/maps/1");
                text.replace(0, 3, "HEAD");
                connection.send(text);
                const auto head = connection.answer(true);
                EXPECT(head.status == 200);
                EXPECT(field(head.head, "content-length") == "1024");
                connection.send(get_text("/maps/1"));
                EXPECT(connection.answer().body.size() == 1024);
            });
    section("a chunked request arrives whole",
            [&]
            {
                std::string text =
                    get_text("/maps/1", "transfer-encoding: chunked\r\n");
                text.replace(0, 3, "POST");
                connection.send(text + "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
                EXPECT(connection.answer().status == 200);
                EXPECT(ledger_text(run, "maps-1").find(sha256_hex("abcdefg")) !=
                       std::string::npos);
            });
    EXPECT(!connection.closed);
}

// Guards against an answer of unknown length that is cut or badly framed.
Test(entry_limits, a_chunked_answer_is_passed_on)
{
    deployment run(one_vm());
    EXPECT(run.ready());
    inner_target target(run,
                        [](const net::exchange_ptr& exchange)
                        {
                            exchange->start(200, {}, std::nullopt);
                            exchange->write("first ");
                            exchange->write("second");
                            exchange->finish();
                        });
    EXPECT(target.added);
    raw_connection connection(run.caller(), run.http_port(0));
    for (int i = 0; i < 2; ++i)
    {
        connection.send(get_text("/inner/1"));
        const auto got = connection.answer();
        EXPECT(got.status == 200 && got.body == "first second");
    }
}

// Guards against a slow reader whose answer piles up in the memory of the
// daemon, and against an answer that is cut while it is read slowly.
Test(entry_limits, a_slow_reader_holds_the_target_back)
{
    constexpr std::size_t part_bytes = 64 * 1024;
    constexpr std::size_t parts = 1600; // 100 MB
    // Socket buffers of both connections hold at most about 20 MB.
    constexpr std::size_t most_in_transit = 32 * 1024 * 1024;
    deployment run(one_vm());
    EXPECT(run.ready());
    std::size_t written = 0;
    inner_target target(run,
                        [&](const net::exchange_ptr& exchange)
                        {
                            const auto write =
                                [&written, exchange = exchange.get()]
                            {
                                if (written == parts * part_bytes)
                                {
                                    exchange->finish();
                                    return;
                                }
                                written += part_bytes;
                                exchange->write(std::string(part_bytes, 'x'));
                            };
                            exchange->start(200, {}, parts * part_bytes);
                            exchange->on_drain(write);
                            write();
                        });
    EXPECT(target.added);
    raw_connection connection(run.caller(), run.http_port(0), 64 * 1024);
    connection.send(get_text("/inner/1"));
    section("nothing is read for longer than one attempt may wait",
            [&]
            {
                run.pause(1500ms);
                EXPECT(written > 0);
                EXPECT(written < most_in_transit);
            });
    section("others are served meanwhile",
            [&] { EXPECT(run.get(0, "/maps/1").response.status == 200); });
    section("the answer arrives whole once it is read",
            [&]
            {
                run.caller().run_until(
                    [&]
                    {
                        for (int i = 0; i < 32; ++i)
                        {
                            connection.read_some();
                        }
                        return connection.closed ||
                               connection.received_bytes >=
                                   parts * part_bytes + 100;
                    },
                    6s);
                const auto body = connection.input.find("\r\n\r\n") + 4;
                run.caller().run_until(
                    [&]
                    {
                        connection.read_some();
                        return connection.received_bytes >=
                               body + parts * part_bytes;
                    },
                    1s);
                EXPECT(connection.received_bytes == body + parts * part_bytes);
            });
}

// Guards against slow callers that hold connections for ever or hold others
// up.
Test(entry_limits, a_request_that_does_not_end_is_cut_off)
{
    deployment_plan plan = one_vm();
    plan.vm_arguments = {"--request_timeout_ms=1000"};
    deployment run(plan);
    EXPECT(run.ready());
    raw_connection head(run.caller(), run.http_port(0));
    raw_connection body(run.caller(), run.http_port(0));
    head.send("GET /maps/1 HTTP/1.1\r\nhost: en");
    std::string text = get_text("/maps/1", "content-length: 100\r\n");
    text.replace(0, 3, "POST");
    body.send(text + "part");
    for (int i = 0; i < 10; ++i)
    {
        EXPECT(run.get(0, "/maps/1").response.status == 200);
    }
    EXPECT(head.wait_closed(3s));
    EXPECT(body.wait_closed(3s));
    EXPECT(run.ledger("maps-1").received == 10);
}

// Guards against malformed requests that reach a target or end the daemon.
Test(entry_limits, malformed_requests_reach_no_target)
{
    deployment run(one_vm());
    EXPECT(run.ready());
    const auto ends = [&](const std::string& text, bool end_sending = false)
    {
        raw_connection connection(run.caller(), run.http_port(0));
        connection.send(text);
        if (end_sending)
        {
            connection.end_sending();
        }
        EXPECT(connection.wait_closed());
        EXPECT(connection.input.find(" 200 ") == std::string::npos);
        EXPECT(run.ledger("maps-1").received == 0);
    };
    section("request line", [&] { ends("what is this nonsense\r\n\r\n"); });
    section("bytes that are no text", [&]
            { ends(std::string("\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 11)); });
    section("header without a colon",
            [&] { ends("GET /maps/1 HTTP/1.1\r\nhost entry\r\n\r\n"); });
    section("truncated head",
            [&] { ends("GET /maps/1 HTTP/1.1\r\nho", true); });
    section("truncated body",
            [&]
            {
                std::string text = get_text("/maps/1", "content-length: 9\r\n");
                text.replace(0, 3, "POST");
                ends(text + "abc", true);
            });
    EXPECT(run.get(0, "/maps/1").response.status == 200);
}

// Guards against a second request that is hidden in the body of the first.
Test(entry_limits, no_request_is_smuggled)
{
    deployment run(one_vm());
    EXPECT(run.ready());
    const std::string hidden = get_text("/maps/hidden");
    const auto attempt =
        [&](const std::string& framing, const std::string& body)
    {
        const auto before = run.ledger("maps-1").received;
        raw_connection connection(run.caller(), run.http_port(0));
        std::string text = get_text("/maps/1", framing);
        text.replace(0, 3, "POST");
        connection.send(text + body);
        connection.wait_closed(500ms);
        EXPECT(run.ledger("maps-1").received - before <= 1);
        EXPECT(ledger_text(run, "maps-1").find("hidden") == std::string::npos);
    };
    section("both framings, the chunks end first",
            [&]
            {
                attempt("content-length: " + std::to_string(5 + hidden.size()) +
                            "\r\ntransfer-encoding: chunked\r\n",
                        "0\r\n\r\n" + hidden);
            });
    section("both framings, the length ends first",
            [&]
            {
                char size[16];
                std::snprintf(size, sizeof(size), "%zx", hidden.size());
                attempt("transfer-encoding: chunked\r\ncontent-length: " +
                            std::to_string(std::string(size).size() + 2) +
                            "\r\n",
                        std::string(size) + "\r\n" + hidden + "\r\n0\r\n\r\n");
            });
    section("two lengths",
            [&]
            {
                attempt("content-length: 3\r\ncontent-length: " +
                            std::to_string(3 + hidden.size()) + "\r\n",
                        "abc" + hidden);
            });
    section("a length that is a list",
            [&] { attempt("content-length: 3, 3\r\n", "abc" + hidden); });
    section("a length with a sign",
            [&] { attempt("content-length: +3\r\n", "abc" + hidden); });
    section("an encoding that is not chunked",
            [&] {
                attempt("transfer-encoding: chunked, identity\r\n",
                        "0\r\n\r\n" + hidden);
            });
    section("chunk size that is no number",
            [&]
            {
                attempt("transfer-encoding: chunked\r\n",
                        "zz\r\nabc\r\n0\r\n\r\n" + hidden);
            });
    section("chunk size that overflows",
            [&]
            {
                attempt("transfer-encoding: chunked\r\n",
                        "fffffffffffffffff\r\nabc\r\n0\r\n\r\n" + hidden);
            });
    EXPECT(run.get(0, "/maps/1").response.status == 200);
}

// Guards against callers that use up the connections without a refusal.
Test(entry_limits, connections_over_the_limit_are_refused)
{
    constexpr std::size_t most = 16;
    deployment_plan plan = one_vm();
    plan.vm_arguments = {"--max_connections=" + std::to_string(most)};
    deployment run(plan);
    EXPECT(run.ready());
    std::vector<std::unique_ptr<raw_connection>> held;
    for (std::size_t i = 0; i < most; ++i)
    {
        held.push_back(
            std::make_unique<raw_connection>(run.caller(), run.http_port(0)));
    }
    run.pause(100ms);
    raw_connection further(run.caller(), run.http_port(0));
    const auto refused = further.answer();
    EXPECT(refused.status == 503);
    EXPECT(field(refused.head, "siskinflow-reason") == "too_many_connections");
    EXPECT(further.wait_closed());
    held.clear();
    run.pause(200ms);
    EXPECT(run.get(0, "/maps/1").response.status == 200);
    EXPECT(metric(run, "siskinflow_connections_refused_total") >= 1);
}

// Guards against garbage on the control port that disturbs the service or goes
// unnoticed.
Test(entry_limits, garbage_on_the_control_port_is_counted)
{
    deployment run(one_vm());
    EXPECT(run.ready());
    const std::string garbage(300, '\xff');
    section("datagrams",
            [&]
            {
                const int descriptor =
                    ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
                sockaddr_in address{};
                address.sin_family = AF_INET;
                address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
                address.sin_port = htons(run.control_port(0));
                for (std::size_t size : {0U, 1U, 18U, 300U})
                {
                    ::sendto(descriptor, garbage.data(), size, 0,
                             reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
                }
                ::close(descriptor);
                run.pause(200ms);
                EXPECT(metric(run, "siskinflow_datagrams_dropped_total") >= 3);
            });
    const auto dropped = [&]
    { return metric(run, "siskinflow_messages_dropped_total"); };
    section("a message that is too long",
            [&]
            {
                const double before = dropped();
                raw_connection connection(run.caller(), run.control_port(0));
                connection.send(garbage);
                EXPECT(connection.wait_closed());
                EXPECT(dropped() == before + 1);
            });
    section("a message that can't be read",
            [&]
            {
                const double before = dropped();
                raw_connection connection(run.caller(), run.control_port(0));
                connection.send(std::string("\0\0\0\x05", 4) + "wrong");
                EXPECT(connection.wait_closed());
                EXPECT(dropped() == before + 1);
            });
    section("a message that ends early",
            [&]
            {
                const double before = dropped();
                raw_connection connection(run.caller(), run.control_port(0));
                connection.send(std::string("\0\0\0\x05", 4) + "wr");
                connection.end_sending();
                EXPECT(connection.wait_closed());
                EXPECT(dropped() == before + 1);
            });
    EXPECT(run.get(0, "/maps/1").response.status == 200);
    EXPECT(run.status(0).value("fresh", false));
}

// Guards against a daemon that starts with a setting it does not understand.
Test(entry_limits, a_bad_flag_ends_the_daemon_and_is_named)
{
    const auto refused = [](const std::string& flag, const std::string& name)
    {
        std::string output;
        EXPECT(
            processes::run("siskinflowd",
                           {"--vm_name=a", "--region=b", "--failure_domain=c",
                            "--store=127.0.0.1:1", flag},
                           output) == 2);
        EXPECT(output.find(name) != std::string::npos);
        EXPECT(std::count(output.begin(), output.end(), '\n') == 1);
    };
    section("out of range",
            [&] { refused("--max_connections=0", "--max_connections"); });
    section("no number",
            [&] { refused("--request_timeout_ms=x", "request_timeout_ms"); });
    section("unknown",
            [&] { refused("--max_conections=5", "max_conections"); });
    section("missing file", [&]
            { refused("--certificate_file=/nowhere", "--certificate_file"); });
}

// Guards against work for callers that have gone, and against orders that are
// stopped half-way because their caller went.
Test(entry_limits, a_caller_that_goes_cancels_only_what_may_be_repeated)
{
    deployment_plan plan = one_vm();
    plan.targets = {{"maps-1", "maps", 6, 0, {"--service_ms=1500"}},
                    {"orders-1", "orders", 3, 0, {"--service_ms=1500"}}};
    deployment run(plan);
    EXPECT(run.ready());
    const auto state = [&](const std::string& target, const std::string& name)
    {
        return ledger_text(run, target).find("\"state\":\"" + name + "\"") !=
               std::string::npos;
    };
    const auto reaches = [&](const std::string& target, const std::string& name)
    {
        return processes::poll_until(
            run.caller(), run.target_port(target), "/standin/ledger",
            [&](const std::string& text) {
                return text.find("\"state\":\"" + name + "\"") !=
                       std::string::npos;
            },
            answer_limit);
    };
    const auto permit = run.permit(0, "orders");
    raw_connection reader(run.caller(), run.http_port(0));
    raw_connection buyer(run.caller(), run.http_port(0));
    reader.send(get_text("/maps/1"));
    buyer.send(order_text(permit));
    EXPECT(reaches("maps-1", "running"));
    EXPECT(reaches("orders-1", "running"));
    reader.close();
    buyer.close();
    EXPECT(reaches("maps-1", "cancelled"));
    EXPECT(!state("maps-1", "finished"));
    EXPECT(reaches("orders-1", "finished"));
    EXPECT(!state("orders-1", "cancelled"));
    const auto copy = run.order(0, permit);
    EXPECT(copy.response.headers.value("siskinflow-reason") == "already_ran");
}

namespace
{

/// A temporary folder with a certificate, removed at the end.
class certificate_folder
{
public:
    certificate_folder()
    {
        char path[] = "/tmp/siskinflow-tls-XXXXXX";
        folder_ = ::mkdtemp(path);
    }
    ~certificate_folder()
    {
        std::filesystem::remove_all(folder_);
    }
    certificate_folder(const certificate_folder&) = delete;
    certificate_folder& operator=(const certificate_folder&) = delete;

    bool make(const std::string& name) const
    {
        const std::string command =
            "openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=" +
            name + " -keyout " + key() + " -out " + certificate() +
            " >/dev/null 2>&1";
        return std::system(command.c_str()) == 0;
    }
    std::string certificate() const
    {
        return folder_ + "/certificate.pem";
    }
    std::string key() const
    {
        return folder_ + "/key.pem";
    }

private:
    std::string folder_;
};

/// A TLS connection to the daemon.
class tls_connection
{
public:
    explicit tls_connection(std::uint16_t port)
        : context_(SSL_CTX_new(TLS_client_method())), tls_(SSL_new(context_)),
          descriptor_(connect_to(port))
    {
        const timeval limit{5, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit,
                     sizeof(limit));
        SSL_set_fd(tls_, descriptor_);
        connected_ = SSL_connect(tls_) == 1;
    }
    ~tls_connection()
    {
        SSL_free(tls_);
        SSL_CTX_free(context_);
        ::close(descriptor_);
    }
    tls_connection(const tls_connection&) = delete;
    tls_connection& operator=(const tls_connection&) = delete;

    /// Common name of the certificate; empty without a connection.
    std::string name() const
    {
        X509* certificate =
            connected_ ? SSL_get_peer_certificate(tls_) : nullptr;
        if (certificate == nullptr)
        {
            return "";
        }
        char text[256] = {};
        X509_NAME_get_text_by_NID(X509_get_subject_name(certificate),
                                  NID_commonName, text, sizeof(text));
        X509_free(certificate);
        return text;
    }

    bool serves() const
    {
        const std::string request =
            "GET /siskinflow/v1/health HTTP/1.1\r\nhost: entry\r\n\r\n";
        if (!connected_ || SSL_write(tls_, request.data(),
                                     static_cast<int>(request.size())) <= 0)
        {
            return false;
        }
        // The body is one line of JSON.
        std::string text;
        char part[4096];
        while (!text.ends_with("}\n"))
        {
            const int size = SSL_read(tls_, part, sizeof(part));
            if (size <= 0)
            {
                return false;
            }
            text.append(part, static_cast<std::size_t>(size));
        }
        return text.starts_with("HTTP/1.1 ");
    }

private:
    SSL_CTX* context_;
    SSL* tls_;
    int descriptor_;
    bool connected_ = false;
};

} // namespace

// Guards against a renewed certificate that needs a restart, and against a
// damaged one that stops the service.
Test(entry_limits, certificates_are_loaded_again)
{
    const certificate_folder folder;
    EXPECT(folder.make("first"));
    const auto ports = processes::free_ports(3);
    const auto local = [](std::uint16_t port)
    { return "127.0.0.1:" + std::to_string(port); };
    processes::child store("store_standin", {"--listen=" + local(ports[0])});
    processes::child daemon(
        "siskinflowd",
        {"--vm_name=vm0", "--region=north", "--failure_domain=rack",
         "--store=" + local(ports[0]), "--http_listen=" + local(ports[1]),
         "--control_listen=" + local(ports[2]),
         "--certificate_file=" + folder.certificate(),
         "--key_file=" + folder.key()});
    processes::http caller;
    const auto presents = [&](const std::string& name)
    {
        return caller.run_until(
            [&] { return tls_connection(ports[1]).name() == name; },
            answer_limit);
    };
    EXPECT(presents("first"));
    const tls_connection open(ports[1]);
    EXPECT(open.serves());
    section("a new certificate is used for new connections",
            [&]
            {
                EXPECT(folder.make("second"));
                daemon.signal(SIGHUP);
                EXPECT(presents("second"));
                EXPECT(open.serves());
            });
    section("a damaged certificate changes nothing",
            [&]
            {
                std::ofstream(folder.certificate()) << "damaged";
                daemon.signal(SIGHUP);
                caller.run_until([] { return false; }, 200ms);
                const tls_connection next(ports[1]);
                EXPECT(next.name() == "second");
                EXPECT(next.serves());
                EXPECT(daemon.running());
            });
}
