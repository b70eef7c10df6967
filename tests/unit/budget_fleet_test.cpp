// Several budget nodes over a network that loses, delays, repeats and
// reorders datagrams. Each VM's clock has its own offset.
#include "test_sections.hpp"
#include <siskinflow/admission/fair_queue.hpp>
#include <siskinflow/budget/budget_node.hpp>
#include <siskinflow/core/timer_queue.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <sstream>

using namespace siskinflow;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test_sections::section;

namespace
{

constexpr duration step = milliseconds(5);
constexpr duration freshness_window = milliseconds(1500);
constexpr duration learn_time = milliseconds(500);
constexpr duration in_force_after =
    learn_time + freshness_window + freshness_window / 10;
// A reduction is certain to be in effect after this time: it is learned, the
// owner changes once, and the last lease under the old size lapses.
constexpr duration reduction_time = seconds(10);

struct network
{
    double loss = 0;
    double duplication = 0;
    duration min_delay = milliseconds(1);
    duration max_delay = milliseconds(55);
};

/// Tokens taken over all VMs, checked in every window: `excess` is the
/// largest of taken - rate x length over all windows that end now.
struct rate_check
{
    double excess = 0;
    double max_excess = 0;
    time_point checked_at{};

    void advance(time_point now, double rate)
    {
        excess = std::max(0.0, excess - rate * to_seconds(now - checked_at));
        checked_at = now;
    }
    void take(double amount)
    {
        excess += amount;
        max_excess = std::max(max_excess, excess);
    }
};

struct outcome
{
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    duration longest_wait{0};
};

struct request_load
{
    std::string budget;
    std::size_t vm = 0;
    double per_s = 0;
    duration service_time{0}; ///< Slots: how long one is in use.
    outcome counts{};
    std::deque<time_point> queue{};
    std::vector<time_point> running{};
};

class fake_fleet
{
public:
    struct vm
    {
        member self;
        duration offset{0};
        std::unique_ptr<budget_node> node;
        std::shared_ptr<const fleet_record> record;
        bool dead = false;
        bool paused = false;
        /// No evidence of freshness since a pause or isolation.
        bool stale = false;
        std::optional<time_point> isolated_at;
        std::vector<std::function<void()>> inbox;
    };

