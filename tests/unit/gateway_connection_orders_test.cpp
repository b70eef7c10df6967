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
    answers,      ///< Of targets, and copies of them.
    disturbances, ///< Other events; a sequence has few of them.
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
constexpr std::size_t max_connections = 4;

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
    return {std::to_string(number + 1) + ": " + name, event_group::answers,
            [=](world& w)
            {
                const auto* connection = w.open_connection(number);
                return connection != nullptr && applies(*connection);
            },
            [=](world& w) { play(w, *w.open_connection(number)); }};
}

connection_action answer_with(answer_kind kind)
{
    return [=](world& w, target_connection& c) { w.answer(c, kind); };
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
    out.push_back(connection_event(number, "misdirected", request_due,
                                   answer_with(answer_kind::misdirected)));
    out.push_back(connection_event(number, "begin success", request_due,
                                   [](world& w, target_connection& c)
                                   {
                                       w.begin_answer(
                                           c, answer_kind::success,
                                           [](const sent_answer& answer)
                                           { return answer.bytes.size() - 1; });
                                   }));
    out.push_back(connection_event(number, "begin failure", request_due,
                                   [](world& w, target_connection& c)
                                   {
                                       w.begin_answer(
                                           c, answer_kind::failure,
                                           [](const sent_answer& answer)
                                           { return answer.cut().size(); });
                                   }));
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
    const auto has_result = [](const target_connection& c)
    { return c.last(false) != nullptr; };
    out.push_back(connection_event(number, "copy of the result", has_result,
                                   [](world& w, target_connection& c)
                                   { w.write(c, c.last(false)->bytes); }));
    out.push_back(connection_event(number, "cut copy of the result", has_result,
                                   [](world& w, target_connection& c)
                                   { w.write(c, c.last(false)->cut()); }));
}

void add_faults(std::vector<event>& out, std::size_t number)
{
    const auto add = [&](const char* name, const connection_action& play)
    {
        out.push_back(connection_event(number, name, always, play));
        out.back().group = event_group::disturbances;
    };
    add("interim head", write_bytes("HTTP/1.1 103 Early Hints\r\n"
                                    "siskinflow-not-executed: 1\r\n\r\n"));
    add("spoiled bytes", write_bytes("\x01\x02 no answer\r\n\r\n"));
    add("close", [](world& w, target_connection& c) { w.close(c); });
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
    out.push_back({"send " + id, event_group::disturbances,
                   [=](world& w)
                   { return sends_of(w, id).size() < max_sends_of_each; },
                   [=](world& w) { w.send(id, order); }});
    out.push_back({"caller of " + id + " leaves", event_group::disturbances,
                   [=](world& w)
                   {
                       const auto sends = sends_of(w, id);
                       return !sends.empty() && !sends.back()->exchange->done();
                   },
                   [=](world& w)
                   { sends_of(w, id).back()->exchange->leave(); }});
}

// Events of the registry, of a stop and of time

