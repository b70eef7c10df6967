#include "store_service.hpp"

#include <algorithm>

using namespace siskinflow;
using nlohmann::json;

namespace standin
{

namespace
{

/// A disconnected caller is detected only by writing to it.
constexpr duration progress_interval = std::chrono::milliseconds(500);

constexpr std::int64_t max_delay_ms = 600'000;

const std::map<std::string, std::string>& call_kinds()
{
    static const std::map<std::string, std::string> value = {
        {"/v3/kv/range", "range"},
        {"/v3/kv/put", "put"},
        {"/v3/kv/txn", "txn"},
        {"/v3/watch", "watch"},
        {"/v3/lease/grant", "lease_grant"},
        {"/v3/lease/keepalive", "lease_keepalive"},
        {"/v3/lease/revoke", "lease_revoke"},
        {"/v3/kv/lease/revoke", "lease_revoke"}};
    return value;
}

bool is_read(const std::string& kind)
{
    return kind == "range" || kind == "watch";
}

net::http_response response(const store_answer& value)
{
    net::http_response out;
    out.status = value.status;
    out.headers.add("content-type", "application/json");
    out.body =
        value.body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return out;
}

/// @brief Reads `outage`: false, true (refuse), "none", "refuse" or "silent".
bool read_outage(const json& value, store_outage& out)
{
    if (value == false || value == "none")
    {
        out = store_outage::none;
        return true;
    }
    if (value == true || value == "refuse")
    {
        out = store_outage::refuse;
        return true;
    }
    out = store_outage::silent;
    return value == "silent";
}

/// @brief Reads `stale`: false, true (the newest revision), or a revision.
bool read_stale(const json& value, store_revision newest, store_revision& out)
{
    if (value.is_boolean())
    {
        out = value == true ? newest : 0;
        return true;
    }
    if (!value.is_number_unsigned())
    {
        return false;
    }
    out = value.get<store_revision>();
    return out <= newest;
}

bool read_delay(const json& value, duration& out)
{
    if (!value.is_number_unsigned() || value > max_delay_ms)
    {
        return false;
    }
    out = std::chrono::milliseconds(value.get<std::int64_t>());
    return true;
}

bool read_flag(const json& value, bool& out)
{
    out = value == true;
    return value.is_boolean();
}

/// @brief Reads faults; an absent field means that the fault is off.
/// @return the name of the first invalid field, or empty text
std::string read_faults(const json& body, store_revision newest,
                        store_service_faults& out)
{
    if (!body.is_object())
    {
        return "the document";
    }
    for (const auto& [name, value] : body.items())
    {
        const bool valid =
            (name == "outage" && read_outage(value, out.outage)) ||
            (name == "delay_ms" && read_delay(value, out.delay)) ||
            (name == "lose_replies" && read_flag(value, out.lose_replies)) ||
            (name == "stale" && read_stale(value, newest, out.stale_revision));
        if (!valid)
        {
            return "field '" + name + "'";
        }
    }
    return {};
}

} // namespace

/// @brief An open watch and its unsent output.
struct store_service::watcher
{
    net::exchange_ptr exchange;
    watch_range range;
    std::string pending;
    bool write_pending = false; ///< A write has not drained yet.
    time_point last_written;

    void flush()
    {
        if (!write_pending && !pending.empty() && !exchange->done())
        {
            write_pending = true;
            exchange->write(std::exchange(pending, {}));
        }
    }
};

bool store_service::rate_limit::try_acquire(time_point now)
{
    tokens = std::min(per_s, tokens + to_seconds(now - refilled_at) * per_s);
    refilled_at = now;
    if (tokens < 1)
    {
        return false;
    }
    tokens -= 1;
    return true;
}

store_service::store_service(const siskinflow::clock& time,
                             delay_function run_after,
                             const store_limits& limits)
    : time_(time),
      run_after_(std::move(run_after)), writes_{limits.max_writes_per_s,
                                                limits.max_writes_per_s,
                                                time.now()},
      reads_{limits.max_reads_per_s, limits.max_reads_per_s, time.now()}
{
}

store_service::~store_service() = default;

void store_service::handle(const net::exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    if (request.path == "/standin/counters" && request.method == "GET")
    {
        exchange->respond(response({200, counters()}));
        return;
    }
    if (request.path == "/standin/faults" && request.method == "POST")
    {
        set_faults(exchange);
        return;
    }
    const auto kind = call_kinds().find(request.path);
    if (kind == call_kinds().end() || request.method != "POST")
    {
        exchange->respond(response(store_error(404, "Not Found")));
        return;
    }
    dispatch(exchange, kind->second);
}

void store_service::set_faults(const net::exchange_ptr& exchange)
{
    const json body = json::parse(exchange->request().body, nullptr, false);
    store_service_faults faults;
    const std::string invalid_part =
        read_faults(body, protocol_.data().revision(), faults);
    if (!invalid_part.empty())
    {
        exchange->respond(response(store_error(
            400, invalid_part + " is not valid; give an object with outage "
                                "(none|refuse|silent), delay_ms, lose_replies "
                                "(true|false), stale (true|false|revision)")));
        return;
    }
    faults_ = faults;
    if (faults_.outage == store_outage::refuse)
    {
        abort_watches();
    }
    deliver_changes();
    exchange->respond(response({200, json::object()}));
}

void store_service::dispatch(const net::exchange_ptr& exchange,
                             const std::string& kind)
{
    ++counters_["calls"];
    ++counters_[kind];
    if (faults_.outage == store_outage::refuse)
    {
        ++counters_["refused_by_outage"];
        exchange->respond(response(store_error(503, "etcdserver: no leader")));
        return;
    }
    if (faults_.outage == store_outage::silent)
    {
        ++counters_["unanswered"];
        return;
    }
    const bool read = is_read(kind);
    if (!(read ? reads_ : writes_).try_acquire(time_.now()))
    {
        ++counters_[read ? "refused_reads" : "refused_writes"];
        exchange->respond(
            response(store_error(429, "etcdserver: too many requests")));
        return;
    }
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object())
    {
        answer(exchange, store_error(400, "request is not a JSON object"));
        return;
    }
    tick();
    if (kind == "watch")
    {
        start_watch(exchange, body);
        return;
    }
    const store_answer value = execute(kind, body);
    if (faults_.lose_replies && !read)
    {
        abort_reply(exchange, value);
    }
    else
    {
        answer(exchange, value);
    }
    deliver_changes();
}

