#include "../../bench/fleet_network.hpp"
#include "test_sections.hpp"

#include <chrono>

using namespace siskinflow;
using namespace std::chrono_literals;
using fleet_sim::network;
using test_sections::section;

namespace
{

bool serves(const fleet_node& node)
{
    return node.is_fresh() && node.is_member();
}

/// @brief Starts VMs and waits until all are fresh members.
bool start_fleet(network& fleet, std::size_t count, std::size_t domains = 3)
{
    fleet.server.put(store_keys::config, "{\"sequence\":1}");
    fleet.add(count, domains, 3);
    fleet.start_all();
    return fleet
        .run_until_all(
            [count](const fleet_node& node)
            {
                return serves(node) && node.record().members.size() == count &&
                       node.record().previous_members.empty();
            },
            30s)
        .has_value();
}

} // namespace

// Guards against VMs that do not form a fleet when all start at once.
Test(fleet_node, starts_a_fleet)
{
    network fleet;
    EXPECT(start_fleet(fleet, 7));
    section("a new configuration comes into force everywhere within 3 s",
            [&]
            {
                const auto revision =
                    fleet.server.put(store_keys::config, "{\"sequence\":2}");
                EXPECT(fleet.run_until_all(
                    [revision](const fleet_node& node)
                    { return node.config_in_force(revision); },
                    3s));
                EXPECT(fleet.vms[3].node->config_text() == "{\"sequence\":2}");
            });
    section("no VM has read a malformed message",
            [&]
            {
                EXPECT(fleet.count([](const fleet_node& node)
                                   { return node.counts().malformed > 0; }) ==
                       0);
                EXPECT(fleet.dropped == 0);
            });
}

// Guards against a second fleet, or a VM that waits forever, when the write of
// the first record takes effect without a reply.
Test(fleet_node, lost_reply_to_the_first_record)
{
    network fleet;
    fleet.server.loses_replies = true;
    EXPECT(start_fleet(fleet, 3));
    EXPECT(fleet.vms[0].node->record() == fleet.vms[2].node->record());
}

// Guards against a stopping VM that lookups still name, or that stays a member.
Test(fleet_node, graceful_leave)
{
    network fleet;
    EXPECT(start_fleet(fleet, 5));
    fleet_node& leaving_node = *fleet.vms[0].node;
    leaving_node.begin_leaving();
    fleet.run(1s);
    EXPECT(leaving_node.is_member() && leaving_node.is_fresh());
    EXPECT(fleet.vms[1].node->live_members().size() == 4);
    leaving_node.leave();
    fleet.run(4s);
    EXPECT(leaving_node.has_left());
    EXPECT(fleet.vms[1].node->record().members.size() == 4);
}

// Guards against VMs that wait forever to be removed from the record when all
// stop at once and no member is left to write it.
Test(fleet_node, whole_fleet_leaves)
{
    network fleet;
    EXPECT(start_fleet(fleet, 3));
    const auto all_leave = [](const fleet_node& node)
    { return node.all_leaving(); };
    fleet.vms[0].node->begin_leaving();
    fleet.vms[1].node->begin_leaving();
    fleet.run(1s);
    section("a member that stays still needs the others",
            [&] { EXPECT(fleet.count(all_leave) == 0); });
    fleet.vms[2].node->begin_leaving();
    for (std::size_t vm = 0; vm < 3; ++vm)
    {
        fleet.vms[vm].node->leave();
    }
    section("a fleet that leaves as a whole is known as such within 1 s",
            [&] { EXPECT(fleet.run_until_all(all_leave, 1s)); });
}

// Guards against a restart during a store outage that leaves the VM without
// configuration, and against shares for a VM outside the record.
Test(fleet_node, restart_during_a_store_outage)
{
    network fleet;
    EXPECT(start_fleet(fleet, 5));
    fleet.server.set_down(true);
    fleet.kill(4);
    fleet.run(3s);
    fleet.start(4);
    fleet.run(5s);
    const fleet_node& restarted = *fleet.vms[4].node;
    EXPECT(restarted.is_fresh() && !restarted.is_member());
    EXPECT(restarted.config_text() == "{\"sequence\":1}");
    fleet.server.set_down(false);
    EXPECT(fleet.run_until_all(serves, 20s));
}

// Guards against a fleet that can't come back after all its processes or all
// its VMs were replaced.
Test(fleet_node, whole_fleet_restarts)
{
    network fleet;
    EXPECT(start_fleet(fleet, 7));
    for (std::size_t i = 0; i < 7; ++i)
    {
        fleet.kill(i);
    }
    fleet.run(5s);
    fleet.start_all();
    EXPECT(fleet.run_until_all(serves, 20s));
    EXPECT(fleet.vms[0].node->record().members.size() == 7);
}

