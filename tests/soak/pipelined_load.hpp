/// @file
/// @brief Callers of a soak that send several requests before the first is
/// answered.
#pragma once

#include "pipelined_connection.hpp"
#include "promise_checker.hpp"

#include <algorithm>
#include <list>
#include <random>

namespace soak
{

/// @brief Opens connections to the VMs and sends batches of lookups on each.
/// The answers must come in the order of the requests. A server may handle the
/// requests of a connection at once or one after the other.
class pipelined_load
{
public:
    pipelined_load(gateway_world& world, promise_checker& promises,
                   std::uint64_t seed, std::size_t vms)
        : world_(world), promises_(promises), random_(seed), vms_(vms)
    {
    }

    void start()
    {
        opening_ = world_.caller().loop().every(open_gap, [this] { open(); });
        reading_ =
            world_.caller().loop().every(read_gap, [this] { read_all(); });
    }

    /// @brief Opens no more connections; those that are open go on.
    void stop()
    {
        opening_.reset();
    }

    bool idle() const
    {
        return callers_.empty();
    }

    /// @brief Answers by how many requests of their connection were sent and
    /// not answered when they arrived.
    const std::map<std::size_t, int>& answers() const
    {
        return answers_;
    }

private:
    static constexpr std::chrono::milliseconds open_gap{150};
    static constexpr std::chrono::milliseconds read_gap{5};
    static constexpr std::chrono::milliseconds patience{3000};
    static constexpr std::size_t smallest_batch = 2;
    static constexpr std::size_t batch_variation = 5;
    static constexpr int most_batches = 3;

    struct sent_request
    {
        caller_request request;
        time_point sent;
    };

    struct caller
    {
        caller(std::uint16_t port, std::size_t vm_in)
            : connection(port), vm(vm_in)
        {
        }

        pipelined_connection connection;
        std::size_t vm;
        std::deque<sent_request> pending;
        int batches = 0;
    };

    void open()
    {
        const std::size_t vm = random_() % vms_;
        callers_.emplace_back(world_.caller_link(vm).port(), vm);
        send_batch(callers_.back());
    }

    void send_batch(caller& from)
    {
        const time_point now = world_.caller().loop().now();
        const std::size_t size = smallest_batch + random_() % batch_variation;
        std::string bytes;
        for (std::size_t i = 0; i < size; ++i)
        {
            caller_request request;
            request.id = "look-pipelined-" + std::to_string(++number_);
            request.object = std::to_string(random_() % 20);
            request.patience = patience;
            promises_.on_sent(request, from.vm, now);
            bytes += request_text(request);
            from.pending.push_back({std::move(request), now});
        }
        ++from.batches;
        from.connection.send(bytes);
    }

    void read_all()
    {
        for (auto each = callers_.begin(); each != callers_.end();)
        {
            each = go_on(*each) ? std::next(each) : callers_.erase(each);
        }
    }

    /// @return whether the connection stays open
    bool go_on(caller& from)
    {
        from.connection.read();
        while (const auto got = from.connection.take_answer())
        {
            if (!from.pending.empty())
            {
                answers_[from.pending.size()] += 1;
            }
            if (!is_in_order(from, *got))
            {
                return false;
            }
            end_first(from, {net::call_outcome::complete, *got});
            if (net::equal_ignoring_case(got->headers.value("connection"),
                                         "close"))
            {
                return false; // Nothing is said about those behind it.
            }
        }
        if (from.connection.closed())
        {
            end_all(from, net::call_outcome::broken);
            return false;
        }
        if (!from.pending.empty())
        {
            return !leaves(from);
        }
        if (from.batches == most_batches)
        {
            return false;
        }
        send_batch(from);
        return true;
    }

    bool is_in_order(const caller& from, const net::http_response& got)
    {
        const std::string id(got.headers.value("siskinflow-request-id"));
        const bool expected = !from.pending.empty() &&
                              from.pending.front().request.id == id &&
                              from.connection.is_framed();
        caller_request request;
        request.id = id;
        promises_.require(expected, request,
                          "a pipelined request got another answer");
        return expected;
    }

    bool leaves(caller& from)
    {
        const time_point now = world_.caller().loop().now();
        if (now - from.pending.front().sent <= patience)
        {
            return false;
        }
        end_all(from, net::call_outcome::timed_out);
        return true;
    }

    void end_all(caller& from, net::call_outcome outcome)
    {
        while (!from.pending.empty())
        {
            end_first(from, {outcome, {}});
        }
    }

    void end_first(caller& from, const net::fetch_result& result)
    {
        const sent_request ended = std::move(from.pending.front());
        from.pending.pop_front();
        promises_.check(from.vm, ended.sent, ended.request, result);
    }

    gateway_world& world_;
    promise_checker& promises_;
    std::mt19937_64 random_;
    std::size_t vms_;
    std::list<caller> callers_;
    std::map<std::size_t, int> answers_;
    std::shared_ptr<void> opening_;
    std::shared_ptr<void> reading_;
    std::uint64_t number_ = 0;
};

} // namespace soak
