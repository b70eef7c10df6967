#include "request_flow_world.hpp"
#include "test_sections.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using request_flow_world::played_call;
using request_flow_world::world;
using test_sections::section;

namespace
{

/// Something that happens to a request. `applies` tells whether it can.
struct event
{
    const char* name;
    std::function<bool(const world&)> applies;
    std::function<void(world&)> play;
};

bool always(const world& /*w*/)
{
    return true;
}

bool unsent(const world& w)
{
    const auto call = w.open_call();
    return call != nullptr && !call->sent;
}

bool awaits_head(const world& w)
{
    const auto call = w.open_call();
    return call != nullptr && call->sent && !call->head_received;
}

bool awaits_body(const world& w)
{
    const auto call = w.open_call();
    return call != nullptr && call->head_received;
}

bool sent(const world& w)
{
    return awaits_head(w) || awaits_body(w);
}

/// An answer whose fields are those of the order unless changed.
struct played_answer
{
    const char* name;
    int status;
    const char* id = world::request_id; ///< Empty: no such field.
    bool signed_body = false;
    const char* not_executed = ""; ///< Empty: no such field.
    const char* instance = "";     ///< Empty: no such field.
    bool truly_rejected = false;
    std::optional<net::call_outcome> end = net::call_outcome::complete;
};

net::http_headers headers_of(const played_answer& answer,
                             const played_call& call)
{
    net::http_headers out;
    const auto add = [&out](const char* name, std::string value)
    {
        if (!value.empty())
        {
            out.add(name, std::move(value));
        }
    };
    add("siskinflow-request-id", answer.id);
    add("siskinflow-response-signature", answer.signed_body ? "signed" : "");
    add("siskinflow-not-executed", answer.not_executed);
    add("siskinflow-instance-id", std::string_view(answer.instance) == "own"
                                      ? call.target()
                                      : answer.instance);
    return out;
}

event answer_event(const played_answer& answer)
{
    return {answer.name, awaits_head,
            [answer](world& w)
            {
                const auto call = w.open_call();
                call->truly_rejected = answer.truly_rejected;
                call->answer(answer.status, headers_of(answer, *call),
                             answer.end);
            }};
}

event end_event(const char* name, std::function<bool(const world&)> applies,
                net::call_outcome outcome)
{
    return {name, std::move(applies),
            [outcome](world& w) { w.open_call()->end(outcome); }};
}

std::vector<played_answer> answers()
{
    using net::call_outcome;
    const char* own = world::request_id;
    return {
        {"success", 200, own, true},
        {"head of a success", 200, own, true, "", "", false, std::nullopt},
        {"signed failure", 500, own, true},
        {"signed 503", 503, own, true},
        {"rejection", 503, own, false, "1", "", true},
        {"cut rejection", 503, own, false, "1", "", true,
         call_outcome::truncated},
        {"misdirected", 421, own, false, "", "other", true},
        {"rejection without an id", 503, "", false, "1"},
        {"rejection of another request", 503, "another", false, "1"},
        {"421 of another request", 421, "another", false, "", "other"},
        {"503 that proves nothing", 503, own},
        {"429 that proves nothing", 429, own},
        {"408 that proves nothing", 408, own},
        {"421 that proves nothing", 421, own},
        {"421 of the target itself", 421, own, false, "", "own"},
        {"signed 421", 421, own, true, "", "other"},
        {"signed rejection", 503, own, true, "1"},
        {"rejection denied", 503, own, false, "0"},
        {"success that denies its run", 200, own, true, "1"},
    };
}

std::vector<event> events()
{
    using net::call_outcome;
    std::vector<event> out;
    out.push_back(
        {"connect", unsent, [](world& w) { w.open_call()->sent = true; }});
    out.push_back({"connect, sent in part", unsent,
                   [](world& w)
                   {
                       w.open_call()->sent = true;
                       w.open_call()->fully_sent = false;
                   }});
    out.push_back(
        end_event("connect fails", unsent, call_outcome::connect_failed));
    out.push_back(
        end_event("connect limit", unsent, call_outcome::connect_timed_out));
    for (const played_answer& answer : answers())
    {
        out.push_back(answer_event(answer));
    }
    out.push_back(end_event("body ends", awaits_body, call_outcome::complete));
    out.push_back(end_event("body cut", awaits_body, call_outcome::truncated));
    out.push_back(end_event("close", sent, call_outcome::broken));
    out.push_back(end_event("call limit", sent, call_outcome::timed_out));
    out.push_back({"attempt limit", always,
                   [](world& w)
                   {
                       w.time.advance(1600ms);
                       w.run();
                   }});
    out.push_back({"deadline", always,
                   [](world& w)
                   {
                       w.time.advance(world::timeout);
                       w.run();
                   }});
    // Timers that are due run after what the sockets report in the same pass.
    out.push_back({"pause past the deadline", always,
                   [](world& w) { w.time.advance(world::timeout); }});
    out.push_back({"caller leaves",
                   [](const world& w) { return !w.exchange->done(); },
                   [](world& w) { w.exchange->leave(); }});
    out.push_back({"stop", [](const world& w) { return !w.state().stop; },
                   [](world& w) {
                       w.state().stop.emplace(w.time.now(),
                                              w.state().settings.stop_grace);
                   }});
    out.push_back({"cut of the stop",
                   [](const world& w) { return w.state().stop.has_value(); },
                   [](world& w)
                   {
                       const auto requests = w.state().in_progress;
                       for (const auto& request : requests)
                       {
                           request->cut_by_stop();
                       }
                   }});
    out.push_back({"target leaves",
                   [](const world& w) { return w.open_call() != nullptr; },
                   [](world& w) { w.make_leave(w.open_call()->target()); }});
    out.push_back({"target withdrawn",
                   [](const world& w) { return w.open_call() != nullptr; },
                   [](world& w)
                   {
                       w.state().targets.remove(w.open_call()->target());
                       w.state().withdraw_unsent();
                   }});
    out.push_back(
        {"free room", always, [](world& w) { w.state().place_all_waiting(); }});
    return out;
}

/// What a sequence must keep.
class order_checker
{
public:
    explicit order_checker(bool idempotent) : idempotent_(idempotent) {}

