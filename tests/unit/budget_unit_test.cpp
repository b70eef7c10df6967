#include "test_sections.hpp"
#include <siskinflow/budget/bucket.hpp>
#include <siskinflow/budget/budget_node.hpp>
#include <siskinflow/budget/budget_owner.hpp>
#include <siskinflow/budget/share_holder.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <sstream>

using namespace siskinflow;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test_sections::section;

namespace
{

const incarnation_id vm_a{1, 1};
const incarnation_id vm_b{2, 2};

std::size_t encoded_size(const auto& message)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
    return out.str().size();
}

std::vector<budget_spec> one_of_each(double rate, double slots)
{
    budget_spec org;
    org.name = "org:alpha";
    org.size = rate;
    org.burst = rate;
    budget_spec target;
    target.name = "slots:t1";
    target.kind = budget_kind::count;
    target.size = slots;
    return {org, target};
}

/// An owner on `vm_a`, holders on both VMs, and instant delivery.
struct pair_of_holders
{
    manual_clock time;
    budget_owner owner{vm_a};
    share_holder a{vm_a};
    share_holder b{vm_b};
    ownership owned;
    bool a_silent = false;

    explicit pair_of_holders(double rate, double slots)
    {
        owned.epoch = 1;
        owned.is_member = true;
        owned.members = {vm_a, vm_b};
        configure(one_of_each(rate, slots));
    }

    void configure(const std::vector<budget_spec>& specs)
    {
        owned.owners.clear();
        for (const auto& spec : specs)
        {
            owned.owners[budget_id(spec.name).value] = vm_a;
        }
        owner.set_budgets(specs, time.now());
        owner.set_ownership(owned, time.now());
        for (share_holder* each : {&a, &b})
        {
            each->set_budgets(specs, time.now());
            each->set_ownership(owned, time.now());
            each->set_fresh_until(time_point::max());
        }
        owner.set_authority(time_point::max(), true, time.now());
    }

    void deliver_grants(const std::vector<addressed_grant>& grants)
    {
        for (const auto& each : grants)
        {
            (each.holder == vm_a ? a : b)
                .on_grant(vm_a, each.message, time.now());
        }
    }

    void exchange_messages(duration length)
    {
        for (duration t{0}; t < length; t += milliseconds(10))
        {
            time.advance(milliseconds(10));
            const auto from_a = a_silent ? std::vector<addressed_report>()
                                         : a.reports(time.now());
            for (const auto& each : from_a)
            {
                deliver_grants(owner.on_report(vm_a, each.message, time.now()));
            }
            for (const auto& each : b.reports(time.now()))
            {
                deliver_grants(owner.on_report(vm_b, each.message, time.now()));
            }
            deliver_grants(owner.tick(time.now()));
        }
    }
};

} // namespace

// Guards against tokens that appear or vanish when a bucket is divided.
Test(budget_bucket, split_and_merge_conserve)
{
    EXPECT(rc::check(
        "rate, burst and level",
        [](std::uint8_t rate_part, std::uint8_t burst_part)
        {
            manual_clock time;
            bucket whole(10, 20, 12, time.now());
            const bucket part =
                whole.split(rate_part / 25.5, burst_part / 12.75, time.now());
            RC_ASSERT(std::abs(whole.rate() + part.rate() - 10) < 1e-9);
            RC_ASSERT(std::abs(whole.burst() + part.burst() - 20) < 1e-9);
            RC_ASSERT(std::abs(whole.level(time.now()) +
                               part.level(time.now()) - 12) < 1e-9);
            whole.merge(part, time.now());
            RC_ASSERT(std::abs(whole.level(time.now()) - 12) < 1e-9);
        }));
}

// Guards against a wait that is too short, so that the caller polls in a loop,
// and against a finite wait for an amount that can never be taken.
Test(budget_bucket, reports_the_wait)
{
    manual_clock time;
    bucket tokens(10, 5, 0, time.now());
    const duration wait = tokens.time_until_available(2, time.now());
    EXPECT(wait == milliseconds(200));
    time.advance(wait);
    EXPECT(tokens.try_take(2, time.now()));
    EXPECT(tokens.time_until_available(6, time.now()) == duration::max());
    section("a debt is paid off first",
            [&]
            {
                tokens.settle(1, time.now());
                EXPECT(tokens.time_until_available(1, time.now()) ==
                       milliseconds(200));
            });
}

