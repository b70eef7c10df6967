#include "kv_service.hpp"

#include <siskinflow/config/duration_text.hpp>
#include <siskinflow/store/base64.hpp>

#include <algorithm>

namespace standin
{

namespace
{

using json = nlohmann::json;
using namespace siskinflow;

/// Items of one page; smaller than the platform's so that tests see pages.
constexpr std::size_t max_page_items = 50;
/// Of the values in one answer to a watch.
constexpr std::size_t max_page_bytes = 1U << 20;

std::string query_value(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name && equals < pair.size())
        {
            return std::string(pair.substr(equals + 1));
        }
    }
    return {};
}

std::int64_t parse_integer(const std::string& text)
{
    return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
}

} // namespace

kv_service::kv_service(const siskinflow::clock& time) : time_(time) {}

void kv_service::respond(const net::exchange_ptr& exchange, int status,
                         const json& body) const
{
    exchange->respond({status,
                       {{"content-type", "application/json"},
                        {"store-era", std::to_string(era_)}},
                       body.dump()});
}

void kv_service::handle(const net::exchange_ptr& exchange)
{
    if (outage_ == kv_outage::silent)
    {
        return;
    }
    if (outage_ == kv_outage::refuse)
    {
        respond(exchange, 503, json::object());
        return;
    }
    dispatch(exchange);
}

void kv_service::dispatch(const net::exchange_ptr& exchange)
{
    const std::string& path = exchange->request().path;
    ++calls_[path.substr(0, path.find('/', 1))];
    const auto id = [&path]
    {
        return static_cast<std::uint64_t>(
            parse_integer(path.substr(path.rfind('/') + 1)));
    };
    if (path == "/kv-range")
    {
        range(exchange);
    }
    else if (path == "/kv-watch")
    {
        watch(exchange);
    }
    else if (path == "/kv-txn")
    {
        txn(exchange);
    }
    else if (path == "/kv-lease")
    {
        grant_lease(exchange);
    }
    else if (path.starts_with("/kv-keep/"))
    {
        renew_lease(exchange, id());
    }
    else if (path.starts_with("/kv-lease-end/"))
    {
        revoke_lease(exchange, id());
    }
    else
    {
        respond(exchange, 404, json::object());
    }
}

json kv_service::to_json(const std::string& key, const item& entry) const
{
    return {{"key", key},
            {"value", entry.value},
            {"revision", entry.revision},
            {"create-rev", entry.create_revision},
            {"lease", entry.lease}};
}

json kv_service::to_json(const event& change) const
{
    if (!change.written)
    {
        return {{"key", change.key},
                {"revision", change.revision},
                {"tombstone", true}};
    }
    return to_json(change.key, *change.written);
}

void kv_service::range(const net::exchange_ptr& exchange)
{
    const std::string& query = exchange->request().query;
    const std::string prefix = query_value(query, "prefix");
    const std::string after = query_value(query, "after");
    json list = json::array();
    bool has_more = false;
    for (const auto& [key, entry] : now_.items)
    {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
        {
            continue;
        }
        if (list.size() == max_page_items)
        {
            has_more = true;
            break;
        }
        list.push_back(to_json(key, entry));
    }
    respond(exchange, 200,
            {{"items", list},
             {"has-more", has_more},
             {"current-rev", now_.revision}});
}

void kv_service::watch(const net::exchange_ptr& exchange)
{
    const std::string& query = exchange->request().query;
    watcher waiting;
    waiting.exchange = exchange;
    waiting.prefix = query_value(query, "prefix");
    waiting.after = parse_integer(query_value(query, "after"));
    waiting.deadline =
        time_.now() +
        std::chrono::milliseconds(parse_integer(query_value(query, "wait-ms")));
    if (waiting.after < now_.compacted || waiting.after > now_.revision)
    {
        respond(exchange, 410, json::object());
        return;
    }
    if (!try_answer_watch(waiting))
    {
        watchers_.push_back(waiting);
    }
}

bool kv_service::try_answer_watch(const watcher& waiting)
{
    json events = json::array();
    std::size_t bytes = 0;
    std::int64_t revision = now_.revision;
    std::int64_t last_revision = waiting.after; // Of the last event.
    for (const event& change : now_.history)
    {
        if (change.revision <= waiting.after ||
            !change.key.starts_with(waiting.prefix))
        {
            continue;
        }
        // The changes of one revision stay together: a reader continues after
        // it.
        if (bytes > max_page_bytes && change.revision > last_revision)
        {
            revision = last_revision;
            break;
        }
        last_revision = change.revision;
        events.push_back(to_json(change));
        bytes += change.written ? change.written->value.size() : 0;
    }
    if (events.empty() && time_.now() < waiting.deadline)
    {
        return false;
    }
    respond(waiting.exchange, 200,
            {{"events", events}, {"current-rev", revision}});
    return true;
}

