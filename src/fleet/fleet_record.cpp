#include <siskinflow/fleet/fleet_record.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <unordered_map>

namespace siskinflow
{

namespace
{

using nlohmann::json;

json to_document(const member& item)
{
    return {{"incarnation", to_string(item.incarnation)},
            {"vm", item.vm},
            {"region", item.region},
            {"failure_domain", item.failure_domain},
            {"http", net::to_string(item.http)},
            {"control", net::to_string(item.control)},
            {"site", item.site}};
}

json to_document(const std::vector<member>& members)
{
    json out = json::array();
    for (const member& item : members)
    {
        out.push_back(to_document(item));
    }
    return out;
}

using members_by_id = std::unordered_map<incarnation_id, const member*>;

members_by_id index_by_id(const std::vector<member>& members)
{
    members_by_id out;
    for (const member& item : members)
    {
        out.emplace(item.incarnation, &item);
    }
    return out;
}

/// Writes only the incarnation of a previous member that has not changed. A
/// record is pushed to every VM, and during a change nearly all its members
/// are in both lists.
json previous_members_document(const fleet_record& record)
{
    const members_by_id current = index_by_id(record.members);
    json out = json::array();
    for (const member& item : record.previous_members)
    {
        const auto it = current.find(item.incarnation);
        if (it != current.end() && *it->second == item)
        {
            out.push_back(to_string(item.incarnation));
        }
        else
        {
            out.push_back(to_document(item));
        }
    }
    return out;
}

/// @brief Reads fields of one JSON object and keeps the first error.
class field_reader
{
public:
    field_reader(const json& object, std::string path)
        : object_(object), path_(std::move(path))
    {
    }

    std::string text(const char* field)
    {
        auto it = object_.find(field);
        if (it == object_.end() || !it->is_string())
        {
            record_error(field, "is missing or not a string");
            return {};
        }
        return it->get<std::string>();
    }

    /// @brief Text that is missing in records of earlier versions.
    std::string optional_text(const char* field)
    {
        return object_.contains(field) ? text(field) : std::string();
    }

    net::endpoint endpoint(const char* field)
    {
        auto parsed = net::parse_endpoint(text(field));
        if (!parsed)
        {
            record_error(field, "is not an endpoint");
            return {};
        }
        return parsed.value();
    }

    incarnation_id incarnation(const char* field)
    {
        auto parsed = parse_incarnation_id(text(field));
        if (!parsed)
        {
            record_error(field, "is not an incarnation id");
            return {};
        }
        return parsed.value();
    }

    const std::optional<std::string>& first_error() const
    {
        return first_error_;
    }

private:
    void record_error(const char* field, const char* what)
    {
        if (!first_error_)
        {
            first_error_ = "fleet record field '" + path_ + field + "' " + what;
        }
    }

