#include <siskinflow/fleet/topology.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace siskinflow
{

namespace
{

constexpr std::size_t watchers_per_domain = 2;

} // namespace

std::vector<member> ranked_members(const std::vector<member>& members,
                                   std::string_view domain,
                                   std::string_view salt)
{
    const std::string key = std::string(domain) + "/" + std::string(salt);
    std::vector<std::pair<std::uint64_t, member>> weighted;
    for (const member& item : members)
    {
        if (item.failure_domain == domain)
        {
            const auto& id = item.incarnation;
            weighted.emplace_back(stable_hash(key, id.high ^ id.low), item);
        }
    }
    std::sort(weighted.begin(), weighted.end(),
              [](const auto& left, const auto& right)
              {
                  return std::tie(left.first, left.second.incarnation) <
                         std::tie(right.first, right.second.incarnation);
              });
    std::vector<member> out;
    out.reserve(weighted.size());
    for (auto& item : weighted)
    {
        out.push_back(std::move(item.second));
    }
    return out;
}

void request_evidence_from_one(std::vector<planned_peer>& relays,
                               const incarnation_id& self,
                               const usable_check& missed_answer)
{
    if (relays.empty())
    {
        return;
    }
    const std::size_t preferred = self.low % relays.size();
    if (missed_answer(relays[preferred].peer.incarnation))
    {
        return;
    }
    for (std::size_t i = 0; i < relays.size(); ++i)
    {
        if (i != preferred && relays[i].kind == heartbeat_kind::request)
        {
            relays[i].kind = heartbeat_kind::probe;
        }
    }
}

topology::topology(member self, const std::vector<member>& all_members,
                   topology_options options)
    : self_(std::move(self)), options_(options), all_members_(all_members)
{
    std::set<std::string> domain_names;
    for (const member& item : all_members_)
    {
        domain_names.insert(item.failure_domain);
        listed_ = listed_ || item.incarnation == self_.incarnation;
    }
    for (const std::string& name : domain_names)
    {
        domains_.push_back({name, ranked_members(all_members_, name, "relay")});
    }
}

bool topology::is_direct() const
{
    return all_members_.size() <= options_.direct_limit;
}

std::vector<planned_peer> topology::plan(const usable_check& usable) const
{
    if (!listed_)
    {
        return non_member_plan(usable);
    }
    if (is_direct())
    {
        return direct_plan();
    }
    bool is_relay = false;
    std::vector<member> own_relays;
    std::vector<member> other_relays;
    for (const domain_ranks& ranks : domains_)
    {
        const auto chosen = relays(ranks, usable);
        auto& domain_relays =
            ranks.domain == self_.failure_domain ? own_relays : other_relays;
        domain_relays.insert(domain_relays.end(), chosen.begin(), chosen.end());
    }
    for (const member& item : own_relays)
    {
        is_relay = is_relay || item.incarnation == self_.incarnation;
    }
    std::vector<planned_peer> out;
    if (!is_relay)
    {
        append_peers(out, own_relays, heartbeat_kind::request,
                     options_.relay_interval);
        return out;
    }
    append_peers(out, own_relays, heartbeat_kind::exchange,
                 options_.exchange_interval);
    append_peers(out, other_relays, heartbeat_kind::exchange,
                 options_.exchange_interval);
    return out;
}

std::vector<member> topology::relays(const domain_ranks& ranks,
                                     const usable_check& usable) const
{
    std::vector<member> out;
    for (const member& item : ranks.ranked)
    {
        if (out.size() < options_.relays_per_domain &&
            (item.incarnation == self_.incarnation || usable(item.incarnation)))
        {
            out.push_back(item);
        }
    }
    return out;
}

std::vector<planned_peer> topology::direct_plan() const
{
    std::vector<planned_peer> out;
    append_peers(out, all_members_, heartbeat_kind::direct,
                 options_.direct_interval);
    return out;
}

/// A VM outside the record sends requests to the relays of its domain, or of
/// other domains if its own has none.
std::vector<planned_peer>
topology::non_member_plan(const usable_check& usable) const
{
    std::vector<planned_peer> own_domain;
    std::vector<planned_peer> other_domains;
    for (const domain_ranks& ranks : domains_)
    {
        auto& peers =
            ranks.domain == self_.failure_domain ? own_domain : other_domains;
        append_peers(peers, relays(ranks, usable), heartbeat_kind::request,
                     options_.relay_interval);
    }
    if (!own_domain.empty())
    {
        return own_domain;
    }
    other_domains.resize(
        std::min(other_domains.size(), options_.relays_per_domain));
    return other_domains;
}

void topology::append_peers(std::vector<planned_peer>& plan,
                            const std::vector<member>& peers,
                            heartbeat_kind kind, duration interval) const
{
    for (const member& peer : peers)
    {
        if (peer.incarnation != self_.incarnation)
        {
            plan.push_back({peer, kind, interval});
        }
    }
}

int watcher_rank(const fleet_record& record, const incarnation_id& self,
                 const usable_check& usable)
{
    const member* self_member = record.find(self);
    if (self_member == nullptr)
    {
        return -1;
    }
    const auto ranked =
        ranked_members(record.members, self_member->failure_domain,
                       "watcher/" + std::to_string(record.epoch));
    int rank = 0;
    for (const member& item : ranked)
    {
        if (rank >= static_cast<int>(watchers_per_domain))
        {
            break;
        }
        if (item.incarnation == self)
        {
            return rank;
        }
        rank += usable(item.incarnation) ? 1 : 0;
    }
    return -1;
}

} // namespace siskinflow
