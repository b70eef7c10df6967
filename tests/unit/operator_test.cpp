#include "test_sections.hpp"
#include <siskinflow/config/configuration_json.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/operator/commands.hpp>
#include <siskinflow/operator/vm_status.hpp>
#include <siskinflow/store/memory_store.hpp>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

using namespace siskinflow;
using namespace std::chrono_literals;
using nlohmann::json;
using test_sections::section;

namespace
{

/// Answers calls with the handler of the port in `servers`; other ports refuse
/// connections.
class fake_caller final : public net::http_caller
{
public:
    fake_caller(const siskinflow::clock& time, timer_queue& timers)
        : time_(time), timers_(timers)
    {
    }

    std::map<std::uint16_t, std::function<net::http_response(std::string)>>
        servers;
    std::vector<std::string> targets;

    std::shared_ptr<net::http_call>
    start(net::client_request request,
          std::shared_ptr<net::call_observer> observer) override
    {
        targets.push_back(request.target);
        timers_.schedule(time_.now(), [this, request, observer]
                         { answer(request, *observer); });
        return nullptr;
    }

    void close_idle_connections(const net::endpoint&) override {}

private:
    void answer(const net::client_request& request,
                net::call_observer& observer)
    {
        const auto server = servers.find(request.peer.port);
        if (server == servers.end())
        {
            observer.on_end(net::call_outcome::connect_failed);
            return;
        }
        const auto response = server->second(request.target);
        observer.on_head(response.status, {}, response.body.size());
        observer.on_body(response.body);
        observer.on_end(net::call_outcome::complete);
    }

