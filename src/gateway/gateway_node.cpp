#include "gateway_state.hpp"
#include "memory/connection_limits.hpp"
#include "memory/memory_return.hpp"
#include "memory/memory_watch.hpp"
#include "peer_exchange.hpp"
#include "relayed_store.hpp"
#include "request_explanation.hpp"
#include "request_flow.hpp"
#include "state_feed.hpp"
#include "store_era_log.hpp"
#include "store_relay.hpp"
#include <siskinflow/core/ids.hpp>
#include <siskinflow/entry/vm_lifecycle.hpp>
#include <siskinflow/gateway/gateway_node.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/store/lease_keeper.hpp>

#include <algorithm>
#include <map>
#include <unistd.h>

namespace siskinflow::gateway
{

namespace
{

/// Delay before changes in the store are requested, so that one call returns
/// several. Each call has a cost; configurations and draining targets must take
/// effect within 2.5 s.
constexpr duration operator_watch_delay = std::chrono::milliseconds(150);
constexpr duration target_watch_delay = std::chrono::milliseconds(1000);
constexpr duration vm_watch_delay = std::chrono::milliseconds(1500);
/// The same for changes that another VM of the failure domain passes on.
constexpr duration relayed_watch_delay = std::chrono::milliseconds(50);
/// Time since the last call that the store answered up to which this VM passes
/// changes on. A change must be in force on all VMs within 2.5 s.
constexpr duration max_store_silence = std::chrono::seconds(2);
/// Part of the time for a change to be in force that is left for reading and
/// applying it after a lost watch has been replaced.
constexpr duration change_fetch_time = std::chrono::milliseconds(600);
/// Longest time without a confirmation of the VM entries. Silence of a VM is
/// detected without the store.
constexpr duration max_unconfirmed_vms = std::chrono::seconds(5);
/// Time between two attempts to place waiting requests, for room that becomes
/// free without an answer to this VM's own requests.
constexpr duration placement_interval = std::chrono::milliseconds(25);
/// Time between two updates of the region splits.
constexpr duration split_update_interval = std::chrono::milliseconds(200);
/// Time between two checks of which VM confirms the store's state for all.
constexpr duration confirming_update_interval = std::chrono::milliseconds(200);
/// Lifetime of this VM's entry in the store. A VM that died is detected by its
/// silence much earlier.
constexpr duration registration_ttl = std::chrono::seconds(8);
/// Callers may use a lookup answer for three of its lifetimes.
constexpr int lookup_expiry_factor = 3;
constexpr duration idle_check_interval = std::chrono::milliseconds(20);
/// Lines of one event in a burst and per second: enough for each failed request
/// of a normal day, few enough to cost under 1% of a small VM.
constexpr std::uint32_t log_burst = 60;
constexpr std::uint32_t log_lines_per_s = 12;
/// Part of the callers' connections that may wait for memory.
constexpr std::size_t waiting_connection_part = 4;
constexpr std::size_t max_buffered_body_bytes = 64U << 20;
/// Readiness checks, lookups and reads of metrics have no body.
constexpr std::size_t max_query_body_bytes = 4096;
/// Bounds for the unread bytes of their connections, which are short.
constexpr int query_buffer_bytes = 8192;
constexpr std::size_t max_unaccepted_queries = 256;
/// Time between two looks at the memory that is held for callers.
constexpr duration memory_check_interval = std::chrono::seconds(1);
/// Longer than the idle timeouts that policies set for callers, so that callers
/// close first.
constexpr duration caller_idle_timeout = std::chrono::seconds(60);

log_options log_options_of(const gateway_settings& settings)
{
    return {settings.level, settings.format, log_burst, log_lines_per_s};
}

/// With a revocation limit, the store is queried often enough that two lost
/// answers do not exceed it.
mirror_options operator_options(const gateway_settings& settings)
{
    constexpr int watches_per_limit = 3;
    mirror_options out{operator_watch_delay, relayed_watch_delay};
    out.max_unconfirmed_time = settings.policy_limit - change_fetch_time;
    out.jitter_seed = stable_hash(settings.self.name);
    if (settings.revocation_limit)
    {
        out.max_watch_wait = std::min(
            out.max_watch_wait, *settings.revocation_limit / watches_per_limit);
    }
    return out;
}

mirror_options target_options(const gateway_settings& settings)
{
    mirror_options out{target_watch_delay, relayed_watch_delay};
    out.max_unconfirmed_time = settings.drain_limit - change_fetch_time;
    out.jitter_seed = stable_hash(settings.self.name);
    return out;
}

mirror_options vm_options(const gateway_settings& settings)
{
    mirror_options out{vm_watch_delay, relayed_watch_delay};
    out.max_unconfirmed_time = max_unconfirmed_vms;
    out.jitter_seed = stable_hash(settings.self.name);
    return out;
}

} // namespace

struct gateway_node::impl
{
    impl(net::event_loop& loop_in, net::http_caller& http_client,
         const gateway_platform& platform_in, gateway_settings settings)
        : loop(loop_in), platform(platform_in),
          log(loop_in.time(),
              non_blocking_output(STDOUT_FILENO, dropped_log_lines),
              log_options_of(settings)),
          state(loop_in, http_client, platform_in.protocol, log, metric_set,
                std::move(settings)),
          eras(platform_in.store, loop_in.time(), log, metric_set),
          operators(state, platform_in.records),
          registrations(state, platform_in.records), vms(state),
          recorded_operators(operators), recorded_registrations(registrations),
          recorded_vms(vms),
          shared_reads(loop_in, http_client, platform_in.store, incarnation,
                       [this] { return usable_relay(); }),
          operator_mirror(operator_store(), loop_in.timers(), loop_in.time(),
                          platform_in.records.operator_prefix(),
                          operator_options(state.settings), recorded_operators),
          target_mirror(shared_reads, loop_in.timers(), loop_in.time(),
                        platform_in.records.target_prefix(),
                        target_options(state.settings), recorded_registrations),
          vm_mirror(shared_reads, loop_in.timers(), loop_in.time(), vm_prefix,
                    vm_options(state.settings), recorded_vms),
          registration(platform_in.store, loop_in.timers(), loop_in.time(),
                       vm_prefix + state.settings.self.name,
                       to_json(state.settings.self), registration_ttl),
          peer_messages(state, incarnation, [this] { return ready(); }),
          relay(loop_in, incarnation, [this] { return passes_changes_on(); }),
          memory(*state.memory, log, metric_set)
    {
        share_prefix(platform_in.records.operator_prefix(), recorded_operators,
                     operator_mirror);
        share_prefix(platform_in.records.target_prefix(),
                     recorded_registrations, target_mirror);
        share_prefix(vm_prefix, recorded_vms, vm_mirror);
        state.on_target_leaving = [this](const target_record& record)
        { peer_messages.send_leaving(record); };
        peer_messages.on_confirmation(
            [this](const std::string& prefix,
                   const mirror_confirmation& confirmation)
            {
                const auto found = mirrors.find(prefix);
                if (found != mirrors.end())
                {
                    found->second->on_peer_confirmation(confirmation);
                }
            });
    }

