/// @file
/// @brief Passes the changes of the store on to the VMs of the failure domain;
/// internal to the gateway.
#pragma once

#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/relay_messages.hpp>
#include <siskinflow/net/http_server.hpp>
#include <siskinflow/store/change_log.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace siskinflow::gateway
{

/// @brief Answers requests for changes from the logs of this VM's mirrors, and
/// refuses them while this VM may not know the latest changes.
class store_relay
{
public:
    /// @param loop runs the relay; must outlive it
    /// @param self this process
    /// @param current whether the logs are up to date
    store_relay(net::event_loop& loop, const incarnation_id& self,
                std::function<bool()> current);

    /// @brief Opens the listener.
    result<void> listen(const net::endpoint& address,
                        std::size_t max_connections = 256);

    /// @brief Adds the log of a prefix; it must outlive the relay.
    /// @param catch_up brings the log to the store's present revision; called
    /// when a reader knows a later one
    void add(std::string prefix, const change_log& log,
             std::function<void()> catch_up);

    /// @brief Answers the requests that wait for changes of any prefix.
    void on_recorded();

private:
    struct waiting_request
    {
        net::exchange_ptr exchange;
        store_changes_request message;
        time_point ends_at;
    };

    struct relayed_prefix
    {
        const change_log* log = nullptr;
        std::function<void()> catch_up;
        time_point caught_up_at{}; ///< When `catch_up` was last called.
    };

    void on_request(const net::exchange_ptr& exchange);
    void catch_up(relayed_prefix& entry);
    /// @return whether the request was answered
    bool answer(const net::exchange_ptr& exchange,
                const store_changes_request& message, bool may_wait);
    void respond(const net::exchange_ptr& exchange,
                 const result<store_page>& page);
    void refuse(const net::exchange_ptr& exchange, int status);

    net::event_loop& loop_;
    incarnation_id self_;
    std::function<bool()> current_;
    std::map<std::string, relayed_prefix> prefixes_;
    std::list<waiting_request> waiting_;
    std::unique_ptr<net::http_server> server_;
    std::shared_ptr<void> timer_;
};

} // namespace siskinflow::gateway