    const siskinflow::clock& time_;
    timer_queue& timers_;
};

net::endpoint entry(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

/// Runs commands one after another against a store and fake entry VMs.
struct operator_fixture
{
    manual_clock time;
    timer_queue timers;
    memory_store store{time, timers};
    fake_caller caller{time, timers};
    std::vector<net::endpoint> entries = {entry(1), entry(2)};
    std::string out;
    std::string err;
    std::string in;
    bool json_output = false;
    bool with_store = true;

    /// Runs a command and, every 10 ms of the clock, `step`.
    exit_code run(
        const std::vector<std::string>& words,
        const std::function<void(int)>& step = [](int) {})
    {
        std::istringstream input(in);
        std::ostringstream output;
        std::ostringstream errors;
        std::optional<exit_code> code;
        const command_environment environment{
            .config_store = with_store ? &store : nullptr,
            .caller = caller,
            .entries = entries,
            .time = time,
            .run_after = [this](duration delay, std::function<void()> callback)
            { timers.schedule(time.now() + delay, std::move(callback)); },
            .in = input,
            .out = output,
            .err = errors,
            .json = json_output,
            .max_wait = 5s};
        int completions = 0;
        run_command(environment, words,
                    [&](exit_code final_code)
                    {
                        code = final_code;
                        ++completions;
                    });
        for (int i = 0; i < 3000 && !code; ++i)
        {
            step(i);
            time.advance(10ms);
            timers.run_due(time.now());
        }
        EXPECT(completions == 1);
        out = output.str();
        err = errors.str();
        return *code;
    }

    /// Makes VMs answer with the store's newest revision.
    void serve(bool in_force, std::vector<std::uint16_t> ports = {1, 2})
    {
        for (const auto port : ports)
        {
            caller.servers[port] = [this, port, in_force](const std::string&)
            {
                const auto revision =
                    store.shared()->values().mod_revision(store_keys::config);
                return net::http_response{
                    200,
                    {},
                    status("vm" + std::to_string(port), revision, in_force)
                        .dump()};
            };
        }
    }

    static json status(const std::string& vm, store_revision revision,
                       bool in_force)
    {
        return {{"vm", vm},
                {"state", "serving"},
                {"fresh", true},
                {"config",
                 {{"revision", revision},
                  {"sequence", 1},
                  {"note_id", "n1"},
                  {"in_force", in_force},
                  {"since_ms", 1200}}},
                {"fleet",
                 {{"epoch", 3},
                  {"members",
                   {{{"vm", "vm1"}, {"config_revision", revision}},
                    {{"vm", "vm2"}, {"config_revision", revision}},
                    {{"vm", "vm3"}, {"config_revision", 1}}}}}},
                {"targets", json::array()}};
    }

    json parsed() const
    {
        return json::parse(out, nullptr, false);
    }

    store_revision revision() const
    {
        return store.shared()->values().mod_revision(store_keys::config);
    }
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string note(const std::string& id, const std::string& route)
{
    return json{{"id", id},
                {"routes",
                 {{"add",
                   {{{"name", route},
                     {"path_prefix", "/" + route},
                     {"idempotent", true}}}}}}}
        .dump();
}

} // namespace

// Guards against a note that is reported in force before it is.
Test(operator_apply, waits_until_the_note_is_in_force)
{
    operator_fixture fixture;
    fixture.in = note("n1", "maps");
    fixture.serve(false);
    const auto code = fixture.run({"apply", "-"},
                                  [&](int step)
                                  {
                                      if (step == 150)
                                      {
                                          EXPECT(fixture.revision() != 0);
                                          fixture.serve(true);
                                      }
                                  });
    EXPECT(code == exit_code::ok);
    EXPECT(contains(fixture.err, "Known to 2 of 3 VMs; waiting for vm3."));
    EXPECT(contains(fixture.out, "Note 'n1' is in force: sequence 1"));
    EXPECT(contains(fixture.out, "don't know it yet and refuse"));
    const auto stored = parse_configuration(
        fixture.store.shared()->values().read(store_keys::config)->value);
    EXPECT(stored.value().find_route("maps") != nullptr);
    EXPECT(fixture.store.shared()
               ->values()
               .read("siskinflow/notes/1")
               .has_value());
}

// Guards against a pending note that is reported as accepted or as refused.
Test(operator_apply, names_lagging_vms_when_pending)
{
    operator_fixture fixture;
    fixture.in = note("n1", "maps");
    fixture.serve(false, {1});
    fixture.json_output = true;
    EXPECT(fixture.run({"apply", "-"}) == exit_code::pending);
    EXPECT(fixture.parsed()["result"] == "pending");
    EXPECT((fixture.parsed()["lagging"] == json{"vm3"}));
    EXPECT(fixture.parsed()["silent"][0]["entry"] == "127.0.0.1:2");
    section("no entry VM is known",
            [&]
            {
                fixture.entries.clear();
                fixture.in = note("n2", "orders");
                EXPECT(fixture.run({"apply", "-"}) == exit_code::pending);
                EXPECT(fixture.parsed()["sequence"] == 2);
            });
}

// Guards against a winner that is overwritten or not shown.
Test(operator_apply, the_loser_of_a_race_sees_the_winner)
{
    operator_fixture fixture;
    fixture.in = note("mine", "maps");
    fixture.store.set_faults({.delay = 100ms});
    memory_store other(fixture.store.shared(), fixture.time, fixture.timers);
    const auto code = fixture.run(
        {"apply", "-"},
        [&](int step)
        {
            if (step == 3)
            {
                other.swap({store_keys::config,
                            0,
                            {{store_keys::config, to_json(configuration{})},
                             {"siskinflow/notes/1",
                              R"({"write_id":"w","note":{"id":"theirs"}})"}}},
                           1s, [](auto) {});
            }
        });
    EXPECT(code == exit_code::conflict);
    EXPECT(contains(fixture.err, "\"id\": \"theirs\""));
    EXPECT(contains(fixture.err, "note 'mine' was not written"));
}

// Guards against store faults that make the outcome of a write unknown while
// it is reported as certain.
Test(operator_apply, store_faults_have_their_own_codes)
{
    section("the reply was lost, reading back settles it",
            []
            {
                operator_fixture fixture;
                fixture.in = note("n1", "maps");
                fixture.serve(true);
                const auto code = fixture.run(
                    {"apply", "-"},
                    [&](int step) {
                        fixture.store.set_faults(
                            {.lose_replies = step >= 1 && step < 100});
                    });
                EXPECT(code == exit_code::ok);
                EXPECT(fixture.store.counters().swaps == 1);
            });
    section("the store is down before the write",
            []
            {
                operator_fixture fixture;
                fixture.in = note("n1", "maps");
                fixture.store.set_faults({.outage = true});
                EXPECT(fixture.run({"apply", "-"}) == exit_code::unavailable);
                EXPECT(contains(fixture.err, "nothing was written"));
            });
    section("the store goes silent after the write",
            []
            {
                operator_fixture fixture;
                fixture.in = note("n1", "maps");
                fixture.store.set_faults({.delay = 20ms});
                const auto code = fixture.run({"apply", "-"},
                                              [&](int step)
                                              {
                                                  if (step == 1)
                                                  {
                                                      fixture.store.set_faults(
                                                          {.silent = true});
                                                  }
                                              });
                EXPECT(code == exit_code::unknown_outcome);
                EXPECT(contains(fixture.err, "siskinflowctl status"));
            });
    section("the store is stale",
            []
            {
                operator_fixture fixture;
                fixture.in = note("n1", "maps");
                fixture.serve(true);
                const auto before = fixture.store.shared()->values().revision();
                EXPECT(fixture.run({"apply", "-"}) == exit_code::ok);
                fixture.store.set_faults({.stale_revision = before});
                fixture.in = note("n2", "orders");
                EXPECT(fixture.run({"apply", "-"}) == exit_code::conflict);
            });
    section("the stored configuration is damaged",
            []
            {
                operator_fixture fixture;
                fixture.in = note("n1", "maps");
                fixture.store.shared()->put(store_keys::config, "{}");
                EXPECT(fixture.run({"apply", "-"}) == exit_code::unavailable);
                EXPECT(contains(fixture.err, "$.sequence: is missing"));
            });
}

// Guards against a bad note that reaches the store.
Test(operator_validate, lists_all_faults)
{
    operator_fixture fixture;
    fixture.in = R"({"id":"a b","routes":{"withdraw":[1]}})";
    EXPECT(fixture.run({"validate", "-"}) == exit_code::invalid_note);
    EXPECT(contains(fixture.err, "$.id: \"a b\""));
    EXPECT(contains(fixture.err, "$.routes.withdraw[0]: 1"));
    EXPECT(fixture.run({"apply", "-"}) == exit_code::invalid_note);
    fixture.in = R"({"id":"a","routes":{"withdraw":["none"]}})";
    EXPECT(fixture.run({"apply", "-"}) == exit_code::invalid_note);
    EXPECT(fixture.revision() == 0);
    section(
        "references are checked only with a store",
        [&]
        {
            EXPECT(fixture.run({"validate", "-"}) == exit_code::invalid_note);
            fixture.with_store = false;
            EXPECT(fixture.run({"validate", "-"}) == exit_code::ok);
            EXPECT(contains(fixture.out, "Give --store"));
        });
    section("a file that does not exist",
            [&]
            {
                EXPECT(fixture.run({"validate", "no/such/file"}) ==
                       exit_code::usage);
                EXPECT(contains(fixture.err, "'no/such/file' can't be read"));
            });
}

// Guards against a status that hides a VM that lags or gave no answer.
Test(operator_status, shows_what_is_in_force_and_who_lags)
{
    operator_fixture fixture;
    fixture.store.shared()->put(store_keys::config, "{}");
    fixture.serve(true, {1});
    EXPECT(fixture.run({"status"}) == exit_code::ok);
    EXPECT(contains(fixture.out, "In force: note 'n1', sequence 1, revision 2, "
                                 "for 1200 ms on vm1"));
    EXPECT(contains(fixture.out, "Lagging VMs: vm3"));
    EXPECT(contains(fixture.out, "No answer from 127.0.0.1:2"));
    section("as JSON",
            [&]
            {
                fixture.json_output = true;
                EXPECT(fixture.run({"status"}) == exit_code::ok);
                EXPECT(fixture.parsed()["in_force"]["revision"] == 2);
                EXPECT((fixture.parsed()["lagging"] == json{"vm3"}));
                fixture.json_output = false;
            });
    section("the entry VMs come from the store's fleet record",
            [&]
            {
                fleet_record record;
                record.epoch = 1;
                record.members = {{make_incarnation_id(), "vm1", "r", "d",
                                   entry(1), entry(11)}};
                fixture.store.shared()->put(store_keys::fleet, to_json(record));
                fixture.entries.clear();
                EXPECT(fixture.run({"status"}) == exit_code::ok);
            });
    section("no VM answers",
            [&]
            {
                fixture.caller.servers.clear();
                EXPECT(fixture.run({"status"}) == exit_code::unavailable);
            });
}

// Guards against a status that shows a note as pending although there is none,
// and against an order of the VMs that changes from call to call.
Test(operator_status, shows_a_fleet_without_a_note)
{
    operator_fixture fixture;
    const auto vm = [](const char* own)
    {
        const std::string body =
            json{{"vm", own}, {"state", "starting"}}.dump();
        return [body](const std::string&) {
            return net::http_response{200, {}, body};
        };
    };
    fixture.caller.servers[1] = vm("vm2");
    fixture.caller.servers[2] = vm("vm1");
    EXPECT(fixture.run({"status"}) == exit_code::ok);
    EXPECT(contains(fixture.out, "no VM knows a release note yet"));
    EXPECT(!contains(fixture.out, "Pending"));
    EXPECT(fixture.out.find("vm1") < fixture.out.find("vm2"));
}

// Guards against a drain that is reported done while a VM still runs requests
// or could not be asked.
Test(operator_drain, ends_when_no_vm_runs_requests)
{
    operator_fixture fixture;
    std::map<std::uint16_t, json> targets;
    const auto serve =
        [&](std::uint16_t port, const std::string& state, int in_flight)
    {
        targets[port] = {
            {"name", "t1"}, {"state", state}, {"in_flight", in_flight}};
        fixture.caller.servers[port] = [&targets, port](const std::string&)
        {
            const json body = {{"vm", "vm" + std::to_string(port)},
                               {"targets", {targets[port]}}};
            return net::http_response{200, {}, body.dump()};
        };
    };
    serve(1, "leaving", 2);
    serve(2, "leaving", 0);
    EXPECT(fixture.run({"drain", "t1"},
                       [&](int step)
                       {
                           if (step == 100)
                           {
                               serve(1, "leaving", 0);
                           }
                       }) == exit_code::ok);
    EXPECT(contains(fixture.err, "2 requests are running (vm1)"));
    section("a VM still sends requests",
            [&]
            {
                serve(2, "active", 0);
                EXPECT(fixture.run({"drain", "t1"}) == exit_code::pending);
                EXPECT(contains(fixture.err, "withdraw it by a note first"));
            });
    section("a VM without a running request is not named as busy",
            [&]
            {
                // As an entry VM states it for an active target.
                targets[2]["draining_done"] = false;
                EXPECT(fixture.run({"drain", "t1"}) == exit_code::pending);
                EXPECT(!contains(fixture.err, "(vm"));
            });
    section("a VM does not answer",
            [&]
            {
                fixture.caller.servers.erase(2);
                EXPECT(fixture.run({"drain", "t1"}) == exit_code::pending);
                EXPECT(contains(fixture.err, "not heard from 127.0.0.1:2"));
            });
    section("an unknown target",
            [&] {
                EXPECT(fixture.run({"drain", "t9"}) == exit_code::usage);
            });
}

// Guards against a report that one dead VM makes unavailable.
Test(operator_report, asks_the_next_vm)
{
    operator_fixture fixture;
    fixture.caller.servers[2] = [](const std::string& target)
    {
        const char* report = R"({"route":"maps",
            "received":{"at_least":9,"at_most":9},
            "ran":{"at_least":5,"at_most":7},
            "not_run":{"at_least":2,"at_most":null},
            "counted":{"received":9,"ran":5,"not_run":{"late":2},
                       "unknown":{"broken":2}},
            "targets":{"t1":{"received":7,"ran":5}},
            "incarnations":[{"vm":"vm1","incarnation":"ab",
              "status":"bounded","copy":{"final":false,"age_s":12.5},
              "ran":{"at_least":5,"at_most":7}}],
            "unknown_permits":["p1"],"incarnations_unaccounted":1,
            "incidents":[{"incarnation":"ab","description":"differs"}]})";
        return target == "/siskinflow/v1/report?route=maps"
                   ? net::http_response{200, {}, report}
                   : net::http_response{404, {}, ""};
    };
    EXPECT(fixture.run({"report", "maps"}) == exit_code::ok);
    section("exact, bounded and unknown parts are told apart",
            [&]
            {
                EXPECT(contains(fixture.out, "received: exactly 9\n"));
                EXPECT(contains(fixture.out, "ran:      5 to 7\n"));
                EXPECT(
                    contains(fixture.out, "at least 2, upper bound unknown\n"));
                EXPECT(contains(fixture.out, "all: received 9, ran 5; not run: "
                                             "late 2; unknown: broken 2\n"));
                EXPECT(contains(fixture.out, "target t1: received 7, ran 5\n"));
                EXPECT(contains(fixture.out,
                                "vm1 (ab): bounded, counters 12.5 s old; ran 5 "
                                "to 7, not run not stated\n"));
                EXPECT(contains(fixture.out, "without any counters: 1\n"));
                EXPECT(contains(fixture.out, "permit p1\n"));
                EXPECT(contains(fixture.out, "Incident: ab: differs\n"));
            });
    EXPECT(fixture.run({"report", "none"}) == exit_code::usage);
    EXPECT(fixture.run({"report", "a&b"}) == exit_code::usage);
    section("an empty document states nothing",
            [&]
            {
                fixture.caller.servers[2] = [](const std::string&) {
                    return net::http_response{200, {}, "{}"};
                };
                EXPECT(fixture.run({"report", "maps"}) == exit_code::ok);
                EXPECT(contains(fixture.out, "ran:      not stated\n"));
            });
    fixture.caller.servers.clear();
    EXPECT(fixture.run({"report", "maps"}) == exit_code::unavailable);
}