    net::event_loop& loop;
    gateway_platform platform;
    std::uint64_t dropped_log_lines = 0;
    event_log log;
    metrics metric_set;
    gateway_state state;
    incarnation_id incarnation = make_incarnation_id();
    store_era_log eras;
    operator_feed operators;
    target_feed registrations;
    vm_feed vms;
    recording_listener recorded_operators;
    recording_listener recorded_registrations;
    recording_listener recorded_vms;
    relayed_store shared_reads;
    store_mirror operator_mirror;
    store_mirror target_mirror;
    store_mirror vm_mirror;
    std::map<std::string, store_mirror*> mirrors; ///< By prefix.
    lease_keeper registration;
    vm_lifecycle lifecycle;
    peer_exchange peer_messages;
    store_relay relay;
    std::unique_ptr<net::http_server> requests;
    std::unique_ptr<net::http_server> readiness;
    std::unique_ptr<net::http_server> directory;
    std::unique_ptr<net::http_server> metrics_page;
    memory_watch memory;
    std::vector<std::shared_ptr<void>> timers;
    std::function<void()> on_stopped;
    bool requests_cut = false;         ///< Near the end of a planned stop.
    time_point registration_lost_at{}; ///< When renewals began to fail.
    std::size_t max_request_connections = 0;

    bool ready() const
    {
        return lifecycle.state() == lifecycle_state::serving &&
               state.accepts_keys();
    }

