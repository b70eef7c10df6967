#include "store_protocol.hpp"

#include <siskinflow/store/base64.hpp>

#include <algorithm>
#include <charconv>

using namespace siskinflow;
using nlohmann::json;

namespace standin
{

namespace
{

/// gRPC status codes in the error bodies of the gateway.
constexpr int grpc_invalid_argument = 3;
constexpr int grpc_not_found = 5;
constexpr int grpc_resource_exhausted = 8;
constexpr int grpc_out_of_range = 11;
constexpr int grpc_unavailable = 14;

int grpc_code(int status)
{
    switch (status)
    {
    case 404:
        return grpc_not_found;
    case 429:
        return grpc_resource_exhausted;
    case 503:
        return grpc_unavailable;
    default:
        return grpc_invalid_argument;
    }
}

std::optional<std::string> bytes_field(const json& object, const char* name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_string())
    {
        return std::nullopt;
    }
    auto decoded = base64_decode(field->get_ref<const std::string&>());
    return decoded ? std::optional(std::move(decoded).value()) : std::nullopt;
}

/// @brief Reads a 64-bit number, given as a string or a JSON number.
std::int64_t number_field(const json& object, const char* name)
{
    const auto field = object.find(name);
    std::int64_t out = 0;
    if (field == object.end())
    {
        return out;
    }
    if (field->is_number_integer())
    {
        return field->get<std::int64_t>();
    }
    if (field->is_string())
    {
        const auto& text = field->get_ref<const std::string&>();
        std::from_chars(text.data(), text.data() + text.size(), out);
    }
    return out;
}

json header(store_revision revision)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision)},
            {"raft_term", "1"}};
}

json key_value(const store_value& value)
{
    return {{"key", base64_encode(value.key)},
            {"value", base64_encode(value.value)},
            {"mod_revision", std::to_string(value.mod_revision)}};
}

bool compare_revisions(store_revision left, std::string_view result,
                       store_revision right)
{
    if (result == "GREATER")
    {
        return left > right;
    }
    if (result == "LESS")
    {
        return left < right;
    }
    return result == "NOT_EQUAL" ? left != right : left == right;
}

std::string text_field(const json& object, const char* name,
                       const char* fallback)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_string()
               ? field->get<std::string>()
               : fallback;
}

json event(const revisioned_map::change& change)
{
    if (!change.value)
    {
        return {{"type", "DELETE"},
                {"kv",
                 {{"key", base64_encode(change.key)},
                  {"mod_revision", std::to_string(change.revision)}}}};
    }
    return {{"kv", key_value({change.key, *change.value, change.revision})}};
}

} // namespace

store_answer store_error(int status, std::string_view message)
{
    return {status,
            {{"error", message},
             {"code", grpc_code(status)},
             {"message", message}}};
}

store_protocol::store_protocol(std::size_t max_changes) : data_(max_changes) {}

store_answer store_protocol::range(const json& body,
                                   store_revision stale_revision) const
{
    const auto key = bytes_field(body, "key");
    if (!key || key->empty())
    {
        return store_error(400, "etcdserver: key is not provided");
    }
    const store_revision requested = number_field(body, "revision");
    const store_revision revision = requested != 0 ? requested : stale_revision;
    if (revision != 0 && revision < data_.compacted_revision())
    {
        store_answer out = store_error(
            400, "etcdserver: mvcc: required revision has been compacted");
        out.body["code"] = grpc_out_of_range;
        return out;
    }
    const auto end = bytes_field(body, "range_end").value_or(*key + '\0');
    const auto values = data_.read_range(*key, end, revision);
    const auto limit = static_cast<std::size_t>(
        std::max<std::int64_t>(0, number_field(body, "limit")));
    json kvs = json::array();
    for (const auto& value : values)
    {
        if (limit != 0 && kvs.size() == limit)
        {
            break;
        }
        kvs.push_back(key_value(value));
    }
    store_answer out;
    out.body = {
        {"header", header(revision != 0 ? revision : data_.revision())}};
    // The gateway leaves out empty lists and zero counts.
    if (!values.empty())
    {
        out.body["kvs"] = std::move(kvs);
        out.body["count"] = std::to_string(values.size());
    }
    return out;
}

