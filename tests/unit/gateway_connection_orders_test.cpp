#include "connection_world.hpp"
#include "test_sections.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using connection_world::answer_kind;
using connection_world::arrival;
using connection_world::arrival_state;
using connection_world::caller_send;
using connection_world::entry;
using connection_world::sent_answer;
using connection_world::target_connection;
using connection_world::world;
using test_sections::section;

// Sequences of events around the requests that share connections to targets,
// of which each may send copies of what it has sent on a connection. A target
// may run any request that arrives, whatever instance it names.

namespace
{

enum class event_group : std::uint8_t
{
    target,
    caller,
    surroundings, ///< Registry, stop and time.
};

/// Something that happens. `applies` tells whether it can.
struct event
{
    std::string name;
    event_group group;
    std::function<bool(world&)> applies;
    std::function<void(world&)> play;
    bool held = false; ///< The loop makes no pass before the next event.
};

// Events of targets

/// Connections of a sequence on which a target acts.
constexpr std::size_t max_connections = 3;

using connection_condition = std::function<bool(const target_connection&)>;
using connection_action = std::function<void(world&, target_connection&)>;

bool request_due(const target_connection& c)
{
    return !c.due.empty() && c.rest.empty();
}

bool has_refused(const target_connection& c)
{
    return c.last(true) != nullptr;
}

bool always(const target_connection& /*c*/)
{
    return true;
}

event connection_event(std::size_t number, const std::string& name,
                       const connection_condition& applies,
                       const connection_action& play)
{
    return {std::to_string(number + 1) + ": " + name, event_group::target,
            [=](world& w)
            {
                const auto* connection = w.open_connection(number);
                return connection != nullptr && applies(*connection);
            },
            [=](world& w) { play(w, *w.open_connection(number)); }};
}

connection_action answer_with(answer_kind kind, bool whole = true)
{
    return [=](world& w, target_connection& c) { w.answer(c, kind, whole); };
}

connection_action write_bytes(const std::string& bytes)
{
    return [=](world& w, target_connection& c) { w.write(c, bytes); };
}

/// Adds an event and the same one without a pass of the loop behind it.
void add_with_held(std::vector<event>& out, event added)
{
    out.push_back(added);
    added.name += ", held";
    added.held = true;
    out.push_back(std::move(added));
}

void add_answers(std::vector<event>& out, std::size_t number)
{
    const auto add = [&](const char* name, const connection_action& play)
    { add_with_held(out, connection_event(number, name, request_due, play)); };
    add("run", answer_with(answer_kind::success));
    add("run and fail", answer_with(answer_kind::failure));
    add("refuse", answer_with(answer_kind::refusal));
    add("misdirected", answer_with(answer_kind::misdirected));
    out.push_back(connection_event(number, "begin success", request_due,
                                   answer_with(answer_kind::success, false)));
    out.push_back(connection_event(number, "begin refusal", request_due,
                                   answer_with(answer_kind::refusal, false)));
    out.push_back(connection_event(
        number, "rest of the answer",
        [](const target_connection& c) { return !c.rest.empty(); },
        [](world& w, target_connection& c) { w.write_rest(c); }));
}

void add_copies(std::vector<event>& out, std::size_t number)
{
    add_with_held(out,
                  connection_event(number, "copy of the refusal", has_refused,
                                   [](world& w, target_connection& c)
                                   { w.write(c, c.last(true)->bytes); }));
    add_with_held(out, connection_event(number, "cut copy of the refusal",
                                        has_refused,
                                        [](world& w, target_connection& c)
                                        { w.write(c, c.last(true)->cut()); }));
    out.push_back(connection_event(
        number, "copy of the first refusal",
        [](const target_connection& c)
        { return has_refused(c) && c.first_refusal() != c.last(true); },
        [](world& w, target_connection& c)
        { w.write(c, c.first_refusal()->bytes); }));
    out.push_back(connection_event(
        number, "two copies of the refusal", has_refused,
        [](world& w, target_connection& c)
        { w.write(c, c.last(true)->bytes + c.last(true)->bytes); }));
    out.push_back(connection_event(
        number, "copy of the result",
        [](const target_connection& c) { return c.last(false) != nullptr; },
        [](world& w, target_connection& c)
        { w.write(c, c.last(false)->bytes); }));
}

void add_faults(std::vector<event>& out, std::size_t number)
{
    out.push_back(connection_event(
        number, "interim head", always,
        write_bytes("HTTP/1.1 103 Early Hints\r\nsiskinflow-not-executed: "
                    "1\r\n\r\n")));
    out.push_back(connection_event(number, "spoiled bytes", always,
                                   write_bytes("\x01\x02 no answer\r\n\r\n")));
    out.push_back(connection_event(number, "close", always,
                                   [](world& w, target_connection& c)
                                   { w.close(c); }));
}

// Events of callers

constexpr std::size_t max_sends_of_each = 2;

std::vector<const caller_send*> sends_of(const world& w, const std::string& id)
{
    std::vector<const caller_send*> out;
    for (const caller_send& sent : w.sends)
    {
        if (sent.id == id)
        {
            out.push_back(&sent);
        }
    }
    return out;
}

void add_caller(std::vector<event>& out, const std::string& id, bool order)
{
    out.push_back({"send " + id, event_group::caller,
                   [=](world& w)
                   { return sends_of(w, id).size() < max_sends_of_each; },
                   [=](world& w) { w.send(id, order); }});
    out.push_back({"caller of " + id + " leaves", event_group::caller,
                   [=](world& w)
                   {
                       const auto sends = sends_of(w, id);
                       return !sends.empty() && !sends.back()->exchange->done();
                   },
                   [=](world& w)
                   { sends_of(w, id).back()->exchange->leave(); }});
}

// Events of the surroundings

event surroundings_event(const char* name, std::function<bool(world&)> applies,
                         std::function<void(world&)> play)
{
    return {name, event_group::surroundings, std::move(applies),
            std::move(play)};
}

bool any_time(world& /*w*/)
{
    return true;
}

std::function<bool(world&)> registered(const char* id)
{
    return [id](world& w) { return w.registered(id); };
}

void add_registry(std::vector<event>& out)
{
    out.push_back(surroundings_event(
        "entry joins address 1", [](world& w) { return !w.registered("new"); },
        [](world& w) {
            w.put({"new", 0});
        }));
    out.push_back(surroundings_event("entry comes back", registered("one"),
                                     [](world& w)
                                     {
                                         w.remove("one");
                                         w.put({"one", 0});
                                     }));
    out.push_back(surroundings_event("entry is replaced", registered("one"),
                                     [](world& w)
                                     {
                                         w.remove("one");
                                         w.put({"replacement", 0});
                                     }));
}

void add_time(std::vector<event>& out)
{
    out.push_back(surroundings_event(
        "stop", [](world& w) { return !w.state().stop; },
        [](world& w) {
            w.state().stop.emplace(w.time.now(), w.state().settings.stop_grace);
        }));
    out.push_back(surroundings_event(
        "cut of the stop", [](world& w) { return w.state().stop.has_value(); },
        [](world& w)
        {
            const auto all = w.state().in_progress;
            for (const auto& request : all)
            {
                request->cut_by_stop();
            }
        }));
    // Long enough for the return of an ejected target.
    out.push_back(surroundings_event("pause of 700 ms", any_time,
                                     [](world& w) { w.time.advance(700ms); }));
    out.push_back(surroundings_event("deadline", any_time,
                                     [](world& w)
                                     { w.time.advance(world::timeout); }));
    // Timers that are due run after what the sockets report in the same pass.
    out.push_back(surroundings_event("pause past the deadline", any_time,
                                     [](world& w)
                                     { w.time.advance(world::timeout); }));
    out.back().held = true;
}

const std::vector<event>& all_events()
{
    static const std::vector<event> all = []
    {
        std::vector<event> out;
        for (std::size_t i = 0; i < max_connections; ++i)
        {
            add_answers(out, i);
            add_copies(out, i);
            add_faults(out, i);
        }
        add_caller(out, "order-a", true);
        add_caller(out, "order-b", true);
        add_caller(out, "lookup", false);
        add_registry(out);
        add_time(out);
        return out;
    }();
    return all;
}

const event& find_event(std::string_view name)
{
    for (const event& candidate : all_events())
    {
        if (candidate.name == name)
        {
            return candidate;
        }
    }
    cr_assert_fail("no such event: %s", std::string(name).c_str());
    std::abort();
}

// Rules

std::string check_order(const world& w, const std::string& id)
{
    int may_run = 0;
    for (const arrival& arrived : w.arrivals)
    {
        may_run += arrived.id == id && arrived.may_run() ? 1 : 0;
    }
    if (may_run > 1)
    {
        return "TWICE: " + id + " may run twice";
    }
    for (const caller_send* sent : sends_of(w, id))
    {
        const bool ran_before =
            std::any_of(w.arrivals.begin(), w.arrivals.end(),
                        [&](const arrival& arrived)
                        {
                            return arrived.id == id && arrived.may_run() &&
                                   arrived.sent_in_step <= sent->ended;
                        });
        if (sent->ended != 0 && sent->promised() && ran_before)
        {
            return "REFUSED: " + std::to_string(sent->exchange->status) +
                   " for " + id + ", which may run";
        }
    }
    return {};
}

std::string check_answers(const world& w)
{
    for (const caller_send& sent : w.sends)
    {
        const bool ran =
            std::any_of(w.arrivals.begin(), w.arrivals.end(),
                        [&](const arrival& arrived) {
                            return arrived.id == sent.id &&
                                   arrived.state == arrival_state::ran;
                        });
        if (sent.exchange->answers > 1)
        {
            return "two answers to " + sent.id;
        }
        if (sent.exchange->status / 100 == 2 && !ran)
        {
            return "MIXED: success for " + sent.id + ", which has not run";
        }
    }
    return {};
}

/// @return what is broken; empty if nothing is
std::string check(const world& w)
{
    for (const char* id : {"order-a", "order-b"})
    {
        if (auto broken = check_order(w, id); !broken.empty())
        {
            return broken;
        }
    }
    return check_answers(w);
}

/// Checks once nothing more can happen.
std::string check_end(const world& w)
{
    for (const caller_send& sent : w.sends)
    {
        if (sent.exchange->answers != 1 && !sent.exchange->gone)
        {
            return "no answer to " + sent.id;
        }
    }
    if (!w.state().in_progress.empty())
    {
        return "request kept after the end";
    }
    for (const target_connection& connection : w.connections)
    {
        if (!connection.closed_by_peer)
        {
            return "connection kept after the end";
        }
    }
    return check(w);
}

// Sequences

world& shared_world()
{
    static world* const out = new world; // Its loop can't be destroyed.
    return *out;
}

using event_list = std::vector<const event*>;

/// Registered targets, by the addresses that they share.
enum class fleet : std::uint8_t
{
    one,
    two_addresses,
    three_at_one_address,
    two_at_one_of_two_addresses,
};

constexpr std::array<std::string_view, 4> fleet_names = {
    "one", "two_addresses", "three_at_one_address",
    "two_at_one_of_two_addresses"};

const std::vector<entry>& entries_of(fleet value)
{
    static const std::array<std::vector<entry>, 4> entries = {{
        {{"one", 0}},
        {{"one", 0}, {"two", 1}},
        {{"one", 0}, {"two", 0}, {"three", 0}},
        {{"one", 0}, {"two", 0}, {"three", 1}},
    }};
    return entries.at(static_cast<std::size_t>(value));
}

/// Plays events on a new state of the gateway.
/// @param diverged counts events that did not apply
/// @return what was broken on the way; empty if nothing was
std::string play_events(world& w, fleet registered_fleet,
                        const event_list& events, std::size_t& diverged)
{
    w.begin(entries_of(registered_fleet));
    std::string broken;
    for (const event* next : events)
    {
        ++w.step;
        if (!next->applies(w))
        {
            ++diverged;
            continue;
        }
        next->play(w);
        if (!next->held)
        {
            w.settle();
        }
        if (broken.empty())
        {
            broken = check(w);
        }
    }
    return broken;
}

/// Plays a sequence by the names of its events, then lets all time pass.
/// @return what was broken; empty if nothing was
std::string play(fleet registered_fleet,
                 const std::vector<std::string_view>& names)
{
    event_list events;
    for (const std::string_view name : names)
    {
        events.push_back(&find_event(name));
    }
    world& w = shared_world();
    std::size_t diverged = 0;
    std::string broken = play_events(w, registered_fleet, events, diverged);
    cr_assert(diverged == 0, "%zu events did not apply", diverged);
    w.end();
    return broken.empty() ? check_end(w) : broken;
}

/// A state from which sequences are explored.
struct prepared_state
{
    const char* name;
    fleet registered_fleet;
    std::vector<std::string_view> events;
};

const std::vector<prepared_state>& prepared_states()
{
    static const std::vector<prepared_state> out = {
        {"an order at one target", fleet::one, {"send order-a"}},
        {"an order on a kept connection",
         fleet::two_addresses,
         {"send order-b", "1: run", "send order-a"}},
        {"a refused order", fleet::one, {"send order-a", "1: refuse"}},
        {"an order sent again after its refusal",
         fleet::two_addresses,
         {"send order-a", "1: refuse"}},
        {"an order behind the refusal of another",
         fleet::one,
         {"send order-b", "1: refuse", "send order-a"}},
        {"an order sent again to an entry of the same address",
         fleet::three_at_one_address,
         {"send order-a", "1: refuse"}},
        {"an order sent again to an address that it knows",
         fleet::two_at_one_of_two_addresses,
         {"send order-a", "1: misdirected"}},
        {"two orders on two connections",
         fleet::two_addresses,
         {"send order-a", "send order-b"}},
        {"a lookup and an order",
         fleet::one,
         {"send lookup", "1: run", "send lookup", "send order-a"}},
    };
    return out;
}

/// Events of each group in an explored sequence, behind the prepared state.
constexpr std::array<std::size_t, 3> max_of_group = {100, 2, 1};

/// What was explored.
struct exploration_figures
{
    std::size_t sequences = 0;
    std::size_t transitions = 0; ///< Events played, with those of replays.
    std::size_t diverged = 0;    ///< Events that did not apply when replayed.
    std::map<std::string, std::size_t> broken; ///< By rule.
    /// The shortest broken sequence of each rule.
    std::map<std::string, std::pair<std::size_t, std::string>> shortest;

