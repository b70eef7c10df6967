/// @file
/// @brief A VM's node in the fleet: freshness, membership, distribution.
#pragma once

#include <siskinflow/control/codec.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/fleet/distributor.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/fleet/freshness.hpp>
#include <siskinflow/fleet/membership.hpp>
#include <siskinflow/fleet/topology.hpp>
#include <siskinflow/fleet/vm_list.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/tcp_messages.hpp>
#include <siskinflow/net/udp_socket.hpp>
#include <siskinflow/store/store.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief Settings of a fleet node.
struct fleet_options
{
    member self; ///< With a new incarnation for each run.
    /// Control endpoints of other VMs, used while the store is down.
    std::vector<net::endpoint> seeds;
    freshness_options freshness;
    topology_options topology;
    membership_options membership;
    distributor_options distributor;
    duration join_interval = std::chrono::milliseconds(500);
    duration seed_interval = std::chrono::seconds(1);
    /// A join is forgotten if it is not repeated for this long.
    duration join_expiry = std::chrono::seconds(3);
};

/// @brief Dependencies of a fleet node; all must outlive it.
struct fleet_dependencies
{
    const clock& time;
    net::datagram_sender& datagrams;
    net::message_sender& messages;
    store& kv_store;
    random_source random;
    const vm_list* vms = nullptr; ///< Optional.
};

/// @brief Callbacks of a fleet node. All are optional.
struct fleet_handlers
{
    /// The newest configuration, as the JSON text in the store.
    std::function<void(std::string_view text, store_revision revision)>
        on_config;
    std::function<void(const fleet_record& record, store_revision revision)>
        on_record;
};

/// @brief Counts of events, for metrics.
struct fleet_counts
{
    std::uint64_t malformed = 0;        ///< Messages that can't be decoded.
    std::uint64_t record_writes = 0;    ///< Records proposed to the store.
    std::uint64_t record_conflicts = 0; ///< Proposals that lost to another.
    std::uint64_t unknown_writes = 0;   ///< Proposals of unknown outcome.
};

/// @brief Keeps this VM in the fleet. Call `tick` every 50 ms.
class fleet_node
{
public:
    fleet_node(fleet_options options, fleet_dependencies dependencies,
               fleet_handlers handlers = {});
    ~fleet_node();

    /// @brief Runs all work that is due.
    void tick();

    /// @brief Handles a datagram.
    /// @return whether its type belongs to the fleet
    bool on_datagram(const net::endpoint& from,
                     const control::envelope& message);

    /// @brief Answers a request that came over TCP.
    /// @return the answer, empty if the type does not belong to the fleet or
    /// the message is malformed
    std::string on_message(const control::envelope& message);

    /// @brief Announces in heartbeats that this VM leaves. It stays a member,
    /// so it keeps its shares while it drains.
    void begin_leaving();

    /// @brief Asks to be removed from the record; repeated by `tick`.
    void leave();

    /// @brief Whether the newest record no longer lists this VM after `leave`.
    bool has_left() const;

    /// @brief Whether this VM and all other members of the record have
    /// announced that they leave, so that no member is left to write the next
    /// record.
    bool all_leaving() const;

    /// @brief Whether this VM may serve routes that require a key; checked
    /// against the clock at each call. A VM outside the record can be fresh,
    /// so uses of shares need `is_member` as well.
    bool is_fresh() const;

    /// @brief When the present evidence of freshness ends.
    time_point fresh_until() const;

    bool is_member() const;
    const fleet_record& record() const;
    store_revision record_revision() const;

    /// @brief The newest configuration as JSON text; empty if none is known.
    std::string_view config_text() const;
    store_revision config_revision() const;

    /// @brief Newest revisions that are in force.
    const known_revisions& in_force() const;

    /// @brief Whether a configuration revision is in force.
    bool config_in_force(store_revision revision) const;

    /// @brief Whether a fleet revision is in force.
    bool fleet_in_force(store_revision revision) const;

    /// @brief Members that are alive and not leaving, in record order.
    std::vector<member> live_members() const;

    /// @brief What is known of each member, for operators.
    std::vector<member_status> status() const;

    const fleet_counts& counts() const;
    const distributor_counts& distribution_counts() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow
