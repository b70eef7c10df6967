/// @file
/// @brief Fixture: the data path with fake dependencies and a manually advanced
/// clock. One real budget node is the only member, so shares are granted
/// locally.
#pragma once

#include "entry_fakes.hpp"

namespace data_path_testing
{

/// A data path with its dependencies.
struct data_path_fixture
{
    explicit data_path_fixture(configuration initial = make_config(),
                               data_path_options options = {})
        : config(std::move(initial))
    {
        options.vm = "vm0";
        options.region = "north";
        path = std::make_unique<data_path>(
            options, data_path_dependencies{time, timers, caller, budgets,
                                            issuer, permits, resolver, observer,
                                            [this] { return fresh; },
                                            [this] { return accepts; }});
        auto members = std::make_shared<fleet_record>();
        members->epoch = 1;
        members->members.emplace_back().incarnation = self;
        record = members;
        if (config.sequence > 0)
        {
            configure();
        }
        warm_up();
    }

    void configure()
    {
        budgets.set_configuration(config, time.now());
        path->set_configuration(std::make_shared<configuration>(config), 1);
    }

    /// Lets rate budgets fill and slots arrive; a rate budget starts empty.
    void warm_up()
    {
        for (int i = 0; i < 100; ++i)
        {
            for (const auto& organisation : config.organisations)
            {
                budgets.shares().count_arrival(
                    organisation_budget(organisation.name), 1, time.now());
            }
            for (const auto& target : config.targets)
            {
                const budget_id slots(slots_budget(target.name));
                if (budgets.acquire(slots, time.now()))
                {
                    budgets.release(slots, time.now());
                }
            }
            advance(tick_interval);
        }
    }

    void advance(duration length)
    {
        for (duration passed{0}; passed < length; passed += tick_interval)
        {
            time.advance(tick_interval);
            timers.run_due(time.now());
            budget_view view;
            view.self = self;
            view.fresh = fresh;
            view.is_member = true;
            view.epoch = 1;
            view.epoch_in_force = true;
            view.record = record;
            budgets.tick(time.now(), view);
            path->tick();
            if (after_step)
            {
                after_step();
            }
        }
    }

    std::shared_ptr<fake_caller_exchange> send(net::http_request request)
    {
        bodies_.push_back(std::make_unique<std::string>(request.body));
        request.body = *bodies_.back();
        auto exchange =
            std::make_shared<fake_caller_exchange>(std::move(request));
        path->handle(exchange);
        return exchange;
    }

    /// Builds a request with the key of an organisation.
    static net::http_request get(const std::string& path,
                                 const std::string& key = "key-acme")
    {
        net::http_request request;
        request.method = "GET";
        request.path = path;
        if (!key.empty())
        {
            request.headers.add("authorization", "Bearer " + key);
        }
        return request;
    }

    std::string permit(const std::string& organisation = "acme")
    {
        return issuer.issue(organisation, "orders", time.now());
    }

    static net::http_request order(const std::string& permit,
                                   const std::string& key = "key-acme")
    {
        net::http_request request = get("/orders/1", key);
        request.method = "POST";
        request.body = "one order";
        if (!permit.empty())
        {
            request.headers.add("idempotency-key", permit);
        }
        return request;
    }

    void set_target_plans(std::vector<target_plan> plans)
    {
        queue_.assign(plans.begin(), plans.end());
        caller.next_target_plan = [this]
        {
            if (queue_.empty())
            {
                return target_plan{};
            }
            const target_plan next = queue_.front();
            queue_.pop_front();
            return next;
        };
    }

    bool is_idle() const
    {
        return path->in_progress() == 0 && path->queued() == 0 &&
               path->body_bytes() == 0;
    }

    manual_clock time;
    timer_queue timers;
    fake_target_client caller{time, timers};
    incarnation_id self{1, 2};
    discarding_datagram_sender network;
    budget_node budgets{
        self,
        network,
        {},
        [](const fleet_record& from, const budget_spec& /*spec*/)
        { return from.members.data(); },
        [this](budget_id /*budget*/)
        {
            if (path != nullptr)
            {
                path->serve_queue();
            }
        }};
    permit_issuer issuer{self};
    permit_table permits{issuer};
    fake_resolver resolver;
    fake_observer observer;
    configuration config;
    bool fresh = true;
    bool accepts = true;
    std::function<void()> after_step;
    std::shared_ptr<const fleet_record> record;
    std::unique_ptr<data_path> path;

private:
    /// Bodies live as long as the fixture, because requests refer to them.
    std::vector<std::unique_ptr<std::string>> bodies_;
    std::deque<target_plan> queue_;
};

inline permit_outcome outcome_with_verdict(permit_verdict value)
{
    permit_outcome outcome;
    outcome.verdict = value;
    outcome.reason = value == permit_verdict::ran ? "" : "told_by_issuer";
    outcome.status = 200;
    return outcome;
}

} // namespace data_path_testing
