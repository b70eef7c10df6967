#include "test_sections.hpp"
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/fleet/freshness.hpp>

#include <chrono>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

member make_member(std::uint64_t id)
{
    return {{id, id},
            "vm" + std::to_string(id),
            id % 2 == 0 ? "north" : "south",
            "d" + std::to_string(id % 3),
            {"127.0.0.1", 80},
            {"127.0.0.1", static_cast<std::uint16_t>(id)}};
}

std::vector<member> make_members(std::uint64_t first, std::uint64_t last)
{
    std::vector<member> out;
    for (std::uint64_t id = first; id <= last; ++id)
    {
        out.push_back(make_member(id));
    }
    return out;
}

/// @brief VM 1 with a record of VMs 1 to 5 at revision 10.
struct fixture
{
    manual_clock time;
    freshness vm1{{1, 1}, time.now()};

    fixture()
    {
        vm1.set_record({1, "w", make_members(1, 5), {}}, 10, time.now());
        vm1.set_config(9, time.now());
        vm1.on_store_read(time.now(), time.now());
        time.advance(100ms);
    }

    void receive_statement(std::uint64_t id, duration probe_age,
                           known_revisions revisions)
    {
        vm1.on_statement({id, id}, time.now() - probe_age, revisions,
                         time.now());
    }

    void receive_statements(std::uint64_t first, std::uint64_t last,
                            known_revisions revisions)
    {
        for (std::uint64_t id = first; id <= last; ++id)
        {
            receive_statement(id, 0ms, revisions);
        }
    }
};

} // namespace

// Guards against a VM that serves without a recent majority.
Test(fleet_freshness, evidence_of_a_majority)
{
    fixture f;
    section("two of five are no majority",
            [&]
            {
                f.receive_statement(2, 0ms, {9, 10});
                EXPECT(!f.vm1.is_fresh(f.time.now()));
            });
    section("three are, until the oldest needed evidence leaves the window",
            [&]
            {
                f.receive_statement(3, 50ms, {9, 10});
                EXPECT(f.vm1.is_fresh(f.time.now()));
                EXPECT(f.vm1.is_fresh(f.time.now() + 1449ms));
                EXPECT(!f.vm1.is_fresh(f.time.now() + 1450ms));
            });
    section("a member that states a newer revision does not count",
            [&]
            {
                f.receive_statement(3, 0ms, {12, 10});
                EXPECT(!f.vm1.is_fresh(f.time.now()));
                f.vm1.set_config(12, f.time.now());
                EXPECT(f.vm1.is_fresh(f.time.now()));
            });
    section("echoes from before the start, from the future, of unlisted VMs",
            [&]
            {
                f.time.advance(2s);
                f.receive_statement(2, 1h, {12, 10});
                f.receive_statement(3, -1ms, {12, 10});
                f.receive_statement(9, 0ms, {99, 99});
                EXPECT(!f.vm1.is_fresh(f.time.now()));
            });
}

// Guards against a revision reported as in force while a VM that lacks it may
// still be fresh.
Test(fleet_freshness, revisions_in_force)
{
    fixture f;
    f.receive_statements(2, 3, {9, 10});
    EXPECT(!f.vm1.config_in_force(9, f.time.now()));
    f.time.advance(1649ms);
    f.receive_statements(2, 3, {9, 10});
    EXPECT(!f.vm1.config_in_force(9, f.time.now()));
    f.time.advance(1ms);
    EXPECT(f.vm1.config_in_force(9, f.time.now()));
    EXPECT(f.vm1.fleet_in_force(10, f.time.now()));
    EXPECT(f.vm1.may_change_record(f.time.now()));
    section("a newer one needs a new wait, and freshness at its end",
            [&]
            {
                f.vm1.set_config(11, f.time.now());
                f.receive_statements(2, 3, {11, 10});
                f.vm1.advance(f.time.now());
                EXPECT(!f.vm1.may_change_record(f.time.now()));
                f.time.advance(1700ms);
                EXPECT(!f.vm1.config_in_force(11, f.time.now()));
                f.receive_statements(4, 5, {11, 10});
                EXPECT(f.vm1.config_in_force(11, f.time.now()));
            });
}