    /// With a revocation limit, each VM needs the store's own confirmation.
    prefix_reader& operator_store()
    {
        if (state.settings.revocation_limit)
        {
            return platform.store;
        }
        return shared_reads;
    }

    /// Lets the other VMs of the failure domain read a prefix through this one,
    /// and tells all VMs when the store confirms it.
    void share_prefix(const std::string& prefix, recording_listener& recorded,
                      store_mirror& mirror)
    {
        mirrors[prefix] = &mirror;
        relay.add(prefix, recorded.log(), [&mirror] { mirror.catch_up(); });
        recorded.on_recorded([this] { relay.on_recorded(); });
        mirror.on_confirmation(
            [this, prefix](const mirror_confirmation& confirmation)
            { peer_messages.send_confirmation(prefix, confirmation); });
    }

    /// The relay, unless what it passes on has not been confirmed for too long.
    std::optional<net::endpoint> usable_relay() const
    {
        const bool confirmed =
            std::all_of(mirrors.begin(), mirrors.end(),
                        [](const auto& entry)
                        {
                            const store_mirror& mirror = *entry.second;
                            return !mirror.listed() || mirror.confirmed();
                        });
        return confirmed ? state.peers.store_relay(state.now()) : std::nullopt;
    }

    void update_confirming()
    {
        const bool confirms = state.peers.confirms_for_fleet(state.now());
        for (const auto& [prefix, mirror] : mirrors)
        {
            mirror->confirm_for_others(confirms);
        }
    }

    /// Whether this VM reads the store itself and knows the latest changes.
    bool passes_changes_on() const
    {
        const bool store_silent =
            state.now() - registration.answered_at() > max_store_silence;
        return state.peers.sums_up_domain(state.now()) && !store_silent &&
               !operator_mirror.unavailable() && !target_mirror.unavailable() &&
               !vm_mirror.unavailable();
    }

    caller_connections_seen caller_connections() const
    {
        const net::http_server_stats seen = requests->stats();
        return {seen.open, max_request_connections, seen.over_connection_limit};
    }