    /// @return what is broken; empty if nothing is
    std::string check(const world& w) const
    {
        int may_run = 0;
        for (const auto& call : w.caller.calls)
        {
            may_run += call->may_run() ? 1 : 0;
        }
        const int status = w.exchange->status;
        const bool promise =
            status == 408 || status == 421 || status == 429 || status == 503;
        if (!idempotent_ && may_run > 1)
        {
            return "TWICE: an order may run at two targets";
        }
        if (may_run > 2)
        {
            return "BUDGET: more targets than attempts";
        }
        if (w.exchange->answers > 0 && promise && may_run > 0)
        {
            return "REFUSED: " + std::to_string(status) +
                   " for a request that may run";
        }
        return w.exchange->answers > 1 ? "two answers" : "";
    }

    /// Checks once nothing more can happen.
    std::string check_end(const world& w) const
    {
        if (w.exchange->answers != 1 && !w.exchange->gone)
        {
            return "no answer";
        }
        if (!w.state().in_progress.empty() || w.open_call() != nullptr)
        {
            return "kept after the end";
        }
        return check(w);
    }

private:
    bool idempotent_;
};

/// One step: an event, and whether the loop makes a pass before the next.
struct step
{
    const event* what;
    bool pass;
};

class exploration
{
public:
    exploration(bool idempotent, int targets, bool pooled)
        : checker_(idempotent), idempotent_(idempotent), targets_(targets),
          pooled_(pooled)
    {
    }

    /// Plays the steps so far, then each that can follow.
    void explore(std::size_t depth)
    {
        world& w = shared_world();
        std::string broken = play(w);
        const auto next = depth > 0 ? applicable(w) : applicable_events();
        end(w);
        if (broken.empty())
        {
            broken = checker_.check_end(w);
        }
        if (!broken.empty())
        {
            ++broken_;
            if (broken_ <= max_printed)
            {
                print(broken);
            }
            return;
        }
        for (const event* entry : next)
        {
            for (const bool pass : {true, false})
            {
                steps_.push_back({entry, pass});
                ++transitions_;
                explore(depth - 1);
                steps_.pop_back();
            }
        }
    }

    std::size_t transitions() const
    {
        return transitions_;
    }
    std::size_t broken() const
    {
        return broken_;
    }

private:
    using applicable_events = std::vector<const event*>;

    static constexpr std::size_t max_printed = 12;

