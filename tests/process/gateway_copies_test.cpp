#include "gateway_world.hpp"
#include "raw_target.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

// An additional answer of a target may be the copy of a refusal that it sent
// before on the same connection.

namespace
{

std::string success(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nsiskinflow-request-id: " + id +
           "\r\nsiskinflow-response-signature: signed\r\n"
           "content-length: 2\r\n\r\nok";
}

/// The answer to a request that ran and failed; it proves nothing.
std::string failure(const std::string& id)
{
    return "HTTP/1.1 500 Internal Server Error\r\nsiskinflow-request-id: " +
           id + "\r\ncontent-length: 0\r\n\r\n";
}

std::string refusal(const std::string& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\n"
           "siskinflow-not-executed: 1\r\nsiskinflow-request-id: " +
           id + "\r\ncontent-length: 0\r\n\r\n";
}

/// The beginning of a refusal, up to the middle of a field in front of its id.
std::string cut_refusal()
{
    return "HTTP/1.1 503 Service Unavailable\r\n"
           "siskinflow-not-executed: 1\r\nserver: ma";
}

caller_request order(const std::string& id)
{
    caller_request out;
    out.path = "/orders/1";
    out.method = "POST";
    out.object = id;
    out.id = id;
    return out;
}

bool is_promise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// The requests that targets have refused, by connection.
class sent_refusals
{
public:
    void add(const raw_target::request& arrived)
    {
        const std::lock_guard lock(mutex_);
        ids_.insert(arrived.id);
        by_connection_[key(arrived)].insert(arrived.id);
    }

    /// Whether the request was refused before on its connection.
    bool on_connection(const raw_target::request& arrived)
    {
        const std::lock_guard lock(mutex_);
        return by_connection_[key(arrived)].count(arrived.id) != 0;
    }

    /// Whether any request was refused on the connection.
    bool any_on_connection(const raw_target::request& arrived)
    {
        const std::lock_guard lock(mutex_);
        return !by_connection_[key(arrived)].empty();
    }

    /// Whether the request was refused on any connection.
    bool anywhere(const raw_target::request& arrived)
    {
        const std::lock_guard lock(mutex_);
        return ids_.count(arrived.id) != 0;
    }

    std::size_t count()
    {
        const std::lock_guard lock(mutex_);
        return ids_.size();
    }

private:
    using connection = std::pair<std::uint16_t, int>;
    static connection key(const raw_target::request& arrived)
    {
        return {arrived.port, arrived.connection};
    }

    std::mutex mutex_;
    std::set<std::string> ids_;
    std::map<connection, std::set<std::string>> by_connection_;
};

/// A gateway and raw targets of the orders, each with an address of its own.
struct raw_fleet
{
    raw_fleet(int size, const raw_target::answerer& answer) : world(1)
    {
        world.configure();
        EXPECT(world.start_all());
        for (int i = 0; i < size; ++i)
        {
            targets.push_back(std::make_unique<raw_target>(answer));
            add_entry("raw-" + std::to_string(i), i);
        }
        world.run_for(1500ms);
    }

    void add_entry(const std::string& id, int target)
    {
        world.add_entry(id, "orders", targets[target]->port());
    }

    int runs(const std::string& id) const
    {
        int out = 0;
        for (const auto& target : targets)
        {
            out += target->runs(id);
        }
        return out;
    }

    int repeated_on_connection() const
    {
        int out = 0;
        for (const auto& target : targets)
        {
            out += target->repeated_on_connection();
        }
        return out;
    }

    /// Sends orders and counts those that break a promise: each runs once at
    /// most, and not at all if its caller was told that it has not run.
    /// @param sends_of_each how often a caller sends an order that is refused
    /// @return the orders that ran more than once, and that ran though refused
    std::pair<int, int> broken_orders(int count, std::chrono::milliseconds gap,
                                      int sends_of_each = 1)
    {
        ++rounds_;
        int ran_twice = 0;
        int ran_though_refused = 0;
        for (int i = 0; i < count; ++i)
        {
            const std::string id =
                "order-" + std::to_string(rounds_) + "-" + std::to_string(i);
            bool refused = true;
            for (int sent = 0; refused && sent < sends_of_each; ++sent)
            {
                const auto got = world.call(0, order(id));
                refused = got.outcome == net::call_outcome::complete &&
                          is_promise(got.response.status);
            }
            ran_twice += runs(id) > 1 ? 1 : 0;
            ran_though_refused += refused && runs(id) > 0 ? 1 : 0;
            world.run_for(gap);
        }
        std::printf("%d orders: ran twice %d, ran though refused %d\n", count,
                    ran_twice, ran_though_refused);
        return {ran_twice, ran_though_refused};
    }

    gateway_world world;
    std::vector<std::unique_ptr<raw_target>> targets;

private:
    int rounds_ = 0; ///< Calls of `broken_orders`, whose ids differ.
};

constexpr std::pair none_broken{0, 0};
/// A target is used again after it has refused three times in a row.
constexpr std::chrono::milliseconds ejection_time{700};

} // namespace

