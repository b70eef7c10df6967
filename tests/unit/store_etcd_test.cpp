#include "store_service.hpp"
#include "test_sections.hpp"
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/store/base64.hpp>
#include <siskinflow/store/etcd_store.hpp>

#include <rapidcheck.h>

#include <functional>
#include <optional>

using namespace siskinflow;
using namespace std::chrono_literals;
using nlohmann::json;
using test_sections::section;

namespace
{

/// An etcd client and a real HTTP server with the stand-in or another handler.
struct etcd_fixture
{
    boot_clock time;
    net::event_loop loop{time};
    net::http_client client{loop};
    standin::store_service service;
    std::unique_ptr<net::http_server> server;
    std::unique_ptr<etcd_store> store;
    std::shared_ptr<void> tick_timer =
        loop.every(100ms, [this] { service.tick(); });

    explicit etcd_fixture(net::http_server::handler handler = {},
                          standin::store_limits limits = {})
        : service(
              time,
              [this](duration delay, std::function<void()> callback)
              { loop.after(delay, std::move(callback)); },
              limits)
    {
        if (!handler)
        {
            handler = [this](const net::exchange_ptr& exchange)
            { service.handle(exchange); };
        }
        net::http_server_options options;
        options.max_body_bytes = 4 * 1024 * 1024;
        server = std::move(
            net::http_server::listen(loop, {"127.0.0.1", 0}, options, handler)
                .value());
        open({{"127.0.0.1", server->port()}});
    }

    void open(std::vector<net::endpoint> endpoints)
    {
        etcd_store_options options;
        options.endpoints = std::move(endpoints);
        options.max_watch_duration = 300ms;
        store = std::make_unique<etcd_store>(
            client, [this](std::function<void()> f) { loop.post(f); }, options);
    }

    bool run_until(const std::function<bool()>& condition, duration limit = 3s)
    {
        const time_point end = time.now() + limit;
        while (!condition() && time.now() < end)
        {
            loop.run_once(10ms);
        }
        return condition();
    }

    result<std::optional<store_value>> read(const std::string& key,
                                            duration timeout = 1s)
    {
        std::optional<result<std::optional<store_value>>> out;
        store->read(key, timeout, [&](auto answer) { out = answer; });
        EXPECT(!out.has_value());
        EXPECT(run_until([&] { return out.has_value(); }));
        return *out;
    }

    result<store_revision> swap(swap_request request, duration timeout = 1s)
    {
        std::optional<result<store_revision>> out;
        store->swap(std::move(request), timeout,
                    [&](auto answer) { out = answer; });
        EXPECT(!out.has_value());
        EXPECT(run_until([&] { return out.has_value(); }));
        return *out;
    }

    net::http_response post(const std::string& path, const std::string& body)
    {
        std::optional<net::fetch_result> out;
        net::client_request request;
        request.peer = {"127.0.0.1", server->port()};
        request.method = path == "/standin/counters" ? "GET" : "POST";
        request.target = path;
        request.body = body;
        const auto call =
            net::fetch(client, request, 1 << 20, [&](auto r) { out = r; });
        EXPECT(run_until([&] { return out.has_value(); }));
        return out->response;
    }

    void faults(const std::string& body)
    {
        EXPECT(post("/standin/faults", body).status == 200);
    }

    json counters()
    {
        return json::parse(post("/standin/counters", "").body, nullptr, false);
    }
};

net::http_server::handler fixed_response(int status, std::string body)
{
    return [=](const net::exchange_ptr& exchange) {
        exchange->respond({status, {}, body});
    };
}

} // namespace

// Guards against a client and a stand-in that disagree about the protocol.
Test(store_etcd, reads_and_swaps)
{
    etcd_fixture fixture;
    EXPECT(!fixture.read("siskinflow/config").value().has_value());
    const std::string binary("\0\xFF{}\n", 5);
    const auto first =
        fixture.swap({"k/1", 0, {{"k/1", binary}, {"k/2", "two"}}});
    EXPECT(first.has_value());
    const auto value = fixture.read("k/1").value();
    EXPECT(value->value == binary);
    EXPECT(value->mod_revision == first.value());
    EXPECT(fixture.swap({"k/1", 0, {{"k/1", "x"}}}).error().code ==
           errc::conflict);
    EXPECT(fixture.swap({"k/1", first.value(), {{"k/1", "x"}}}).has_value());
    std::optional<result<std::vector<store_value>>> all;
    fixture.store->read_prefix("k/", 1s, [&](auto r) { all = r; });
    EXPECT(fixture.run_until([&] { return all.has_value(); }));
    EXPECT(all->value().size() == 2);
    section(
        "a value of 1 MB fits, a larger one is refused before it is sent",
        [&]
        {
            const std::string large(max_store_value_bytes, 'x');
            EXPECT(fixture.swap({"big", 0, {{"big", large}}}).has_value());
            EXPECT(fixture.read("big").value()->value == large);
            EXPECT(
                fixture.swap({"big", 0, {{"big", large + "x"}}}).error().code ==
                errc::too_large);
        });
}

