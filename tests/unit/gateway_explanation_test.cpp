#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/choice_explanation.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr time_point now{100s};

target_record make_record(const std::string& id, const std::string& domain)
{
    target_record out;
    out.id = id;
    out.service = "maps";
    out.failure_domain = domain;
    out.region = domain.substr(0, 1);
    out.slots = 2;
    out.started_at_ms = 1;
    return out;
}

choice_request make_request(std::uint64_t object)
{
    choice_request out;
    out.service = "maps";
    out.object = object;
    out.region_allowed = [](std::string_view region) { return region != "c"; };
    out.work = {640ms, 192ms};
    out.remaining = {5s, 9s};
    return out;
}

target_exclusion exclusion(const choice_explanation& explained,
                           const std::string& id)
{
    const auto found = std::find_if(
        explained.targets.begin(), explained.targets.end(),
        [&](const explained_target& entry) { return entry.id == id; });
    EXPECT(found != explained.targets.end());
    return found->excluded;
}

} // namespace

// Guards against an explanation that names another target than the choice, or
// another reason than the one that excludes a target.
Test(gateway_explanation, agrees_with_the_choice)
{
    target_directory directory({"a1", "a"});
    target_chooser chooser(directory, {});
    for (const char* domain : {"a1", "a2", "b1", "c1"})
    {
        for (int i = 0; i < 12; ++i)
        {
            const std::string id =
                std::string(domain) + "-" + std::to_string(i);
            directory.put(make_record(id, domain), now);
        }
    }
    target_record draining = make_record("a1-0", "a1");
    draining.draining = true;
    directory.put(draining, now);
    directory.on_wish("a1-1", 1, {true, {}}, 1s);
    directory.on_wish("a1-2", 1, {false, now + 2s}, 1s);
    directory.find("a1-3")->on_ended(attempt_result::unreachable, now);
    for (int i = 0; i < 4; ++i)
    {
        directory.find("a1-4")->on_sent(now);
    }
    directory.set_evacuated({"a2"});
    const std::vector<std::string> tried = {"a1-5"};
    section(
        "the chosen target, also after the choice",
        [&]
        {
            for (std::size_t i = 0; i < 200; ++i)
            {
                choice_request request = make_request(stable_hash("object", i));
                request.excluded = tried;
                const auto before = chooser.explain(request, now);
                const auto chosen = chooser.choose(request, now);
                const auto after = chooser.explain(request, now);
                EXPECT(chosen.choice.has_value());
                EXPECT(before.outcome.choice->chosen == chosen.choice->chosen);
                EXPECT(after.outcome.choice->chosen == chosen.choice->chosen);
                EXPECT(exclusion(before, chosen.choice->chosen->record().id) ==
                       target_exclusion::none);
            }
        });
    section("what excludes the others",
            [&]
            {
                choice_request request = make_request(1);
                request.excluded = tried;
                const auto seen = chooser.explain(request, now);
                EXPECT(seen.targets.size() == 48);
                const std::pair<const char*, target_exclusion> expected[] = {
                    {"a1-0", target_exclusion::draining},
                    {"a1-1", target_exclusion::leaving},
                    {"a1-2", target_exclusion::paused},
                    {"a1-3", target_exclusion::ejected},
                    {"a1-4", target_exclusion::no_room},
                    {"a1-5", target_exclusion::tried},
                    {"a1-6", target_exclusion::none},
                    {"a2-0", target_exclusion::evacuated},
                    {"b1-0", target_exclusion::other_region},
                    {"c1-0", target_exclusion::forbidden_region}};
                for (const auto& [id, reason] : expected)
                {
                    section(id, [&, id = id, reason = reason]
                            { EXPECT(exclusion(seen, id) == reason); });
                }
            });
    section("none can answer in time",
            [&]
            {
                choice_request request = make_request(1);
                request.remaining = {50ms, 100ms};
                const auto seen = chooser.explain(request, now);
                EXPECT(seen.outcome.failure == choice_failure::too_late);
                EXPECT(exclusion(seen, "a1-6") == target_exclusion::too_late);
            });
}