    const json& object_;
    std::string path_;
    std::optional<std::string> first_error_;
};

result<member> parse_member(const json& object, const std::string& path)
{
    if (!object.is_object())
    {
        return fail(errc::parse_error,
                    "fleet record field '" + path + "' is not an object");
    }
    field_reader fields(object, path + ".");
    member out;
    out.incarnation = fields.incarnation("incarnation");
    out.vm = fields.text("vm");
    out.region = fields.text("region");
    out.failure_domain = fields.text("failure_domain");
    out.http = fields.endpoint("http");
    out.control = fields.endpoint("control");
    out.site = fields.optional_text("site");
    if (fields.first_error())
    {
        return fail(errc::parse_error, *fields.first_error());
    }
    return out;
}

/// Finds a previous member that is given by its incarnation only.
result<member> find_current_member(const std::string& name,
                                   const members_by_id& current,
                                   const std::string& path)
{
    const auto id = parse_incarnation_id(name);
    const auto it = id ? current.find(id.value()) : current.end();
    if (it == current.end())
    {
        return fail(errc::parse_error, "fleet record field '" + path +
                                           "' names no current member");
    }
    return *it->second;
}

/// @param current members that items may refer to by incarnation
result<std::vector<member>> parse_members(const json& document,
                                          const std::string& field,
                                          const members_by_id& current)
{
    auto it = document.find(field);
    if (it == document.end() || !it->is_array())
    {
        return fail(errc::parse_error, "fleet record field '" + field +
                                           "' is missing or not an array");
    }
    std::vector<member> out;
    for (const json& item : *it)
    {
        const std::string path = field + "[" + std::to_string(out.size()) + "]";
        auto parsed =
            item.is_string() && !current.empty()
                ? find_current_member(item.get<std::string>(), current, path)
                : parse_member(item, path);
        if (!parsed)
        {
            return fail(parsed.error().code, parsed.error().message);
        }
        out.push_back(std::move(parsed.value()));
    }
    return out;
}

std::uint64_t rendezvous_weight(const member& candidate, std::string_view key)
{
    const std::uint64_t seed =
        candidate.incarnation.high ^ candidate.incarnation.low;
    return stable_hash(key, seed);
}

template <class Predicate>
const member* highest_weight_member(const std::vector<member>& members,
                                    std::string_view key, Predicate is_eligible)
{
    const member* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const member& candidate : members)
    {
        if (!is_eligible(candidate))
        {
            continue;
        }
        const std::uint64_t weight = rendezvous_weight(candidate, key);
        // The id breaks ties between equal weights, so that all VMs agree.
        if (best == nullptr || weight > best_weight ||
            (weight == best_weight &&
             candidate.incarnation < best->incarnation))
        {
            best = &candidate;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

const member* fleet_record::find(const incarnation_id& id) const
{
    auto it = std::find_if(members.begin(), members.end(),
                           [&id](const member& item)
                           { return item.incarnation == id; });
    return it == members.end() ? nullptr : &*it;
}

std::string to_json(const fleet_record& record)
{
    const json document = {
        {"epoch", record.epoch},
        {"write_id", record.write_id},
        {"members", to_document(record.members)},
        {"previous_members", previous_members_document(record)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<fleet_record> parse_fleet_record(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return fail(errc::parse_error, "the fleet record is no JSON object");
    }
    auto epoch = document.find("epoch");
    if (epoch == document.end() || !epoch->is_number_unsigned())
    {
        return fail(errc::parse_error, "fleet record field 'epoch' is missing "
                                       "or not a whole number");
    }
    auto write_id = document.find("write_id");
    if (write_id == document.end() || !write_id->is_string())
    {
        return fail(errc::parse_error, "fleet record field 'write_id' is "
                                       "missing or not a string");
    }
    auto members = parse_members(document, "members", {});
    if (!members)
    {
        return fail(members.error().code, members.error().message);
    }
    auto previous = parse_members(document, "previous_members",
                                  index_by_id(members.value()));
    if (!previous)
    {
        return fail(previous.error().code, previous.error().message);
    }
    fleet_record out;
    out.epoch = epoch->get<std::uint64_t>();
    out.write_id = write_id->get<std::string>();
    out.members = std::move(members.value());
    out.previous_members = std::move(previous.value());
    return out;
}

const member* rendezvous_owner(const fleet_record& record, std::string_view key,
                               std::string_view region,
                               std::string_view failure_domain)
{
    const member* best = nullptr;
    if (!failure_domain.empty())
    {
        best = highest_weight_member(
            record.members, key,
            [failure_domain](const member& candidate)
            { return candidate.failure_domain == failure_domain; });
    }
    if (best == nullptr && !region.empty())
    {
        best = highest_weight_member(record.members, key,
                                     [region](const member& candidate)
                                     { return candidate.region == region; });
    }
    if (best == nullptr)
    {
        best = highest_weight_member(record.members, key,
                                     [](const member&) { return true; });
    }
    return best;
}

} // namespace siskinflow
