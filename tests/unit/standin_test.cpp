#include "target_service.hpp"
#include "test_sections.hpp"
#include <siskinflow/net/http_client.hpp>

#include <nlohmann/json.hpp>

#include <optional>

using namespace siskinflow;
using namespace siskinflow::standin;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

const time_point start_time(1h);

target_request order_request(std::string idempotency_key = "")
{
    target_request request;
    request.method = "POST";
    request.path = "/order";
    request.body = "x";
    request.idempotency_key = std::move(idempotency_key);
    return request;
}

nlohmann::json summary(const target_model& model)
{
    const std::string text = model.ledger();
    return nlohmann::json::parse(text.substr(0, text.find('\n')));
}

} // namespace

// Guards against a ledger that misses a double run, a credential or a shed
// request.
Test(standin_target, ledger_tells_the_truth)
{
    target_options options;
    options.slots = 2;
    options.ledger_limit = 3;
    target_model model(options, start_time);
    const auto first = model.arrive(order_request("p"), 0, 0, start_time);
    model.arrive(order_request("p"), 0, 0, start_time);
    auto with_key = order_request("q");
    with_key.has_credentials = true;
    const auto third = model.arrive(with_key, 0, 0, start_time);
    EXPECT(third.ending == target_ending::shed);
    model.finish(first.sequence, false, start_time);
    model.cancel(first.sequence, start_time);
    model.arrive(order_request("q"), 0, 0, start_time);
    const auto counts = summary(model);
    EXPECT(counts["double_runs"] == 1);
    EXPECT(counts["max_running"] == 2);
    EXPECT(counts["with_authorization"] == 1);
    EXPECT(counts["started"] == 3 && counts["shed"] == 1 &&
           counts["finished"] == 1);
    EXPECT(counts["omitted"] == 1);
    EXPECT(model.ledger().find(R"("state":"finished")") != std::string::npos);
}

// Guards against a target that ignores the caller's deadline, its own cold
// start, or the cost of a connection.
Test(standin_target, time_of_a_run)
{
    target_options options;
    options.slots = 10;
    options.service_time = 10ms;
    options.connect_cost = 1ms;
    options.cold_time = 1s;
    target_model model(options, start_time);
    EXPECT(model.arrive(order_request(), 1, 0, start_time).run_time == 41ms);
    const auto warm = start_time + 1s;
    EXPECT(model.arrive(order_request(), 1, 0, warm).run_time == 10ms);
    auto short_timeout = order_request();
    short_timeout.timeout = 5ms;
    EXPECT(model.arrive(short_timeout, 1, 0, warm).ending ==
           target_ending::timeout);
    short_timeout.timeout = 0ms;
    EXPECT(model.arrive(short_timeout, 1, 0, warm).ending ==
           target_ending::shed);
}

// Guards against reports that are newer than the configured lag, and against
// faults that outlast their count.
Test(standin_target, lag_and_faults)
{
    target_options options;
    options.report_lag = 1s;
    target_model model(options, start_time);
    model.arrive(order_request(), 0, 0, start_time);
    EXPECT(model.load(start_time + 999ms).find(R"("running":0)") !=
           std::string::npos);
    EXPECT(model.load(start_time + 1s).find(R"("running":1)") !=
           std::string::npos);
    model.set_faults(parse_faults(R"({"hang":true,"count":1,"drain":true,
                                      "lie_healthy":false})")
                         .value(),
                     start_time);
    EXPECT(model.arrive(order_request(), 0, 0, start_time).ending ==
           target_ending::no_answer);
    EXPECT(model.arrive(order_request(), 0, 0, start_time).ending ==
           target_ending::answer);
    EXPECT(model.health(start_time).first == 503);
    EXPECT(summary(model)["after_drain"] == 2);
    EXPECT(!parse_faults(R"({"hang":1})").has_value());
    EXPECT(!parse_faults("{").has_value());
}

// Guards against a stand-in whose faults don't reach the caller.
Test(standin_target, faults_over_http)
{
    const boot_clock time;
    net::event_loop loop(time);
    target_service service(loop, {}, 100);
    EXPECT(service.listen({"127.0.0.1", 0}, 10).has_value());
    net::http_client client(loop);
    const auto call = [&](std::string path, std::string body = "")
    {
        net::client_request request;
        request.peer = {"127.0.0.1", service.port()};
        request.method = body.empty() ? "GET" : "POST";
        request.target = std::move(path);
        request.body = std::move(body);
        request.timeout = 2s;
        std::optional<net::fetch_result> fetched;
        const auto handle =
            net::fetch(client, std::move(request), 100'000,
                       [&](net::fetch_result value) { fetched = value; });
        while (!fetched)
        {
            loop.run_once(10ms);
        }
        return *fetched;
    };
    EXPECT(call("/any").response.body.size() == 100);
    EXPECT(call("/standin/faults", R"({"truncate":true,"count":1})")
               .response.status == 200);
    EXPECT(call("/any").outcome == net::call_outcome::truncated);
    call("/standin/faults", R"({"close_after_receiving":true,"count":1})");
    EXPECT(call("/any").outcome != net::call_outcome::complete);
    call("/standin/faults", R"({"shed":true})");
    EXPECT(call("/any").response.status == 503);
    EXPECT(call("/standin/ledger").response.body.find(R"("started":3)") !=
           std::string::npos);
}
