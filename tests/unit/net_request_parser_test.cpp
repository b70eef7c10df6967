#include "net/request_parser.hpp"
#include "test_sections.hpp"

#include <string>
#include <utility>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::net;
using test_sections::section;

namespace
{

/// What a parser made of some bytes.
struct parsed
{
    std::vector<std::pair<received_head, std::string>> requests;
    int refusal = 0;
    bool partial = false;

    /// Text that two results have in common if they are equal.
    std::string summary() const
    {
        std::string out = std::to_string(refusal) + (partial ? "+" : "-");
        for (const auto& [head, body] : requests)
        {
            out += "|" + head.request.method + " " +
                   head.request.path_and_query() + " " + body;
            for (const auto& [name, value] : head.request.headers)
            {
                out += "," + name + "=" + value;
            }
        }
        return out;
    }
};

/// @param step bytes that arrive at once
parsed parse(std::string_view bytes, std::size_t step = SIZE_MAX,
             const request_limits& limits = {1024, 100})
{
    parsed out;
    request_parser parser(limits);
    while (!bytes.empty() && parser.status() != request_parser::state::refused)
    {
        std::string_view part = bytes.substr(0, step);
        bytes.remove_prefix(part.size());
        while (!part.empty() &&
               parser.status() != request_parser::state::refused)
        {
            part.remove_prefix(parser.consume(part));
            if (parser.status() == request_parser::state::complete)
            {
                std::string body;
                received_head head = parser.take(body);
                out.requests.emplace_back(std::move(head), std::move(body));
            }
        }
    }
    out.refusal = parser.refusal();
    out.partial = parser.status() == request_parser::state::head ||
                  parser.status() == request_parser::state::body;
    return out;
}

std::string get(const std::string& fields, const std::string& target = "/")
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

std::string chunked(const std::string& body)
{
    return get("Transfer-Encoding: chunked\r\n") + body;
}

std::string text_with(char c)
{
    return std::string("x: a") + c + "b\r\n";
}

int refusal_of(const std::string& bytes)
{
    const parsed whole = parse(bytes);
    // The same result however the bytes arrive.
    for (const std::size_t step : {1U, 2U, 7U})
    {
        EXPECT(parse(bytes, step).summary() == whole.summary());
    }
    return whole.refusal;
}

bool is_accepted(const std::string& bytes)
{
    return refusal_of(bytes) == 0 && parse(bytes).requests.size() == 1;
}

} // namespace

// Guards against requests that are cut at a packet's end or run into each
// other.
Test(net_request_parser, reads_requests_in_any_pieces)
{
    const std::string bytes = "\r\n\r\n" + get("X-A:  1 \r\n", "/a/b?c=d") +
                              chunked("3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n"
                                      "Trailer: 1\r\n\r\n") +
                              get("Content-Length: 4\r\n") + "body" +
                              "HEAD /end HTTP/1.1\nhost: b\n\n";
    const parsed whole = parse(bytes);
    EXPECT(whole.requests.size() == 4 && whole.refusal == 0 && !whole.partial);
    const auto& first = whole.requests[0].first;
    EXPECT(first.request.path == "/a/b" && first.request.query == "c=d");
    EXPECT(first.request.headers.value("x-a") == "1");
    EXPECT(first.request.headers.value("host") == "a");
    EXPECT(first.persistent && !first.http_1_0);
    EXPECT(whole.requests[1].second == "abcde");
    EXPECT(
        !whole.requests[1].first.request.headers.contains("transfer-encoding"));
    EXPECT(!whole.requests[1].first.request.headers.contains("trailer"));
    EXPECT(whole.requests[2].second == "body");
    EXPECT(whole.requests[3].first.request.method == "HEAD");
    for (std::size_t step = 1; step < bytes.size(); ++step)
    {
        EXPECT(parse(bytes, step).summary() == whole.summary());
    }
    EXPECT(parse(bytes.substr(0, bytes.size() - 1)).partial);
}

// Guards against a body whose end two parsers see in different places.
Test(net_request_parser, refuses_ambiguous_framing)
{
    for (const char* fields :
         {"Content-Length: 3\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding:\r\n",
          "Content-Length: 3, 3\r\n",
          "Content-Length: +3\r\n",
          "Content-Length: -3\r\n",
          "Content-Length: 0x3\r\n",
          "Content-Length:\r\n",
          "Content-Length: 3 3\r\n",
          "Content-Length: 18446744073709551616\r\n",
          "Content-Length : 3\r\n",
          " Content-Length: 3\r\n",
          "x: 1\r\n folded\r\n",
          "x: 1\r\n\tfolded\r\n",
          "no colon\r\n",
          ": no name\r\n",
          "a b: 1\r\n",
          "x: a\rb: 2\r\n",
          "x: 1\r\r\n"})
    {
        section(fields,
                [&] { EXPECT(refusal_of(get(fields) + "abcabc") == 400); });
    }
    section("control characters",
            [&]
            {
                EXPECT(refusal_of(get(text_with('\0'))) == 400);
                EXPECT(refusal_of(get(text_with('\x01'))) == 400);
                EXPECT(refusal_of(get(text_with('\x7f'))) == 400);
                EXPECT(is_accepted(get(text_with('\t'))));
                EXPECT(is_accepted(get(text_with('\xe4'))));
            });
    section("an encoding that HTTP/1.0 does not have",
            [&]
            {
                EXPECT(refusal_of("POST / HTTP/1.0\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n0\r\n\r\n") == 400);
            });
}

