#include "relayed_store.hpp"

#include <siskinflow/control/codec.hpp>

#include <algorithm>
#include <utility>

namespace siskinflow::gateway
{

namespace
{

/// Longest wait of one request to a relay. A relay that freezes is noticed
/// after this time and the margin, within the time for a configuration to be in
/// force.
constexpr duration relay_wait = std::chrono::seconds(1);
constexpr duration relay_margin = std::chrono::milliseconds(400);
constexpr duration relay_connect_timeout = std::chrono::milliseconds(250);
/// Time for which a relay that failed is not asked.
constexpr duration relay_pause = std::chrono::seconds(5);
constexpr std::size_t max_page_bytes = 8U << 20;

constexpr int status_ok = 200;
constexpr int status_stale = 410;

result<store_page> parse_answer(const net::fetch_result& fetched)
{
    if (fetched.outcome != net::call_outcome::complete)
    {
        return fail(errc::timeout, "call to the relay failed: " +
                                       std::string(net::name(fetched.outcome)));
    }
    if (fetched.response.status == status_stale)
    {
        return fail(errc::stale, "the relay has dropped earlier changes");
    }
    if (fetched.response.status != status_ok)
    {
        return fail(errc::unavailable,
                    "the relay answered with status " +
                        std::to_string(fetched.response.status));
    }
    const auto envelope =
        control::decode_header(fetched.response.body, max_page_bytes);
    if (!envelope)
    {
        return envelope.error();
    }
    auto message = control::decode_payload<store_changes>(envelope.value());
    if (!message)
    {
        return message.error();
    }
    return store_page{std::move(message.value().entries),
                      message.value().position, true};
}

} // namespace

/// Where a watch waits for its answer.
struct running_watch
{
    std::uint64_t relay_call = 0; ///< 0: the store itself was asked.
};

struct relayed_store::impl : std::enable_shared_from_this<impl>
{
    impl(net::event_loop& loop, net::http_caller& caller, prefix_reader& direct,
         const incarnation_id& self, relay_choice choose)
        : loop(loop), caller(caller), direct(direct), self(self),
          choose(std::move(choose))
    {
    }

    net::event_loop& loop;
    net::http_caller& caller;
    prefix_reader& direct;
    incarnation_id self;
    relay_choice choose;
    std::map<net::endpoint, time_point> paused_until;
    std::map<std::string, store_position> known_positions; ///< By prefix.
    std::uint64_t expected_era = 0; ///< Known to another VM.
    std::map<std::uint64_t, std::shared_ptr<net::http_call>> pending_calls;
    std::map<std::string, running_watch> watches; ///< By prefix.
    std::uint64_t last_call_id = 0;

    std::optional<net::endpoint> usable_relay() const
    {
        const auto relay = choose();
        if (!relay)
        {
            return std::nullopt;
        }
        const auto paused = paused_until.find(*relay);
        const bool usable =
            paused == paused_until.end() || loop.now() >= paused->second;
        return usable ? relay : std::nullopt;
    }

    void ask(const net::endpoint& relay, const store_changes_request& message,
             callback<store_page> done)
    {
        net::client_request request;
        request.peer = relay;
        request.method = "POST";
        request.target = "/store-changes";
        request.headers.add("content-type", "application/octet-stream");
        request.body = control::encode(self, message);
        request.connect_timeout = relay_connect_timeout;
        request.timeout =
            std::chrono::milliseconds(message.wait_ms) + relay_margin;
        request.slow_answer.stall = relay_margin;
        const std::uint64_t id = ++last_call_id;
        if (!message.list)
        {
            watches[message.prefix] = {id};
        }
        pending_calls[id] = net::fetch(
            caller, std::move(request), max_page_bytes,
            [weak = weak_from_this(), id,
             done = std::move(done)](const net::fetch_result& fetched)
            {
                const auto self = weak.lock();
                if (self == nullptr)
                {
                    return;
                }
                // The call runs this callback and must outlive it.
                const auto finished = self->pending_calls.extract(id);
                done(parse_answer(fetched));
            });
    }

    /// Whether a relay's answer can be used: no failure, and nothing older than
    /// this VM knows.
    bool usable(const result<store_page>& page, const std::string& prefix)
    {
        if (!page)
        {
            return page.error().code == errc::stale;
        }
        const store_position& position = page.value().position;
        return position >= known_positions[prefix] &&
               position.era >= std::max(expected_era, direct.era());
    }