// Guards against a document that programs can't read, or that a VM which
// answers something else replaces.
Test(operator_report, prints_the_document_of_the_vm)
{
    operator_fixture fixture;
    fixture.json_output = true;
    fixture.caller.servers[1] = [](const std::string&) {
        return net::http_response{200, {}, "Report of route maps\n"};
    };
    fixture.caller.servers[2] = [](const std::string& target)
    {
        return target == "/siskinflow/v1/report?route=maps"
                   ? net::http_response{200, {}, R"({"ran":{"at_least":7}})"}
                   : net::http_response{404, {}, ""};
    };
    EXPECT(fixture.run({"report", "maps"}) == exit_code::ok);
    const auto document = json::parse(fixture.out);
    EXPECT(document["report"] == json({{"ran", {{"at_least", 7}}}}));
    EXPECT(document["result"] == "ok");
}

// Guards against a key digest that no entry VM would match.
Test(operator_hash_key, prints_the_digest_only)
{
    operator_fixture fixture;
    fixture.in = "secret\r\nsecond line";
    EXPECT(fixture.run({"hash-key"}) == exit_code::ok);
    EXPECT(fixture.out == sha256_hex("secret") + "\n");
    for (const char* bad : {"", "\n", "two words\n"})
    {
        fixture.in = bad;
        EXPECT(fixture.run({"hash-key"}) == exit_code::usage);
    }
}

