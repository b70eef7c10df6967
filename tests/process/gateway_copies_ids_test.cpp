#include "copies_search.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <condition_variable>
#include <optional>

using namespace siskinflow;
using namespace std::chrono_literals;
using namespace copies;
using test_sections::section;

// Searches for ways in which a request comes to one connection twice.

namespace
{

/// A gateway and targets that refuse the first arrival of each order, and that
/// send a copy of the refusal when the order arrives again.
struct id_fleet
{
    id_fleet() : world(1)
    {
        // An order waits up to half of the latency, long enough to learn of a
        // new entry.
        world.configure({{"kind", "non_idempotent"},
                         {"service", "orders"},
                         {"target-latency", "2800ms"}});
        EXPECT(world.start_all());
    }

    /// What a target does with an order that it sees for the first time.
    enum class first_answer : std::uint8_t
    {
        refuse,
        refuse_when_released,
        serve,
        serve_when_released,
        fail,
    };

    raw_target::reply answer(const raw_target::request& arrived)
    {
        constexpr auto hold_limit = 2s;
        std::unique_lock lock(mutex_);
        const connection key{arrived.port, arrived.connection};
        ++arrivals_[arrived.id];
        changed_.notify_all();
        if (refused_[arrived.id].count(key) != 0)
        {
            return refused_503(arrived.id) + served(arrived.id);
        }
        if (arrivals_[arrived.id] > 1 && !refuses_always_)
        {
            return served(arrived.id);
        }
        if (first_ == first_answer::refuse_when_released ||
            first_ == first_answer::serve_when_released)
        {
            changed_.wait_for(lock, hold_limit, [this] { return released_; });
        }
        if (first_ == first_answer::serve ||
            first_ == first_answer::serve_when_released)
        {
            return served(arrived.id);
        }
        if (first_ == first_answer::fail)
        {
            return failed(arrived.id);
        }
        refused_[arrived.id].insert(key);
        return {refused_503(arrived.id), false};
    }

    raw_target& add_target()
    {
        targets.push_back(std::make_unique<raw_target>(
            [this](const raw_target::request& arrived)
            { return answer(arrived); }));
        return *targets.back();
    }

    bool until_entries_known()
    {
        return std::all_of(entries_.begin(), entries_.end(),
                           [this](const auto& entry)
                           { return until_known(entry.first); });
    }

    void put_entry(const std::string& id, const raw_target& target)
    {
        entries_[id] = world.log(0).size();
        world.add_entry(id, "orders", target.port());
    }

    void remove_entry(const std::string& id)
    {
        world.store().remove("servers/" + id);
        entries_.erase(id);
    }

    /// Replaces all entries by those of new targets.
    std::vector<std::string> begin(int count, first_answer first)
    {
        while (!entries_.empty())
        {
            remove_entry(std::string(entries_.begin()->first));
        }
        for (int i = 0; i < count; ++i)
        {
            put_entry("entry-" + std::to_string(++last_entry_), add_target());
        }
        EXPECT(until_entries_known());
        set_first(first);
        std::vector<std::string> out;
        for (const auto& [id, logged] : entries_)
        {
            out.push_back(id);
        }
        return out;
    }

    /// Lets the present targets succeed for a while, so that they are used.
    void begin_again(first_answer first)
    {
        constexpr int served_between = 10;
        set_first(first_answer::serve);
        for (int i = 0; i < served_between; ++i)
        {
            world.call(0, order_of(next_id()));
        }
        set_first(first);
    }

    void set_first(first_answer first)
    {
        const std::lock_guard lock(mutex_);
        first_ = first;
        released_ = false;
        refuses_always_ = false;
    }

    /// Whether orders use the route with a long queue.
    bool waits = false;

    caller_request order_of(const std::string& id) const
    {
        caller_request out = order(id);
        out.path = waits ? "/maps/1" : "/orders/1";
        return out;
    }

    bool until_known(const std::string& id)
    {
        return world.until(
            [&]
            {
                return world.log(0).find("target=" + id + " ",
                                         entries_.at(id)) != std::string::npos;
            },
            3s);
    }

    std::string next_id()
    {
        return "order-" + std::to_string(++last_order_);
    }

    void send(const std::string& id)
    {
        calls_.push_back(world.send(0, order_of(id),
                                    [this, id](const net::fetch_result& got)
                                    { answers_[id].push_back(got); }));
    }

    void release()
    {
        const std::lock_guard lock(mutex_);
        released_ = true;
        changed_.notify_all();
    }

    void hold()
    {
        const std::lock_guard lock(mutex_);
        released_ = false;
    }

    void refuse_always()
    {
        const std::lock_guard lock(mutex_);
        refuses_always_ = true;
    }