// Guards against chunks that end elsewhere than another parser thinks, and
// against sizes that overflow.
Test(net_request_parser, refuses_malformed_chunks)
{
    for (const char* body :
         {"zz\r\nabc\r\n", "\r\n", "-1\r\nabc\r\n", "+3\r\nabc\r\n",
          "0x3\r\nabc\r\n", " 3\r\nabc\r\n", "3 x\r\nabc\r\n",
          "fffffffffffffffff\r\nabc\r\n", "3\nabc\r\n", "3\r\nabcd\r\n",
          "3\r\nabc\n", "3\r\nabc0\r\n\r\n", "0\r\nno colon \r\n\r\n",
          "0\r\n folded: 1\r\n\r\n", "3\r\r\nabc\r\n"})
    {
        section(body, [&] { EXPECT(refusal_of(chunked(body)) == 400); });
    }
    EXPECT(refusal_of(chunked(std::string(5000, '0') + "1\r\na\r\n")) == 400);
    EXPECT(refusal_of(chunked("ffffffffffffffff\r\nabc\r\n")) == 413);
}

// Guards against memory used by requests over the limits.
Test(net_request_parser, refuses_what_is_too_large)
{
    EXPECT(refusal_of(get("Content-Length: 101\r\n")) == 413);
    EXPECT(refusal_of(get("Content-Length: 18446744073709551615\r\n")) == 413);
    EXPECT(is_accepted(get("Content-Length: 100\r\n") + std::string(100, 'x')));
    EXPECT(refusal_of(chunked("60\r\n" + std::string(96, 'x') +
                              "\r\n5\r\nabcde\r\n0\r\n\r\n")) == 413);
    EXPECT(refusal_of(get("x: " + std::string(2000, 'x') + "\r\n")) == 431);
    EXPECT(refusal_of("GET /" + std::string(2000, 'x')) == 431);
    EXPECT(refusal_of(std::string(2000, '\n')) == 431);
    std::string fields;
    for (int i = 0; i < 300; ++i)
    {
        fields += "a:\n";
    }
    EXPECT(refusal_of(get(fields)) == 431);
    EXPECT(refusal_of(get("Expect: 200-ok\r\n")) == 417);
}

// Guards against request lines and hosts that are understood differently
// elsewhere.
Test(net_request_parser, checks_the_request_line_and_the_host)
{
    const auto line = [](const std::string& text)
    { return refusal_of(text + "\r\nhost: a\r\n\r\n"); };
    for (const char* text :
         {"GET / HTTP/2.0", "GET / HTTP/1.12", "GET / http/1.1", "GET /",
          "GET  / HTTP/1.1", "GET / x HTTP/1.1", " GET / HTTP/1.1",
          "G(T / HTTP/1.1", "GET x HTTP/1.1", "GET * HTTP/1.1",
          "CONNECT a:80 HTTP/1.1", "GET http:///x HTTP/1.1",
          "GET ftp://a/x HTTP/1.1", "nonsense"})
    {
        section(text, [&] { EXPECT(line(text) == 400); });
    }
    EXPECT(line("OPTIONS * HTTP/1.1") == 0);
    section(
        "hosts",
        [&]
        {
            EXPECT(refusal_of("GET / HTTP/1.1\r\n\r\n") == 400);
            EXPECT(refusal_of(get("host: a\r\n")) == 400);
            EXPECT(refusal_of("GET / HTTP/1.1\r\nhost: a b\r\n\r\n") == 400);
            EXPECT(refusal_of("GET / HTTP/1.1\r\nhost: a/b\r\n\r\n") == 400);
            EXPECT(is_accepted("GET / HTTP/1.1\r\nhost:\r\n\r\n"));
            EXPECT(is_accepted("GET / HTTP/1.1\r\nhost: [::1]:80\r\n\r\n"));
        });
    section("absolute targets name the host",
            [&]
            {
                const auto target = [](const std::string& text)
                { return parse(get("", text)).requests.at(0).first.request; };
                const auto whole = target("http://b:1/x?y");
                EXPECT(whole.path_and_query() == "/x?y");
                EXPECT(whole.headers.value("host") == "b:1");
                EXPECT(target("HTTPS://b").path == "/");
                EXPECT(target("http://b?q").path_and_query() == "/?q");
            });
}

// Guards against a connection that is kept although its client does not expect
// it, or is closed although it does.
Test(net_request_parser, knows_whether_requests_follow)
{
    const auto persistent = [](const std::string& bytes)
    { return parse(bytes).requests.at(0).first.persistent; };
    EXPECT(persistent(get("")));
    EXPECT(!persistent(get("Connection: x, Close\r\n")));
    EXPECT(!persistent("GET / HTTP/1.0\r\n\r\n"));
    EXPECT(persistent("GET / HTTP/1.0\r\nconnection: Keep-Alive\r\n\r\n"));
    EXPECT(parse("GET / HTTP/1.0\r\n\r\n").requests[0].first.http_1_0);
    EXPECT(parse(get("Expect: 100-Continue\r\n"))
               .requests[0]
               .first.expects_continue);
    // As counted by the policy's limit of header bytes.
    EXPECT(parse(get("ab: cd\r\n")).requests[0].first.request.header_bytes ==
           12);
}
