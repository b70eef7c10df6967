/// @file
/// @brief The faults of a soak.
#pragma once

#include "promise_checker.hpp"

#include <array>
#include <csignal>
#include <random>

namespace soak
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds longest_fault{2500};
/// Delay of each part of the bytes in each direction.
constexpr std::chrono::milliseconds longest_delay{120};
/// Work of a slow target, longer than callers wait.
constexpr std::chrono::milliseconds slow_work{2600};

/// @brief Draws faults; each one ends by itself and may overlap with others.
class fault_source
{
public:
    fault_source(gateway_world& world, promise_checker& promises,
                 std::vector<standin::platform_target*> targets,
                 std::mt19937_64& random, std::size_t vms)
        : world_(world), promises_(promises), targets_(std::move(targets)),
          random_(random), vms_(vms)
    {
    }

    /// @brief Faults so far, by kind.
    const std::map<std::string, int>& played() const
    {
        return played_;
    }

    void strike()
    {
        const std::size_t vm = random_() % vms_;
        const std::chrono::milliseconds time(300 +
                                             random_() % longest_fault.count());
        switch (random_() % 20)
        {
        case 0:
            restart(vm, SIGKILL, time);
            break;
        case 1:
            restart(vm, SIGTERM, time);
            break;
        case 2:
            pause(vm, time);
            break;
        case 3:
            outage(standin::kv_outage::refuse, time);
            break;
        case 4:
            outage(standin::kv_outage::silent, time);
            break;
        case 5:
            say("history dropped");
            world_.store().compact();
            break;
        case 6:
            cut_answers(random_() % targets_.size(), time);
            break;
        case 7:
        case 8:
            disturb("store", world_.store_link(), time);
            break;
        case 9:
            disturb(
                "a target",
                world_.target_link(targets_[random_() % targets_.size()]->id()),
                time);
            break;
        case 10:
            disturb_callers(vm, time);
            break;
        case 11:
            leave(random_() % targets_.size(), time);
            break;
        case 12:
            turn_away(random_() % targets_.size(), time);
            break;
        case 13:
            say("new configuration");
            world_.configure();
            break;
        case 14:
            be_slow(random_() % targets_.size(), time);
            break;
        case 15:
            be_full(random_() % targets_.size(), time);
            break;
        case 16:
            be_replaced(random_() % targets_.size(), time);
            break;
        case 17:
            interject(random_() % targets_.size(), time);
            break;
        default:
            answer_wrongly(random_() % targets_.size(), time);
            break;
        }
    }

private:
    void say(const std::string& what)
    {
        ++played_[what.substr(0, what.find(": "))];
        std::cout << "fault: " << what << std::endl;
    }

    void later(std::chrono::milliseconds time, std::function<void()> then)
    {
        world_.caller().loop().after(time, std::move(then));
    }

    void restart(std::size_t vm, int number, std::chrono::milliseconds time)
    {
        say("vm" + std::to_string(vm) +
            (number == SIGKILL ? " killed" : " told to stop"));
        world_.vm(vm).signal(SIGCONT);
        world_.vm(vm).signal(number);
        if (number == SIGKILL || restarting_.count(vm) != 0)
        {
            promises_.on_disturbed(vm);
        }
        // A graceful stop takes up to the grace time of 6 s.
        const auto rest = number == SIGKILL ? time : 6500ms;
        if (restarting_.insert(vm).second)
        {
            later(rest,
                  [this, vm]
                  {
                      restarting_.erase(vm);
                      world_.start(vm);
                      promises_.on_restarted(vm);
                  });
        }
    }

    void pause(std::size_t vm, std::chrono::milliseconds time)
    {
        say("vm" + std::to_string(vm) + " paused");
        world_.vm(vm).signal(SIGSTOP);
        promises_.on_disturbed(vm);
        later(time,
              [this, vm]
              {
                  promises_.on_disturbed(vm);
                  promises_.on_restarted(vm);
                  world_.vm(vm).signal(SIGCONT);
              });
    }

    /// Callers of a VM whose link was disturbed may miss answers to the end of
    /// the fault.
    void disturb_callers(std::size_t vm, std::chrono::milliseconds time)
    {
        promises_.on_disturbed(vm);
        disturb("callers of vm" + std::to_string(vm), world_.caller_link(vm),
                time);
        later(time, [this, vm] { promises_.on_disturbed(vm); });
    }

