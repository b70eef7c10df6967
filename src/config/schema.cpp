#include "schema.hpp"

#include <siskinflow/net/endpoint.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace siskinflow::config_detail
{

namespace
{

constexpr std::string_view reserved_prefix = "/siskinflow";
constexpr std::size_t digest_digits = 64;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool is_digest_digit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

/// @brief Assigns a field if its value was given and valid.
template <class Field, class Value>
void assign(Field& field, std::optional<Value> value)
{
    if (value)
    {
        field = static_cast<Field>(*std::move(value));
    }
}

std::string in_quotes(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

/// @brief Reports objects of one kind that have the same identity.
template <class Items, class Identity>
void check_unique(const Items& items, const char* kind, const char* field,
                  const object_path_function& path_of, fault_list& faults,
                  Identity identity)
{
    std::map<std::string, std::size_t> first_index;
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        const std::string id = identity(items[i]);
        const auto [previous, added] = first_index.emplace(id, i);
        if (!added)
        {
            faults.add(
                path_of(kind, i),
                std::string(field) + " " + in_quotes(id) + " is also used by " +
                    path_of(kind, previous->second) + "; choose another one");
        }
    }
}

void check_target_routes(const configuration& value,
                         const object_path_function& path_of,
                         fault_list& faults)
{
    for (std::size_t i = 0; i < value.targets.size(); ++i)
    {
        for (const auto& route : value.targets[i].routes)
        {
            if (value.find_route(route) == nullptr)
            {
                faults.add(path_of("targets", i),
                           "target " + in_quotes(value.targets[i].name) +
                               " names route " + in_quotes(route) +
                               ", which does not exist; add the route or "
                               "change or remove the target in the same note");
            }
        }
    }
}

void check_targets(const configuration& value,
                   const object_path_function& path_of, fault_list& faults)
{
    for (std::size_t i = 0; i < value.targets.size(); ++i)
    {
        const auto& target = value.targets[i];
        if (target.max_connections < target.slots)
        {
            faults.add(
                path_of("targets", i),
                "max_connections " + std::to_string(target.max_connections) +
                    " is less than slots " + std::to_string(target.slots) +
                    "; give at least one connection per slot");
        }
    }
}

/// @brief A key that belongs to two organisations would not identify one.
void check_keys(const configuration& value, const object_path_function& path_of,
                fault_list& faults)
{
    std::map<std::string, std::string> owner;
    for (std::size_t i = 0; i < value.organisations.size(); ++i)
    {
        const auto& organisation = value.organisations[i];
        for (const auto& key : organisation.key_sha256)
        {
            const auto [previous, added] =
                owner.emplace(key, organisation.name);
            if (!added)
            {
                faults.add(path_of("organisations", i),
                           "key digest " + in_quotes(key) +
                               " belongs to organisation " +
                               in_quotes(previous->second) +
                               " already; use a different key");
            }
        }
        if (organisation.key_sha256.size() > max_keys_per_organisation)
        {
            faults.add(path_of("organisations", i),
                       std::to_string(organisation.key_sha256.size()) +
                           " keys are more than the limit of " +
                           std::to_string(max_keys_per_organisation) +
                           "; withdraw unused ones");
        }
    }
}

void check_links(const configuration& value,
                 const object_path_function& path_of, fault_list& faults)
{
    for (std::size_t i = 0; i < value.links.size(); ++i)
    {
        if (value.links[i].from_region == value.links[i].to_region)
        {
            faults.add(path_of("links", i),
                       "from_region and to_region are both " +
                           in_quotes(value.links[i].from_region) +
                           "; name two regions");
        }
    }
}

} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), is_name_character) &&
           text[0] != '.' && text[0] != '_' && text[0] != '-';
}

bool is_name_or_empty(std::string_view text)
{
    return text.empty() || is_name(text);
}

bool is_comment(std::string_view text)
{
    return text.size() <= max_comment_bytes &&
           std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return c < 0x20 || c == 0x7F; });
}

bool is_path_prefix(std::string_view text)
{
    const bool printable =
        std::all_of(text.begin(), text.end(),
                    [](unsigned char c)
                    { return c > 0x20 && c < 0x7F && c != '?' && c != '#'; });
    const bool reserved = text.starts_with(reserved_prefix) &&
                          (text.size() == reserved_prefix.size() ||
                           text[reserved_prefix.size()] == '/');
    return text.starts_with('/') && text.size() <= max_path_bytes &&
           printable && !reserved;
}

