#include "test_sections.hpp"
#include <siskinflow/admission/fair_queue.hpp>
#include <siskinflow/admission/refusal.hpp>
#include <siskinflow/admission/retry_budget.hpp>
#include <siskinflow/admission/tenant_keys.hpp>
#include <siskinflow/core/ids.hpp>

#include <rapidcheck.h>

#include <map>
#include <set>

using namespace siskinflow;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test_sections::section;

namespace
{

bool always(std::string_view, queue_item_id)
{
    return true;
}

} // namespace

// Guards against a reason without a name or a status, and against two reasons
// with the same name.
Test(admission_refusal, tables_are_complete)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < refusal_reason_count; ++i)
    {
        const auto reason = static_cast<refusal_reason>(i);
        EXPECT(names.insert(name(reason)).second);
        EXPECT(i == 0 ||
               (http_status(reason) >= 400 && http_status(reason) < 600));
    }
    EXPECT(name(static_cast<refusal_reason>(200)) == "unknown");
    EXPECT(name(retry_reason::not_run_status) == "not_run_status");
}

// Guards against an organisation that is held up by another one's backlog.
Test(admission_queue, serves_by_weight)
{
    fair_queue queue;
    queue.set_classes({{"big", 30, 500}, {"small", 10, 500}});
    manual_clock time;
    const time_point deadline = time.now() + seconds(100);
    for (queue_item_id i = 0; i < 400; ++i)
    {
        queue.push(i % 2 == 0 ? "big" : "small", i, deadline, time.now());
    }
    std::map<bool, int> served;
    for (int i = 0; i < 80; ++i)
    {
        ++served[*queue.pop(always, time.now()) % 2 == 0];
    }
    EXPECT(served[true] == 60 && served[false] == 20);
    section("one that is not ready is passed over",
            [&]
            {
                const auto item =
                    queue.pop([](std::string_view org, queue_item_id)
                              { return org == "small"; },
                              time.now());
                EXPECT(item && *item % 2 == 1);
            });
}

// Guards against requests that wait although they can't be served in time.
Test(admission_queue, refuses_early_and_expires)
{
    fair_queue queue;
    queue.set_classes({{"alpha", 10, 6}});
    manual_clock time;
    const auto after = [&](duration wait) { return time.now() + wait; };
    EXPECT(
        queue.push("alpha", 1, after(milliseconds(100)), time.now()).admitted);
    EXPECT(queue.push("alpha", 2, after(seconds(9)), time.now()).admitted);
    EXPECT(
        queue.push("alpha", 3, after(milliseconds(150)), time.now()).reason ==
        refusal_reason::deadline_too_short);
    EXPECT(queue.push("gamma", 4, after(seconds(9)), time.now()).reason ==
           refusal_reason::unknown_key);
    time.advance(milliseconds(100));
    const auto expired = queue.expire(time.now());
    EXPECT(expired.size() == 1 && expired[0].item == 1 &&
           expired[0].reason == refusal_reason::deadline_exceeded_in_queue);
    EXPECT(queue.cancel(2) && !queue.cancel(2) && queue.size() == 0);
    section("a full queue",
            [&]
            {
                for (queue_item_id i = 10; i < 16; ++i)
                {
                    EXPECT(queue.push("alpha", i, after(seconds(9)), time.now())
                               .admitted);
                }
                EXPECT(queue.push("alpha", 16, after(seconds(9)), time.now())
                           .reason == refusal_reason::queue_full);
                time.advance(share_wait_limit);
                EXPECT(queue.expire(time.now()).at(0).reason ==
                       refusal_reason::share_wait_exceeded);
            });
    section(
        "an organisation that is served above its rate",
        [&]
        {
            for (queue_item_id i = 100; i < 200; ++i)
            {
                queue.push("alpha", i, after(seconds(9)), time.now());
                queue.pop(always, time.now());
            }
            queue.push("alpha", 200, after(seconds(9)), time.now());
            EXPECT(queue.push("alpha", 201, after(milliseconds(50)), time.now())
                       .admitted);
            queue.cancel(200);
            queue.cancel(201);
        });
    section("a withdrawn organisation",
            [&]
            {
                queue.push("alpha", 20, after(seconds(9)), time.now());
                EXPECT(queue.set_classes({}).size() == 1);
                EXPECT(!queue.pop(always, time.now()));
            });
}

