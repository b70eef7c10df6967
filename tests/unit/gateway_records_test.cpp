#include "store_records.hpp"
#include "test_sections.hpp"
#include <siskinflow/gateway/policy_rows.hpp>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using json = nlohmann::json;
using test_sections::section;

namespace
{

/// A configuration with three rows in each table.
json valid_configuration()
{
    json out;
    out["version"] = "r7";
    out["routes"] = {
        {"columns",
         {"name", "host", "prefix", "kind", "timeout", "target-latency",
          "priority", "max-attempts", "auth-exempt", "session-affinity",
          "allowed-regions", "service"}},
        {"rows",
         {{"r0", "h", "/a/", "idempotent", "2s", "500ms", 1, 2, false, true,
           nullptr, "s0"},
          {"r1", "h", "/b/", "non_idempotent", "2s", "500ms", 0, 1, false,
           false, json::array({"north"}), "s1"},
          {"r2", "h", "/c/", "download", "3s", nullptr, nullptr, 2, nullptr,
           nullptr, nullptr, "s2"}}}};
    out["services"] = {
        {"columns",
         {"name", "health-path", "max-connections", "warmup", "warmup-per-s"}},
        {"rows",
         {{"s0", "/health", 9, "3s", 7.4},
          {"s1", "/health", 9, "3s", 7.4},
          {"s2", "/health", 9, "3s", 7.4}}}};
    out["tenants"] = {{"columns",
                       {"name", "api-keys", "priority", "rate-per-s", "burst",
                        "allowed-regions"}},
                      {"rows",
                       {{"t0", json::array({"k0"}), 1, 5, 6, nullptr},
                        {"t1", json::array({"k1", "k1b"}), 1, 5, 6, nullptr},
                        {"t2", json::array({"k2"}), 1, 5, 6, nullptr}}}};
    return out;
}

const std::vector<std::string> table_fields = {"routes", "services", "tenants"};

gateway::policy_document read(const json& document)
{
    const platform::store_records records;
    auto out =
        records.read_operator({"op/config", document.dump(), {0, 1}, false});
    EXPECT(out.has_value());
    EXPECT(std::holds_alternative<gateway::policy_document>(out.value()));
    return std::get<gateway::policy_document>(std::move(out).value());
}

std::size_t column(const json& document, const std::string& table,
                   const std::string& field)
{
    const json& columns = document[table]["columns"];
    return static_cast<std::size_t>(
        std::find(columns.begin(), columns.end(), field) - columns.begin());
}

/// Sets one field of one row.
json with_field(const std::string& table, std::size_t row,
                const std::string& field, json value)
{
    json out = valid_configuration();
    out[table]["rows"][row][column(out, table, field)] = std::move(value);
    return out;
}

template <class Row>
bool has_row(const std::vector<Row>& rows, const std::string& name)
{
    return std::any_of(rows.begin(), rows.end(),
                       [&](const Row& row) { return row.name == name; });
}

/// Whether a policy has the three rows of a table but for the one at `except`.
bool has_other_rows(const gateway::policy& policy, const std::string& table,
                    std::size_t except)
{
    for (std::size_t i = 0; i < 3; ++i)
    {
        const std::string number = std::to_string(i);
        const bool present =
            table == "routes"     ? has_row(policy.routes, "r" + number)
            : table == "services" ? has_row(policy.services, "s" + number)
                                  : has_row(policy.organisations, "t" + number);
        if (i != except && !present)
        {
            return false;
        }
    }
    return true;
}

struct malformed_field
{
    std::string table;
    std::string field;
    json value;
};

const std::vector<malformed_field> unusable_values = {
    {"routes", "name", nullptr},
    {"routes", "host", 7},
    {"routes", "prefix", nullptr},
    {"routes", "timeout", "soon"},
    {"routes", "timeout", nullptr},
    {"routes", "timeout", -3},
    {"routes", "timeout", "1e300s"},
    {"routes", "target-latency", json::array()},
    {"routes", "priority", "high"},
    {"routes", "priority", 1e300},
    {"routes", "max-attempts", 1e300},
    {"routes", "max-attempts", -1},
    {"routes", "max-attempts", nullptr},
    {"routes", "auth-exempt", "yes"},
    {"routes", "session-affinity", 1},
    {"routes", "allowed-regions", "north"},
    {"routes", "allowed-regions", json::array({1})},
    {"routes", "service", nullptr},
    {"services", "name", 1},
    {"services", "health-path", 1},
    {"services", "max-connections", -1},
    {"services", "max-connections", 1e300},
    {"services", "warmup", 3},
    {"services", "warmup-per-s", "many"},
    {"tenants", "name", nullptr},
    {"tenants", "api-keys", "k1"},
    {"tenants", "api-keys", json::array({1})},
    {"tenants", "priority", 1e300},
    {"tenants", "rate-per-s", "5"},
    {"tenants", "burst", -2},
    {"tenants", "allowed-regions", json::object()},
};

} // namespace

