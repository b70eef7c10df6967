/// @file
/// @brief Reads the store through another VM of the failure domain; internal to
/// the gateway.
#pragma once

#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/relay_messages.hpp>
#include <siskinflow/net/event_loop.hpp>
#include <siskinflow/net/http_client.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace siskinflow::gateway
{

/// @brief Reads from a relay while there is one and from the store itself
/// otherwise.
///
/// A relay that fails, refuses or knows less than this VM, also of a lower era,
/// is not asked again for some seconds, and the store is asked in its place at
/// once.
class relayed_store final : public prefix_reader
{
public:
    /// @brief Chooses the relay; empty to ask the store.
    using relay_choice = std::function<std::optional<net::endpoint>()>;

    /// @param loop runs the calls; must outlive the store
    /// @param caller makes the calls to relays; must outlive the store
    /// @param direct the store itself; must outlive this object
    relayed_store(net::event_loop& loop, net::http_caller& caller,
                  prefix_reader& direct, const incarnation_id& self,
                  relay_choice choose);
    ~relayed_store() override;

    void list(std::string prefix, duration timeout,
              callback<store_page> done) override;
    void await_changes(std::string prefix, store_position after, duration wait,
                       callback<store_page> done) override;
    void cancel_watch(const std::string& prefix) override;
    std::size_t watch_bytes_received(const std::string& prefix) const override;
    std::uint64_t era() const override;
    void
    on_new_era(const std::function<void(std::uint64_t)>& callback) override;
    void expect_era(std::uint64_t era) override;
    std::uint64_t list_calls(const std::string& prefix) const override;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow::gateway
