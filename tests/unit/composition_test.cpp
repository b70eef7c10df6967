// The composition of the modules of entry VMs under one fault and under pairs
// of faults: a module can be right by itself and still rely on something that
// its neighbours do not give under two faults at once.
#include "composition.hpp"
#include "test_sections.hpp"

#include <rapidcheck.h>

#include <iostream>
#include <utility>

using namespace composition;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// The faults end within `fault_end`; afterwards the design's intervals allow:
/// a removal and a join, which are in force after 1.65 s each (2.1), repeated
/// joins every 0.5 s, leases that lapse after 3.3 s, store calls that end
/// after 2 s and the wait for shares of 4 s (2.2). Together they are below
/// 15 s.
constexpr duration recovery_time = 15s;
constexpr int single_cases = 10;
constexpr int pair_cases = 100;
constexpr int directed_cases = 30;

/// Uniform, unlike `rc::gen::inRange`, whose range grows with the case.
template <class T>
T between(T first, T last)
{
    return *rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange<T>(first, last + 1));
}

fault random_fault(fault_kind kind, std::size_t vms)
{
    fault item;
    item.kind = kind;
    item.subject = between<std::size_t>(0, vms);
    item.begin = 1ms * between(100, 4000);
    item.length = 1ms * between(300, 6000);
    return item;
}

/// Checks a property for a number of cases; a failure names its faults and
/// seed, so it is not shrunk, which would take minutes.
template <class Property>
bool holds(const std::string& what, int cases, Property&& property)
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = cases;
    params.disableShrinking = true;
    // Other cases for each property.
    params.seed += siskinflow::stable_hash(what);
    const rc::detail::TestMetadata metadata{what, what};
    const auto result = rc::detail::checkTestable(
        std::forward<Property>(property), metadata, params);
    std::cerr << "\n- " << what << "\n";
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << std::endl;
    return result.template is<rc::detail::SuccessResult>();
}

void check(std::size_t vms, const std::vector<fault>& faults,
           world::tally& total)
{
    const auto seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
    world run(vms, seed);
    const bool started = run.start();
    RC_ASSERT(started);
    run.run(faults);
    run.advance(recovery_time);
    run.check_recovered();
    total.sent += run.counts.sent;
    total.ran += run.counts.ran;
    total.not_run += run.counts.not_run;
    total.unknown += run.counts.unknown;
    total.aborted += run.counts.aborted;
    total.left += run.counts.left;
    total.replayed += run.counts.replayed;
    if (!run.complaint().empty())
    {
        RC_FAIL(run.complaint() + "; " + std::to_string(vms) + " VMs, seed " +
                std::to_string(seed));
    }
}

/// Pairs of a fault of one group with any fault.
bool check_pairs(const char* what, fault_kind first, fault_kind last)
{
    world::tally total;
    const bool held = holds(
        what, pair_cases,
        [&]
        {
            const auto one = static_cast<fault_kind>(
                between(static_cast<int>(first), static_cast<int>(last)));
            const auto two =
                static_cast<fault_kind>(between(0, fault_kinds - 1));
            const std::size_t vms = between<std::size_t>(3, 5);
            check(vms, {random_fault(one, vms), random_fault(two, vms)}, total);
        });
    return held && total.ran > 0 && total.not_run > 0 && total.unknown > 0;
}

} // namespace

// Guards against modules that do not work together without any fault.
Test(composition_single, no_fault)
{
    world run(4, 20261204);
    EXPECT(run.start());
    run.run({{fault_kind::store_slow, 0, 5s, 1ms}});
    run.advance(recovery_time);
    run.check_recovered();
    cr_assert(run.complaint().empty(), "%s", run.complaint().c_str());
    EXPECT(run.counts.ran > 100 && run.counts.replayed > 0);
}

