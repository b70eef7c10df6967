#include "net/answer_head.hpp"
#include "odd_statuses.hpp"
#include "raw_target.hpp"
#include "test_sections.hpp"
#include <siskinflow/net/http_client.hpp>

#include <optional>
#include <string>

using namespace siskinflow;
using namespace siskinflow::net;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::size_t max_head_bytes = 64U << 10;

bool accepts(const std::string& head)
{
    return is_parsable_response_head(head, max_head_bytes);
}

} // namespace

// Guards against a status that is taken for one of another value, or passed on
// as if an answer could have it.
Test(net_odd_statuses, are_refused_in_each_head)
{
    const std::string end = "\r\ncontent-length: 2\r\n\r\nab";
    for (const std::string& line : odd_statuses::lines())
    {
        section(line,
                [&]
                {
                    EXPECT(!accepts("HTTP/1.1 " + line + end));
                    EXPECT(!accepts("HTTP/1.0 " + line + end));
                    EXPECT(!accepts(odd_statuses::interim(line, "")));
                    EXPECT(!accepts("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " +
                                    line + end));
                });
    }
    for (const std::string& line : odd_statuses::interim_lines())
    {
        section(line,
                [&]
                {
                    EXPECT(accepts(odd_statuses::interim(line, "")));
                    EXPECT(!accepts(odd_statuses::answer(line, "")));
                });
    }
    for (int status = 200; status < 600; ++status)
    {
        EXPECT(accepts("HTTP/1.1 " + std::to_string(status) + end));
    }
    section("other versions",
            [&]
            {
                for (const char* version :
                     {"HTTP/2.0", "HTTP/1.2", "HTTP/1", "http/1.1", "HTTP/11"})
                {
                    EXPECT(!accepts(std::string(version) + " 200 OK" + end));
                }
            });
}

// Guards against a client that checks the first answer of a connection only, or
// that a call with such an answer ends as complete.
Test(net_odd_statuses, end_a_call_on_each_connection, .timeout = 60)
{
    boot_clock time;
    event_loop loop(time);
    http_client client(loop);
    std::string odd;
    raw_target target(
        [&odd](const raw_target::request& arrived) -> raw_target::reply
        {
            return arrived.path == "/odd" ? odd
                                          : "HTTP/1.1 200 OK\r\n"
                                            "content-length: 2\r\n\r\nab";
        });
    const auto outcome = [&](const char* path)
    {
        client_request request;
        request.peer = {"127.0.0.1", target.port()};
        request.target = path;
        request.timeout = 5s;
        std::optional<call_outcome> out;
        const auto call =
            fetch(client, request, 1 << 20,
                  [&out](const fetch_result& result) { out = result.outcome; });
        while (!out)
        {
            loop.run_once(10ms);
        }
        return *out;
    };
    const auto ends = [&](const std::string& name, std::string bytes)
    {
        section(name,
                [&]
                {
                    odd = std::move(bytes);
                    EXPECT(outcome("/odd") == call_outcome::broken);
                    EXPECT(outcome("/ok") == call_outcome::complete);
                    EXPECT(outcome("/odd") == call_outcome::broken);
                });
    };
    for (const std::string& line : odd_statuses::lines())
    {
        ends(line, odd_statuses::answer(line, ""));
        ends(line + ", interim", odd_statuses::interim(line, ""));
    }
    for (const std::string& line : odd_statuses::interim_lines())
    {
        ends(line, odd_statuses::answer(line, ""));
    }
    ends("another version", "HTTP/2.0 200 OK\r\ncontent-length: 2\r\n\r\nab");
}