// Guards against an invalid command line that is run as a command.
Test(operator_usage, wrong_words_are_refused)
{
    operator_fixture fixture;
    const std::vector<std::vector<std::string>> wrong = {
        {}, {"other"}, {"apply"}, {"apply", "a", "b"}, {"status", "x"}};
    for (const auto& words : wrong)
    {
        EXPECT(fixture.run(words) == exit_code::usage);
        EXPECT(contains(fixture.err, "--help"));
    }
    fixture.with_store = false;
    EXPECT(fixture.run({"apply", "-"}) == exit_code::usage);
    EXPECT(contains(fixture.err, "--store is missing"));
}

// Guards against a malformed status document that crashes the client.
Test(operator_status, any_status_document_is_read_or_refused)
{
    EXPECT(!parse_vm_status("[]").has_value());
    EXPECT(parse_vm_status("{}").value().since_ms == -1);
    const std::string good = operator_fixture::status("vm1", 3, true).dump();
    EXPECT(rc::check("mutated status",
                     [&]
                     {
                         std::string text = good;
                         const auto at =
                             *rc::gen::inRange<std::size_t>(0, text.size());
                         text.replace(at, *rc::gen::inRange(0, 4),
                                      *rc::gen::element<std::string>(
                                          "", "1", "\"", "{}", "[", "null"));
                         static_cast<void>(parse_vm_status(text));
                     }));
}

