#include "test_sections.hpp"
#include <siskinflow/report/counter_replicas.hpp>
#include <siskinflow/report/final_report.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <rapidcheck.h>

#include <array>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

const time_point start_time(1h);

std::string encode(const counters& message)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
    return out.str();
}

counters decode(const std::string& text)
{
    std::istringstream in(text);
    cereal::PortableBinaryInputArchive archive(in);
    counters message;
    archive(message);
    return message;
}

} // namespace

// Guards against a message above 1 MB, and against a copy that is altered by
// encoding it as messages or as JSON for the store.
Test(report_counters, copies_survive_messages_and_the_store)
{
    counter_set set(make_incarnation_id());
    for (int i = 0; i < 20'000; ++i)
    {
        const std::string organisation = "organisation" + std::to_string(i);
        set.count_received("orders", organisation);
        counter_row& row = set.row("orders", organisation, "target");
        set.count_unknown(row, "broken", std::string(53, 'p'));
        set.count_not_run(row, "queue_full");
    }
    const counter_copy copy = set.copy(true);
    const auto messages = split(copy);
    EXPECT(messages.size() > 1);
    counter_replicas replicas;
    for (const counters& message : messages)
    {
        EXPECT(!replicas.find(copy.incarnation));
        const std::string text = encode(message);
        EXPECT(text.size() < 1'000'000);
        EXPECT(replicas.accept(decode(text), start_time).has_value());
    }
    EXPECT(replicas.find(copy.incarnation)->copy == copy);
    EXPECT(parse_counter_copy(to_json(copy)).value() == copy);
    EXPECT(!parse_counter_copy("{}").has_value());
    EXPECT(split(counter_copy{}).size() == 1);
    section("permits beyond the limit are counted",
            [&]
            {
                std::size_t listed = 0;
                std::uint64_t omitted = 0;
                for (const counter_row& row : copy.rows)
                {
                    listed += row.unknown_permits.size();
                    omitted += row.unknown_permits_omitted;
                }
                EXPECT(listed == counter_set::max_unknown_permits);
                EXPECT(listed + omitted == 20'000);
            });
}

// Guards against a replica that returns to an older version, mixes parts of two
// copies, or grows without limit.
Test(report_replicas, keep_the_newest_complete_copy)
{
    counter_set set(make_incarnation_id());
    for (const char* name : {"a", "b", "c"})
    {
        set.count_received("orders", name);
    }
    const auto first_parts = split(set.copy(), 1);
    const auto second_parts = split(set.copy(), 1);
    const auto final_parts = split(set.copy(true), 1000);
    counter_replicas replicas(2);
    const auto accept = [&](const counters& message)
    { return replicas.accept(message, start_time); };
    EXPECT(accept(first_parts[0]).value() == false);
    EXPECT(accept(second_parts[1]).value() == false);
    EXPECT(accept(first_parts[1]).error().code == errc::stale);
    EXPECT(accept(second_parts[0]).has_value() &&
           accept(second_parts[2]).value());
    EXPECT(accept(second_parts[0]).error().code == errc::stale);
    EXPECT(accept(final_parts[0]).value());
    EXPECT(!accept(split(set.copy(), 1000)[0]).has_value());
    EXPECT(replicas.all().size() == 1 && replicas.all()[0]->copy.final);
    counters invalid = first_parts[0];
    invalid.parts = 0;
    EXPECT(accept(invalid).error().code == errc::parse_error);
    section("the copy received first is dropped at the limit",
            [&]
            {
                for (int i = 0; i < 2; ++i)
                {
                    counter_set other(make_incarnation_id());
                    const auto later = start_time + 1s;
                    (void)replicas.accept(split(other.copy())[0], later);
                }
                EXPECT(replicas.all().size() == 2 &&
                       replicas.dropped_count() == 1);
                EXPECT(!replicas.find(invalid.incarnation));
            });
}

// Guards against an incident that is not reported, or reported for the normal
// delay between replicas.
Test(report_final, differences_between_replicas)
{
    counter_set set(make_incarnation_id());
    set.count_received("orders", "a");
    const counter_copy older = set.copy();
    set.count_ran(set.row("orders", "a", "t"));
    const counter_copy newer = set.copy();
    const auto build = [&](const counter_copy& other, duration age)
    {
        report_input input{"orders", {}, 0};
        input.incarnations.push_back(
            {older.incarnation,
             "vm1",
             {{"vm2", other, age, true}, {"vm3", newer, 1s, true}},
             std::nullopt});
        return build_report(input);
    };
    EXPECT(build(older, 30s).incidents.empty());
    const auto differing = build(older, 31s);
    EXPECT(differing.incidents.size() == 1 && differing.ran.at_least == 1);
    EXPECT(to_json(differing).find("31 s old") != std::string::npos);
    section("copies that contradict each other are not used",
            [&]
            {
                counter_copy contradicting = newer;
                contradicting.rows[0].received = 5;
                const auto report = build(contradicting, 1s);
                EXPECT(report.incidents.size() == 1);
                EXPECT(report.ran.at_least == 0 && !report.ran.at_most);
                contradicting.version = 1;
                EXPECT(build(contradicting, 1s).incidents.size() == 1);
            });
}

namespace
{

constexpr const char* route = "orders";

/// An incarnation with its counters and the actual counts of its requests.
struct simulated_vm
{
    incarnation_id id = make_incarnation_id();
    counter_set counts{id};
    counter_replicas replicas[2];
    bool dead = false;
    std::uint64_t received = 0;
    std::uint64_t ran = 0;
    /// Whether each request without an outcome yet will have run.
    std::vector<bool> in_progress;
    std::uint64_t ran_since_copy = 0;

    void receive_request()
    {
        ++received;
        counts.count_received(route, "a");
        const bool will_run = *rc::gen::arbitrary<bool>();
        in_progress.push_back(will_run);
        ran += will_run ? 1 : 0;
        ran_since_copy += will_run ? 1 : 0;
    }

    void end_request()
    {
        if (in_progress.empty())
        {
            return;
        }
        const bool has_run = in_progress.back();
        in_progress.pop_back();
        counter_row& row = counts.row(route, "a", "t");
        if (*rc::gen::inRange(0, 3) == 0)
        {
            counts.count_unknown(row, "broken");
        }
        else if (has_run)
        {
            counts.count_ran(row);
        }
        else
        {
            counts.count_not_run(row, "shed");
        }
    }

    void send_copy(bool final)
    {
        const auto parts = split(counts.copy(final), 1);
        for (counter_replicas& replica : replicas)
        {
            if (*rc::gen::inRange(0, 3) == 0)
            {
                continue; // The message is lost.
            }
            for (const counters& part : parts)
            {
                RC_ASSERT(replica.accept(decode(encode(part)), start_time)
                              .has_value());
            }
            ran_since_copy = 0;
        }
        dead = dead || final;
    }

    /// @param bounded whether the shares after the copy are known
    incarnation_evidence evidence(bool bounded) const
    {
        incarnation_evidence out{id, "vm", {}, std::nullopt};
        for (const counter_replicas& replica : replicas)
        {
            if (const counter_replica* stored = replica.find(id))
            {
                out.sources.push_back({"vm", stored->copy, 1s, true});
            }
        }
        if (bounded)
        {
            out.max_ran_after_copy =
                ran_since_copy + *rc::gen::inRange<std::uint64_t>(0, 3);
        }
        return out;
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 12))
        {
        case 0:
            send_copy(*rc::gen::inRange(0, 4) == 0);
            break;
        case 1:
            dead = *rc::gen::inRange(0, 8) == 0;
            break;
        case 2:
        case 3:
        case 4:
        case 5:
        case 6:
            receive_request();
            break;
        default:
            end_request();
            break;
        }
    }
};

void assert_contains(const report_range& range, std::uint64_t actual)
{
    RC_ASSERT(range.at_least <= actual);
    RC_ASSERT(!range.at_most || actual <= *range.at_most);
}

} // namespace