// Guards against writes that a watch misses between its start and its end.
Test(store_etcd, watches_a_prefix_until_it_expires)
{
    etcd_fixture fixture;
    const auto first = fixture.swap({"p/1", 0, {{"p/1", "a"}}}).value();
    std::vector<store_value> seen;
    std::optional<error> ended;
    const auto start = [&](const std::string& key, store_revision from)
    {
        return fixture.store->watch(
            key, from, [&](store_value v) { seen.push_back(v); },
            [&](error e) { ended = e; });
    };
    auto watch = start("p/", first);
    fixture.swap({"p/2", 0, {{"p/2", "b"}}}).value();
    EXPECT(fixture.run_until([&] { return seen.size() == 2; }));
    EXPECT(seen[1].key == "p/2" && seen[1].mod_revision == first + 1);
    section("it ends after its life, so that silence is noticed",
            [&]
            {
                EXPECT(fixture.run_until([&] { return ended.has_value(); }));
                EXPECT(ended->code == errc::timeout);
            });
    section(
        "a dropped watch frees the store's side",
        [&]
        {
            watch = start("p/1", 0);
            EXPECT(fixture.run_until(
                [&] { return fixture.counters()["watches_waiting"] == 1; }));
            watch.reset();
            EXPECT(fixture.run_until(
                [&] { return fixture.counters()["watches_waiting"] == 0; }));
        });
    section("an outage ends it",
            [&]
            {
                ended.reset();
                watch = start("p/1", 0);
                fixture.run_until([] { return false; }, 50ms);
                fixture.faults(R"({"outage":"refuse"})");
                EXPECT(fixture.run_until([&] { return ended.has_value(); }));
                // The client passes on the bytes of a truncated chunk, so the
                // watch may also end with a parse error.
                EXPECT(ended->code == errc::unavailable ||
                       ended->code == errc::parse_error);
            });
}

// Guards against a failed call whose error code claims more than the client
// can know.
Test(store_etcd, errors_say_what_is_known)
{
    etcd_fixture fixture;
    const swap_request write{"k", 0, {{"k", "v"}}};
    section("refused by the rate limit or an outage",
            [&]
            {
                fixture.faults(R"({"outage":"refuse"})");
                EXPECT(fixture.read("k").error().code == errc::unavailable);
                // A status 503 doesn't prove that nothing was written.
                EXPECT(fixture.swap(write).error().code ==
                       errc::unknown_outcome);
            });
    section("silent",
            [&]
            {
                fixture.faults(R"({"outage":"silent"})");
                EXPECT(fixture.read("k", 100ms).error().code == errc::timeout);
                EXPECT(fixture.swap(write, 100ms).error().code ==
                       errc::unknown_outcome);
            });
    section("lost reply",
            [&]
            {
                fixture.faults(R"({"lose_replies":true})");
                EXPECT(fixture.swap(write).error().code ==
                       errc::unknown_outcome);
                EXPECT(fixture.read("k").value()->value == "v");
                EXPECT(fixture.counters()["lost_replies"] == 1);
                fixture.faults("{}");
            });
    section("stale",
            [&]
            {
                fixture.faults(R"({"stale":true})");
                const auto old = fixture.read("k").value();
                EXPECT(fixture.swap({"k", old->mod_revision, {{"k", "w"}}})
                           .has_value());
                EXPECT(fixture.read("k").value()->value == "v");
                EXPECT(fixture.swap({"k", old->mod_revision, {{"k", "x"}}})
                           .error()
                           .code == errc::conflict);
            });
    section("no server: the next endpoint is used, or nothing was written",
            [&]
            {
                fixture.faults("{}");
                fixture.open(
                    {{"127.0.0.1", 1}, {"127.0.0.1", fixture.server->port()}});
                EXPECT(fixture.read("k").has_value());
                fixture.open({{"127.0.0.1", 1}});
                EXPECT(fixture.swap(write).error().code == errc::unavailable);
            });
}

