#include "test_sections.hpp"
#include <siskinflow/config/configuration_json.hpp>
#include <siskinflow/config/release_note.hpp>
#include <siskinflow/core/ids.hpp>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace siskinflow;
using nlohmann::json;
using test_sections::section;

namespace
{

json first_note()
{
    return json::parse(R"({
      "id": "first",
      "comment": "the first note",
      "routes": {"add": [
        {"name": "maps", "path_prefix": "/maps", "idempotent": true,
         "not_run_statuses": [503], "max_body_bytes": 1000,
         "default_timeout_ms": 500, "shift_cap_percent_per_s": 2.5,
         "expected_response_bytes": 2000},
        {"name": "orders", "path_prefix": "/orders", "idempotent": false,
         "open": false}]},
      "targets": {"add": [
        {"name": "t1", "routes": ["maps"], "region": "north",
         "failure_domain": "n1", "address": "127.0.0.1:9001", "slots": 6,
         "max_connections": 50, "warm_up_s": 30},
        {"name": "t2", "routes": ["orders"], "region": "south",
         "failure_domain": "s1", "address": "127.0.0.1:9002", "slots": 3}]},
      "organisations": {"add": [
        {"name": "org1", "rate_per_s": 10, "burst": 20}]},
      "links": {"add": [
        {"from_region": "north", "to_region": "south",
         "bytes_per_s": 1e6, "burst_bytes": 1e5}]}
    })");
}

std::string digest(const std::string& key)
{
    return sha256_hex(key);
}

result<configuration> parse_and_apply(const configuration& current,
                                      const json& note)
{
    auto parsed = parse_release_note(note.dump());
    if (!parsed)
    {
        return parsed.as_failure();
    }
    return apply_note(current, parsed.value());
}

configuration first_configuration()
{
    json note = first_note();
    note["organisations"]["add"][0]["key_sha256"] = {digest("k1"),
                                                     digest("k2")};
    return parse_and_apply({}, note).value();
}

