#include "../../bench/fleet_network.hpp"
#include "test_sections.hpp"

#include <rapidcheck.h>

#include <chrono>

using namespace siskinflow;
using namespace std::chrono_literals;
using fleet_sim::network;
using test_sections::section;

namespace
{

constexpr std::size_t vm_count = 6;
constexpr std::size_t started_vms = 5; // The last one joins later.

enum class event : std::uint8_t
{
    write_config,
    loss,
    delay,
    duplication,
    pause,
    resume,
    kill,
    start,
    partition,
    one_way_cut,
    silent_tcp,
    heal,
    store_down,
    store_up,
    stale_reads,
    lost_replies,
    cut_from_store,
    count
};

struct step
{
    event kind = event::write_config;
    std::uint8_t first = 0;
    std::uint8_t second = 0;
    std::uint16_t wait_ms = 0;
};

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(
        rc::gen::set(
            &step::kind,
            rc::gen::map(
                rc::gen::inRange<int>(0, static_cast<int>(event::count)),
                [](int value) { return static_cast<event>(value); })),
        rc::gen::set(&step::first, rc::gen::inRange<std::uint8_t>(0, 255)),
        rc::gen::set(&step::second, rc::gen::inRange<std::uint8_t>(0, 255)),
        rc::gen::set(&step::wait_ms, rc::gen::inRange<std::uint16_t>(0, 3000)));
}

void showValue(const step& value, std::ostream& out)
{
    out << "{event " << static_cast<int>(value.kind) << ", "
        << static_cast<int>(value.first) << ", "
        << static_cast<int>(value.second) << ", " << value.wait_ms << " ms}";
}

/// @brief A fleet under faults that checks its invariants as it runs.
class trial
{
public:
    explicit trial(std::uint64_t seed) : fleet(seed)
    {
        fleet.max_backlog = 1 + seed % 40;
        // A third of the trials pass all evidence through relays.
        fleet.defaults.topology.direct_limit = seed % 3 == 0 ? 2 : 16;
        fleet.after_backlog_delivery = [this] { check(); };
        write_config();
        // With one domain only two VMs watch the store.
        fleet.add(vm_count, 1 + seed % 2, 1 + seed % 2);
        for (std::size_t i = 0; i < started_vms; ++i)
        {
            fleet.start(i);
        }
        run(8s);
    }

    network fleet;

    void apply(const step& action)
    {
        const std::size_t index = action.first % vm_count;
        network::vm& vm = fleet.vms[index];
        switch (action.kind)
        {
        case event::write_config:
            if (!fleet.server.down)
            {
                write_config();
            }
            break;
        case event::loss:
            fleet.trouble.loss = action.first / 512.0;
            break;
        case event::delay:
            fleet.trouble.max_extra_delay =
                std::chrono::milliseconds(action.first * 8);
            break;
        case event::duplication:
            fleet.trouble.duplication = action.first / 255.0;
            break;
        case event::pause:
            fleet.pause(index);
            break;
        case event::resume:
            resume(index);
            break;
        case event::kill:
            fleet.kill(index);
            break;
        case event::start:
            fleet.start(index);
            last_known.erase(index);
            break;
        case event::partition:
            cut(action.first, action.second % 2 == 0);
            cut(static_cast<std::uint8_t>(~action.first),
                action.second % 2 == 0);
            break;
        case event::one_way_cut:
            cut(action.first, action.second % 2 == 0);
            break;
        case event::silent_tcp:
            fleet.silent.insert(index);
            break;
        case event::heal:
            fleet.cuts.clear();
            fleet.silent.clear();
            break;
        case event::store_down:
            fleet.server.set_down(true);
            break;
        case event::store_up:
            fleet.server.set_down(false);
            break;
        case event::stale_reads:
            fleet.server.serves_stale = !fleet.server.serves_stale;
            break;
        case event::lost_replies:
            fleet.server.loses_replies = !fleet.server.loses_replies;
            break;
        case event::cut_from_store:
            vm.client->cut = !vm.client->cut;
            break;
        case event::count:
            break;
        }
        if (action.second % 4 == 0 && !fleet.server.down)
        {
            write_config();
        }
        run(std::chrono::milliseconds(action.wait_ms));
    }

