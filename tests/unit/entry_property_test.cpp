// The data path under random requests, targets and changes.
#include "entry_world.hpp"
#include "story.hpp"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace entry_world;
using story::section;

namespace
{

/// What the runs of the property did, to show that they are not empty.
struct tally
{
    std::size_t ran = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t aborted = 0;
    std::size_t left = 0;
    std::size_t retried = 0;
    std::size_t replayed = 0;
};

/// A world under random requests, targets and changes.
class random_run
{
public:
    explicit random_run(tally& counts) : counts_(counts)
    {
        world_.caller.next_plan = [] { return random_plan(); };
        world_.caller.on_call = [this](const target_call& call)
        { check_call(call); };
        world_.after_step = [this]
        {
            answer_for_issuers();
            check_answers();
        };
        for (const auto& target : world_.config.targets)
        {
            note_slots(target);
        }
    }

    void act()
    {
        switch (*rc::gen::weightedElement<int>({{8, 0},
                                                {6, 1},
                                                {4, 2},
                                                {3, 3},
                                                {1, 4},
                                                {4, 5},
                                                {1, 6},
                                                {1, 7},
                                                {2, 8},
                                                {1, 9},
                                                {2, 10},
                                                {1, 11},
                                                {8, 12}}))
        {
        case 0:
            send(world::get("/maps/1", any_key()));
            break;
        case 1:
            new_order();
            break;
        case 2:
            copy_of_order();
            break;
        case 3:
            send(world::get("/open/1", ""));
            break;
        case 4:
            foreign_order();
            break;
        case 5:
            leave();
            break;
        case 6:
            toggle_key();
            break;
        case 7:
            toggle_route();
            break;
        case 8:
            change_target();
            break;
        case 9:
            toggle_organisation();
            break;
        case 10:
            world_.fresh = !world_.fresh;
            break;
        case 11:
            world_.accepts = !world_.accepts;
            break;
        default:
            world_.advance(step * *rc::gen::inRange(1, 60));
            break;
        }
        check_answers();
        RC_ASSERT(fault_ == "");
    }

    void settle()
    {
        // Every deadline is at most 2 s away.
        world_.advance(2s + 100ms);
        RC_ASSERT(fault_ == "");
        RC_ASSERT(world_.path->in_progress() == 0U);
        RC_ASSERT(world_.path->queued() == 0U);
        RC_ASSERT(world_.path->body_bytes() == 0U);
        RC_ASSERT(world_.permits.counts().in_flight == 0U);
        for (const auto& each : sent_)
        {
            RC_ASSERT(each.exchange->done());
            counts_.left += each.exchange->gone ? 1 : 0;
            counts_.aborted += each.exchange->aborts > 0 ? 1 : 0;
        }
        counts_.retried += static_cast<std::size_t>(world_.observer.retries);
    }

private:
    struct sent_request
    {
        std::string id;
        std::string permit;
        std::string key;
        time_point deadline;
        std::shared_ptr<fake_exchange> exchange;
        bool judged = false;
    };

    static plan random_plan()
    {
        plan out;
        out.kind = *rc::gen::weightedElement<behaviour>(
            {{8, behaviour::complete},
             {2, behaviour::shed},
             {1, behaviour::truncated},
             {2, behaviour::closed},
             {1, behaviour::silent},
             {2, behaviour::refused_connection},
             {1, behaviour::lost_connection_attempt},
             {1, behaviour::late}});
        out.delay = std::chrono::milliseconds(*rc::gen::inRange(1, 400));
        return out;
    }

    static std::string any_key()
    {
        return *rc::gen::element<std::string>("key-acme", "other-acme",
                                              "key-zenith", "nobody");
    }

    static std::string organisation_of(const std::string& key)
    {
        return key == "key-zenith" ? "zenith" : "acme";
    }

    void send(net::http_request request)
    {
        sent_request each;
        each.id = std::to_string(sent_.size());
        each.permit = request.headers.value("idempotency-key");
        const auto key = request.headers.value("authorization");
        each.key = key.empty() ? key : key.substr(7);
        request.headers.add("x-id", each.id);
        const int limit = *rc::gen::element(0, 40, 300, 1500);
        if (limit > 0)
        {
            request.headers.add("siskinflow-timeout-ms", std::to_string(limit));
        }
        each.deadline = world_.time.now() +
                        (limit > 0 ? duration(std::chrono::milliseconds(limit))
                                   : duration(2s));
        // Listed first, because the request may reach a target at once.
        sent_.push_back(each);
        const std::size_t index = sent_.size() - 1;
        sent_[index].exchange = world_.send(std::move(request));
    }

