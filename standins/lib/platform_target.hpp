/// @file
/// @brief Stand-in for a target of the users' platform.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_server.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace standin
{

/// @brief What a target answers after it has run a request.
enum class answer_fault : std::uint8_t
{
    none,
    plain_500,        ///< A failure without a signature.
    plain_503,        ///< 503 without a field that says that it did not run.
    plain_421,        ///< 421 without such a field.
    plain_429,        ///< 429 without such a field.
    no_id,            ///< A rejection without the request's id.
    other_id,         ///< A rejection of another request.
    signed_rejection, ///< A rejection that is signed as the answer of a run.
};

/// @brief What a target does and how it fails.
struct platform_target_options
{
    std::string id;
    std::uint16_t port = 0; ///< 0: any free port.
    siskinflow::duration work = std::chrono::milliseconds(20);
    /// As above, for paths that end with "long".
    siskinflow::duration long_work = std::chrono::milliseconds(20);
    unsigned slots = 6;
    double cut_part = 0; ///< Fraction of answers truncated after the run.
    std::size_t min_answer_bytes = 0; ///< Shorter answers are filled up.
    /// Successes are sent in this many parts without a length; 0: as a whole.
    std::size_t answer_parts = 0;
    std::size_t max_body_bytes = 1024 * 1024; ///< Larger bodies get 413.
    /// Whether the reported load has a fourth figure: how long work takes now,
    /// in percent of the time at the start.
    bool reports_pace = false;
};

/// @brief Runs requests, checks their headers and counts runs by request id.
class platform_target
{
public:
    /// @return null if the port can't be taken
    static std::unique_ptr<platform_target>
    start(siskinflow::net::event_loop& loop, platform_target_options options);

    std::uint16_t port() const;

    const std::string& id() const
    {
        return options_.id;
    }

    unsigned slots() const
    {
        return options_.slots;
    }

    /// @brief Runs of each request id.
    const std::map<std::string, int>& runs() const
    {
        return runs_;
    }

    /// @brief Requests with a tenant key, or without organisation or deadline.
    std::uint64_t faults() const
    {
        return faults_;
    }

    unsigned running() const
    {
        return running_;
    }

    /// @brief Requests whose sender left before the answer.
    std::uint64_t cancelled() const
    {
        return cancelled_;
    }

    /// @brief Sets how long requests take that arrive from now on.
    void set_work(siskinflow::duration work)
    {
        options_.work = work;
    }

    /// @brief Makes all answers say that the target is leaving, or not.
    void set_leaving(bool leaving)
    {
        leaving_ = leaving;
    }

    /// @brief Makes the target turn requests away with this Retry-After value,
    /// or take them if it is empty.
    void set_retry_after(std::string value)
    {
        retry_after_ = std::move(value);
    }

    /// @brief The time that the Retry-After value states.
    siskinflow::duration pause() const
    {
        return std::chrono::duration_cast<siskinflow::duration>(
            std::chrono::duration<double>(std::stod(retry_after_)));
    }

    /// @brief Sets what answers to further runs are.
    void set_answer_fault(answer_fault fault)
    {
        answer_fault_ = fault;
    }

    siskinflow::duration work() const
    {
        return options_.work;
    }

    /// @brief Makes the target reject all requests, or take them again.
    void set_full(bool full)
    {
        full_ = full;
    }

    /// @brief Makes the target another instance at the address of the one that
    /// is registered, which answers 421, or the registered one again.
    void set_replaced(bool replaced)
    {
        replaced_ = replaced;
    }

    /// @brief Makes the target answer with a failure after each run, or not.
    void set_failing(bool failing)
    {
        failing_ = failing;
    }

    /// @brief A request as it arrived.
    struct arrival
    {
        std::string id;
        std::string instance; ///< That it is meant for, and that answers.
        std::string path;     ///< With the query.
        std::string method;
        std::string body;
    };

    /// @brief Called with each request that arrives.
    /// @param turned_away whether it is answered with a Retry-After
    void
    on_arrival(std::function<void(const arrival& seen, bool turned_away)> call)
    {
        on_arrival_ = std::move(call);
    }

    /// @brief Called with each request that begins to run.
    void on_run(std::function<void(const arrival& seen)> call)
    {
        on_run_ = std::move(call);
    }

    /// @brief Sets the instances that the target is, in place of its id.
    /// Requests for others get 421.
    void set_instances(std::set<std::string> instances)
    {
        instances_ = std::move(instances);
    }

    /// @brief Sets the fraction of requests that are refused at random.
    void set_refused_part(double part)
    {
        refused_part_ = part;
    }

    /// @brief Sets the fraction of runs that end with an unsigned failure, at
    /// random.
    void set_failed_part(double part)
    {
        failed_part_ = part;
    }

    /// @brief Requests that have arrived, those turned away included.
    std::uint64_t arrivals() const
    {
        return arrivals_;
    }

    void set_cut_part(double part)
    {
        options_.cut_part = part;
    }

private:
    platform_target(siskinflow::net::event_loop& loop,
                    platform_target_options options);

    void handle(const siskinflow::net::exchange_ptr& exchange);
    void finish(const siskinflow::net::exchange_ptr& exchange);
    siskinflow::net::http_headers
    answer_headers(const siskinflow::net::exchange_ptr& exchange) const;
    bool should_truncate_next();
    std::string load() const;
    bool chance(double part);
    void answer_in_parts(const siskinflow::net::exchange_ptr& exchange,
                         const siskinflow::net::http_headers& headers,
                         const std::string& body) const;
    void refuse(const siskinflow::net::exchange_ptr& exchange) const;
    void answer_wrongly(const siskinflow::net::exchange_ptr& exchange,
                        answer_fault fault) const;

    siskinflow::net::event_loop& loop_;
    platform_target_options options_;
    siskinflow::duration usual_work_;
    std::unique_ptr<siskinflow::net::http_server> server_;
    std::map<std::string, int> runs_;
    std::uint64_t faults_ = 0;
    std::uint64_t cancelled_ = 0;
    unsigned running_ = 0;
    double truncation_credit_ = 0;
    bool leaving_ = false;
    bool failing_ = false;
    bool replaced_ = false;
    bool full_ = false;
    answer_fault answer_fault_ = answer_fault::none;
    std::string retry_after_;
    std::uint64_t arrivals_ = 0;
    std::function<void(const arrival&, bool)> on_arrival_;
    std::function<void(const arrival&)> on_run_;
    std::set<std::string> instances_;
    double refused_part_ = 0;
    double failed_part_ = 0;
    std::mt19937_64 random_;
};

} // namespace standin
