// `siskinflowctl explain` against a gateway process.
#include "gateway_world.hpp"
#include "test_sections.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace siskinflow;
using namespace std::chrono_literals;
using nlohmann::json;
using test_sections::section;

namespace
{

/// Runs the command for a request of an organisation.
/// @return its standard output
std::string explain(const gateway_world& world, const std::string& path,
                    const std::string& output_form,
                    const std::string& organisation = "acme")
{
    std::string output;
    processes::run(
        "siskinflowctl",
        {"--gateway=127.0.0.1:" + std::to_string(world.ports(0).metrics),
         "--output=" + output_form, "--object=1",
         "--organisation=" + organisation, "explain", "site.example" + path},
        output);
    return output;
}

json explanation(const gateway_world& world, const std::string& path,
                 const std::string& organisation = "acme")
{
    const json document =
        json::parse(explain(world, path, "json", organisation), nullptr, false);
    EXPECT(document.is_object() && document.value("result", "") == "ok");
    return document.at("explanation");
}

/// What excludes a target of the first service; empty if nothing does.
std::string exclusion(const json& document, const std::string& id)
{
    const json& targets = document.at("services").at(0).at("targets");
    const auto found = std::find_if(targets.begin(), targets.end(),
                                    [&](const json& target)
                                    { return target.at("target") == id; });
    EXPECT(found != targets.end());
    return found->value("excluded", "");
}

} // namespace

// Guards against an explanation that names another target than the one that
// gets the request, that sends a request, and that callers can
// ask for.
Test(gateway_explain, tells_where_a_request_would_run)
{
    gateway_world world(1);
    std::map<std::string, standin::platform_target*> targets;
    for (const char* id : {"m1", "m2", "m3"})
    {
        targets[id] = &world.add_target("maps", named(id));
    }
    world.configure();
    EXPECT(world.start_all());
    section("the target that the request then gets, asked several times",
            [&]
            {
                const json first = explanation(world, "/maps/1");
                const json& service = first.at("services").at(0);
                EXPECT(first.at("route") == "maps");
                EXPECT(first.at("organisation") == "acme");
                EXPECT(service.at("targets").size() == 3);
                EXPECT(service.at("queue").at("answer") == "not_needed");
                const json again = explanation(world, "/maps/1");
                EXPECT(again.at("services").at(0).at("target") ==
                       service.at("target"));
                for (const auto& [id, target] : targets)
                {
                    EXPECT(target->runs().empty());
                }
                caller_request request;
                request.id = "explained";
                EXPECT(world.call(0, request).response.status == 200);
                const auto& chosen =
                    *targets.at(service.at("target").get<std::string>());
                EXPECT(chosen.runs().count("explained") == 1);
            });
    section("what excludes a target",
            [&]
            {
                world.register_target("m2", "draining");
                const auto is_known = [&] {
                    return exclusion(explanation(world, "/maps/1"), "m2") ==
                           "draining";
                };
                EXPECT(world.until(is_known));
                EXPECT(explain(world, "/maps/1", "text")
                           .find("excluded: draining") != std::string::npos);
            });
    section("requests that would be refused",
            [&]
            {
                EXPECT(explanation(world, "/none/1").at("refused") ==
                       "unknown_route");
                EXPECT(explanation(world, "/maps/1", "").at("refused") ==
                       "missing_key");
                EXPECT(explanation(world, "/maps/1", "other").at("refused") ==
                       "unknown_key");
                const json orders = explanation(world, "/orders/1");
                const json& service = orders.at("services").at(0);
                EXPECT(service.at("target").is_null());
                EXPECT(service.at("failure") == "no_target");
                EXPECT(service.at("queue").at("answer") == "refused");
            });
    section("callers can't ask",
            [&]
            {
                caller_request request;
                request.path = "/explain";
                EXPECT(world.call(0, request).response.status == 404);
            });
}