    fake_fleet(std::size_t count, network conditions, std::uint64_t seed)
        : net(conditions), random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            add_vm();
        }
        std::vector<std::size_t> all(count);
        for (std::size_t i = 0; i < count; ++i)
        {
            all[i] = i;
        }
        write_record(all);
        in_force_at = now;
        for (auto& each : vms)
        {
            each->record = newest;
        }
    }

    std::size_t add_vm()
    {
        const std::size_t i = vms.size();
        auto added = std::make_unique<vm>();
        added->self.incarnation = {i + 1, (i + 1) * 0x9E3779B97F4A7C15ULL};
        added->self.vm = "vm" + std::to_string(i);
        added->self.control = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
        added->offset = seconds(1000 * i);
        links.push_back(std::make_unique<link>(*this, i));
        added->node = std::make_unique<budget_node>(
            added->self.incarnation, *links.back(), codec(i), choose_owner,
            [this, i](budget_id) { serve_all(i); });
        if (config)
        {
            added->node->set_configuration(*config, local(*added));
        }
        vms.push_back(std::move(added));
        return i;
    }

    static const member* choose_owner(const fleet_record& record,
                                      const budget_spec& spec)
    {
        const member* best = nullptr;
        std::uint64_t best_score = 0;
        for (const auto& each : record.members)
        {
            const auto score = stable_hash(spec.name, each.incarnation.low);
            if (!best || score > best_score)
            {
                best = &each;
                best_score = score;
            }
        }
        return best;
    }

    std::size_t owner_of(const std::string& budget) const
    {
        budget_spec spec;
        spec.name = budget;
        return choose_owner(*newest, spec)->control.port - 1U;
    }

    time_point local(const vm& each) const
    {
        return now + each.offset;
    }

    /// Every VM learns the configuration within `learn_time`.
    void configure(const configuration& next)
    {
        config = std::make_shared<configuration>(next);
        for (auto& each : vms)
        {
            vm& to = *each;
            const bool first = config->sequence <= 1;
            events.schedule(
                now + (first ? duration{0} : random_time(learn_time)),
                [this, &to, given = config]
                {
                    if (!to.dead && !to.paused && !to.isolated_at &&
                        given->sequence == config->sequence)
                    {
                        to.node->set_configuration(*given, local(to));
                    }
                });
        }
        config_history.push_back({now, *config});
    }

    /// Writes the next record; it is in force after `in_force_after`.
    bool change_members(const std::vector<std::size_t>& members)
    {
        if (now < in_force_at)
        {
            return false;
        }
        write_record(members);
        for (auto& each : vms)
        {
            vm& to = *each;
            events.schedule(now + random_time(max_learn_delay),
                            [this, &to, written = newest]
                            {
                                if (!to.dead && !to.paused && !to.isolated_at)
                                {
                                    to.record = newest;
                                }
                            });
        }
        return true;
    }

    void kill(std::size_t i)
    {
        vms[i]->dead = true;
    }

    void pause(std::size_t i, duration length)
    {
        vm& each = *vms[i];
        if (each.paused || each.dead)
        {
            return;
        }
        each.paused = true;
        events.schedule(now + length,
                        [this, i, &each]
                        {
                            each.paused = false;
                            each.stale = true;
                            // First action of the process after it resumes.
                            serve_all(i);
                            for (auto& message : std::exchange(each.inbox, {}))
                            {
                                message();
                            }
                            catch_up(each);
                        });
    }

    void isolate(std::size_t i, duration length)
    {
        vm& each = *vms[i];
        if (each.isolated_at || each.dead || each.paused)
        {
            return;
        }
        each.isolated_at = now;
        events.schedule(now + length,
                        [this, &each]
                        {
                            each.stale =
                                now - *each.isolated_at >= freshness_window;
                            each.isolated_at.reset();
                            catch_up(each);
                        });
    }

    void run(duration length)
    {
        const time_point end = now + length;
        while (now < end)
        {
            now += step;
            events.run_due(now);
            for (std::size_t i = 0; i < vms.size(); ++i)
            {
                if (runs(*vms[i]))
                {
                    tick(i);
                }
            }
            check_all();
        }
    }

    request_load& add_load(std::string budget, std::size_t vm, double per_s,
                           duration service_time = duration{0})
    {
        loads.push_back(std::make_unique<request_load>(
            request_load{std::move(budget), vm, per_s, service_time}));
        return *loads.back();
    }

    void reset_counts()
    {
        for (auto& each : loads)
        {
            each->counts = {};
        }
    }

    outcome sum(const std::string& budget) const
    {
        outcome all;
        for (const auto& each : loads)
        {
            if (each->budget == budget)
            {
                all.offered += each->counts.offered;
                all.served += each->counts.served;
                all.refused += each->counts.refused;
                all.longest_wait =
                    std::max(all.longest_wait, each->counts.longest_wait);
            }
        }
        return all;
    }

    time_point now{std::chrono::hours(1)};
    network net;
    std::vector<std::unique_ptr<vm>> vms;
    std::shared_ptr<const fleet_record> newest;
    std::map<std::string, rate_check> checks;
    std::uint64_t slot_violations = 0;
    std::size_t largest_datagram = 0;
    duration in_force_delay = in_force_after;
    duration max_learn_delay = learn_time;