// Guards against an order that the gateway sends to several entries of one
// address, twice over one connection, where a copy of the first refusal passes
// for the answer to the later send (TWICE, REFUSED).
Test(gateway_copies, entries_share_an_address)
{
    constexpr int order_count = 8;
    sent_refusals refusals;
    raw_fleet fleet(1,
                    [&](const raw_target::request& arrived) -> raw_target::reply
                    {
                        if (refusals.on_connection(arrived))
                        {
                            return refusal(arrived.id) + success(arrived.id);
                        }
                        refusals.add(arrived);
                        return {refusal(arrived.id), false};
                    });
    const auto none_is_broken = [&]
    {
        fleet.world.run_for(500ms);
        EXPECT(fleet.broken_orders(order_count, ejection_time) == none_broken);
    };
    section("three entries, of which the last is refused by a copy",
            [&]
            {
                fleet.add_entry("restarted", 0);
                fleet.add_entry("restarted-again", 0);
                none_is_broken();
            });
    section("four entries, of which the last gets what has run",
            [&]
            {
                fleet.add_entry("fourth", 0);
                none_is_broken();
            });
    EXPECT(refusals.count() > 3);
    EXPECT(fleet.repeated_on_connection() == 0);
}

// Guards against an order that its caller sends again under its id after a
// refusal, and that is refused because of a copy of that refusal (REFUSED).
Test(gateway_copies, a_caller_repeats_an_id)
{
    constexpr int order_count = 6;
    sent_refusals refusals;
    raw_fleet fleet(1,
                    [&](const raw_target::request& arrived) -> raw_target::reply
                    {
                        if (refusals.on_connection(arrived))
                        {
                            return refusal(arrived.id) + success(arrived.id);
                        }
                        if (refusals.anywhere(arrived))
                        {
                            return success(arrived.id);
                        }
                        refusals.add(arrived);
                        return {refusal(arrived.id), false};
                    });
    EXPECT(fleet.broken_orders(order_count, ejection_time, 2) == none_broken);
    EXPECT(refusals.count() > 3);
    EXPECT(fleet.repeated_on_connection() == 0);
}

// Guards against the beginning of a copied refusal that runs into the head of
// the next answer: its fields prove nothing about the order whose id the rest
// of the head bears (TWICE, REFUSED).
Test(gateway_copies, a_cut_copy_in_front_of_the_answer_to_another_order)
{
    constexpr int order_count = 60;
    sent_refusals refusals;
    raw_fleet fleet(8,
                    [&](const raw_target::request& arrived) -> raw_target::reply
                    {
                        if (refusals.any_on_connection(arrived))
                        {
                            return cut_refusal() + failure(arrived.id);
                        }
                        if (arrived.number == 1)
                        {
                            return success(arrived.id);
                        }
                        refusals.add(arrived);
                        return {refusal(arrived.id), false};
                    });
    EXPECT(fleet.broken_orders(order_count, 50ms) == none_broken);
    EXPECT(refusals.count() > 3);
}

// Guards against a copied refusal of which the first part arrives with the
// refusal itself and the rest in front of the next answer.
Test(gateway_copies, a_copy_begins_behind_the_refusal)
{
    constexpr int order_count = 60;
    sent_refusals refusals;
    raw_fleet fleet(
        8,
        [&](const raw_target::request& arrived) -> raw_target::reply
        {
            if (refusals.any_on_connection(arrived))
            {
                return cut_refusal().substr(5) + failure(arrived.id);
            }
            if (arrived.number == 1)
            {
                return success(arrived.id);
            }
            refusals.add(arrived);
            return {refusal(arrived.id) + cut_refusal().substr(0, 5), false};
        });
    EXPECT(fleet.broken_orders(order_count, 50ms) == none_broken);
    EXPECT(refusals.count() > 3);
}

// Guards against an order that runs twice, or is reported as not run while it
// runs, because its caller sends it again under its id (TWICE, REFUSED).
Test(gateway_copies, a_caller_sends_an_order_twice)
{
    gateway_world world(1);
    auto slow = named("o1");
    slow.work = 400ms;
    world.add_target("orders", slow);
    world.add_target("orders", named("o2"));
    world.configure();
    EXPECT(world.start_all());
    const auto is_served_once =
        [&](const std::string& id, std::chrono::milliseconds gap)
    {
        std::vector<int> statuses;
        const auto note = [&](const net::fetch_result& got)
        { statuses.push_back(got.response.status); };
        const auto first = world.send(0, order(id), note);
        world.run_for(gap);
        const auto second = world.send(0, order(id), note);
        EXPECT(world.until([&] { return statuses.size() == 2; }));
        EXPECT(world.runs(id) == 1);
        std::sort(statuses.begin(), statuses.end());
        EXPECT(statuses == std::vector({200, 502}));
    };
    section("at once", [&] { is_served_once("at-once", 0ms); });
    section("while it runs", [&] { is_served_once("running", 10ms); });
    section("after its answer", [&] { is_served_once("answered", 700ms); });
}
