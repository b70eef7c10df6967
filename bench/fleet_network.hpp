/// @file
/// @brief In-memory network and store under a manual clock, for tests and
/// measurements of fleet nodes.
#pragma once

#include <siskinflow/control/codec.hpp>
#include <siskinflow/fleet/fleet_node.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fleet_sim
{

using namespace siskinflow;

/// @brief Callbacks in time order.
class schedule
{
public:
    explicit schedule(manual_clock& time) : time_(time) {}

    void after(duration delay, std::function<void()> callback)
    {
        events_.emplace(time_.now() + delay, std::move(callback));
    }

    void run_until(time_point end)
    {
        while (!events_.empty() && events_.begin()->first <= end)
        {
            auto event = events_.extract(events_.begin());
            time_.advance(event.key() - time_.now());
            event.mapped()();
        }
        time_.advance(end - time_.now());
    }

private:
    manual_clock& time_;
    std::multimap<time_point, std::function<void()>> events_;
};

/// @brief The platform's store with its faults.
class fake_store
{
public:
    explicit fake_store(schedule& events) : events_(events) {}

    struct watcher
    {
        std::string key;
        std::function<void(store_value)> on_change;
        std::function<void(error)> on_end;
        const bool* silent; ///< Events are lost without an error while set.
    };

    bool down = false;
    bool loses_replies = false; ///< Swaps take effect without a reply.
    bool serves_stale = false;  ///< Reads return the value before the newest.
    duration latency = std::chrono::milliseconds(2);
    std::uint64_t calls = 0;
    std::map<std::string, std::vector<store_value>> history;
    std::map<std::uint64_t, std::shared_ptr<watcher>> watchers;

    store_revision put(const std::string& key, const std::string& value)
    {
        const store_value written{key, value, ++revision_};
        history[key].push_back(written);
        for (const auto& [id, item] : watchers)
        {
            if (item->key == key)
            {
                notify(item, written);
            }
        }
        return revision_;
    }

    std::optional<store_value> newest(const std::string& key) const
    {
        auto found = history.find(key);
        return found == history.end() ? std::nullopt
                                      : std::optional(found->second.back());
    }

    void set_down(bool value)
    {
        down = value;
        if (down)
        {
            end_watches({errc::unavailable, "down"});
        }
    }

    /// @brief Ends all watches, as the client does with one that has lasted
    /// its time (`errc::timeout`), or an outage.
    void end_watches(const error& reason)
    {
        for (auto& [id, item] : std::exchange(watchers, {}))
        {
            events_.after(latency,
                          [item = item, reason] { item->on_end(reason); });
        }
    }

    std::uint64_t add_watcher(std::shared_ptr<watcher> item,
                              store_revision from)
    {
        if (down)
        {
            events_.after(latency,
                          [item] {
                              item->on_end({errc::unavailable, "down"});
                          });
            return 0;
        }
        for (const store_value& old : history[item->key])
        {
            if (from > 0 && old.mod_revision >= from)
            {
                notify(item, old);
            }
        }
        if (history[item->key].empty())
        {
            history.erase(item->key);
        }
        watchers[++last_watcher_] = std::move(item);
        return last_watcher_;
    }

    schedule& events()
    {
        return events_;
    }

private:
    void notify(const std::shared_ptr<watcher>& item,
                const store_value& written)
    {
        events_.after(latency,
                      [weak = std::weak_ptr<watcher>(item), written]
                      {
                          auto alive = weak.lock();
                          if (alive && !*alive->silent)
                          {
                              alive->on_change(written);
                          }
                      });
    }

    schedule& events_;
    store_revision revision_ = 0;
    std::uint64_t last_watcher_ = 0;
};

/// @brief One VM's client of the store; can be cut off from it.
class fake_store_client final : public store
{
public:
    explicit fake_store_client(fake_store& server) : server_(server) {}

    bool cut = false;

    void read(std::string key, duration timeout,
              callback<std::optional<store_value>> done) override
    {
        if (unreachable<std::optional<store_value>>(timeout, done))
        {
            return;
        }
        auto value = server_.newest(key);
        if (value && server_.serves_stale && server_.history[key].size() > 1)
        {
            value = *(server_.history[key].rbegin() + 1);
        }
        later([done = std::move(done), value = std::move(value)]
              { done(value); });
    }

    void read_prefix(std::string, duration,
                     callback<std::vector<store_value>>) override
    {
    }

    void swap(swap_request request, duration timeout,
              callback<store_revision> done) override
    {
        if (unreachable<store_revision>(timeout, done))
        {
            return;
        }
        const auto current = server_.newest(request.key);
        if ((current ? current->mod_revision : 0) != request.expected)
        {
            later([done = std::move(done)]
                  { done(fail(errc::conflict, "compare failed")); });
            return;
        }
        store_revision written = 0;
        for (const auto& [key, value] : request.puts)
        {
            written = server_.put(key, value);
        }
        if (server_.loses_replies)
        {
            server_.events().after(
                timeout, [done = std::move(done)]
                { done(fail(errc::unknown_outcome, "no reply")); });
            return;
        }
        later([done = std::move(done), written] { done(written); });
    }

    std::unique_ptr<store_watch>
    watch(std::string key, store_revision from,
          std::function<void(store_value)> on_change,
          std::function<void(error)> on_end) override
    {
        ++server_.calls;
        struct handle final : store_watch
        {
            handle(fake_store& owner, std::uint64_t number)
                : server(owner), id(number)
            {
            }
            ~handle() override
            {
                server.watchers.erase(id);
            }
            fake_store& server;
            std::uint64_t id;
        };
        auto item = std::make_shared<fake_store::watcher>(fake_store::watcher{
            std::move(key), std::move(on_change), std::move(on_end), &cut});
        if (cut)
        {
            later([item] { item->on_end({errc::timeout, "cut"}); });
            return std::make_unique<handle>(server_, 0);
        }
        return std::make_unique<handle>(
            server_, server_.add_watcher(std::move(item), from));
    }

private:
    template <class T>
    bool unreachable(duration timeout, const callback<T>& done)
    {
        ++server_.calls;
        if (cut || server_.down)
        {
            server_.events().after(timeout, [done]
                                   { done(fail(errc::timeout, "down")); });
            return true;
        }
        return false;
    }

    void later(std::function<void()> callback)
    {
        server_.events().after(server_.latency, std::move(callback));
    }

    fake_store& server_;
};

/// @brief Fleet nodes on an unreliable network.
class network
{
public:
    struct faults
    {
        double loss = 0;
        double duplication = 0;
        duration max_extra_delay{0}; ///< Reorders datagrams.
    };

    struct traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; ///< Payload and 28 bytes of IP and UDP.
    };

    /// @brief One VM; the node is null while the VM is down.
    struct vm
    {
        member self;
        std::unique_ptr<fake_store_client> client;
        std::unique_ptr<net::datagram_sender> datagrams;
        std::unique_ptr<net::message_sender> messages;
        std::unique_ptr<fleet_node> node;
        std::uint64_t run = 0; ///< Tells ticks of an earlier process.
        bool paused = false;
        std::deque<std::pair<net::endpoint, std::string>> backlog;
        std::vector<std::pair<std::string, store_revision>> configs;
        traffic sent;
        traffic received;
    };

    static constexpr duration tick = std::chrono::milliseconds(50);
    static constexpr std::size_t header_bytes = 28;

    explicit network(std::uint64_t seed = 1) : random_(seed) {}

    manual_clock time;
    schedule events{time};
    fake_store server{events};
    faults trouble;
    duration local_delay = std::chrono::microseconds(250);
    duration region_delay = std::chrono::microseconds(27500);
    std::vector<vm> vms;
    /// Pairs of VMs of which the first does not reach the second.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    /// VMs whose TCP connections are silent.
    std::set<std::size_t> silent;
    std::size_t max_backlog = 200; ///< Datagrams kept for a paused VM.
    std::function<void()> after_backlog_delivery;
    fleet_options defaults;

    /// @brief Adds VMs in turn to failure domains and regions.
    void add(std::size_t count, std::size_t domains, std::size_t regions)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            const std::size_t index = vms.size();
            vm added;
            added.self.vm = "vm" + std::to_string(index);
            added.self.failure_domain = "d" + std::to_string(index % domains);
            added.self.region = "r" + std::to_string(index % domains % regions);
            added.self.control = {"10.0.0.1",
                                  static_cast<std::uint16_t>(1000 + index)};
            added.self.http = added.self.control;
            added.client = std::make_unique<fake_store_client>(server);
            added.datagrams = std::make_unique<sender>(*this, index);
            added.messages = std::make_unique<requester>(*this, index);
            by_endpoint_[added.self.control] = index;
            vms.push_back(std::move(added));
        }
    }

    /// @brief Gives all VMs that start later the platform's VM list, which
    /// shows the VMs whose process runs.
    void use_vm_list()
    {
        platform_ = std::make_unique<platform>(*this);
        poll();
    }

    void start(std::size_t index)
    {
        vm& target = vms[index];
        target.self.incarnation = {random_() | 1, random_()};
        fleet_options options = defaults;
        options.self = target.self;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, vms.size()); ++i)
        {
            options.seeds.push_back(vms[i].self.control);
        }
        fleet_handlers handlers;
        handlers.on_config =
            [this, index](std::string_view text, store_revision revision)
        { vms[index].configs.emplace_back(text, revision); };
        target.configs.clear();
        target.backlog.clear();
        target.paused = false;
        ++target.run;
        target.node = std::make_unique<fleet_node>(
            std::move(options),
            fleet_dependencies{time, *target.datagrams, *target.messages,
                               *target.client, [this] { return random_(); },
                               platform_ ? &platform_->list : nullptr},
            std::move(handlers));
        const duration phase(
            static_cast<std::int64_t>(random_() % tick.count()));
        events.after(phase,
                     [this, index, run = target.run] { run_tick(index, run); });
    }

    void start_all()
    {
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            start(i);
        }
    }

    void kill(std::size_t index)
    {
        ++vms[index].run;
        vms[index].node.reset();
        vms[index].backlog.clear();
    }

    void pause(std::size_t index)
    {
        vms[index].paused = true;
    }

    /// @brief Ends a pause; what waited in the socket is delivered.
    void resume(std::size_t index)
    {
        vm& target = vms[index];
        target.paused = false;
        for (const auto& [from, bytes] : std::exchange(target.backlog, {}))
        {
            deliver(index, from, bytes);
            if (after_backlog_delivery)
            {
                after_backlog_delivery();
            }
        }
    }

    void run(duration length)
    {
        events.run_until(time.now() + length);
    }

    bool reaches(std::size_t from, std::size_t to) const
    {
        return cuts.count({from, to}) == 0;
    }

    std::uint64_t random()
    {
        return random_();
    }

    /// @brief Number of nodes that satisfy a condition.
    template <class Check>
    std::size_t count(Check check) const
    {
        return static_cast<std::size_t>(std::count_if(
            vms.begin(), vms.end(),
            [&](const vm& item) { return item.node && check(*item.node); }));
    }

    /// @brief Runs until a condition holds for all nodes.
    /// @return the time it took, or nothing after `limit`
    template <class Check>
    std::optional<duration> run_until_all(Check check, duration limit)
    {
        const time_point begin = time.now();
        while (time.now() - begin < limit)
        {
            const auto alive = count([](const fleet_node&) { return true; });
            if (count(check) == alive)
            {
                return time.now() - begin;
            }
            run(tick);
        }
        return std::nullopt;
    }

