#include "deployment.hpp"
#include "gateway_world.hpp"
#include "odd_statuses.hpp"
#include "raw_target.hpp"
#include "test_sections.hpp"

#include <mutex>

using namespace siskinflow;
using namespace std::chrono_literals;
using nlohmann::json;
using test_sections::section;

namespace
{

constexpr int bad_gateway = 502;

/// Where an odd status appears.
enum class place : std::uint8_t
{
    new_connection,
    kept_connection,
    interim_head,
};

constexpr std::array<place, 3> places = {
    place::new_connection, place::kept_connection, place::interim_head};

/// Fields of an answer to an order that would prove a run, or that it was
/// turned away, if the status were valid.
constexpr std::array<const char*, 2> claims = {
    "siskinflow-response-signature: signed\r\n",
    "siskinflow-not-executed: 1\r\n"};

/// Runs requests and answers them with odd statuses or with successes.
class odd_target
{
public:
    std::uint16_t port() const
    {
        return target_.port();
    }

    /// Further answers are this one; empty: successes.
    void set_answer(std::string bytes)
    {
        const std::lock_guard lock(mutex_);
        answer_ = std::move(bytes);
    }

    /// Number on its connection of the last request.
    int last_number() const
    {
        const std::lock_guard lock(mutex_);
        return last_number_;
    }

    int runs(const std::string& id) const
    {
        return target_.runs(id);
    }

private:
    raw_target::reply reply(const raw_target::request& arrived)
    {
        const std::string id = "siskinflow-request-id: " + arrived.id + "\r\n";
        if (arrived.path.find("/odd") == std::string::npos)
        {
            // A daemon asks for the load of the target, and would use its
            // connection for the next request.
            return {"HTTP/1.1 404 Not Found\r\nconnection: close\r\n"
                    "content-length: 0\r\n\r\n",
                    false};
        }
        const std::lock_guard lock(mutex_);
        last_number_ = arrived.number;
        if (answer_.empty())
        {
            return "HTTP/1.1 200 OK\r\n" + id + claims[0] +
                   "content-length: 2\r\n\r\nab";
        }
        std::string out = answer_;
        const std::string own_id = "{id}\r\n";
        out.replace(out.find(own_id), own_id.size(), id);
        return out;
    }

    mutable std::mutex mutex_;
    std::string answer_;
    int last_number_ = 0;
    raw_target target_{[this](const raw_target::request& arrived)
                       { return reply(arrived); }};
};

/// Sends a request that meets each odd status at each place.
/// @param call sends one and tells whether the caller was told, truthfully,
/// that it may have run
/// @param warm_up sends one that succeeds
/// @param begin is called before the answers of each line
/// @param keeps_connections whether requests are sent on kept connections
void meet_all(odd_target& target, const std::function<bool()>& call,
              const std::function<bool()>& warm_up,
              const std::function<void(int number)>& begin,
              bool keeps_connections = true)
{
    auto lines = odd_statuses::lines();
    const std::size_t odd_lines = lines.size();
    lines.insert(lines.end(), odd_statuses::interim_lines().begin(),
                 odd_statuses::interim_lines().end());
    for (std::size_t i = 0; i < lines.size(); ++i)
    {
        begin(static_cast<int>(i));
        for (const place where : places)
        {
            const bool is_interim = where == place::interim_head;
            if (is_interim && i >= odd_lines)
            {
                continue; // Valid there.
            }
            section(
                lines[i] + ", place " + std::to_string(static_cast<int>(where)),
                [&]
                {
                    target.set_answer("");
                    const bool kept = where != place::new_connection;
                    EXPECT(!kept || warm_up());
                    const std::string fields =
                        std::string("{id}\r\n") + claims[i % 2];
                    target.set_answer(
                        is_interim ? odd_statuses::interim(lines[i], fields)
                                   : odd_statuses::answer(lines[i], fields));
                    EXPECT(call());
                    EXPECT(target.last_number() ==
                           (kept && keeps_connections ? 2 : 1));
                });
        }
    }
}

} // namespace

// Guards against a status that no caller may get, and against an order that ran
// and is reported as not run because of it (REFUSED).
Test(odd_statuses, reach_no_caller_of_a_gateway, .timeout = 100)
{
    odd_target target;
    gateway_world world(1);
    world.configure({{"max-attempts", 1}});
    EXPECT(world.start_all());
    int number = 0;
    for (const std::string service : {"maps", "orders"})
    {
        const auto send = [&]
        {
            caller_request out;
            out.path = "/" + service + "/odd";
            out.method = service == "maps" ? "GET" : "POST";
            out.id = "odd-" + std::to_string(++number);
            auto got = world.call(0, out);
            return std::pair(std::move(got), target.runs(out.id));
        };
        std::string entry;
        // An entry for each line, because those before may be ejected.
        const auto begin = [&](int line)
        {
            if (!entry.empty())
            {
                world.remove_entry(entry);
            }
            entry = service + "-" + std::to_string(line);
            world.add_entry(entry, service, target.port());
            EXPECT(world.until(
                [&]
                {
                    return world.log(0).find("target=" + entry + " service=") !=
                           std::string::npos;
                }));
        };
        meet_all(
            target,
            [&]
            {
                const auto [got, runs] = send();
                return got.outcome == net::call_outcome::complete &&
                       got.response.status == bad_gateway && runs == 1;
            },
            [&] { return send().first.response.status == 200; }, begin);
        world.remove_entry(entry);
    }
}

// Guards against the same through `siskinflowd`.
Test(odd_statuses, reach_no_caller_of_a_daemon, .timeout = 100)
{
    odd_target target;
    processes::deployment_plan plan;
    plan.vms = 1;
    processes::deployment run(plan);
    EXPECT(run.ready());
    json note = {{"id", "odd"}};
    for (const std::string name : {"odd-maps", "odd-orders"})
    {
        note["routes"]["add"].push_back({{"name", name},
                                         {"path_prefix", "/" + name},
                                         {"idempotent", name == "odd-maps"},
                                         {"open", false},
                                         {"not_run_statuses", {503}},
                                         {"default_timeout_ms", 8000},
                                         {"shift_cap_percent_per_s", 100}});
    }
    note["targets"]["add"] = {
        {{"name", "odd"},
         {"routes", {"odd-maps", "odd-orders"}},
         {"region", "region-0"},
         {"failure_domain", "domain-0"},
         {"address", "127.0.0.1:" + std::to_string(target.port())},
         {"slots", 4},
         {"max_connections", 400}}};
    EXPECT(run.apply(note) == 0);
    for (const std::string name : {"odd-maps", "odd-orders"})
    {
        const auto send = [&]
        {
            auto out = run.request(0, "/" + name + "/1", "acme");
            if (name == "odd-orders")
            {
                out.method = "POST";
                out.headers.add("idempotency-key", run.permit(0, "odd-orders"));
            }
            return run.caller().call(std::move(out));
        };
        meet_all(
            target,
            [&]
            {
                const auto got = send();
                return got.outcome == net::call_outcome::complete &&
                       got.response.status == bad_gateway &&
                       got.response.headers.value("siskinflow-outcome") ==
                           "unknown";
            },
            [&] { return send().response.status == 200; },
            [](int /*number*/) {},
            // A daemon sends each order on a connection of its own.
            name == "odd-maps");
    }
}
