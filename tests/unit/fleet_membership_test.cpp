#include "test_sections.hpp"
#include <siskinflow/fleet/membership.hpp>
#include <siskinflow/fleet/topology.hpp>

#include <chrono>
#include <set>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

member make_member(std::uint64_t id, std::size_t domains = 3)
{
    return {{id, id},
            "vm" + std::to_string(id),
            "r",
            "d" + std::to_string(id % domains),
            {"127.0.0.1", 80},
            {"127.0.0.1", static_cast<std::uint16_t>(id)}};
}

std::vector<member> make_members(std::uint64_t last, std::size_t domains = 3)
{
    std::vector<member> out;
    for (std::uint64_t id = 1; id <= last; ++id)
    {
        out.push_back(make_member(id, domains));
    }
    return out;
}

/// @brief VM 1 of five, fresh and settled for a while.
struct fixture
{
    manual_clock time;
    freshness vm1{{1, 1}, time.now()};
    membership_view view;
    membership_options options;
    absence_tracker absences;

    fixture()
    {
        vm1.set_record({4, "w", make_members(5), {}}, 10, time.now());
        vm1.on_store_read(time.now(), time.now());
        view.self = {1, 1};
        view.record_since = time.now();
        view.fresh_since = time.now();
        view.may_change_record = true;
        view.absences = &absences;
        time.advance(10s);
        for (std::uint64_t id = 2; id <= 5; ++id)
        {
            vm1.on_heard({id, id}, time.now());
        }
        view.now = time.now();
    }

    void hear_all_except(std::uint64_t silent)
    {
        for (std::uint64_t id = 2; id <= 5; ++id)
        {
            if (id != silent)
            {
                vm1.on_heard({id, id}, time.now());
            }
        }
        view.now = time.now();
    }

    std::optional<fleet_record> next() const
    {
        return next_record(vm1, view, options);
    }
};

} // namespace

// Guards against a change that is written too early, by the wrong VM, or that
// removes members that only this VM can not hear.
Test(fleet_membership, next_record)
{
    section("nothing to change",
            []
            {
                const fixture f;
                EXPECT(!f.next());
            });
    section("joins and leaves become one change with the previous members",
            []
            {
                fixture f;
                f.view.joining[{6, 6}] = make_member(6);
                f.view.joining[{7, 7}] = make_member(7);
                f.view.leaving.insert({2, 2});
                const auto next = f.next();
                EXPECT(next && next->epoch == 5);
                EXPECT(next->members.size() == 6);
                EXPECT(next->previous_members == make_members(5));
                section("not before the previous one is in force",
                        [&]
                        {
                            f.view.may_change_record = false;
                            EXPECT(!f.next());
                        });
                section("not by a VM that is not fresh",
                        [&]
                        {
                            f.view.may_change_record = true;
                            f.view.fresh_since.reset();
                            EXPECT(!f.next());
                        });
            });
    section("a silent member is removed after suspect_after",
            []
            {
                fixture f;
                f.time.advance(1s);
                f.hear_all_except(4);
                EXPECT(!f.next());
                f.time.advance(1ms);
                f.hear_all_except(4);
                EXPECT(f.next() && f.next()->find({4, 4}) == nullptr);
                section("unless this VM was disconnected or paused meanwhile",
                        [&]
                        {
                            f.view.fresh_since = f.time.now();
                            EXPECT(!f.next());
                        });
            });
    section("a new incarnation replaces the old one of the same VM",
            []
            {
                fixture f;
                member restarted = make_member(3);
                restarted.incarnation = {33, 33};
                f.view.joining[restarted.incarnation] = restarted;
                const auto next = f.next();
                EXPECT(next && next->members.size() == 5);
                EXPECT(next->find({3, 3}) == nullptr &&
                       next->find({33, 33}) != nullptr);
            });
    section("only the first live member writes",
            []
            {
                fixture f;
                f.view.self = {2, 2};
                f.vm1.on_heard({1, 1}, f.time.now());
                f.view.joining[{6, 6}] = make_member(6);
                EXPECT(!f.next());
                f.view.leaving.insert({1, 1});
                EXPECT(f.next());
            });
    section("a finished change is cleared within the same epoch",
            []
            {
                fixture f;
                f.vm1.set_record({5, "w", make_members(5), make_members(4)}, 20,
                                 f.time.now());
                f.hear_all_except(0);
                const auto next = f.next();
                EXPECT(next && next->epoch == 5);
                EXPECT(next->previous_members.empty());
            });
}

