#include "test_sections.hpp"
#include <siskinflow/gateway/peers.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// Longest time for which a lookup may return a VM that died.
constexpr duration max_listed_after_death = 7s;

vm_record vm(std::size_t number)
{
    vm_record out;
    out.name = "vm" + std::to_string(number);
    out.region = "north";
    out.failure_domain = "domain-" + std::to_string(number);
    out.requests = {"10.0.0.1", static_cast<std::uint16_t>(number + 1)};
    out.peers = {"10.0.0.1", static_cast<std::uint16_t>(number + 10001)};
    return out;
}

/// A fleet as seen by its first VM.
peer_table make_fleet(const std::vector<vm_record>& vms, time_point now)
{
    peer_table out(vms.front());
    out.serve(true);
    for (std::size_t number = 1; number < vms.size(); ++number)
    {
        out.on_listed(vms[number], now);
        out.on_heard(vms[number].name, true, now);
    }
    return out;
}

/// VMs that are alone in their failure domains.
std::vector<vm_record> separate_vms(std::size_t count)
{
    std::vector<vm_record> out;
    for (std::size_t number = 0; number < count; ++number)
    {
        out.push_back(vm(number));
    }
    return out;
}

/// VMs spread evenly over failure domains.
std::vector<vm_record> grouped_vms(std::size_t count, std::size_t domains)
{
    std::vector<vm_record> out = separate_vms(count);
    for (std::size_t number = 0; number < count; ++number)
    {
        out[number].failure_domain = vm(number % domains).failure_domain;
    }
    return out;
}

/// Messages a second that the first VM sends if it sums up its domain.
double messages_per_s(const peer_table& table, time_point now)
{
    return static_cast<double>(
               table.direct_peers(state_form::plain).size() +
               table.direct_peers(state_form::with_loads).size()) /
               to_seconds(table.message_interval()) +
           static_cast<double>(table.domain_contacts(0, now).size()) /
               to_seconds(table.domain_interval());
}

bool lookup_returns(const peer_table& table, std::size_t number, time_point now)
{
    const auto found = table.lookup(vm(number).failure_domain, "west", now);
    return found.size() == 1 && found.front() == vm(number).requests;
}

} // namespace

// Guards against VMs of a large fleet considering each other dead between two
// messages, and against lookups that return a dead VM for too long.
Test(gateway_peers, lookup_returns_peers_heard_recently)
{
    const time_point now = manual_clock().now();
    for (const std::size_t vms : {2, 7, 30, 75, 100, 300, 440})
    {
        section(
            std::to_string(vms) + " VMs",
            [&]
            {
                const peer_table table = make_fleet(separate_vms(vms), now);
                const duration interval = table.message_interval();
                EXPECT(lookup_returns(table, 1, now + 2 * interval));
                EXPECT(!lookup_returns(table, 1, now + max_listed_after_death));
            });
    }
    section("at most 30 messages a second to other domains of up to 60 VMs",
            [&]
            {
                for (const std::size_t vms : {20, 40, 60})
                {
                    const peer_table table = make_fleet(separate_vms(vms), now);
                    EXPECT(messages_per_s(table, now) < 30.5);
                }
            });
    section("at most 75 messages a second in all, most inside the domain",
            [&]
            {
                for (const std::size_t vms : {20, 60, 118, 440})
                {
                    const peer_table table =
                        make_fleet(grouped_vms(vms, 9), now);
                    EXPECT(messages_per_s(table, now) < 75);
                }
            });
    section("a VM that announces its stop is left out immediately",
            [&]
            {
                peer_table table = make_fleet(separate_vms(3), now);
                table.on_heard("vm1", false, now);
                EXPECT(!lookup_returns(table, 1, now));
                EXPECT(lookup_returns(table, 2, now));
            });
}

// Guards against a failure domain that no VM or several VMs sum up, and against
// domains that never find each other again after a partition.
Test(gateway_peers, one_vm_sums_up_its_domain)
{
    const time_point now = manual_clock().now();
    const std::vector<vm_record> vms = grouped_vms(6, 2);
    section("the first VM by name",
            [&]
            {
                EXPECT(make_fleet(vms, now).sums_up_domain(now));
                const std::vector<vm_record> seen_by_last = {vms[4], vms[0],
                                                             vms[2]};
                EXPECT(!make_fleet(seen_by_last, now).sums_up_domain(now));
            });
    section("the next one when the first is silent or stops",
            [&]
            {
                peer_table table = make_fleet({vms[2], vms[0], vms[4]}, now);
                table.on_heard(vms[0].name, false, now);
                EXPECT(table.sums_up_domain(now));
                table.on_heard(vms[0].name, true, now);
                EXPECT(!table.sums_up_domain(now));
                EXPECT(table.sums_up_domain(now + 2700ms));
            });
    section("not one that accepts no callers itself",
            [&]
            {
                peer_table table = make_fleet(vms, now);
                table.serve(false);
                EXPECT(!table.sums_up_domain(now));
            });
    section("each other domain has a contact, also when all seem dead",
            [&]
            {
                const peer_table table = make_fleet(vms, now);
                EXPECT(table.domain_contacts(0, now).size() == 1);
                EXPECT(table.domain_contacts(0, now) !=
                       table.domain_contacts(1, now));
                EXPECT(table.domain_contacts(0, now + 60s).size() == 1);
            });
    section("a list of serving VMs concerns its domain only",
            [&]
            {
                peer_table table = make_fleet(vms, now);
                table.on_domain_heard(vms[1].failure_domain,
                                      {vm_number(vms[3].name)}, now + 4s);
                const auto found =
                    table.lookup(vms[1].failure_domain, "west", now + 8s);
                EXPECT(found.size() == 1 && found[0] == vms[3].requests);
            });
    section("a VM of an older version gets the state of every VM",
            [&]
            {
                std::vector<vm_record> mixed = vms;
                mixed[1].protocol = peer_protocol::direct;
                const peer_table table = make_fleet(mixed, now);
                EXPECT(table.direct_peers(state_form::plain).size() == 1);
                EXPECT(table.direct_peers(state_form::with_loads).size() == 2);
            });
}

// Guards against a version that can't read the entries of another one.
Test(gateway_peers, records_carry_the_version_of_messages)
{
    const vm_record record = vm(1);
    EXPECT(parse_vm_record(to_json(record)).value() == record);
    std::string older = to_json(record);
    const std::string field = ",\"protocol\":3";
    EXPECT(older.find(field) != std::string::npos);
    older.erase(older.find(field), field.size());
    EXPECT(parse_vm_record(older).value().protocol == peer_protocol::direct);
}

// Guards against a cold first request from every VM to each of hundreds of
// targets, and against a new target that no VM tries.
Test(gateway_peers, few_vms_introduce_a_new_target)
{
    const time_point now = manual_clock().now();
    for (const std::size_t vms : {1, 2, 13, 55})
    {
        section(std::to_string(vms) + " VMs in the domain",
                [&]
                {
                    const auto records = grouped_vms(vms, 1);
                    for (const char* target : {"i-1", "i-2", "i-3"})
                    {
                        std::size_t introducing = 0;
                        for (std::size_t self = 0; self < vms; ++self)
                        {
                            auto view = records;
                            std::swap(view[0], view[self]);
                            introducing +=
                                make_fleet(view, now).introduces(target) ? 1
                                                                         : 0;
                        }
                        EXPECT(introducing == std::min<std::size_t>(vms, 2));
                    }
                });
    }
}