// Guards against two disjoint majorities during a change of the record.
Test(fleet_freshness, joint_majorities)
{
    fixture f;
    f.vm1.set_record({2, "w", make_members(1, 2), make_members(1, 5)}, 20,
                     f.time.now());
    f.receive_statement(2, 0ms, {9, 20});
    section("the new members alone do not suffice",
            [&] { EXPECT(!f.vm1.is_fresh(f.time.now())); });
    f.receive_statement(3, 0ms, {8, 10});
    section("both majorities suffice",
            [&] { EXPECT(f.vm1.is_fresh(f.time.now())); });
    section("a revision that the previous members lack is not in force",
            [&]
            {
                f.vm1.advance(f.time.now());
                f.time.advance(1700ms);
                f.receive_statement(2, 0ms, {9, 20});
                f.receive_statements(3, 5, {8, 10});
                EXPECT(f.vm1.is_fresh(f.time.now()));
                EXPECT(!f.vm1.config_in_force(9, f.time.now()));
                EXPECT(!f.vm1.fleet_in_force(20, f.time.now()));
            });
    section("once the change is over the new members suffice",
            [&]
            {
                f.vm1.set_record({2, "w", make_members(1, 2), {}}, 21,
                                 f.time.now());
                EXPECT(f.vm1.is_fresh(f.time.now()));
            });
    section("an older record is ignored",
            [&]
            {
                EXPECT(!f.vm1.set_record({1, "w", make_members(1, 5), {}}, 10,
                                         f.time.now()));
                EXPECT(f.vm1.record().epoch == 2);
            });
}

// Guards against a restarted member whose statements complete a majority
// although it has lost what it knew.
Test(fleet_freshness, restarted_member_withholds_statements)
{
    fixture f;
    freshness restarted({5, 5}, f.time.now());
    restarted.set_record({1, "w", make_members(1, 5), {}}, 10, f.time.now());
    restarted.set_config(9, f.time.now());
    restarted.on_statement({1, 1}, f.time.now(), {9, 10}, f.time.now());
    restarted.on_statement({2, 2}, f.time.now(), {9, 10}, f.time.now());
    EXPECT(!restarted.is_caught_up() && !restarted.is_fresh(f.time.now()));
    restarted.on_statement({3, 3}, f.time.now(), {9, 10}, f.time.now());
    EXPECT(restarted.is_caught_up() && restarted.is_fresh(f.time.now()));
}

// Guards against a fleet that can never recover from the loss of a majority,
// and against recovery without revisions that only the lost members knew.
Test(fleet_freshness, stopped_members_leave_the_majority)
{
    fixture f;
    f.receive_statement(2, 0ms, {9, 10});
    f.vm1.set_stopped({{3, 3}, {4, 4}, {5, 5}}, f.time.now());
    EXPECT(!f.vm1.is_fresh(f.time.now()));
    section("a read that began earlier does not count",
            [&]
            {
                f.vm1.on_store_read(f.time.now() - 1ms, f.time.now());
                EXPECT(!f.vm1.is_fresh(f.time.now()));
            });
    f.vm1.on_store_read(f.time.now(), f.time.now());
    EXPECT(f.vm1.is_fresh(f.time.now()));
    section("a member that is back counts again",
            [&]
            {
                f.vm1.set_stopped({{3, 3}}, f.time.now());
                EXPECT(!f.vm1.is_fresh(f.time.now()));
            });
}

// Guards against relayed evidence that looks younger than it is, or that is
// decoded with another record's order.
Test(fleet_freshness, relayed_evidence)
{
    fixture f;
    f.receive_statement(2, 50ms, {9, 10});
    f.receive_statement(3, 90ms, {9, 10});
    f.receive_statement(4, 95ms, {8, 10});
    const auto groups = f.vm1.evidence_groups(f.time.now());
    EXPECT(groups.size() == 2);

    freshness other({5, 5}, f.time.now() - 10s);
    other.set_record({1, "w", make_members(1, 5), {}}, 10, f.time.now());
    other.set_config(9, f.time.now());
    other.on_relayed_evidence(groups, 11, f.time.now() - 200ms, f.time.now());
    EXPECT(!other.is_caught_up());
    other.on_relayed_evidence(groups, 10, f.time.now() - 200ms, f.time.now());
    EXPECT(other.is_fresh(f.time.now()));
    EXPECT(other.is_fresh(f.time.now() - 201ms - 90ms + 1500ms));
    EXPECT(!other.is_fresh(f.time.now() - 200ms - 90ms + 1500ms));
    section("status shows the relayed revisions",
            [&]
            {
                const auto status = other.status(f.time.now());
                EXPECT(status.size() == 5);
                for (const member_status& item : status)
                {
                    EXPECT(item.incarnation != (incarnation_id{4, 4}) ||
                           item.config_lag == 1);
                }
            });
    section("a domain's groups hold its members only",
            [&]
            {
                const auto domain_groups =
                    f.vm1.evidence_groups(f.time.now(), "d2");
                EXPECT(domain_groups.size() == 1 &&
                       domain_groups[0].bitmap.size() == 1);
            });
}