    std::size_t all_broken() const
    {
        std::size_t out = 0;
        for (const auto& [rule, count] : broken)
        {
            out += count;
        }
        return out;
    }
};

class exploration
{
public:
    exploration(const prepared_state& start, exploration_figures& figures)
        : start_(start), figures_(figures)
    {
        for (const std::string_view name : start.events)
        {
            events_.push_back(&find_event(name));
        }
    }

    /// Plays the events so far, then each that can follow.
    void explore(std::size_t depth)
    {
        world& w = shared_world();
        ++figures_.sequences;
        figures_.transitions += events_.size();
        std::string broken =
            play_events(w, start_.registered_fleet, events_, figures_.diverged);
        const event_list next = depth > 0 ? applicable(w) : event_list();
        w.end();
        broken = broken.empty() ? check_end(w) : broken;
        if (!broken.empty())
        {
            note(broken);
            return;
        }
        for (const event* entry : next)
        {
            events_.push_back(entry);
            explore(depth - 1);
            events_.pop_back();
        }
    }

private:
    event_list applicable(world& w) const
    {
        std::array<std::size_t, 3> played{};
        for (std::size_t i = start_.events.size(); i < events_.size(); ++i)
        {
            ++played.at(static_cast<std::size_t>(events_[i]->group));
        }
        event_list out;
        for (const event& entry : all_events())
        {
            const auto group = static_cast<std::size_t>(entry.group);
            if (played.at(group) < max_of_group.at(group) && entry.applies(w))
            {
                out.push_back(&entry);
            }
        }
        return out;
    }

