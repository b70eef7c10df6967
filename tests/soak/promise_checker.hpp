/// @file
/// @brief What the gateways must keep in a soak, from the sockets.
#pragma once

#include "gateway_world.hpp"
#include "request_record.hpp"

#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace soak
{

using namespace siskinflow;

/// Bounds of the platform: after a change, after a disturbance, and after a
/// target has turned a request away.
constexpr std::chrono::milliseconds drain_limit{2500};
constexpr std::chrono::milliseconds contact_time{4000};
constexpr std::chrono::milliseconds pause_allowance{500};
constexpr int sends_allowed_in_pause = 2;

/// Key of the organisation that sends more than its rate.
constexpr const char* key_over_rate = "key-of-bursts";

/// @brief A rule that was broken once.
struct broken_rule
{
    std::string rule;
    std::string request; ///< Empty if it concerns none.
    std::optional<std::size_t> vm;
    duration at; ///< Since the checks began.
};

/// @brief Counts promises kept and broken, from what callers and targets see.
class promise_checker
{
public:
    promise_checker(gateway_world& world, std::size_t vms)
        : world_(world), began_(world.caller().loop().now()), disturbed_(vms),
          last_(vms)
    {
    }

    /// A request was sent to a VM.
    void on_sent(const caller_request& request, std::size_t vm, time_point now)
    {
        sent_[request.id] = {vm, now};
        request_record& record = requests_[request.id];
        record.on_sent(content_of(request.method, request.path, request.body));
        if (request.method == "POST")
        {
            record.set_runs_once_at_most();
        }
    }

    /// A target begins to run a request.
    void on_run(const standin::platform_target::arrival& seen)
    {
        caller_request request;
        request.id = seen.id;
        const std::string difference = requests_[seen.id].on_run(
            content_of(seen.method, seen.path, seen.body),
            world_.caller().loop().now());
        require(difference.empty(), request, difference);
    }

    /// The connection of a request ends with the answer to one in front of it:
    /// the server must not read the request.
    void on_not_read(const caller_request& request)
    {
        requests_[request.id].on_refused(request.path);
    }

    /// A VM was started or has resumed: it knows nothing of what targets said.
    void on_restarted(std::size_t vm)
    {
        std::erase_if(pauses_, [vm](const auto& entry)
                      { return entry.first.second == vm; });
        std::erase_if(told_leaving_, [vm](const auto& entry)
                      { return entry.first.second == vm; });
    }

    /// A target has started anew. Answers to requests that arrived before are
    /// those of the incarnation before.
    void on_target_restarted(const std::string& target)
    {
        restarted_[target] = world_.caller().loop().now();
        std::erase_if(pauses_, [&](const auto& entry)
                      { return entry.first.first == target; });
        std::erase_if(told_leaving_, [&](const auto& entry)
                      { return entry.first.first == target; });
    }

    /// A request has arrived at a target.
    /// @param pause for which it was turned away; zero if it was taken
    void on_arrival(const std::string& target, const std::string& id,
                    duration pause)
    {
        const auto sent = sent_.find(id);
        if (sent == sent_.end())
        {
            return;
        }
        const time_point now = world_.caller().loop().now();
        sent->second.arrived = now;
        caller_request request;
        request.id = id;
        const std::pair key(target, sent->second.vm);
        const auto told = told_leaving_.find(key);
        require(told == told_leaving_.end() ||
                    sent->second.at <= told->second + drain_limit,
                request, "reached a target that had said that it leaves",
                target, sent->second.vm);
        stated_pause& stated = pauses_[key];
        if (now > stated.since + pause_allowance && now < stated.until)
        {
            ++stated.arrivals;
            most_in_pause_ = std::max(most_in_pause_, stated.arrivals);
            require(stated.arrivals <= sends_allowed_in_pause, request,
                    "reached a target that wanted nothing", target,
                    sent->second.vm);
        }
        if (pause > duration::zero() && now >= stated.until)
        {
            stated = {now, now + pause, 0};
        }
    }

    /// Most requests of a VM that reached a target in one pause.
    int most_in_pause() const
    {
        return most_in_pause_;
    }

    /// A VM is killed or paused, or its connections to callers are disturbed:
    /// requests that it has now may end without an answer.
    void on_disturbed(std::size_t vm)
    {
        disturbed_[vm] = world_.caller().loop().now();
    }

    void check(std::size_t vm, time_point sent, const caller_request& request,
               const net::fetch_result& got)
    {
        const bool cut = got.outcome == net::call_outcome::broken ||
                         got.outcome == net::call_outcome::truncated;
        require(!cut || sent <= disturbed_[vm] || world_.runs(request.id) == 0,
                request, "ran and was cut by a VM that nothing had disturbed");
        const bool answered = got.outcome == net::call_outcome::complete;
        const int status = answered ? got.response.status : 0;
        last_[vm] =
            std::string(net::name(got.outcome)) + " " + std::to_string(status);
        const int runs = world_.runs(request.id);
        ++statuses_[status];
        if (status == 503 || status == 429 || status == 408 || status == 421)
        {
            requests_[request.id].on_refused(request.path);
            require(runs == 0 || request.method != "POST", request,
                    "an order was refused as not run after a run");
        }
        if (status == 200 && got.response.headers.contains("server-leaving"))
        {
            // "answer of TARGET to PATH"
            std::istringstream words(got.response.body);
            std::string word;
            std::string target;
            words >> word >> word >> target;
            if (sent_[request.id].arrived > restarted_[target])
            {
                told_leaving_.try_emplace({target, vm},
                                          world_.caller().loop().now());
            }
        }
        if (status == 200)
        {
            require(got.response.body.ends_with(" to " + request.path) &&
                        got.response.headers.contains(
                            "siskinflow-response-signature"),
                    request, "an answer that is not the target's own");
            require(runs >= 1, request, "an answer without a run");
        }
        require(status != 401 && status != 403 && status != 404, request,
                "denied although the policy allows it");
        require(status != 429 || request.key == key_over_rate, request,
                "over its rate because of another organisation");
    }

    /// Judges all orders ever sent, once no target is at work any more: also
    /// those whose callers got no answer, and runs after a refusal.
    void check_orders()
    {
        for (const auto& [id, order] : requests_)
        {
            if (!order.runs_once_at_most())
            {
                continue;
            }
            caller_request request;
            request.id = id;
            const int runs = world_.runs(id);
            const time_point at = order.last_run();
            require(runs <= 1, request,
                    "an order ran " + std::to_string(runs) + " times", at);
            require(order.runs() == runs, request,
                    "the runs of an order were not all recorded", at);
            require(!order.ran_though_refused(), request,
                    "an order was refused as not run and has run", at);
        }
    }

    void require(bool kept, const caller_request& request,
                 const std::string& what, const std::string& target,
                 std::size_t vm)
    {
        require(kept, request,
                what + ": vm" + std::to_string(vm) + " to " + target);
    }

    void require(bool kept, const caller_request& request,
                 const std::string& what)
    {
        require(kept, request, what, world_.caller().loop().now());
    }

    /// @param at when it was broken, if it was
    void require(bool kept, const caller_request& request,
                 const std::string& what, time_point at)
    {
        if (kept)
        {
            return;
        }
        const auto sent = sent_.find(request.id);
        broken_.push_back({what, request.id,
                           sent == sent_.end() ? std::nullopt
                                               : std::optional(sent->second.vm),
                           at - began_});
        std::cout << "BROKEN " << request.id << ": " << what << std::endl;
    }

    std::size_t broken() const
    {
        return broken_.size();
    }

    const std::vector<broken_rule>& broken_rules() const
    {
        return broken_;
    }

    /// How the last request to a VM ended.
    const std::string& last_of(std::size_t vm) const
    {
        return last_[vm];
    }

    const std::map<int, int>& statuses() const
    {
        return statuses_;
    }

private:
    struct sent_request
    {
        std::size_t vm = 0;
        time_point at;
        time_point arrived{}; ///< At a target, for the last time.
    };
    /// A time for which a target wants nothing from a VM.
    struct stated_pause
    {
        time_point since{};
        time_point until{};
        int arrivals = 0; ///< Within it, after the allowance.
    };
    using target_and_vm = std::pair<std::string, std::size_t>;

    gateway_world& world_;
    time_point began_;
    std::map<std::string, sent_request> sent_; ///< By request id.
    std::map<target_and_vm, stated_pause> pauses_;
    std::map<target_and_vm, time_point> told_leaving_;
    std::map<std::string, time_point> restarted_; ///< By target.
    int most_in_pause_ = 0;
    std::vector<time_point> disturbed_; ///< By VM, for the last time.
    std::vector<std::string> last_;     ///< By VM.
    std::map<int, int> statuses_;
    std::map<std::string, request_record> requests_; ///< By id.
    std::vector<broken_rule> broken_;
};

} // namespace soak
