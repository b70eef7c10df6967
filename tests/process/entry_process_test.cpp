#include "deployment.hpp"
#include "load.hpp"
#include "test_sections.hpp"
#include <siskinflow/core/ids.hpp>

#include <csignal>
#include <thread>

using namespace siskinflow;
using namespace std::chrono_literals;
using nlohmann::json;
using processes::deployment;
using processes::deployment_plan;
using test_sections::section;

namespace
{

std::string outcome(const net::fetch_result& got)
{
    return std::string(got.response.headers.value("siskinflow-outcome"));
}

std::string reason(const net::fetch_result& got)
{
    return std::string(got.response.headers.value("siskinflow-reason"));
}

json withdraw_key(const std::string& id, const std::string& organisation)
{
    return {
        {"id", id},
        {"organisations",
         {{"change",
           {{{"name", organisation},
             {"withdraw_key_sha256", {sha256_hex("key-" + organisation)}}}}}}}};
}

} // namespace

// Guards against any break of the whole path, from the release note to the
// target's ledger.
Test(process_path, serves_requests_through_every_vm)
{
    deployment run;
    EXPECT(run.ready());
    section("idempotent requests through each VM",
            [&]
            {
                for (std::size_t vm = 0; vm < 3; ++vm)
                {
                    const auto got = run.get(vm, "/maps/1");
                    EXPECT(got.response.status == 200);
                    EXPECT(outcome(got) == "ran");
                }
            });
    section("a lookup names all VMs",
            [&]
            {
                const auto got = run.get(0, "/siskinflow/v1/lookup");
                const auto document = json::parse(got.response.body);
                EXPECT(document["vms"].size() == 3);
            });
    section("an order runs once although it is sent again through another VM",
            [&]
            {
                const auto permit = run.permit(0, "orders");
                EXPECT(run.order(0, permit).response.status == 200);
                const auto again = run.order(1, permit);
                EXPECT(outcome(again) == "ran");
                EXPECT(reason(again) == "already_ran");
                EXPECT(run.ledger("orders-1").finished == 1);
            });
    section("no target saw a key",
            [&]
            {
                for (const char* name : {"maps-1", "maps-2", "orders-1"})
                {
                    EXPECT(run.ledger(name).with_authorization == 0);
                }
            });
}

// Guards against requests that are refused with the wrong reason, or that
// disturb others.
Test(process_path, refuses_bad_requests_with_their_own_reason)
{
    deployment run;
    EXPECT(run.ready());
    const auto refused = [&](net::client_request request, int status,
                             const std::string& expected)
    {
        const auto got = run.caller().call(std::move(request));
        EXPECT(got.response.status == status);
        EXPECT(reason(got) == expected);
        EXPECT(outcome(got) == "not-run");
    };
    section(
        "unknown route", [&]
        { refused(run.request(0, "/nothing", "acme"), 404, "unknown_route"); });
    section("missing key",
            [&]
            {
                auto request = run.request(0, "/maps/1", "acme");
                request.headers.remove("authorization");
                refused(request, 401, "missing_key");
            });
    section(
        "unknown key", [&]
        { refused(run.request(0, "/maps/1", "nobody"), 401, "unknown_key"); });
    section("path that hides another route",
            [&]
            {
                refused(run.request(0, "/maps/%2e%2e/orders", "acme"), 400,
                        "bad_request");
            });
    section("order without a permit",
            [&]
            {
                auto request = run.request(0, "/orders/1", "acme");
                request.method = "POST";
                refused(request, 428, "permit_required");
            });
    section("forged permit",
            [&]
            {
                auto permit = run.permit(0, "orders");
                permit.back() = permit.back() == '0' ? '1' : '0';
                const auto got = run.order(0, permit);
                EXPECT(reason(got) == "permit_invalid");
            });
    section("permit of another organisation",
            [&]
            {
                const auto permit = run.permit(0, "orders", "zenith");
                EXPECT(reason(run.order(0, permit, "acme")) ==
                       "permit_invalid");
            });
    section("body over the limit of its route",
            [&]
            {
                auto request = run.request(0, "/maps/1", "acme");
                request.method = "POST";
                request.body = std::string(100 * 1024, 'x');
                refused(request, 413, "body_too_large");
            });
    section("oversized header",
            [&]
            {
                auto request = run.request(0, "/maps/1", "acme");
                request.headers.add("x-large", std::string(40 * 1024, 'x'));
                refused(request, 431, "header_too_large");
            });
    section("others are still served",
            [&] { EXPECT(run.get(0, "/maps/1").response.status == 200); });
    EXPECT(run.ledger("orders-1").received == 0);
}

// Guards against a withdrawn key that goes on working on an open connection.
Test(process_keys, a_withdrawn_key_stops_on_open_connections)
{
    deployment run;
    EXPECT(run.ready());
    for (std::size_t vm = 0; vm < 3; ++vm)
    {
        EXPECT(run.get(vm, "/maps/1").response.status == 200);
    }
    EXPECT(run.apply(withdraw_key("w", "acme")) == 0);
    for (std::size_t vm = 0; vm < 3; ++vm)
    {
        // The pooled connection of the first request is used again.
        EXPECT(reason(run.get(vm, "/maps/1")) == "unknown_key");
        EXPECT(run.get(vm, "/maps/1", "zenith").response.status == 200);
    }
}

