#include "test_sections.hpp"
#include <siskinflow/routing/shift_limiter.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <random>

using namespace siskinflow;
using namespace siskinflow::routing;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr double credit_window_s = 0.25; ///< Credit is kept for this time.

/// One request with its times in seconds since the start of the test.
struct offered_request
{
    double start_s = 0;
    double end_s = std::numeric_limits<double>::infinity();
    bool sent_to_b = false;
};

/// Regions "a" (home) and "b"; requests are sent as soon as they may.
struct route
{
    explicit route(double cap) : cap_per_s(cap / 100)
    {
        limiter = shift_limiter("a", {"a", "b"}, cap, now);
    }

    double seconds() const
    {
        return to_seconds(now - start);
    }

    bool try_send(std::size_t request)
    {
        const char* region =
            a_available && limiter.allows("a", now) ? "a" : "b";
        if (!limiter.allows(region, now))
        {
            return false;
        }
        limiter.sent(region, now);
        requests[request].end_s = seconds();
        requests[request].sent_to_b = region[0] == 'b';
        return true;
    }

    void offer()
    {
        limiter.offered(now);
        requests.push_back({seconds()});
        waiting.push_back(requests.size() - 1);
        send_waiting();
    }

    void send_waiting()
    {
        while (!waiting.empty() && try_send(waiting.front()))
        {
            waiting.pop_front();
        }
    }

    void withdraw_waiting()
    {
        while (!waiting.empty())
        {
            limiter.withdrawn(true, now);
            requests[waiting.front()].end_s = seconds();
            waiting.pop_front();
        }
    }

    int sent_to_b(double from_s, double to_s) const
    {
        return static_cast<int>(std::count_if(requests.begin(), requests.end(),
                                              [=](const auto& request)
                                              {
                                                  return request.sent_to_b &&
                                                         request.end_s >
                                                             from_s &&
                                                         request.end_s <= to_s;
                                              }));
    }

    /// Requests per second as of the last one offered before a time: each
    /// counts with a weight that decays with 1 s.
    double request_rate(double before_s) const
    {
        double sum = 0;
        double last_s = 0;
        for (const auto& request : requests)
        {
            if (request.start_s <= before_s)
            {
                sum = sum * std::exp(last_s - request.start_s) + 1;
                last_s = request.start_s;
            }
        }
        return sum;
    }

    /// Most requests that may be sent to b in a window, from the ceiling at its
    /// start.
    double max_sent_to_b(double from_s, double to_s, double ceiling) const
    {
        double sum = 1 + ceiling * credit_window_s * request_rate(from_s);
        for (const auto& request : requests)
        {
            if (request.start_s <= to_s && request.end_s > from_s)
            {
                const double counted_until_s = std::min(request.end_s, to_s);
                sum += std::min(1.0, ceiling + cap_per_s *
                                                   (counted_until_s - from_s));
            }
        }
        return sum + 1e-6;
    }

    time_point start{1h};
    time_point now = start;
    double cap_per_s;
    shift_limiter limiter{"a", {"a", "b"}, 0, start};
    bool a_available = true;
    std::vector<offered_request> requests;
    std::deque<std::size_t> waiting;
};

} // namespace

// Guards against traffic that moves to another region faster than the cap.
Test(routing_shift_limiter, cap_holds_in_every_window)
{
    EXPECT(rc::check(
        "requests to a region stay under the ramp",
        []
        {
            route traffic(*rc::gen::element(1.0, 5.0, 20.0, 100.0));
            const int max_gap_ms = *rc::gen::element(2, 20, 500);
            std::vector<std::pair<double, double>> ceilings;
            for (int step = 0; step < 250; ++step)
            {
                traffic.now +=
                    std::chrono::milliseconds(*rc::gen::inRange(1, max_gap_ms));
                switch (*rc::gen::inRange(0, 30))
                {
                case 0:
                    traffic.a_available = !traffic.a_available;
                    break;
                case 1:
                    traffic.withdraw_waiting();
                    break;
                case 2:
                    traffic.send_waiting();
                    break;
                default:
                    traffic.offer();
                }
                ceilings.emplace_back(
                    traffic.seconds(),
                    traffic.limiter.ceiling("b", traffic.now));
            }
            RC_ASSERT(ceilings.front().second <=
                      traffic.cap_per_s * ceilings.front().first + 1e-9);
            for (std::size_t i = 0; i < ceilings.size(); i += 7)
            {
                const auto [from, ceiling] = ceilings[i];
                for (std::size_t j = i + 1; j < ceilings.size(); j += 5)
                {
                    const auto [to, later_ceiling] = ceilings[j];
                    RC_ASSERT(later_ceiling <=
                              ceiling + traffic.cap_per_s * (to - from) + 1e-9);
                    RC_ASSERT(traffic.sent_to_b(from, to) <=
                              traffic.max_sent_to_b(from, to, ceiling));
                }
            }
        }));
}

// Guards against a jump when the home region is lost, and against refusals that
// go on after the ramp.
Test(routing_shift_limiter, loss_of_the_home_region)
{
    route traffic(20);
    std::vector<int> per_second;
    for (int second = 0; second < 15; ++second)
    {
        traffic.a_available = second < 5;
        const double from = traffic.seconds();
        for (int i = 0; i < 100; ++i)
        {
            traffic.now += 10ms;
            traffic.offer();
            traffic.withdraw_waiting();
        }
        per_second.push_back(traffic.sent_to_b(from, traffic.seconds()));
    }
    section("before", [&] { EXPECT(per_second[4] == 0); });
    section("ramp",
            [&]
            {
                for (int second = 5; second < 15; ++second)
                {
                    EXPECT(per_second[second] - per_second[second - 1] <= 21);
                }
            });
    section("after", [&] { EXPECT(per_second[11] == 100); });
}

// Guards against a ramp that never starts when there are few requests.
Test(routing_shift_limiter, few_requests)
{
    route traffic(10);
    for (int i = 0; i < 10; ++i)
    {
        traffic.now += 10s;
        traffic.offer();
    }
    traffic.a_available = false;
    traffic.now += 10s;
    traffic.offer();
    section("one request is always allowed in advance",
            [&] { EXPECT(traffic.waiting.empty()); });
    traffic.now += 10s;
    traffic.offer();
    section("the second request waits",
            [&] { EXPECT(traffic.waiting.size() == 1); });
    traffic.now += 9s;
    traffic.send_waiting();
    section("the second request is sent when the ramp allows it",
            [&] { EXPECT(traffic.waiting.empty()); });
}

// Guards against refusals when a steady fraction of random requests goes to
// another region.
Test(routing_shift_limiter, steady_split)
{
    route traffic(20);
    std::mt19937_64 rng(20261204);
    int refused = 0;
    constexpr int warm_up = 4000;
    constexpr int counted = 20000;
    for (int i = 0; i < warm_up + counted; ++i)
    {
        traffic.now += 5ms;
        traffic.a_available = rng() % 5 != 0;
        traffic.offer();
        refused += i >= warm_up && !traffic.waiting.empty();
        traffic.withdraw_waiting();
    }
    EXPECT(refused < counted / 200);
    EXPECT(traffic.sent_to_b(0, traffic.seconds()) > counted / 6);
}

// Guards against a route that has no home region and refuses everything.
Test(routing_shift_limiter, route_without_home_region)
{
    const time_point now{1h};
    shift_limiter limiter("a", {"b", "c"}, 1, now);
    limiter.offered(now);
    EXPECT(limiter.allows("b", now) && limiter.allows("c", now));
    EXPECT(!limiter.allows("a", now));
}
