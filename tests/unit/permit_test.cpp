#include "test_sections.hpp"
#include <siskinflow/permit/closing_statements.hpp>
#include <siskinflow/permit/permit_issuer.hpp>
#include <siskinflow/permit/permit_table.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::string_view organisation = "parks";
constexpr std::string_view route = "reprint";
const time_point start_time(1h);

struct vm_fixture
{
    explicit vm_fixture(const permit_limits& limits = {})
        : issuer(make_incarnation_id()), table(issuer, limits)
    {
    }

    std::string issue(time_point now = start_time)
    {
        return issuer.issue(organisation, route, now);
    }

    permit_admission admit(const std::string& text, time_point now = start_time)
    {
        return table.admit({text, organisation, route}, now);
    }

    permit_sequence run(const std::string& text, std::string body,
                        time_point now = start_time)
    {
        const auto sequence = admit(text, now).sequence;
        EXPECT(table.dispatch(sequence, now).has_value());
        EXPECT(table.complete(sequence, 201, {}, std::move(body), now)
                   .has_value());
        return sequence;
    }

    permit_issuer issuer;
    permit_table table;
};

} // namespace

// Guards against accepting a permit after a change to any signed part.
Test(permit_issuer, verifies_only_what_it_signed)
{
    permit_issuer issuer(make_incarnation_id());
    const std::string text = issuer.issue("ab", "c", start_time);
    EXPECT(issuer.verify(text, "ab", "c").value().sequence == 1);
    EXPECT(issuer.verify(text, "ab", "c").value().issued_at == start_time);
    EXPECT(claimed_issuer(text).value() == issuer.incarnation());
    section("moved between organisation and route",
            [&] { EXPECT(!issuer.verify(text, "a", "bc").has_value()); });
    section("any character changed",
            [&]
            {
                for (std::size_t i = 0; i < text.size(); ++i)
                {
                    std::string changed = text;
                    changed[i] = changed[i] == '0' ? '1' : '0';
                    EXPECT(!issuer.verify(changed, "ab", "c").has_value());
                }
            });
    section("another key for the same incarnation",
            [&]
            {
                permit_issuer other(issuer.incarnation());
                EXPECT(!other.verify(text, "ab", "c").has_value());
            });
    section("not a permit",
            [&]
            {
                EXPECT(claimed_issuer("").error().code == errc::parse_error);
                EXPECT(!claimed_issuer(std::string(1000, '-')).has_value());
                EXPECT(!claimed_issuer(text + "0").has_value());
            });
}

// Guards against a copy that runs in addition to, or instead of, the first one.
Test(permit_table, copies_get_the_outcome_of_the_first)
{
    vm_fixture vm;
    const std::string text = vm.issue();
    const auto first = vm.admit(text);
    EXPECT(first.disposition == permit_disposition::proceed);
    EXPECT(vm.admit(text).disposition == permit_disposition::wait_for_first);
    std::vector<permit_result> outcomes;
    const auto record = [&](const permit_result& end)
    { outcomes.push_back(end); };
    EXPECT(vm.table.wait(first.sequence, record).has_value());
    const auto cancelled = vm.table.wait(first.sequence, record);
    vm.table.cancel_wait(first.sequence, cancelled.value());
    EXPECT(vm.table.dispatch(first.sequence, start_time).has_value());
    EXPECT(!vm.table.dispatch(first.sequence, start_time).has_value());
    EXPECT(!vm.table.refuse(first.sequence, "late").has_value());
    EXPECT(
        vm.table.complete(first.sequence, 201, {{"x", "y"}}, "done", start_time)
            .has_value());
    EXPECT(outcomes.size() == 1 && outcomes[0].state == permit_state::ran);
    const auto copy = vm.admit(text);
    EXPECT(copy.disposition == permit_disposition::already_ran);
    EXPECT(copy.end.answer->body == "done" && copy.end.answer->status == 201);
}

// Guards against a permit that is run after its lifetime or whose outcome is
// misstated once it is removed.
Test(permit_table, age_of_a_permit)
{
    vm_fixture vm;
    const std::string unused = vm.issue();
    const std::string queued = vm.issue();
    const std::string ran = vm.issue();
    const auto late = start_time + permit_lifetime;
    const auto sequence = vm.admit(queued).sequence;
    vm.run(ran, "", late - 1ns);
    EXPECT(vm.admit(unused, late).disposition == permit_disposition::expired);
    EXPECT(vm.table.dispatch(sequence, late).error().code == errc::stale);
    EXPECT(vm.admit(queued, late).disposition == permit_disposition::expired);
    section("within its retention",
            [&]
            {
                EXPECT(vm.admit(ran, late + 14min).disposition ==
                       permit_disposition::already_ran);
            });
    section("beyond it",
            [&]
            {
                const auto forgotten = vm.admit(ran, late + 15min);
                EXPECT(forgotten.disposition == permit_disposition::unknown);
                EXPECT(forgotten.end.reason == permit_reasons::not_retained);
                EXPECT(vm.table.counts().used == 0);
            });
}