    result<void> listen();
    void start_tasks();
    void update_readiness();
    void limit_bodies();
    void on_request(const net::exchange_ptr& exchange);
    void on_readiness(const net::exchange_ptr& exchange) const;
    void on_lookup(const net::exchange_ptr& exchange);
    void on_metrics(const net::exchange_ptr& exchange);
    void set_withdrawn_targets();
    void stop();
    void cut_requests();
    void finish_when_idle();
    void finish(bool idle);
};

result<void> gateway_node::impl::listen()
{
    const gateway_settings& settings = state.settings;
    net::http_server_options options;
    options.max_body_bytes = max_buffered_body_bytes;
    options.request_timeout = caller_idle_timeout;
    const connection_limits limits = divide_descriptors(
        usable_descriptors(settings.max_descriptors), settings.max_connections);
    const caller_connection_limits callers =
        connections_for_memory(settings.memory_bytes, state.memory->limit());
    max_request_connections = std::min(limits.requests, callers.open);
    options.max_waiting_for_room =
        max_request_connections / waiting_connection_part;
    using handler = net::http_server::handler;
    struct listener
    {
        const char* purpose;
        net::endpoint address;
        std::size_t max_connections;
        std::size_t max_unaccepted;
        std::size_t max_body_bytes;
        std::unique_ptr<net::http_server>* server;
        handler handle;
    };
    const listener listeners[] = {
        {"requests", settings.self.requests, max_request_connections,
         callers.unaccepted, max_buffered_body_bytes, &requests,
         [this](const net::exchange_ptr& exchange) { on_request(exchange); }},
        {"readiness", settings.readiness_listen, limits.readiness,
         max_unaccepted_queries, max_query_body_bytes, &readiness,
         [this](const net::exchange_ptr& exchange) { on_readiness(exchange); }},
        {"directory", settings.directory_listen, limits.directory,
         max_unaccepted_queries, max_query_body_bytes, &directory,
         [this](const net::exchange_ptr& exchange) { on_lookup(exchange); }},
        {"metrics", settings.metrics_listen, limits.metrics,
         max_unaccepted_queries, max_query_body_bytes, &metrics_page,
         [this](const net::exchange_ptr& exchange) { on_metrics(exchange); }}};
    for (const listener& entry : listeners)
    {
        options.max_connections = entry.max_connections;
        options.max_unaccepted = entry.max_unaccepted;
        options.max_body_bytes = entry.max_body_bytes;
        const bool for_requests = entry.server == &requests;
        options.memory = for_requests ? state.memory : nullptr;
        options.receive_buffer_bytes = for_requests ? 0 : query_buffer_bytes;
        auto opened = net::http_server::listen(loop, entry.address, options,
                                               entry.handle);
        if (!opened)
        {
            return opened.error();
        }
        *entry.server = std::move(opened).value();
        log.write(event_id::listening,
                  {{"purpose", entry.purpose},
                   {"address", net::to_string(entry.address)}});
    }
    const auto relaying = relay.listen(settings.self.peers, limits.relay);
    if (!relaying)
    {
        return relaying.error();
    }
    return peer_messages.listen();
}

void gateway_node::impl::start_tasks()
{
    log.write(event_id::started,
              {{"vm", state.settings.self.name},
               {"incarnation", to_string(incarnation)},
               {"region", state.settings.self.region},
               {"failure_domain", state.settings.self.failure_domain}});
    lifecycle.on_change(
        [this](lifecycle_state from, lifecycle_state to)
        {
            log.write(event_id::lifecycle_changed,
                      {{"from", name(from)}, {"to", name(to)}});
        });
    // Failed renewals detect a store that no longer answers a watch.
    registration.on_unavailable(
        [this](const error& reason)
        {
            registration_lost_at = state.now();
            log.write(
                event_id::store_unavailable,
                {{"operation", "registration"}, {"reason", reason.message}});
        });
    registration.on_recovered(
        [this]
        {
            log.write(event_id::store_available,
                      {{"down_ms", to_ms(state.now() - registration_lost_at)}});
            operator_mirror.refresh();
            target_mirror.refresh();
            vm_mirror.refresh();
        });
    operator_mirror.start();
    target_mirror.start();
    vm_mirror.start();
    registration.start();
    peer_messages.start();
    timers.push_back(
        loop.every(split_update_interval, [this] { state.update_splits(); }));
    timers.push_back(loop.every(confirming_update_interval,
                                [this] { update_confirming(); }));
    timers.push_back(
        loop.every(memory_check_interval, [this]
                   { memory.check(caller_connections(), state.now()); }));
    timers.push_back(loop.every(placement_interval,
                                [this]
                                {
                                    update_readiness();
                                    limit_bodies();
                                    state.place_all_waiting();
                                }));
}

/// The operators' limit, so that a longer body is refused before it arrives.
void gateway_node::impl::limit_bodies()
{
    const std::size_t limit =
        state.policy == nullptr
            ? state.memory->limit()
            : state.policy->document().limits.max_body_bytes;
    requests->set_max_body_bytes(std::min(limit, max_buffered_body_bytes));
}

void gateway_node::impl::update_readiness()
{
    if (lifecycle.state() != lifecycle_state::starting ||
        state.policy == nullptr || !target_mirror.listed())
    {
        return;
    }
    lifecycle.apply(lifecycle_event::ready);
    state.peers.serve(true);
    log.write(event_id::readiness_changed,
              {{"ready", true}, {"reason", "a policy is in force"}});
    peer_messages.send_state();
}

void gateway_node::impl::on_request(const net::exchange_ptr& exchange)
{
    std::make_shared<request_flow>(state, exchange)->start();
}

void gateway_node::impl::on_readiness(const net::exchange_ptr& exchange) const
{
    constexpr int unavailable = 503;
    exchange->respond({ready() ? 200 : unavailable,
                       {{"content-type", "application/json"}},
                       ready() ? "{\"ready\":true}\n" : "{\"ready\":false}\n"});
}

void gateway_node::impl::on_lookup(const net::exchange_ptr& exchange)
{
    const lookup_fields fields =
        platform.protocol.read_lookup(exchange->request());
    const auto vms =
        state.peers.lookup(fields.failure_domain, fields.region, state.now());
    if (vms.empty())
    {
        constexpr int unavailable = 503;
        exchange->respond({unavailable, {{"retry-after", "0.5"}}, {}});
        return;
    }
    exchange->respond(
        platform.protocol.lookup_answer(vms, state.settings.lookup_lifetime));
}

void gateway_node::impl::set_withdrawn_targets()
{
    double leaving = 0;
    double paused = 0;
    state.targets.for_each(
        [&](const target& entry)
        {
            const bool is_leaving = entry.wish().leaving;
            const bool wants_none = !entry.wish().allows_requests(state.now());
            leaving += is_leaving ? 1 : 0;
            paused += wants_none && !is_leaving ? 1 : 0;
        });
    metric_set.gauge(metric_id::withdrawn_targets, {"leaving"}).set(leaving);
    metric_set.gauge(metric_id::withdrawn_targets, {"pause"}).set(paused);
}

void gateway_node::impl::on_metrics(const net::exchange_ptr& exchange)
{
    const net::http_request& request = exchange->request();
    if (request.path == explanation_path)
    {
        exchange->respond(
            explain_request(state, read_explained_request(request.query)));
        return;
    }
    set_withdrawn_targets();
    memory.set_metrics(caller_connections());
    eras.update_gauge();
    metric_set.counter(metric_id::log_lines_suppressed)
        .raise_to(log.suppressed() + dropped_log_lines);
    exchange->respond({200,
                       {{"content-type", "text/plain; version=0.0.4"}},
                       metric_set.render(state.now())});
}

void gateway_node::impl::stop()
{
    if (state.stop)
    {
        return;
    }
    const bool was_ready = ready();
    state.stop.emplace(state.now(), state.settings.stop_grace);
    lifecycle.apply(lifecycle_event::stop);
    if (was_ready)
    {
        log.write(event_id::readiness_changed,
                  {{"ready", false}, {"reason", "stop requested"}});
    }
    registration.stop();
    peer_messages.leave();
    requests->close_after_responses();
    const duration lookup_expiry =
        state.settings.lookup_lifetime * lookup_expiry_factor;
    loop.after(lookup_expiry,
               [this] { lifecycle.apply(lifecycle_event::lookups_expired); });
    timers.push_back(
        loop.every(idle_check_interval, [this] { finish_when_idle(); }));
}

/// Callers get an answer while there is still time to send it.
void gateway_node::impl::cut_requests()
{
    requests_cut = true;
    const auto in_progress = state.in_progress;
    for (const auto& request : in_progress)
    {
        request->cut_by_stop();
    }
}

void gateway_node::impl::finish_when_idle()
{
    const time_point now = state.now();
    if (now >= state.stop->cut_at() && !requests_cut)
    {
        cut_requests();
    }
    const bool idle = state.in_progress.empty() &&
                      requests->open_exchanges() == 0 &&
                      requests->undelivered_connections() == 0 &&
                      directory->undelivered_connections() == 0;
    const bool lookups_expired = lifecycle.state() != lifecycle_state::leaving;
    if ((idle && lookups_expired) || now >= state.stop->exit_at())
    {
        finish(idle);
    }
}

void gateway_node::impl::finish(bool idle)
{
    const auto callback = std::exchange(on_stopped, nullptr);
    if (callback == nullptr)
    {
        return;
    }
    lifecycle.apply(lifecycle_event::idle);
    log.flush();
    if (!idle)
    {
        log.write(event_id::answers_cut,
                  {{"count", requests->open_exchanges()},
                   {"undelivered", requests->undelivered_connections()}});
    }
    log.write(event_id::stopped,
              {{"reason", idle ? "idle" : "grace time expired"},
               {"uptime_s", to_seconds(state.now() - state.started_at)}});
    callback();
}

gateway_node::gateway_node(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

gateway_node::~gateway_node() = default;

result<std::unique_ptr<gateway_node>>
gateway_node::start(net::event_loop& loop, net::http_caller& http_client,
                    const gateway_platform& platform, gateway_settings settings)
{
    configure_allocator();
    auto state = std::make_unique<impl>(loop, http_client, platform,
                                        std::move(settings));
    const auto listening = state->listen();
    if (!listening)
    {
        return listening.error();
    }
    state->start_tasks();
    return std::unique_ptr<gateway_node>(new gateway_node(std::move(state)));
}

void gateway_node::stop()
{
    impl_->stop();
}

void gateway_node::reload()
{
    impl_->log.write(event_id::settings_reloaded,
                     {{"outcome", "settings apply at the next start"}});
}

void gateway_node::on_stopped(std::function<void()> callback)
{
    impl_->on_stopped = std::move(callback);
}

} // namespace siskinflow::gateway
