// Cost of the admission of one request: digest, key look-up, queue, and share.
// Prints one JSON object per line with nanoseconds per request.
#include <siskinflow/admission/fair_queue.hpp>
#include <siskinflow/admission/tenant_keys.hpp>
#include <siskinflow/budget/budget_node.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace siskinflow;

namespace
{

constexpr std::size_t organisations = 32;
constexpr int rounds = 400000;

struct no_network final : net::datagram_sender
{
    void send(const net::endpoint&, std::string_view) override {}
};

configuration make_config()
{
    configuration config;
    for (std::size_t i = 0; i < organisations; ++i)
    {
        const std::string name = "organisation-" + std::to_string(i);
        config.organisations.push_back(
            {name, 1e7, 1e7, {sha256_hex("key-of-" + name)}});
    }
    target_config target;
    target.name = "target-1";
    target.slots = 100;
    config.targets.push_back(target);
    return config;
}

template <class Body>
void measure(const char* what, Body&& body)
{
    const auto begin = std::chrono::steady_clock::now();
    std::uint64_t done = 0;
    for (int i = 0; i < rounds; ++i)
    {
        done += body(i) ? 1 : 0;
    }
    const duration spent = std::chrono::steady_clock::now() - begin;
    std::printf("{\"step\": \"%s\", \"ns\": %.1f, \"succeeded\": %.4f}\n", what,
                double(spent.count()) / rounds, double(done) / rounds);
}

} // namespace

int main()
{
    const configuration config = make_config();
    const incarnation_id self{1, 1};
    no_network network;
    manual_clock time;
    budget_node node(
        self, network, {},
        [](const fleet_record& from, const budget_spec&)
        { return from.members.data(); },
        nullptr);
    node.set_configuration(config, time.now());
    auto record = std::make_shared<fleet_record>();
    record->epoch = 1;
    record->members.emplace_back().incarnation = self;
    budget_view view;
    view.fresh = true;
    view.epoch = 1;
    view.epoch_in_force = true;
    view.record = record;
    const tenant_keys keys(config);
    fair_queue queue;
    std::vector<queue_class> classes;
    std::vector<std::string> names;
    std::vector<std::string> budgets;
    std::vector<std::string> secrets;
    std::vector<key_digest> digests;
    for (const auto& each : config.organisations)
    {
        classes.push_back({each.name, each.rate_per_s, 1000});
        names.push_back(each.name);
        budgets.push_back(organisation_budget(each.name));
        secrets.push_back("key-of-" + each.name);
        digests.push_back(digest_of(secrets.back()));
    }
    queue.set_classes(classes);
    const budget_id slots(slots_budget("target-1"));
    for (int i = 0; i < 100; ++i)
    {
        for (const auto& each : budgets)
        {
            node.take(each, 1, time.now());
        }
        node.acquire(slots, time.now());
        time.advance(budget_tick_interval);
        node.tick(time.now(), view);
    }
    const auto org = [](int i) { return std::size_t(i) % organisations; };
    const auto take = [&](int i)
    {
        time.advance(std::chrono::microseconds(1));
        if (i % 10000 == 0)
        {
            node.tick(time.now(), view);
        }
        return node.take(budgets[org(i)], 1, time.now()).taken;
    };
    const auto slot = [&](int)
    {
        const bool acquired = node.acquire(slots, time.now());
        node.release(slots, time.now());
        return acquired;
    };
    const auto pass_queue = [&](int i)
    {
        queue.push(names[org(i)], static_cast<queue_item_id>(i),
                   time.now() + std::chrono::seconds(1), time.now());
        return queue
            .pop([](std::string_view, queue_item_id) { return true; },
                 time.now())
            .has_value();
    };
    measure("digest", [&](int i)
            { return digest_of(secrets[org(i)]) == digests[org(i)]; });
    measure("key look-up",
            [&](int i) { return keys.find(digests[org(i)]) != nullptr; });
    measure("take", take);
    measure("acquire and release", slot);
    measure("queue push and pop", pass_queue);
    measure("take, queue and slot",
            [&](int i) { return pass_queue(i) && take(i) && slot(i); });
    return 0;
}
