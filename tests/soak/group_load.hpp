/// @file
/// @brief Callers of a soak that come and leave in groups.
#pragma once

#include "pipelined_caller.hpp"

#include <list>
#include <random>

namespace soak
{

/// @brief Opens groups of connections to a VM, as a host with many callers
/// does, and sends orders with bodies on each. More come than the targets take
/// at a time, so that some wait. Most groups close all connections at
/// the same moment, answered or not.
class group_load
{
public:
    /// @brief Service of the orders, which has targets of its own.
    static constexpr const char* service = "drafts";

    group_load(gateway_world& world, promise_checker& promises,
               std::uint64_t seed, std::size_t vms)
        : world_(world), promises_(promises), random_(seed), vms_(vms)
    {
    }

    void start()
    {
        opening_ = world_.caller().loop().every(group_gap, [this] { open(); });
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
        return groups_.empty();
    }

    /// @brief Orders that had no answer when their callers left.
    std::uint64_t left() const
    {
        return left_;
    }

private:
    static constexpr std::chrono::milliseconds group_gap{100};
    static constexpr std::chrono::milliseconds read_gap{5};
    static constexpr std::chrono::milliseconds patience{2500};
    static constexpr std::chrono::milliseconds longest_stay{150};
    static constexpr std::size_t smallest_group = 4;
    static constexpr std::size_t group_variation = 20;
    static constexpr std::size_t most_orders = 3; ///< Of a connection.
    static constexpr std::size_t longest_body = 3000;
    static constexpr std::uint64_t pipelined_per_hundred = 30;
    /// Of those with several orders.
    static constexpr std::uint64_t closing_per_hundred = 40;
    static constexpr std::uint64_t leaving_per_hundred = 70;

    struct group
    {
        std::list<pipelined_caller> callers;
        bool leaves = false;
        time_point ends{};
    };

    bool chance(std::uint64_t per_hundred)
    {
        return random_() % 100 < per_hundred;
    }

    caller_request order()
    {
        caller_request out;
        out.id = "draft-" + std::to_string(++number_);
        out.path = "/" + std::string(service) + "/1?of=" + out.id;
        out.method = "POST";
        out.object = std::to_string(random_() % 20);
        out.patience = patience;
        out.body = body_of(out.id, 1 + random_() % longest_body);
        return out;
    }

    void open()
    {
        const std::size_t vm = random_() % vms_;
        const std::size_t size = smallest_group + random_() % group_variation;
        group& opened = groups_.emplace_back();
        opened.leaves = chance(leaving_per_hundred);
        opened.ends =
            world_.caller().loop().now() +
            (opened.leaves
                 ? std::chrono::milliseconds(random_() % longest_stay.count())
                 : patience);
        for (std::size_t i = 0; i < size; ++i)
        {
            opened.callers.emplace_back(world_, promises_, vm);
            const bool pipelined = chance(pipelined_per_hundred);
            std::vector<caller_request> orders;
            orders.push_back(order());
            while (pipelined && orders.size() < most_orders)
            {
                orders.push_back(order());
            }
            opened.callers.back().send(
                std::move(orders), pipelined && chance(closing_per_hundred));
        }
    }

    void read_all()
    {
        for (auto each = groups_.begin(); each != groups_.end();)
        {
            each = go_on(*each) ? std::next(each) : groups_.erase(each);
        }
    }

    /// @return whether the group stays
    bool go_on(group& of)
    {
        std::erase_if(of.callers, [](pipelined_caller& each)
                      { return !each.read() || each.pending() == 0; });
        if (world_.caller().loop().now() < of.ends)
        {
            return !of.callers.empty();
        }
        for (pipelined_caller& each : of.callers)
        {
            left_ += of.leaves ? each.pending() : 0;
            if (!of.leaves)
            {
                each.time_out();
            }
        }
        return false;
    }

    gateway_world& world_;
    promise_checker& promises_;
    std::mt19937_64 random_;
    std::size_t vms_;
    std::list<group> groups_;
    std::shared_ptr<void> opening_;
    std::shared_ptr<void> reading_;
    std::uint64_t number_ = 0;
    std::uint64_t left_ = 0;
};

} // namespace soak