// Guards against stopped members that are excluded from the majority too early
// or never.
Test(fleet_node, majority_lost_for_good)
{
    network fleet;
    fleet.use_vm_list();
    EXPECT(start_fleet(fleet, 5));
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.kill(i);
    }
    section("as long as the VM list may lag, no VM is fresh",
            [&]
            {
                fleet.run(59s);
                EXPECT(fleet.count(serves) == 0);
            });
    section("then the stopped VMs are left out",
            [&]
            {
                EXPECT(fleet.run_until_all(serves, 20s));
                fleet.run(5s);
                EXPECT(fleet.vms[4].node->record().members.size() == 2);
            });
}

// Guards against two relays of a domain whose death leaves other VMs not fresh
// for long, and against relayed evidence that exceeds a datagram.
Test(fleet_node, relays_fail)
{
    network fleet;
    EXPECT(start_fleet(fleet, 40, 4));
    const auto ranked =
        ranked_members(fleet.vms[0].node->record().members, "d0", "relay");
    for (std::size_t i = 0; i < fleet.vms.size(); ++i)
    {
        if (fleet.vms[i].self == ranked[0])
        {
            fleet.kill(i);
        }
    }
    section("one relay dies: all other VMs stay fresh",
            [&]
            {
                for (int i = 0; i < 100; ++i)
                {
                    fleet.run(50ms);
                    EXPECT(fleet.count([](const fleet_node& node)
                                       { return node.is_fresh(); }) == 39);
                }
            });
    EXPECT(fleet.vms[1].node->record().members.size() == 39);
    EXPECT(fleet.dropped == 0);
}

// Guards against values that are corrupted in transit or outdated.
Test(fleet_distributor, offers)
{
    network fleet;
    EXPECT(start_fleet(fleet, 3));
    fleet_node& node = *fleet.vms[0].node;
    const auto push = [&](store_revision revision, const std::string& text,
                          const std::string& hash)
    {
        const revision_push body{{{value_kind::config, revision, hash, text}}};
        const std::string bytes = control::encode({5, 5}, body);
        const std::string answer = node.on_message(
            control::decode_header(bytes, bytes.size()).value());
        return !answer.empty();
    };
    section("a wrong hash is rejected",
            [&]
            {
                EXPECT(push(100, "new", sha256_hex("other")));
                EXPECT(node.config_text() == "{\"sequence\":1}");
                EXPECT(node.distribution_counts().rejected == 1);
            });
    section("an older revision is ignored and counted",
            [&]
            {
                EXPECT(push(100, "new", sha256_hex("new")));
                EXPECT(push(99, "old", sha256_hex("old")));
                EXPECT(node.config_text() == "new");
                EXPECT(node.distribution_counts().stale >= 1);
            });
    section("a message of another type is not answered",
            [&]
            {
                const std::string bytes =
                    control::encode({5, 5}, acknowledgement{});
                EXPECT(
                    node.on_message(
                            control::decode_header(bytes, bytes.size()).value())
                        .empty());
            });
}

// Guards against a warning, and a read of the store, for each watch that has
// reached its time limit, and against one that is not renewed.
Test(fleet_distributor, renews_watches_quietly)
{
    network fleet;
    EXPECT(start_fleet(fleet, 3));
    fleet.run(2s);
    const auto broken_watches = [&]
    {
        std::uint64_t out = 0;
        for (const auto& vm : fleet.vms)
        {
            out += vm.node->distribution_counts().broken_watches;
        }
        return out;
    };
    const std::uint64_t before = broken_watches();
    const std::size_t watches = fleet.server.watchers.size();
    section("the end of its time limit",
            [&]
            {
                fleet.server.end_watches({errc::timeout, "its time is over"});
                fleet.run(500ms);
                EXPECT(broken_watches() == before);
                EXPECT(fleet.server.watchers.size() == watches);
                const auto revision =
                    fleet.server.put(store_keys::config, "{\"sequence\":2}");
                EXPECT(fleet.run_until_all(
                    [revision](const fleet_node& node)
                    { return node.config_in_force(revision); },
                    3s));
            });
    section("any other end counts as a broken watch",
            [&]
            {
                fleet.server.end_watches({errc::unavailable, "closed"});
                fleet.run(500ms);
                EXPECT(broken_watches() > before);
            });
}

// Guards against calls to a broken store that come too often.
Test(fleet_distributor, backs_off_from_a_broken_store)
{
    network fleet;
    EXPECT(start_fleet(fleet, 6));
    fleet.server.set_down(true);
    fleet.run(20s);
    fleet.server.calls = 0;
    fleet.run(60s);
    // Six watchers, two reads each, at most every 2 s (the timeout).
    EXPECT(fleet.server.calls <= 6 * 2 * 30);
    EXPECT(fleet.server.calls >= 6 * 2 * 5);
}
