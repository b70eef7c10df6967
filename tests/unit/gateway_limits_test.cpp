#include "request_flow_world.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>

using namespace siskinflow;
using namespace std::chrono_literals;
using request_flow_world::played_call;
using request_flow_world::world;
using test_sections::section;

// Limits of a request that the operators or its caller set.

namespace
{

constexpr const char* key = "key-of-acme";

world& new_world()
{
    // Its loop can't be destroyed.
    return *new world; // NOLINT(cppcoreguidelines-owning-memory)
}

net::http_headers with_id()
{
    return {{"siskinflow-request-id", world::request_id}};
}

/// The target rejects the request of the open call.
void reject(world& w)
{
    const auto call = w.open_call();
    call->sent = true;
    net::http_headers headers = with_id();
    headers.add("siskinflow-not-executed", "1");
    call->answer(503, headers, net::call_outcome::complete);
    w.run();
}

/// The target runs the request of the open call and fails.
void fail(world& w)
{
    const auto call = w.open_call();
    call->sent = true;
    net::http_headers headers = with_id();
    headers.add("siskinflow-response-signature", "signed");
    call->answer(500, headers, net::call_outcome::complete);
    w.run();
}

/// Passes the time in steps, so that timers that start others are due too.
void pass(world& w, duration time)
{
    constexpr duration step = 50ms;
    for (duration passed{0}; passed < time; passed += step)
    {
        w.time.advance(step);
        w.run();
    }
}

int requests_in(const world& w, int first_port, int last_port)
{
    return static_cast<int>(
        std::count_if(w.caller.calls.begin(), w.caller.calls.end(),
                      [&](const auto& call)
                      {
                          return call->request.peer.port >= first_port &&
                                 call->request.peer.port <= last_port;
                      }));
}

/// Ports of the targets in the region of the VM, then of those in the south.
constexpr int north_port = 9000;
constexpr int south_port = 9002;
constexpr int last_port = 9003;

void allow_regions(world& w, std::vector<std::string> of_organisation,
                   std::vector<std::string> of_routes)
{
    w.change_settings = [](gateway::gateway_settings& settings)
    { settings.regions["south-1"] = "south"; };
    w.change_policy = [of_organisation, of_routes](gateway::policy& policy)
    {
        gateway::organisation_policy acme;
        acme.name = "acme";
        acme.keys = {digest_of(key)};
        acme.allowed_regions = of_organisation;
        policy.organisations = {acme};
        policy.keys_required = true;
        for (gateway::route_policy& route : policy.routes)
        {
            route.open = false;
            route.allowed_regions = of_routes;
        }
    };
    w.change_target = [](gateway::target_record& record, int number)
    {
        const bool south = north_port + number >= south_port;
        record.region = south ? "south" : "north";
        record.failure_domain = record.region + "-1";
    };
    w.change_request = [](net::http_request& request)
    { request.headers.add("authorization", std::string("Bearer ") + key); };
}

/// Rejects all attempts of a request.
void reject_all(world& w)
{
    while (w.open_call() != nullptr)
    {
        reject(w);
    }
}

void set_budget(world& w, double ratio, double slack)
{
    w.change_settings = [ratio, slack](gateway::gateway_settings& settings)
    {
        settings.retry_ratio = ratio;
        settings.retry_slack = slack;
    };
}

/// Sends requests of which each first attempt is rejected.
/// @return the attempts beyond the first ones
int retries_of(world& w, int requests)
{
    for (int i = 0; i < requests; ++i)
    {
        if (i > 0)
        {
            w.arrive(true);
        }
        if (w.open_call() != nullptr)
        {
            reject(w);
        }
        const auto again = w.open_call();
        if (again != nullptr)
        {
            // Its target answers, so that none is ejected.
            again->sent = true;
            net::http_headers headers = with_id();
            headers.add("siskinflow-response-signature", "signed");
            again->answer(200, headers, net::call_outcome::complete);
            w.run();
        }
        pass(w, 1s); // Targets that were ejected are used again.
    }
    return static_cast<int>(w.caller.calls.size()) - requests;
}

void set_max_attempts(world& w, unsigned count)
{
    w.change_policy = [count](gateway::policy& policy)
    {
        for (gateway::route_policy& route : policy.routes)
        {
            route.max_attempts = count;
        }
    };
}

void set_deadline(world& w, duration deadline)
{
    w.change_request = [deadline](net::http_request& request)
    {
        request.headers.set("siskinflow-request-deadline-ms",
                            std::to_string(deadline / 1ms));
    };
}

/// The time that a target is told that the caller still waits.
duration deadline_at_target(const played_call& call)
{
    const auto text =
        call.request.headers.value("siskinflow-request-deadline-ms");
    int out = -1;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return std::chrono::milliseconds(out);
}

} // namespace

