#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/target_chooser.hpp>
#include <siskinflow/gateway/targets.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace siskinflow::gateway;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::size_t object_count = 2'000;

std::uint64_t object_number(std::size_t number)
{
    return stable_hash("object", number);
}

/// A VM of region a and its targets, all of which it has tried.
class vm_view
{
public:
    explicit vm_view(const std::string& domain = "a1")
        : directory({domain, domain.substr(0, 1)}), chooser(directory, {})
    {
        // Small exchanges: objects are spread over the region.
        for (int i = 0; i < 4; ++i)
        {
            directory.exchange_sizes("maps").observe(400);
        }
    }

    void put(const target_record& record)
    {
        directory.put(record, now);
        directory.find(record.id)->mark_tried();
    }

    choice_outcome choose(std::uint64_t object,
                          const std::vector<std::string>& excluded = {},
                          const std::set<std::string>& forbidden = {},
                          bool prefer_other_regions = false)
    {
        choice_request request;
        request.service = "maps";
        request.object = object;
        request.region_allowed = [&](std::string_view region)
        { return forbidden.count(std::string(region)) == 0; };
        request.excluded = excluded;
        request.prefer_other_regions = prefer_other_regions;
        request.work = work;
        request.remaining = {5s, 9s};
        return chooser.choose(request, now);
    }

    std::string chosen(std::uint64_t object,
                       const std::vector<std::string>& excluded = {})
    {
        const auto outcome = choose(object, excluded);
        return outcome.choice ? outcome.choice->chosen->record().id : "";
    }

    std::vector<std::string> all_chosen()
    {
        std::vector<std::string> out;
        for (std::size_t i = 0; i < object_count; ++i)
        {
            out.push_back(chosen(object_number(i)));
        }
        return out;
    }

    void fill(const std::string& id)
    {
        const target_ptr entry = directory.find(id);
        for (unsigned i = 0; i < 2 * entry->record().slots; ++i)
        {
            entry->on_sent(now);
        }
    }

    time_point now{100s};
    work_time work{640ms, 192ms};
    target_directory directory;
    target_chooser chooser;
};

target_record make_record(int number, const std::string& domain,
                          unsigned slots = 4)
{
    target_record out;
    out.id = domain + "-" + std::to_string(number);
    out.service = "maps";
    out.address = {"10.0.0.1",
                   static_cast<std::uint16_t>(1000 + number + 100 * domain[1] +
                                              1000 * (domain[0] - 'a'))};
    out.failure_domain = domain;
    out.region = domain.substr(0, 1);
    out.slots = slots;
    out.started_at_ms = 1;
    return out;
}

/// 12 targets in each of four failure domains.
void put_all(vm_view& vm)
{
    for (const char* domain : {"a1", "a2", "b1", "b2"})
    {
        for (int i = 0; i < 12; ++i)
        {
            vm.put(make_record(i, domain));
        }
    }
}

/// Checks that a change moved objects only from the targets for which
/// `affected` holds, and moved those.
void check_moves(const std::vector<std::string>& before,
                 const std::vector<std::string>& after,
                 const std::function<bool(const std::string&)>& affected)
{
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        EXPECT((before[i] != after[i]) == affected(before[i]));
    }
}

} // namespace

// Guards against objects of targets in service that run cold on another target
// because some target is out of service, and against requests to that one.
Test(gateway_target_moves, only_objects_of_targets_out_of_service_move)
{
    vm_view vm;
    put_all(vm);
    const auto before = vm.all_chosen();
    const auto is_a1_3 = [](const std::string& id) { return id == "a1-3"; };
    section("drains and is taken back",
            [&]
            {
                target_record record = make_record(3, "a1");
                record.draining = true;
                vm.put(record);
                check_moves(before, vm.all_chosen(), is_a1_3);
                vm.put(make_record(3, "a1"));
                EXPECT(vm.all_chosen() == before);
            });
    section("its registration ends",
            [&]
            {
                vm.directory.remove("a1-3");
                check_moves(before, vm.all_chosen(), is_a1_3);
                vm.put(make_record(3, "a1"));
                EXPECT(vm.all_chosen() == before);
            });
    section("its failure domain is evacuated and taken back",
            [&]
            {
                vm.directory.set_evacuated({"a1"});
                check_moves(before, vm.all_chosen(),
                            [](const std::string& id)
                            { return id.starts_with("a1"); });
                vm.directory.set_evacuated({});
                EXPECT(vm.all_chosen() == before);
            });
    section("says that it leaves",
            [&]
            {
                vm.directory.on_wish("a1-3", 1, {true, {}}, 1s);
                check_moves(before, vm.all_chosen(), is_a1_3);
            });
}