private:
    struct link final : net::datagram_sender
    {
        link(fake_fleet& owner, std::size_t index) : fleet(owner), from(index)
        {
        }
        void send(const net::endpoint& peer, std::string_view payload) override
        {
            fleet.transmit(from, peer.port - 1U, std::string(payload));
        }
        fake_fleet& fleet;
        std::size_t from;
    };

    budget_codec codec(std::size_t from) const
    {
        const auto encode = [from](const auto& message)
        {
            std::ostringstream out;
            cereal::PortableBinaryOutputArchive archive(out);
            archive(static_cast<std::uint8_t>(message.type), from, message);
            return out.str();
        };
        return {encode, encode};
    }

    duration random_time(duration maximum)
    {
        return duration(std::uniform_int_distribution<duration::rep>(
            0, maximum.count())(random));
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random) <
               probability;
    }

    static bool runs(const vm& each)
    {
        return !each.dead && !each.paused;
    }

    void write_record(const std::vector<std::size_t>& members)
    {
        auto next = std::make_shared<fleet_record>();
        next->epoch = newest ? newest->epoch + 1 : 1;
        for (const std::size_t i : members)
        {
            next->members.push_back(vms[i]->self);
        }
        if (newest)
        {
            next->previous_members = newest->members;
        }
        newest = next;
        in_force_at = now + in_force_delay;
    }

    void catch_up(vm& each)
    {
        events.schedule(now + random_time(milliseconds(200)),
                        [this, &each]
                        {
                            if (!runs(each) || each.isolated_at)
                            {
                                return;
                            }
                            each.stale = false;
                            each.record = newest;
                            if (config)
                            {
                                each.node->set_configuration(*config,
                                                             local(each));
                            }
                        });
    }

    void transmit(std::size_t from, std::size_t to, const std::string& payload)
    {
        largest_datagram = std::max(largest_datagram, payload.size());
        const int copies = chance(net.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            if (!chance(net.loss) && !vms[from]->isolated_at)
            {
                events.schedule(now + net.min_delay +
                                    random_time(net.max_delay - net.min_delay),
                                [this, to, payload] { receive(to, payload); });
            }
        }
    }

    void receive(std::size_t to, const std::string& payload)
    {
        vm& each = *vms[to];
        if (each.dead || each.isolated_at)
        {
            return;
        }
        if (each.paused)
        {
            each.inbox.push_back([this, to, payload] { deliver(to, payload); });
            return;
        }
        deliver(to, payload);
    }

    void deliver(std::size_t to, const std::string& payload)
    {
        std::istringstream in(payload);
        cereal::PortableBinaryInputArchive archive(in);
        std::uint8_t type = 0;
        std::size_t from = 0;
        archive(type, from);
        vm& each = *vms[to];
        const auto& sender = vms[from]->self.incarnation;
        if (type == static_cast<std::uint8_t>(share_report::type))
        {
            share_report message;
            archive(message);
            each.node->on_report(sender, message, local(each));
            return;
        }
        share_grant message;
        archive(message);
        each.node->on_grant(sender, message, local(each));
    }

    void tick(std::size_t i)
    {
        vm& each = *vms[i];
        budget_view view;
        view.self = each.self.incarnation;
        view.record = each.record;
        view.epoch = each.record->epoch;
        view.is_member = std::any_of(
            each.record->members.begin(), each.record->members.end(),
            [&view](const member& m) { return m.incarnation == view.self; });
        const time_point evidence = each.isolated_at.value_or(now);
        view.fresh = !each.stale && now - evidence < freshness_window;
        view.fresh_until = local(each) + (evidence - now) + freshness_window;
        view.epoch_in_force = each.record == newest && now >= in_force_at;
        each.node->tick(local(each), view);
        add_arrivals(i);
        serve_all(i);
    }

    void add_arrivals(std::size_t i)
    {
        for (auto& each : loads)
        {
            if (each->vm != i)
            {
                continue;
            }
            std::poisson_distribution<int> count(each->per_s *
                                                 to_seconds(step));
            for (int n = count(random); n > 0; --n)
            {
                ++each->counts.offered;
                if (each->service_time == duration{0})
                {
                    vms[i]->node->shares().count_arrival(each->budget, 1,
                                                         local(*vms[i]));
                }
                each->queue.push_back(now);
            }
        }
    }

    void serve_all(std::size_t i)
    {
        for (auto& each : loads)
        {
            if (each->vm == i && runs(*vms[i]))
            {
                each->service_time == duration{0} ? serve_rate(*each)
                                                  : use_slots(*each);
            }
        }
    }

    void serve_rate(request_load& load)
    {
        vm& host = *vms[load.vm];
        while (!load.queue.empty())
        {
            const auto taken =
                host.node->take(load.budget, 1, local(host), attempt::repeated);
            if (taken.taken)
            {
                auto& check = checks[load.budget];
                check.advance(now, allowed(load.budget).first);
                check.take(1);
                ++load.counts.served;
                load.counts.longest_wait = std::max(load.counts.longest_wait,
                                                    now - load.queue.front());
                load.queue.pop_front();
                continue;
            }
            if (!taken.exhausted && now - load.queue.front() < share_wait_limit)
            {
                break;
            }
            ++load.counts.refused;
            load.queue.pop_front();
        }
        host.node->shares().set_queued(
            load.budget, static_cast<std::uint32_t>(load.queue.size()));
    }

    void use_slots(request_load& load)
    {
        vm& host = *vms[load.vm];
        std::erase_if(load.running,
                      [&](time_point end)
                      {
                          if (end > now)
                          {
                              return false;
                          }
                          host.node->release(load.budget, local(host));
                          return true;
                      });
        // Ends requests that no lease covers.
        while (!load.running.empty() && host.node->shares().slots_without_lease(
                                            load.budget, local(host)) > 0)
        {
            host.node->release(load.budget, local(host));
            load.running.pop_back();
        }
        while (!load.queue.empty() &&
               host.node->acquire(load.budget, local(host)))
        {
            ++load.counts.served;
            load.running.push_back(now + random_time(2 * load.service_time));
            load.queue.pop_front();
        }
        while (!load.queue.empty() &&
               now - load.queue.front() >= share_wait_limit)
        {
            ++load.counts.refused;
            load.queue.pop_front();
        }
        host.node->shares().set_queued(
            load.budget, static_cast<std::uint32_t>(load.queue.size()));
    }

    /// Largest rate and burst, or slots, in force lately (`reduction_time`).
    std::pair<double, double> allowed(const std::string& budget) const
    {
        std::pair<double, double> largest{0, 0};
        for (std::size_t k = 0; k < config_history.size(); ++k)
        {
            if (k + 1 < config_history.size() &&
                now - config_history[k + 1].first > reduction_time)
            {
                continue;
            }
            for (const auto& spec : budgets_of(config_history[k].second))
            {
                if (spec.name == budget)
                {
                    largest.first = std::max(largest.first, spec.size);
                    largest.second = std::max(largest.second, spec.burst);
                }
            }
        }
        return largest;
    }

    void check_all()
    {
        std::map<std::string, std::size_t> used;
        for (const auto& each : loads)
        {
            if (each->service_time == duration{0})
            {
                continue;
            }
            const vm& host = *vms[each->vm];
            // The clock of a dead or paused VM continues to run.
            const bool leased =
                host.node->shares().held(each->budget, local(host)).lease >
                duration{0};
            used[each->budget] += leased ? each->running.size() : 0;
        }
        for (const auto& [budget, count] : used)
        {
            slot_violations += double(count) > allowed(budget).first ? 1 : 0;
        }
    }

    std::mt19937_64 random;
    timer_queue events;
    std::vector<std::unique_ptr<link>> links;
    std::vector<std::unique_ptr<request_load>> loads;
    std::shared_ptr<configuration> config;
    std::vector<std::pair<time_point, configuration>> config_history;
    time_point in_force_at{};
};