// Guards against answers that fill the memory of a VM.
Test(permit_table, bounds_retained_answers)
{
    permit_limits limits;
    limits.answer_bytes = 10;
    limits.total_answer_bytes = 15;
    vm_fixture vm(limits);
    const std::string first = vm.issue();
    const std::string second = vm.issue();
    const std::string large = vm.issue();
    vm.run(first, std::string(10, 'a'));
    vm.run(second, std::string(10, 'b'));
    vm.run(large, std::string(11, 'c'));
    EXPECT(vm.table.counts().answer_bytes == 10);
    EXPECT(!vm.admit(first).end.answer->body.has_value());
    EXPECT(vm.admit(second).end.answer->body.has_value());
    EXPECT(!vm.admit(large).end.answer->body.has_value());
    EXPECT(vm.admit(large).end.answer->status == 201);
}

// Guards against a flood of refusals that fills the memory of a VM: 100,000
// void permits must take no more than 16 KB.
Test(permit_table, void_permits_take_one_bit)
{
    vm_fixture vm;
    for (int i = 0; i < 100'000; ++i)
    {
        const auto started = vm.admit(vm.issue());
        EXPECT(vm.table.refuse(started.sequence, "queue_full").has_value());
    }
    EXPECT(vm.table.counts().used == 0);
    EXPECT(vm.table.counts().void_bytes <= 16 * 1024);
    vm.table.expire(start_time + permit_lifetime);
    EXPECT(vm.table.counts().void_bytes == 0);
}

// Guards against a closing statement that exceeds the size of a message or
// does not report omitted outcomes.
Test(permit_closing, is_bounded_and_says_so)
{
    vm_fixture vm;
    const std::string oldest = vm.issue();
    vm.run(oldest, "");
    for (std::size_t i = 0; i < max_statement_permits; ++i)
    {
        vm.run(vm.issue(), "");
    }
    const std::string unused = vm.issue();
    auto statement = vm.table.close();
    EXPECT(statement.truncated && statement.omitted == 1);
    EXPECT(vm.admit(unused).disposition == permit_disposition::voided);
    std::ostringstream encoded;
    cereal::PortableBinaryOutputArchive archive(encoded);
    archive(statement);
    EXPECT(encoded.str().size() < 1'000'000);
    closing_statements received;
    EXPECT(received.accept(statement, start_time).has_value());
    const auto verdict = [&](const std::string& text, std::string_view owner)
    {
        const auto outcome = received.find({text, owner, route}, start_time);
        return outcome ? outcome->verdict : permit_verdict::in_progress;
    };
    EXPECT(verdict(oldest, organisation) == permit_verdict::unknown);
    EXPECT(verdict(unused, organisation) == permit_verdict::not_run);
    vm_fixture other;
    EXPECT(verdict(other.issue(), organisation) == permit_verdict::in_progress);
    EXPECT(!received.find({unused, organisation, route}, start_time + 15min));
    section("one that contradicts itself is refused",
            [&]
            {
                statement.incarnation = make_incarnation_id();
                statement.truncated = false;
                EXPECT(!received.accept(statement, start_time).has_value());
            });
}

namespace
{

/// Model of three VMs and their callers, with a record of the actual runs and
/// of the reported outcomes.
class vm_model
{
public:
    vm_model()
    {
        for (auto& vm : vms_)
        {
            vm = std::make_unique<vm_state>();
        }
    }

    void step()
    {
        const auto vm = *rc::gen::inRange<std::size_t>(0, vms_.size());
        const auto action = rc::gen::weightedElement<int>(
            {{6, 0}, {14, 1}, {10, 2}, {4, 3}, {8, 4}, {1, 5}, {1, 6}, {3, 7}});
        switch (*action)
        {
        case 0:
            permits_.push_back(vms_[vm]->node.issue(now_));
            break;
        case 1:
            send_copy(vm);
            break;
        case 2:
            dispatch(vm);
            break;
        case 3:
            refuse(vm);
            break;
        case 4:
            finish(vm);
            break;
        case 5:
            vms_[vm] = std::make_unique<vm_state>();
            break;
        case 6:
            close(vm);
            break;
        default:
            now_ += std::chrono::seconds(*rc::gen::inRange(1, 900));
            break;
        }
    }

private:
    struct vm_state
    {
        vm_fixture node;
        closing_statements statements;
        std::map<permit_sequence, std::string> queued;
        std::map<permit_sequence, std::string> running;
    };

    template <class T>
    static auto random_element(const T& from)
    {
        return std::next(from.begin(),
                         *rc::gen::inRange<std::size_t>(0, from.size()));
    }

    void record_run(const std::string& text)
    {
        RC_ASSERT(++runs_[text] == 1);
        RC_ASSERT(!reported_not_run_.contains(text));
    }

    void record_not_run(const std::string& text)
    {
        RC_ASSERT(runs_[text] == 0);
        reported_not_run_.insert(text);
    }

    void check_ran(const std::string& text)
    {
        RC_ASSERT(runs_[text] == 1);
    }

    void send_copy(std::size_t index)
    {
        if (permits_.empty())
        {
            return;
        }
        const std::string text = *random_element(permits_);
        vm_state& vm = *vms_[index];
        if (*rc::gen::inRange(0, 8) == 0)
        {
            const auto other = vm.node.table.admit({text, "x", route}, now_);
            RC_ASSERT(other.disposition == permit_disposition::invalid ||
                      other.disposition == permit_disposition::foreign);
            return;
        }
        const auto started = vm.node.admit(text, now_);
        switch (started.disposition)
        {
        case permit_disposition::proceed:
            vm.queued[started.sequence] = text;
            break;
        case permit_disposition::wait_for_first:
            (void)vm.node.table.wait(started.sequence,
                                     [this, text](const permit_result& end)
                                     { check_outcome(text, end.state); });
            break;
        case permit_disposition::already_ran:
            check_ran(text);
            break;
        case permit_disposition::unknown:
            break;
        case permit_disposition::foreign:
            query_issuer(vm, text);
            break;
        default:
            record_not_run(text);
            break;
        }
    }

    void check_outcome(const std::string& text, permit_state state)
    {
        if (state == permit_state::ran)
        {
            check_ran(text);
        }
        else if (state == permit_state::voided)
        {
            record_not_run(text);
        }
    }

    void query_issuer(vm_state& asking, const std::string& text)
    {
        auto outcome =
            asking.statements.find({text, organisation, route}, now_);
        for (const auto& vm : vms_)
        {
            if (!outcome &&
                vm->node.issuer.incarnation() == claimed_issuer(text).value())
            {
                outcome = vm->node.table.query(
                    {text, std::string(organisation), std::string(route)},
                    now_);
            }
        }
        const auto verdict =
            outcome ? outcome->verdict : permit_verdict::unknown;
        RC_ASSERT(verdict != permit_verdict::invalid);
        if (verdict == permit_verdict::ran)
        {
            check_ran(text);
        }
        else if (verdict == permit_verdict::not_run)
        {
            record_not_run(text);
        }
    }

    void dispatch(std::size_t index)
    {
        vm_state& vm = *vms_[index];
        if (vm.queued.empty())
        {
            return;
        }
        const auto [sequence, text] = *random_element(vm.queued);
        vm.queued.erase(sequence);
        if (vm.node.table.dispatch(sequence, now_))
        {
            record_run(text);
            vm.running[sequence] = text;
        }
        else
        {
            record_not_run(text);
        }
    }

    void refuse(std::size_t index)
    {
        vm_state& vm = *vms_[index];
        if (!vm.queued.empty())
        {
            const auto [sequence, text] = *random_element(vm.queued);
            vm.queued.erase(sequence);
            RC_ASSERT(vm.node.table.refuse(sequence, "full").has_value());
            record_not_run(text);
        }
    }

    void finish(std::size_t index)
    {
        vm_state& vm = *vms_[index];
        if (vm.running.empty())
        {
            return;
        }
        const auto [sequence, text] = *random_element(vm.running);
        vm.running.erase(sequence);
        permit_table& table = vm.node.table;
        switch (*rc::gen::inRange(0, 3))
        {
        case 0:
            RC_ASSERT(table.complete(sequence, 200, {}, "", now_).has_value());
            break;
        case 1:
            RC_ASSERT(table.mark_unknown(sequence, "broken", now_).has_value());
            break;
        default:
            --runs_[text]; // The target says that it did not start.
            RC_ASSERT(table.not_started(sequence, "shed").has_value());
            record_not_run(text);
            break;
        }
    }

    /// The VM keeps running for a while after its closing statement.
    void close(std::size_t index)
    {
        vm_state& vm = *vms_[index];
        const auto statement = vm.node.table.close();
        for (const auto& [sequence, text] : vm.queued)
        {
            RC_ASSERT(!vm.node.table.dispatch(sequence, now_));
            record_not_run(text);
        }
        vm.queued.clear();
        auto& statements = vms_[(index + 1) % vms_.size()]->statements;
        RC_ASSERT(statements.accept(statement, now_).has_value());
    }

    time_point now_ = start_time;
    std::array<std::unique_ptr<vm_state>, 3> vms_;
    std::vector<std::string> permits_;
    std::map<std::string, int> runs_;
    std::set<std::string> reported_not_run_;
};

} // namespace

// Guards against a second run of a permit, a run after "not run" was reported,
// and false reports of "ran" or "not run".
Test(permit_property, no_permit_runs_twice_or_after_not_run)
{
    EXPECT(rc::check("permits of three VMs under copies, losses and restarts",
                     []
                     {
                         vm_model model;
                         const int steps = *rc::gen::inRange(0, 300);
                         for (int i = 0; i < steps; ++i)
                         {
                             model.step();
                         }
                     }));
}