    void run(duration length)
    {
        const time_point end = fleet.time.now() + length;
        while (fleet.time.now() < end)
        {
            fleet.run(std::min<duration>(25ms, end - fleet.time.now()));
            check();
        }
    }

    /// @brief Ends all faults and starts VMs that are down.
    void heal()
    {
        fleet.trouble = {};
        fleet.cuts.clear();
        fleet.silent.clear();
        fleet.server.set_down(false);
        fleet.server.serves_stale = false;
        fleet.server.loses_replies = false;
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            fleet.vms[i].client->cut = false;
            if (!fleet.vms[i].node)
            {
                fleet.start(i);
                last_known.erase(i);
            }
            resume(i);
        }
    }

private:
    /// Cuts the connections from the VMs in a bit mask to all other VMs.
    void cut(std::uint8_t mask, bool from_store)
    {
        for (std::size_t from = 0; from < vm_count; ++from)
        {
            if ((mask >> from & 1U) == 0)
            {
                continue;
            }
            fleet.vms[from].client->cut |= from_store;
            for (std::size_t to = 0; to < vm_count; ++to)
            {
                if ((mask >> to & 1U) == 0)
                {
                    fleet.cuts.insert({from, to});
                }
            }
        }
    }

    void resume(std::size_t index)
    {
        check();
        fleet.resume(index);
        check();
    }

    void write_config()
    {
        fleet.server.put(store_keys::config,
                         "{\"sequence\":" + std::to_string(++sequence) + "}");
    }

    void check()
    {
        for (std::size_t i = 0; i < fleet.vms.size(); ++i)
        {
            const fleet_node* node = fleet.vms[i].node.get();
            if (node == nullptr)
            {
                continue;
            }
            in_force.config =
                std::max(in_force.config, node->in_force().config);
            in_force.fleet = std::max(in_force.fleet, node->in_force().fleet);
            const known_revisions known = {node->config_revision(),
                                           node->record_revision()};
            RC_ASSERT(known.config >= last_known[i].config);
            RC_ASSERT(known.fleet >= last_known[i].fleet);
            last_known[i] = known;
            const auto& configs = fleet.vms[i].configs;
            RC_ASSERT(std::is_sorted(configs.begin(), configs.end(),
                                     [](const auto& left, const auto& right)
                                     { return left.second < right.second; }));
        }
        for (const auto& vm : fleet.vms)
        {
            if (vm.node && vm.node->is_fresh())
            {
                RC_ASSERT(vm.node->config_revision() >= in_force.config);
                RC_ASSERT(vm.node->record_revision() >= in_force.fleet);
            }
        }
    }

    std::uint64_t sequence = 0;
    known_revisions in_force; ///< Newest ones that any VM ever reported.
    std::map<std::size_t, known_revisions> last_known;
};

} // namespace

// Guards against a withdrawn key that still works (I5) and a configuration
// that reverts (I12), under any mixture of faults.
Test(fleet_property, no_fresh_vm_lacks_what_is_in_force)
{
    EXPECT(rc::check(
        "fresh VMs know every revision in force; revisions never decrease; "
        "the fleet recovers",
        [](std::uint64_t seed)
        {
            trial run(seed);
            const auto steps = *rc::gen::resize(
                25, rc::gen::container<std::vector<step>>(any_step()));
            for (const step& item : steps)
            {
                run.apply(item);
            }
            run.heal();
            bool recovered = false;
            for (int second = 0; second < 60 && !recovered; ++second)
            {
                run.run(1s);
                recovered = run.fleet.count(
                                [](const fleet_node& node)
                                {
                                    return node.is_fresh() &&
                                           node.is_member() &&
                                           node.in_force().config ==
                                               node.config_revision();
                                }) == vm_count;
            }
            RC_ASSERT(recovered);
        }));
}