    void new_order()
    {
        const std::string key = *rc::gen::element<std::string>(
            "key-acme", "other-acme", "key-zenith");
        const std::string permit = world_.permit(organisation_of(key));
        permits_.emplace_back(permit, organisation_of(key));
        send(world::order(permit, key));
    }

    void copy_of_order()
    {
        if (permits_.empty())
        {
            return;
        }
        // Mostly a late one, which is the most likely to be in progress.
        const std::size_t back = *rc::gen::inRange<std::size_t>(
            0, std::min<std::size_t>(permits_.size(), 5));
        const auto& [permit, organisation] =
            permits_[permits_.size() - 1 - back];
        const std::string key =
            organisation == "zenith"
                ? "key-zenith"
                : *rc::gen::element<std::string>("key-acme", "other-acme");
        send(world::order(permit, key));
    }

    void foreign_order()
    {
        world_.resolver.reply.reset();
        if (*rc::gen::inRange(0, 3) != 0)
        {
            world_.resolver.reply = verdict(*rc::gen::element(
                permit_verdict::ran, permit_verdict::not_run,
                permit_verdict::unknown, permit_verdict::in_progress));
        }
        send(world::order(other_.issue("acme", "orders", world_.time.now())));
    }

    void answer_for_issuers()
    {
        auto pending = std::exchange(world_.resolver.pending, {});
        for (auto& [left, done] : pending)
        {
            left -= step;
            if (left <= duration::zero())
            {
                done(fail(errc::unavailable, "nobody answers"));
                continue;
            }
            world_.resolver.pending.emplace_back(left, std::move(done));
        }
    }

    void leave()
    {
        if (!sent_.empty())
        {
            const std::size_t back = *rc::gen::inRange<std::size_t>(
                0, std::min<std::size_t>(sent_.size(), 8));
            sent_[sent_.size() - 1 - back].exchange->leave();
        }
    }

    void toggle_key()
    {
        const std::string key = *rc::gen::element<std::string>(
            "key-acme", "other-acme", "key-zenith");
        const std::string digest = sha256_hex(key);
        for (auto& organisation : world_.config.organisations)
        {
            if (organisation.name != organisation_of(key))
            {
                continue;
            }
            auto& keys = organisation.key_sha256;
            if (std::erase(keys, digest) == 0)
            {
                keys.push_back(digest);
            }
        }
        world_.configure();
    }

    void toggle_route()
    {
        auto& route =
            world_.config.routes[*rc::gen::inRange<std::size_t>(0, 3)];
        route.state = route.state == route_state::active ? route_state::closing
                                                         : route_state::active;
        world_.configure();
    }

    void change_target()
    {
        auto& target =
            world_.config.targets[*rc::gen::inRange<std::size_t>(0, 4)];
        if (*rc::gen::inRange(0, 2) == 0)
        {
            target.state = target.state == target_state::active
                               ? target_state::leaving
                               : target_state::active;
        }
        else
        {
            target.slots = *rc::gen::inRange<std::uint32_t>(1, 4);
        }
        note_slots(target);
        world_.configure();
    }

    void toggle_organisation()
    {
        if (removed_)
        {
            world_.config.organisations.push_back(*removed_);
            removed_.reset();
        }
        else
        {
            removed_ = world_.config.organisations.back();
            world_.config.organisations.pop_back();
        }
        world_.configure();
    }

    void note_slots(const target_config& target)
    {
        slots_[target.name].emplace_back(world_.time.now(), target.slots);
    }

    /// Most slots that a holder may still use: a reduction takes effect when
    /// it has been confirmed or the lease has lapsed.
    std::uint32_t allowed_slots(const std::string& target) const
    {
        std::uint32_t most = 0;
        const auto& history = slots_.at(target);
        for (std::size_t i = 0; i < history.size(); ++i)
        {
            const bool over =
                i + 1 < history.size() &&
                world_.time.now() - history[i + 1].first > share_lapse;
            most = std::max(most, over ? 0 : history[i].second);
        }
        return most;
    }