void store_protocol::attach_to_lease(const json& put, const std::string& key)
{
    for (auto& [id, lease_entry] : leases_)
    {
        lease_entry.keys.erase(key);
    }
    const auto entry = leases_.find(number_field(put, "lease"));
    if (entry != leases_.end())
    {
        entry->second.keys.insert(key);
    }
}

std::optional<store_answer> store_protocol::add_operation(const json& operation,
                                                          writes& out,
                                                          json& responses)
{
    if (!operation.is_object())
    {
        return store_error(400, "etcdserver: malformed operation");
    }
    if (const auto put = operation.find("request_put");
        put != operation.end() && put->is_object())
    {
        const auto key = bytes_field(*put, "key");
        auto value = bytes_field(*put, "value");
        if (!key || key->empty())
        {
            return store_error(400, "etcdserver: key is not provided");
        }
        if (value && value->size() > max_store_value_bytes)
        {
            return store_error(400, "etcdserver: request is too large");
        }
        const std::int64_t lease_id = number_field(*put, "lease");
        if (lease_id != 0 && !leases_.contains(lease_id))
        {
            return store_error(404, "etcdserver: requested lease not found");
        }
        out.emplace_back(*key, std::move(value).value_or(""));
        responses.push_back({{"response_put", json::object()}});
        return std::nullopt;
    }
    if (const auto read = operation.find("request_range");
        read != operation.end() && read->is_object())
    {
        store_answer answer = range(*read, 0);
        if (answer.status != 200)
        {
            return answer;
        }
        responses.push_back({{"response_range", std::move(answer.body)}});
        return std::nullopt;
    }
    return store_error(400, "etcdserver: operation is not supported");
}

bool store_protocol::evaluate_comparison(const json& comparison,
                                         bool& valid) const
{
    const auto key =
        comparison.is_object() ? bytes_field(comparison, "key") : std::nullopt;
    if (!key || text_field(comparison, "target", "VERSION") != "MOD")
    {
        valid = false;
        return false;
    }
    return compare_revisions(data_.mod_revision(*key),
                             text_field(comparison, "result", "EQUAL"),
                             number_field(comparison, "mod_revision"));
}

store_answer store_protocol::txn(const json& body)
{
    static const json none = json::array();
    const auto list = [&body](const char* name) -> const json&
    {
        const auto field = body.find(name);
        return field != body.end() && field->is_array() ? *field : none;
    };
    bool valid = true;
    bool succeeded = true;
    for (const auto& comparison : list("compare"))
    {
        succeeded = evaluate_comparison(comparison, valid) && succeeded;
    }
    if (!valid)
    {
        return store_error(400, "etcdserver: only comparisons of mod_revision "
                                "are supported");
    }
    const json& operations = list(succeeded ? "success" : "failure");
    writes batch;
    json responses = json::array();
    for (const auto& operation : operations)
    {
        if (auto failure = add_operation(operation, batch, responses))
        {
            return *std::move(failure);
        }
    }
    std::set<std::string_view> keys;
    for (const auto& [key, value] : batch)
    {
        if (!keys.insert(key).second)
        {
            return store_error(
                400, "etcdserver: duplicate key given in txn request");
        }
    }
    for (const auto& operation : operations)
    {
        if (operation.contains("request_put"))
        {
            const json& put = operation["request_put"];
            attach_to_lease(put, *bytes_field(put, "key"));
        }
    }
    data_.apply(batch);
    store_answer out;
    out.body = {{"header", header(data_.revision())}};
    if (succeeded)
    {
        out.body["succeeded"] = true;
    }
    if (!responses.empty())
    {
        out.body["responses"] = std::move(responses);
    }
    return out;
}

