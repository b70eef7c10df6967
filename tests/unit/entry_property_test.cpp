// The data path under random requests, targets and changes.
#include "entry_world.hpp"
#include "test_sections.hpp"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace data_path_testing;
using test_sections::section;

namespace
{

/// Counts over all runs of the property, which show that the runs cover every
/// kind of outcome.
struct run_counts
{
    std::size_t ran = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t aborted = 0;
    std::size_t disconnected = 0;
    std::size_t retried = 0;
    std::size_t replayed = 0;
};

/// A fixture under random requests, targets and changes.
class random_run
{
public:
    explicit random_run(run_counts& counts) : counts_(counts)
    {
        fixture_.caller.next_target_plan = [] { return random_plan(); };
        fixture_.caller.on_call = [this](const target_call& call)
        { check_call(call); };
        fixture_.after_step = [this]
        {
            expire_resolver_queries();
            check_answers();
        };
        for (const auto& target : fixture_.config.targets)
        {
            record_slots(target);
        }
    }

    void run_random_action()
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
            send(data_path_fixture::get("/maps/1", random_key()));
            break;
        case 1:
            send_order();
            break;
        case 2:
            send_copy_of_order();
            break;
        case 3:
            send(data_path_fixture::get("/open/1", ""));
            break;
        case 4:
            send_foreign_order();
            break;
        case 5:
            disconnect();
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
            fixture_.fresh = !fixture_.fresh;
            break;
        case 11:
            fixture_.accepts = !fixture_.accepts;
            break;
        default:
            fixture_.advance(tick_interval * *rc::gen::inRange(1, 60));
            break;
        }
        check_answers();
        RC_ASSERT(fault_ == "");
    }

    void finish_and_check()
    {
        // Every deadline is at most 2 s away.
        fixture_.advance(2s + 100ms);
        RC_ASSERT(fault_ == "");
        RC_ASSERT(fixture_.path->in_progress() == 0U);
        RC_ASSERT(fixture_.path->queued() == 0U);
        RC_ASSERT(fixture_.path->body_bytes() == 0U);
        RC_ASSERT(fixture_.permits.counts().in_flight == 0U);
        for (const auto& each : sent_)
        {
            RC_ASSERT(each.exchange->done());
            counts_.disconnected += each.exchange->disconnected ? 1 : 0;
            counts_.aborted += each.exchange->aborts > 0 ? 1 : 0;
        }
        counts_.retried += static_cast<std::size_t>(fixture_.observer.retries);
    }