    bool key_works(const std::string& key) const
    {
        const std::string digest = sha256_hex(key);
        return std::any_of(world_.config.organisations.begin(),
                           world_.config.organisations.end(),
                           [&](const auto& each)
                           {
                               return std::count(each.key_sha256.begin(),
                                                 each.key_sha256.end(),
                                                 digest) > 0;
                           });
    }

    void complain(const std::string& what)
    {
        fault_ += fault_.empty() ? what : "";
    }

    void check_call(const target_call& call)
    {
        const sent_request& origin = sent_.at(std::stoul(call.header("x-id")));
        if (call.request.headers.contains("authorization"))
        {
            complain("a target sees a key");
        }
        if (!origin.key.empty() && !key_works(origin.key))
        {
            complain("dispatched with a key that is withdrawn");
        }
        if (!origin.key.empty() && !world_.fresh)
        {
            complain("dispatched without freshness");
        }
        const auto* target = world_.config.find_target(call.target);
        if (target == nullptr || target->state != target_state::active)
        {
            complain("a leaving target gets a call");
        }
        if (world_.caller.running(call.target) > allowed_slots(call.target))
        {
            complain("more requests than slots");
        }
        const std::string permit = call.header("idempotency-key");
        if (permit.empty())
        {
            return;
        }
        if (said_not_run_.contains(permit))
        {
            complain("a permit is dispatched after \"not run\"");
        }
        if (call.received && !received_.insert(permit).second)
        {
            complain("a permit reaches a target twice");
        }
    }

    void check_answers()
    {
        for (auto& each : sent_)
        {
            const fake_exchange& exchange = *each.exchange;
            if (exchange.starts > 1 || exchange.finishes + exchange.aborts > 1)
            {
                complain("more than one answer");
            }
            if (!exchange.done() && world_.time.now() > each.deadline + step)
            {
                complain("no answer by the deadline plus a tick");
            }
            if (exchange.ended() && !each.judged)
            {
                each.judged = true;
                judge(each);
            }
        }
    }

    void judge(const sent_request& each)
    {
        const std::string outcome = each.exchange->seen.outcome();
        const std::string reason = each.exchange->seen.reason();
        counts_.ran += outcome == "ran" ? 1 : 0;
        counts_.unknown += outcome == "unknown" ? 1 : 0;
        counts_.replayed += reason == "already_ran" ? 1 : 0;
        if (outcome != "not-run")
        {
            return;
        }
        ++counts_.not_run;
        // Without a valid key the permit can't be settled: see the design.
        const bool settled = !each.permit.empty() && reason != "unknown_key";
        for (const auto& call : world_.caller.calls)
        {
            const bool same =
                call->header("x-id") == each.id ||
                (settled && call->header("idempotency-key") == each.permit);
            if (same && call->received && !call->shed)
            {
                complain("\"not run\" about a request that was received");
            }
        }
        if (settled)
        {
            said_not_run_.insert(each.permit);
        }
    }

    tally& counts_;
    world world_;
    permit_issuer other_{incarnation_id{7, 7}};
    std::deque<sent_request> sent_;
    std::vector<std::pair<std::string, std::string>> permits_;
    std::set<std::string> received_;
    std::set<std::string> said_not_run_;
    std::map<std::string, std::vector<std::pair<time_point, std::uint32_t>>>
        slots_;
    std::optional<organisation_config> removed_;
    std::string fault_;
};

} // namespace

// Guards against combinations of the above that break an invariant of the
// design: I3, I4, I5, I8, I9, I10, slots, and one answer by the deadline.
Test(entry_property, every_request_ends_once_and_truly)
{
    tally counts;
    EXPECT(rc::check("data path under random requests, targets and changes",
                     [&]
                     {
                         random_run run(counts);
                         const int steps = *rc::gen::inRange(0, 150);
                         for (int i = 0; i < steps; ++i)
                         {
                             run.act();
                         }
                         run.settle();
                     }));
    EXPECT(counts.ran > 0 && counts.not_run > 0 && counts.unknown > 0);
    EXPECT(counts.aborted > 0 && counts.left > 0);
    EXPECT(counts.retried > 0 && counts.replayed > 0);
}
