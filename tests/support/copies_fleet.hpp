/// @file
/// @brief Raw targets behind a gateway, which refuse orders and send copies of
/// their refusals.
#pragma once

#include "gateway_world.hpp"
#include "raw_target.hpp"
#include "test_sections.hpp"

#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace copies
{

inline std::string success(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nsiskinflow-request-id: " + id +
           "\r\nsiskinflow-response-signature: signed\r\n"
           "content-length: 2\r\n\r\nok";
}

/// The answer to a request that ran and failed; it proves nothing.
inline std::string failure(const std::string& id)
{
    return "HTTP/1.1 500 Internal Server Error\r\nsiskinflow-request-id: " +
           id + "\r\ncontent-length: 0\r\n\r\n";
}

inline std::string refusal(const std::string& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\n"
           "siskinflow-not-executed: 1\r\nsiskinflow-request-id: " +
           id + "\r\ncontent-length: 0\r\n\r\n";
}

/// The beginning of a refusal, up to the middle of a field in front of its id.
inline std::string cut_refusal()
{
    return "HTTP/1.1 503 Service Unavailable\r\n"
           "siskinflow-not-executed: 1\r\nserver: ma";
}

inline caller_request order(const std::string& id)
{
    caller_request out;
    out.path = "/orders/1";
    out.method = "POST";
    out.object = id;
    out.id = id;
    return out;
}

inline bool is_promise(int status)
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

using raw_targets = std::vector<std::unique_ptr<raw_target>>;

/// @brief Runs of a request id at some targets.
inline int runs_at(const raw_targets& targets, const std::string& id)
{
    int out = 0;
    for (const auto& target : targets)
    {
        out += target->runs(id);
    }
    return out;
}

/// @brief Requests that came to a connection of some targets once more.
inline int repeats_at(const raw_targets& targets)
{
    int out = 0;
    for (const auto& target : targets)
    {
        out += target->repeated_on_connection();
    }
    return out;
}

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
        world.run_for(std::chrono::milliseconds(1500));
    }

    void add_entry(const std::string& id, int target)
    {
        world.add_entry(id, "orders", targets[target]->port());
    }

    int runs(const std::string& id) const
    {
        return runs_at(targets, id);
    }

    int repeated_on_connection() const
    {
        return repeats_at(targets);
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
                refused =
                    got.outcome == siskinflow::net::call_outcome::complete &&
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

inline constexpr std::pair none_broken{0, 0};
/// A target is used again after it has refused three times in a row.
inline constexpr std::chrono::milliseconds ejection_time{700};

} // namespace copies
