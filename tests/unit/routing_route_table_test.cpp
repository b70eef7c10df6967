#include "test_sections.hpp"
#include <siskinflow/routing/route_table.hpp>

using namespace siskinflow;
using namespace siskinflow::routing;
using test_sections::section;

namespace
{

route_table make_table(std::initializer_list<const char*> prefixes)
{
    auto config = std::make_shared<configuration>();
    for (const char* prefix : prefixes)
    {
        route_config route;
        route.name = prefix;
        route.path_prefix = prefix;
        config->routes.push_back(route);
    }
    return route_table(config);
}

std::string route_of(const route_table& table, std::string_view path)
{
    const auto route = table.find(path);
    return route ? route.value()->name : std::string(name(route.error().code));
}

} // namespace

// Guards against a request that runs on a route other than its own.
Test(routing_route_table, longest_prefix_of_whole_segments)
{
    const auto table = make_table({"/maps", "/maps/prints/", "/"});
    EXPECT(route_of(table, "/maps") == "/maps");
    EXPECT(route_of(table, "/maps/7?x=/maps/prints") == "/maps");
    EXPECT(route_of(table, "/maps/prints") == "/maps/prints/");
    EXPECT(route_of(table, "/maps/prints/1/2") == "/maps/prints/");
    EXPECT(route_of(table, "/mapsheet") == "/");
    EXPECT(route_of(make_table({"/maps"}), "/other") == "not_found");
}

// Guards against a path that matches an open route here and a keyed resource
// at the target.
Test(routing_route_table, ambiguous_paths_are_refused)
{
    const auto table = make_table({"/open", "/keyed"});
    section("escapes of plain letters do not hide a route",
            [&] { EXPECT(route_of(table, "/%6beyed/1") == "/keyed"); });
    section("parameters of a segment do not hide a route",
            [&] { EXPECT(route_of(table, "/keyed;v=1/1") == "/keyed"); });
    for (const char* path :
         {"", "open", "/open/../keyed", "/open/%2e%2E/keyed", "/open/./x",
          "/open/..;a/keyed", "/open//keyed", "/open%2f..", "/open/\\keyed",
          "/open/%5ckeyed", "/open/%252e", "/open/%2", "/open/%zz", "/open/%00",
          "/open/%c0%ae", "//keyed"})
    {
        section(path, [&] { EXPECT(route_of(table, path) == "parse_error"); });
    }
}
