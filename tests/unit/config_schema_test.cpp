#include "test_sections.hpp"
#include <siskinflow/config/release_note.hpp>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>

using namespace siskinflow;
using nlohmann::json;
using test_sections::section;

namespace
{

json read_schema()
{
    std::ifstream in(std::string(SISKINFLOW_SOURCE_DIR) +
                     "/docs/release-note.schema.json");
    return json::parse(std::string{std::istreambuf_iterator<char>(in),
                                   std::istreambuf_iterator<char>()},
                       nullptr, false);
}

/// Faults of a note with one object in one operation.
std::string parse_faults(const std::string& kind, const std::string& operation,
                         const json& object)
{
    const json note = {{"id", "n"},
                       {kind, {{operation, json::array({object})}}}};
    const auto parsed = parse_release_note(note.dump());
    return parsed ? std::string() : parsed.error().message;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

void check_object(const json& schema, const std::string& definition,
                  const std::string& kind, const std::string& operation)
{
    const json& properties = schema["$defs"][definition]["properties"];
    json all = json::object();
    for (const auto& [field, rule] : properties.items())
    {
        all[field] = nullptr;
    }
    const std::string text = parse_faults(kind, operation, all);
    EXPECT(!contains(text, "is unknown"));
    all["no_such_field"] = 1;
    EXPECT(contains(parse_faults(kind, operation, all),
                    "field \"no_such_field\" is unknown"));
    const std::string missing = parse_faults(kind, operation, json::object());
    for (const auto& field : schema["$defs"][definition]["required"])
    {
        EXPECT(
            contains(missing, "." + field.get<std::string>() + ": is missing"));
    }
    for (const auto& [field, rule] : properties.items())
    {
        if (!rule.contains("maximum"))
        {
            continue;
        }
        const std::string path = "." + field + ": ";
        const json& low = rule["minimum"];
        const json& high = rule["maximum"];
        EXPECT(!contains(parse_faults(kind, operation, {{field, low}}), path));
        EXPECT(!contains(parse_faults(kind, operation, {{field, high}}), path));
        const json below = low.get<double>() - 0.0005;
        const json above = high.get<double>() + 1;
        EXPECT(contains(parse_faults(kind, operation, {{field, below}}), path));
        EXPECT(contains(parse_faults(kind, operation, {{field, above}}), path));
    }
}

} // namespace

// Guards against a published schema that differs from what the code accepts:
// fields, required fields and ranges.
Test(config_schema, agrees_with_the_parser)
{
    const json schema = read_schema();
    EXPECT(schema.is_object());
    const char* const objects[][3] = {
        {"route", "routes", "add"},
        {"route_change", "routes", "change"},
        {"target", "targets", "add"},
        {"target_change", "targets", "change"},
        {"organisation", "organisations", "add"},
        {"organisation_change", "organisations", "change"},
        {"link", "links", "add"},
        {"link_change", "links", "change"},
        {"link_name", "links", "withdraw"}};
    for (const auto& [definition, kind, operation] : objects)
    {
        section(definition,
                [&, definition = definition, kind = kind, operation = operation]
                { check_object(schema, definition, kind, operation); });
    }
    section(
        "defaults",
        [&]
        {
            const json& route = schema["$defs"]["route"]["properties"];
            const route_config value;
            EXPECT(route["max_body_bytes"]["default"] == value.max_body_bytes);
            EXPECT(route["default_timeout_ms"]["default"] ==
                   value.default_timeout / std::chrono::milliseconds(1));
            EXPECT(route["shift_cap_percent_per_s"]["default"] ==
                   value.shift_cap_percent_per_s);
            EXPECT(route["expected_response_bytes"]["default"] ==
                   value.expected_response_bytes);
            EXPECT(schema["$defs"]["target"]["properties"]["max_connections"]
                         ["default"] == target_config{}.max_connections);
        });
}
