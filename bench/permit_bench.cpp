// Time per permit operation on one core.
#include <siskinflow/permit/permit_table.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace siskinflow;

namespace
{

constexpr std::size_t permits = 200'000;

template <class Body>
void measure(const char* what, Body&& body)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < permits; ++i)
    {
        body(i);
    }
    const std::chrono::duration<double, std::nano> spent =
        std::chrono::steady_clock::now() - start;
    std::printf("%-28s %8.0f ns\n", what,
                spent.count() / static_cast<double>(permits));
}

} // namespace

int main()
{
    permit_issuer issuer(make_incarnation_id());
    permit_table table(issuer);
    const time_point now(std::chrono::hours(1));
    std::vector<std::string> texts(permits);
    std::vector<permit_sequence> sequences(permits);
    measure("issue", [&](std::size_t i)
            { texts[i] = issuer.issue("organisation", "route", now); });
    measure(
        "begin",
        [&](std::size_t i)
        {
            sequences[i] =
                table.admit({texts[i], "organisation", "route"}, now).sequence;
        });
    measure("dispatch and complete",
            [&](std::size_t i)
            {
                (void)table.dispatch(sequences[i], now);
                (void)table.complete(sequences[i], 200, {}, "ok", now);
            });
    measure("copy that already ran",
            [&](std::size_t i) {
                (void)table.admit({texts[i], "organisation", "route"}, now);
            });
    return 0;
}