// Guards against a malformed answer that crashes the process or is taken for
// data.
Test(store_etcd, malformed_answers_are_errors)
{
    for (const char* body :
         {"", "[]", "{", R"({"kvs":[]})", R"({"header":{},"kvs":{}})",
          R"({"header":{},"kvs":[1]})",
          R"({"header":{},"kvs":[{"key":"*","mod_revision":"1"}]})",
          R"({"header":{},"kvs":[{"key":"YQ==","mod_revision":"-1"}]})",
          R"({"header":{},"kvs":[{"key":"YQ==","mod_revision":"1x"}]})",
          R"({"header":{},"kvs":[{"key":"YQ=="}]})"})
    {
        section(body,
                [&]
                {
                    etcd_fixture fixture(fixed_response(200, body));
                    EXPECT(fixture.read("a").error().code == errc::parse_error);
                });
    }
    for (const char* body : {"", "[]", R"({"succeeded":true})",
                             R"({"header":{},"succeeded":true})",
                             R"({"header":{"revision":"3"},"succeeded":1})"})
    {
        section(body,
                [&]
                {
                    etcd_fixture fixture(fixed_response(200, body));
                    EXPECT(fixture.swap({"a", 0, {}}).error().code ==
                           errc::unknown_outcome);
                });
    }
    for (const char* body :
         {"x\n", "[]\n",
          R"({"result":1})"
          "\n",
          R"({"result":{"events":[{"kv":{"key":"YQ=="}}]}})"
          "\n",
          R"({"error":{"message":"no"}})"
          "\n",
          R"({"result":{"canceled":true,"compact_revision":"5"}})"
          "\n"})
    {
        section(body,
                [&]
                {
                    etcd_fixture fixture(fixed_response(200, body));
                    int ends = 0;
                    const auto watch = fixture.store->watch(
                        "a", 0, [](auto) {}, [&](auto) { ++ends; });
                    EXPECT(fixture.run_until([&] { return ends > 0; }));
                    fixture.run_until([] { return false; }, 30ms);
                    EXPECT(ends == 1);
                });
    }
    section("an answer without end",
            []
            {
                etcd_fixture fixture(
                    fixed_response(200, std::string(3 << 20, ' ')));
                EXPECT(!fixture.read("a").has_value());
            });
}

// Guards against a stand-in that allows more than the platform's store.
Test(store_standin, limits_counts_and_checks)
{
    etcd_fixture fixture({}, {.max_writes_per_s = 2, .max_reads_per_s = 3});
    EXPECT(fixture.swap({"a", 0, {{"a", "1"}}}).has_value());
    EXPECT(fixture.swap({"b", 0, {{"b", "1"}}}).has_value());
    section("a refused write did not run",
            [&]
            {
                EXPECT(fixture.swap({"c", 0, {{"c", "1"}}}).error().code ==
                       errc::unavailable);
                EXPECT(!fixture.read("c").value().has_value());
            });
    const json counters = fixture.counters();
    EXPECT(counters["txn"] == 3);
    EXPECT(counters["range"] == 1);
    EXPECT(counters["refused_writes"] == 1);
    for (const char* bad : {"", "[]", R"({"delay_ms":-1})", R"({"stale":99})",
                            R"({"outage":"x"})", R"({"other":1})"})
    {
        section(bad,
                [&] {
                    EXPECT(fixture.post("/standin/faults", bad).status == 400);
                });
    }
}

// Guards against keys that outlive their lease.
Test(store_standin, leases_run_out)
{
    manual_clock time;
    standin::store_protocol protocol;
    const json granted = protocol.lease_grant({{"TTL", "2"}}, time.now()).body;
    const json id = {{"ID", granted["ID"]}};
    EXPECT(protocol
               .put({{"key", base64_encode("k")},
                     {"value", ""},
                     {"lease", granted["ID"]}})
               .status == 200);
    time.advance(1500ms);
    EXPECT(protocol.lease_keepalive(id, time.now())
               .body["result"]
               .contains("TTL"));
    time.advance(1500ms);
    EXPECT(!protocol.expire(time.now()));
    time.advance(600ms);
    EXPECT(protocol.expire(time.now()));
    EXPECT(!protocol.data().read("k").has_value());
    EXPECT(!protocol.lease_keepalive(id, time.now())
                .body["result"]
                .contains("TTL"));
    EXPECT(protocol.lease_revoke(id).status == 404);
}

// Guards against a request that crashes the stand-in.
Test(store_standin, survives_any_request)
{
    const std::vector<std::string> seeds = {
        R"({"compare":[{"key":"YQ==","target":"MOD","mod_revision":"0"}],)"
        R"("success":[{"request_put":{"key":"YQ==","value":"Yg=="}}]})",
        R"({"key":"YQ==","range_end":"Yg==","limit":"1","revision":"1"})",
        R"({"create_request":{"key":"YQ==","start_revision":"1"}})",
        R"({"ID":"1","TTL":"1"})"};
    EXPECT(rc::check(
        "mutated requests get an answer",
        [&]
        {
            std::string text = seeds[*rc::gen::inRange<std::size_t>(0, 4)];
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::element('"', '{', '[', '1', '-', ',', 'x');
            const json body = json::parse(text, nullptr, false);
            RC_PRE(body.is_object());
            standin::store_protocol protocol;
            protocol.range(body, 0);
            protocol.put(body);
            protocol.txn(body);
            protocol.watch(body);
            protocol.lease_grant(body, {});
            protocol.lease_keepalive(body, {});
            protocol.lease_revoke(body);
        }));
}