store_answer store_protocol::put(const json& body)
{
    writes batch;
    json responses = json::array();
    if (auto failure = add_operation({{"request_put", body}}, batch, responses))
    {
        return *std::move(failure);
    }
    attach_to_lease(body, batch.front().first);
    data_.apply(batch);
    return {200, {{"header", header(data_.revision())}}};
}

store_answer store_protocol::lease_grant(const json& body, time_point now)
{
    const std::int64_t ttl = number_field(body, "TTL");
    constexpr std::int64_t max_ttl_s = 86'400;
    if (ttl < 1 || ttl > max_ttl_s)
    {
        return store_error(400, "etcdserver: invalid lease TTL");
    }
    const std::int64_t requested_id = number_field(body, "ID");
    const std::int64_t id = requested_id != 0 ? requested_id : ++last_lease_;
    if (leases_.contains(id))
    {
        return store_error(400, "etcdserver: lease already exists");
    }
    leases_[id] = {ttl, now + std::chrono::seconds(ttl), {}};
    return {200,
            {{"header", header(data_.revision())},
             {"ID", std::to_string(id)},
             {"TTL", std::to_string(ttl)}}};
}

store_answer store_protocol::lease_keepalive(const json& body, time_point now)
{
    const std::int64_t id = number_field(body, "ID");
    json answer = {{"header", header(data_.revision())},
                   {"ID", std::to_string(id)}};
    const auto entry = leases_.find(id);
    // etcd answers without a TTL if the lease has run out.
    if (entry != leases_.end())
    {
        entry->second.expires = now + std::chrono::seconds(entry->second.ttl_s);
        answer["TTL"] = std::to_string(entry->second.ttl_s);
    }
    return {200, {{"result", std::move(answer)}}};
}

void store_protocol::remove_lease(std::int64_t id)
{
    writes batch;
    for (const auto& key : leases_[id].keys)
    {
        batch.emplace_back(key, std::nullopt);
    }
    leases_.erase(id);
    data_.apply(batch);
}

store_answer store_protocol::lease_revoke(const json& body)
{
    const std::int64_t id = number_field(body, "ID");
    if (!leases_.contains(id))
    {
        return store_error(404, "etcdserver: requested lease not found");
    }
    remove_lease(id);
    return {200, {{"header", header(data_.revision())}}};
}

bool store_protocol::expire(time_point now)
{
    const store_revision before = data_.revision();
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease_entry] : leases_)
    {
        if (lease_entry.expires <= now)
        {
            expired.push_back(id);
        }
    }
    for (const std::int64_t id : expired)
    {
        remove_lease(id);
    }
    return data_.revision() != before;
}

std::optional<watch_range> store_protocol::watch(const json& body) const
{
    const auto create = body.find("create_request");
    if (create == body.end() || !create->is_object())
    {
        return std::nullopt;
    }
    const auto key = bytes_field(*create, "key");
    if (!key || key->empty())
    {
        return std::nullopt;
    }
    watch_range out;
    out.begin = *key;
    out.end = bytes_field(*create, "range_end").value_or(*key + '\0');
    const store_revision from = number_field(*create, "start_revision");
    out.from = from > 0 ? from : data_.revision() + 1;
    return out;
}

std::optional<std::string>
store_protocol::watch_line(const watch_range& range) const
{
    const auto changes =
        data_.changes_since(range.from, range.begin, range.end);
    if (changes.empty())
    {
        return std::nullopt;
    }
    json events = json::array();
    for (const auto& change : changes)
    {
        events.push_back(event(change));
    }
    const json line = {{"result",
                        {{"header", header(data_.revision())},
                         {"events", std::move(events)}}}};
    return line.dump() + "\n";
}

std::string store_protocol::progress_line() const
{
    const json line = {{"result", {{"header", header(data_.revision())}}}};
    return line.dump() + "\n";
}

} // namespace standin