// Guards against objects of others that move because a target admits no
// requests for a moment.
Test(gateway_target_moves, a_pause_moves_no_objects_of_others)
{
    // All targets are at the same distance, so that only ranks decide.
    vm_view vm("a9");
    put_all(vm);
    const auto before = vm.all_chosen();
    const auto is_a2_5 = [](const std::string& id) { return id == "a2-5"; };
    vm.directory.on_wish("a2-5", 1, {false, vm.now + 2s}, 0s);
    check_moves(before, vm.all_chosen(), is_a2_5);
    section("the next target of its objects has the second rank",
            [&]
            {
                for (std::size_t i = 0; i < object_count; ++i)
                {
                    const auto outcome = vm.choose(object_number(i));
                    EXPECT(outcome.choice->place.rank ==
                           (is_a2_5(before[i]) ? 1U : 0U));
                }
            });
    section("afterwards they return",
            [&]
            {
                vm.now += 3s;
                EXPECT(vm.all_chosen() == before);
            });
}

// Guards against a restart that moves objects of all targets: the new id would
// take objects from each, and the objects of the old one would go to each.
Test(gateway_target_moves, a_restart_under_a_new_id_keeps_the_place)
{
    // All targets are at the same distance, so that only ranks decide.
    vm_view vm("a9");
    put_all(vm);
    const auto before = vm.all_chosen();
    target_record next = make_record(3, "a1");
    next.id = "another";
    next.started_at_ms = 2;
    const auto check = [&](const std::vector<std::string>& after)
    {
        for (std::size_t i = 0; i < object_count; ++i)
        {
            EXPECT(after[i] ==
                   (before[i] == "a1-3" ? std::string("another") : before[i]));
        }
    };
    section("in place of the old registration",
            [&]
            {
                vm.directory.remove("a1-3");
                vm.put(next);
                check(vm.all_chosen());
            });
    section("a registration that outlived its target and does not answer",
            [&]
            {
                vm.put(make_record(3, "a1"));
                vm.directory.find("a1-3")->on_ended(attempt_result::unreachable,
                                                    vm.now);
                check(vm.all_chosen());
            });
    section("targets without an address are told apart by id",
            [&]
            {
                vm_view other;
                for (int i = 0; i < 12; ++i)
                {
                    target_record record = make_record(i, "a1");
                    record.address = {};
                    other.put(record);
                }
                const auto chosen = other.all_chosen();
                EXPECT(std::set(chosen.begin(), chosen.end()).size() == 12);
            });
}

// Guards against a target that gets the share of its former size.
Test(gateway_target_moves, more_slots_take_objects_for_one_target_only)
{
    vm_view vm;
    put_all(vm);
    const auto before = vm.all_chosen();
    vm.put(make_record(3, "a1", 16));
    const auto after = vm.all_chosen();
    std::size_t gained = 0;
    for (std::size_t i = 0; i < object_count; ++i)
    {
        EXPECT(after[i] == before[i] || after[i] == "a1-3");
        gained += after[i] != before[i] ? 1 : 0;
    }
    // 16 of 108 slots instead of 4 of 96.
    constexpr double expected = (16.0 / 108 - 4.0 / 96) * object_count;
    EXPECT(static_cast<double>(gained) > expected * 0.8 &&
           static_cast<double>(gained) < expected * 1.2);
}

// Guards against VMs of a region that send an object to different targets, and
// against an order that depends on when targets were registered.
Test(gateway_target_moves, vms_of_a_region_agree)
{
    vm_view first;
    vm_view second("a2");
    put_all(first);
    for (int i = 11; i >= 0; --i)
    {
        for (const char* domain : {"b2", "a2", "b1", "a1"})
        {
            second.put(make_record(i, domain));
        }
    }
    EXPECT(first.all_chosen() == second.all_chosen());
    section("also while one does not know a target yet",
            [&]
            {
                second.directory.remove("a2-7");
                check_moves(first.all_chosen(), second.all_chosen(),
                            [](const std::string& id) { return id == "a2-7"; });
            });
}

// Guards against a further attempt at a target that was tried, and against
// requests outside the allowed or preferred regions.
Test(gateway_target_moves, exclusions_keep_the_order_of_the_rest)
{
    vm_view vm;
    put_all(vm);
    section("targets already tried",
            [&]
            {
                for (std::size_t i = 0; i < 200; ++i)
                {
                    std::vector<std::string> tried;
                    while (tried.size() < 24)
                    {
                        const auto outcome = vm.choose(object_number(i), tried);
                        const auto& id = outcome.choice->chosen->record().id;
                        EXPECT(id.starts_with("a"));
                        EXPECT(std::count(tried.begin(), tried.end(), id) == 0);
                        EXPECT(outcome.choice->place.rank == 0);
                        tried.push_back(id);
                    }
                    // All of the region are tried: another one.
                    EXPECT(vm.chosen(object_number(i), tried).starts_with("b"));
                }
            });
    section(
        "a forbidden region",
        [&]
        {
            for (std::size_t i = 0; i < 200; ++i)
            {
                const auto outcome = vm.choose(object_number(i), {}, {"a"});
                EXPECT(outcome.choice->chosen->record().region == "b");
                const auto none = vm.choose(object_number(i), {}, {"a", "b"});
                EXPECT(!none.choice &&
                       none.failure == choice_failure::no_target);
            }
        });
    section("other regions preferred",
            [&]
            {
                for (std::size_t i = 0; i < 200; ++i)
                {
                    const auto preferred =
                        vm.choose(object_number(i), {}, {}, true);
                    const auto only = vm.choose(object_number(i), {}, {"a"});
                    EXPECT(preferred.choice->chosen == only.choice->chosen);
                    EXPECT(vm.choose(object_number(i), {}, {"b"}, true)
                               .choice->chosen->record()
                               .region == "a");
                }
            });
}