configuration make_config(std::uint64_t sequence, double rate, double burst,
                          std::uint32_t slots)
{
    configuration config;
    config.sequence = sequence;
    config.organisations = {{"alpha", rate, burst, {}}, {"beta", 50, 50, {}}};
    target_config target;
    target.name = "t1";
    target.slots = slots;
    config.targets = {target};
    return config;
}

std::vector<std::size_t> all_but(std::size_t count, std::size_t without)
{
    std::vector<std::size_t> list;
    for (std::size_t i = 0; i < count; ++i)
    {
        if (i != without)
        {
            list.push_back(i);
        }
    }
    return list;
}

} // namespace

// Guards against an organisation that gets 1/N of its rate because its
// traffic arrives on one VM only.
Test(budget_fleet, traffic_on_one_vm_gets_the_whole_rate)
{
    fake_fleet fleet(7, {}, 1);
    fleet.configure(make_config(1, 200, 200, 3));
    fleet.add_load("org:alpha", 3, 190);
    fleet.run(seconds(3));
    fleet.reset_counts();
    fleet.run(seconds(30));
    const auto totals = fleet.sum("org:alpha");
    EXPECT(totals.offered > 5000);
    EXPECT(totals.refused == 0);
    EXPECT(totals.longest_wait < seconds(1));
    EXPECT(fleet.largest_datagram <= control::max_datagram_bytes);
}

// Guards against refusals while shares follow traffic that moves.
Test(budget_fleet, traffic_that_moves_is_not_refused)
{
    fake_fleet fleet(5, {.loss = 0.05}, 2);
    fleet.configure(make_config(1, 200, 200, 3));
    for (int round = 0; round < 6; ++round)
    {
        auto& load = fleet.add_load("org:alpha", round % 5, 150);
        fleet.run(seconds(5));
        load.per_s = 0;
    }
    fleet.run(seconds(5));
    EXPECT(fleet.sum("org:alpha").refused == 0);
}