// Guards against datagrams above the limit and a wrong constant of the size.
Test(budget_messages, full_messages_fit_into_a_datagram)
{
    share_report report;
    report.entries.resize(max_report_entries);
    share_grant grant;
    grant.entries.resize(max_grant_entries);
    // The archive adds one byte for the byte order.
    EXPECT(encoded_size(report) ==
           1 + report_header_bytes + max_report_entries * report_entry_bytes);
    EXPECT(encoded_size(grant) ==
           1 + grant_header_bytes + max_grant_entries * grant_entry_bytes);
    EXPECT(encoded_size(report) + codec_header_allowance <=
           control::max_datagram_bytes + 1);
    section("a holder of many budgets sends several",
            [&]
            {
                pair_of_holders pair(10, 1);
                std::vector<budget_spec> specs(100, one_of_each(1, 1)[0]);
                for (std::size_t i = 0; i < specs.size(); ++i)
                {
                    specs[i].name += std::to_string(i);
                }
                pair.configure(specs);
                const auto sent = pair.b.reports(pair.time.now());
                EXPECT(sent.size() == std::ceil(100.0 / max_report_entries));
            });
}

// Guards against a share that is used after its lease, on a VM that is not
// fresh, or again after a renewal that was sent before the lapse.
Test(budget_holder, uses_a_share_under_its_lease_only)
{
    pair_of_holders pair(100, 2);
    pair.a.take("org:alpha", 1, pair.time.now());
    pair.exchange_messages(milliseconds(500));
    EXPECT(pair.a.take("org:alpha", 1, pair.time.now()).taken);
    section("not fresh",
            [&]
            {
                pair.a.set_fresh_until(pair.time.now());
                EXPECT(!pair.a.take("org:alpha", 1, pair.time.now()).taken);
                pair.a.set_fresh_until(time_point::max());
            });
    section("a grant that is answered too late",
            [&]
            {
                pair.time.advance(seconds(1));
                const auto reports = pair.a.reports(pair.time.now());
                const auto grants = pair.owner.on_report(
                    vm_a, reports.at(0).message, pair.time.now());
                pair.time.advance(share_ttl);
                EXPECT(!pair.a.take("org:alpha", 1, pair.time.now()).taken);
                pair.deliver_grants(grants);
                EXPECT(!pair.a.take("org:alpha", 1, pair.time.now()).taken);
                EXPECT(pair.a.held("org:alpha", pair.time.now()).size == 0);
            });
}

// Guards against a share that is used again after its holder reported it as
// lapsed, because a renewal sent before arrives late.
Test(budget_holder, a_late_renewal_restores_nothing)
{
    pair_of_holders pair(100, 2);
    pair.b.take("org:alpha", 1, pair.time.now());
    pair.exchange_messages(milliseconds(500));
    const duration lease = pair.b.held("org:alpha", pair.time.now()).lease;
    EXPECT(lease > duration{0});
    pair.time.advance(lease - milliseconds(100));
    const auto late = pair.owner.on_report(
        vm_b, pair.b.reports(pair.time.now()).at(0).message, pair.time.now());
    EXPECT(late.size() == 1);
    pair.time.advance(milliseconds(200));
    const auto lapsed = pair.b.reports(pair.time.now());
    EXPECT(lapsed.at(0).message.entries.at(0).size == 0);
    pair.deliver_grants(late);
    EXPECT(pair.b.held("org:alpha", pair.time.now()).size == 0);
}

// Guards against tokens that are received twice from an owner which did not
// notice that another VM was the owner for a while.
Test(budget_holder, keeps_counters_when_an_earlier_owner_returns)
{
    pair_of_holders pair(100, 2);
    const auto grant = [&](std::uint32_t sequence)
    {
        share_grant message;
        message.epoch = 1;
        message.timestamp = pair.time.now().time_since_epoch().count();
        message.lease_ms = 3000;
        message.entries = {{"org:alpha", 1, sequence, 1, 50, 50, false}};
        pair.b.on_grant(vm_a, message, pair.time.now());
    };
    grant(1);
    EXPECT(pair.b.take("org:alpha", 50, pair.time.now()).taken);
    const std::uint64_t id = budget_id("org:alpha").value;
    for (const auto& owner : {vm_b, vm_a})
    {
        pair.owned.owners[id] = owner;
        pair.b.set_ownership(pair.owned, pair.time.now());
    }
    grant(2);
    EXPECT(pair.b.held("org:alpha", pair.time.now()).level == 0);
}