// Guards against each fault of section 4 of the design by itself.
Test(composition_single, each_fault)
{
    world::tally total;
    for (int kind = 0; kind < fault_kinds; ++kind)
    {
        const auto chosen = static_cast<fault_kind>(kind);
        section(name(chosen),
                [&]
                {
                    EXPECT(holds(
                        name(chosen), single_cases,
                        [&] { check(4, {random_fault(chosen, 4)}, total); }));
                });
    }
    EXPECT(total.ran > 0 && total.not_run > 0 && total.unknown > 0);
    EXPECT(total.left > 0 && total.replayed > 0 && total.aborted > 0);
}

// Guards against leases, permits and freshness that fail when a process fault
// meets another fault.
Test(composition_pairs, a_process_and_any_fault)
{
    EXPECT(check_pairs("process", fault_kind::kill, fault_kind::pause));
}

// Guards against VMs that act on stale knowledge when links fail together
// with something else.
Test(composition_pairs, the_network_and_any_fault)
{
    EXPECT(check_pairs("network", fault_kind::isolate,
                       fault_kind::silent_streams));
}

// Guards against reverted or missed revisions when the store fails together
// with something else.
Test(composition_pairs, the_store_and_any_fault)
{
    EXPECT(check_pairs("store", fault_kind::store_out,
                       fault_kind::store_loses_replies));
}

// Guards against notes that are not followed under a fault.
Test(composition_pairs, a_note_and_any_fault)
{
    EXPECT(check_pairs("notes", fault_kind::withdraw_key,
                       fault_kind::reduce_rate));
}

// Guards against untrue answers and lost slots when targets fail together
// with something else.
Test(composition_pairs, the_targets_and_any_fault)
{
    EXPECT(check_pairs("targets", fault_kind::shed,
                       fault_kind::refuse_connections));
}

// Guards against more requests at a target than slots when a VM loses its
// leases while requests run for longer than a lease.
Test(composition_directed, slots_whose_lease_lapses_in_use)
{
    world::tally total;
    EXPECT(holds(
        "lapsed slots", directed_cases,
        [&]
        {
            const auto kind = static_cast<fault_kind>(
                between(static_cast<int>(fault_kind::pause),
                        static_cast<int>(fault_kind::split)));
            const std::size_t vms = between<std::size_t>(3, 5);
            fault cut = random_fault(kind, vms - 1);
            cut.begin = 1ms * between(1000, 3000);
            cut.length = 1ms * between(5000, 7000);
            check(vms, {{fault_kind::long_answers, 4, 100ms, 10s}, cut}, total);
        }));
}

// Guards against a configuration that returns when a VM that knows the newest
// one reads from a store that answers with old data.
Test(composition_directed, a_stale_store_after_an_outage)
{
    world::tally total;
    EXPECT(
        holds("stale store", directed_cases,
              [&]
              {
                  const std::size_t vms = between<std::size_t>(3, 5);
                  const auto reader = between<std::size_t>(0, vms - 1);
                  check(vms,
                        {{fault_kind::store_stale, reader, 100ms, 8s},
                         {fault_kind::withdraw_key, 0, 1s, 8s},
                         {fault_kind::store_out, reader,
                          1ms * between(2000, 4000), 1ms * between(100, 1500)}},
                        total);
              }));
}

// Guards against work for a leaving target, and against a key that works
// after its withdrawal, on VMs that have not heard of the note.
Test(composition_directed, notes_that_a_cut_off_vm_does_not_hear_of)
{
    world::tally total;
    EXPECT(holds("notes", directed_cases,
                 [&]
                 {
                     const auto cut = static_cast<fault_kind>(
                         between(static_cast<int>(fault_kind::pause),
                                 static_cast<int>(fault_kind::split)));
                     const std::size_t vms = between<std::size_t>(3, 5);
                     fault apart = random_fault(cut, vms - 1);
                     apart.begin = 1ms * between(100, 900);
                     apart.length = 1ms * between(3000, 8000);
                     check(vms,
                           {apart,
                            {fault_kind::withdraw_key, 0, 1s, 9s},
                            {fault_kind::leave_target,
                             between<std::size_t>(0, 3), 1s, 9s}},
                           total);
                 }));
}