// Guards against a failure domain that does not use its own targets first for
// objects that it can hold alone.
Test(gateway_target_moves, large_answers_stay_in_the_failure_domain)
{
    vm_view vm;
    put_all(vm);
    for (int i = 0; i < 400; ++i)
    {
        vm.directory.exchange_sizes("maps").observe(90'000);
    }
    for (std::size_t i = 0; i < 200; ++i)
    {
        EXPECT(vm.chosen(object_number(i)).starts_with("a1"));
    }
    section("other domains follow when it admits no requests",
            [&]
            {
                for (int i = 0; i < 12; ++i)
                {
                    vm.directory.on_wish(make_record(i, "a1").id, 1,
                                         {false, vm.now + 2s}, 0s);
                }
                for (std::size_t i = 0; i < 200; ++i)
                {
                    EXPECT(vm.chosen(object_number(i)).starts_with("a2"));
                }
            });
}

// Guards against a choice that stops at the first targets of the order although
// a target further back is new, holds the object or is the only one with room.
Test(gateway_target_moves, targets_further_back_are_considered)
{
    const std::uint64_t object = object_number(1);
    const auto order = [object](vm_view& vm)
    {
        std::vector<std::string> out;
        while (out.size() < 24)
        {
            out.push_back(vm.chosen(object, out));
        }
        return out;
    };
    section("the only targets with room",
            [&]
            {
                vm_view vm;
                put_all(vm);
                const auto ids = order(vm);
                for (std::size_t i = 0; i < 20; ++i)
                {
                    vm.fill(ids[i]);
                }
                const auto chosen = vm.chosen(object);
                EXPECT(std::count(ids.begin() + 20, ids.end(), chosen) == 1);
                for (const std::string& id : ids)
                {
                    vm.fill(id);
                }
                EXPECT(vm.choose(object).failure == choice_failure::no_room);
            });
    section("a target that holds the object",
            [&]
            {
                vm_view vm;
                put_all(vm);
                const auto ids = order(vm);
                vm.directory.locations("maps").record(object, ids[15], vm.now);
                EXPECT(vm.chosen(object) == ids[15]);
            });
    section("a target of the own failure domain that is new",
            [&]
            {
                vm_view vm;
                put_all(vm);
                const auto ids = order(vm);
                const auto is_own = [](const std::string& id)
                { return id.starts_with("a1"); };
                const std::string last =
                    *std::find_if(ids.rbegin(), ids.rend(), is_own);
                target_record restarted = vm.directory.find(last)->record();
                restarted.started_at_ms = 2;
                vm.directory.put(restarted, vm.now);
                EXPECT(vm.chosen(object) == last);
                EXPECT(vm.chosen(object, {last}) == ids[0]);
                vm.directory.find(last)->mark_tried();
                EXPECT(vm.chosen(object) == ids[0]);
            });
    section("another region when no target of the own one admits requests",
            [&]
            {
                vm_view vm;
                put_all(vm);
                for (const std::string& id : order(vm))
                {
                    vm.directory.on_wish(id, 1, {false, vm.now + 2s}, 0s);
                }
                EXPECT(vm.chosen(object).starts_with("b"));
            });
}

// Guards against requests without an object that all go to one target, and
// against large targets that get as few of them as small ones.
Test(gateway_target_moves, requests_without_an_object_are_spread)
{
    vm_view vm;
    put_all(vm);
    std::map<std::string, int> counts;
    choice_request request;
    request.service = "maps";
    request.region_allowed = [](std::string_view) { return true; };
    request.work = vm.work;
    request.remaining = {5s, 9s};
    for (int i = 0; i < 1200; ++i)
    {
        const auto outcome = vm.chooser.choose(request, vm.now);
        ++counts[outcome.choice->chosen->record().id];
    }
    EXPECT(counts.size() == 12);
    for (const auto& [id, count] : counts)
    {
        EXPECT(id.starts_with("a1") && count > 50 && count < 200);
    }
}