// Guards against slots that are lost or counted twice when a lease lapses
// during a running request.
Test(budget_holder, counts_a_slot_whose_lease_lapsed)
{
    pair_of_holders pair(100, 2);
    pair.a.acquire("slots:t1", pair.time.now());
    pair.exchange_messages(milliseconds(200));
    EXPECT(pair.a.acquire("slots:t1", pair.time.now()));
    EXPECT(pair.a.acquire("slots:t1", pair.time.now()));
    EXPECT(!pair.a.acquire("slots:t1", pair.time.now()));
    pair.time.advance(share_ttl);
    EXPECT(pair.a.slots_without_lease("slots:t1", pair.time.now()) == 2);
    pair.exchange_messages(milliseconds(500));
    EXPECT(pair.a.slots_without_lease("slots:t1", pair.time.now()) == 0);
    EXPECT(!pair.a.acquire("slots:t1", pair.time.now()));
    pair.a.release("slots:t1", pair.time.now());
    EXPECT(pair.a.acquire("slots:t1", pair.time.now()));
}

// Guards against waiting until the lease of an idle holder lapses after it was
// asked for its last slot: it has to confirm although it needs no share.
Test(budget_owner, an_idle_holder_confirms_that_it_has_nothing_left)
{
    pair_of_holders pair(100, 1);
    pair.a.acquire("slots:t1", pair.time.now());
    pair.exchange_messages(milliseconds(200));
    EXPECT(pair.a.acquire("slots:t1", pair.time.now()));
    pair.a.release("slots:t1", pair.time.now());
    pair.exchange_messages(seconds(30));
    EXPECT(pair.a.free_slots("slots:t1", pair.time.now()) == 1);
    EXPECT(!pair.b.acquire("slots:t1", pair.time.now()));
    pair.exchange_messages(milliseconds(500));
    EXPECT(pair.b.acquire("slots:t1", pair.time.now()));
}

// Guards against a slot that its holder ends after the lapse, and then uses
// again although it was granted to another VM meanwhile.
Test(budget_owner, a_lapsed_slot_is_not_granted_to_its_holder_again)
{
    pair_of_holders pair(100, 1);
    pair.a.acquire("slots:t1", pair.time.now());
    pair.exchange_messages(milliseconds(200));
    EXPECT(pair.a.acquire("slots:t1", pair.time.now()));
    pair.a_silent = true;
    pair.b.set_queued("slots:t1", 1);
    pair.exchange_messages(seconds(4));
    EXPECT(pair.b.acquire("slots:t1", pair.time.now()));
    pair.a_silent = false;
    pair.a.set_queued("slots:t1", 1);
    pair.exchange_messages(milliseconds(300));
    EXPECT(pair.a.slots_without_lease("slots:t1", pair.time.now()) == 1);
    pair.a.release("slots:t1", pair.time.now());
    EXPECT(!pair.a.acquire("slots:t1", pair.time.now()));
}

// Guards against tokens of a lost grant that are delivered after the lapse of
// the share, when the pool has refilled and another VM has taken its level.
Test(budget_owner, tokens_of_a_lost_grant_end_with_the_share)
{
    pair_of_holders pair(100, 1);
    pair.exchange_messages(seconds(2));
    pair.a.take("org:alpha", 1, pair.time.now());
    const auto lost = pair.owner.on_report(
        vm_a, pair.a.reports(pair.time.now()).at(0).message, pair.time.now());
    EXPECT(lost.at(0).message.entries.at(0).tokens_granted > 90);
    pair.a_silent = true;
    pair.exchange_messages(seconds(5));
    pair.b.take("org:alpha", 1, pair.time.now());
    pair.exchange_messages(milliseconds(100));
    const double taken = pair.b.held("org:alpha", pair.time.now()).level;
    EXPECT(taken > 90);
    EXPECT(pair.b.take("org:alpha", taken, pair.time.now()).taken);
    pair.a_silent = false;
    pair.a.take("org:alpha", 1, pair.time.now());
    pair.exchange_messages(milliseconds(200));
    const auto a = pair.a.held("org:alpha", pair.time.now());
    EXPECT(a.burst > 10);
    EXPECT(taken + a.level + pair.b.held("org:alpha", pair.time.now()).level <=
           100 + 100 * 0.2 + 1e-3);
}