namespace
{

const std::string map_file = "# two sites\n"
                             "site landshut Niederbayern\n"
                             "site munich Oberbayern\n"
                             "192.0.2.0/24 landshut\n"
                             "192.0.2.128/25 munich # half of it\n"
                             "2001:db8::/32 munich\n";

/// Publishes a map from standard input.
exit_code publish(
    operator_fixture& fixture, const std::string& file,
    const std::function<void(int)>& step = [](int) {})
{
    fixture.in = file;
    return fixture.run({"sitemap", "publish", "-"}, step);
}

store_revision map_revision(const operator_fixture& fixture)
{
    return fixture.store.shared()->values().mod_revision(store_keys::site_map);
}

} // namespace

// Guards against a published map that differs from its file.
Test(operator_site_map, publishes_shows_and_finds)
{
    operator_fixture fixture;
    section("nothing is published at first",
            [&]
            {
                EXPECT(fixture.run({"sitemap", "show"}) == exit_code::ok);
                EXPECT(contains(fixture.out, "No site map"));
            });
    EXPECT(publish(fixture, map_file) == exit_code::ok);
    section("sites and blocks are shown",
            [&]
            {
                fixture.json_output = true;
                EXPECT(fixture.run({"sitemap", "show"}) == exit_code::ok);
                const auto shown = fixture.parsed();
                EXPECT(shown["blocks"] == 3);
                EXPECT(shown["revision"] == map_revision(fixture));
                EXPECT(shown["sites"][1]["region"] == "Oberbayern");
                EXPECT(shown["sites"][1]["blocks"] == 2);
                EXPECT(shown["stored_bytes"] > 0);
            });
    section("the longest block decides",
            [&]
            {
                const std::map<std::string, json> expected = {
                    {"192.0.2.127", "landshut"},
                    {"192.0.2.128", "munich"},
                    {"2001:db8::1", "munich"},
                    {"198.51.100.1", nullptr}};
                for (const auto& [address, site] : expected)
                {
                    EXPECT(fixture.run({"sitemap", "find", address}) ==
                           exit_code::ok);
                    EXPECT(fixture.parsed()["site"] == site);
                }
                EXPECT(fixture.run({"sitemap", "find", "192.0.2"}) ==
                       exit_code::usage);
            });
    section("the same map again writes nothing",
            [&]
            {
                const auto before = map_revision(fixture);
                EXPECT(publish(fixture, map_file) == exit_code::ok);
                EXPECT(fixture.parsed()["changed"] == false);
                EXPECT(map_revision(fixture) == before);
            });
    section("sites in another order keep their numbers, so that a one-block "
            "change writes one chunk",
            [&]
            {
                const std::string changed = "site munich Oberbayern\n"
                                            "site landshut Niederbayern\n"
                                            "192.0.2.0/24 landshut\n"
                                            "192.0.2.128/25 munich\n"
                                            "2001:db8::/32 landshut\n";
                EXPECT(publish(fixture, changed) == exit_code::ok);
                EXPECT(fixture.parsed()["chunks_written"] == 1);
                fixture.run({"sitemap", "find", "2001:db8::1"});
                EXPECT(fixture.parsed()["site"] == "landshut");
            });
}