// Guards against a statement about what was received, ran or did not run that
// is false, however copies are lost and processes die (I13).
Test(report_property, every_statement_is_true)
{
    EXPECT(rc::check(
        "reports of random histories against a ledger",
        []
        {
            std::vector<std::unique_ptr<simulated_vm>> vms;
            for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
            {
                vms.push_back(std::make_unique<simulated_vm>());
            }
            for (int i = *rc::gen::inRange(0, 150); i > 0; --i)
            {
                auto& vm = *vms[*rc::gen::inRange<std::size_t>(0, vms.size())];
                if (!vm.dead)
                {
                    vm.step();
                }
            }
            report_input input{route, {}, 0};
            std::uint64_t received = 0;
            std::uint64_t ran = 0;
            for (const auto& vm : vms)
            {
                received += vm->received;
                ran += vm->ran;
                if (*rc::gen::inRange(0, 10) == 0)
                {
                    ++input.incarnations_unaccounted;
                    continue;
                }
                const bool bounded = *rc::gen::inRange(0, 4) != 0;
                input.incarnations.push_back(vm->evidence(bounded));
                const auto single =
                    build_report({route, {input.incarnations.back()}, 0});
                const auto& statement = single.incarnations[0];
                assert_contains(statement.received, vm->received);
                assert_contains(statement.ran, vm->ran);
                assert_contains(statement.not_run, vm->received - vm->ran);
                if (statement.status == report_status::exact)
                {
                    RC_ASSERT(statement.received.at_least == vm->received);
                    RC_ASSERT(statement.ran.at_least +
                                  total(statement.counted.unknown) >=
                              vm->ran);
                }
                RC_ASSERT(statement.status != report_status::bounded ||
                          statement.ran.at_most.has_value());
            }
            const final_report report = build_report(input);
            RC_ASSERT(report.incidents.empty());
            assert_contains(report.received, received);
            assert_contains(report.ran, ran);
            assert_contains(report.not_run, received - ran);
        }));
}