// Guards against a removal because of a VM list that is outdated or does not
// show a new VM yet.
Test(fleet_membership, vm_list)
{
    fixture f;
    vm_states listed;
    for (int id = 1; id <= 4; ++id)
    {
        listed["vm" + std::to_string(id)] = vm_state::live;
    }
    const time_point requested_at = f.time.now();
    f.absences.on_vm_list(listed, requested_at, f.vm1.record());
    section("absent but heard", [&] { EXPECT(!f.next()); });
    f.time.advance(600ms);
    f.hear_all_except(5);
    section("absent and silent for half of suspect_after",
            [&] {
                EXPECT(f.next() && f.next()->find({5, 5}) == nullptr);
            });
    section("long absence counts only with a current list",
            [&]
            {
                EXPECT(!f.absences.absent_for("vm5", 60s, requested_at + 60s,
                                              f.options));
                f.absences.on_vm_list(listed, requested_at + 58s,
                                      f.vm1.record());
                EXPECT(f.absences.absent_for("vm5", 60s, requested_at + 60s,
                                             f.options));
                EXPECT(!f.absences.absent_for("vm4", 0s, requested_at + 60s,
                                              f.options));
            });
    section("parsing of the document",
            []
            {
                const auto good = parse_vm_list(
                    R"({"vms":[{"name":"a","state":"live"},
                               {"name":"b","state":"leaving"}]})");
                EXPECT(good.has_value() &&
                       good.value().at("b") == vm_state::leaving);
                EXPECT(!parse_vm_list("{}").has_value());
                EXPECT(!parse_vm_list(R"({"vms":[{"name":"a"}]})").has_value());
            });
}

// Guards against a fleet record that no VM may change any more.
Test(fleet_membership, recovery_when_all_have_stopped)
{
    fixture f;
    freshness joiner({6, 6}, f.time.now());
    joiner.set_record({4, "w", make_members(5), {}}, 10, f.time.now());
    f.view.self = {6, 6};
    f.view.joining[{6, 6}] = make_member(6);
    std::set<incarnation_id> stopped;
    for (std::uint64_t id = 1; id <= 5; ++id)
    {
        EXPECT(!recovery_record(joiner, f.view));
        stopped.insert({id, id});
        joiner.set_stopped(stopped, f.time.now());
        joiner.on_store_read(f.time.now(), f.time.now());
    }
    const auto next = recovery_record(joiner, f.view);
    EXPECT(next && next->epoch == 5 && next->members.size() == 1);
    EXPECT(!joiner.is_fresh(f.time.now()));
}

// Guards against relays on which VMs disagree, and against traffic that grows
// with the square of the fleet.
Test(fleet_topology, peers)
{
    const usable_check all = [](const incarnation_id&) { return true; };
    section("small fleets send heartbeats directly",
            [&]
            {
                const topology heartbeat_topology(make_member(1),
                                                  make_members(16), {});
                EXPECT(heartbeat_topology.is_direct() &&
                       heartbeat_topology.plan(all).size() == 15);
            });
    section("large fleets use two relays per domain, which exchange evidence",
            [&]
            {
                const auto members = make_members(80, 8);
                std::size_t relays = 0;
                for (const member& self : members)
                {
                    const topology heartbeat_topology(self, members, {});
                    const auto plan = heartbeat_topology.plan(all);
                    const bool relay = plan[0].kind == heartbeat_kind::exchange;
                    relays += relay ? 1 : 0;
                    EXPECT(plan.size() == (relay ? 15 : 2));
                }
                EXPECT(relays == 16);
            });
    section("an unresponsive relay is replaced",
            [&]
            {
                const auto members = make_members(80, 8);
                const auto ranks = ranked_members(members, "d1", "relay");
                const topology heartbeat_topology(ranks.back(), members, {});
                const auto before = heartbeat_topology.plan(all);
                const auto unresponsive = before[0].peer.incarnation;
                const auto after = heartbeat_topology.plan(
                    [unresponsive](const incarnation_id& id)
                    { return id != unresponsive; });
                EXPECT(after[0].peer == before[1].peer &&
                       after[1].peer != before[0].peer);
            });
    section("two watchers per domain",
            [&]
            {
                const fleet_record record{3, "", make_members(40, 8), {}};
                std::multiset<std::string> watchers;
                for (const member& item : record.members)
                {
                    if (watcher_rank(record, item.incarnation, all) >= 0)
                    {
                        watchers.insert(item.failure_domain);
                    }
                }
                EXPECT(watchers.size() == 16 && watchers.count("d0") == 2);
            });
}
