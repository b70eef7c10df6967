#include "etcd_json.hpp"

#include <siskinflow/store/base64.hpp>
#include <siskinflow/store/revisioned_map.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace siskinflow::etcd_json
{

namespace
{

using nlohmann::json;

/// Field of a cancelled watch whose start revision was compacted.
constexpr const char* compacted_field = "compact_revision";

std::string base64_field(const json& object, const char* name, bool& valid)
{
    const auto field = object.find(name);
    if (field == object.end())
    {
        return {}; // The gateway leaves out empty fields.
    }
    auto decoded = field->is_string()
                       ? base64_decode(field->get_ref<const std::string&>())
                       : result<std::string>(fail(errc::parse_error, {}));
    valid = valid && decoded.has_value();
    return decoded ? std::move(decoded).value() : std::string();
}

/// @brief Reads a revision. The gateway writes 64-bit numbers as strings.
std::optional<store_revision> revision_field(const json& object,
                                             const char* name)
{
    const auto field = object.find(name);
    if (field == object.end())
    {
        return std::nullopt;
    }
    if (field->is_number_unsigned())
    {
        return field->get<store_revision>();
    }
    if (!field->is_string())
    {
        return std::nullopt;
    }
    const auto& text = field->get_ref<const std::string&>();
    store_revision out = 0;
    const auto [rest, code] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    const bool fully_parsed = rest == text.data() + text.size();
    return code == std::errc() && fully_parsed && out >= 0 ? std::optional(out)
                                                           : std::nullopt;
}

std::optional<store_value> key_value(const json& object)
{
    if (!object.is_object())
    {
        return std::nullopt;
    }
    bool valid = true;
    store_value out;
    out.key = base64_field(object, "key", valid);
    out.value = base64_field(object, "value", valid);
    out.mod_revision = revision_field(object, "mod_revision").value_or(0);
    if (!valid || out.key.empty() || out.mod_revision == 0)
    {
        return std::nullopt;
    }
    return out;
}

auto malformed_answer(const char* operation)
{
    return fail(errc::parse_error, std::string("the store's answer to a ") +
                                       operation + " is malformed");
}

/// @brief Returns an object field, or null if it is absent or has another type.
const json* object_field(const json& object, const char* name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_object() ? &*field : nullptr;
}

/// @brief Returns an array field, an empty array if it is absent, or null if
/// it has another type.
const json* array_field(const json& object, const char* name)
{
    static const json empty = json::array();
    const auto field = object.find(name);
    if (field == object.end())
    {
        return &empty;
    }
    return field->is_array() ? &*field : nullptr;
}

std::string error_message(const json& value)
{
    const auto field = value.is_object() ? value.find("message") : value.end();
    return value.is_object() && field != value.end() && field->is_string()
               ? field->get<std::string>()
               : "no reason given";
}

json put_operation(const std::string& key, const std::string& value)
{
    return {{"request_put",
             {{"key", base64_encode(key)}, {"value", base64_encode(value)}}}};
}

result<watch_message> parse_events(const json& events)
{
    watch_message out;
    for (const auto& event : events)
    {
        if (!event.is_object() || object_field(event, "kv") == nullptr)
        {
            return malformed_answer("watch");
        }
        const auto type = event.find("type");
        if (type != event.end() && *type == "DELETE")
        {
            continue;
        }
        auto value = key_value(event["kv"]);
        if (!value)
        {
            return malformed_answer("watch");
        }
        out.changes.push_back(*std::move(value));
    }
    return out;
}

} // namespace

std::string range_body(std::string_view key, std::string_view end)
{
    json body = {{"key", base64_encode(key)}};
    if (!end.empty())
    {
        body["range_end"] = base64_encode(end);
    }
    return body.dump();
}

std::string swap_body(const swap_request& request)
{
    json puts = json::array();
    for (const auto& [key, value] : request.puts)
    {
        puts.push_back(put_operation(key, value));
    }
    // A key that does not exist has mod_revision 0.
    const json body = {{"compare",
                        {{{"key", base64_encode(request.key)},
                          {"target", "MOD"},
                          {"result", "EQUAL"},
                          {"mod_revision", std::to_string(request.expected)}}}},
                       {"success", std::move(puts)}};
    return body.dump();
}

std::string watch_body(const std::string& key, store_revision from)
{
    json create = {{"key", base64_encode(key)}};
    if (key.ends_with('/'))
    {
        create["range_end"] = base64_encode(prefix_end(key));
    }
    if (from != 0)
    {
        create["start_revision"] = std::to_string(from);
    }
    return json{{"create_request", std::move(create)}}.dump();
}

result<std::vector<store_value>> parse_range(std::string_view answer)
{
    const json document = json::parse(answer, nullptr, false);
    if (!document.is_object())
    {
        return malformed_answer("read");
    }
    const json* values = array_field(document, "kvs");
    if (values == nullptr || object_field(document, "header") == nullptr)
    {
        return malformed_answer("read");
    }
    std::vector<store_value> out;
    for (const auto& item : *values)
    {
        auto value = key_value(item);
        if (!value)
        {
            return malformed_answer("read");
        }
        out.push_back(*std::move(value));
    }
    return out;
}

result<store_revision> parse_swap(std::string_view answer)
{
    const json document = json::parse(answer, nullptr, false);
    const json* header =
        document.is_object() ? object_field(document, "header") : nullptr;
    if (header == nullptr)
    {
        return malformed_answer("write");
    }
    const auto revision = revision_field(*header, "revision");
    const auto succeeded = document.find("succeeded");
    // The gateway leaves out fields that are false.
    if (succeeded == document.end() || *succeeded == false)
    {
        return fail(errc::conflict,
                    "another write came first; the store is at revision " +
                        std::to_string(revision.value_or(0)));
    }
    if (*succeeded != true || !revision)
    {
        return malformed_answer("write");
    }
    return *revision;
}

result<watch_message> parse_watch(std::string_view line)
{
    const json document = json::parse(line, nullptr, false);
    if (!document.is_object())
    {
        return malformed_answer("watch");
    }
    if (document.contains("error"))
    {
        watch_message out;
        out.end =
            error{errc::unavailable, "the store ended the watch: " +
                                         error_message(document["error"])};
        return out;
    }
    const json* content = object_field(document, "result");
    if (content == nullptr)
    {
        return malformed_answer("watch");
    }
    const auto canceled = content->find("canceled");
    if (canceled != content->end() && *canceled == true)
    {
        const auto compacted = revision_field(*content, compacted_field);
        watch_message out;
        out.end = error{compacted ? errc::stale : errc::unavailable,
                        compacted ? "the start revision of the watch has been "
                                    "compacted; read the key again"
                                  : "the store cancelled the watch"};
        return out;
    }
    const json* events = array_field(*content, "events");
    return events == nullptr ? malformed_answer("watch")
                             : parse_events(*events);
}

} // namespace siskinflow::etcd_json
