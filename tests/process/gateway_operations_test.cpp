// Follows docs/OPERATIONS.md from the id of a failed request to its cause, with
// nothing but the log of the gateway.
#include "gateway_world.hpp"
#include "test_sections.hpp"

#include <map>
#include <sstream>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

using log_line = std::map<std::string, std::string>;

/// Reads the fields `key=value` of a line; quoted values keep their quotes.
log_line fields_of(const std::string& line)
{
    log_line out;
    std::istringstream words(line);
    for (std::string word; words >> word;)
    {
        const auto equals = word.find('=');
        if (equals != std::string::npos)
        {
            out[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return out;
}

/// The lines of a log that hold a text, as `grep` finds them.
std::vector<log_line> grep(const std::string& log, const std::string& text)
{
    std::vector<log_line> out;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.find(text) != std::string::npos)
        {
            out.push_back(fields_of(line));
        }
    }
    return out;
}

/// The first step of the page: the line of a request.
log_line line_of(const gateway_world& world, const std::string& id)
{
    const auto found = grep(world.log(0), "request=" + id + " ");
    return found.empty() ? log_line{} : found.front();
}

caller_request order(const std::string& id)
{
    caller_request out;
    out.id = id;
    out.path = "/orders/1";
    out.method = "POST";
    return out;
}

} // namespace

// Guards against a refusal under load whose line does not tell why.
Test(gateway_operations, refused_under_load)
{
    gateway_world world(1);
    auto busy = named("m1");
    busy.slots = 1;
    busy.work = 2s;
    world.add_target("maps", busy);
    world.configure();
    EXPECT(world.start_all());
    std::map<std::string, int> statuses;
    std::vector<std::shared_ptr<net::http_call>> running;
    constexpr int requests = 12;
    for (int i = 0; i < requests; ++i)
    {
        caller_request look;
        look.id = "look-" + std::to_string(i) + "-x";
        running.push_back(
            world.send(0, look,
                       [&statuses, id = look.id](const net::fetch_result& got)
                       { statuses[id] = got.response.status; }));
    }
    EXPECT(world.until([&] { return statuses.size() == requests; }));
    int refused = 0;
    for (const auto& [id, status] : statuses)
    {
        if (status != 503)
        {
            continue;
        }
        ++refused;
        log_line line = line_of(world, id);
        EXPECT(line["name"] == "request_not_served");
        EXPECT(line["status"] == "503");
        EXPECT(line["targets"] == "1");
        const bool no_room = line["reason"] == "region_at_capacity" ||
                             line["reason"] == "deadline_exceeded_in_queue" ||
                             line["reason"] == "target_refused";
        EXPECT(no_room);
        EXPECT(line["reason"] == "target_refused" || line["attempts"] == "0");
        EXPECT(world.runs(id) == 0);
    }
    EXPECT(refused > 0);
}

// Guards against a failure at a target whose line does not name the target and
// what it did.
Test(gateway_operations, failed_at_a_target)
{
    gateway_world world(1);
    auto cutting = named("orders-1");
    cutting.cut_part = 1;
    world.add_target("orders", cutting);
    world.configure();
    EXPECT(world.start_all());
    const auto got = world.call(0, order("order-7"));
    EXPECT(got.response.status == 502);
    log_line line = line_of(world, "order-7");
    EXPECT(line["reason"] == "bad_answer");
    EXPECT(line["attempts"] == "1");
    EXPECT(line["steps"].starts_with("orders-1:broken:"));
    EXPECT(line["service"] == "orders");
}

// Guards against a wrong or missing configuration on a VM that its log does not
// show.
Test(gateway_operations, wrong_or_missing_configuration)
{
    gateway_world world(1, link_kind::proxied);
    world.start(0);
    EXPECT(world.until([&] { return world.readiness(0) == 503; }));
    section("missing: the version that decided is 0",
            [&]
            {
                EXPECT(world.call(0, order("order-1")).response.status == 503);
                log_line line = line_of(world, "order-1");
                EXPECT(line["reason"] == "no_configuration");
                EXPECT(line["policy"] == "0");
            });
    world.add_target("maps", named("m1"));
    world.configure();
    EXPECT(world.until([&] { return world.readiness(0) == 200; }));
    section("wrong: the VM is cut from the store and decides by an old version",
            [&]
            {
                world.store_link().reset_open();
                world.cut_store(true);
                world.configure({{"prefix", "/plans/"}});
                EXPECT(world.until(
                    [&] {
                        return !grep(world.log(0), "name=store_unavailable")
                                    .empty();
                    },
                    5s));
                caller_request added;
                added.id = "added-1";
                added.path = "/plans/1";
                EXPECT(world.call(0, added).response.status == 404);
                log_line line = line_of(world, "added-1");
                EXPECT(line["reason"] == "unknown_route");
                EXPECT(line["policy"] == "1");
                const auto lost = grep(world.log(0), "name=store_unavailable");
                const auto back = grep(world.log(0), "name=store_available");
                EXPECT(!lost.empty() && back.size() < lost.size());
            });
}