private:
    class sender final : public net::datagram_sender
    {
    public:
        sender(network& owner, std::size_t index) : owner_(owner), index_(index)
        {
        }
        void send(const net::endpoint& peer, std::string_view payload) override
        {
            owner_.send(index_, peer, std::string(payload));
        }

    private:
        network& owner_;
        std::size_t index_;
    };

    class requester final : public net::message_sender
    {
    public:
        requester(network& owner, std::size_t index)
            : owner_(owner), index_(index)
        {
        }
        void request(const net::endpoint& peer, std::string message,
                     duration timeout, answer_handler done) override
        {
            owner_.request(index_, peer, std::move(message), timeout,
                           std::move(done));
        }

    private:
        network& owner_;
        std::size_t index_;
    };

    /// @brief The platform's VM list as one client for all VMs.
    struct platform final : net::http_caller
    {
        explicit platform(network& owner) : fleet(owner) {}

        network& fleet;
        vm_list list{*this, fleet.time, {"10.0.0.2", 80}};

        std::shared_ptr<net::http_call>
        start(net::client_request,
              std::shared_ptr<net::call_observer> observer) override
        {
            std::string vms;
            for (const vm& item : fleet.vms)
            {
                if (item.node)
                {
                    vms += (vms.empty() ? "" : ",") +
                           std::string("{\"name\":\"") + item.self.vm +
                           "\",\"state\":\"live\"}";
                }
            }
            fleet.events.after(std::chrono::milliseconds(2),
                               [observer, body = "{\"vms\":[" + vms + "]}"]
                               {
                                   observer->on_head(200, {}, body.size());
                                   observer->on_body(body);
                                   observer->on_end(
                                       net::call_outcome::complete);
                               });
            return nullptr;
        }

        void close_idle_connections(const net::endpoint&) override {}
    };

    void poll()
    {
        platform_->list.tick();
        events.after(tick, [this] { poll(); });
    }

    void run_tick(std::size_t index, std::uint64_t run)
    {
        vm& target = vms[index];
        if (target.run != run)
        {
            return;
        }
        if (!target.paused)
        {
            target.node->tick();
        }
        events.after(tick, [this, index, run] { run_tick(index, run); });
    }

    bool happens(double probability)
    {
        return probability > 0 &&
               std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    duration delay(std::size_t from, std::size_t to)
    {
        duration out = vms[from].self.region == vms[to].self.region
                           ? local_delay
                           : region_delay;
        if (trouble.max_extra_delay > duration(0))
        {
            out += duration(static_cast<std::int64_t>(
                random_() %
                static_cast<std::uint64_t>(trouble.max_extra_delay.count())));
        }
        return out;
    }

    void count_traffic(std::size_t from, std::size_t to, std::size_t bytes)
    {
        ++vms[from].sent.messages;
        vms[from].sent.bytes += bytes + header_bytes;
        ++vms[to].received.messages;
        vms[to].received.bytes += bytes + header_bytes;
    }

    void send(std::size_t from, const net::endpoint& peer, std::string bytes)
    {
        auto found = by_endpoint_.find(peer);
        if (found == by_endpoint_.end() ||
            bytes.size() > control::max_datagram_bytes)
        {
            ++dropped;
            return;
        }
        const std::size_t to = found->second;
        count_traffic(from, to, bytes.size());
        const int copies = happens(trouble.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            if (!reaches(from, to) || happens(trouble.loss))
            {
                continue;
            }
            events.after(delay(from, to),
                         [this, to, source = vms[from].self.control, bytes]
                         { arrive(to, source, bytes); });
        }
    }

    void arrive(std::size_t to, const net::endpoint& from,
                const std::string& bytes)
    {
        vm& target = vms[to];
        if (!target.node)
        {
            return;
        }
        if (!target.paused)
        {
            deliver(to, from, bytes);
        }
        else if (target.backlog.size() < max_backlog)
        {
            target.backlog.emplace_back(from, bytes);
        }
    }

    void deliver(std::size_t to, const net::endpoint& from,
                 const std::string& bytes)
    {
        const auto message =
            control::decode_header(bytes, control::max_datagram_bytes);
        if (message)
        {
            vms[to].node->on_datagram(from, message.value());
        }
    }

    void request(std::size_t from, const net::endpoint& peer,
                 std::string message, duration timeout,
                 net::message_sender::answer_handler done)
    {
        auto found = by_endpoint_.find(peer);
        const bool possible =
            silent.count(from) == 0 && found != by_endpoint_.end() &&
            vms[found->second].node && !vms[found->second].paused &&
            silent.count(found->second) == 0 && reaches(from, found->second) &&
            reaches(found->second, from);
        if (!possible)
        {
            events.after(timeout, [done = std::move(done)]
                         { done(fail(errc::timeout, "unreachable")); });
            return;
        }
        const std::size_t to = found->second;
        // One round trip for the connection, then the request.
        count_traffic(from, to, message.size());
        events.after(3 * delay(from, to),
                     [this, from, to, message = std::move(message), timeout,
                      done = std::move(done)]
                     { answer(from, to, message, timeout, done); });
    }

    void answer(std::size_t from, std::size_t to, const std::string& message,
                duration timeout,
                const net::message_sender::answer_handler& done)
    {
        const auto request =
            control::decode_header(message, net::max_stream_message_bytes);
        std::string reply;
        if (request && vms[to].node && !vms[to].paused)
        {
            reply = vms[to].node->on_message(request.value());
        }
        if (reply.empty())
        {
            events.after(timeout, [done]
                         { done(fail(errc::unknown_outcome, "closed")); });
            return;
        }
        count_traffic(to, from, reply.size());
        events.after(delay(to, from), [done, reply] { done(reply); });
    }

    std::mt19937_64 random_;
    std::unordered_map<net::endpoint, std::size_t> by_endpoint_;
    std::unique_ptr<platform> platform_;

public:
    std::uint64_t dropped = 0; ///< Datagrams too large or to nobody.
};

} // namespace fleet_sim