std::string message(const result<configuration>& outcome)
{
    return outcome ? "" : outcome.error().message;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a field that is read into the wrong member, or not at all.
Test(config_note, fields_reach_the_configuration)
{
    const auto value = first_configuration();
    EXPECT(value.sequence == 1 && value.note_id == "first");
    const auto& maps = *value.find_route("maps");
    EXPECT(maps.path_prefix == "/maps" && maps.idempotent && !maps.open);
    EXPECT(maps.not_run_statuses == std::vector<int>{503});
    EXPECT(maps.max_body_bytes == 1000);
    EXPECT(maps.default_timeout == std::chrono::milliseconds(500));
    EXPECT(maps.shift_cap_percent_per_s == 2.5);
    EXPECT(maps.expected_response_bytes == 2000);
    EXPECT(!value.find_route("orders")->idempotent);
    EXPECT(value.find_route("orders")->default_timeout ==
           route_config{}.default_timeout);
    const auto& target = *value.find_target("t1");
    EXPECT(target.slots == 6 && target.max_connections == 50);
    EXPECT(target.address == (net::endpoint{"127.0.0.1", 9001}));
    EXPECT(target.warm_up == std::chrono::seconds(30));
    EXPECT(value.find_organisation("org1")->key_sha256.size() == 2);
    EXPECT(value.links.front().burst_bytes == 1e5);
}

// Guards against a bad field that is accepted, or refused with an error that
// names another field.
Test(config_note, each_bad_field_has_its_own_error)
{
    struct bad_field
    {
        const char* pointer;
        json value;
        const char* expected;
    };
    const json none; // Removes the field.
    const std::vector<bad_field> fields = {
        {"/id", none, "$.id: is missing"},
        {"/id", "", "$.id: \"\" is not a name"},
        {"/id", "a b", "$.id"},
        {"/id", 7, "$.id: 7"},
        {"/comment", "a\nb", "$.comment"},
        {"/comment", std::string(1025, 'x'), "$.comment"},
        {"/unknown", 1, "$: field \"unknown\" is unknown"},
        {"/routes/other", json::array(), "$.routes: field \"other\""},
        {"/routes", 1, "$.routes: 1 is not an object"},
        {"/routes/add", 1, "$.routes.add: 1 is not a list"},
        {"/routes/add/0", 1, "$.routes.add[0]: 1 is not an object"},
        {"/routes/add/0/name", none, "$.routes.add[0].name: is missing"},
        {"/routes/add/0/name", "-x", "$.routes.add[0].name: \"-x\""},
        {"/routes/add/0/path_prefix", "maps", "add[0].path_prefix: \"maps\""},
        {"/routes/add/0/path_prefix", "/a?b", "$.routes.add[0].path_prefix"},
        {"/routes/add/0/path_prefix", "/siskinflow/v1",
         "$.routes.add[0].path_prefix"},
        {"/routes/add/0/idempotent", none, "$.routes.add[0].idempotent"},
        {"/routes/add/0/idempotent", "yes", "idempotent: \"yes\" is not true"},
        {"/routes/add/0/open", 1, "$.routes.add[0].open: 1"},
        {"/routes/add/0/state", "closing", "$.routes.add[0]: field \"state\""},
        {"/routes/add/0/not_run_statuses/0", 200, "not_run_statuses[0]: 200"},
        {"/routes/add/0/not_run_statuses/1", 503, "not_run_statuses[1]: 503"},
        {"/routes/add/0/max_body_bytes", -1, "max_body_bytes: -1"},
        {"/routes/add/0/max_body_bytes", 1.5, "max_body_bytes: 1.5"},
        {"/routes/add/0/max_body_bytes", 67108865, "max_body_bytes: 67108865"},
        {"/routes/add/0/default_timeout_ms", 0, "default_timeout_ms: 0"},
        {"/routes/add/0/default_timeout_ms", 600001, "from 1 to 600000"},
        {"/routes/add/0/shift_cap_percent_per_s", 0, "percent_per_s: 0"},
        {"/routes/add/0/shift_cap_percent_per_s", 101, "percent_per_s: 101"},
        {"/routes/add/0/expected_response_bytes", 0, "response_bytes: 0"},
        {"/routes/add/1/name", "maps", "$.routes.add[1]: 'maps' exists"},
        {"/routes/add/1/path_prefix", "/maps", "path_prefix '/maps' is also"},
        {"/targets/add/0/routes", none, "$.targets.add[0].routes: is missing"},
        {"/targets/add/0/routes/0", "none", "names route 'none', which does"},
        {"/targets/add/0/routes/1", "maps", "routes[1]: \"maps\" occurs twice"},
        {"/targets/add/0/region", "", "$.targets.add[0].region"},
        {"/targets/add/0/failure_domain", none, "add[0].failure_domain"},
        {"/targets/add/0/address", "host:1", "address: \"host:1\" is not"},
        {"/targets/add/0/address", "127.0.0.1:0", "$.targets.add[0].address"},
        {"/targets/add/1/address", "127.0.0.1:9001", "$.targets.add[1]: addr"},
        {"/targets/add/0/slots", 0, "$.targets.add[0].slots: 0"},
        {"/targets/add/0/slots", 10001, "slots: 10001"},
        {"/targets/add/0/slots", 51, "max_connections 50 is less than"},
        {"/targets/add/0/max_connections", 100001, "max_connections: 100001"},
        {"/targets/add/0/warm_up_s", 3601, "warm_up_s: 3601"},
        {"/targets/add/1/name", "t1", "$.targets.add[1]: 't1' exists"},
        {"/organisations/add/0/rate_per_s", 0, "add[0].rate_per_s: 0"},
        {"/organisations/add/0/rate_per_s", none, "rate_per_s: is missing"},
        {"/organisations/add/0/burst", 0.5, "$.organisations.add[0].burst"},
        {"/organisations/add/0/key_sha256", {"x"}, "key_sha256[0]: the value"},
        {"/links/add/0/to_region", "north", "both 'north'"},
        {"/links/add/0/to_region", "east", "to_region: 'east' is the region"},
        {"/links/add/0/bytes_per_s", 0, "$.links.add[0].bytes_per_s: 0"},
        {"/links/add/0/burst_bytes", none, "burst_bytes: is missing"},
    };
    for (const auto& bad : fields)
    {
        const std::string title =
            std::string(bad.pointer) + " = " + bad.value.dump();
        section(title,
                [&]
                {
                    json note = first_note();
                    const json::json_pointer pointer(bad.pointer);
                    note[pointer] = bad.value;
                    if (bad.value.is_null())
                    {
                        note[pointer.parent_pointer()].erase(pointer.back());
                    }
                    const auto outcome = parse_and_apply({}, note);
                    EXPECT(contains(message(outcome), bad.expected));
                });
    }
}

// Guards against a report of only the first fault, which costs the operator
// one attempt per fault.
Test(config_note, all_faults_are_listed)
{
    json note = first_note();
    note["routes"]["add"][0]["path_prefix"] = 1;
    note["targets"]["add"][1]["slots"] = "x";
    note["organisations"]["add"][0]["burst"] = -1;
    const auto text = message(parse_and_apply({}, note));
    EXPECT(contains(text, "$.routes.add[0].path_prefix: 1"));
    EXPECT(contains(text, "$.targets.add[1].slots: \"x\""));
    EXPECT(contains(text, "$.organisations.add[0].burst: -1"));
    EXPECT(std::count(text.begin(), text.end(), '\n') == 2);
}

// Guards against a key in clear that is accepted or repeated in a message.
Test(config_note, keys_in_clear_are_refused_and_not_shown)
{
    json note = first_note();
    note["organisations"]["add"][0]["key_sha256"] = {"my-secret-key"};
    const auto text = message(parse_and_apply({}, note));
    EXPECT(contains(text, "siskinflowctl hash-key"));
    EXPECT(!contains(text, "my-secret-key"));
}

// Guards against documents that the parser would accept silently.
Test(config_note, unusual_documents_are_refused)
{
    const auto text = [](const std::string& note)
    {
        const auto parsed = parse_release_note(note);
        return parsed ? std::string() : parsed.error().message;
    };
    EXPECT(contains(text("{\"id\":\n,}"), "line 2"));
    EXPECT(contains(text(R"({"id":"a","id":"b"})"), "occurs twice"));
    EXPECT(contains(text(std::string(100'000, '[')), "nested deeper"));
    EXPECT(contains(text("[]"), "not an object"));
    EXPECT(contains(text("\"\xFF\""), "not JSON"));
    EXPECT(
        parse_release_note(std::string(max_note_bytes + 1, ' ')).error().code ==
        errc::too_large);
}

// Guards against withdrawals that skip a step or affect the wrong object.
Test(config_note, withdrawals_take_two_notes)
{
    const auto start = first_configuration();
    section(
        "a withdrawn route is removed together with its targets",
        [&]
        {
            const auto closing =
                parse_and_apply(start, {{"id", "w"},
                                        {"routes", {{"withdraw", {"maps"}}}},
                                        {"targets", {{"withdraw", {"t1"}}}}})
                    .value();
            EXPECT(closing.find_route("maps")->state == route_state::closing);
            EXPECT(closing.find_target("t1")->state == target_state::leaving);
            const json route_only = {{"id", "r"},
                                     {"routes", {{"remove", {"maps"}}}}};
            EXPECT(contains(message(parse_and_apply(closing, route_only)),
                            "target 't1' names route 'maps'"));
            json both = route_only;
            both["targets"]["remove"] = {"t1"};
            const auto removed = parse_and_apply(closing, both).value();
            EXPECT(removed.find_route("maps") == nullptr);
            EXPECT(removed.find_target("t1") == nullptr);
            EXPECT(removed.sequence == 3);
        });
    section(
        "a removal without withdrawal, a second withdrawal",
        [&]
        {
            EXPECT(contains(
                message(parse_and_apply(
                    start, {{"id", "r"}, {"targets", {{"remove", {"t1"}}}}})),
                "$.targets.remove[0]: 't1' is active; withdraw it first"));
            EXPECT(contains(
                message(parse_and_apply(
                    start,
                    {{"id", "r"},
                     {"targets", {{"withdraw", {"t1"}}, {"remove", {"t1"}}}}})),
                "also named by $.targets.withdraw[0]"));
        });
    section("a leaving target is resumed",
            [&]
            {
                const auto leaving =
                    parse_and_apply(
                        start,
                        {{"id", "w"}, {"targets", {{"withdraw", {"t1"}}}}})
                        .value();
                const auto resumed = parse_and_apply(
                    leaving, {{"id", "b"}, {"targets", {{"resume", {"t1"}}}}});
                EXPECT(resumed.value().find_target("t1")->state ==
                       target_state::active);
            });
    section("a key, an organisation and a link are each deleted by one note",
            [&]
            {
                const auto next =
                    parse_and_apply(
                        start, {{"id", "k"},
                                {"organisations",
                                 {{"change",
                                   {{{"name", "org1"},
                                     {"withdraw_key_sha256", {digest("k1")}},
                                     {"add_key_sha256", {digest("k3")}}}}}}},
                                {"links",
                                 {{"withdraw",
                                   {{{"from_region", "north"},
                                     {"to_region", "south"}}}}}}})
                        .value();
                EXPECT((next.organisations[0].key_sha256 ==
                        std::vector{digest("k2"), digest("k3")}));
                EXPECT(next.links.empty());
                EXPECT(parse_and_apply(
                           next, {{"id", "o"},
                                  {"organisations", {{"withdraw", {"org1"}}}}})
                           .value()
                           .organisations.empty());
            });
}

// Guards against references to objects that don't exist.
Test(config_note, refuses_unknown_objects_and_repeated_ids)
{
    const auto start = first_configuration();
    const auto text = [&](json note)
    {
        note.emplace("id", "n");
        return message(parse_and_apply(start, note));
    };
    EXPECT(contains(text({{"routes", {{"withdraw", {"x"}}}}}),
                    "$.routes.withdraw[0]: 'x' does not exist"));
    EXPECT(contains(text({{"targets", {{"change", {{{"name", "x"}}}}}}}),
                    "$.targets.change[0]: 'x' does not exist"));
    EXPECT(contains(text({{"organisations", {{"withdraw", {"x"}}}}}),
                    "$.organisations.withdraw[0]: 'x' does not exist"));
    EXPECT(
        contains(text({{"organisations",
                        {{"change",
                          {{{"name", "org1"},
                            {"withdraw_key_sha256", {digest("other")}}}}}}}}),
                 "$.organisations.change[0].withdraw_key_sha256[0]"));
    EXPECT(contains(text({{"organisations",
                           {{"add",
                             {{{"name", "org2"},
                               {"rate_per_s", 1},
                               {"burst", 1},
                               {"key_sha256", {digest("k1")}}}}}}}}),
                    "belongs to organisation 'org1' already"));
    EXPECT(contains(text(json::object()), "changes nothing"));
    EXPECT(contains(text({{"id", "first"}}), "id of the note in force"));
}

// Guards against a route without active targets that goes unreported until its
// requests are refused.
Test(config_note, warns_of_routes_without_targets)
{
    const auto leaving =
        parse_and_apply(first_configuration(),
                        {{"id", "w"}, {"targets", {{"withdraw", {"t1"}}}}})
            .value();
    EXPECT(warnings(first_configuration()).empty());
    EXPECT(warnings(leaving).size() == 1);
    EXPECT(contains(warnings(leaving)[0], "route 'maps' is active but"));
}

// Guards against a stored configuration that VMs read differently from what
// was written, and against unknown states.
Test(config_json, stored_form_round_trips)
{
    const auto value = first_configuration();
    const auto parsed = parse_configuration(to_json(value));
    EXPECT(parsed.has_value() && parsed.value() == value);
    json broken = json::parse(to_json(value));
    broken["targets"][0]["state"] = "gone";
    EXPECT(contains(message(parse_configuration(broken.dump())),
                    "$.targets[0].state: \"gone\" is not active or leaving"));
}

// Guards against a note built by code that bypasses the checks of the parser.
Test(config_json, apply_checks_values_that_were_not_parsed)
{
    release_note note;
    note.id = "n";
    note.organisations.add.push_back({"org2", -1, 1, {"clear"}});
    const auto outcome = apply_note(first_configuration(), note);
    EXPECT(contains(message(outcome), "rate_per_s: -1"));
    note.organisations.add.clear();
    route_config route;
    route.name = "r";
    route.path_prefix = "/r";
    route.default_timeout = std::chrono::microseconds(1500);
    note.routes.add = {route};
    EXPECT(!apply_note(first_configuration(), note).has_value());
}

// Guards against a configuration that breaks a rule after any sequence of
// notes, and against one that changes when it is stored.
Test(config_json, apply_never_yields_an_invalid_configuration)
{
    EXPECT(rc::check(
        "random notes",
        []
        {
            const auto pick = [](std::vector<std::string> names)
            { return *rc::gen::elementOf(names); };
            const auto random_subset = [&](std::vector<std::string> names)
            {
                std::vector<std::string> out;
                for (const auto& name : names)
                {
                    if (*rc::gen::inRange(0, 3) == 0)
                    {
                        out.push_back(name);
                    }
                }
                return out;
            };
            configuration current = first_configuration();
            int accepted = 0;
            for (int i = 0; i < 12; ++i)
            {
                release_note note;
                note.id = "n" + std::to_string(i);
                route_config route;
                route.name = pick({"maps", "r1", "r2", ""});
                route.path_prefix = pick({"/maps", "/a", "/b", "c"});
                route.shift_cap_percent_per_s =
                    *rc::gen::elementOf(std::vector<double>{0.1, 1, 100, 101});
                target_config target;
                target.name = pick({"t1", "t3", "t4"});
                target.routes = random_subset({"maps", "orders", "r1", "r2"});
                target.region = pick({"north", "east"});
                target.failure_domain = "d";
                target.address = {"127.0.0.1",
                                  *rc::gen::inRange<std::uint16_t>(0, 9)};
                target.slots = *rc::gen::inRange<std::uint32_t>(0, 120);
                switch (*rc::gen::inRange(0, 6))
                {
                case 0:
                    note.routes.add = {route};
                    break;
                case 1:
                    note.targets.add = {target};
                    break;
                case 2:
                    note.routes.withdraw =
                        random_subset({"maps", "orders", "r1"});
                    note.targets.withdraw = random_subset({"t1", "t2", "t3"});
                    break;
                case 3:
                    note.routes.remove =
                        random_subset({"maps", "orders", "r1"});
                    note.targets.remove = random_subset({"t1", "t2", "t3"});
                    break;
                case 4:
                    note.targets.change = {
                        {"t1", target.routes, target.slots, {}, {}}};
                    note.targets.resume = random_subset({"t2", "t3"});
                    break;
                default:
                    note.organisations.add = {{pick({"org1", "o2"}),
                                               1,
                                               1,
                                               {digest(pick({"a", "k1"}))}}};
                }
                const auto next = apply_note(current, note);
                if (next)
                {
                    ++accepted;
                    const auto stored =
                        parse_configuration(to_json(next.value()));
                    RC_ASSERT(stored.has_value());
                    RC_ASSERT(stored.value() == next.value());
                    RC_ASSERT(next.value().sequence == current.sequence + 1);
                    current = next.value();
                }
                else
                {
                    RC_ASSERT(!next.error().message.empty());
                }
            }
            RC_TAG(accepted > 0 ? "some accepted" : "none accepted");
        }));
}

// Guards against input that ends the process.
Test(config_json, any_text_is_read_or_refused)
{
    const std::string note = first_note().dump();
    const std::string stored = to_json(first_configuration());
    EXPECT(rc::check("mutated documents",
                     [&]
                     {
                         std::string text = *rc::gen::element(note, stored);
                         for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
                         {
                             const auto position =
                                 *rc::gen::inRange<std::size_t>(0, text.size());
                             const auto length =
                                 *rc::gen::inRange<std::size_t>(0, 3);
                             text.replace(position, length,
                                          *rc::gen::element<std::string>(
                                              "", "\"", "{", "}", "[", "]", ",",
                                              "-1", "1e999", "null", "\xFF",
                                              "99999999999999999999"));
                         }
                         const auto parsed = parse_release_note(text);
                         if (parsed)
                         {
                             static_cast<void>(apply_note({}, parsed.value()));
                         }
                         static_cast<void>(parse_configuration(text));
                     }));
    EXPECT(rc::check("random text",
                     [](const std::string& text)
                     {
                         static_cast<void>(parse_release_note(text));
                         static_cast<void>(parse_configuration(text));
                     }));
}
