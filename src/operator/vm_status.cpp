#include <siskinflow/operator/vm_status.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace siskinflow
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_status_bytes = 4 * 1024 * 1024;
constexpr int http_ok = 200;

/// @brief A field if it exists, otherwise null.
const json& field(const json& object, const char* name)
{
    static const json null_value;
    if (!object.is_object())
    {
        return null_value;
    }
    const auto it = object.find(name);
    return it == object.end() ? null_value : *it;
}

std::string string_field(const json& object, const char* name)
{
    const json& value = field(object, name);
    return value.is_string() ? value.get<std::string>() : std::string();
}

template <class Integer>
Integer integer_field(const json& object, const char* name, Integer fallback)
{
    const json& value = field(object, name);
    return value.is_number_integer() ? value.get<Integer>() : fallback;
}

bool bool_field(const json& object, const char* name)
{
    return field(object, name) == true;
}

/// @brief Calls `read` for each object of a list.
template <class Read>
void for_each_object(const json& object, const char* name, Read read)
{
    const json& list = field(object, name);
    if (!list.is_array())
    {
        return;
    }
    for (const auto& item : list)
    {
        if (item.is_object())
        {
            read(item);
        }
    }
}

reported_member read_member(const json& item)
{
    reported_member out;
    out.vm = string_field(item, "vm");
    out.heard_ms_ago = integer_field<std::int64_t>(item, "heard_ms_ago", -1);
    out.config_revision =
        integer_field<store_revision>(item, "config_revision", 0);
    out.fresh = bool_field(item, "fresh");
    return out;
}

reported_target read_target(const json& item)
{
    reported_target out;
    out.name = string_field(item, "name");
    out.state = string_field(item, "state");
    out.in_flight = integer_field<std::int64_t>(item, "in_flight", 0);
    if (const json& done = field(item, "draining_done"); done.is_boolean())
    {
        out.draining_done = done.get<bool>();
    }
    return out;
}

/// @brief State of one status query to all entry VMs.
struct fleet_query
{
    fleet_view view;
    std::vector<std::shared_ptr<net::http_call>> calls;
    std::size_t pending_calls = 0;
    std::function<void(fleet_view)> done;

    void add_response(const net::endpoint& address,
                      const net::fetch_result& answer)
    {
        const auto& response = answer.response;
        if (answer.outcome != net::call_outcome::complete)
        {
            view.unresponsive.push_back(
                {address, std::string(name(answer.outcome))});
        }
        else if (response.status != http_ok)
        {
            view.unresponsive.push_back(
                {address, "status " + std::to_string(response.status)});
        }
        else if (auto status = parse_vm_status(response.body); status)
        {
            view.statuses.push_back(std::move(status).value());
        }
        else
        {
            view.unresponsive.push_back({address, status.error().message});
        }
    }
};

} // namespace

result<vm_status> parse_vm_status(std::string_view body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return fail(errc::parse_error, "the status is not a JSON object");
    }
    vm_status out;
    out.vm = string_field(document, "vm");
    out.incarnation = string_field(document, "incarnation");
    out.state = string_field(document, "state");
    out.fresh = bool_field(document, "fresh");
    const json& config = field(document, "config");
    out.config_revision = integer_field<store_revision>(config, "revision", 0);
    out.config_sequence = integer_field<std::uint64_t>(config, "sequence", 0);
    out.note_id = string_field(config, "note_id");
    out.in_force = bool_field(config, "in_force");
    out.since_ms = integer_field<std::int64_t>(config, "since_ms", -1);
    const json& fleet = field(document, "fleet");
    out.epoch = integer_field<std::uint64_t>(fleet, "epoch", 0);
    for_each_object(fleet, "members",
                    [&](const json& item)
                    { out.members.push_back(read_member(item)); });
    for_each_object(document, "targets",
                    [&](const json& item)
                    { out.targets.push_back(read_target(item)); });
    return out;
}

std::set<std::string> fleet_view::vms() const
{
    std::set<std::string> out;
    for (const auto& status : statuses)
    {
        out.insert(status.vm);
        for (const auto& member : status.members)
        {
            out.insert(member.vm);
        }
    }
    out.erase("");
    return out;
}

bool fleet_view::in_force(store_revision revision) const
{
    return std::any_of(statuses.begin(), statuses.end(),
                       [revision](const vm_status& status) {
                           return status.in_force &&
                                  status.config_revision >= revision;
                       });
}

const vm_status* fleet_view::newest_in_force() const
{
    const vm_status* out = nullptr;
    for (const auto& status : statuses)
    {
        const bool newer = out == nullptr ||
                           status.config_revision > out->config_revision ||
                           (status.config_revision == out->config_revision &&
                            status.since_ms > out->since_ms);
        if (status.in_force && newer)
        {
            out = &status;
        }
    }
    return out;
}

store_revision fleet_view::newest_known() const
{
    store_revision out = 0;
    for (const auto& vm : vms())
    {
        out = std::max(out, revision_of(vm));
    }
    return out;
}

store_revision fleet_view::revision_of(std::string_view vm) const
{
    if (const vm_status* own = find(vm))
    {
        return own->config_revision;
    }
    store_revision out = 0;
    for (const auto& status : statuses)
    {
        for (const auto& member : status.members)
        {
            out = member.vm == vm ? std::max(out, member.config_revision) : out;
        }
    }
    return out;
}

std::vector<std::string> fleet_view::lagging(store_revision revision) const
{
    std::vector<std::string> out;
    for (const auto& vm : vms())
    {
        if (revision_of(vm) < revision)
        {
            out.push_back(vm);
        }
    }
    return out;
}

const vm_status* fleet_view::find(std::string_view vm) const
{
    const auto it =
        std::find_if(statuses.begin(), statuses.end(),
                     [vm](const auto& status) { return status.vm == vm; });
    return it == statuses.end() ? nullptr : &*it;
}

void query_fleet_status(net::http_caller& caller,
                        const std::vector<net::endpoint>& entries,
                        duration timeout, std::function<void(fleet_view)> done)
{
    auto query = std::make_shared<fleet_query>();
    query->pending_calls = entries.size();
    query->done = std::move(done);
    for (const auto& address : entries)
    {
        net::client_request request;
        request.peer = address;
        request.target = "/siskinflow/v1/status";
        request.timeout = timeout;
        request.connect_timeout = std::min(request.connect_timeout, timeout);
        query->calls.push_back(net::fetch(
            caller, std::move(request), max_status_bytes,
            [query, address](const net::fetch_result& answer)
            {
                query->add_response(address, answer);
                if (--query->pending_calls == 0)
                {
                    // The calls own this callback, which owns
                    // `query`; taking them out breaks the cycle.
                    const auto finished_calls = std::move(query->calls);
                    query->done(std::move(query->view));
                }
            }));
    }
}

} // namespace siskinflow
