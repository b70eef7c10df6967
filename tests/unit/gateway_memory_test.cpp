#include "gateway/memory/connection_limits.hpp"
#include "gateway/memory/memory_return.hpp"
#include "gateway/memory/response_buffer.hpp"
#include "test_sections.hpp"

#include <map>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = 1024 * kb;

/// Answers of targets that share a budget of 8 MB.
struct answers
{
    struct answer
    {
        std::shared_ptr<response_buffer> buffer;
        bool paused = false;
        bool given_up = false;
    };

    answers()
    {
        limits.bytes = 8 * mb;
        budget = std::make_unique<net::memory_budget>(limits, loop);
    }

    std::shared_ptr<answer> begin(const std::string& address)
    {
        auto out = std::make_shared<answer>();
        answer* self = out.get();
        out->buffer =
            response_buffer::make(*budget, loop, address,
                                  {nullptr, [self] { self->paused = true; },
                                   [self] { self->paused = false; },
                                   [self] { self->given_up = true; }});
        return out;
    }

    void pass(duration time)
    {
        constexpr duration step = 50ms;
        for (duration passed{0}; passed < time; passed += step)
        {
            clock.advance(step);
            loop.run_once(duration::zero());
        }
    }

    manual_clock clock;
    net::event_loop loop{clock};
    net::memory_limits limits;
    std::unique_ptr<net::memory_budget> budget;
};

answers& new_answers()
{
    // Its loop can't be destroyed.
    return *new answers; // NOLINT(cppcoreguidelines-owning-memory)
}

std::string client(int number)
{
    return "127.0.0." + std::to_string(number);
}

} // namespace

// Guards against answers that are read before there is memory for them, and
// against answers that are never read because of those before.
Test(gateway_memory, a_crowd_asks_for_long_answers)
{
    answers& all = new_answers();
    std::vector<std::shared_ptr<answers::answer>> crowd;
    for (int i = 0; i < 20; ++i)
    {
        crowd.push_back(all.begin(client(i)));
        crowd.back()->buffer->reserve(2 * mb);
    }
    section("those that fit are read, the others wait",
            [&]
            {
                EXPECT(!crowd[0]->paused && !crowd[2]->paused);
                EXPECT(crowd[3]->paused && crowd[19]->paused);
                EXPECT(all.budget->held() <= all.budget->limit());
            });
    section("a small one is read at once",
            [&]
            {
                const auto small = all.begin(client(100));
                small->buffer->reserve(2 * kb);
                EXPECT(!small->paused);
            });
    section("the next one is read when one was delivered",
            [&]
            {
                crowd[0]->buffer->append(std::string(2 * mb, 'x'));
                std::size_t bytes = 0;
                for (const std::string& block : crowd[0]->buffer->take())
                {
                    bytes += block.size();
                }
                EXPECT(bytes == 2 * mb);
                all.pass(50ms);
                EXPECT(!crowd[3]->paused && !crowd[3]->buffer->waits());
                EXPECT(crowd[4]->paused);
            });
    section("those that wait hold nothing and are not given up",
            [&]
            {
                all.pass(3s);
                for (const auto& entry : crowd)
                {
                    EXPECT(!entry->given_up);
                }
            });
}

// Guards against answers without a length that all wait for each other.
Test(gateway_memory, answers_without_a_length_grow_in_steps)
{
    answers& all = new_answers();
    std::vector<std::shared_ptr<answers::answer>> crowd;
    for (int i = 0; i < 8; ++i)
    {
        crowd.push_back(all.begin(client(i)));
        crowd.back()->buffer->reserve(std::nullopt);
    }
    std::size_t most_held = 0;
    std::size_t complete = 0;
    const std::string part(64 * kb, 'x');
    for (int round = 0; round < 400; ++round)
    {
        for (const auto& entry : crowd)
        {
            if (entry->paused || entry->given_up ||
                entry->buffer->size() >= 4 * mb)
            {
                continue;
            }
            entry->buffer->append(part);
            most_held = std::max(most_held, all.budget->held());
            if (entry->buffer->size() >= 4 * mb)
            {
                complete += entry->buffer->take().empty() ? 0 : 1;
                entry->given_up = true; // It has ended.
            }
        }
        all.pass(50ms);
    }
    EXPECT(most_held <= all.budget->limit());
    EXPECT(complete >= 1);
    for (const auto& entry : crowd)
    {
        EXPECT(entry->given_up);
    }
}

// Guards against reservations of bodies that never come, and against steps that
// reserve far too much.
Test(gateway_memory, the_size_to_reserve)
{
    EXPECT(expected_body_bytes("GET", 200, 5, 10) == 5);
    EXPECT(expected_body_bytes("GET", 200, 50, 10) == 10);
    EXPECT(!expected_body_bytes("GET", 200, std::nullopt, 10));
    EXPECT(expected_body_bytes("HEAD", 200, 5, 10) == 0);
    EXPECT(expected_body_bytes("GET", 304, 5, 10) == 0);
    EXPECT(next_reservation(0, 1) == 64 * kb);
    EXPECT(next_reservation(64 * kb, 64 * kb) == 64 * kb);
    EXPECT(next_reservation(64 * kb, 65 * kb) == 128 * kb);
    EXPECT(next_reservation(4 * mb, 4 * mb + 1) == 5 * mb);
    EXPECT(next_reservation(0, 3 * mb) == 3 * mb);
}

// Guards against memory that stays with the process after a crowd has left, and
// against a walk through all memory for each request.
Test(gateway_memory, memory_is_given_back_after_a_crowd)
{
    memory_return_state state;
    time_point now{10s};
    int given_back = 0;
    const auto pass = [&](std::size_t used)
    {
        const auto decision = decide_memory_return(state, used, now);
        state = decision.next;
        given_back += decision.give_back ? 1 : 0;
        now += 100ms;
    };
    section("not while bodies come and go",
            [&]
            {
                for (int i = 0; i < 100; ++i)
                {
                    pass(i % 2 == 0 ? 3 * mb : 0);
                }
                EXPECT(given_back == 0);
            });
    section("once when the crowd leaves",
            [&]
            {
                pass(30 * mb);
                for (int i = 0; i < 50; ++i)
                {
                    pass(mb);
                }
                EXPECT(given_back == 1);
            });
    section("at most once a second",
            [&]
            {
                for (int i = 0; i < 100; ++i)
                {
                    pass(i % 2 == 0 ? 30 * mb : 0);
                }
                EXPECT(given_back > 5 && given_back <= 12);
            });
    section("connections count too",
            [&] { EXPECT(estimate_used_bytes(0, 1000) > 4 * mb); });
}

// Guards against a division in which callers take the descriptors that the
// process itself needs.
Test(gateway_memory, descriptors_are_divided)
{
    for (const std::size_t all : {512, 1024, 2870, 4096, 8192})
    {
        const connection_limits limits = divide_descriptors(all, 1'000'000);
        EXPECT(limits.requests + limits.directory + limits.relay +
                   limits.readiness + limits.metrics + 256 <=
               all);
        EXPECT(limits.requests >= 64 && limits.readiness >= 16);
    }
    EXPECT(divide_descriptors(4096, 100).requests == 100);
    EXPECT(divide_descriptors(2870, 4096).requests > 2000);
}
