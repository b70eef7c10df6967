/// @file
/// @brief The store stand-in: protocol, rate limits, counters and faults.
#pragma once

#include "store_protocol.hpp"
#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/store/confirmed_swap.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace standin
{

/// @brief Calls per second that the store sustains.
struct store_limits
{
    double max_writes_per_s = 300;
    double max_reads_per_s = 2000;
};

/// @brief How the store fails to answer.
enum class store_outage
{
    none,
    refuse, ///< Status 503; watches break.
    silent, ///< No answer at all; watches receive nothing.
};

/// @brief Faults as set by POST /standin/faults.
struct store_service_faults
{
    store_outage outage = store_outage::none;
    siskinflow::duration delay{0};
    bool lose_replies = false; ///< Writes take effect, their replies are lost.
    siskinflow::store_revision stale_revision = 0; ///< 0: off.
};

/// @brief Answers requests of the etcd v3 JSON protocol.
class store_service
{
public:
    /// @param time the current time, for leases and limits
    /// @param run_after runs a function after a delay
    store_service(const siskinflow::clock& time,
                  siskinflow::delay_function run_after,
                  const store_limits& limits);
    ~store_service();

    /// @brief Answers one request, at once or later.
    void handle(const siskinflow::net::exchange_ptr& exchange);

    /// @brief Expires leases and sends progress to open watches; call
    /// several times a second.
    void tick();

    /// @brief Calls by kind, as JSON.
    nlohmann::json counters() const;

private:
    struct watcher;
    /// @brief Allows a number of calls per second.
    struct rate_limit
    {
        double per_s;
        double tokens;
        siskinflow::time_point refilled_at;
        bool try_acquire(siskinflow::time_point now);
    };

    void set_faults(const siskinflow::net::exchange_ptr& exchange);
    void dispatch(const siskinflow::net::exchange_ptr& exchange,
                  const std::string& kind);
    store_answer execute(const std::string& kind, const nlohmann::json& body);
    void answer(const siskinflow::net::exchange_ptr& exchange,
                const store_answer& value);
    void abort_reply(const siskinflow::net::exchange_ptr& exchange,
                     const store_answer& value);
    void start_watch(const siskinflow::net::exchange_ptr& exchange,
                     const nlohmann::json& body);
    void deliver_changes();
    void deliver_changes_to(const std::shared_ptr<watcher>& item);
    void send_progress();
    void abort_watches();

    const siskinflow::clock& time_;
    siskinflow::delay_function run_after_;
    store_protocol protocol_;
    store_service_faults faults_;
    rate_limit writes_;
    rate_limit reads_;
    std::map<std::string, std::uint64_t> counters_;
    std::list<std::shared_ptr<watcher>> watchers_;
    /// Expires with the service; pending callbacks check it.
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

} // namespace standin