    static world& shared_world()
    {
        static world* const out = new world; // Its loop can't be destroyed.
        return *out;
    }

    applicable_events applicable(const world& w) const
    {
        applicable_events out;
        for (const event& entry : events_)
        {
            if (entry.applies(w))
            {
                out.push_back(&entry);
            }
        }
        return out;
    }

    /// Plays the steps so far on a new request.
    /// @return what was broken on the way; empty if nothing was
    std::string play(world& w)
    {
        w.begin(idempotent_, targets_, pooled_);
        std::string broken;
        for (const step& entry : steps_)
        {
            // A cancellation without a pass may have removed what it needs.
            if (entry.what->applies(w))
            {
                entry.what->play(w);
            }
            if (entry.pass)
            {
                w.run();
            }
            if (broken.empty())
            {
                broken = checker_.check(w);
            }
        }
        return broken;
    }

    /// Lets all time pass.
    static void end(world& w)
    {
        for (int i = 0; i < 4; ++i)
        {
            w.time.advance(3s);
            w.run();
        }
    }

    void print(const std::string& broken) const
    {
        std::printf("BROKEN %s, %s, %d targets%s:", broken.c_str(),
                    idempotent_ ? "lookup" : "order", targets_,
                    pooled_ ? ", open connections" : "");
        for (const step& entry : steps_)
        {
            std::printf(" %s%s", entry.what->name, entry.pass ? ";" : ",");
        }
        std::printf("\n");
    }

    order_checker checker_;
    bool idempotent_;
    int targets_;
    bool pooled_;
    std::vector<event> events_ = events();
    std::vector<step> steps_;
    std::size_t transitions_ = 0;
    std::size_t broken_ = 0;
};

/// Events in a sequence; more by hand.
std::size_t depth()
{
    const char* value = std::getenv("SISKINFLOW_EXPLORATION_DEPTH");
    return value == nullptr ? 3 : std::strtoul(value, nullptr, 10);
}

void explore_all(bool idempotent)
{
    const auto began = std::chrono::steady_clock::now();
    std::size_t transitions = 0;
    std::size_t broken = 0;
    for (const int targets : {1, 2})
    {
        for (const bool pooled : {false, true})
        {
            exploration run(idempotent, targets, pooled);
            run.explore(depth());
            transitions += run.transitions();
            broken += run.broken();
        }
    }
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - began;
    std::printf("%s: depth %zu, %zu sequences, %zu broken, %.1f s\n",
                idempotent ? "lookups" : "orders", depth(), transitions, broken,
                took.count());
    EXPECT(broken == 0);
}

} // namespace

// Guards against an order that runs at two targets, and against a promise for
// a request that may run (TWICE, REFUSED), in any order of events.
Test(gateway_request_orders, no_order_of_events_runs_an_order_twice)
{
    explore_all(false);
}

// Guards against a lookup that gets no answer or two, or that is sent to more
// targets than its route allows (BUDGET).
Test(gateway_request_orders, no_order_of_events_loses_a_lookup)
{
    explore_all(true);
}

// Guards against a target that is held for cold or loaded because of an answer
// that another target, or another request, has got.
Test(gateway_request_orders, a_foreign_answer_tells_nothing_about_a_target)
{
    static world* const out = new world; // Its loop can't be destroyed.
    world& w = *out;
    const auto becomes_cold = [&](int status, net::http_headers headers)
    {
        w.begin(false, 1, true);
        headers.add("siskinflow-warmup-remaining-ms", "5000");
        const auto target = w.state().targets.find("orders-0");
        w.open_call()->answer(status, headers, net::call_outcome::complete);
        w.run();
        return target->cold(w.time.now());
    };
    section("its own",
            [&]
            {
                EXPECT(becomes_cold(
                    503, {{"siskinflow-request-id", world::request_id},
                          {"siskinflow-not-executed", "1"}}));
            });
    section("of another target at the address",
            [&]
            {
                EXPECT(!becomes_cold(
                    421, {{"siskinflow-request-id", world::request_id},
                          {"siskinflow-instance-id", "other"}}));
            });
    section("to another request",
            [&]
            {
                EXPECT(!becomes_cold(503, {{"siskinflow-request-id", "another"},
                                           {"siskinflow-not-executed", "1"}}));
            });
}