    int arrivals(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return arrivals_[id];
    }

    bool until_arrived(const std::string& id, int count)
    {
        return world.until([&] { return arrivals(id) >= count; }, 300ms);
    }

    bool until_answered(const std::string& id, std::size_t count)
    {
        return world.until([&] { return answers_[id].size() >= count; }, 4s);
    }

    int runs(const std::string& id) const
    {
        int out = 0;
        for (const auto& target : targets)
        {
            out += target->runs(id);
        }
        return out;
    }

    /// @param all_answers whether each answer counts, not only the last one
    void judge(const std::string& id, broken_counts& out,
               bool all_answers = false)
    {
        const int ran = runs(id);
        const auto& answers = answers_[id];
        const bool promised =
            all_answers
                ? std::any_of(answers.begin(), answers.end(), is_refused)
                : !answers.empty() && is_refused(answers.back());
        ++out.answered;
        out.ran_twice += ran > 1 ? 1 : 0;
        out.ran_though_refused += promised && ran > 0 ? 1 : 0;
        for (const net::fetch_result& got : answers)
        {
            out.not_whole += is_not_whole(got, order_of(id)) ? 1 : 0;
        }
        std::printf("%s: arrived %d, ran %d, answers", id.c_str(), arrivals(id),
                    ran);
        for (const net::fetch_result& got : answers)
        {
            std::printf(" %d", got.outcome == net::call_outcome::complete
                                   ? got.response.status
                                   : 0);
        }
        std::printf("\n");
    }

    /// Plays a way for some orders.
    void play(const std::string& name,
              const std::function<void(broken_counts&)>& way, int count = 1)
    {
        broken_counts counts;
        for (int i = 0; i < count; ++i)
        {
            way(counts);
        }
        counts.print(name);
        broken_ += counts.total() > 0 ? name + "; " : "";
    }

    /// Plays an order that its caller sends again after the first answer.
    /// @param others orders between the two
    void play_again(const std::string& name, first_answer first,
                    std::chrono::milliseconds pause = {}, int others = 0)
    {
        play(
            name,
            [&](broken_counts& counts)
            {
                begin_again(first);
                const std::string id = next_id();
                send(id);
                EXPECT(until_answered(id, 1));
                for (int i = 0; i < others; ++i)
                {
                    world.call(0, order_of(next_id()));
                }
                world.run_for(pause);
                send(id);
                EXPECT(until_answered(id, 2));
                judge(id, counts);
            },
            plays);
    }

    void expect_none_broken()
    {
        int repeated = 0;
        for (const auto& target : targets)
        {
            repeated += target->repeated_on_connection();
        }
        std::printf("ids repeated on a connection: %d\n", repeated);
        section("broken: " + broken_, [&] { EXPECT(broken_.empty()); });
        EXPECT(repeated == 0);
    }

    /// Orders for each way that is played on the same entries.
    static constexpr int plays = 2;

    gateway_world world;
    std::vector<std::unique_ptr<raw_target>> targets;

private:
    using connection = std::pair<std::uint16_t, int>;

    std::mutex mutex_;
    std::condition_variable changed_;
    first_answer first_ = first_answer::refuse;
    bool released_ = false;
    bool refuses_always_ = false;
    std::map<std::string, int> arrivals_;
    std::map<std::string, std::set<connection>> refused_;
    /// Bytes of the gateway's log when an entry was written.
    std::map<std::string, std::size_t> entries_;
    std::vector<std::shared_ptr<net::http_call>> calls_;
    std::map<std::string, std::vector<net::fetch_result>> answers_;
    std::string broken_;
    int last_entry_ = 0;
    int last_order_ = 0;
};

using first_answer = id_fleet::first_answer;

} // namespace

