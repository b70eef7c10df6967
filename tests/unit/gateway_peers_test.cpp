#include "story.hpp"
#include <siskinflow/gateway/peers.hpp>

#include <string>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using story::section;

namespace
{

/// The directory may name a VM that died for this long.
constexpr duration longest_named = 7s;

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

/// A fleet seen by its first VM.
peer_table fleet_of(std::size_t vms, time_point now)
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

bool names(const peer_table& table, std::size_t number, time_point now)
{
    const auto found = table.lookup(vm(number).failure_domain, "west", now);
    return found.size() == 1 && found.front() == vm(number).requests;
}

} // namespace

// Guards against a large fleet whose VMs take each other for dead between two
// messages, and against lookups that name a dead VM for long.
Test(gateway_peers, are_named_while_they_are_heard)
{
    const time_point now = manual_clock().now();
    for (const std::size_t vms : {2, 7, 30, 75, 100, 300, 440})
    {
        section(std::to_string(vms) + " VMs",
                [&]
                {
                    const peer_table table = fleet_of(vms, now);
                    const duration interval = table.message_interval();
                    EXPECT(names(table, 1, now + 2 * interval));
                    EXPECT(!names(table, 1, now + longest_named));
                });
    }
    section("at most 30 messages a second in fleets of up to 60 VMs",
            [&]
            {
                for (const std::size_t vms : {20, 40, 60})
                {
                    const auto interval = fleet_of(vms, now).message_interval();
                    EXPECT(static_cast<double>(vms) / to_seconds(interval) <
                           30.5);
                }
            });
    section("a VM that says that it stops is left out at once",
            [&]
            {
                peer_table table = fleet_of(3, now);
                table.on_heard("vm1", false, now);
                EXPECT(!names(table, 1, now));
                EXPECT(names(table, 2, now));
            });
}