event other_event(const char* name, std::function<bool(world&)> applies,
                  std::function<void(world&)> play)
{
    return {name, event_group::disturbances, std::move(applies),
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
    out.push_back(other_event(
        "entry joins address 1", [](world& w) { return !w.registered("new"); },
        [](world& w) {
            w.put({"new", 0});
        }));
    out.push_back(other_event(
        "entry joins address 2",
        [](world& w) { return !w.registered("another"); },
        [](world& w) {
            w.put({"another", 1});
        }));
    out.push_back(other_event("entry comes back", registered("one"),
                              [](world& w)
                              {
                                  w.remove("one");
                                  w.put({"one", 0});
                              }));
    out.push_back(other_event("entry is replaced", registered("one"),
                              [](world& w)
                              {
                                  w.remove("one");
                                  w.put({"replacement", 0});
                              }));
}

void add_time(std::vector<event>& out)
{
    out.push_back(other_event(
        "stop", [](world& w) { return !w.state().stop; },
        [](world& w) {
            w.state().stop.emplace(w.time.now(), w.state().settings.stop_grace);
        }));
    out.push_back(other_event(
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
    out.push_back(other_event("pause of 700 ms", any_time,
                              [](world& w) { w.time.advance(700ms); }));
    out.push_back(other_event("deadline", any_time,
                              [](world& w)
                              { w.time.advance(world::timeout); }));
    // Timers that are due run after what the sockets report in the same pass.
    out.push_back(other_event("pause past the deadline", any_time,
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
            return "MIXED: success for " + sent.id +
                   ", which has not succeeded";
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
    one_slot,
};

constexpr std::array<std::string_view, 5> fleet_names = {
    "one", "two_addresses", "three_at_one_address",
    "two_at_one_of_two_addresses", "one_slot"};

const std::vector<entry>& entries_of(fleet value)
{
    static const std::array<std::vector<entry>, 5> entries = {{
        {{"one", 0}},
        {{"one", 0}, {"two", 1}},
        {{"one", 0}, {"two", 0}, {"three", 0}},
        {{"one", 0}, {"two", 0}, {"three", 1}},
        {{"one", 0, 1}},
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

/// Plays a sequence by the names of its events, then lets all time pass. An
/// event that does not apply, for instance to a connection that the gateway has
/// closed, is left out.
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
    std::size_t left_out = 0;
    std::string broken = play_events(w, registered_fleet, events, left_out);
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

/// The requests that have arrived, for instance "order-a on 1: refused".
std::string arrivals_text(const world& w)
{
    std::string out;
    for (const arrival& arrived : w.arrivals)
    {
        out += (out.empty() ? "" : "; ") + arrived.id + " on " +
               std::to_string(arrived.connection) + ": " +
               std::string(name(arrived.state));
    }
    return out;
}

/// Events of a sequence behind its prepared state; more by hand.
std::size_t max_depth()
{
    constexpr std::size_t usual_depth = 3;
    const char* value = std::getenv("SISKINFLOW_EXPLORATION_DEPTH");
    return value == nullptr ? usual_depth : std::strtoul(value, nullptr, 10);
}

/// Disturbances of a sequence behind its prepared state.
std::size_t max_disturbances()
{
    constexpr std::size_t depth_without_more = 2;
    return std::max(max_depth(), depth_without_more + 1) - depth_without_more;
}

/// What was explored.
struct exploration_figures
{
    std::size_t sequences = 0;
    std::size_t transitions = 0; ///< Events played, with those of replays.
    std::string prepared;        ///< Requests that have arrived at first.
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
        const event_list next =
            depth > 0 ? applicable(w, depth > 1) : event_list();
        if (events_.size() == start_.events.size())
        {
            figures_.prepared = arrivals_text(w);
        }
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
    /// @param with_held whether an event follows that a held one can precede
    event_list applicable(world& w, bool with_held) const
    {
        const auto disturbances = static_cast<std::size_t>(std::count_if(
            events_.begin() + static_cast<std::ptrdiff_t>(start_.events.size()),
            events_.end(),
            [](const event* played)
            { return played->group == event_group::disturbances; }));
        event_list out;
        for (const event& entry : all_events())
        {
            const bool allowed = (entry.group == event_group::answers ||
                                  disturbances < max_disturbances()) &&
                                 (with_held || !entry.held);
            if (allowed && entry.applies(w))
            {
                out.push_back(&entry);
            }
        }
        return out;
    }

    void note(const std::string& broken)
    {
        const std::string rule = rule_of(broken);
        ++figures_.broken[rule];
        auto& shortest = figures_.shortest[rule];
        if (shortest.first == 0 || events_.size() < shortest.first)
        {
            shortest = {events_.size(),
                        "EXPECT(" + text() + " == \"\"); // " + broken};
        }
    }

    /// The rule that was broken, and whether a caller had sent an id again. On
    /// its own that breaks rules, if the gateway treats it as a new request.
    static std::string rule_of(const std::string& broken)
    {
        const world& w = shared_world();
        const bool repeated = std::any_of(
            w.sends.begin(), w.sends.end(),
            [&](const caller_send& sent)
            { return sent.order && sends_of(w, sent.id).size() > 1; });
        return broken.substr(0, broken.find(':')) +
               (repeated ? ", id sent again" : "");
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

void print(const prepared_state& start, const exploration_figures& figures,
           double seconds)
{
    std::printf("%s (%s): depth %zu, %zu sequences, %zu transitions, "
                "%zu broken, %zu diverged, %.1f s\n",
                start.name, figures.prepared.c_str(), max_depth(),
                figures.sequences, figures.transitions, figures.all_broken(),
                figures.diverged, seconds);
    for (const auto& [rule, count] : figures.broken)
    {
        std::printf("BROKEN %zu %s:\n  %s\n", count, rule.c_str(),
                    figures.shortest.at(rule).second.c_str());
    }
    std::fflush(stdout);
}

/// Explores the sequences that begin in a state, and prints the figures.
/// @return whether all of them keep the rules
bool holds_after(const prepared_state& start)
{
    exploration_figures figures;
    const auto began = std::chrono::steady_clock::now();
    exploration(start, figures).explore(max_depth());
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - began;
    print(start, figures, took.count());
    return figures.diverged == 0 && figures.all_broken() == 0;
}

} // namespace

// Each test guards against an order that runs twice, a promise for an order
// that may run, and a success for one that has not succeeded (TWICE, REFUSED,
// MIXED), because of what a target sends on a connection that has carried the
// same request, or other ones. They differ in the state from which the
// sequences begin.

// Guards against copies of a result that pass for an answer.
Test(gateway_connection_orders, an_order_after_a_result)
{
    EXPECT(holds_after({"an order after a result",
                        fleet::one,
                        {"send order-b", "1: run", "send order-a"}}));
}

// Guards against copies of a failure that pass for an answer.
Test(gateway_connection_orders, an_order_after_a_failure)
{
    EXPECT(holds_after({"an order after a failure",
                        fleet::one,
                        {"send order-b", "1: run and fail", "send order-a"}}));
}

// Guards against a copy of the first refusal of an order that passes for its
// second one.
Test(gateway_connection_orders, a_refused_order_at_another_address)
{
    EXPECT(holds_after({"a refused order at another address",
                        fleet::two_addresses,
                        {"send order-a", "1: refuse"}}));
}

// Guards against a refusal that begins with the copy of the refusal of another
// order and ends with the answer to this one.
Test(gateway_connection_orders, an_order_after_the_refusal_of_another)
{
    EXPECT(holds_after({"an order after the refusal of another",
                        fleet::one,
                        {"send order-b", "1: refuse", "pause of 700 ms",
                         "send order-a", "entry joins address 2"}}));
}

// Guards against a copy of the refusal of an order that its caller has sent
// again.
Test(gateway_connection_orders, a_refused_order_that_is_repeated)
{
    EXPECT(holds_after(
        {"a refused order that is repeated",
         fleet::one,
         {"send order-a", "1: refuse", "pause of 700 ms", "send order-a"}}));
}

// Guards against an order that is sent again to another entry of the address
// that has refused it.
Test(gateway_connection_orders, three_entries_of_one_address)
{
    EXPECT(holds_after({"three entries of one address",
                        fleet::three_at_one_address,
                        {"send order-a", "1: refuse", "2: refuse"}}));
}

// Guards against an order that is sent again to the address of the target that
// it has missed, and then to another one.
Test(gateway_connection_orders, a_misdirected_order)
{
    EXPECT(holds_after({"a misdirected order",
                        fleet::two_at_one_of_two_addresses,
                        {"send order-a", "1: misdirected"}}));
}

// Guards against the answer to one of two orders that ends the other one.
Test(gateway_connection_orders, two_orders_under_way)
{
    EXPECT(holds_after({"two orders under way",
                        fleet::two_addresses,
                        {"send order-a", "send order-b"}}));
}

// Guards against an order that waits for room, and is sent on the connection of
// the request that has made it.
Test(gateway_connection_orders, an_order_that_waits)
{
    EXPECT(holds_after({"an order that waits",
                        fleet::one_slot,
                        {"send order-b", "send lookup", "send order-a"}}));
}

// Guards against a lookup whose answers pass for those of an order on the same
// connection.
Test(gateway_connection_orders, an_order_after_a_lookup)
{
    EXPECT(holds_after(
        {"an order after a lookup",
         fleet::one,
         {"send lookup", "1: refuse", "pause of 700 ms", "send order-a"}}));
}

// Guards against an order that goes to the next target at an address, on a
// connection to the previous one.
Test(gateway_connection_orders, an_entry_that_is_replaced)
{
    EXPECT(holds_after(
        {"an entry that is replaced",
         fleet::one,
         {"send order-a", "1: refuse", "entry is replaced", "send order-b"}}));
}

// Guards against the return of the shortest sequences that broke a rule at
// e684253.
Test(gateway_connection_orders, shortest_broken_sequences)
{
    section("refused by a copy of its first refusal",
            []
            {
                EXPECT(play(fleet::three_at_one_address,
                            {"send order-a", "1: refuse", "2: refuse",
                             "1: copy of the refusal"}) == "");
            });
    section("sent again because of a copy of its first refusal",
            []
            {
                EXPECT(play(fleet::three_at_one_address,
                            {"send order-a", "1: refuse", "2: refuse",
                             "entry joins address 1",
                             "1: copy of the refusal"}) == "");
            });
    section("refused by the copy of the refusal of another, cut",
            []
            {
                EXPECT(play(fleet::one,
                            {"send order-a", "1: refuse", "entry is replaced",
                             "send order-b", "1: cut copy of the refusal",
                             "1: run and fail"}) == "");
            });
    section("sent again because of the copy of the refusal of another, cut",
            []
            {
                EXPECT(play(fleet::one,
                            {"send order-b", "1: refuse", "pause of 700 ms",
                             "send order-a", "entry joins address 2",
                             "1: cut copy of the refusal",
                             "1: run and fail"}) == "");
            });
    section("failed, behind the copy of the result of another, cut",
            []
            {
                EXPECT(play(fleet::one,
                            {"send order-b", "1: run", "send order-a",
                             "1: cut copy of the result", "1: run and fail"}) ==
                       "");
            });
    section("repeated after its refusal, which is copied",
            []
            {
                EXPECT(play(fleet::one,
                            {"send order-a", "1: refuse", "pause of 700 ms",
                             "send order-a", "1: copy of the refusal"}) == "");
            });
    section("repeated at once",
            []
            {
                EXPECT(play(fleet::two_addresses,
                            {"send order-a", "send order-a"}) == "");
            });
    section("repeated after it has run",
            []
            {
                EXPECT(play(fleet::one,
                            {"send order-a", "1: run", "send order-a"}) == "");
            });
}
