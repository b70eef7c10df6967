#include "schema.hpp"
#include <siskinflow/config/configuration_json.hpp>

#include <limits>

namespace siskinflow
{

using namespace config_detail;

namespace
{

constexpr integer_range sequence_range{
    0, std::numeric_limits<std::uint64_t>::max()};

template <class State>
bool is_state(std::string_view text, State withdrawn)
{
    return text == "active" || text == name(withdrawn);
}

bool is_route_state(std::string_view text)
{
    return is_state(text, route_state::closing);
}

bool is_target_state(std::string_view text)
{
    return is_state(text, target_state::leaving);
}

constexpr text_format route_state_format{is_route_state, "active or closing"};
constexpr text_format target_state_format{is_target_state, "active or leaving"};

json route_json(const route_config& route)
{
    return {{"name", route.name},
            {"path_prefix", route.path_prefix},
            {"idempotent", route.idempotent},
            {"open", route.open},
            {"state", name(route.state)},
            {"not_run_statuses", route.not_run_statuses},
            {"max_body_bytes", route.max_body_bytes},
            {"default_timeout_ms",
             route.default_timeout / std::chrono::milliseconds(1)},
            {"shift_cap_percent_per_s", route.shift_cap_percent_per_s},
            {"expected_response_bytes", route.expected_response_bytes}};
}

json target_json(const target_config& target)
{
    return {{"name", target.name},
            {"routes", target.routes},
            {"region", target.region},
            {"failure_domain", target.failure_domain},
            {"address", to_string(target.address)},
            {"slots", target.slots},
            {"max_connections", target.max_connections},
            {"warm_up_s", target.warm_up / std::chrono::seconds(1)},
            {"state", name(target.state)}};
}

json organisation_json(const organisation_config& organisation)
{
    return {{"name", organisation.name},
            {"rate_per_s", organisation.rate_per_s},
            {"burst", organisation.burst},
            {"key_sha256", organisation.key_sha256}};
}

json link_json(const link_config& link)
{
    return {{"from_region", link.from_region},
            {"to_region", link.to_region},
            {"bytes_per_s", link.bytes_per_s},
            {"burst_bytes", link.burst_bytes}};
}

template <class Items, class Convert>
json list_json(const Items& items, Convert convert)
{
    json out = json::array();
    for (const auto& item : items)
    {
        out.push_back(convert(item));
    }
    return out;
}

std::string configuration_path(const char* kind, std::size_t index)
{
    return "$." + std::string(kind) + "[" + std::to_string(index) + "]";
}

void read_routes(object_reader& reader, configuration& out)
{
    reader.objects("routes",
                   [&](object_reader& item)
                   {
                       route_config route = read_route(item);
                       if (item.text("state", route_state_format) == "closing")
                       {
                           route.state = route_state::closing;
                       }
                       out.routes.push_back(std::move(route));
                   });
}

void read_targets(object_reader& reader, configuration& out)
{
    reader.objects("targets",
                   [&](object_reader& item)
                   {
                       target_config target = read_target(item);
                       if (item.text("state", target_state_format) == "leaving")
                       {
                           target.state = target_state::leaving;
                       }
                       out.targets.push_back(std::move(target));
                   });
}

configuration read_configuration(object_reader& reader)
{
    configuration out;
    reader.require("sequence", "the number of notes accepted so far");
    out.sequence = reader.integer("sequence", sequence_range).value_or(0);
    out.note_id = reader.text("note_id", optional_name_format).value_or("");
    out.write_id = reader.text("write_id", optional_name_format).value_or("");
    read_routes(reader, out);
    read_targets(reader, out);
    reader.objects("organisations", [&](object_reader& item)
                   { out.organisations.push_back(read_organisation(item)); });
    reader.objects("links", [&](object_reader& item)
                   { out.links.push_back(read_link(item)); });
    reader.finish();
    return out;
}

} // namespace

std::string to_json(const configuration& value)
{
    const json document = {
        {"sequence", value.sequence},
        {"note_id", value.note_id},
        {"write_id", value.write_id},
        {"routes", list_json(value.routes, route_json)},
        {"targets", list_json(value.targets, target_json)},
        {"organisations", list_json(value.organisations, organisation_json)},
        {"links", list_json(value.links, link_json)}};
    return document.dump(-1, ' ', true, json::error_handler_t::replace);
}

result<configuration> parse_configuration(std::string_view text)
{
    fault_list faults;
    const auto document = parse_document(text, faults);
    if (!document)
    {
        return fail(errc::parse_error, faults.text());
    }
    object_reader reader(*document, "$", faults);
    configuration out = read_configuration(reader);
    if (faults.empty())
    {
        check_references(out, configuration_path, faults);
    }
    if (!faults.empty())
    {
        return fail(errc::parse_error, faults.text());
    }
    return out;
}

} // namespace siskinflow