bool is_address(std::string_view text)
{
    const auto parsed = net::parse_endpoint(text);
    return parsed.has_value() && parsed.value().port != 0;
}

bool is_key_digest(std::string_view text)
{
    return text.size() == digest_digits &&
           std::all_of(text.begin(), text.end(), is_digest_digit);
}

route_config read_route(object_reader& reader)
{
    route_config out;
    reader.require("name", "a name");
    reader.require("path_prefix", "the beginning of the route's paths");
    reader.require("idempotent", "true or false; false allows no retries");
    assign(out.name, reader.text("name", name_format));
    assign(out.path_prefix, reader.text("path_prefix", path_prefix_format));
    assign(out.idempotent, reader.boolean("idempotent"));
    assign(out.open, reader.boolean("open"));
    assign(out.not_run_statuses,
           reader.integers("not_run_statuses", not_run_status_range,
                           max_not_run_statuses));
    assign(out.max_body_bytes,
           reader.integer("max_body_bytes", max_body_range));
    if (const auto ms = reader.integer("default_timeout_ms", timeout_ms_range))
    {
        out.default_timeout = std::chrono::milliseconds(*ms);
    }
    assign(out.shift_cap_percent_per_s,
           reader.number("shift_cap_percent_per_s", shift_cap_range));
    assign(out.expected_response_bytes,
           reader.integer("expected_response_bytes", expected_response_range));
    return out;
}

target_config read_target(object_reader& reader)
{
    target_config out;
    reader.require("name", "a name");
    reader.require("routes", "the names of its routes");
    reader.require("region", "the name of its region");
    reader.require("failure_domain", "the name of its failure domain");
    reader.require("address", "an IP address and port");
    reader.require("slots", "the requests that may run at once");
    assign(out.name, reader.text("name", name_format));
    assign(out.routes, reader.texts("routes", name_format, max_names_per_list));
    assign(out.region, reader.text("region", name_format));
    assign(out.failure_domain, reader.text("failure_domain", name_format));
    if (const auto address = reader.text("address", address_format))
    {
        out.address = net::parse_endpoint(*address).value();
    }
    assign(out.slots, reader.integer("slots", slots_range));
    assign(out.max_connections,
           reader.integer("max_connections", max_connections_range));
    if (const auto s = reader.integer("warm_up_s", warm_up_s_range))
    {
        out.warm_up = std::chrono::seconds(*s);
    }
    return out;
}

organisation_config read_organisation(object_reader& reader)
{
    organisation_config out;
    reader.require("name", "a name");
    reader.require("rate_per_s", "requests per second");
    reader.require("burst", "a number of requests");
    assign(out.name, reader.text("name", name_format));
    assign(out.rate_per_s, reader.number("rate_per_s", rate_range));
    assign(out.burst, reader.number("burst", burst_range));
    assign(out.key_sha256, reader.texts("key_sha256", key_digest_format,
                                        max_keys_per_organisation));
    return out;
}

link_config read_link(object_reader& reader)
{
    link_config out;
    reader.require("from_region", "the name of a region");
    reader.require("to_region", "the name of a region");
    reader.require("bytes_per_s", "the bytes per second of the direction");
    reader.require("burst_bytes", "a number of bytes");
    assign(out.from_region, reader.text("from_region", name_format));
    assign(out.to_region, reader.text("to_region", name_format));
    assign(out.bytes_per_s, reader.number("bytes_per_s", link_rate_range));
    assign(out.burst_bytes, reader.number("burst_bytes", link_burst_range));
    return out;
}

void check_references(const configuration& value,
                      const object_path_function& path_of, fault_list& faults)
{
    const auto by_name = [](const auto& item) { return item.name; };
    check_unique(value.routes, "routes", "name", path_of, faults, by_name);
    check_unique(value.routes, "routes", "path_prefix", path_of, faults,
                 [](const auto& route) { return route.path_prefix; });
    check_unique(value.targets, "targets", "name", path_of, faults, by_name);
    check_unique(value.targets, "targets", "address", path_of, faults,
                 [](const auto& target) { return to_string(target.address); });
    check_unique(value.organisations, "organisations", "name", path_of, faults,
                 by_name);
    check_unique(value.links, "links", "link", path_of, faults,
                 [](const auto& link)
                 { return link.from_region + " to " + link.to_region; });
    check_target_routes(value, path_of, faults);
    check_targets(value, path_of, faults);
    check_keys(value, path_of, faults);
    check_links(value, path_of, faults);
}

} // namespace siskinflow::config_detail