// Guards against an organisation above its rate that waits for shares which
// can't come, and against refusals of one that is within its rate.
Test(budget_fleet, overload_is_refused_without_affecting_others)
{
    fake_fleet fleet(4, {}, 3);
    fleet.configure(make_config(1, 100, 100, 3));
    for (std::size_t i = 0; i < 4; ++i)
    {
        fleet.add_load("org:alpha", i, 125);
        fleet.add_load("org:beta", i, 11);
    }
    fleet.run(seconds(20));
    const auto alpha = fleet.sum("org:alpha");
    const auto beta = fleet.sum("org:beta");
    EXPECT(beta.refused == 0);
    EXPECT(alpha.served >= 1900 && alpha.served <= 2100);
    EXPECT(alpha.refused >= 7000);
    EXPECT(fleet.checks["org:alpha"].max_excess <= 100 + 1e-6);
    section("a reduced rate takes effect",
            [&]
            {
                fleet.configure(make_config(2, 20, 20, 3));
                fleet.run(seconds(5));
                fleet.reset_counts();
                fleet.run(seconds(10));
                EXPECT(fleet.sum("org:alpha").served <= 20 * 10 + 20);
            });
}

// Guards against needless refusals after the death of a VM: the share of a dead
// holder must be reallocated, and the shares granted by a dead owner must be
// renewed, before the waiting requests time out.
Test(budget_fleet, deaths_cause_few_refusals)
{
    for (std::uint64_t run = 0; run < 24; ++run)
    {
        const std::uint64_t seed = run / 2;
        const bool owner_dies = run % 2 == 1;
        for (const auto delay : {milliseconds(2700), milliseconds(1000)})
        {
            fake_fleet fleet(5, {}, seed);
            fleet.configure(make_config(1, 200, 200, 3));
            const std::size_t owner = fleet.owner_of("org:alpha");
            const std::size_t other = (owner + 1) % 5;
            const std::size_t dying = owner_dies ? owner : other;
            auto& on_dying = fleet.add_load("org:alpha", dying, 100);
            fleet.add_load("org:alpha", (owner + 2) % 5, 30);
            auto& successor = fleet.add_load("org:alpha", (owner + 3) % 5, 30);
            fleet.run(seconds(5));
            fleet.reset_counts();
            on_dying.per_s = 0;
            successor.per_s += 100;
            fleet.kill(dying);
            fleet.run(delay);
            // The record is written, or in force, 2.7 s after the death; the
            // members learn it within 50 ms, as by a push.
            fleet.max_learn_delay = milliseconds(50);
            fleet.in_force_delay = milliseconds(1700);
            EXPECT(fleet.change_members(all_but(5, dying)));
            fleet.run(seconds(10) - delay);
            const auto totals = fleet.sum("org:alpha");
            section(std::string(owner_dies ? "owner" : "holder") + " dies",
                    [&]
                    {
                        cr_log_info("offered %d refused %d wait %.2f s",
                                    int(totals.offered), int(totals.refused),
                                    to_seconds(totals.longest_wait));
                        EXPECT(totals.offered > 1000);
                        EXPECT(totals.refused * 100 <= totals.offered);
                    });
        }
    }
}

// Guards against tokens that a removed owner, which could not be informed,
// continues to use under its last lease while the new owner grants them to
// others.
Test(budget_fleet, a_removed_owner_uses_nothing_once_another_grants)
{
    fake_fleet fleet(4, {}, 6);
    fleet.configure(make_config(1, 100, 60, 4));
    const std::size_t owner = fleet.owner_of("org:alpha");
    fleet.add_load("org:alpha", owner, 150);
    fleet.run(seconds(2));
    fleet.isolate(owner, seconds(8));
    EXPECT(fleet.change_members(all_but(4, owner)));
    auto& load = fleet.add_load("org:alpha", (owner + 1) % 4, 150);
    fleet.run(seconds(8));
    EXPECT(load.counts.served >= 400);
    EXPECT(fleet.checks["org:alpha"].max_excess <= 60 + 1e-3);
}

