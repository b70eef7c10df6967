/// @file
/// @brief A request flow between a caller and targets that a test plays.
#pragma once

#include "gateway/gateway_state.hpp"
#include "gateway/request_flow.hpp"
#include "http_codec.hpp"
#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/event_loop.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace request_flow_world
{

using namespace siskinflow;

/// @brief A call that a test connects, answers and breaks.
struct played_call
{
    net::client_request request;
    std::shared_ptr<net::call_observer> observer; ///< Null once it has ended.
    bool sent = false;
    bool fully_sent = true; ///< Once it is sent.
    bool head_received = false;
    /// Whether the target has truly rejected it, whatever arrives of that.
    bool truly_rejected = false;

    bool open() const
    {
        return observer != nullptr;
    }

    /// @brief Whether the target may run it, now or later.
    bool may_run() const
    {
        return sent && !truly_rejected;
    }

    /// @brief Each call has a connection of its own.
    net::answer_position position() const
    {
        return head_received ? net::answer_position{1, 1, 1, false}
                             : net::answer_position{};
    }

    std::string target() const
    {
        return std::string(
            request.headers.value("siskinflow-expected-instance"));
    }

    /// @brief Delivers a head, then the end of the answer unless the flow has
    /// cancelled the call.
    void answer(int status, const net::http_headers& headers,
                std::optional<net::call_outcome> outcome)
    {
        head_received = true;
        const auto receiver = observer;
        receiver->on_head(status, headers, std::nullopt);
        if (outcome && open())
        {
            end(*outcome);
        }
    }

    void end(net::call_outcome outcome)
    {
        const auto receiver = std::move(observer);
        observer.reset();
        receiver->on_end(outcome);
    }
};

/// @brief Hands out calls that are played.
class played_caller final : public net::http_caller
{
public:
    std::shared_ptr<net::http_call>
    start(net::client_request request,
          std::shared_ptr<net::call_observer> observer) override
    {
        auto call = std::make_shared<played_call>();
        call->request = std::move(request);
        call->observer = std::move(observer);
        call->sent = pooled;
        calls.push_back(call);
        return std::make_shared<handle>(std::move(call));
    }

    void close_idle_connections(const net::endpoint& /*peer*/) override {}

    std::vector<std::shared_ptr<played_call>> calls;
    bool pooled = false; ///< Further calls find an open connection.

private:
    class handle final : public net::http_call
    {
    public:
        explicit handle(std::shared_ptr<played_call> call)
            : call_(std::move(call))
        {
        }
        ~handle() override
        {
            call_->observer.reset();
        }
        void cancel() override
        {
            call_->observer.reset();
        }
        void pause() override {}
        void resume() override {}
        bool sent() const override
        {
            return call_->sent;
        }
        bool fully_sent() const override
        {
            return call_->sent && call_->fully_sent;
        }
        net::answer_position position() const override
        {
            return call_->position();
        }

    private:
        std::shared_ptr<played_call> call_;
    };
};

/// @brief Records the answer to a request.
class recorded_exchange final : public net::http_exchange
{
public:
    explicit recorded_exchange(net::http_request request)
        : request_(std::move(request))
    {
    }
    const net::http_request& request() const override
    {
        return request_;
    }
    void release_body() override
    {
        request_.body = {};
        request_.body_owner.reset();
    }
    void respond(net::http_response response) override
    {
        if (gone)
        {
            return;
        }
        ++answers;
        status = response.status;
    }
    void respond_in_parts(int given, const net::http_headers& headers,
                          std::vector<std::string> /*body*/) override
    {
        respond({given, headers, {}});
    }
    void start(int /*status*/, const net::http_headers& /*headers*/,
               std::optional<std::size_t> /*content_length*/) override
    {
    }
    void write(std::string /*part*/) override {}
    void finish() override {}
    void abort() override {}
    void close_after_response() override {}
    void on_drain(std::function<void()> /*callback*/) override {}
    void on_cancel(std::function<void()> callback) override
    {
        on_cancel_ = std::move(callback);
    }
    bool done() const override
    {
        return answers > 0 || gone;
    }

    /// @brief The server has closed the connection of the caller, and calls
    /// `on_cancel` in the next pass of the loop.
    void close()
    {
        gone = true;
        release_body();
    }

    /// @brief That call.
    void cancel()
    {
        if (on_cancel_ && answers == 0)
        {
            const auto callback = std::exchange(on_cancel_, nullptr);
            callback();
        }
    }

    /// @brief The caller closes its connection.
    void leave()
    {
        close();
        cancel();
    }

    int answers = 0;
    int status = 0;
    bool gone = false;

private:
    net::http_request request_;
    std::function<void()> on_cancel_;
};

/// @brief One VM's data path with up to two targets. Requests follow each
/// other, each with a new state of the VM, on one loop, which h2o can't
/// destroy.
class world
{
public:
    static constexpr duration timeout = std::chrono::milliseconds(2000);
    static constexpr const char* request_id = "request-1";

    world() : loop(time), log(time, [](std::string_view /*line*/) {}) {}

    /// @brief Begins a request, with targets in their first state.
    void begin(bool idempotent, int targets, bool pooled)
    {
        constexpr duration gap = std::chrono::seconds(100);
        time.advance(gap);
        run();
        caller.calls.clear();
        gateway::gateway_settings own = settings();
        change_settings(own);
        state_.emplace(loop, caller, codec, log, metric_set, std::move(own));
        gateway::policy policy;
        policy.version = 1;
        policy.routes = {route("orders", false), route("maps", true)};
        policy.services = {service("orders"), service("maps")};
        change_policy(policy);
        state().apply_policy(std::move(policy), 1);
        caller.pooled = pooled;
        service_name = idempotent ? "maps" : "orders";
        for (int i = 0; i < targets; ++i)
        {
            put_target(i);
        }
        arrive(idempotent);
    }

    /// @brief A request arrives, at the state of the last one.
    void arrive(bool idempotent)
    {
        net::http_request request;
        request.method = idempotent ? "GET" : "POST";
        request.path = "/" + service_name + "/1";
        request.headers = {{"host", "site.example"},
                           {"siskinflow-request-id", request_id},
                           {"siskinflow-request-deadline-ms", "2000"}};
        change_request(request);
        exchange = std::make_shared<recorded_exchange>(std::move(request));
        std::make_shared<gateway::request_flow>(state(), exchange)->start();
    }

    /// @brief One pass of the loop: what is due now.
    void run()
    {
        loop.run_once(duration::zero());
    }

    /// @brief The call that has not ended; null if there is none.
    std::shared_ptr<played_call> open_call() const
    {
        for (const auto& call : caller.calls)
        {
            if (call->open())
            {
                return call;
            }
        }
        return nullptr;
    }

    gateway::gateway_state& state()
    {
        return *state_;
    }
    const gateway::gateway_state& state() const
    {
        return *state_;
    }

    /// @brief Makes a registered target say that it is leaving.
    void make_leave(const std::string& id)
    {
        if (const auto entry = state().targets.find(id))
        {
            gateway::target_wish wish;
            wish.leaving = true;
            state().on_target_wish(entry, wish, "a test");
        }
    }

    /// What further requests differ in from those of the exploration.
    std::function<void(gateway::gateway_settings&)> change_settings =
        [](gateway::gateway_settings& /*settings*/) {};
    std::function<void(gateway::policy&)> change_policy =
        [](gateway::policy& /*policy*/) {};
    std::function<void(gateway::target_record&, int number)> change_target =
        [](gateway::target_record& /*record*/, int /*number*/) {};
    std::function<void(net::http_request&)> change_request =
        [](net::http_request& /*request*/) {};

    manual_clock time;
    net::event_loop loop;
    event_log log;
    metrics metric_set;
    platform::http_codec codec;
    played_caller caller;
    std::shared_ptr<recorded_exchange> exchange;
    std::string service_name;

private:
    static gateway::gateway_settings settings()
    {
        gateway::gateway_settings out;
        out.self.name = "vm1";
        out.self.region = "north";
        out.self.failure_domain = "north-1";
        out.regions = {{"north-1", "north"}};
        out.stop_grace = std::chrono::seconds(6);
        out.retry_ratio = 1;
        out.retry_slack = 1000;
        return out;
    }

    static gateway::route_policy route(const std::string& name, bool idempotent)
    {
        gateway::route_policy out;
        out.name = name;
        out.host = "site.example";
        out.path_prefix = "/" + name + "/";
        out.idempotent = idempotent;
        out.timeout = timeout;
        out.objective = std::chrono::milliseconds(500);
        out.max_attempts = 2;
        out.open = true;
        out.services = {{name, 1}};
        return out;
    }

    static gateway::service_policy service(const std::string& name)
    {
        gateway::service_policy out;
        out.name = name;
        return out;
    }

    void put_target(int number)
    {
        gateway::target_record record;
        record.id = service_name + "-" + std::to_string(number);
        record.service = service_name;
        record.address = {"127.0.0.1",
                          static_cast<std::uint16_t>(9000 + number)};
        record.failure_domain = "north-1";
        record.region = "north";
        record.slots = 6;
        change_target(record, number);
        state().targets.put(record, time.now());
    }

    std::optional<gateway::gateway_state> state_; ///< Empty before `begin`.
};

} // namespace request_flow_world
