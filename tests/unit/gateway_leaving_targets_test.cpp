#include "gateway/state_feed.hpp"
#include "request_flow_world.hpp"
#include "store_records.hpp"
#include "test_sections.hpp"

#include <functional>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using request_flow_world::played_call;
using request_flow_world::world;
using test_sections::section;

namespace
{

/// The feeds of the store's entries for one state of the VM.
class feeds
{
public:
    explicit feeds(world& w)
        : operators_(w.state(), records_), targets_(w.state(), records_)
    {
    }

    /// Registers a target of the world with a state and an incarnation.
    void register_target(const gateway::target_record& record,
                         const std::string& state, int born)
    {
        targets_.on_change({"servers/" + record.id,
                            R"({"service":")" + record.service +
                                R"(","zone":")" + record.failure_domain +
                                R"(","address":"127.0.0.1:)" +
                                std::to_string(record.address.port) +
                                R"(","max-concurrency":6,"state":")" + state +
                                R"(","born":)" + std::to_string(born) + "}",
                            {1, ++revision_},
                            false});
    }

    void remove_target(const std::string& id)
    {
        targets_.on_change({"servers/" + id, "", {1, ++revision_}, true});
    }

    void evacuate(const std::string& failure_domain)
    {
        operators_.on_change(
            {"op/evacuate/" + failure_domain, "{}", {1, ++revision_}, false});
    }

private:
    platform::store_records records_;
    gateway::operator_feed operators_;
    gateway::target_feed targets_;
    store_revision revision_ = 1;
};

/// A way in which a VM learns that a target takes no more requests.
struct cause
{
    const char* name;
    std::function<void(world&, feeds&, const gateway::target_record&)> happen;
};

std::vector<cause> causes()
{
    using record = gateway::target_record;
    return {{"it says so in an answer",
             [](world& w, feeds&, const record& entry)
             { w.make_leave(entry.id); }},
            {"it registers as draining",
             [](world&, feeds& store, const record& entry)
             { store.register_target(entry, "draining", 0); }},
            {"its registration is removed",
             [](world&, feeds& store, const record& entry)
             { store.remove_target(entry.id); }},
            {"its failure domain is evacuated",
             [](world&, feeds& store, const record& entry)
             { store.evacuate(entry.failure_domain); }},
            {"another incarnation registers",
             [](world&, feeds& store, const record& entry)
             { store.register_target(entry, "ready", 5); }}};
}

/// Targets are in failure domains of their own, the first in that of the VM.
world& shared_world()
{
    static world* const out = new world; // Its loop can't be destroyed.
    out->change_settings = [](gateway::gateway_settings& settings) {
        settings.regions = {{"north-1", "north"}, {"north-2", "north"}};
    };
    out->change_target = [](gateway::target_record& record, int number)
    { record.failure_domain = "north-" + std::to_string(number + 1); };
    return *out;
}

/// Plays a cause for the target of a call.
void happen(const cause& why, world& w, const played_call& call)
{
    feeds store(w);
    const auto record = w.state().targets.find(call.target())->record();
    why.happen(w, store, record);
}

void serve(played_call& call)
{
    call.sent = true;
    call.fully_sent = true;
    call.answer(200,
                {{"siskinflow-request-id", world::request_id},
                 {"siskinflow-response-signature", "signed"}},
                net::call_outcome::complete);
}

} // namespace

// Guards against a request that is sent to a target which has left while the
// request waited for its connection (DRAIN).
Test(gateway_leaving_targets, get_no_request_that_was_not_sent)
{
    world& w = shared_world();
    for (const bool idempotent : {false, true})
    {
        for (const cause& why : causes())
        {
            section(why.name,
                    [&]
                    {
                        w.begin(idempotent, 2, false);
                        const auto first = w.open_call();
                        happen(why, w, *first);
                        cr_expect(!first->open());
                        const auto next = w.open_call();
                        cr_assert(next != nullptr && next != first);
                        serve(*next);
                        cr_expect(w.exchange->status == 200);
                    });
        }
    }
}

// Guards against a restarted target that gets no request that was placed on the
// incarnation before, although it is the only one.
Test(gateway_leaving_targets, a_next_incarnation_gets_the_request)
{
    world& w = shared_world();
    w.begin(false, 1, false);
    const auto first = w.open_call();
    happen(causes().back(), w, *first);
    const auto next = w.open_call();
    cr_assert(next != nullptr && next != first);
    serve(*next);
    cr_expect(w.exchange->status == 200);
}

// Guards against an order that is reported as one that may have run, or kept
// for ever, because the only target left before it was sent.
Test(gateway_leaving_targets, an_order_without_a_target_is_refused)
{
    world& w = shared_world();
    for (const cause& why : causes())
    {
        section(why.name,
                [&]
                {
                    w.begin(false, 1, false);
                    happen(why, w, *w.open_call());
                    if (w.open_call() != nullptr)
                    {
                        return; // The next incarnation.
                    }
                    w.time.advance(1s);
                    w.run();
                    cr_expect(w.exchange->status == 503);
                    cr_expect(w.caller.calls.size() == 1);
                });
    }
}

// Guards against the end of a request that is sent to a target which left while
// the rest waited for a slow connection (DRAIN), and against an order that may
// run twice because its beginning was sent (TWICE).
Test(gateway_leaving_targets, a_request_that_was_sent_in_part)
{
    world& w = shared_world();
    const auto begin = [&](bool idempotent, int targets, bool fully_sent)
    {
        w.begin(idempotent, targets, false);
        const auto call = w.open_call();
        call->sent = true;
        call->fully_sent = fully_sent;
        return call;
    };
    for (const cause& why : causes())
    {
        section(why.name,
                [&]
                {
                    const auto lookup = begin(true, 2, false);
                    happen(why, w, *lookup);
                    cr_expect(!lookup->open());
                    const auto next = w.open_call();
                    cr_assert(next != nullptr);
                    serve(*next);
                    cr_expect(w.exchange->status == 200);
                });
        const auto stays = [&](bool idempotent, int targets, bool fully_sent)
        {
            const auto call = begin(idempotent, targets, fully_sent);
            happen(why, w, *call);
            cr_assert(call->open());
            cr_expect(w.caller.calls.size() == 1);
            serve(*call);
            cr_expect(w.exchange->status == 200);
        };
        section("an order stays", [&] { stays(false, 2, false); });
        section("a lookup stays that was fully sent",
                [&] { stays(true, 2, true); });
        section("a lookup stays without another target",
                [&] { stays(true, 1, false); });
    }
}

// Guards against a request that waits for room and is then sent to the target
// that it waited for, although that has left (DRAIN).
Test(gateway_leaving_targets, get_no_request_that_waited)
{
    world& w = shared_world();
    for (const cause& why : causes())
    {
        if (std::string_view(why.name) == causes().back().name)
        {
            continue; // The next incarnation may get it.
        }
        section(why.name,
                [&]
                {
                    w.begin(false, 1, true);
                    std::size_t sent = 0;
                    while (sent < w.caller.calls.size())
                    {
                        sent = w.caller.calls.size();
                        w.change_request = [sent](net::http_request& request)
                        {
                            request.headers.set("siskinflow-request-id",
                                                "other-" +
                                                    std::to_string(sent));
                        };
                        w.arrive(false);
                    }
                    w.change_request = [](net::http_request&) {};
                    const auto first = w.caller.calls.front();
                    happen(why, w, *first);
                    serve(*first);
                    w.run();
                    cr_expect(w.caller.calls.size() == sent);
                });
    }
}
