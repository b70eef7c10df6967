/// @file
/// @brief Orders of targets that the benchmark compares.
#pragma once

#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/selection/target_order.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <memory>
#include <numeric>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace target_orders
{

using siskinflow::stable_hash;
namespace selection = siskinflow::gateway::selection;

/// Targets ordered for one object.
inline constexpr std::size_t ordered = 8;

struct bench_target
{
    std::string id;
    std::string address;
    std::size_t domain = 0;
    unsigned slots = 1;
};

/// @brief One way to order the targets of an object.
class order
{
public:
    virtual ~order() = default;
    virtual const char* name() const = 0;

    /// @brief Takes the targets; objects are for orders that need to know them.
    virtual void build(const std::vector<bench_target>& targets,
                       const std::vector<std::uint64_t>& objects) = 0;

    /// @brief The first targets of an object.
    virtual void leading(std::uint64_t object,
                         std::span<std::uint32_t> out) = 0;

    virtual std::uint32_t first(std::uint64_t object)
    {
        std::array<std::uint32_t, 1> out{};
        leading(object, out);
        return out[0];
    }

    /// @brief Whether it can be built for millions of objects.
    virtual bool scales() const
    {
        return true;
    }
};

/// @brief The order before this work: a hash of the id for each target, slots
/// ignored.
class previous_order final : public order
{
public:
    const char* name() const override
    {
        return "previous: rendezvous without weights";
    }

    void build(const std::vector<bench_target>& targets,
               const std::vector<std::uint64_t>&) override
    {
        targets_ = targets;
    }

    void leading(std::uint64_t object, std::span<std::uint32_t> out) override
    {
        std::vector<std::pair<std::uint64_t, std::uint32_t>> weights;
        weights.reserve(targets_.size());
        for (std::uint32_t i = 0; i < targets_.size(); ++i)
        {
            weights.emplace_back(~stable_hash(targets_[i].id, object), i);
        }
        std::partial_sort(weights.begin(),
                          weights.begin() +
                              static_cast<std::ptrdiff_t>(out.size()),
                          weights.end());
        for (std::size_t i = 0; i < out.size(); ++i)
        {
            out[i] = weights[i].second;
        }
    }

private:
    std::vector<bench_target> targets_;
};

/// @brief Weighted rendezvous hashing, by id or by address.
class rendezvous_order final : public order
{
public:
    explicit rendezvous_order(bool by_address) : by_address_(by_address) {}

    const char* name() const override
    {
        return by_address_ ? "weighted rendezvous by address (in use)"
                           : "weighted rendezvous by id";
    }

    void build(const std::vector<bench_target>& targets,
               const std::vector<std::uint64_t>&) override
    {
        std::vector<selection::weighted_key> keys;
        keys.reserve(targets.size());
        for (const bench_target& entry : targets)
        {
            keys.push_back(
                {selection::order_key(by_address_ ? entry.address : entry.id),
                 entry.slots});
        }
        order_ = selection::target_order(keys);
    }

    void leading(std::uint64_t object, std::span<std::uint32_t> out) override
    {
        const std::array<selection::index_range, 1> all = {
            {{0, static_cast<std::uint32_t>(order_.size())}}};
        order_.first(object, all, {}, out);
    }

private:
    bool by_address_;
    selection::target_order order_;
};

/// @brief A precomputed table, filled by the targets in turn (Maglev).
class table_order final : public order
{
public:
    const char* name() const override
    {
        return "precomputed table (65,537 entries)";
    }

    void build(const std::vector<bench_target>& targets,
               const std::vector<std::uint64_t>&) override
    {
        constexpr std::uint32_t empty = UINT32_MAX;
        table_.assign(entries, empty);
        std::vector<std::uint64_t> next(targets.size());
        std::size_t filled = 0;
        while (true)
        {
            for (std::uint32_t i = 0; i < targets.size(); ++i)
            {
                const std::uint64_t offset = stable_hash(targets[i].address, 1);
                const std::uint64_t skip =
                    stable_hash(targets[i].address, 2) % (entries - 1) + 1;
                for (unsigned turn = 0; turn < targets[i].slots; ++turn)
                {
                    std::size_t at = 0;
                    do
                    {
                        at = (offset % entries + skip * next[i]++) % entries;
                    } while (table_[at] != empty);
                    table_[at] = i;
                    if (++filled == entries)
                    {
                        return;
                    }
                }
            }
        }
    }

    void leading(std::uint64_t object, std::span<std::uint32_t> out) override
    {
        std::size_t found = 0;
        for (std::uint64_t at = object; found < out.size(); ++at)
        {
            const std::uint32_t entry = table_[at % entries];
            const auto end = out.begin() + static_cast<std::ptrdiff_t>(found);
            if (std::find(out.begin(), end, entry) == end)
            {
                out[found++] = entry;
            }
        }
    }

private:
    static constexpr std::size_t entries = 65'537;
    std::vector<std::uint32_t> table_;
};

/// @brief A ring with 40 points per slot where a full target passes objects on
/// to the next; it has to know all objects.
class bounded_order final : public order
{
public:
    const char* name() const override
    {
        return "consistent hashing with bounded loads";
    }

    bool scales() const override
    {
        return false;
    }

    void build(const std::vector<bench_target>& targets,
               const std::vector<std::uint64_t>& objects) override
    {
        points_.clear();
        double slots = 0;
        for (std::uint32_t i = 0; i < targets.size(); ++i)
        {
            slots += targets[i].slots;
            for (unsigned point = 0; point < targets[i].slots * points_per_slot;
                 ++point)
            {
                points_.emplace_back(stable_hash(targets[i].address, point), i);
            }
        }
        std::sort(points_.begin(), points_.end());
        std::vector<double> room(targets.size());
        const auto count = static_cast<double>(objects.size());
        for (std::size_t i = 0; i < targets.size(); ++i)
        {
            room[i] = std::ceil(count * max_share * targets[i].slots / slots);
        }
        assigned_.clear();
        for (const std::uint64_t object : objects)
        {
            std::size_t at = successor(object);
            while (room[points_[at].second] < 1)
            {
                at = (at + 1) % points_.size();
            }
            room[points_[at].second] -= 1;
            assigned_[object] = points_[at].second;
        }
    }

    void leading(std::uint64_t object, std::span<std::uint32_t> out) override
    {
        std::size_t at = successor(object);
        std::size_t found = 0;
        const auto assigned = assigned_.find(object);
        if (assigned != assigned_.end())
        {
            out[found++] = assigned->second;
        }
        for (; found < out.size(); at = (at + 1) % points_.size())
        {
            const auto end = out.begin() + static_cast<std::ptrdiff_t>(found);
            if (std::find(out.begin(), end, points_[at].second) == end)
            {
                out[found++] = points_[at].second;
            }
        }
    }

private:
    static constexpr unsigned points_per_slot = 40;
    static constexpr double max_share = 1.05;

    std::size_t successor(std::uint64_t object) const
    {
        const auto found =
            std::lower_bound(points_.begin(), points_.end(),
                             std::pair(object, std::uint32_t{0}));
        return found == points_.end()
                   ? 0
                   : static_cast<std::size_t>(found - points_.begin());
    }

    std::vector<std::pair<std::uint64_t, std::uint32_t>> points_;
    std::unordered_map<std::uint64_t, std::uint32_t> assigned_;
};

/// @brief Weighted rendezvous over the failure domains, then over the targets
/// of the domain.
class skeleton_order final : public order
{
public:
    const char* name() const override
    {
        return "skeleton by failure domain";
    }

    void build(const std::vector<bench_target>& targets,
               const std::vector<std::uint64_t>&) override
    {
        domains_.clear();
        for (std::uint32_t i = 0; i < targets.size(); ++i)
        {
            domains_.resize(std::max(domains_.size(), targets[i].domain + 1));
            domains_[targets[i].domain].members.push_back(i);
        }
        std::erase_if(domains_, [](const domain& entry)
                      { return entry.members.empty(); });
        std::vector<selection::weighted_key> keys;
        for (domain& entry : domains_)
        {
            std::vector<selection::weighted_key> inner;
            unsigned slots = 0;
            for (const std::uint32_t i : entry.members)
            {
                inner.push_back({selection::order_key(targets[i].address),
                                 targets[i].slots});
                slots += targets[i].slots;
            }
            entry.order = selection::target_order(inner);
            keys.push_back(
                {selection::order_key(
                     "domain-" +
                     std::to_string(targets[entry.members[0]].domain)),
                 slots});
        }
        order_ = selection::target_order(keys);
    }

    void leading(std::uint64_t object, std::span<std::uint32_t> out) override
    {
        std::array<std::uint32_t, selection::max_ordered_targets> order{};
        const std::size_t count = first_of(order_, object, order);
        std::size_t found = 0;
        for (std::size_t i = 0; i < count && found < out.size(); ++i)
        {
            const domain& entry = domains_[order[i]];
            const auto rest = out.subspan(found);
            const std::size_t added = first_of(entry.order, ~object, rest);
            for (std::uint32_t& index : rest.first(added))
            {
                index = entry.members[index];
            }
            found += added;
        }
    }

private:
    struct domain
    {
        std::vector<std::uint32_t> members;
        selection::target_order order;
    };

    static std::size_t first_of(const selection::target_order& order,
                                std::uint64_t object,
                                std::span<std::uint32_t> out)
    {
        const std::array<selection::index_range, 1> all = {
            {{0, static_cast<std::uint32_t>(order.size())}}};
        return order.first(object, all, {}, out);
    }

    std::vector<domain> domains_;
    selection::target_order order_;
};

inline std::vector<std::unique_ptr<order>> all_orders()
{
    std::vector<std::unique_ptr<order>> out;
    out.push_back(std::make_unique<previous_order>());
    out.push_back(std::make_unique<rendezvous_order>(false));
    out.push_back(std::make_unique<rendezvous_order>(true));
    out.push_back(std::make_unique<table_order>());
    out.push_back(std::make_unique<bounded_order>());
    out.push_back(std::make_unique<skeleton_order>());
    return out;
}

} // namespace target_orders