// Guards against a store outage that stops the service (2.1).
Test(fleet_property, connected_majority_outlives_the_store)
{
    EXPECT(
        rc::check("with the store down a connected majority stays fresh",
                  [](std::uint64_t seed)
                  {
                      const auto size = *rc::gen::inRange<std::size_t>(3, 10);
                      network fleet(seed);
                      fleet.server.put(store_keys::config, "{}");
                      fleet.add(size, 3, 3);
                      fleet.start_all();
                      fleet.run(10s);
                      fleet.server.set_down(true);
                      fleet.trouble.loss = 0.05;
                      fleet.trouble.max_extra_delay = 50ms;
                      const std::size_t lost = seed % ((size + 1) / 2);
                      for (std::size_t i = 0; i < lost; ++i)
                      {
                          fleet.kill(i);
                      }
                      fleet.run(1s);
                      for (int i = 0; i < 100; ++i)
                      {
                          fleet.run(200ms);
                          RC_ASSERT(fleet.count([](const fleet_node& node)
                                                { return node.is_fresh(); }) ==
                                    size - lost);
                      }
                  }));
}

// Guards against a VM that serves after a pause on evidence from before it.
Test(fleet_property, paused_vm_needs_new_evidence)
{
    EXPECT(rc::check(
        "a paused VM is not fresh on resume, whatever its socket holds",
        [](std::uint64_t seed)
        {
            const auto size = *rc::gen::inRange<std::size_t>(2, 20);
            const auto pause_ms = *rc::gen::inRange(1500, 10000);
            network fleet(seed);
            fleet.max_backlog = seed % 300;
            fleet.add(size, 3, 3);
            fleet.start_all();
            fleet.run(10s);
            fleet.pause(0);
            const fleet_node& paused = *fleet.vms[0].node;
            RC_ASSERT(paused.is_fresh());
            fleet.run(std::chrono::milliseconds(pause_ms));
            RC_ASSERT(!paused.is_fresh());
            fleet.after_backlog_delivery = [&]
            { RC_ASSERT(!paused.is_fresh()); };
            fleet.resume(0);
            RC_ASSERT(!paused.is_fresh());
            fleet.run(20s);
            RC_ASSERT(paused.is_fresh());
        }));
}

// Guards against two groups of VMs that serve at the same time, one with a
// majority of the members before a change of the record and one with a
// majority of those after it.
Test(fleet_property, record_change_during_a_moving_partition)
{
    network fleet;
    fleet.server.put(store_keys::config, "{}");
    fleet.add(5, 1, 1);
    fleet.start_all();
    fleet.run(10s);
    std::vector<std::size_t> order;
    for (const member& item : fleet.vms[0].node->record().members)
    {
        order.push_back(item.control.port - fleet.vms[0].self.control.port);
    }
    EXPECT(order.size() == 5);
    const auto split = [&](std::set<std::size_t> isolated)
    {
        fleet.cuts.clear();
        for (const std::size_t from : order)
        {
            for (const std::size_t to : order)
            {
                if (isolated.count(from) != isolated.count(to))
                {
                    fleet.cuts.insert({from, to});
                }
            }
            fleet.vms[from].client->cut = from != order[2];
        }
    };
    // The third VM removes the first two and loses the fifth at that moment.
    split({order[0], order[1]});
    const auto before = fleet.server.newest(store_keys::fleet)->mod_revision;
    while (fleet.server.newest(store_keys::fleet)->mod_revision == before)
    {
        fleet.run(1ms);
    }
    split({order[0], order[1], order[4]});
    fleet.run(1s);
    const auto revision = fleet.server.put(store_keys::config, "{\"a\":1}");
    for (int i = 0; i < 400; ++i)
    {
        fleet.run(25ms);
        const bool reported_in_force =
            fleet.count([revision](const fleet_node& node)
                        { return node.in_force().config >= revision; }) > 0;
        const bool fresh_vm_lacks_it =
            fleet.count(
                [revision](const fleet_node& node) {
                    return node.is_fresh() && node.config_revision() < revision;
                }) > 0;
        EXPECT(!(reported_in_force && fresh_vm_lacks_it));
    }
    section("the group that is a majority of the old members serves",
            [&]
            {
                EXPECT(fleet.vms[order[0]].node->is_fresh() &&
                       fleet.vms[order[4]].node->is_fresh());
                EXPECT(!fleet.vms[order[2]].node->is_fresh());
            });
}
