#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/selection/target_order.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway::selection;
using test_sections::section;

namespace
{

/// Slots of targets by their name.
using target_slots = std::map<std::string, unsigned>;

/// The targets of one VM, in any sequence.
class known_targets
{
public:
    explicit known_targets(const target_slots& targets, bool reversed = false)
    {
        for (const auto& [name, slots] : targets)
        {
            names_.push_back(name);
            keys_.push_back({order_key(name), slots});
        }
        if (reversed)
        {
            std::reverse(names_.begin(), names_.end());
            std::reverse(keys_.begin(), keys_.end());
        }
        order_ = target_order(keys_);
    }

    std::vector<std::string>
    leading(std::uint64_t object, std::size_t count,
            const std::set<std::string>& excluded = {}) const
    {
        std::vector<std::uint32_t> left_out;
        for (std::uint32_t i = 0; i < names_.size(); ++i)
        {
            if (excluded.count(names_[i]) == 1)
            {
                left_out.push_back(i);
            }
        }
        std::vector<std::uint32_t> out(count);
        out.resize(order_.first(object, all(), left_out, out));
        return names_of(out);
    }

    std::string first(std::uint64_t object) const
    {
        return leading(object, 1).at(0);
    }

    /// The order, found by leaving out all targets before.
    std::vector<std::string> one_by_one(std::uint64_t object,
                                        std::size_t count) const
    {
        std::vector<std::string> out;
        while (out.size() < std::min(count, names_.size()))
        {
            out.push_back(leading(object, 1, {out.begin(), out.end()}).at(0));
        }
        return out;
    }

    const target_order& order() const
    {
        return order_;
    }

    std::vector<index_range> all() const
    {
        return {{0, static_cast<std::uint32_t>(names_.size())}};
    }

private:
    std::vector<std::string>
    names_of(const std::vector<std::uint32_t>& indices) const
    {
        std::vector<std::string> out;
        for (const std::uint32_t index : indices)
        {
            out.push_back(names_[index]);
        }
        return out;
    }

    std::vector<std::string> names_;
    std::vector<weighted_key> keys_;
    target_order order_;
};

std::uint64_t object_number(std::size_t number)
{
    return stable_hash("object", number);
}

target_slots uneven_targets(std::size_t count)
{
    constexpr std::array<unsigned, 5> slots = {2, 3, 4, 6, 8};
    target_slots out;
    for (std::size_t i = 0; i < count; ++i)
    {
        out["target-" + std::to_string(i)] = slots[i % slots.size()];
    }
    return out;
}

target_slots any_targets()
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    target_slots out;
    for (std::size_t i = 0; i < count; ++i)
    {
        out["target-" + std::to_string(i)] = *rc::gen::inRange(1U, 12U);
    }
    return out;
}

/// Objects whose first target differs between two sets of targets.
std::size_t count_moved(const target_slots& before, const target_slots& after,
                        std::size_t objects)
{
    const known_targets old_targets(before);
    const known_targets new_targets(after);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < objects; ++i)
    {
        moved += old_targets.first(object_number(i)) !=
                         new_targets.first(object_number(i))
                     ? 1
                     : 0;
    }
    return moved;
}

double total_slots(const target_slots& targets)
{
    double out = 0;
    for (const auto& [name, slots] : targets)
    {
        out += slots;
    }
    return out;
}

} // namespace

// Guards against a large target that gets as many objects as a small one.
Test(gateway_target_order, shares_follow_the_slots)
{
    constexpr std::size_t objects = 400'000;
    const target_slots targets = uneven_targets(40);
    const known_targets known(targets);
    std::map<std::string, double> counts;
    for (std::size_t i = 0; i < objects; ++i)
    {
        counts[known.first(object_number(i))] += 1;
    }
    constexpr double max_deviation = 0.05;
    for (const auto& [name, slots] : targets)
    {
        const double expected = objects * slots / total_slots(targets);
        section(
            name, [&]
            { EXPECT(std::abs(counts[name] / expected - 1) < max_deviation); });
    }
}