// Guards against records of a change that carry each unchanged member twice,
// and against a member of the previous list that is lost or mixed up.
Test(fleet_record, previous_members_are_named)
{
    fleet_record record{7, "w1", make_members(1, 100), make_members(1, 100)};
    const fleet_record settled{7, "w1", make_members(1, 100), {}};
    section("unchanged members are written as their incarnation",
            [&]
            {
                // 32 digits, quotes and a comma.
                const std::size_t max_bytes =
                    to_json(settled).size() + 100 * 35;
                EXPECT(to_json(record).size() <= max_bytes);
                const auto parsed = parse_fleet_record(to_json(record));
                EXPECT(parsed.has_value() && parsed.value() == record);
            });
    section("a member that moved or left is kept in full",
            [&]
            {
                record.members[3].control.port = 9;
                record.members.erase(record.members.begin());
                const auto parsed = parse_fleet_record(to_json(record));
                EXPECT(parsed.has_value() && parsed.value() == record);
            });
    section("a name without a current member is refused",
            [&]
            {
                const std::string empty = "\"previous_members\":[]";
                for (const std::string name :
                     {"00000000000000990000000000000099", "nobody", ""})
                {
                    std::string text = to_json(settled);
                    text.replace(text.find(empty), empty.size(),
                                 "\"previous_members\":[\"" + name + "\"]");
                    const auto malformed = parse_fleet_record(text);
                    EXPECT(!malformed.has_value());
                    EXPECT(malformed.error().message.find(
                               "previous_members[0]") != std::string::npos);
                }
            });
    section("current members can not be given by incarnation only",
            [&]
            {
                EXPECT(!parse_fleet_record("{\"epoch\":1,\"write_id\":\"w\","
                                           "\"members\":[\"x\"],"
                                           "\"previous_members\":[]}")
                            .has_value());
            });
}

// Guards against a record that the store returns in another form, and against
// VMs that disagree on an owner.
Test(fleet_record, json_and_owners)
{
    fleet_record record{7, "w\"1", make_members(1, 6), make_members(2, 4)};
    record.members[1].site = "munich";
    const auto parsed = parse_fleet_record(to_json(record));
    EXPECT(parsed.has_value() && parsed.value() == record);
    section("a record of a version without sites is read",
            [&]
            {
                std::string text = to_json(record);
                const std::string field = R"("site":"munich",)";
                text.erase(text.find(field), field.size());
                const auto older = parse_fleet_record(text);
                EXPECT(older.has_value());
                EXPECT(older.value().members[1].site.empty());
            });
    section("the error names the malformed field",
            [&]
            {
                std::string text = to_json(record);
                text.replace(text.find("\"vm3\""), 5, "77");
                const auto malformed = parse_fleet_record(text);
                EXPECT(!malformed.has_value());
                EXPECT(malformed.error().message.find("members[2].vm") !=
                       std::string::npos);
                EXPECT(!parse_fleet_record("[]").has_value());
            });
    section(
        "the owner does not depend on the order of the members",
        [&]
        {
            fleet_record reversed = record;
            std::reverse(reversed.members.begin(), reversed.members.end());
            for (const std::string key : {"a", "b", "c", "d"})
            {
                const member* owner = rendezvous_owner(record, key);
                EXPECT(*owner == *rendezvous_owner(reversed, key));
                EXPECT(rendezvous_owner(record, key, "north", "d1")
                           ->failure_domain == "d1");
                EXPECT(rendezvous_owner(record, key, "north", "none")->region ==
                       "north");
            }
            EXPECT(rendezvous_owner({}, "a") == nullptr);
        });
}