// Guards against a bad file that takes effect in part or is refused without
// saying where and why.
Test(operator_site_map, refuses_a_bad_file_as_a_whole)
{
    operator_fixture fixture;
    const std::map<std::string, std::string> faults = {
        {"192.0.2.0/33 munich\n", "line 7: '192.0.2.0/33' is not a block"},
        {"192.0.2.1/24 munich\n", "line 7: '192.0.2.1/24' is not a block"},
        {"198.51.100.0/24 berlin\n", "line 7: 'berlin' is not a listed site"},
        {"site late Nord\n", "line 7: 'late' is listed after the first block"},
        {"192.0.2.0/24 munich\n", "that line 4 gives too"},
        {"192.0.2.0/24\n", "line 7: '192.0.2.0/24' does not begin"},
        {"\nsite a b/c\n", "line 8: 'b/c' is not a name"}};
    for (const auto& [line, message] : faults)
    {
        section(line,
                [&, &line = line, &message = message]
                {
                    EXPECT(publish(fixture, map_file + line) ==
                           exit_code::invalid_note);
                    EXPECT(contains(fixture.err, message));
                    EXPECT(fixture.store.counters().swaps == 0);
                });
    }
    section("many faults are counted",
            [&]
            {
                std::string file;
                for (int i = 0; i < 12; ++i)
                {
                    file += "nonsense\n";
                }
                publish(fixture, file);
                EXPECT(contains(fixture.err, "and 2 more faults"));
            });
}