// Guards against a paused VM that accepts a key which was withdrawn meanwhile.
Test(process_keys, a_vm_paused_past_its_evidence_refuses_a_withdrawn_key)
{
    deployment run;
    EXPECT(run.ready());
    EXPECT(run.get(2, "/maps/1").response.status == 200);
    run.vm(2).signal(SIGSTOP);
    EXPECT(run.apply(withdraw_key("w", "acme")) == 0);
    run.vm(2).signal(SIGCONT);
    const auto got = run.get(2, "/maps/1");
    EXPECT(got.response.status != 200);
    EXPECT(outcome(got) == "not-run");
}

// Guards against a VM that crashes when a request which was admitted under one
// configuration is dispatched under the next one.
Test(process_notes, requests_that_wait_while_a_note_arrives_are_served)
{
    deployment_plan plan;
    plan.vms = 1;
    plan.targets = {{"maps-1", "maps", 1, 0, {"--service_ms=50"}}};
    deployment run(plan);
    EXPECT(run.ready());
    int applied = -1;
    std::thread operating(
        [&]
        {
            for (int i = 0; i < 3; ++i)
            {
                applied = run.apply(
                    {{"id", "n" + std::to_string(i)},
                     {"routes",
                      {{"change",
                        {{{"name", "maps"}, {"default_timeout_ms", 9000}}}}}}});
            }
        });
    load::plan load;
    load.make = [&](std::uint64_t)
    { return run.request(0, "/maps/1", "acme"); };
    load.workers = 8; // One runs, the others wait.
    load.length = 12s;
    const auto seen =
        load::run(run.caller().loop(), run.caller().client(), {load});
    operating.join();
    EXPECT(applied == 0);
    EXPECT(run.vm(0).running());
    EXPECT(seen[0].sent > 100);
    EXPECT(seen[0].good() == seen[0].sent);
}

// Guards against a store outage that stops the service.
Test(process_store, an_outage_does_not_stop_the_service)
{
    deployment run;
    EXPECT(run.ready());
    run.store_faults({{"outage", "silent"}});
    run.pause(6s);
    for (std::size_t vm = 0; vm < 3; ++vm)
    {
        EXPECT(run.get(vm, "/maps/1").response.status == 200);
        EXPECT(run.order(vm, run.permit(vm, "orders")).response.status == 200);
    }
    section("a VM that starts in the outage comes back to serve",
            [&]
            {
                run.restart_vm(1);
                EXPECT(processes::poll_until(
                    run.caller(), run.http_port(1), "/siskinflow/v1/health",
                    [](const std::string& body) {
                        return body.find("\"fresh\":true") != std::string::npos;
                    },
                    10s));
            });
    section("a note is accepted after the outage",
            [&]
            {
                run.store_faults({{"outage", "none"}});
                run.pause(1s);
                EXPECT(run.apply(withdraw_key("w", "zenith")) == 0);
                EXPECT(reason(run.get(0, "/maps/1", "zenith")) ==
                       "unknown_key");
            });
}

// Guards against a graceful stop that cuts a request or that names the
// stopping VM in lookups.
Test(process_stop, a_graceful_stop_cuts_no_request)
{
    deployment_plan plan;
    plan.targets = {{"maps-1", "maps", 20, 0, {"--service_ms=20"}}};
    plan.organisations = {{"acme", 2000, 2000}};
    deployment run(plan);
    EXPECT(run.ready());
    (void)run.get(0, "/maps/1");
    run.pause(1s);
    // Callers use the VM until their lookup expires after one second.
    load::plan load;
    load.make = [&](std::uint64_t)
    { return run.request(0, "/maps/1", "acme"); };
    load.workers = 8;
    load.length = 1s;
    run.vm(0).signal(SIGTERM);
    const auto seen =
        load::run(run.caller().loop(), run.caller().client(), {load});
    EXPECT(seen[0].sent > 50);
    EXPECT(seen[0].good() == seen[0].sent);
    EXPECT(run.vm(0).wait(15s) == 0);
    const auto got = run.get(1, "/siskinflow/v1/lookup");
    EXPECT(got.response.body.find("\"vm0\"") == std::string::npos);
}

// Guards against a permit whose outcome is lost when its VM is stopped.
Test(process_stop, permits_of_a_stopped_vm_keep_their_outcome)
{
    deployment run;
    EXPECT(run.ready());
    const auto used = run.permit(0, "orders");
    const auto unused = run.permit(0, "orders");
    EXPECT(run.order(0, used).response.status == 200);
    run.vm(0).signal(SIGTERM);
    EXPECT(run.vm(0).wait(15s) == 0);
    EXPECT(outcome(run.order(1, used)) == "ran");
    EXPECT(outcome(run.order(2, unused)) == "not-run");
    EXPECT(run.ledger("orders-1").finished == 1);
}