void kv_service::answer_ready_watchers()
{
    std::erase_if(
        watchers_, [this](const watcher& waiting)
        { return waiting.exchange->done() || try_answer_watch(waiting); });
}

void kv_service::txn(const net::exchange_ptr& exchange)
{
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object())
    {
        respond(exchange, 400, json::object());
        return;
    }
    for (const json& put : body.value("puts", json::array()))
    {
        const std::uint64_t lease = put.value("lease", 0ULL);
        if (lease != 0 && leases_.count(lease) == 0)
        {
            respond(exchange, 404, json::object());
            return;
        }
    }
    const std::int64_t revision = ++now_.revision;
    for (const json& put : body.value("puts", json::array()))
    {
        write(put.value("key", ""), put.value("value", ""),
              put.value("lease", 0ULL), revision);
    }
    for (const json& key : body.value("remove", json::array()))
    {
        erase(key.get<std::string>(), revision);
    }
    respond(exchange, 200, {{"revision", revision}});
    answer_ready_watchers();
}

void kv_service::grant_lease(const net::exchange_ptr& exchange)
{
    const json body = json::parse(exchange->request().body, nullptr, false);
    const auto ttl = parse_duration(
        body.is_object() ? body.value("ttl_time", "") : std::string());
    if (!ttl)
    {
        respond(exchange, 400, json::object());
        return;
    }
    const std::uint64_t id = ++now_.last_lease;
    leases_[id] = {ttl.value(), time_.now() + ttl.value()};
    respond(exchange, 200,
            {{"lease", id}, {"ttl_time", body.value("ttl_time", "")}});
}

void kv_service::renew_lease(const net::exchange_ptr& exchange,
                             std::uint64_t id)
{
    const auto entry = leases_.find(id);
    if (entry == leases_.end())
    {
        respond(exchange, 404, json::object());
        return;
    }
    entry->second.expires = time_.now() + entry->second.ttl;
    respond(exchange, 200, json::object());
}

void kv_service::revoke_lease(const net::exchange_ptr& exchange,
                              std::uint64_t id)
{
    remove_lease(id);
    respond(exchange, 200, json::object());
    answer_ready_watchers();
}

void kv_service::write(const std::string& key, const std::string& base64,
                       std::uint64_t lease, std::int64_t revision)
{
    item& entry = now_.items[key];
    entry.create_revision =
        entry.create_revision == 0 ? revision : entry.create_revision;
    entry.value = base64;
    entry.revision = revision;
    entry.lease = lease;
    now_.history.push_back({revision, key, entry});
}

void kv_service::erase(const std::string& key, std::int64_t revision)
{
    if (now_.items.erase(key) != 0)
    {
        now_.history.push_back({revision, key, std::nullopt});
    }
}

void kv_service::remove_lease(std::uint64_t id)
{
    if (leases_.erase(id) == 0)
    {
        return;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : now_.items)
    {
        if (entry.lease == id)
        {
            keys.push_back(key);
        }
    }
    const std::int64_t revision = ++now_.revision;
    for (const std::string& key : keys)
    {
        erase(key, revision);
    }
}

void kv_service::tick()
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, entry] : leases_)
    {
        if (entry.expires <= time_.now() && outage_ == kv_outage::none)
        {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired)
    {
        remove_lease(id);
    }
    if (outage_ == kv_outage::none)
    {
        answer_ready_watchers();
    }
}

void kv_service::put(const std::string& key, const std::string& value)
{
    write(key, base64_encode(value), 0, ++now_.revision);
    tick();
}

void kv_service::remove(const std::string& key)
{
    erase(key, ++now_.revision);
    tick();
}

void kv_service::set_outage(kv_outage outage)
{
    outage_ = outage;
    if (outage == kv_outage::refuse)
    {
        end_watches(503);
    }
    if (outage == kv_outage::silent)
    {
        // Watches are dropped without an answer.
        watchers_.clear();
    }
}

void kv_service::compact()
{
    now_.compacted = now_.revision;
    now_.history.clear();
    end_watches(410);
}

void kv_service::end_watches(int status)
{
    for (const watcher& waiting : watchers_)
    {
        respond(waiting.exchange, status, json::object());
    }
    watchers_.clear();
}

void kv_service::take_copy()
{
    copy_ = now_;
}

void kv_service::return_to_copy()
{
    now_ = copy_;
    ++era_;
    leases_.clear();
    std::erase_if(now_.items,
                  [](const auto& entry) { return entry.second.lease != 0; });
    end_watches(410);
}

std::size_t kv_service::count(const std::string& prefix) const
{
    return static_cast<std::size_t>(std::count_if(
        now_.items.begin(), now_.items.end(),
        [&](const auto& entry) { return entry.first.starts_with(prefix); }));
}

} // namespace standin
