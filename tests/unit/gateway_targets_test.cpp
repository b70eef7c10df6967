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

// Guards against a request to a target that has said that it leaves (DRAIN), or
// for a time that it wants nothing (BUDGET).
Test(gateway_targets, get_no_requests_that_they_do_not_want)
{
    const time_point start{100s};
    target_directory directory({"north-1", "north"});
    register_all(directory, start);
    const std::string id = "north-1-a";
    const auto chosen = [&](time_point now)
    { return used_targets(directory, {"north"}, false, now).count(id) == 1; };
    const auto wish = [&](std::int64_t incarnation, const target_wish& value)
    { directory.on_wish(id, incarnation, value, 1s); };
    section("a pause, which is not shortened by a later answer",
            [&]
            {
                EXPECT(chosen(start));
                wish(1, {false, start + 10s});
                wish(1, {false, start + 2s});
                EXPECT(!chosen(start + 9s));
                EXPECT(chosen(start + 10s));
            });
    section("requests return in steps",
            [&]
            {
                EXPECT(directory.find(id)->cold(start + 10500ms));
                EXPECT(!directory.find(id)->cold(start + 11s));
            });
    section("an answer of an earlier incarnation changes nothing",
            [&]
            {
                wish(0, {true, {}});
                EXPECT(chosen(start + 20s));
            });
    section("leaving, whatever the registration says",
            [&]
            {
                wish(1, {true, {}});
                EXPECT(!chosen(start + 20s));
                directory.put(make_record(id, "north-1", "north"), start + 20s);
                EXPECT(!chosen(start + 1h));
            });
    section("also if the registration was missing for a while",
            [&]
            {
                directory.remove(id);
                directory.put(make_record(id, "north-1", "north"), start + 30s);
                EXPECT(!chosen(start + 1h));
            });
    section("another incarnation gets requests",
            [&]
            {
                target_record next = make_record(id, "north-1", "north");
                next.started_at_ms = 2;
                directory.put(next, start + 40s);
                EXPECT(chosen(start + 40s));
                wish(1, {true, {}});
                EXPECT(chosen(start + 40s));
            });
    section("what is said before the registration is known",
            [&]
            {
                wish(3, {true, {}});
                target_record next = make_record(id, "north-1", "north");
                next.started_at_ms = 3;
                directory.put(next, start + 50s);
                EXPECT(!chosen(start + 50s));
            });
}

// Guards against a caller that is told to come back at any time but that at
// which a target wants requests again.
Test(gateway_targets, tell_when_one_wants_requests_again)
{
    const time_point start{100s};
    target_directory directory({"north-1", "north"});
    target_chooser chooser(directory, {});
    choice_request request;
    request.service = "maps";
    request.region_allowed = [](std::string_view region)
    { return region == "north"; };
    EXPECT(!chooser.wanted_again_at(request, start));
    register_all(directory, start);
    EXPECT(!chooser.wanted_again_at(request, start));
    directory.on_wish("north-1-a", 1, {true, {}}, 1s);
    directory.on_wish("north-1-b", 1, {false, start + 5s}, 1s);
    directory.on_wish("north-2-a", 1, {false, start + 3s}, 1s);
    EXPECT(!chooser.wanted_again_at(request, start));
    directory.on_wish("north-2-b", 1, {false, start + 9s}, 1s);
    EXPECT(chooser.wanted_again_at(request, start) == start + 3s);
    EXPECT(!chooser.wanted_again_at(request, start + 3s));
}