private:
    struct sent_request
    {
        std::string id;
        std::string permit;
        std::string key;
        time_point deadline;
        std::shared_ptr<fake_caller_exchange> exchange;
        bool outcome_checked = false;
    };

    static target_plan random_plan()
    {
        target_plan out;
        out.kind = *rc::gen::weightedElement<behaviour>(
            {{8, behaviour::complete},
             {2, behaviour::shed},
             {1, behaviour::truncated},
             {2, behaviour::connection_lost},
             {1, behaviour::no_answer},
             {2, behaviour::connection_refused},
             {1, behaviour::connect_timeout_passes},
             {1, behaviour::answer_after_timeout}});
        out.delay = std::chrono::milliseconds(*rc::gen::inRange(1, 400));
        return out;
    }

    static std::string random_key()
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
        each.deadline = fixture_.time.now() +
                        (limit > 0 ? duration(std::chrono::milliseconds(limit))
                                   : duration(2s));
        // Listed before it is sent, because it may reach a target at once.
        sent_.push_back(each);
        const std::size_t index = sent_.size() - 1;
        sent_[index].exchange = fixture_.send(std::move(request));
    }

    void send_order()
    {
        const std::string key = *rc::gen::element<std::string>(
            "key-acme", "other-acme", "key-zenith");
        const std::string permit = fixture_.permit(organisation_of(key));
        permits_.emplace_back(permit, organisation_of(key));
        send(data_path_fixture::order(permit, key));
    }

    void send_copy_of_order()
    {
        if (permits_.empty())
        {
            return;
        }
        // One of the latest, which are the most likely to be in progress.
        const std::size_t offset = *rc::gen::inRange<std::size_t>(
            0, std::min<std::size_t>(permits_.size(), 5));
        const auto& [permit, organisation] =
            permits_[permits_.size() - 1 - offset];
        const std::string key =
            organisation == "zenith"
                ? "key-zenith"
                : *rc::gen::element<std::string>("key-acme", "other-acme");
        send(data_path_fixture::order(permit, key));
    }

    void send_foreign_order()
    {
        fixture_.resolver.reply.reset();
        if (*rc::gen::inRange(0, 3) != 0)
        {
            fixture_.resolver.reply = outcome_with_verdict(*rc::gen::element(
                permit_verdict::ran, permit_verdict::not_run,
                permit_verdict::unknown, permit_verdict::in_progress));
        }
        send(data_path_fixture::order(
            other_issuer_.issue("acme", "orders", fixture_.time.now())));
    }

    void expire_resolver_queries()
    {
        auto pending = std::exchange(fixture_.resolver.pending, {});
        for (auto& [time_left, done] : pending)
        {
            time_left -= tick_interval;
            if (time_left <= duration::zero())
            {
                done(fail(errc::unavailable, "nobody answers"));
                continue;
            }
            fixture_.resolver.pending.emplace_back(time_left, std::move(done));
        }
    }

    void disconnect()
    {
        if (!sent_.empty())
        {
            const std::size_t offset = *rc::gen::inRange<std::size_t>(
                0, std::min<std::size_t>(sent_.size(), 8));
            sent_[sent_.size() - 1 - offset].exchange->disconnect();
        }
    }

    void toggle_key()
    {
        const std::string key = *rc::gen::element<std::string>(
            "key-acme", "other-acme", "key-zenith");
        const std::string digest = sha256_hex(key);
        for (auto& organisation : fixture_.config.organisations)
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
        fixture_.configure();
    }

    void toggle_route()
    {
        auto& route =
            fixture_.config.routes[*rc::gen::inRange<std::size_t>(0, 3)];
        route.state = route.state == route_state::active ? route_state::closing
                                                         : route_state::active;
        fixture_.configure();
    }

    void change_target()
    {
        auto& target =
            fixture_.config.targets[*rc::gen::inRange<std::size_t>(0, 4)];
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
        record_slots(target);
        fixture_.configure();
    }

    void toggle_organisation()
    {
        if (removed_organisation_)
        {
            fixture_.config.organisations.push_back(*removed_organisation_);
            removed_organisation_.reset();
        }
        else
        {
            removed_organisation_ = fixture_.config.organisations.back();
            fixture_.config.organisations.pop_back();
        }
        fixture_.configure();
    }

    void record_slots(const target_config& target)
    {
        slots_[target.name].emplace_back(fixture_.time.now(), target.slots);
    }

    /// Most slots that a holder may still use: a reduction takes effect when
    /// it has been confirmed or the lease has lapsed.
    std::uint32_t allowed_slots(const std::string& target) const
    {
        std::uint32_t max_slots = 0;
        const auto& history = slots_.at(target);
        for (std::size_t i = 0; i < history.size(); ++i)
        {
            const bool is_superseded =
                i + 1 < history.size() &&
                fixture_.time.now() - history[i + 1].first >
                    share_lease_at_owner;
            max_slots =
                std::max(max_slots, is_superseded ? 0 : history[i].second);
        }
        return max_slots;
    }

    bool is_key_valid(const std::string& key) const
    {
        const std::string digest = sha256_hex(key);
        return std::any_of(fixture_.config.organisations.begin(),
                           fixture_.config.organisations.end(),
                           [&](const auto& each)
                           {
                               return std::count(each.key_sha256.begin(),
                                                 each.key_sha256.end(),
                                                 digest) > 0;
                           });
    }

    void record_fault(const std::string& what)
    {
        fault_ += fault_.empty() ? what : "";
    }

    void check_call(const target_call& call)
    {
        const sent_request& origin = sent_.at(std::stoul(call.header("x-id")));
        if (call.request.headers.contains("authorization"))
        {
            record_fault("a target receives a tenant key");
        }
        if (!origin.key.empty() && !is_key_valid(origin.key))
        {
            record_fault("dispatched with a withdrawn key");
        }
        if (!origin.key.empty() && !fixture_.fresh)
        {
            record_fault("dispatched while the VM is not fresh");
        }
        const auto* target = fixture_.config.find_target(call.target);
        if (target == nullptr || target->state != target_state::active)
        {
            record_fault("a request is dispatched to a leaving target");
        }
        if (fixture_.caller.running(call.target) > allowed_slots(call.target))
        {
            record_fault("a target runs more requests than it has slots");
        }
        const std::string permit = call.header("idempotency-key");
        if (permit.empty())
        {
            return;
        }
        if (reported_not_run_.contains(permit))
        {
            record_fault(
                "a permit is dispatched after \"not run\" was reported");
        }
        if (call.received && !received_permits_.insert(permit).second)
        {
            record_fault("a permit is received by targets twice");
        }
    }

    void check_answers()
    {
        for (auto& each : sent_)
        {
            const fake_caller_exchange& exchange = *each.exchange;
            if (exchange.starts > 1 || exchange.finishes + exchange.aborts > 1)
            {
                record_fault("a request has more than one answer");
            }
            if (!exchange.done() &&
                fixture_.time.now() > each.deadline + tick_interval)
            {
                record_fault(
                    "a request has no answer one tick after its deadline");
            }
            if (exchange.ended() && !each.outcome_checked)
            {
                each.outcome_checked = true;
                check_outcome(each);
            }
        }
    }

    void check_outcome(const sent_request& each)
    {
        const std::string outcome = each.exchange->received_answer.outcome();
        const std::string reason = each.exchange->received_answer.reason();
        counts_.ran += outcome == "ran" ? 1 : 0;
        counts_.unknown += outcome == "unknown" ? 1 : 0;
        counts_.replayed += reason == "already_ran" ? 1 : 0;
        if (outcome != "not-run")
        {
            return;
        }
        ++counts_.not_run;
        // Without a valid key the permit can't be settled (see the design).
        const bool settled = !each.permit.empty() && reason != "unknown_key";
        for (const auto& call : fixture_.caller.calls)
        {
            const bool same =
                call->header("x-id") == each.id ||
                (settled && call->header("idempotency-key") == each.permit);
            if (same && call->received && !call->shed)
            {
                record_fault("\"not run\" is reported for a request that a "
                             "target received");
            }
        }
        if (settled)
        {
            reported_not_run_.insert(each.permit);
        }
    }

    run_counts& counts_;
    data_path_fixture fixture_;
    permit_issuer other_issuer_{incarnation_id{7, 7}};
    std::deque<sent_request> sent_;
    std::vector<std::pair<std::string, std::string>> permits_;
    std::set<std::string> received_permits_;
    std::set<std::string> reported_not_run_;
    std::map<std::string, std::vector<std::pair<time_point, std::uint32_t>>>
        slots_;
    std::optional<organisation_config> removed_organisation_;
    std::string fault_;
};

} // namespace

// Guards against combinations of faults that break an invariant of the design:
// I3, I4, I5, I8, I9, I10, the limit of slots, and one answer by the deadline.
Test(entry_property, every_request_ends_once_with_a_true_outcome)
{
    run_counts counts;
    EXPECT(rc::check("data path under random requests, targets and changes",
                     [&]
                     {
                         random_run run(counts);
                         const int steps = *rc::gen::inRange(0, 150);
                         for (int i = 0; i < steps; ++i)
                         {
                             run.run_random_action();
                         }
                         run.finish_and_check();
                     }));
    EXPECT(counts.ran > 0 && counts.not_run > 0 && counts.unknown > 0);
    EXPECT(counts.aborted > 0 && counts.disconnected > 0);
    EXPECT(counts.retried > 0 && counts.replayed > 0);
}