// Guards against returned tokens that are reported after the lapse of the
// share, when the pool has refilled and another VM has taken its level.
Test(budget_owner, tokens_returned_before_a_lapse_are_not_added_after_it)
{
    pair_of_holders pair(100, 1);
    pair.a.take("org:alpha", 1, pair.time.now());
    pair.exchange_messages(seconds(9));
    EXPECT(pair.a.held("org:alpha", pair.time.now()).level > 90);
    pair.time.advance(milliseconds(1500));
    const auto lost = pair.a.reports(pair.time.now());
    EXPECT(lost.at(0).message.entries.at(0).tokens_returned > 90);
    pair.a_silent = true;
    pair.exchange_messages(seconds(5));
    pair.b.take("org:alpha", 1, pair.time.now());
    pair.exchange_messages(milliseconds(100));
    const double taken = pair.b.held("org:alpha", pair.time.now()).level;
    EXPECT(taken > 90);
    EXPECT(pair.b.take("org:alpha", taken, pair.time.now()).taken);
    for (const auto& each : pair.b.return_all(pair.time.now()))
    {
        pair.deliver_grants(
            pair.owner.on_report(vm_b, each.message, pair.time.now()));
    }
    pair.a_silent = false;
    pair.a.take("org:alpha", 1, pair.time.now());
    pair.exchange_messages(milliseconds(200));
    const auto a = pair.a.held("org:alpha", pair.time.now());
    EXPECT(a.burst > 10);
    EXPECT(taken + a.level <= 100 + 100 * 0.2 + 1e-3);
}

// Guards against an idle holder that keeps slots that another one needs, and
// against one that loses slots that no other needs.
Test(budget_owner, idle_slots_move_when_they_are_needed)
{
    pair_of_holders pair(100, 4);
    pair.a.acquire("slots:t1", pair.time.now());
    pair.exchange_messages(milliseconds(200));
    pair.exchange_messages(seconds(10));
    EXPECT(pair.a.free_slots("slots:t1", pair.time.now()) == 4);
    EXPECT(!pair.b.acquire("slots:t1", pair.time.now()));
    pair.exchange_messages(milliseconds(300));
    EXPECT(pair.b.acquire("slots:t1", pair.time.now()));
}

// Guards against a cold target that gets all of its slots at once.
Test(budget_owner, slots_of_a_cold_target_grow)
{
    pair_of_holders pair(100, 5);
    auto specs = one_of_each(100, 5);
    specs[1].warm_up = seconds(8);
    pair.configure(specs);
    pair.owner.set_cold("slots:t1", pair.time.now());
    const auto slots = [&]
    {
        pair.a.set_queued("slots:t1", 9);
        pair.exchange_messages(milliseconds(100));
        return pair.a.free_slots("slots:t1", pair.time.now());
    };
    EXPECT(slots() == 1);
    pair.exchange_messages(milliseconds(4000));
    EXPECT(slots() == 3);
    pair.exchange_messages(milliseconds(4000));
    EXPECT(slots() == 5);
}

// Guards against a reduction that is granted to others before it is confirmed,
// and against one that never takes effect.
Test(budget_owner, a_reduced_slot_count_waits_for_running_requests)
{
    pair_of_holders pair(100, 4);
    pair.a.set_queued("slots:t1", 4);
    pair.exchange_messages(milliseconds(300));
    for (int i = 0; i < 4; ++i)
    {
        EXPECT(pair.a.acquire("slots:t1", pair.time.now()));
    }
    pair.configure(one_of_each(100, 2));
    pair.a.set_queued("slots:t1", 0);
    pair.b.set_queued("slots:t1", 1);
    pair.exchange_messages(seconds(1));
    EXPECT(pair.b.free_slots("slots:t1", pair.time.now()) == 0);
    EXPECT(pair.owner.status_of("slots:t1", pair.time.now())->charged == 4);
    for (int i = 0; i < 3; ++i)
    {
        pair.a.release("slots:t1", pair.time.now());
    }
    pair.exchange_messages(seconds(3));
    EXPECT(pair.owner.status_of("slots:t1", pair.time.now())->charged == 2);
    EXPECT(pair.b.free_slots("slots:t1", pair.time.now()) == 1);
}

