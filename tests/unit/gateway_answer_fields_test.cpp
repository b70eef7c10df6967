#include "http_codec.hpp"
#include "test_sections.hpp"

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

gateway::answer_fields read(net::http_headers headers, int status)
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