    void pause(const net::endpoint& relay)
    {
        paused_until[relay] = loop.now() + relay_pause;
        caller.close_idle_connections(relay);
    }

    callback<store_page> noting_position(const std::string& prefix,
                                         callback<store_page> done)
    {
        return [self = shared_from_this(), prefix,
                done = std::move(done)](result<store_page> page)
        {
            if (page)
            {
                store_position& known = self->known_positions[prefix];
                known = std::max(known, page.value().position);
            }
            done(std::move(page));
        };
    }

    callback<store_page> ending_watch(const std::string& prefix,
                                      callback<store_page> done)
    {
        return [self = shared_from_this(), prefix,
                done = std::move(done)](result<store_page> page)
        {
            self->watches.erase(prefix);
            done(std::move(page));
        };
    }

    /// Asks the relay, and with `ask_store` the store if that fails.
    void read(const store_changes_request& message,
              std::function<void(callback<store_page>)> ask_store,
              callback<store_page> done)
    {
        done = noting_position(message.prefix, std::move(done));
        if (!message.list)
        {
            done = ending_watch(message.prefix, std::move(done));
        }
        const auto relay = usable_relay();
        if (!relay)
        {
            ask_store(std::move(done));
            return;
        }
        ask(*relay, message,
            [self = shared_from_this(), relay = *relay, prefix = message.prefix,
             ask_store = std::move(ask_store),
             done = std::move(done)](result<store_page> page)
            {
                if (self->usable(page, prefix))
                {
                    done(std::move(page));
                    return;
                }
                self->pause(relay);
                ask_store(done);
            });
    }
};

relayed_store::relayed_store(net::event_loop& loop, net::http_caller& caller,
                             prefix_reader& direct, const incarnation_id& self,
                             relay_choice choose)
    : impl_(
          std::make_shared<impl>(loop, caller, direct, self, std::move(choose)))
{
}

relayed_store::~relayed_store()
{
    impl_->pending_calls.clear();
}

void relayed_store::list(std::string prefix, duration timeout,
                         callback<store_page> done)
{
    const store_changes_request message{prefix, true, {}, 0};
    impl_->read(
        message,
        [&direct = impl_->direct, prefix, timeout](callback<store_page> on_page)
        { direct.list(prefix, timeout, std::move(on_page)); },
        std::move(done));
}

void relayed_store::await_changes(std::string prefix, store_position after,
                                  duration wait, callback<store_page> done)
{
    cancel_watch(prefix);
    const auto wait_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::min(wait, relay_wait))
            .count());
    const store_changes_request message{prefix, false, after, wait_ms};
    impl_->read(
        message,
        [self = impl_.get(), prefix, after, wait](callback<store_page> on_page)
        {
            self->watches[prefix] = {};
            self->direct.await_changes(prefix, after, wait, std::move(on_page));
        },
        std::move(done));
}

void relayed_store::cancel_watch(const std::string& prefix)
{
    const auto watch = impl_->watches.find(prefix);
    if (watch == impl_->watches.end())
    {
        return;
    }
    if (watch->second.relay_call == 0)
    {
        impl_->direct.cancel_watch(prefix);
    }
    impl_->pending_calls.erase(watch->second.relay_call);
    impl_->watches.erase(watch);
}

std::size_t relayed_store::watch_bytes_received(const std::string& prefix) const
{
    const auto watch = impl_->watches.find(prefix);
    if (watch == impl_->watches.end())
    {
        return 0;
    }
    if (watch->second.relay_call == 0)
    {
        return impl_->direct.watch_bytes_received(prefix);
    }
    const auto call = impl_->pending_calls.find(watch->second.relay_call);
    return call == impl_->pending_calls.end() ? 0
                                              : call->second->received_bytes();
}

std::uint64_t relayed_store::era() const
{
    return impl_->direct.era();
}

void relayed_store::on_new_era(
    const std::function<void(std::uint64_t)>& callback)
{
    impl_->direct.on_new_era(callback);
}

void relayed_store::expect_era(std::uint64_t era)
{
    impl_->expected_era = std::max(impl_->expected_era, era);
}

std::uint64_t relayed_store::list_calls(const std::string& prefix) const
{
    return impl_->direct.list_calls(prefix);
}

} // namespace siskinflow::gateway
