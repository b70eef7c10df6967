#include "vm_list_service.hpp"

#include <nlohmann/json.hpp>

using namespace siskinflow;
using nlohmann::json;

namespace standin
{

namespace
{

net::http_response json_response(int status, const json& body)
{
    net::http_response out;
    out.status = status;
    out.headers.add("content-type", "application/json");
    out.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return out;
}

net::http_response bad_request(const std::string& message)
{
    return json_response(400, {{"error", message}});
}

} // namespace

vm_list_service::vm_list_service(const siskinflow::clock& time, duration lag)
    : time_(time), lag_(lag)
{
    versions_.emplace_back(time.now() - lag, vm_states{});
}

net::http_response vm_list_service::handle(std::string_view method,
                                           std::string_view path,
                                           std::string_view body)
{
    if (method == "GET" && path == "/v1/vms")
    {
        ++calls_;
        json vms = json::array();
        for (const auto& [name, state] : visible_states())
        {
            vms.push_back({{"name", name}, {"state", state}});
        }
        return json_response(200, {{"vms", std::move(vms)}});
    }
    if (method == "POST" && path == "/standin/vms")
    {
        return replace_list(body);
    }
    if (method == "GET" && path == "/standin/counters")
    {
        return json_response(200, {{"calls", calls_}});
    }
    return json_response(404, {{"error", "not found"}});
}

net::http_response vm_list_service::replace_list(std::string_view body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("vms") ||
        !document["vms"].is_array())
    {
        return bad_request(R"(give {"vms":[{"name":"vm1","state":"live"}]})");
    }
    vm_states next;
    for (const auto& item : document["vms"])
    {
        const bool has_name = item.is_object() && item.contains("name") &&
                              item["name"].is_string();
        const json state = has_name ? item.value("state", json()) : json();
        if (state != "live" && state != "leaving")
        {
            return bad_request("each VM needs a name and the state live or "
                               "leaving; leave out VMs that are gone");
        }
        next[item["name"].get<std::string>()] = state.get<std::string>();
    }
    versions_.emplace_back(time_.now(), std::move(next));
    return json_response(200, json::object());
}

const vm_list_service::vm_states& vm_list_service::visible_states()
{
    const time_point visible_at = time_.now() - lag_;
    while (versions_.size() > 1 && versions_[1].first <= visible_at)
    {
        versions_.pop_front();
    }
    return versions_.front().second;
}

} // namespace standin