// Guards against an organisation at 5x its rate that causes refusals or long
// waits for the others: 300 requests/s are served, alpha and beta are to get
// 100 each, alpha sends 500.
Test(admission_queue, overload_of_one_is_not_felt_by_others)
{
    EXPECT(rc::check(
        "beta and gamma see no refusal and short waits",
        []
        {
            const int beta_rate = *rc::gen::inRange(20, 95);
            fair_queue queue;
            queue.set_classes({{"alpha", 100, queue_bound(100, 50)},
                               {"beta", 100, queue_bound(100, 50)},
                               {"gamma", 50, queue_bound(50, 50)}});
            manual_clock time;
            std::map<queue_item_id, time_point> waiting;
            std::map<std::string, int> refused;
            std::map<std::string, duration> longest;
            queue_item_id next = 0;
            const std::map<std::string, int> rates = {
                {"alpha", 500}, {"beta", beta_rate}, {"gamma", 40}};
            for (int ms = 1; ms <= 10000; ++ms)
            {
                time.advance(milliseconds(1));
                for (const auto& [org, rate] : rates)
                {
                    if (ms * rate / 1000 == (ms - 1) * rate / 1000)
                    {
                        continue;
                    }
                    const auto result = queue.push(
                        org, ++next, time.now() + seconds(10), time.now());
                    refused[org] += result.admitted ? 0 : 1;
                    waiting[next] = time.now();
                }
                for (const auto& each : queue.expire(time.now()))
                {
                    RC_ASSERT(waiting.contains(each.item));
                }
                if (ms * 3 / 10 != (ms - 1) * 3 / 10)
                {
                    queue.pop(
                        [&](std::string_view org, queue_item_id item)
                        {
                            auto& longest_wait = longest[std::string(org)];
                            longest_wait = std::max(longest_wait,
                                                    time.now() - waiting[item]);
                            return true;
                        },
                        time.now());
                }
            }
            RC_ASSERT(refused["beta"] == 0);
            RC_ASSERT(refused["gamma"] == 0);
            RC_ASSERT(refused["alpha"] > 0);
            RC_ASSERT(longest["beta"] < milliseconds(50));
            RC_ASSERT(longest["gamma"] < milliseconds(50));
        }));
}

// Guards against retries that multiply the load of a failing target.
Test(admission_retry, budget_is_a_tenth_of_the_requests)
{
    retry_budget budget(0.1, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request();
        retries += budget.try_take() ? 1 : 0;
    }
    EXPECT(retries >= 100 && retries <= 105);
    EXPECT(rc::check("backoff has full jitter below its ceiling",
                     [](std::uint64_t random)
                     {
                         const unsigned retry = *rc::gen::inRange(0, 40);
                         const auto wait = retry_backoff(retry, random);
                         RC_ASSERT(wait >= duration{0});
                         RC_ASSERT(wait < milliseconds(500));
                     }));
    EXPECT(retry_backoff(0, ~0ULL) > milliseconds(9));
    EXPECT(retry_backoff(0, 0) == duration{0});
}

// Guards against a key that maps to the wrong organisation or is still accepted
// after its withdrawal.
Test(admission_keys, find_the_organisation)
{
    configuration config;
    config.organisations = {{"alpha", 1, 1, {sha256_hex("key-a")}},
                            {"beta", 1, 1, {sha256_hex("key-b"), "12"}}};
    const tenant_keys keys(config);
    EXPECT(keys.size() == 2 && keys.malformed() == 1);
    EXPECT(*keys.find_key("key-b") == "beta");
    EXPECT(keys.find_key("key-c") == nullptr);
    config.organisations.pop_back();
    EXPECT(tenant_keys(config).find_key("key-b") == nullptr);
}