    void note(const std::string& broken)
    {
        const std::string rule =
            std::string(start_.name) + ", " +
            broken.substr(0, std::min(broken.find(':'), broken.size()));
        ++figures_.broken[rule];
        auto& shortest = figures_.shortest[rule];
        if (shortest.first == 0 || events_.size() < shortest.first)
        {
            shortest = {events_.size(), text() + " // " + broken};
        }
    }

    /// The sequence as a call of `play`.
    std::string text() const
    {
        std::string out = "play(fleet::";
        out +=
            fleet_names.at(static_cast<std::size_t>(start_.registered_fleet));
        out += ", {";
        for (std::size_t i = 0; i < events_.size(); ++i)
        {
            out += (i == 0 ? "\"" : ", \"") + events_[i]->name + "\"";
        }
        return out + "})";
    }

    const prepared_state& start_;
    exploration_figures& figures_;
    event_list events_;
};

/// Events of a sequence behind its prepared state; more by hand.
std::size_t depth()
{
    const char* value = std::getenv("SISKINFLOW_EXPLORATION_DEPTH");
    return value == nullptr ? 2 : std::strtoul(value, nullptr, 10);
}

void print(const prepared_state& start, const exploration_figures& figures,
           double seconds)
{
    std::printf("%s: depth %zu, %zu sequences, %zu transitions, %zu broken, "
                "%zu diverged, %.1f s\n",
                start.name, depth(), figures.sequences, figures.transitions,
                figures.all_broken(), figures.diverged, seconds);
    for (const auto& [rule, count] : figures.broken)
    {
        std::printf("BROKEN %zu %s:\n  EXPECT(%s\n", count, rule.c_str(),
                    figures.shortest.at(rule).second.c_str());
    }
}

} // namespace

// Guards against an order that runs twice, and a promise for an order that may
// run (TWICE, REFUSED), because of what a target sends on a connection that has
// carried other requests or the same one.
Test(gateway_connection_orders, no_copy_passes_for_proof)
{
    std::size_t broken = 0;
    for (const prepared_state& start : prepared_states())
    {
        exploration_figures figures;
        const auto began = std::chrono::steady_clock::now();
        exploration(start, figures).explore(depth());
        const std::chrono::duration<double> took =
            std::chrono::steady_clock::now() - began;
        print(start, figures, took.count());
        broken += figures.all_broken();
    }
    EXPECT(broken == 0);
}
