/// @file
/// @brief Decisions and ledger of the target stand-in, without sockets.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace siskinflow::standin
{

/// @brief Behaviour of a target without faults.
struct target_options
{
    std::string name = "target";
    std::uint32_t slots = 4;    ///< Further requests are shed with 503.
    duration connect_cost{0};   ///< Delay of the first request of each.
    duration service_time{0};   ///< Time for which a request holds a slot.
    duration service_jitter{0}; ///< Largest random addition.
    duration cold_time{0};      ///< Time after the start in which it is cold.
    double cold_factor = 4;     ///< Multiplies the service time while cold.
    duration report_lag{0};     ///< Age of what `/load` and `/health` say.
    std::size_t ledger_limit = 100'000; ///< Further lines are only counted.
};

/// @brief Faults, changed as a whole by `POST /standin/faults`.
struct target_faults
{
    duration added_service_time{0};      ///< Added to the service time.
    duration answer_delay{0};            ///< Delay of a finished answer.
    bool truncate = false;               ///< Close in the middle of the body.
    bool close_after_receiving = false;  ///< Run, but close at once.
    bool close_before_answering = false; ///< Run, then close.
    bool hang = false;                   ///< Hold the slot, never answer.
    bool shed = false;                   ///< Shed every request.
    bool drain = false;                  ///< Report that it is draining.
    bool cold = false;                   ///< Start a new cold time.
    std::optional<std::uint32_t> running_override; ///< `running` of `/load`.
    /// `draining` of `/load` and `/health`.
    std::optional<bool> draining_override;
    std::optional<bool> healthy_override; ///< Status of `/health`.
    /// Requests to which the faults of a request apply; all if absent.
    std::optional<std::uint64_t> count;
};

/// @brief Reads the faults, for instance `{"slow_ms": 50, "count": 2}`.
/// @return the faults, or `errc::parse_error` naming the field
result<target_faults> parse_faults(std::string_view json);

/// @brief Properties of a request that the model uses.
struct target_request
{
    std::string method;
    std::string path;
    std::string_view body;
    std::string idempotency_key;
    bool has_credentials = false;         ///< Carries an authorization.
    std::optional<duration> timeout;      ///< From `siskinflow-timeout-ms`.
    std::optional<duration> service_time; ///< From `x-service-ms`.
};

/// @brief Outcome of a request as the caller sees it.
enum class target_ending
{
    shed,      ///< 503 at once, not started.
    answer,    ///< A whole answer.
    truncate,  ///< A part of the body, then the connection is closed.
    close,     ///< The connection is closed without an answer.
    timeout,   ///< 504, because the caller's time is over.
    no_answer, ///< Nothing until the caller goes away.
};

/// @brief What to do with a request.
struct target_plan
{
    std::uint64_t sequence = 0; ///< Position in the ledger, from 1.
    target_ending ending = target_ending::answer;
    duration run_time{0};       ///< Then call `finish`, unless `no_answer`.
    duration answer_delay{0};   ///< After `finish`.
    bool close_at_once = false; ///< Close now, but run on.
};

/// @brief Slots, faults and ledger of a target.
class target_model
{
public:
    target_model(target_options options, time_point now);

    /// @brief Takes in a request and writes it to the ledger.
    /// @param accepted_connections connections accepted since the start
    /// @param random in [0, 1), for the jitter
    target_plan arrive(const target_request& request,
                       std::uint64_t accepted_connections, double random,
                       time_point now);

    /// @brief Delay of the next request. Each connection accepted since the
    /// last request delays one request by `connect_cost`.
    duration take_connect_delay(std::uint64_t accepted_connections);

    /// @brief Ends a run and frees its slot; ignored if it has ended.
    void finish(std::uint64_t sequence, bool timed_out, time_point now);

    /// @brief Ends a run whose caller has gone; ignored if it has ended.
    void cancel(std::uint64_t sequence, time_point now);

    /// @brief Replaces the faults.
    void set_faults(target_faults faults, time_point now);

    /// @brief `{"running":n,"slots":n,"draining":bool,"cold":bool}` as it was
    /// `report_lag` ago, or as the faults override it.
    std::string load(time_point now) const;

    /// @brief Status and document of `/health`, with lag and faults as above.
    std::pair<int, std::string> health(time_point now) const;

    /// @brief JSON lines: a summary, then one line for each request.
    std::string ledger() const;

private:
    enum class run_state
    {
        shed,
        running,
        finished,
        cancelled,
        timed_out,
    };

    struct ledger_entry
    {
        std::string method;
        std::string path;
        std::string body_sha256;
        std::string idempotency_key;
        run_state state = run_state::shed;
        duration received{0};
        duration ended{0};
        std::optional<duration> after_drain;
    };

    struct snapshot
    {
        time_point at;
        std::uint32_t running;
        bool draining;
        bool cold;
    };

    static std::string_view name(run_state state);
    bool cold(time_point now) const;
    bool consume_fault();
    void end_run(std::uint64_t sequence, run_state state, time_point now);
    void record_load(time_point now);
    snapshot reported_snapshot(time_point now) const;
    void add_ledger_entry(std::uint64_t sequence, const target_request& request,
                          run_state state, time_point now);
    void count_run(const std::string& idempotency_key);

    target_options options_;
    target_faults faults_;
    time_point started_;
    time_point cold_until_;
    std::optional<time_point> draining_since_;
    std::vector<ledger_entry> entries_;
    std::deque<snapshot> history_;
    std::unordered_set<std::uint64_t> running_; ///< Sequences.
    std::unordered_map<std::string, std::uint64_t> runs_by_key_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t seen_connections_ = 0;
    std::uint64_t new_connections_ = 0;
    std::uint64_t with_authorization_ = 0;
    std::uint64_t started_runs_ = 0;
    std::uint64_t finished_runs_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t double_runs_ = 0;
    std::uint64_t after_drain_ = 0;
    std::size_t max_running_ = 0;
};

} // namespace siskinflow::standin