// Guards against one route of a kind that this version does not know, which
// took the whole configuration out of service on every VM.
Test(gateway_records, reads_kinds_of_routes)
{
    section("downloads may be repeated",
            [&]
            {
                const auto document = read(valid_configuration());
                EXPECT(document.problems.empty());
                EXPECT(document.policy.routes[0].idempotent);
                EXPECT(!document.policy.routes[1].idempotent);
                EXPECT(document.policy.routes[2].idempotent);
            });
    for (const json& kind :
         {json("stream"), json(nullptr), json(3), json("IDEMPOTENT")})
    {
        section("a kind that is not known forbids repeating: " + kind.dump(),
                [&]
                {
                    const auto document =
                        read(with_field("routes", 0, "kind", kind));
                    EXPECT(document.policy.routes.size() == 3);
                    EXPECT(!document.policy.routes[0].idempotent);
                    EXPECT(document.problems.size() == 1);
                    EXPECT(document.problems[0].name == "r0");
                    EXPECT(document.problems[0].handling ==
                           gateway::row_handling::non_idempotent);
                });
    }
}

// Guards against one malformed row that takes other rows out of service.
Test(gateway_records, leaves_out_only_the_row_that_can_not_be_read)
{
    for (const malformed_field& entry : unusable_values)
    {
        section(entry.table + " " + entry.field + " " + entry.value.dump(),
                [&]
                {
                    const auto document = read(
                        with_field(entry.table, 1, entry.field, entry.value));
                    EXPECT(document.problems.size() == 1);
                    const auto& problem = document.problems[0];
                    EXPECT(problem.reason.find("'" + entry.field + "'") !=
                           std::string::npos);
                    EXPECT(problem.handling == gateway::row_handling::left_out);
                    for (const std::string& table : table_fields)
                    {
                        EXPECT(has_other_rows(document.policy, table, 1));
                    }
                });
    }
    section("a row that is too short or not a list",
            [&]
            {
                for (const json& row :
                     {json::array({"r1", "h"}), json("r1"), json(nullptr)})
                {
                    json document = valid_configuration();
                    document["routes"]["rows"][1] = row;
                    const auto out = read(document);
                    EXPECT(out.problems.size() == 1);
                    EXPECT(has_other_rows(out.policy, "routes", 1));
                }
            });
    section("unknown columns are ignored",
            [&]
            {
                json document = valid_configuration();
                document["routes"]["columns"].push_back("colour");
                for (json& row : document["routes"]["rows"])
                {
                    row.push_back("green");
                }
                EXPECT(read(document).problems.empty());
            });
}

// Guards against rows that lose their state in force, and against a withdrawn
// key that stays in use, because a row can't be read.
Test(gateway_records, keeps_rows_in_force)
{
    const gateway::policy in_force = read(valid_configuration()).policy;
    const auto completed = [&](const json& next)
    {
        gateway::policy_document out = read(next);
        gateway::keep_rows_in_force(out, &in_force);
        return out;
    };
    section("a route and a service",
            [&]
            {
                const auto route =
                    completed(with_field("routes", 1, "timeout", "soon"));
                EXPECT(has_other_rows(route.policy, "routes", 3));
                EXPECT(route.policy.routes.back().timeout == 2s);
                EXPECT(route.problems[0].handling ==
                       gateway::row_handling::previous);
                const auto service =
                    completed(with_field("services", 1, "warmup", 3));
                EXPECT(service.policy.services.back().warm_up_rate_per_s ==
                       7.4);
            });
    section("a route that no longer allows repeating",
            [&]
            {
                const auto kind_of_kept = [&](const json& kind)
                {
                    json next = with_field("routes", 0, "timeout", "soon");
                    next["routes"]["rows"][0][column(next, "routes", "kind")] =
                        kind;
                    return completed(next).policy.routes.back().idempotent;
                };
                EXPECT(in_force.routes[0].idempotent);
                EXPECT(kind_of_kept("idempotent"));
                EXPECT(!kind_of_kept("non_idempotent"));
                EXPECT(!kind_of_kept("new_kind"));
            });
    section(
        "an organisation has only the keys of the new row",
        [&]
        {
            json next = with_field("tenants", 1, "burst", -2);
            next["tenants"]["rows"][1][column(next, "tenants", "api-keys")] =
                json::array({"k1"});
            const auto out = completed(next);
            const auto& kept = out.policy.organisations.back();
            EXPECT(kept.name == "t1" && kept.burst == 6);
            EXPECT(kept.keys.size() == 1);
            EXPECT(kept.keys[0] == digest_of("k1"));
        });
    section("an organisation whose keys can't be read is left out",
            [&]
            {
                const auto out =
                    completed(with_field("tenants", 1, "api-keys", "k1"));
                EXPECT(!has_row(out.policy.organisations, "t1"));
                EXPECT(out.problems[0].handling ==
                       gateway::row_handling::left_out);
            });
    section("a row that the operator removed does not return",
            [&]
            {
                json next = with_field("routes", 1, "timeout", "soon");
                next["routes"]["rows"].erase(2);
                EXPECT(!has_row(completed(next).policy.routes, "r2"));
            });
    section("a new row, with nothing in force",
            [&]
            {
                auto out = read(with_field("routes", 1, "timeout", "soon"));
                gateway::keep_rows_in_force(out, nullptr);
                EXPECT(out.policy.routes.size() == 2);
            });
    section("a row of the same name that can be read wins",
            [&]
            {
                json next = with_field("routes", 1, "timeout", "soon");
                next["routes"]["rows"].push_back(
                    valid_configuration()["routes"]["rows"][1]);
                EXPECT(completed(next).policy.routes.size() == 3);
            });
}

