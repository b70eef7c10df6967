/// @file
/// @brief Fakes at the edges of the data path: a caller that plays the targets
/// and exchanges that record what callers got.
#pragma once

#include <siskinflow/core/ids.hpp>
#include <siskinflow/entry/data_path.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace entry_world
{

using namespace siskinflow;
using namespace siskinflow::entry;
using namespace std::chrono_literals;

constexpr duration step = budget_tick_interval;

/// What a target does with a request.
enum class behaviour
{
    complete,
    shed,
    truncated,
    closed,
    silent,
    refused_connection,
    lost_connection_attempt, ///< The connect timeout passes.
    late,                    ///< Answers after the call was given up.
    by_hand,                 ///< The test ends the call.
};

struct plan
{
    behaviour kind = behaviour::complete;
    duration delay = 5ms;
    std::string body = "answer";
    int status = 200;
};

/// An answer as the caller saw it.
struct answer
{
    int status = 0;
    net::http_headers headers;
    std::string body;

    std::string outcome() const
    {
        return std::string(headers.value(header_names::outcome));
    }
    std::string reason() const
    {
        return std::string(headers.value(header_names::reason));
    }
    std::string permit() const
    {
        return std::string(headers.value(header_names::permit));
    }
};

class fake_exchange final : public net::http_exchange
{
public:
    explicit fake_exchange(net::http_request given) : request_(std::move(given))
    {
    }
    const net::http_request& request() const override
    {
        return request_;
    }
    void respond(net::http_response response) override
    {
        start(response.status, response.headers, response.body.size());
        write(response.body);
        finish();
    }
    void start(int status, const net::http_headers& headers,
               std::optional<std::size_t> /*content_length*/) override
    {
        if (gone)
        {
            return;
        }
        ++starts;
        seen.status = status;
        seen.headers = headers;
    }
    void write(std::string part) override
    {
        if (!gone)
        {
            seen.body += part;
        }
    }
    void finish() override
    {
        finishes += gone ? 0 : 1;
    }
    void abort() override
    {
        aborts += gone ? 0 : 1;
    }
    void close_after() override {}
    void on_drain(std::function<void()> callback) override
    {
        drain = std::move(callback);
    }
    void on_cancel(std::function<void()> callback) override
    {
        cancel_ = std::move(callback);
    }
    bool done() const override
    {
        return gone || ended();
    }

    bool ended() const
    {
        return finishes + aborts > 0;
    }
    bool answered(const std::string& outcome, const std::string& reason) const
    {
        return finishes == 1 && seen.outcome() == outcome &&
               seen.reason() == reason;
    }
    void leave()
    {
        if (done())
        {
            return;
        }
        gone = true;
        if (const auto callback = std::exchange(cancel_, nullptr))
        {
            callback();
        }
    }

    answer seen;
    int starts = 0;
    int finishes = 0;
    int aborts = 0;
    bool gone = false;
    std::function<void()> drain;

private:
    net::http_request request_;
    std::function<void()> cancel_;
};

/// One call at a fake target.
struct target_call
{
    net::client_request request;
    std::shared_ptr<net::call_observer> observer;
    plan wanted;
    std::string target;
    bool received = false; ///< The target has got the request.
    bool shed = false;     ///< The target has said that it did not start.
    bool running = false;  ///< Takes a slot of the target.
    bool over = false;     ///< The caller has no interest any more.
    bool paused = false;
    std::vector<timer_id> timers;

    std::string header(std::string_view name) const
    {
        return std::string(request.headers.value(name));
    }
};

/// Plays the targets.
class fake_caller final : public net::http_caller
{
public:
    fake_caller(manual_clock& time, timer_queue& timers)
        : time_(time), timers_(timers)
    {
    }

    std::shared_ptr<net::http_call>
    start(net::client_request request,
          std::shared_ptr<net::call_observer> observer) override
    {
        auto call = std::make_shared<target_call>();
        call->request = std::move(request);
        call->observer = std::move(observer);
        call->target = "target-" + std::to_string(call->request.peer.port);
        call->wanted = next_plan ? next_plan() : plan{};
        call->received =
            call->wanted.kind != behaviour::refused_connection &&
            call->wanted.kind != behaviour::lost_connection_attempt;
        // A target that sheds a request takes no slot for it.
        call->running = call->received && call->wanted.kind != behaviour::shed;
        calls.push_back(call);
        if (on_call)
        {
            on_call(*call);
        }
        schedule(call);
        return std::make_shared<handle>(*this, call);
    }

    void drop_idle(const net::endpoint& /*peer*/) override
    {
        ++idle_dropped;
    }

    void head(const std::shared_ptr<target_call>& call, int status)
    {
        if (!call->over)
        {
            call->observer->on_head(status, {{"x-from", call->target}}, {});
        }
    }
    void body(const std::shared_ptr<target_call>& call, std::string_view part)
    {
        if (!call->over)
        {
            call->observer->on_body(part);
        }
    }
    void end(const std::shared_ptr<target_call>& call,
             net::call_outcome outcome)
    {
        if (call->over)
        {
            return;
        }
        close(call, outcome == net::call_outcome::timed_out);
        const auto observer = std::move(call->observer);
        observer->on_end(outcome);
    }
    void answer(const std::shared_ptr<target_call>& call)
    {
        head(call, call->wanted.status);
        body(call, call->wanted.body);
        end(call, net::call_outcome::complete);
    }

    std::uint32_t running(const std::string& target) const
    {
        return static_cast<std::uint32_t>(
            std::count_if(calls.begin(), calls.end(),
                          [&](const auto& call)
                          { return call->running && call->target == target; }));
    }

    std::vector<std::shared_ptr<target_call>> calls;
    std::function<plan()> next_plan;
    std::function<void(const target_call&)> on_call;
    /// Time until a target has seen that its connection was closed.
    duration close_delay = 30ms;
    int idle_dropped = 0;

private:
    class handle final : public net::http_call
    {
    public:
        handle(fake_caller& owner, std::shared_ptr<target_call> call)
            : owner_(owner), call_(std::move(call))
        {
        }
        ~handle() override
        {
            cancel();
        }
        void cancel() override
        {
            if (!call_->over)
            {
                owner_.close(call_, true);
                call_->observer.reset();
            }
        }
        void pause() override
        {
            call_->paused = true;
        }
        void resume() override
        {
            call_->paused = false;
        }
        bool sent() const override
        {
            return call_->received;
        }

    private:
        fake_caller& owner_;
        std::shared_ptr<target_call> call_;
    };

    void after(const std::shared_ptr<target_call>& call, duration delay,
               std::function<void()> action)
    {
        call->timers.push_back(
            timers_.schedule(time_.now() + delay, std::move(action)));
    }

    void schedule(const std::shared_ptr<target_call>& call)
    {
        using net::call_outcome;
        const plan& wanted = call->wanted;
        const auto ends = [this, call](call_outcome outcome)
        { return [this, call, outcome] { end(call, outcome); }; };
        after(call, call->request.timeout,
              ends(call->received ? call_outcome::timed_out
                                  : call_outcome::connect_timed_out));
        switch (wanted.kind)
        {
        case behaviour::complete:
            after(call, wanted.delay, [this, call] { answer(call); });
            return;
        case behaviour::shed:
            after(call, wanted.delay,
                  [this, call]
                  {
                      call->shed = true;
                      head(call, 503);
                      end(call, call_outcome::complete);
                  });
            return;
        case behaviour::truncated:
            after(call, wanted.delay,
                  [this, call]
                  {
                      head(call, 200);
                      body(call, "part");
                      end(call, call_outcome::truncated);
                  });
            return;
        case behaviour::closed:
            after(call, wanted.delay, ends(call_outcome::broken));
            return;
        case behaviour::refused_connection:
            after(call, wanted.delay, ends(call_outcome::connect_failed));
            return;
        case behaviour::lost_connection_attempt:
            after(call, call->request.connect_timeout,
                  ends(call_outcome::connect_timed_out));
            return;
        case behaviour::late:
            after(call, call->request.timeout + wanted.delay,
                  [this, call] { answer(call); });
            return;
        case behaviour::silent:
        case behaviour::by_hand:
            return;
        }
    }

    /// The target sees a closed connection only after a while.
    void close(const std::shared_ptr<target_call>& call, bool by_caller)
    {
        call->over = true;
        for (const timer_id timer : call->timers)
        {
            timers_.cancel(timer);
        }
        if (!by_caller)
        {
            call->running = false;
            return;
        }
        timers_.schedule(time_.now() + close_delay,
                         [call] { call->running = false; });
    }

    manual_clock& time_;
    timer_queue& timers_;
};

struct no_network final : net::datagram_sender
{
    void send(const net::endpoint& /*peer*/,
              std::string_view /*payload*/) override
    {
    }
};

struct fake_resolver final : permit_resolver
{
    void resolve(const permit_claim& claim, duration timeout,
                 std::function<void(result<permit_outcome>)> done) override
    {
        asked.push_back(std::string(claim.text));
        if (reply)
        {
            done(*reply);
            return;
        }
        pending.emplace_back(timeout, std::move(done));
    }
    std::vector<std::string> asked;
    std::optional<permit_outcome> reply;
    std::vector<
        std::pair<duration, std::function<void(result<permit_outcome>)>>>
        pending;
};

struct fake_observer final : data_path_observer
{
    void on_received(const request& /*arrived*/) override
    {
        ++received;
    }
    void on_finished(const request_record& record) override
    {
        ++finished;
        last_outcome = record.outcome;
        last_reason = record.reason;
        last_target = record.target;
    }
    void on_retry(const request& /*repeated*/, retry_reason /*reason*/) override
    {
        ++retries;
    }
    void on_health_change(const routing::health_change& /*change*/) override {}
    int received = 0;
    int finished = 0;
    int retries = 0;
    request_outcome last_outcome = request_outcome::ran;
    std::string last_reason;
    std::string last_target;
};

inline route_config make_route(const std::string& name, bool idempotent,
                               bool open)
{
    route_config route;
    route.name = name;
    route.path_prefix = "/" + name;
    route.idempotent = idempotent;
    route.open = open;
    route.not_run_statuses = {503};
    route.max_body_bytes = 1000;
    route.default_timeout = 2s;
    return route;
}

inline target_config make_target(std::uint16_t port,
                                 std::vector<std::string> routes,
                                 std::uint32_t slots)
{
    target_config target;
    target.name = "target-" + std::to_string(port);
    target.routes = std::move(routes);
    target.region = "north";
    target.failure_domain = "rack";
    target.address = {"127.0.0.1", port};
    target.slots = slots;
    return target;
}

inline configuration make_config()
{
    configuration config;
    config.sequence = 1;
    config.routes = {make_route("maps", true, false),
                     make_route("orders", false, false),
                     make_route("open", true, true)};
    config.targets = {make_target(1, {"maps", "open"}, 3),
                      make_target(2, {"maps", "open"}, 3),
                      make_target(3, {"orders"}, 2),
                      make_target(4, {"orders"}, 2)};
    config.organisations = {
        {"acme", 200, 50, {sha256_hex("key-acme"), sha256_hex("other-acme")}},
        {"zenith", 200, 50, {sha256_hex("key-zenith")}}};
    return config;
}

} // namespace entry_world
