/// @file
/// @brief Copies of refusals in a soak, and what makes them matter.
#pragma once

#include "gateway_world.hpp"
#include "refusal_copier.hpp"

#include <iostream>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace soak
{

using namespace siskinflow;

/// @brief Lets targets copy their refusals, in spells that end by themselves
/// and may overlap. It draws apart from the other faults, whose series so stay
/// those of their seed.
class copy_faults
{
public:
    /// @param copies false: targets refuse and fail but send no copies
    copy_faults(gateway_world& world,
                std::vector<standin::platform_target*> targets,
                std::uint64_t seed, bool copies)
        : world_(world), targets_(std::move(targets)), random_(seed),
          copied_per_hundred_(copies ? copied_per_hundred : 0)
    {
    }

    /// @brief Begins a spell at a target that has none.
    void strike()
    {
        standin::platform_target& target = draw_target();
        const std::chrono::milliseconds time(
            shortest_spell.count() + random_() % spell_variation.count());
        const std::uint64_t sharing = random_() % 4;
        if (!in_spell_.insert(target.id()).second)
        {
            return;
        }
        say("a target copies its refusals");
        world_.target_link(target.id()).copy_refusals(copied_per_hundred_);
        target.set_refused_part(refused_part);
        target.set_failed_part(failed_part);
        const auto entries = sharing == 0 ? std::vector<std::string>()
                                          : share_address(target, sharing == 1);
        world_.caller().loop().after(time, [this, &target, entries]
                                     { end_spell(target, entries); });
    }

    /// @brief Spells so far, by kind.
    const std::map<std::string, int>& played() const
    {
        return played_;
    }

    /// @brief Copies so far, by kind.
    std::map<std::string, int> copies() const
    {
        std::map<std::string, int> out;
        for (const standin::platform_target* target : targets_)
        {
            const copy_state& state = world_.target_link(target->id()).copies();
            for (std::size_t i = 0; i < copy_kind_names.size(); ++i)
            {
                out[copy_kind_names[i]] += state.played[i];
            }
        }
        return out;
    }

    /// @brief Refusals that targets have sent.
    int refusals() const
    {
        return sum(&copy_state::refusals);
    }

    /// @brief Copies that arrived while the refused request was in progress
    /// again on their connection.
    int copies_of_same_id() const
    {
        return sum(&copy_state::of_same_id);
    }

private:
    static constexpr std::chrono::milliseconds shortest_spell{2000};
    static constexpr std::chrono::milliseconds spell_variation{3000};
    static constexpr unsigned copied_per_hundred = 25;
    static constexpr int added_instances = 5;
    static constexpr double refused_part = 0.35;
    static constexpr double failed_part = 0.4;

    /// Mostly one of the orders, which may run once only.
    standin::platform_target& draw_target()
    {
        constexpr std::uint64_t orders_per_hundred = 75;
        const bool orders = random_() % 100 < orders_per_hundred;
        standin::platform_target* out = nullptr;
        while (out == nullptr || is_of_orders(*out) != orders)
        {
            out = targets_[random_() % targets_.size()];
        }
        return *out;
    }

    static bool is_of_orders(const standin::platform_target& target)
    {
        return target.id().starts_with("orders-");
    }

    int sum(std::atomic<int> copy_state::*which) const
    {
        int out = 0;
        for (const standin::platform_target* target : targets_)
        {
            out += world_.target_link(target->id()).copies().*which;
        }
        return out;
    }

    void say(const std::string& what)
    {
        ++played_[what];
        std::cout << "fault: " << what << std::endl;
    }

    /// Registers further instances at the target's address.
    /// @param restarted the target is only the last one, and the entries of
    /// the others are those of incarnations before; otherwise it is all
    /// @return the instances added
    std::vector<std::string> share_address(standin::platform_target& target,
                                           bool restarted)
    {
        say(restarted ? "a target restarts under a new id"
                      : "instances share an address");
        const std::string& id = target.id();
        const std::string service = id.substr(0, id.find('-'));
        std::vector<std::string> out;
        for (int i = 0; i < added_instances; ++i)
        {
            out.push_back(id + "-" + std::to_string(++last_instance_));
            world_.add_entry(out.back(), service, world_.target_link(id).port(),
                             target.slots());
        }
        if (restarted)
        {
            target.set_instances({out.back()});
        }
        else
        {
            std::set<std::string> all(out.begin(), out.end());
            all.insert(id);
            target.set_instances(std::move(all));
        }
        return out;
    }

    void end_spell(standin::platform_target& target,
                   const std::vector<std::string>& entries)
    {
        in_spell_.erase(target.id());
        world_.target_link(target.id()).copy_refusals(0);
        target.set_refused_part(0);
        target.set_failed_part(0);
        target.set_instances({target.id()});
        for (const std::string& entry : entries)
        {
            world_.remove_entry(entry);
        }
    }

    gateway_world& world_;
    std::vector<standin::platform_target*> targets_;
    std::mt19937_64 random_;
    unsigned copied_per_hundred_;
    std::map<std::string, int> played_;
    std::set<std::string> in_spell_;
    int last_instance_ = 0; ///< Ids are not used again.
};

} // namespace soak