    void disturb(const std::string& who, loopback_proxy& link,
                 std::chrono::milliseconds time)
    {
        switch (random_() % 4)
        {
        case 0:
            say("connections of " + who + " delayed");
            link.delay(longest_delay);
            later(time, [&link] { link.delay(0ms); });
            break;
        case 1:
            say("connections of " + who + " reset");
            link.reset_open();
            break;
        case 2:
            say("connections of " + who + " silent");
            link.silence_open();
            break;
        default:
            cut_one_way(who, link, time);
            break;
        }
    }

    void cut_one_way(const std::string& who, loopback_proxy& link,
                     std::chrono::milliseconds time)
    {
        const direction which =
            random_() % 2 == 0 ? direction::to_server : direction::to_client;
        say("connections of " + who + " cut " +
            (which == direction::to_server ? "towards it" : "from it"));
        link.cut(which, true);
        later(time, [&link, which] { link.cut(which, false); });
    }

    void outage(standin::kv_outage kind, std::chrono::milliseconds time)
    {
        say(kind == standin::kv_outage::refuse ? "store refuses"
                                               : "store silent");
        world_.store().set_outage(kind);
        later(time,
              [this] { world_.store().set_outage(standin::kv_outage::none); });
    }

    void cut_answers(std::size_t target, std::chrono::milliseconds time)
    {
        constexpr double cut_part = 0.3;
        say("a target cuts answers");
        targets_[target]->set_cut_part(cut_part);
        later(time, [this, target] { targets_[target]->set_cut_part(0); });
    }

    /// The target says in its answers that it leaves, and starts anew later.
    void leave(std::size_t target, std::chrono::milliseconds time)
    {
        say("a target is leaving");
        targets_[target]->set_leaving(true);
        later(2 * time,
              [this, target]
              {
                  targets_[target]->set_leaving(false);
                  const std::string& id = targets_[target]->id();
                  promises_.on_target_restarted(id);
                  world_.register_target(id, "ready", ++last_born_);
              });
    }

    void turn_away(std::size_t target, std::chrono::milliseconds time)
    {
        say("a target wants nothing for a time");
        targets_[target]->set_retry_after(std::to_string(to_seconds(2 * time)));
        later(time, [this, target] { targets_[target]->set_retry_after(""); });
    }

    /// Requests outlast their deadlines.
    void be_slow(std::size_t target, std::chrono::milliseconds time)
    {
        const duration work = targets_[target]->work();
        if (work == slow_work)
        {
            return;
        }
        say("a target is slow");
        targets_[target]->set_work(slow_work);
        later(time, [this, target, work] { targets_[target]->set_work(work); });
    }

    void be_full(std::size_t target, std::chrono::milliseconds time)
    {
        say("a target is full");
        targets_[target]->set_full(true);
        later(time, [this, target] { targets_[target]->set_full(false); });
    }

    void be_replaced(std::size_t target, std::chrono::milliseconds time)
    {
        say("an address is used by another target");
        targets_[target]->set_replaced(true);
        later(time, [this, target] { targets_[target]->set_replaced(false); });
    }

    /// A target's answers after its runs prove nothing, or are not its own.
    void answer_wrongly(std::size_t target, std::chrono::milliseconds time)
    {
        using standin::answer_fault;
        constexpr std::array faults{
            answer_fault::plain_503, answer_fault::plain_421,
            answer_fault::plain_429, answer_fault::no_id,
            answer_fault::other_id,  answer_fault::signed_rejection};
        const std::size_t which = random_() % faults.size();
        say("a target answers wrongly: kind " + std::to_string(which));
        targets_[target]->set_answer_fault(faults[which]);
        later(time, [this, target]
              { targets_[target]->set_answer_fault(answer_fault::none); });
    }

    /// Rejections that belong to no request, or to one that has ended, arrive
    /// on a target's open connections.
    void interject(std::size_t target, std::chrono::milliseconds time)
    {
        say("a target sends additional bytes");
        constexpr std::chrono::milliseconds gap{70};
        loopback_proxy& link = world_.target_link(targets_[target]->id());
        for (auto at = gap; at < time; at += gap)
        {
            const bool has_id = random_() % 2 == 0;
            later(at,
                  [&link, has_id]
                  {
                      link.inject(
                          std::string("HTTP/1.1 503 Service Unavailable\r\n"
                                      "siskinflow-not-executed: 1\r\n") +
                          (has_id ? "siskinflow-request-id: order-0\r\n" : "") +
                          "content-length: 0\r\n\r\n");
                  });
        }
    }

    gateway_world& world_;
    promise_checker& promises_;
    std::vector<standin::platform_target*> targets_;
    std::mt19937_64& random_;
    std::size_t vms_;
    std::map<std::string, int> played_;
    std::set<std::size_t> restarting_;
    std::int64_t last_born_ = gateway_world::first_born;
};

} // namespace soak