// Guards against a "not run" statement about a request that may have run.
Test(process_orders, an_order_on_a_killed_vm_is_unknown_and_never_repeated)
{
    deployment_plan plan;
    plan.targets = {{"orders-1", "orders", 3, 0, {"--service_ms=1500"}}};
    deployment run(plan);
    EXPECT(run.ready());
    // The first order waits for the shares of its VM.
    EXPECT(run.order(0, run.permit(0, "orders")).response.status == 200);
    const auto permit = run.permit(0, "orders");
    const auto lost = run.order(0, permit, "acme", 700ms);
    EXPECT(lost.outcome == net::call_outcome::timed_out);
    run.vm(0).kill();
    const auto again = run.order(1, permit);
    EXPECT(outcome(again) == "unknown");
    EXPECT(run.ledger("orders-1").started == 2);
    EXPECT(run.ledger("orders-1").double_runs == 0);
}

// Guards against faults of a target that lead to a second run or to a false
// statement.
Test(process_orders, faults_of_the_target_never_run_an_order_twice)
{
    deployment run;
    EXPECT(run.ready());
    std::uint64_t expected_runs = 0;
    const auto fault =
        [&](const json& faults, const std::string& stated, bool runs)
    {
        run.target_faults("orders-1", faults);
        const auto permit = run.permit(0, "orders");
        const auto first = run.order(0, permit);
        run.target_faults("orders-1", json::object());
        const auto copy = run.order(0, permit);
        expected_runs += runs ? 1 : 0;
        if (first.outcome == net::call_outcome::complete)
        {
            EXPECT(outcome(first) == stated);
        }
        EXPECT(outcome(copy) == stated);
        EXPECT(run.ledger("orders-1").started == expected_runs);
        EXPECT(run.ledger("orders-1").double_runs == 0);
    };
    section("closes after receiving",
            [&] {
                fault({{"close_after_receiving", true}}, "unknown", true);
            });
    section("closes before answering",
            [&] {
                fault({{"close_before_answering", true}}, "unknown", true);
            });
    section("truncates its answer",
            [&] {
                fault({{"truncate", true}}, "unknown", true);
            });
    section("sheds the request",
            [&] {
                fault({{"shed", true}}, "not-run", false);
            });
}

// Guards against a leaving target that gets new work, and against a report
// that differs from the targets' ledgers.
Test(process_close, a_closed_service_has_a_true_report)
{
    deployment run;
    EXPECT(run.ready());
    constexpr std::uint64_t orders = 5;
    for (std::uint64_t i = 0; i < orders; ++i)
    {
        const std::size_t vm = i % 3;
        EXPECT(run.order(vm, run.permit(vm, "orders")).response.status == 200);
    }
    EXPECT(run.apply({{"id", "close"},
                      {"routes", {{"withdraw", {"orders"}}}},
                      {"targets", {{"withdraw", {"orders-1"}}}}}) == 0);
    for (std::size_t vm = 0; vm < 3; ++vm)
    {
        EXPECT(reason(run.order(vm, "any")) == "route_closed");
    }
    std::string drained;
    EXPECT(run.control({"--wait=10", "drain", "orders-1"}, drained) == 0);
    std::string text;
    EXPECT(run.control({"--output=json", "report", "orders"}, text) == 0);
    const auto document = json::parse(text, nullptr, false);
    EXPECT(document.is_object() && document.contains("report"));
    const auto& report = document["report"];
    EXPECT(report["ran"]["at_least"] == orders);
    EXPECT(report["ran"]["at_most"] == orders);
    EXPECT(report["counted"]["not_run"]["route_closed"] == 3);
    EXPECT(run.ledger("orders-1").finished == orders);
}

// Guards against traffic between VMs that the metrics leave out.
Test(process_metrics, count_the_bytes_between_vms)
{
    deployment run;
    EXPECT(run.ready());
    run.pause(2500ms);
    const std::string page =
        run.caller()
            .get(run.http_port(0), "/siskinflow/v1/metrics")
            .response.body;
    const auto value = [&](const std::string& metric, const std::string& type)
    {
        const std::string series =
            "siskinflow_" + metric + "_total{type=\"" + type + "\"} ";
        const auto found = page.find(series);
        return found == std::string::npos
                   ? 0.0
                   : std::stod(page.substr(found + series.size()));
    };
    for (const std::string direction : {"sent", "received"})
    {
        section("heartbeats " + direction,
                [&]
                {
                    const double count =
                        value("datagrams_" + direction, "heartbeat");
                    const double bytes =
                        value("datagram_bytes_" + direction, "heartbeat");
                    EXPECT(count > 0);
                    // A header of 18 bytes, and at most one datagram each.
                    EXPECT(bytes > 18 * count);
                    EXPECT(bytes <= 1200 * count);
                });
        section(
            "report counters and their answers " + direction,
            [&]
            {
                for (const std::string type : {"counters", "acknowledgement"})
                {
                    const double count = value("messages_" + direction, type);
                    EXPECT(count > 0);
                    EXPECT(value("message_bytes_" + direction, type) >=
                           18 * count);
                }
            });
    }
}
