#include "test_sections.hpp"
#include <siskinflow/gateway/peers.hpp>

#include <string>

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
peer_table make_fleet(std::size_t vms, time_point now)
{
    peer_table out(vm(0));
    out.serve(true);
    for (std::size_t number = 1; number < vms; ++number)
    {
        out.on_listed(vm(number), now);
        out.on_heard(vm(number).name, true, now);
    }
    return out;
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
                const peer_table table = make_fleet(vms, now);
                const duration interval = table.message_interval();
                EXPECT(lookup_returns(table, 1, now + 2 * interval));
                EXPECT(!lookup_returns(table, 1, now + max_listed_after_death));
            });
    }
    section(
        "at most 30 messages a second in fleets of up to 60 VMs",
        [&]
        {
            for (const std::size_t vms : {20, 40, 60})
            {
                const auto interval = make_fleet(vms, now).message_interval();
                EXPECT(static_cast<double>(vms) / to_seconds(interval) < 30.5);
            }
        });
    section("a VM that announces its stop is left out immediately",
            [&]
            {
                peer_table table = make_fleet(3, now);
                table.on_heard("vm1", false, now);
                EXPECT(!lookup_returns(table, 1, now));
                EXPECT(lookup_returns(table, 2, now));
            });
}
