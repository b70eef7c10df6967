/// @file
/// @brief Callers of a soak that send several requests before the first is
/// answered.
#pragma once

#include "pipelined_caller.hpp"

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

    struct caller
    {
        caller(gateway_world& world, promise_checker& promises, std::size_t vm)
            : connection(world, promises, vm)
        {
        }

        pipelined_caller connection;
        int batches = 0;
    };

    void open()
    {
        const std::size_t vm = random_() % vms_;
        callers_.emplace_back(world_, promises_, vm);
        send_batch(callers_.back());
    }

    void send_batch(caller& from)
    {
        const std::size_t size = smallest_batch + random_() % batch_variation;
        std::vector<caller_request> batch;
        for (std::size_t i = 0; i < size; ++i)
        {
            caller_request request;
            request.id = "look-pipelined-" + std::to_string(++number_);
            request.path += "?of=" + request.id;
            request.object = std::to_string(random_() % 20);
            request.patience = patience;
            batch.push_back(std::move(request));
        }
        ++from.batches;
        from.connection.send(std::move(batch));
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
        pipelined_caller& connection = from.connection;
        const bool open = connection.read(
            [this, &connection] { ++answers_[connection.pending()]; });
        if (!open)
        {
            return false;
        }
        if (connection.pending() > 0)
        {
            return !leaves(connection);
        }
        if (from.batches == most_batches)
        {
            return false;
        }
        send_batch(from);
        return true;
    }

    bool leaves(pipelined_caller& from)
    {
        const time_point now = world_.caller().loop().now();
        if (now - from.waits_since() <= patience)
        {
            return false;
        }
        from.time_out();
        return true;
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