namespace
{

json arbitrary_value()
{
    switch (*rc::gen::inRange(0, 7))
    {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<int>();
    case 2:
        return 1e300;
    case 3:
        return *rc::gen::arbitrary<bool>();
    case 4:
        return json::array({nullptr, "x"});
    case 5:
        return json::object({{"a", 1}});
    default:
        return std::string(static_cast<std::size_t>(*rc::gen::inRange(0, 5000)),
                           'x');
    }
}

} // namespace

// Guards against combinations of malformed fields that the cases above omit.
Test(gateway_records, a_mutated_row_affects_no_other_row)
{
    cr_assert(rc::check(
        "one mutated row",
        [&]
        {
            json document = valid_configuration();
            const std::string table = *rc::gen::elementOf(table_fields);
            const auto row = *rc::gen::inRange<std::size_t>(0, 3);
            json& fields = document[table]["rows"][row];
            const auto mutations = *rc::gen::inRange(1, 4);
            for (int i = 0; i < mutations && !fields.empty(); ++i)
            {
                const auto at =
                    *rc::gen::inRange<std::size_t>(0, fields.size());
                fields[at] = arbitrary_value();
            }
            if (*rc::gen::inRange(0, 5) == 0)
            {
                fields.erase(fields.size() - 1);
            }
            const platform::store_records records;
            const auto read = records.read_operator(
                {"op/config", document.dump(), {0, 1}, false});
            RC_ASSERT(read.has_value());
            const auto& policy =
                std::get<gateway::policy_document>(read.value()).policy;
            for (const std::string& other : table_fields)
            {
                RC_ASSERT(
                    has_other_rows(policy, other, other == table ? row : 3));
            }
        }));
}

// Guards against target entries that are read with values of another type or
// out of range.
Test(gateway_records, refuses_target_entries_that_name_no_target)
{
    const json valid = {{"service", "maps"}, {"address", "10.0.0.1:80"},
                        {"zone", "z1"},      {"max-concurrency", 6},
                        {"state", "ready"},  {"warmup-left", "1.5s"},
                        {"sequence", 4},     {"born", 17}};
    const platform::store_records records;
    const auto accepted = [&](const json& entry)
    {
        return records.read_target({"servers/i-1", entry.dump(), {0, 5}, false})
            .has_value();
    };
    EXPECT(accepted(valid));
    const std::vector<std::pair<std::string, json>> unusable = {
        {"service", nullptr},
        {"service", 4},
        {"address", "10.0.0.1"},
        {"address", nullptr},
        {"zone", 3},
        {"max-concurrency", "6"},
        {"max-concurrency", 1e300},
        {"max-concurrency", -1},
        {"state", "resting"},
        {"state", nullptr},
        {"warmup-left", 1.5},
        {"warmup-left", "1e300s"}};
    for (const auto& [field, value] : unusable)
    {
        section(field + " " + value.dump(),
                [&]
                {
                    json entry = valid;
                    entry[field] = value;
                    EXPECT(!accepted(entry));
                });
    }
    section("fields that may be missing or unknown",
            [&]
            {
                json entry = valid;
                entry.erase("warmup-left");
                entry.erase("born");
                entry["colour"] = "green";
                EXPECT(accepted(entry));
            });
}