namespace
{

/// When the entries of a test change.
enum class change_time : std::uint8_t
{
    under_way, ///< While a target has the order.
    waiting,   ///< After the target has refused it.
};

void play_changes_of_entries(change_time when)
{
    const bool while_waiting = when == change_time::waiting;
    id_fleet fleet;
    fleet.waits = true;
    // Changes the entries while the first target has the order, or after it
    // has refused it.
    const auto change =
        [&](const std::string& name, int targets, const auto& change_entries)
    {
        fleet.play(name,
                   [&](broken_counts& counts)
                   {
                       const auto entries = fleet.begin(
                           targets, while_waiting
                                        ? first_answer::refuse
                                        : first_answer::refuse_when_released);
                       const std::string id = fleet.next_id();
                       fleet.send(id);
                       EXPECT(fleet.until_arrived(id, 1));
                       if (while_waiting)
                       {
                           fleet.world.run_for(20ms);
                           change_entries(entries);
                       }
                       else
                       {
                           change_entries(entries);
                           EXPECT(fleet.until_entries_known());
                           fleet.release();
                       }
                       EXPECT(fleet.until_answered(id, 1));
                       fleet.judge(id, counts);
                   });
    };
    change("an entry is replaced at its address", 1,
           [&](const std::vector<std::string>& entries)
           {
               fleet.remove_entry(entries[0]);
               fleet.put_entry(entries[0] + "-again", *fleet.targets.back());
           });
    change("a second entry has the address", 1,
           [&](const std::vector<std::string>& entries)
           { fleet.put_entry(entries[0] + "-second", *fleet.targets.back()); });
    change("an entry returns under its id", 1,
           [&](const std::vector<std::string>& entries)
           {
               fleet.remove_entry(entries[0]);
               fleet.world.run_for(20ms);
               fleet.put_entry(entries[0], *fleet.targets.back());
           });
    change("entries swap their addresses", 2,
           [&](const std::vector<std::string>& entries)
           {
               const std::size_t count = fleet.targets.size();
               fleet.put_entry(entries[0], *fleet.targets[count - 1]);
               fleet.put_entry(entries[1], *fleet.targets[count - 2]);
           });
    fleet.expect_none_broken();
}

} // namespace

// Guards against a retry that goes to the same connection under the id of
// another entry, because entries change while an order is under way (TWICE,
// REFUSED).
Test(gateway_copies_search, entries_change_while_an_order_is_under_way)
{
    play_changes_of_entries(change_time::under_way);
}

// Guards against the same while an order waits in the queue (TWICE, REFUSED).
Test(gateway_copies_search, entries_change_while_an_order_waits)
{
    play_changes_of_entries(change_time::waiting);
}

// Guards against an order that its caller sends again under its id after a
// refusal, at once, later or while the first one waits (TWICE, REFUSED).
Test(gateway_copies_search, a_refused_id_returns)
{
    id_fleet fleet;
    fleet.begin(1, first_answer::serve);
    fleet.play_again("at once after a refusal", first_answer::refuse);
    fleet.play_again("later after a refusal", first_answer::refuse,
                     ejection_time);
    fleet.play_again("after a refusal and other orders", first_answer::refuse,
                     ejection_time, 20);
    fleet.play(
        "while the first one waits",
        [&](broken_counts& counts)
        {
            fleet.waits = true;
            fleet.begin_again(first_answer::refuse);
            const std::string id = fleet.next_id();
            fleet.send(id);
            EXPECT(fleet.until_arrived(id, 1));
            fleet.world.run_for(20ms);
            fleet.send(id);
            EXPECT(fleet.until_answered(id, 2));
            fleet.judge(id, counts, true);
            fleet.waits = false;
        },
        id_fleet::plays);
    fleet.expect_none_broken();
}

// Guards against an order that its caller sends again under its id after it
// may have run, or twice at once (TWICE, REFUSED).
Test(gateway_copies_search, an_id_that_may_have_run_returns)
{
    id_fleet fleet;
    fleet.begin(3, first_answer::serve);
    fleet.play_again("at once after a success", first_answer::serve);
    fleet.play_again("later after a success", first_answer::serve, 300ms);
    fleet.play_again("at once after a failure", first_answer::fail);
    fleet.play_again("later after a failure", first_answer::fail, 300ms);
    const auto together = [&](const std::string& name, first_answer first,
                              bool refuses_always = false)
    {
        fleet.play(
            name,
            [&](broken_counts& counts)
            {
                fleet.begin_again(first);
                if (refuses_always)
                {
                    fleet.refuse_always();
                }
                const std::string id = fleet.next_id();
                fleet.send(id);
                fleet.send(id);
                fleet.until_arrived(id, 2);
                fleet.release();
                EXPECT(fleet.until_answered(id, 2));
                fleet.judge(id, counts, true);
            },
            id_fleet::plays);
    };
    together("twice at once, the first is refused",
             first_answer::refuse_when_released);
    together("twice at once, the first is served",
             first_answer::serve_when_released);
    together("twice at once, both refused", first_answer::refuse_when_released,
             true);
    fleet.play(
        "after its caller has left",
        [&](broken_counts& counts)
        {
            fleet.begin_again(first_answer::serve_when_released);
            const std::string id = fleet.next_id();
            {
                const auto left = fleet.world.send(
                    0, fleet.order_of(id), [](const net::fetch_result&) {});
                EXPECT(fleet.until_arrived(id, 1));
                left->cancel();
            }
            fleet.world.run_for(20ms);
            fleet.send(id);
            fleet.world.run_for(50ms);
            fleet.release();
            EXPECT(fleet.until_answered(id, 1));
            fleet.judge(id, counts);
        },
        id_fleet::plays);
    fleet.expect_none_broken();
}
