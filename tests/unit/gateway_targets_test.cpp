#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/target_chooser.hpp>
#include <siskinflow/gateway/targets.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

target_record make_record(const std::string& id, const std::string& domain,
                          const std::string& region)
{
    target_record out;
    out.id = id;
    out.service = "maps";
    out.failure_domain = domain;
    out.region = region;
    out.slots = 6;
    out.started_at_ms = 1;
    return out;
}

/// Two targets in each of two failure domains of two regions.
void register_all(target_directory& directory, time_point now)
{
    for (const char* region : {"north", "south"})
    {
        for (const char* number : {"1", "2"})
        {
            const std::string domain = std::string(region) + "-" + number;
            directory.put(make_record(domain + "-a", domain, region), now);
            directory.put(make_record(domain + "-b", domain, region), now);
        }
    }
}

/// Ids of the targets chosen for requests for many objects.
std::set<std::string> used_targets(target_directory& directory,
                                   const std::vector<std::string>& regions,
                                   bool prefer_other_regions, time_point now)
{
    target_chooser chooser(directory, {});
    std::set<std::string> out;
    constexpr std::uint64_t objects = 200;
    for (std::uint64_t object = 0; object < objects; ++object)
    {
        choice_request request;
        request.service = "maps";
        request.object = stable_hash(std::to_string(object));
        request.region_allowed = [&](std::string_view region)
        {
            return regions.empty() || std::find(regions.begin(), regions.end(),
                                                region) != regions.end();
        };
        request.prefer_other_regions = prefer_other_regions;
        request.work = {640ms, 192ms};
        request.remaining = {500ms, 3s};
        const auto outcome = chooser.choose(request, now);
        if (outcome.choice)
        {
            out.insert(outcome.choice->chosen->record().id);
        }
    }
    return out;
}

bool all_begin_with(const std::set<std::string>& ids, std::string_view prefix)
{
    return std::all_of(ids.begin(), ids.end(),
                       [prefix](const std::string& id)
                       { return id.starts_with(prefix); });
}

} // namespace

// Guards against requests to targets of an evacuated failure domain.
Test(gateway_targets, an_evacuated_domain_gets_no_requests)
{
    const time_point now = manual_clock().now();
    target_directory directory({"north-1", "north"});
    register_all(directory, now);
    section("its targets are left out, others of its region are used",
            [&]
            {
                directory.set_evacuated({"north-1"});
                EXPECT(all_begin_with(used_targets(directory, {}, false, now),
                                      "north-2"));
            });
    section(
        "a region without any other domain: its requests go to other regions",
        [&]
        {
            directory.set_evacuated({"north-1", "north-2"});
            const auto used = used_targets(directory, {}, false, now);
            EXPECT(!used.empty() && all_begin_with(used, "south"));
        });
    section("a target that registers during the evacuation is left out too",
            [&]
            {
                directory.put(make_record("north-1-c", "north-1", "north"),
                              now);
                EXPECT(all_begin_with(used_targets(directory, {}, false, now),
                                      "south"));
            });
    section("after the evacuation ends the domain is used again",
            [&]
            {
                directory.set_evacuated({});
                const auto used = used_targets(directory, {}, false, now);
                EXPECT(!used.empty() && all_begin_with(used, "north"));
            });
}

// Guards against a request that runs outside the regions that are allowed for
// its route or organisation.
Test(gateway_targets, requests_stay_in_allowed_regions)
{
    const time_point now = manual_clock().now();
    target_directory directory({"north-1", "north"});
    register_all(directory, now);
    section("the own region is not allowed",
            [&]
            {
                const auto used =
                    used_targets(directory, {"south"}, false, now);
                EXPECT(!used.empty() && all_begin_with(used, "south"));
            });
    section("only the own region is allowed, but the object prefers others",
            [&]
            {
                const auto used = used_targets(directory, {"north"}, true, now);
                EXPECT(!used.empty() && all_begin_with(used, "north"));
            });
    section("no target is in an allowed region", [&]
            { EXPECT(used_targets(directory, {"west"}, false, now).empty()); });
}

// Guards against a number of targets per failure domain that diverges from the
// registrations.
Test(gateway_targets, average_targets_per_domain_follows_registrations)
{
    const std::vector<std::string> domains = {"a", "b", "c"};
    cr_assert(rc::check(
        "as counted anew after any series of changes",
        [&]
        {
            target_directory directory({"a", "r"});
            const time_point now = manual_clock().now();
            std::map<std::string, std::string> expected;
            const auto steps = *rc::gen::inRange(0, 40);
            for (int i = 0; i < steps; ++i)
            {
                const std::string id = std::to_string(*rc::gen::inRange(0, 8));
                if (*rc::gen::arbitrary<bool>())
                {
                    const auto& domain = *rc::gen::elementOf(domains);
                    directory.put(make_record(id, domain, "r"), now);
                    expected[id] = domain;
                }
                else
                {
                    directory.remove(id);
                    expected.erase(id);
                }
            }
            std::set<std::string> used;
            for (const auto& [id, domain] : expected)
            {
                used.insert(domain);
            }
            const double average = used.empty()
                                       ? 0
                                       : static_cast<double>(expected.size()) /
                                             static_cast<double>(used.size());
            RC_ASSERT(directory.average_targets_per_domain("maps") == average);
        }));
}