// Guards against a request that runs in a region its organisation does not
// allow, at first or when it is sent again (HOME).
Test(gateway_limits, regions_of_the_organisation)
{
    constexpr int targets = 4; // Two in each region.
    world& w = new_world();
    for (const bool idempotent : {true, false})
    {
        section("only another region is allowed",
                [&]
                {
                    allow_regions(w, {"south"}, {});
                    w.begin(idempotent, targets, false);
                    EXPECT(requests_in(w, south_port, last_port) == 1);
                    reject_all(w);
                    EXPECT(requests_in(w, south_port, last_port) == 2);
                    EXPECT(requests_in(w, north_port, south_port - 1) == 0);
                    EXPECT(w.exchange->status == 503);
                });
        section("the allowed region has no target",
                [&]
                {
                    allow_regions(w, {"south"}, {});
                    w.begin(idempotent, 2, false);
                    pass(w, world::timeout);
                    EXPECT(w.caller.calls.empty());
                    EXPECT(w.exchange->status == 503);
                });
        section("the route allows more",
                [&]
                {
                    allow_regions(w, {"south"}, {"north", "south"});
                    w.begin(idempotent, targets, false);
                    reject_all(w);
                    EXPECT(requests_in(w, south_port, last_port) == 2);
                    EXPECT(requests_in(w, north_port, south_port - 1) == 0);
                });
        section("the route allows less",
                [&]
                {
                    allow_regions(w, {"north", "south"}, {"south"});
                    w.begin(idempotent, targets, false);
                    reject_all(w);
                    EXPECT(requests_in(w, south_port, last_port) == 2);
                    EXPECT(requests_in(w, north_port, south_port - 1) == 0);
                });
        section("all regions are allowed",
                [&]
                {
                    allow_regions(w, {}, {});
                    w.begin(idempotent, targets, false);
                    EXPECT(requests_in(w, north_port, south_port - 1) == 1);
                });
    }
}

// Guards against retries that take nothing from the budget of the service, so
// that the VMs together send more of them than the operators allow (BUDGET).
Test(gateway_limits, retries_take_from_the_budget)
{
    // `gateway_state` uses 0.7 of ratio and slack.
    constexpr double margin = 0.7;
    constexpr int targets = 4;
    constexpr int requests = 10;
    world& w = new_world();
    section("no budget",
            [&]
            {
                set_budget(w, 0, 0);
                w.begin(true, targets, false);
                EXPECT(retries_of(w, requests) == 0);
            });
    section("slack for three retries",
            [&]
            {
                set_budget(w, 0, 3.1 / margin);
                w.begin(true, targets, false);
                EXPECT(retries_of(w, requests) == 3);
            });
    section("one retry in five requests",
            [&]
            {
                // The slack holds what the requests add.
                set_budget(w, 0.2001 / margin, 1.1 / margin);
                w.begin(true, targets, false);
                // The first, the sixth and the eleventh request are sent again.
                EXPECT(retries_of(w, requests + 1) == 3);
            });
    section("a target that does not answer",
            [&]
            {
                set_budget(w, 0, 0);
                w.begin(true, targets, false);
                w.open_call()->sent = true;
                pass(w, world::timeout);
                EXPECT(w.caller.calls.size() == 1);
            });
}

// Guards against a request that runs at more targets than max-attempts of its
// route (BUDGET).
Test(gateway_limits, attempts_of_a_route)
{
    constexpr int targets = 6;
    world& w = new_world();
    for (const unsigned max_attempts : {1U, 2U, 3U})
    {
        set_max_attempts(w, max_attempts);
        section(std::to_string(max_attempts) + " attempts that fail",
                [&]
                {
                    w.begin(true, targets, false);
                    while (w.open_call() != nullptr)
                    {
                        fail(w);
                    }
                    EXPECT(w.caller.calls.size() == max_attempts);
                    EXPECT(w.exchange->status == 500);
                });
        section(std::to_string(max_attempts) + " attempts without an answer",
                [&]
                {
                    w.change_request = [](net::http_request& request) {
                        request.headers.set("siskinflow-request-deadline-ms",
                                            "20000");
                    };
                    w.change_policy = [max_attempts](gateway::policy& policy)
                    {
                        for (gateway::route_policy& route : policy.routes)
                        {
                            route.max_attempts = max_attempts;
                            route.timeout = 20s;
                        }
                    };
                    w.begin(true, targets, true);
                    pass(w, 20s);
                    EXPECT(w.caller.calls.size() == max_attempts);
                    EXPECT(w.exchange->status == 504);
                });
    }
}

// Guards against a caller's deadline that is ignored where its route allows
// more time, and against a route's timeout that is ignored where its caller
// would wait longer (BUDGET, CONFIG).
Test(gateway_limits, deadline_of_the_caller)
{
    // Longer than the work that is expected of a target at first.
    constexpr duration shorter = 1s;
    constexpr duration for_two_attempts = 1500ms;
    world& w = new_world();
    for (const bool idempotent : {true, false})
    {
        section("the caller waits less than the timeout",
                [&]
                {
                    set_deadline(w, shorter);
                    w.begin(idempotent, 1, true);
                    const auto call = w.open_call();
                    EXPECT(deadline_at_target(*call) <= shorter);
                    EXPECT(call->request.timeout <= shorter);
                    pass(w, shorter - 50ms);
                    EXPECT(w.exchange->answers == 0);
                    pass(w, 50ms);
                    EXPECT(w.exchange->status == 504);
                    EXPECT(w.open_call() == nullptr);
                });
        section("the caller waits longer than the timeout",
                [&]
                {
                    set_deadline(w, 10 * world::timeout);
                    w.begin(idempotent, 1, true);
                    EXPECT(deadline_at_target(*w.open_call()) <=
                           world::timeout);
                    pass(w, world::timeout);
                    EXPECT(w.exchange->status == 504);
                });
        section("a later attempt is told what is left",
                [&]
                {
                    set_deadline(w, for_two_attempts);
                    w.begin(idempotent, 2, false);
                    pass(w, 200ms);
                    reject(w);
                    EXPECT(w.caller.calls.size() == 2);
                    EXPECT(deadline_at_target(*w.open_call()) <=
                           for_two_attempts - 200ms);
                });
    }
}
