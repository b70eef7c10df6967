#include "refusal_copier.hpp"
#include "test_sections.hpp"

#include <set>

using test_sections::section;

namespace
{

constexpr unsigned always = 100;
constexpr int draws = 40;

std::string refusal(const std::string& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n"
           "siskinflow-not-executed: 1\r\nserver: target\r\n"
           "siskinflow-request-id: " +
           id + "\r\n\r\n";
}

std::string success(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nsiskinflow-request-id: " + id +
           "\r\ncontent-length: 2\r\n\r\nok";
}

/// What passes in place of an answer to `id` after a refusal of "first", over
/// some connections.
std::set<std::string> after_refusal(copy_state& state, const std::string& id)
{
    std::set<std::string> out;
    for (int seed = 0; seed < draws; ++seed)
    {
        refusal_copier copier(state, seed);
        EXPECT(copier.on_answer(refusal("first")) == refusal("first"));
        copier.on_request();
        out.insert(copier.on_answer(success(id)));
    }
    return out;
}

} // namespace

// Guards against a soak whose copies are not those of refusals that the
// connection has carried, or that plays none.
Test(refusal_copier, copies_between_answers)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n"
                                "link: </style>; rel=preload\r\n\r\n";
    const std::string cut = "HTTP/1.1 503 Service Unavailable\r\n"
                            "content-length: 0\r\n"
                            "siskinflow-not-executed: 1\r\nserver: ta";
    const auto each_kind = [&](const std::string& id)
    {
        const std::string copy = refusal("first");
        const std::string answer = success(id);
        return std::set{copy + answer, copy + copy + answer,
                        interim + copy + answer, cut + answer};
    };
    copy_state state;
    section("no copies are wanted",
            [&]
            {
                EXPECT(after_refusal(state, "first") ==
                       std::set{success("first")});
                EXPECT(state.refusals == draws);
            });
    state.per_hundred = always;
    section("the refused request again",
            [&]
            {
                EXPECT(after_refusal(state, "first") == each_kind("first"));
                EXPECT(state.of_same_id == draws);
            });
    section("another request",
            [&]
            {
                EXPECT(after_refusal(state, "next") == each_kind("next"));
                EXPECT(state.of_same_id == draws);
            });
    section("no refusal",
            [&]
            {
                refusal_copier copier(state, 1);
                for (const char* id : {"first", "first", "next"})
                {
                    EXPECT(copier.on_answer(success(id)) == success(id));
                    EXPECT(copier.idle_copy().empty());
                }
            });
}

// Guards against bytes that the copier loses, adds or reorders where answers
// arrive in parts, and against copies inside of an answer.
Test(refusal_copier, answers_in_parts)
{
    copy_state state;
    const std::string answers =
        success("a") + refusal("b") + success("c") + success("d");
    for (std::size_t size = 1; size <= answers.size(); ++size)
    {
        refusal_copier copier(state, size);
        std::string out;
        for (std::size_t at = 0; at < answers.size(); at += size)
        {
            out += copier.on_answer(answers.substr(at, size));
        }
        EXPECT(out == answers);
    }
    section("no copy while a request is in progress",
            [&]
            {
                state.per_hundred = always;
                refusal_copier copier(state, 1);
                copier.on_answer(refusal("first"));
                EXPECT(copier.idle_copy() == refusal("first"));
                copier.on_request();
                EXPECT(copier.idle_copy().empty());
            });
    section("an answer without a length is passed on unread",
            [&]
            {
                refusal_copier copier(state, 1);
                copier.on_answer(refusal("first"));
                const std::string endless = "HTTP/1.1 200 OK\r\n\r\n";
                EXPECT(copier.on_answer(endless).ends_with(endless));
                EXPECT(copier.on_answer(success("x")) == success("x"));
            });
    section("a head that is not ended",
            [&]
            {
                refusal_copier copier(state, 1);
                EXPECT(copier.on_answer("HTTP/1.1 200").empty());
                EXPECT(copier.take_incomplete_head() == "HTTP/1.1 200");
            });
}