// Guards against an owner that grants without authority and against shares
// for VMs that are no members.
Test(budget_owner, grants_only_with_authority_and_to_members)
{
    pair_of_holders pair(100, 4);
    pair.a.take("org:alpha", 1, pair.time.now());
    const auto reports = pair.a.reports(pair.time.now());
    const auto& message = reports.at(0).message;
    pair.owner.set_authority(time_point::max(), false, pair.time.now());
    EXPECT(pair.owner.on_report(vm_a, message, pair.time.now()).empty());
    pair.owner.set_authority(pair.time.now(), true, pair.time.now());
    EXPECT(pair.owner.tick(pair.time.now()).empty());
    pair.owner.set_authority(time_point::max(), true, pair.time.now());
    EXPECT(pair.owner.on_report({9, 9}, message, pair.time.now()).empty());
}

// Guards against an owner that treats a budget as new, and so grants all of it,
// although another VM granted shares of it in the epoch before.
Test(budget_owner, only_a_budget_that_is_new_to_all_skips_the_takeover)
{
    pair_of_holders pair(100, 4);
    pair.time.advance(seconds(10));
    auto specs = one_of_each(100, 4);
    for (const char* added : {"org:beta", "org:gamma"})
    {
        specs.push_back(specs[0]);
        specs.back().name = added;
        pair.owned.owners[budget_id(added).value] = vm_b;
    }
    pair.owned.owners[budget_id("org:beta").value] = vm_a;
    pair.owner.set_budgets(specs, pair.time.now());
    pair.owner.set_ownership(pair.owned, pair.time.now());
    const auto taking_over = [&pair](const char* budget)
    { return pair.owner.status_of(budget, pair.time.now())->taking_over; };
    EXPECT(!taking_over("org:beta"));
    pair.owned.epoch = 2;
    pair.owned.owners[budget_id("org:gamma").value] = vm_a;
    pair.owner.set_ownership(pair.owned, pair.time.now());
    EXPECT(taking_over("org:gamma"));
    EXPECT(!taking_over("org:beta"));
}

// Guards against shares that stay charged to a stopped VM until they lapse.
Test(budget_holder, a_graceful_stop_returns_everything_at_once)
{
    pair_of_holders pair(100, 4);
    pair.a.take("org:alpha", 1, pair.time.now());
    pair.a.acquire("slots:t1", pair.time.now());
    pair.exchange_messages(seconds(2));
    const double level = pair.a.held("org:alpha", pair.time.now()).level;
    EXPECT(level > 90);
    for (const auto& each : pair.a.return_all(pair.time.now()))
    {
        pair.deliver_grants(
            pair.owner.on_report(vm_a, each.message, pair.time.now()));
    }
    EXPECT(pair.owner.status_of("org:alpha", pair.time.now())->charged == 0);
    EXPECT(pair.owner.status_of("slots:t1", pair.time.now())->charged == 0);
    section("with the tokens",
            [&]
            {
                pair.b.take("org:alpha", 1, pair.time.now());
                pair.exchange_messages(milliseconds(100));
                EXPECT(pair.b.held("org:alpha", pair.time.now()).level > 90);
            });
}

// Guards against a VM that uses its shares after a pause before it has checked
// its freshness again, and against a node that sends datagrams to itself.
Test(budget_node, grants_to_itself_directly_and_uses_recent_views_only)
{
    struct no_network final : net::datagram_sender
    {
        void send(const net::endpoint&, std::string_view) override
        {
            ++sent;
        }
        int sent = 0;
    } network;
    manual_clock time;
    auto record = std::make_shared<fleet_record>();
    record->epoch = 1;
    record->members.emplace_back().incarnation = vm_a;
    configuration config;
    config.organisations = {{"alpha", 100, 100, {}}};
    int announced = 0;
    budget_node node(
        vm_a, network, {},
        [](const fleet_record& from, const budget_spec&)
        { return from.members.data(); },
        [&announced](budget_id) { ++announced; });
    node.set_configuration(config, time.now());
    budget_view view;
    view.self = vm_a;
    view.fresh = true;
    view.epoch = 1;
    view.epoch_in_force = true;
    view.record = record;
    node.tick(time.now(), view);
    EXPECT(!node.take("org:alpha", 1, time.now()).taken);
    time.advance(seconds(1));
    node.tick(time.now(), view);
    EXPECT(announced > 0 && network.sent == 0);
    EXPECT(node.take("org:alpha", 1, time.now(), attempt::repeated).taken);
    time.advance(max_view_age);
    EXPECT(!node.take("org:alpha", 1, time.now(), attempt::repeated).taken);
    node.tick(time.now(), view);
    EXPECT(node.take("org:alpha", 1, time.now(), attempt::repeated).taken);
}