// Guards against one operator's map that silently replaces another's.
Test(operator_site_map, loses_against_a_racing_publish)
{
    operator_fixture fixture;
    fixture.store.set_faults({.delay = 10ms});
    store_revision winner = 0;
    const auto publish_other_map = [&](int)
    {
        if (winner == 0 && fixture.store.counters().swaps == 1)
        {
            winner = fixture.store.shared()->put(store_keys::site_map, "{}");
        }
    };
    EXPECT(publish(fixture, map_file, publish_other_map) ==
           exit_code::conflict);
    EXPECT(winner != 0 && map_revision(fixture) == winner);
}

// Guards against a lost reply that is reported as a failure, for each write of
// a publish: two chunks and the value.
Test(operator_site_map, settles_lost_replies)
{
    for (std::uint64_t lost = 1; lost <= 3; ++lost)
    {
        operator_fixture fixture;
        fixture.store.set_faults({.delay = 10ms});
        bool losing_replies = false;
        bool reply_was_lost = false;
        const auto lose_one_reply = [&](int)
        {
            // The store decides about an answer when the call is made.
            const auto calls = fixture.store.counters();
            const bool begin = !losing_replies && !reply_was_lost &&
                               calls.reads == 1 && calls.swaps == lost - 1;
            const bool end = losing_replies && calls.swaps == lost;
            if (begin || end)
            {
                reply_was_lost = end;
                losing_replies = begin;
                fixture.store.set_faults(
                    {.lose_replies = losing_replies, .delay = 10ms});
            }
        };
        section("write " + std::to_string(lost),
                [&]
                {
                    EXPECT(publish(fixture, map_file, lose_one_reply) ==
                           exit_code::ok);
                    EXPECT(reply_was_lost);
                    EXPECT(fixture.store.counters().reads == 2);
                    EXPECT(fixture.store.counters().swaps == 3);
                    EXPECT(map_revision(fixture) != 0);
                });
    }
}

// Guards against a damaged map that can't be repaired.
Test(operator_site_map, repairs_a_damaged_map)
{
    operator_fixture fixture;
    EXPECT(publish(fixture, map_file) == exit_code::ok);
    for (const auto& value : fixture.store.shared()->values().read_range(
             store_keys::site_map_chunks,
             prefix_end(store_keys::site_map_chunks)))
    {
        fixture.store.shared()->put(value.key, "garbage");
    }
    EXPECT(fixture.run({"sitemap", "show"}) == exit_code::unavailable);
    EXPECT(contains(fixture.err, "damaged"));
    EXPECT(publish(fixture, map_file) == exit_code::ok);
    EXPECT(fixture.run({"sitemap", "show"}) == exit_code::ok);
}
