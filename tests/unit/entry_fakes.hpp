/// @file
/// @brief Fakes of the dependencies of the data path: an HTTP client that
/// simulates the targets, and exchanges that record what callers received.
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

namespace data_path_testing
{

using namespace siskinflow;
using namespace siskinflow::entry;
using namespace std::chrono_literals;

constexpr duration tick_interval = budget_tick_interval;

/// How a simulated target handles a request.
enum class behaviour
{
    complete,
    shed,
    truncated,
    connection_lost,
    no_answer,
    connection_refused,
    connect_timeout_passes, ///< No answer to the connection attempt.
    answer_after_timeout,   ///< Answers after the timeout of the call.
    manual,                 ///< The test ends the call itself.
};

struct target_plan
{
    behaviour kind = behaviour::complete;
    duration delay = 5ms;
    std::string body = "answer";
    int status = 200;
};

/// An answer as the caller received it.
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

class fake_caller_exchange final : public net::http_exchange
{
public:
    explicit fake_caller_exchange(net::http_request given)
        : request_(std::move(given))
    {
    }
    const net::http_request& request() const override
    {
        return request_;
    }
    void release_body() override
    {
        request_.body = {};
    }
    void respond(net::http_response response) override
    {
        start(response.status, response.headers, response.body.size());
        write(response.body);
        finish();
    }
    void respond_in_parts(int given, const net::http_headers& fields,
                          std::vector<std::string> body) override
    {
        start(given, fields, std::nullopt);
        for (std::string& part : body)
        {
            write(std::move(part));
        }
        finish();
    }
    void start(int status, const net::http_headers& headers,
               std::optional<std::size_t> /*content_length*/) override
    {
        if (disconnected)
        {
            return;
        }
        ++starts;
        received_answer.status = status;
        received_answer.headers = headers;
    }
    void write(std::string part) override
    {
        if (!disconnected)
        {
            received_answer.body += part;
        }
    }
    void finish() override
    {
        finishes += disconnected ? 0 : 1;
    }
    void abort() override
    {
        aborts += disconnected ? 0 : 1;
    }
    void close_after_response() override {}
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
        return disconnected || ended();
    }

    bool ended() const
    {
        return finishes + aborts > 0;
    }
    bool answered(const std::string& outcome, const std::string& reason) const
    {
        return finishes == 1 && received_answer.outcome() == outcome &&
               received_answer.reason() == reason;
    }
    /// The server has closed the connection of the caller, and calls
    /// `on_cancel` in the next pass of the loop.
    void close()
    {
        disconnected = true;
        release_body();
    }
    /// That call.
    void cancel()
    {
        if (const auto callback = std::exchange(cancel_, nullptr))
        {
            callback();
        }
    }
    void disconnect()
    {
        if (!done())
        {
            close();
            cancel();
        }
    }

    answer received_answer;
    int starts = 0;
    int finishes = 0;
    int aborts = 0;
    bool disconnected = false;
    std::function<void()> drain;

private:
    net::http_request request_;
    std::function<void()> cancel_;
};

/// One call to a simulated target.
struct target_call
{
    net::client_request request;
    std::shared_ptr<net::call_observer> observer;
    target_plan plan;
    std::string target;
    bool received = false; ///< The target has received the request.
    bool shed = false;     ///< The target has reported that it did not start.
    bool running = false;  ///< Occupies a slot of the target.
    bool finished = false; ///< Ended, or abandoned by the caller.
    bool paused = false;
    std::vector<timer_id> timers;

    std::string header(std::string_view name) const
    {
        return std::string(request.headers.value(name));
    }
};

/// Simulates the targets.
class fake_target_client final : public net::http_caller
{
public:
    fake_target_client(manual_clock& time, timer_queue& timers)
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
        call->plan = next_target_plan ? next_target_plan() : target_plan{};
        call->received = call->plan.kind != behaviour::connection_refused &&
                         call->plan.kind != behaviour::connect_timeout_passes;
        // A target that sheds a request uses no slot for it.
        call->running = call->received && call->plan.kind != behaviour::shed;
        calls.push_back(call);
        if (on_call)
        {
            on_call(*call);
        }
        schedule(call);
        return std::make_shared<handle>(*this, call);
    }

    void close_idle_connections(const net::endpoint& /*peer*/) override
    {
        ++idle_dropped;
    }

    void head(const std::shared_ptr<target_call>& call, int status)
    {
        if (!call->finished)
        {
            call->observer->on_head(status, {{"x-from", call->target}}, {});
        }
    }
    void body(const std::shared_ptr<target_call>& call, std::string_view part)
    {
        if (!call->finished)
        {
            call->observer->on_body(part);
        }
    }
    void end(const std::shared_ptr<target_call>& call,
             net::call_outcome outcome)
    {
        if (call->finished)
        {
            return;
        }
        close(call, outcome == net::call_outcome::timed_out);
        const auto observer = std::move(call->observer);
        observer->on_end(outcome);
    }
    void answer(const std::shared_ptr<target_call>& call)
    {
        head(call, call->plan.status);
        body(call, call->plan.body);
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
    std::function<target_plan()> next_target_plan;
    std::function<void(const target_call&)> on_call;
    /// Time until a target detects that its connection was closed.
    duration close_delay = 30ms;
    int idle_dropped = 0;

private:
    class handle final : public net::http_call
    {
    public:
        handle(fake_target_client& owner, std::shared_ptr<target_call> call)
            : owner_(owner), call_(std::move(call))
        {
        }
        ~handle() override
        {
            cancel();
        }
        void cancel() override
        {
            if (!call_->finished)
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
        fake_target_client& owner_;
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
        const target_plan& plan = call->plan;
        const auto ends = [this, call](call_outcome outcome)
        { return [this, call, outcome] { end(call, outcome); }; };
        after(call, call->request.timeout,
              ends(call->received ? call_outcome::timed_out
                                  : call_outcome::connect_timed_out));
        switch (plan.kind)
        {
        case behaviour::complete:
            after(call, plan.delay, [this, call] { answer(call); });
            return;
        case behaviour::shed:
            after(call, plan.delay,
                  [this, call]
                  {
                      call->shed = true;
                      head(call, 503);
                      end(call, call_outcome::complete);
                  });
            return;
        case behaviour::truncated:
            after(call, plan.delay,
                  [this, call]
                  {
                      head(call, 200);
                      body(call, "part");
                      end(call, call_outcome::truncated);
                  });
            return;
        case behaviour::connection_lost:
            after(call, plan.delay, ends(call_outcome::broken));
            return;
        case behaviour::connection_refused:
            after(call, plan.delay, ends(call_outcome::connect_failed));
            return;
        case behaviour::connect_timeout_passes:
            after(call, call->request.connect_timeout,
                  ends(call_outcome::connect_timed_out));
            return;
        case behaviour::answer_after_timeout:
            after(call, call->request.timeout + plan.delay,
                  [this, call] { answer(call); });
            return;
        case behaviour::no_answer:
        case behaviour::manual:
            return;
        }
    }

    /// The target detects a closed connection only after `close_delay`.
    void close(const std::shared_ptr<target_call>& call, bool by_caller)
    {
        call->finished = true;
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

struct discarding_datagram_sender final : net::datagram_sender
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

} // namespace data_path_testing