store_answer store_service::execute(const std::string& kind, const json& body)
{
    if (kind == "range")
    {
        return protocol_.range(body, faults_.stale_revision);
    }
    if (kind == "put")
    {
        return protocol_.put(body);
    }
    if (kind == "txn")
    {
        return protocol_.txn(body);
    }
    if (kind == "lease_grant")
    {
        return protocol_.lease_grant(body, time_.now());
    }
    if (kind == "lease_keepalive")
    {
        return protocol_.lease_keepalive(body, time_.now());
    }
    return protocol_.lease_revoke(body);
}

void store_service::abort_reply(const net::exchange_ptr& exchange,
                                const store_answer& value)
{
    ++counters_["lost_replies"];
    const net::http_response whole = response(value);
    exchange->start(whole.status, whole.headers, whole.body.size());
    exchange->abort();
}

void store_service::answer(const net::exchange_ptr& exchange,
                           const store_answer& value)
{
    net::http_response whole = response(value);
    if (faults_.delay == duration{0})
    {
        exchange->respond(std::move(whole));
        return;
    }
    run_after_(faults_.delay, [exchange, whole = std::move(whole)]
               { exchange->respond(whole); });
}

void store_service::start_watch(const net::exchange_ptr& exchange,
                                const json& body)
{
    const auto range = protocol_.watch(body);
    if (!range)
    {
        answer(exchange, store_error(400, "malformed create_request"));
        return;
    }
    if (range->from <= protocol_.data().compacted_revision())
    {
        answer(exchange,
               {200,
                {{"result",
                  {{"canceled", true},
                   {"compact_revision",
                    std::to_string(protocol_.data().compacted_revision())}}}}});
        return;
    }
    net::http_headers headers;
    headers.add("content-type", "application/json");
    exchange->start(200, headers, std::nullopt);
    auto item = std::make_shared<watcher>();
    item->exchange = exchange;
    item->last_written = time_.now();
    item->range = *range;
    item->pending = R"({"result":{"created":true}})"
                    "\n";
    watchers_.push_back(item);
    exchange->on_drain(
        [weak = std::weak_ptr(item)]
        {
            if (const auto watch = weak.lock())
            {
                watch->write_pending = false;
                watch->flush();
            }
        });
    exchange->on_cancel(
        [this, alive = std::weak_ptr(alive_), weak = std::weak_ptr(item)]
        {
            const auto watch = weak.lock();
            if (watch && alive.lock())
            {
                watchers_.remove(watch);
            }
        });
    item->flush();
    deliver_changes_to(item);
}

void store_service::deliver_changes()
{
    const auto watchers = watchers_;
    for (const auto& item : watchers)
    {
        deliver_changes_to(item);
    }
}

void store_service::deliver_changes_to(const std::shared_ptr<watcher>& item)
{
    if (faults_.outage == store_outage::silent || faults_.stale_revision != 0)
    {
        return;
    }
    auto line = protocol_.watch_line(item->range);
    item->range.from =
        std::max(item->range.from, protocol_.data().revision() + 1);
    if (!line)
    {
        return;
    }
    const auto send = [weak = std::weak_ptr(item), text = *std::move(line)]
    {
        if (const auto watch = weak.lock())
        {
            watch->pending += text;
            watch->flush();
        }
    };
    if (faults_.delay == duration{0})
    {
        send();
        return;
    }
    run_after_(faults_.delay, send);
}

void store_service::abort_watches()
{
    const auto watchers = std::exchange(watchers_, {});
    for (const auto& item : watchers)
    {
        item->exchange->abort();
    }
}

void store_service::tick()
{
    if (protocol_.expire(time_.now()))
    {
        deliver_changes();
    }
    if (faults_.outage == store_outage::none)
    {
        send_progress();
    }
}

void store_service::send_progress()
{
    const auto watchers = watchers_;
    for (const auto& item : watchers)
    {
        if (time_.now() - item->last_written >= progress_interval)
        {
            item->last_written = time_.now();
            item->pending += protocol_.progress_line();
            item->flush();
        }
    }
}

json store_service::counters() const
{
    json out = counters_;
    if (out.is_null())
    {
        out = json::object();
    }
    out["watches_waiting"] = watchers_.size();
    out["revision"] = protocol_.data().revision();
    return out;
}

} // namespace standin
