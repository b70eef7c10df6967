/// @file
/// @brief Decides which VMs exchange heartbeats, and how often.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/fleet/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow
{

/// @brief Parameters of the heartbeat topology.
struct topology_options
{
    /// Up to this many members, every member sends to every other one.
    std::size_t direct_limit = 16;
    duration direct_interval = std::chrono::milliseconds(200);
    /// From a member to its relays. Evidence passes a member-relay pair on
    /// both sides and one exchange, so it is at most
    /// 3 * relay_interval + exchange_interval + 3 round trips old: 1.27 s.
    duration relay_interval = std::chrono::milliseconds(300);
    /// From relay to relay.
    duration exchange_interval = std::chrono::milliseconds(200);
    std::size_t relays_per_domain = 2;
};

/// @brief A VM to send heartbeats to.
struct planned_peer
{
    member peer;
    heartbeat_kind kind = heartbeat_kind::direct;
    duration interval{0};
};

/// @brief Whether a VM seems to be alive and answering.
using usable_check = std::function<bool(const incarnation_id&)>;

/// @brief Asks only one of this VM's relays, given in rank order, for evidence.
///
/// The preferred relay sends all evidence, the others only answer the probe: at
/// 440 members this halves the traffic of relays. VMs differ in the relay that
/// they prefer. When it misses an answer all are asked for evidence; this costs
/// one interval of the freshness window.
/// @param missed_answer whether the last request to a VM went unanswered
void request_evidence_from_one(std::vector<planned_peer>& relays,
                               const incarnation_id& self,
                               const usable_check& missed_answer);

/// @brief Members of a failure domain, ranked by rendezvous hash of the domain
/// and a salt.
std::vector<member> ranked_members(const std::vector<member>& members,
                                   std::string_view domain,
                                   std::string_view salt);

/// @brief Heartbeat plan of one VM for one record.
///
/// The order of relays does not depend on the epoch, so that a change of the
/// record does not move all relays at once.
class topology
{
public:
    topology() = default;

    /// @param self this VM; need not be a member
    /// @param all_members members and previous members
    topology(member self, const std::vector<member>& all_members,
             topology_options options);

    /// @brief Peers to send heartbeats to now.
    /// @param usable check of other VMs
    std::vector<planned_peer> plan(const usable_check& usable) const;

    /// @brief Whether heartbeats go directly to all members.
    bool is_direct() const;

private:
    struct domain_ranks
    {
        std::string domain;
        std::vector<member> ranked;
    };

    std::vector<member> relays(const domain_ranks& ranks,
                               const usable_check& usable) const;
    std::vector<planned_peer> direct_plan() const;
    std::vector<planned_peer> non_member_plan(const usable_check& usable) const;
    void append_peers(std::vector<planned_peer>& plan,
                      const std::vector<member>& peers, heartbeat_kind kind,
                      duration interval) const;

    member self_;
    topology_options options_;
    std::vector<member> all_members_;
    std::vector<domain_ranks> domains_;
    bool listed_ = false;
};

/// @brief This VM's rank among the store watchers of its failure domain: the
/// first two usable members by hash of domain and epoch.
/// @return 0 or 1 for a watcher, -1 otherwise
int watcher_rank(const fleet_record& record, const incarnation_id& self,
                 const usable_check& usable);

} // namespace siskinflow
