#include "http_codec.hpp"
#include "test_sections.hpp"
#include <siskinflow/gateway/answer_result.hpp>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

gateway::answer_fields read(const net::http_headers& headers, int status)
{
    const platform::http_codec codec;
    return codec.read_answer(headers, status);
}

} // namespace

// Guards against a target's wish that is overlooked, and against a malformed
// one that excludes a target for good.
Test(gateway_answer_fields, tell_which_requests_a_target_wants)
{
    section(
        "leaving, in an answer of any status",
        [&]
        {
            for (const int status : {200, 404, 500, 503})
            {
                EXPECT(read({{"server-leaving", "1"}}, status).leaving);
                EXPECT(!read({}, status).leaving);
            }
            EXPECT(!read({{"server-leaving", "0"}}, 200).leaving);
            EXPECT(read({{"server-leaving", "0"}}, 200).malformed_fields == 0);
        });
    section("a pause, in a 503 only",
            [&]
            {
                EXPECT(read({{"retry-after", "2"}}, 503).pause == 2s);
                EXPECT(read({{"retry-after", "0.25"}}, 503).pause == 250ms);
                EXPECT(read({{"retry-after", "3600"}}, 503).pause == 1h);
                EXPECT(!read({{"retry-after", "2"}}, 500).pause);
                EXPECT(!read({{"retry-after", "2"}}, 200).pause);
            });
    section("malformed values are counted and ignored",
            [&]
            {
                for (const char* value : {"", "soon", "-1", "nan", "inf",
                                          "1e300", "1 s", "0x10", "86401"})
                {
                    const auto fields = read({{"retry-after", value}}, 503);
                    EXPECT(!fields.pause);
                    EXPECT(fields.malformed_fields == 1);
                }
                const auto fields = read({{"server-leaving", "yes"}}, 200);
                EXPECT(!fields.leaving);
                EXPECT(fields.malformed_fields == 1);
            });
}

// Guards against an answer that proves nothing and is taken for a rejection,
// after which an order runs twice or is reported as not run (TWICE, REFUSED).
Test(gateway_answer_fields, prove_that_a_request_was_not_run)
{
    using gateway::attempt_result;
    const auto classify = [](int status, const net::http_headers& headers)
    { return gateway::classify_answer(read(headers, status), status, "own"); };
    const net::http_headers::field says_so{"siskinflow-not-executed", "1"};
    const net::http_headers::field sign{"siskinflow-response-signature", "s"};
    const net::http_headers::field other{"siskinflow-instance-id", "other"};
    const net::http_headers::field own{"siskinflow-instance-id", "own"};
    section("a rejection that says so",
            [&]
            {
                for (const int status : {400, 429, 503})
                {
                    EXPECT(classify(status, {says_so}) ==
                           attempt_result::rejected);
                }
                EXPECT(classify(421, {says_so}) == attempt_result::misdirected);
                EXPECT(classify(421, {other}) == attempt_result::misdirected);
            });
    section("a status alone",
            [&]
            {
                for (const int status : {408, 421, 429, 503})
                {
                    EXPECT(gateway::promises_not_run(status));
                    EXPECT(classify(status, {}) == attempt_result::failed);
                    EXPECT(classify(status, {own}) == attempt_result::failed);
                }
                EXPECT(classify(503, {other}) == attempt_result::failed);
            });
    section(
        "a field that contradicts the rest",
        [&]
        {
            EXPECT(classify(503, {says_so, sign}) == attempt_result::failed);
            EXPECT(classify(421, {other, sign}) == attempt_result::failed);
            EXPECT(classify(503, {{"siskinflow-not-executed", "0"}}) ==
                   attempt_result::failed);
            EXPECT(classify(200, {says_so, sign}) == attempt_result::broken);
            EXPECT(read({{"siskinflow-not-executed", "no"}}, 503)
                       .malformed_fields == 1);
        });
    section(
        "several request ids name no request",
        [&]
        {
            const net::http_headers::field id{"siskinflow-request-id", "a"};
            EXPECT(read({id}, 503).id == "a");
            EXPECT(read({id, {"siskinflow-request-id", "b"}}, 503).id.empty());
        });
}
