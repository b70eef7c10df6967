#include "test_sections.hpp"
#include <siskinflow/routing/lookup.hpp>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace siskinflow;
using namespace siskinflow::routing;
using test_sections::section;

namespace
{

member make_member(int number, int region, int domain)
{
    member vm;
    vm.incarnation = {1, static_cast<std::uint64_t>(number) + 1};
    vm.vm = "vm" + std::to_string(number);
    vm.region = "region" + std::to_string(region);
    vm.failure_domain = "fd" + std::to_string(domain);
    vm.http = {"127.0.0.1", static_cast<std::uint16_t>(8000 + number)};
    return vm;
}

/// Seven VMs: site 0 and 1 in region0, site 2 in region1.
fleet_record seven_vms()
{
    fleet_record record;
    for (int i = 0; i < 7; ++i)
    {
        record.members.push_back(make_member(i, i < 4 ? 0 : 1, i / 2));
    }
    return record;
}

site_number site_of(const member& vm)
{
    const int number = vm.http.port - 8000;
    return static_cast<site_number>(number < 2 ? 0 : number < 4 ? 1 : 2);
}

lookup_member_state all_serving(const member& vm)
{
    return {true, site_of(vm)};
}

ip_address caller(std::uint64_t number)
{
    return {false, (0x0A000000 + number) << 32, 0};
}

} // namespace

// Guards against callers sent to a distant VM while a nearer one is serving.
Test(routing_lookup, nearest_first)
{
    const auto record = seven_vms();
    const lookup vm_lookup(record, all_serving, {std::chrono::seconds(10), 7});
    const auto answer = vm_lookup.find(caller(1), site_number(1));
    EXPECT(answer.vms.size() == 7);
    std::vector<int> proximities;
    for (const auto* vm : answer.vms)
    {
        proximities.push_back(site_of(*vm) == 1         ? 0
                              : vm->region == "region0" ? 1
                                                        : 2);
    }
    EXPECT(std::is_sorted(proximities.begin() + 2, proximities.end()));
    EXPECT(proximities[0] == 0);
    section("two failure domains although the site has one",
            [&]
            {
                const lookup two_vm_lookup(record, all_serving,
                                           {std::chrono::seconds(10), 2});
                const auto pair = two_vm_lookup.find(caller(1), site_number(1));
                EXPECT(pair.vms[0]->failure_domain !=
                       pair.vms[1]->failure_domain);
            });
}

// Guards against an answer that callers can't parse.
Test(routing_lookup, json_body)
{
    const lookup vm_lookup(seven_vms(), all_serving);
    const auto body =
        nlohmann::json::parse(vm_lookup.find_json(caller(1), std::nullopt));
    EXPECT(body["lifetime_s"] == 10 && body["vms"].size() == 6);
    EXPECT(body["vms"][0]["url"].get<std::string>().starts_with(
        "http://127.0.0.1:80"));
    EXPECT(lookup({}, all_serving).find_json(caller(1), std::nullopt) ==
           R"({"lifetime_s":10,"vms":[]})");
}

// Guards against an uneven spread over equal VMs, and against callers that
// change their VM when another one leaves.
Test(routing_lookup, even_and_stable)
{
    const auto record = seven_vms();
    const lookup before(record, all_serving);
    const lookup after(
        record,
        [](const member& vm) {
            return lookup_member_state{vm.vm != "vm0", std::nullopt};
        });
    constexpr int callers = 7000;
    std::map<std::string, int> callers_by_vm;
    for (int i = 0; i < callers; ++i)
    {
        const auto old_vm = before.find(caller(i), std::nullopt).vms[0]->vm;
        const auto new_vm = after.find(caller(i), std::nullopt).vms[0]->vm;
        ++callers_by_vm[old_vm];
        EXPECT(old_vm == new_vm || old_vm == "vm0");
    }
    // Binomial with mean 1000 and standard deviation 29: five of these.
    for (const auto& [vm, count] : callers_by_vm)
    {
        EXPECT(std::abs(count - callers / 7) < 147);
    }
}

// Guards against an answer with a leaving VM, or with VMs of only one failure
// domain when there are several.
Test(routing_lookup, never_names_a_leaving_vm)
{
    EXPECT(rc::check(
        "serving VMs only, in two failure domains when there are two",
        []
        {
            fleet_record record;
            std::set<std::string> serving;
            std::set<std::string> domains;
            const int count = *rc::gen::inRange(1, 40);
            for (int i = 0; i < count; ++i)
            {
                record.members.push_back(make_member(i, *rc::gen::inRange(0, 3),
                                                     *rc::gen::inRange(0, 4)));
                if (*rc::gen::arbitrary<bool>())
                {
                    serving.insert(record.members.back().vm);
                    domains.insert(record.members.back().failure_domain);
                }
            }
            record.previous_members = {make_member(99, 0, 0)};
            const lookup vm_lookup(record,
                                   [&](const member& vm) {
                                       return lookup_member_state{
                                           serving.contains(vm.vm),
                                           site_of(vm)};
                                   },
                                   {std::chrono::seconds(10),
                                    *rc::gen::inRange<std::size_t>(0, 8)});
            const auto answer = vm_lookup.find(
                caller(*rc::gen::inRange(0, 1000)),
                static_cast<site_number>(*rc::gen::inRange(0, 4)));
            std::set<std::string> named_domains;
            for (const auto* vm : answer.vms)
            {
                RC_ASSERT(serving.contains(vm->vm));
                named_domains.insert(vm->failure_domain);
            }
            RC_ASSERT(answer.vms.empty() == serving.empty());
            RC_ASSERT(named_domains.size() >=
                      std::min<std::size_t>(2, domains.size()));
        }));
}
