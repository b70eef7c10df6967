#include "kv_service.hpp"
#include "kv_store.hpp"
#include "test_sections.hpp"
#include <siskinflow/net/http_server.hpp>

#include <optional>
#include <vector>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

/// The store stand-in over HTTP. A test may act before each call.
struct served_store
{
    served_store()
        : service(time),
          server(std::move(
              net::http_server::listen(loop, {"127.0.0.1", 0}, {},
                                       [this](const net::exchange_ptr& call)
                                       {
                                           before_call();
                                           service.handle(call);
                                       })
                  .value())),
          caller(loop), client(caller, {"127.0.0.1", server->port()})
    {
        client.on_old_era([this](std::uint64_t era) { old.push_back(era); });
        client.on_new_era([this](std::uint64_t era) { begun.push_back(era); });
    }

    result<store_page> list()
    {
        std::optional<result<store_page>> out;
        client.list("a/", 2s,
                    [&](result<store_page> page) { out = std::move(page); });
        const time_point end = time.now() + 8s;
        while (!out && time.now() < end)
        {
            loop.run_once(5ms);
        }
        return out ? *out
                   : result<store_page>(fail(errc::timeout, "no answer"));
    }

    boot_clock time;
    net::event_loop loop{time};
    standin::kv_service service;
    std::function<void()> before_call = [] {};
    std::unique_ptr<net::http_server> server;
    net::http_client caller;
    platform::kv_store client;
    std::vector<std::uint64_t> old;
    std::vector<std::uint64_t> begun;
};

} // namespace

// Guards against answers of an ended era that are used, and against pages of
// two eras in one listing.
Test(store_eras, the_client_of_the_store_compares_eras)
{
    served_store store;
    constexpr int entries = 120; // Three pages of the stand-in.
    for (int i = 0; i < entries; ++i)
    {
        store.service.put("a/" + std::to_string(i), "1");
    }
    store.service.take_copy();
    section("each page has its position",
            [&]
            {
                const auto page = store.list();
                EXPECT(page && page.value().entries.size() == entries);
                EXPECT((page.value().position ==
                        store_position{1, store.service.revision()}));
                EXPECT(page.value().entries.front().position.era == 1);
                EXPECT(store.begun.empty() && store.client.era() == 1);
            });
    section("a listing that crosses an era is read again from the start",
            [&]
            {
                store.service.put("a/0", "lost");
                int calls = 0;
                store.before_call = [&]
                {
                    if (++calls == 2)
                    {
                        store.service.return_to_copy();
                    }
                };
                const auto page = store.list();
                EXPECT(page && page.value().entries.size() == entries);
                EXPECT(page.value().position.era == 2);
                for (const store_change& entry : page.value().entries)
                {
                    EXPECT(entry.position.era == 2 && entry.value == "1");
                }
                EXPECT(store.begun == std::vector<std::uint64_t>{2});
                store.before_call = [] {};
            });
    section("an answer of a lower era fails and is counted",
            [&]
            {
                store.service.set_era(1);
                const auto page = store.list();
                EXPECT(!page && page.error().code == errc::unavailable);
                EXPECT(store.old == std::vector<std::uint64_t>{1});
                EXPECT(store.client.era() == 2);
            });
    section("an error of a higher era shows it",
            [&]
            {
                store.service.set_era(7);
                store.service.set_outage(standin::kv_outage::refuse);
                EXPECT(!store.list());
                EXPECT(store.client.era() == 7);
                store.service.set_outage(standin::kv_outage::none);
            });
    section("an era with each page: bounded calls",
            [&]
            {
                int calls = 0;
                store.before_call = [&]
                {
                    ++calls;
                    store.service.set_era(store.service.era() + 1);
                };
                EXPECT(!store.list());
                EXPECT(calls <= 40);
            });
}
