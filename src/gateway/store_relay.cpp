#include "store_relay.hpp"

#include <siskinflow/control/codec.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

/// Time between two checks of the waiting requests. They end within this time
/// once this VM may have missed a change.
constexpr duration check_interval = std::chrono::milliseconds(100);
/// Time between two calls that bring a log to the store's present revision.
constexpr duration catch_up_interval = std::chrono::seconds(2);
constexpr std::size_t max_request_bytes = 1024;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_stale = 410;
constexpr int status_unavailable = 503;

} // namespace

store_relay::store_relay(net::event_loop& loop, const incarnation_id& self,
                         std::function<bool()> current)
    : loop_(loop), self_(self), current_(std::move(current))
{
}

result<void> store_relay::listen(const net::endpoint& address,
                                 std::size_t max_connections)
{
    net::http_server_options options;
    options.max_body_bytes = max_request_bytes;
    options.max_connections = max_connections;
    auto opened = net::http_server::listen(
        loop_, address, options,
        [this](const net::exchange_ptr& exchange) { on_request(exchange); });
    if (!opened)
    {
        return opened.error();
    }
    server_ = std::move(opened).value();
    timer_ = loop_.every(check_interval, [this] { on_recorded(); });
    return ok();
}

void store_relay::add(std::string prefix, const change_log& log,
                      std::function<void()> catch_up)
{
    prefixes_[std::move(prefix)] = {&log, std::move(catch_up), {}};
}

void store_relay::catch_up(relayed_prefix& entry)
{
    const time_point now = loop_.now();
    if (now - entry.caught_up_at >= catch_up_interval)
    {
        entry.caught_up_at = now;
        entry.catch_up();
    }
}

void store_relay::on_request(const net::exchange_ptr& exchange)
{
    const auto envelope =
        control::decode_header(exchange->request().body, max_request_bytes);
    if (!envelope)
    {
        refuse(exchange, status_bad_request);
        return;
    }
    if (envelope.value().type == control::message_type::store_changes_request)
    {
        // A VM of an earlier build, which knows no eras, reads the store
        // itself.
        refuse(exchange, status_unavailable);
        return;
    }
    auto message =
        control::decode_payload<store_changes_request>(envelope.value());
    if (!message || prefixes_.count(message.value().prefix) == 0)
    {
        refuse(exchange, status_bad_request);
        return;
    }
    const time_point ends_at =
        loop_.now() + std::chrono::milliseconds(message.value().wait_ms);
    if (!answer(exchange, message.value(), ends_at > loop_.now()))
    {
        waiting_.push_back({exchange, std::move(message).value(), ends_at});
    }
}

bool store_relay::answer(const net::exchange_ptr& exchange,
                         const store_changes_request& message, bool may_wait)
{
    relayed_prefix& entry = prefixes_.at(message.prefix);
    const change_log& log = *entry.log;
    if (log.position() == store_position() || !current_())
    {
        refuse(exchange, status_unavailable);
        return true;
    }
    if (message.list)
    {
        respond(exchange, log.listing());
        return true;
    }
    if (message.after.era > log.position().era)
    {
        // The store has begun an era that this VM does not know yet.
        catch_up(entry);
        refuse(exchange, status_unavailable);
        return true;
    }
    const auto page = log.changes_after(message.after);
    // A page of an earlier revision would take the reader back.
    const bool behind = page && page.value().position < message.after;
    const bool nothing_new = page && (page.value().entries.empty() || behind);
    if (behind)
    {
        catch_up(entry);
    }
    if (nothing_new && may_wait)
    {
        return false;
    }
    if (behind)
    {
        refuse(exchange, status_unavailable);
        return true;
    }
    respond(exchange, page);
    return true;
}

void store_relay::on_recorded()
{
    const time_point now = loop_.now();
    waiting_.remove_if(
        [&](const waiting_request& entry)
        {
            return entry.exchange->done() ||
                   answer(entry.exchange, entry.message, entry.ends_at > now);
        });
}

void store_relay::respond(const net::exchange_ptr& exchange,
                          const result<store_page>& page)
{
    if (!page)
    {
        refuse(exchange, status_stale);
        return;
    }
    exchange->respond(
        {status_ok,
         {{"content-type", "application/octet-stream"}},
         control::encode(self_, store_changes{page.value().position,
                                              page.value().entries})});
}

void store_relay::refuse(const net::exchange_ptr& exchange, int status)
{
    exchange->respond({status, {}, {}});
}

} // namespace siskinflow::gateway
