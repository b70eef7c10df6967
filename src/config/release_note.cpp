#include "schema.hpp"
#include <siskinflow/config/release_note.hpp>

namespace siskinflow
{

using namespace config_detail;

namespace
{

std::vector<std::string> read_names(object_reader& reader, const char* field)
{
    return reader.texts(field, name_format, max_names_per_list)
        .value_or(std::vector<std::string>{});
}

std::string read_required_name(object_reader& reader, const char* field)
{
    reader.require(field, "a name");
    return reader.text(field, name_format).value_or("");
}

template <class Duration>
std::optional<duration> to_duration(std::optional<std::uint64_t> count)
{
    if (!count)
    {
        return std::nullopt;
    }
    return Duration(*count);
}

template <class Integer>
std::optional<Integer> narrow(std::optional<std::uint64_t> value)
{
    if (!value)
    {
        return std::nullopt;
    }
    return static_cast<Integer>(*value);
}

route_change read_route_change(object_reader& reader)
{
    route_change out;
    out.name = read_required_name(reader, "name");
    out.path_prefix = reader.text("path_prefix", path_prefix_format);
    out.open = reader.boolean("open");
    out.not_run_statuses = reader.integers(
        "not_run_statuses", not_run_status_range, max_not_run_statuses);
    out.max_body_bytes =
        narrow<std::size_t>(reader.integer("max_body_bytes", max_body_range));
    out.default_timeout = to_duration<std::chrono::milliseconds>(
        reader.integer("default_timeout_ms", timeout_ms_range));
    out.shift_cap_percent_per_s =
        reader.number("shift_cap_percent_per_s", shift_cap_range);
    out.expected_response_bytes = narrow<std::size_t>(
        reader.integer("expected_response_bytes", expected_response_range));
    return out;
}

target_change read_target_change(object_reader& reader)
{
    target_change out;
    out.name = read_required_name(reader, "name");
    out.routes = reader.texts("routes", name_format, max_names_per_list);
    out.slots = narrow<std::uint32_t>(reader.integer("slots", slots_range));
    out.max_connections = narrow<std::uint32_t>(
        reader.integer("max_connections", max_connections_range));
    out.warm_up = to_duration<std::chrono::seconds>(
        reader.integer("warm_up_s", warm_up_s_range));
    return out;
}

std::vector<std::string> read_key_digests(object_reader& reader,
                                          const char* field)
{
    return reader.texts(field, key_digest_format, max_keys_per_organisation)
        .value_or(std::vector<std::string>{});
}

organisation_change read_organisation_change(object_reader& reader)
{
    organisation_change out;
    out.name = read_required_name(reader, "name");
    out.rate_per_s = reader.number("rate_per_s", rate_range);
    out.burst = reader.number("burst", burst_range);
    out.add_key_sha256 = read_key_digests(reader, "add_key_sha256");
    out.withdraw_key_sha256 = read_key_digests(reader, "withdraw_key_sha256");
    return out;
}

link_name read_link_name(object_reader& reader)
{
    link_name out;
    out.from_region = read_required_name(reader, "from_region");
    out.to_region = read_required_name(reader, "to_region");
    return out;
}

link_change read_link_change(object_reader& reader)
{
    link_change out;
    out.link = read_link_name(reader);
    out.bytes_per_s = reader.number("bytes_per_s", link_rate_range);
    out.burst_bytes = reader.number("burst_bytes", link_burst_range);
    return out;
}

/// @brief Reads a list of objects into a vector of their type.
template <class Item>
void read_list(object_reader& reader, const char* field, std::vector<Item>& out,
               Item (*read)(object_reader&))
{
    reader.objects(field,
                   [&](object_reader& item) { out.push_back(read(item)); });
}

void read_routes(object_reader& reader, route_section& out)
{
    read_list(reader, "add", out.add, read_route);
    read_list(reader, "change", out.change, read_route_change);
    out.withdraw = read_names(reader, "withdraw");
    out.remove = read_names(reader, "remove");
}

void read_targets(object_reader& reader, target_section& out)
{
    read_list(reader, "add", out.add, read_target);
    read_list(reader, "change", out.change, read_target_change);
    out.withdraw = read_names(reader, "withdraw");
    out.resume = read_names(reader, "resume");
    out.remove = read_names(reader, "remove");
}

void read_organisations(object_reader& reader, organisation_section& out)
{
    read_list(reader, "add", out.add, read_organisation);
    read_list(reader, "change", out.change, read_organisation_change);
    out.withdraw = read_names(reader, "withdraw");
}

void read_links(object_reader& reader, link_section& out)
{
    read_list(reader, "add", out.add, read_link);
    read_list(reader, "change", out.change, read_link_change);
    read_list(reader, "withdraw", out.withdraw, read_link_name);
}

release_note read_note(object_reader& reader)
{
    release_note out;
    out.id = read_required_name(reader, "id");
    out.comment = reader.text("comment", comment_format).value_or("");
    reader.object("routes", [&](object_reader& section)
                  { read_routes(section, out.routes); });
    reader.object("targets", [&](object_reader& section)
                  { read_targets(section, out.targets); });
    reader.object("organisations", [&](object_reader& section)
                  { read_organisations(section, out.organisations); });
    reader.object("links", [&](object_reader& section)
                  { read_links(section, out.links); });
    reader.finish();
    return out;
}

} // namespace

result<release_note> parse_release_note(std::string_view text)
{
    if (text.size() > max_note_bytes)
    {
        return fail(errc::too_large, "$: the note has " +
                                         std::to_string(text.size()) +
                                         " bytes, more than the limit of " +
                                         std::to_string(max_note_bytes) +
                                         "; split it into several notes");
    }
    fault_list faults;
    const auto document = parse_document(text, faults);
    if (!document)
    {
        return fail(errc::parse_error, faults.text());
    }
    object_reader reader(*document, "$", faults);
    release_note out = read_note(reader);
    if (!faults.empty())
    {
        return fail(errc::parse_error, faults.text());
    }
    return out;
}

} // namespace siskinflow