// Guards against objects that move between targets that did not change, and so
// run cold for nothing.
Test(gateway_target_order, only_objects_of_changed_targets_move)
{
    cr_assert(rc::check(
        "targets that leave, join or change their slots",
        []
        {
            const target_slots before = any_targets();
            target_slots after = before;
            std::set<std::string> changed;
            for (const auto& [name, slots] : before)
            {
                const auto action = *rc::gen::inRange(0, 6);
                if (action == 0)
                {
                    after.erase(name);
                    changed.insert(name);
                }
                if (action == 1)
                {
                    after[name] = slots + 1;
                    changed.insert(name);
                }
            }
            const auto joining = *rc::gen::inRange(0, 5);
            for (int i = 0; i < joining; ++i)
            {
                const std::string name = "new-" + std::to_string(i);
                after[name] = 4;
                changed.insert(name);
            }
            RC_PRE(!after.empty());
            const known_targets old_targets(before);
            const known_targets new_targets(after, true);
            for (int i = 0; i < 20; ++i)
            {
                const auto object = *rc::gen::arbitrary<std::uint64_t>();
                // The order of the targets that stayed is the same.
                RC_ASSERT(old_targets.leading(object, 8, changed) ==
                          new_targets.leading(object, 8, changed));
                const std::string old_first = old_targets.first(object);
                const std::string new_first = new_targets.first(object);
                RC_ASSERT(old_first == new_first ||
                          changed.count(old_first) == 1 ||
                          changed.count(new_first) == 1);
            }
        }));
}

// Guards against a bound of the scores that drops a target from the first ones,
// and against ranges or exclusions that change the order of the rest.
Test(gateway_target_order, the_first_targets_do_not_depend_on_the_search)
{
    cr_assert(rc::check(
        "found together and one by one",
        []
        {
            const known_targets known(any_targets());
            const auto object = *rc::gen::arbitrary<std::uint64_t>();
            RC_ASSERT(known.leading(object, 8) == known.one_by_one(object, 8));
        }));
    section("with more targets than the first bound lets pass",
            []
            {
                const known_targets known(uneven_targets(410));
                for (std::size_t i = 0; i < 2'000; ++i)
                {
                    EXPECT(known.leading(object_number(i), 8) ==
                           known.one_by_one(object_number(i), 8));
                }
            });
    section("in two ranges instead of one",
            []
            {
                const known_targets known(uneven_targets(100));
                const std::array<index_range, 3> split = {
                    {{30, 100}, {7, 7}, {0, 30}}};
                for (std::size_t i = 0; i < 200; ++i)
                {
                    std::array<std::uint32_t, 8> whole{};
                    std::array<std::uint32_t, 8> parts{};
                    known.order().first(object_number(i), known.all(), {},
                                        whole);
                    known.order().first(object_number(i), split, {}, parts);
                    EXPECT(whole == parts);
                }
            });
    section("with no target at all",
            []
            {
                std::array<std::uint32_t, 8> out{};
                EXPECT(target_order().first(1, {}, {}, out) == 0);
                const known_targets one({{"a", 0}});
                EXPECT(one.leading(1, 8, {"a"}).empty());
                EXPECT(one.first(1) == "a");
            });
}

// Guards against more than 1.1 times the moves that a change needs.
Test(gateway_target_order, moves_are_near_the_minimum)
{
    constexpr std::size_t objects = 10'000;
    constexpr double max_ratio = 1.1;
    const target_slots all = uneven_targets(106);
    target_slots fewer = all;
    for (std::size_t i = 0; i < 15; ++i)
    {
        fewer.erase("target-" + std::to_string(7 * i));
    }
    target_slots larger = all;
    for (std::size_t i = 0; i < 15; ++i)
    {
        larger["target-" + std::to_string(7 * i)] *= 2;
    }
    section("14% of the targets leave or join",
            [&]
            {
                const double least =
                    objects * (1 - total_slots(fewer) / total_slots(all));
                EXPECT(static_cast<double>(count_moved(all, fewer, objects)) <
                       least * max_ratio);
                EXPECT(count_moved(fewer, all, objects) ==
                       count_moved(all, fewer, objects));
            });
    section("14% of the targets get twice the slots",
            [&]
            {
                const double added = total_slots(larger) - total_slots(all);
                const double share_before = added / total_slots(all);
                const double share_after = 2 * added / total_slots(larger);
                EXPECT(static_cast<double>(count_moved(all, larger, objects)) <
                       objects * (share_after - share_before) * max_ratio);
            });
}

// Guards against VMs that send an object to different targets because they
// learn of targets at different times.
Test(gateway_target_order, vms_with_different_targets_agree)
{
    constexpr std::size_t objects = 10'000;
    const target_slots all = uneven_targets(106);
    target_slots some = all;
    some.erase("target-3");
    some["target-just-started"] = 4;
    section("the order in which targets are known is irrelevant",
            [&]
            {
                for (std::size_t i = 0; i < 500; ++i)
                {
                    EXPECT(
                        known_targets(all).leading(object_number(i), 8) ==
                        known_targets(all, true).leading(object_number(i), 8));
                }
            });
    section("only objects of targets that one VM does not know differ",
            [&]
            {
                const double unknown =
                    (all.at("target-3") + 4.0) / (total_slots(all) + 4.0);
                constexpr double max_ratio = 1.3; // 150 objects, 3 sigma.
                EXPECT(static_cast<double>(count_moved(all, some, objects)) <
                       objects * unknown * max_ratio);
            });
}