// Guards against slots that a new owner grants while the removed owner, which
// could not be informed, still runs requests under its last lease.
Test(budget_fleet, slots_of_a_removed_owner_wait_for_its_lease)
{
    fake_fleet fleet(4, {}, 6);
    fleet.configure(make_config(1, 100, 60, 4));
    const std::size_t owner = fleet.owner_of("slots:t1");
    fleet.add_load("slots:t1", owner, 20, seconds(4));
    fleet.run(seconds(2));
    fleet.isolate(owner, seconds(8));
    EXPECT(fleet.change_members(all_but(4, owner)));
    auto& load = fleet.add_load("slots:t1", (owner + 1) % 4, 20, seconds(4));
    fleet.run(seconds(8));
    EXPECT(load.counts.served >= 4);
    EXPECT(fleet.slot_violations == 0);
}

// Guards against shares that lapse in a store outage, during which the record
// does not change.
Test(budget_fleet, store_outage_keeps_budgets_of_living_owners)
{
    fake_fleet fleet(5, {}, 5);
    fleet.configure(make_config(1, 200, 200, 3));
    const std::size_t owner = fleet.owner_of("org:alpha");
    fleet.add_load("org:alpha", (owner + 2) % 5, 150);
    fleet.run(seconds(3));
    fleet.kill((owner + 1) % 5);
    fleet.reset_counts();
    fleet.run(seconds(30));
    EXPECT(fleet.sum("org:alpha").refused == 0);
    section("a VM that starts meanwhile is no member and gets no share",
            [&]
            {
                const std::size_t fresh = fleet.add_vm();
                fleet.vms[fresh]->record = fleet.newest;
                auto& load = fleet.add_load("org:alpha", fresh, 10);
                fleet.run(seconds(6));
                EXPECT(load.counts.served == 0);
            });
}

// Guards against tokens or slots that are granted twice under any combination
// of faults.
Test(budget_fleet, budget_limits_hold_under_every_fault)
{
    EXPECT(rc::check(
        "tokens in every window and slots stay within the budget",
        []
        {
            network net;
            net.loss = *rc::gen::element(0.0, 0.05, 0.3);
            net.duplication = *rc::gen::element(0.0, 0.3);
            net.max_delay = milliseconds(*rc::gen::element(5, 55, 400, 3500));
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            fake_fleet fleet(4, net, seed);
            fleet.configure(make_config(1, 100, 60, 4));
            for (std::size_t i = 0; i < 4; ++i)
            {
                fleet.add_load("org:alpha", i, *rc::gen::inRange(0, 200));
                fleet.add_load("slots:t1", i, *rc::gen::inRange(0, 40),
                               milliseconds(*rc::gen::element(20, 500, 4000)));
            }
            std::uint64_t sequence = 1;
            for (int k = 0; k < 10; ++k)
            {
                fleet.run(milliseconds(*rc::gen::inRange(100, 2500)));
                // Faults of the two owners are chosen more often.
                const std::size_t vm = *rc::gen::element(
                    std::size_t(*rc::gen::inRange(0, 4)),
                    fleet.owner_of("org:alpha"), fleet.owner_of("slots:t1"));
                const auto length = milliseconds(
                    *rc::gen::element(300, 1400, 2300, 2800, 3500, 8000));
                switch (*rc::gen::inRange(0, 8))
                {
                case 0:
                    fleet.pause(vm, length);
                    break;
                case 1:
                    fleet.isolate(vm, length);
                    break;
                case 6:
                    fleet.pause(vm, length);
                    fleet.change_members(all_but(4, vm));
                    break;
                case 7:
                    fleet.isolate(vm, length);
                    fleet.change_members(all_but(4, vm));
                    break;
                case 2:
                    fleet.change_members(all_but(4, vm));
                    break;
                case 3:
                    fleet.change_members(all_but(4, 4));
                    break;
                case 4:
                    fleet.configure(make_config(
                        ++sequence, *rc::gen::element(50, 100, 200),
                        *rc::gen::element(20, 60), *rc::gen::inRange(1, 6)));
                    break;
                case 5:
                    if (vm == 0)
                    {
                        fleet.kill(vm);
                    }
                    break;
                }
            }
            fleet.run(seconds(4));
            RC_ASSERT(fleet.checks["org:alpha"].max_excess <= 60 + 1e-3);
            RC_ASSERT(fleet.slot_violations == 0U);
        }));
}
