#include "test_sections.hpp"
#include <siskinflow/net/memory_budget.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::net;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = 1024 * kb;

memory_limits limits_of(std::size_t bytes)
{
    memory_limits out;
    out.bytes = bytes;
    return out;
}

/// A body of a client that stopped sending at a time.
struct fake_owner final : hold_owner
{
    explicit fake_owner(time_point last_progress) : last_progress(last_progress)
    {
    }
    duration stalled_for(time_point now) const override
    {
        return now - last_progress;
    }
    void evict() override
    {
        ++evictions;
        held.reset();
        if (on_evict)
        {
            on_evict();
        }
    }

    time_point last_progress;
    int evictions = 0;
    std::optional<memory_budget::hold> held;
    std::function<void()> on_evict;
};

struct budget_fixture
{
    manual_clock time;
    event_loop loop{time};
    memory_budget budget{limits_of(8 * mb), loop};

    std::shared_ptr<fake_owner> add(std::size_t bytes,
                                    const std::string& address = {})
    {
        auto out = std::make_shared<fake_owner>(time.now());
        out->held = budget.make_hold(hold_kind::request_body, out, address);
        EXPECT(out->held->grow_to(bytes));
        return out;
    }
    void pass(duration length)
    {
        time.advance(length);
        loop.run_once(0ms);
        loop.run_once(0ms);
    }
};

} // namespace

// Guards against evicting a client that makes progress, or the wrong one.
Test(net_memory_budget, evicts_what_is_stalled_longest)
{
    EXPECT(choose_victim({}, 1s) == std::nullopt);
    EXPECT(choose_victim({{mb, 900ms}, {mb, 0s}}, 1s) == std::nullopt);
    EXPECT(choose_victim({{mb, 1s}, {mb, 3s}, {9 * mb, 2s}}, 1s) == 1);
    EXPECT(choose_victim({{mb, 2s}, {2 * mb, 2s}, {mb, 2s}}, 1s) == 1);
    EXPECT(choose_victim({{0, 9s}}, 1s) == std::nullopt);
}

// Guards against large bodies that stop small requests, and against one address
// that uses the whole budget.
Test(net_memory_budget, reserves_room_for_small_holds_and_other_addresses)
{
    const memory_limits limits = limits_of(8 * mb);
    EXPECT(check_growth(limits, {0, 5 * mb, 0, false}, mb) == growth::fits);
    EXPECT(check_growth(limits, {0, 5 * mb, 0, false}, mb + 1) ==
           growth::over_budget);
    EXPECT(check_growth(limits, {0, 6 * mb, 0, false}, 64 * kb) ==
           growth::fits);
    EXPECT(check_growth(limits, {2 * mb, 6 * mb, 0, false}, kb) ==
           growth::over_budget);
    EXPECT(check_growth(limits, {3 * mb, 5 * mb, 0, false}, 100 * kb) ==
           growth::over_budget);
    EXPECT(check_growth(limits, {0, 4 * mb, 4 * mb, true}, 100 * kb) ==
           growth::over_share);
    EXPECT(check_growth(limits, {0, 4 * mb, 4 * mb, false}, 100 * kb) ==
           growth::fits);
    EXPECT(check_growth(limits, {kb, 0, 0, true}, 32 * mb) == growth::fits);
    EXPECT(limits_for_machine(112 * mb).bytes == 88 * mb / 3);
    EXPECT(limits_for_machine(mb).bytes == 0);
}

// Replays clients that send most of a body and stop: their memory goes to a
// client that sends.
Test(net_memory_budget, evicts_when_a_growth_fails)
{
    budget_fixture fixture;
    const auto first = fixture.add(3 * mb);
    fixture.time.advance(100ms);
    const auto second = fixture.add(3 * mb);
    const auto sending = fixture.add(0);
    section("nothing is stalled long enough",
            [&]
            {
                EXPECT(!sending->held->grow_to(mb));
                EXPECT(sending->held->bytes() == 0);
                EXPECT(fixture.budget.held() == 6 * mb);
            });
    section("bytes that are in memory already are accounted for",
            [&]
            {
                sending->held->take(mb);
                EXPECT(fixture.budget.held() == 7 * mb);
                sending->held->shrink_to(0);
            });
    fixture.time.advance(2s);
    section("the one that stalled first",
            [&]
            {
                EXPECT(sending->held->grow_to(mb));
                EXPECT(first->evictions == 1 && second->evictions == 0);
                EXPECT(fixture.budget.held() == 4 * mb);
                EXPECT(fixture.budget.evictions() == 1);
            });
    section("an eviction that destroys the growing hold",
            [&]
            {
                second->on_evict = [&] { sending->held.reset(); };
                memory_budget::hold& growing = *sending->held;
                EXPECT(!growing.grow_to(5 * mb));
                EXPECT(fixture.budget.held() == 0);
            });
}

// Guards against the eviction of another address's bodies in favour of an
// address that has used its share.
Test(net_memory_budget, limits_the_share_of_an_address)
{
    budget_fixture fixture;
    const auto other = fixture.add(kb, "10.0.0.2");
    const auto first = fixture.add(2 * mb, "10.0.0.1");
    const auto second = fixture.add(2 * mb, "10.0.0.1");
    fixture.time.advance(5s);
    second->last_progress = fixture.time.now();
    const auto third = fixture.add(mb, "10.0.0.1");
    EXPECT(other->evictions == 0);
    EXPECT(first->evictions == 1);
    second->held.reset();
    third->held.reset();
    other->held.reset();
    const auto alone = fixture.add(mb, "10.0.0.1");
    const auto large = fixture.add(5 * mb, "10.0.0.1");
    EXPECT(fixture.budget.held() == 6 * mb);
}

// Guards against readers that pause for ever: a release, or a holder that
// becomes stalled later, must wake them.
Test(net_memory_budget, wakes_those_that_wait_for_room)
{
    budget_fixture fixture;
    auto first = fixture.add(3 * mb);
    const auto second = fixture.add(3 * mb);
    const auto sending = fixture.add(0);
    int calls = 0;
    const auto wait = [&] { fixture.budget.on_room([&] { ++calls; }); };
    EXPECT(!sending->held->grow_to(mb));
    wait();
    fixture.pass(0ms);
    EXPECT(calls == 0);
    section("a release",
            [&]
            {
                first->held->shrink_to(mb);
                EXPECT(calls == 0); // Never from inside the release.
                fixture.pass(0ms);
                EXPECT(calls == 1);
                first->held->shrink_to(0);
                fixture.pass(0ms);
                EXPECT(calls == 1);
            });
    section("a holder that becomes stalled",
            [&]
            {
                EXPECT(first->held->grow_to(3 * mb));
                EXPECT(!sending->held->grow_to(mb));
                wait();
                fixture.pass(300ms);
                EXPECT(calls == 1);
                fixture.pass(1s);
                EXPECT(calls == 2 && fixture.budget.evictions() == 1);
            });
    section("holds outlive the budget and unknown holds always fit",
            [&]
            {
                std::optional<memory_budget> local(std::in_place, limits_of(mb),
                                                   fixture.loop);
                auto held = local->make_hold(hold_kind::response, nullptr);
                EXPECT(held.grow_to(kb));
                local.reset();
                EXPECT(memory_budget::hold().grow_to(100 * mb));
            });
}
