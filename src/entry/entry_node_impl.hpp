/// @file
/// @brief State of the entry daemon; private to its sources.
#pragma once

#include "counted_links.hpp"
#include "fleet_telemetry.hpp"
#include "http_api.hpp"
#include "issuer_client.hpp"
#include "report_service.hpp"
#include "request_telemetry.hpp"
#include "status_document.hpp"
#include <siskinflow/budget/budget_node.hpp>
#include <siskinflow/config/configuration_json.hpp>
#include <siskinflow/control/codec.hpp>
#include <siskinflow/entry/data_path.hpp>
#include <siskinflow/entry/entry_node.hpp>
#include <siskinflow/fleet/fleet_node.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/net/tcp_messages.hpp>
#include <siskinflow/net/udp_socket.hpp>
#include <siskinflow/permit/closing_statements.hpp>
#include <siskinflow/routing/lookup.hpp>
#include <siskinflow/routing/site_map_loader.hpp>
#include <siskinflow/store/etcd_store.hpp>
#include <siskinflow/telemetry/log.hpp>
#include <siskinflow/telemetry/metrics.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskinflow::entry
{

/// @brief Interval of the budgets' and the data path's periodic work.
constexpr duration service_tick_interval = budget_tick_interval;

/// @brief Seed for choices that need not be secret.
inline std::uint64_t random_seed()
{
    const incarnation_id drawn = make_incarnation_id();
    return drawn.high ^ drawn.low;
}

struct entry_node::impl
{
    impl(net::event_loop& loop, entry_options given);

    result<void> open();
    void add_api();
    void add_timers();

    // Control plane
    void on_datagram(const net::endpoint& from, std::string_view payload);
    std::string on_message(std::string_view payload);
    std::string answer_permit_query(const permit_query& query);
    void on_config(std::string_view text, store_revision revision);
    void on_record(const fleet_record& next, store_revision revision);
    budget_view current_budget_view() const;
    void report_freshness_changes();
    void check_vm_list();

    // Data path
    void on_request(const net::exchange_ptr& exchange);
    net::http_response answer_lookup(const net::http_request& request);
    net::http_response answer_permits(const net::http_request& request);
    net::http_response answer_health() const;
    net::http_response answer_status() const;
    net::http_response answer_metrics();
    void answer_report(const net::exchange_ptr& exchange);
    void refresh_lookup();
    void add_site_map();
    void on_site_map(const routing::site_map_view& next);
    void poll_target_loads();
    void report_dropped_message(std::string_view transport,
                                const std::string& peer, const error& problem,
                                std::size_t bytes);

    // Lifecycle
    void stop();
    void begin_draining();
    void finish_draining_when_idle();
    void hand_over();
    bool is_handover_complete() const;
    void finish();

    net::event_loop& loop;
    const clock& time;
    entry_options options;
    member self;
    event_log log;
    metrics registry;
    request_telemetry telemetry;
    fleet_telemetry fleet_events;
    net::http_client http_client;
    peer_traffic_counters peer_traffic;
    net::message_client message_client;
    counting_message_sender message_sender;
    etcd_store store_client;
    std::unique_ptr<vm_list> vms;
    std::unique_ptr<net::udp_socket> socket;
    std::unique_ptr<counting_datagram_sender> datagrams;
    std::unique_ptr<net::message_server> control_server;
    std::unique_ptr<net::http_server> http_server;
    std::unique_ptr<fleet_node> fleet;
    std::unique_ptr<budget_node> budgets;
    permit_issuer issuer;
    permit_table permits;
    closing_statements statements;
    issuer_client resolver;
    report_service reports;
    std::unique_ptr<data_path> path;
    std::shared_ptr<const fleet_record> record =
        std::make_shared<fleet_record>();
    std::unique_ptr<routing::lookup> lookup;
    std::set<incarnation_id> lookup_members;
    std::unique_ptr<routing::site_map_loader> site_maps;
    http_api api;
    vm_lifecycle lifecycle;
    time_point started_at;
    time_point config_since;
    time_point drain_deadline{};
    bool was_fresh = false;
    bool was_member = false;
    std::size_t pending_handovers = 0;
    std::vector<std::shared_ptr<void>> timers;
    std::vector<std::shared_ptr<net::http_call>> load_calls;
    std::function<void()> on_stopped;
};

} // namespace siskinflow::entry
