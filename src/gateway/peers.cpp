#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/peers.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace siskinflow::gateway
{

namespace
{

using json = nlohmann::json;

/// Time between two messages to each VM of the failure domain. The interval per
/// VM gives 60 messages a second, whose bytes are not charged. The maximum
/// bounds how late a dead VM is detected: the directory may return it for 7 s.
constexpr duration min_message_interval = std::chrono::milliseconds(200);
constexpr duration message_interval_per_vm = std::chrono::milliseconds(16);
constexpr duration max_message_interval = std::chrono::seconds(2);
/// Time between two messages to each other failure domain. These bytes are
/// charged; the interval per domain gives about ten messages a second.
constexpr duration min_domain_interval = std::chrono::milliseconds(500);
constexpr duration domain_interval_per_domain = std::chrono::milliseconds(110);
constexpr duration max_domain_interval = std::chrono::seconds(2);
/// Silence after which lookups exclude a VM: two lost messages, five in a small
/// domain.
constexpr duration min_silence_limit = std::chrono::milliseconds(2600);
constexpr double silence_limit_intervals = 2.6;
/// Silence after which lookups exclude the VMs of another failure domain, and
/// after which another VM's sums of the domain are used. Longer than a domain
/// needs to replace the VM that sums it up.
constexpr duration domain_silence_limit = std::chrono::milliseconds(5200);
constexpr duration sender_silence_limit = std::chrono::milliseconds(2600);
/// VMs of a failure domain from which one reads the store for the others. In a
/// smaller domain few calls are saved, and changes arrive later.
constexpr std::size_t min_relayed_domain_size = 4;
/// VMs of a failure domain that send a new target its first requests. Two, in
/// case one of them is stopping or has no requests for the service.
constexpr std::ptrdiff_t introducing_vms = 2;
/// Maximum number of VMs that one lookup returns.
constexpr std::size_t max_lookup_vms = 64;

result<std::string> text_field(const json& document, const char* field)
{
    const auto found = document.find(field);
    if (found == document.end() || !found->is_string())
    {
        return fail(errc::parse_error, std::string("field '") + field +
                                           "' of a VM is not a string");
    }
    return found->get<std::string>();
}

result<net::endpoint> endpoint_field(const json& document, const char* field)
{
    const auto text = text_field(document, field);
    if (!text)
    {
        return text.error();
    }
    return net::parse_endpoint(text.value());
}

/// Records without the field were written before there were sums. A version
/// after this build's understands all of its messages.
peer_protocol protocol_field(const json& document)
{
    constexpr auto latest = static_cast<std::uint64_t>(peer_protocol::loads);
    const auto found = document.find("protocol");
    if (found == document.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() == 0)
    {
        return peer_protocol::direct;
    }
    return static_cast<peer_protocol>(
        std::min(found->get<std::uint64_t>(), latest));
}

} // namespace

std::string to_json(const vm_record& record)
{
    return json{{"name", record.name},
                {"region", record.region},
                {"failure_domain", record.failure_domain},
                {"requests", net::to_string(record.requests)},
                {"peers", net::to_string(record.peers)},
                {"protocol", static_cast<unsigned>(record.protocol)}}
        .dump();
}

result<vm_record> parse_vm_record(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return fail(errc::parse_error,
                    "the entry of a VM is not a JSON object");
    }
    vm_record out;
    const std::pair<const char*, std::string*> texts[] = {
        {"name", &out.name},
        {"region", &out.region},
        {"failure_domain", &out.failure_domain}};
    for (const auto& [field, destination] : texts)
    {
        auto value = text_field(document, field);
        if (!value)
        {
            return value.error();
        }
        *destination = std::move(value).value();
    }
    const std::pair<const char*, net::endpoint*> endpoints[] = {
        {"requests", &out.requests}, {"peers", &out.peers}};
    for (const auto& [field, destination] : endpoints)
    {
        auto value = endpoint_field(document, field);
        if (!value)
        {
            return value.error();
        }
        *destination = std::move(value).value();
    }
    out.protocol = protocol_field(document);
    return out;
}

std::uint32_t organisation_number(std::string_view name)
{
    return static_cast<std::uint32_t>(stable_hash(name));
}

std::uint32_t vm_number(std::string_view name)
{
    return static_cast<std::uint32_t>(stable_hash(name));
}

// Senders

std::optional<domain_senders::accepted_sender>
domain_senders::accept(const std::string& failure_domain,
                       std::uint64_t incarnation, time_point now)
{
    const auto [found, added] =
        senders_.try_emplace(failure_domain, sender{incarnation, now});
    sender& current = found->second;
    if (added)
    {
        return accepted_sender{};
    }
    const duration silence = now - current.heard_at;
    if (current.incarnation == incarnation)
    {
        current.heard_at = now;
        return accepted_sender{silence};
    }
    if (silence <= sender_silence_limit)
    {
        return std::nullopt;
    }
    current = {incarnation, now};
    return accepted_sender{};
}

void domain_senders::release(const std::string& failure_domain,
                             std::uint64_t incarnation)
{
    const auto found = senders_.find(failure_domain);
    if (found != senders_.end() && found->second.incarnation == incarnation)
    {
        senders_.erase(found);
    }
}

// VMs

peer_table::peer_table(vm_record self) : self_(std::move(self)) {}

void peer_table::on_listed(const vm_record& record, time_point now)
{
    if (record.name == self_.name)
    {
        return;
    }
    const auto [found, added] = peers_.try_emplace(record.name);
    peer& entry = found->second;
    if (added || !(entry.record == record))
    {
        // A changed record is a new machine with the same name, not heard yet.
        entry = peer{record, true, true, now, {}};
        count_domain();
    }
    entry.listed = true;
}

void peer_table::on_unlisted(const std::string& name)
{
    const auto found = peers_.find(name);
    if (found != peers_.end())
    {
        found->second.listed = false;
    }
}

void peer_table::on_heard(const std::string& name, bool serving, time_point now)
{
    const auto found = peers_.find(name);
    if (found != peers_.end())
    {
        found->second.serving = serving;
        found->second.last_heard = now;
    }
}

void peer_table::on_domain_heard(std::string_view failure_domain,
                                 const std::vector<std::uint32_t>& serving,
                                 time_point now)
{
    for (auto& [name, entry] : peers_)
    {
        if (entry.record.failure_domain != failure_domain ||
            !summed_up(entry.record))
        {
            continue;
        }
        entry.serving = std::find(serving.begin(), serving.end(),
                                  vm_number(name)) != serving.end();
        if (entry.serving)
        {
            entry.last_heard = now;
        }
    }
}

const vm_record* peer_table::find(const std::string& name) const
{
    const auto found = peers_.find(name);
    return found == peers_.end() ? nullptr : &found->second.record;
}

void peer_table::count_domain()
{
    const auto others =
        std::count_if(peers_.begin(), peers_.end(),
                      [this](const auto& entry)
                      { return in_own_domain(entry.second.record); });
    domain_size_ = static_cast<std::size_t>(others) + 1;
}

duration peer_table::message_interval() const
{
    return std::clamp(message_interval_per_vm *
                          static_cast<std::int64_t>(domain_size_),
                      min_message_interval, max_message_interval);
}

std::size_t peer_table::domain_count() const
{
    std::set<std::string_view> domains{self_.failure_domain};
    for (const auto& [name, entry] : peers_)
    {
        domains.insert(entry.record.failure_domain);
    }
    return domains.size();
}

duration peer_table::domain_interval() const
{
    return std::clamp(domain_interval_per_domain *
                          static_cast<std::int64_t>(domain_count()),
                      min_domain_interval, max_domain_interval);
}

duration peer_table::silence_limit(const vm_record& record) const
{
    if (!in_own_domain(record))
    {
        return domain_silence_limit;
    }
    const auto limit = std::chrono::duration_cast<duration>(
        message_interval() * silence_limit_intervals);
    return std::max(min_silence_limit, limit);
}

bool peer_table::silent(const peer& entry, time_point now) const
{
    return now - std::max(entry.last_heard, entry.first_seen) >
           silence_limit(entry.record);
}

void peer_table::expire(time_point now)
{
    std::erase_if(peers_,
                  [this, now](const auto& entry) {
                      return !entry.second.listed && silent(entry.second, now);
                  });
    count_domain();
}

std::vector<net::endpoint> peer_table::direct_peers(state_form form) const
{
    std::vector<net::endpoint> out;
    for (const auto& [name, entry] : peers_)
    {
        const state_form understood =
            in_own_domain(entry.record) &&
                    entry.record.protocol >= peer_protocol::loads
                ? state_form::with_loads
                : state_form::plain;
        const bool direct =
            in_own_domain(entry.record) || !summed_up(entry.record);
        if (direct && understood == form)
        {
            out.push_back(entry.record.peers);
        }
    }
    return out;
}

std::vector<net::endpoint> peer_table::domain_peers() const
{
    std::vector<net::endpoint> out;
    for (const auto& [name, entry] : peers_)
    {
        if (in_own_domain(entry.record) && summed_up(entry.record))
        {
            out.push_back(entry.record.peers);
        }
    }
    return out;
}

/// The first other VM of the domain, by name, that accepts callers and is
/// heard; null if there is none.
const peer_table::peer* peer_table::first_in_domain(time_point now) const
{
    const auto found = std::find_if(peers_.begin(), peers_.end(),
                                    [&](const auto& item)
                                    {
                                        const peer& entry = item.second;
                                        return in_own_domain(entry.record) &&
                                               summed_up(entry.record) &&
                                               entry.serving &&
                                               !silent(entry, now);
                                    });
    return found == peers_.end() ? nullptr : &found->second;
}

bool peer_table::sums_up_domain(time_point now) const
{
    const peer* first = first_in_domain(now);
    return serving_ && (first == nullptr || self_.name < first->record.name);
}

bool peer_table::confirms_for_fleet(time_point now) const
{
    return serving_ && std::none_of(peers_.begin(), peers_.end(),
                                    [&](const auto& item)
                                    {
                                        const peer& entry = item.second;
                                        return entry.serving &&
                                               !silent(entry, now) &&
                                               entry.record.name < self_.name;
                                    });
}

bool peer_table::introduces(std::string_view target) const
{
    const std::uint64_t seed = stable_hash(target);
    const std::uint64_t own = stable_hash(self_.name, seed);
    const auto before =
        std::count_if(peers_.begin(), peers_.end(),
                      [&](const auto& item)
                      {
                          return in_own_domain(item.second.record) &&
                                 stable_hash(item.first, seed) < own;
                      });
    return before < introducing_vms;
}

std::optional<net::endpoint> peer_table::store_relay(time_point now) const
{
    const peer* first = first_in_domain(now);
    if (first == nullptr || sums_up_domain(now) ||
        domain_size_ < min_relayed_domain_size)
    {
        return std::nullopt;
    }
    return first->record.peers;
}

/// VMs that are not heard are used if no other is known: two domains that lost
/// each other would otherwise never send to each other again.
std::vector<net::endpoint> peer_table::domain_contacts(std::size_t round,
                                                       time_point now) const
{
    struct domain_vms
    {
        std::vector<const vm_record*> heard;
        std::vector<const vm_record*> all;
    };
    std::map<std::string_view, domain_vms> by_domain;
    for (const auto& [name, entry] : peers_)
    {
        if (in_own_domain(entry.record) || !summed_up(entry.record))
        {
            continue;
        }
        domain_vms& vms = by_domain[entry.record.failure_domain];
        vms.all.push_back(&entry.record);
        if (entry.serving && !silent(entry, now))
        {
            vms.heard.push_back(&entry.record);
        }
    }
    std::vector<net::endpoint> out;
    out.reserve(by_domain.size());
    for (const auto& [domain, vms] : by_domain)
    {
        const auto& candidates = vms.heard.empty() ? vms.all : vms.heard;
        out.push_back(candidates[round % candidates.size()]->peers);
    }
    return out;
}

std::vector<std::uint32_t> peer_table::serving_in_domain(time_point now) const
{
    std::vector<std::uint32_t> out;
    if (serving_)
    {
        out.push_back(vm_number(self_.name));
    }
    for (const auto& [name, entry] : peers_)
    {
        if (in_own_domain(entry.record) && summed_up(entry.record) &&
            entry.serving && !silent(entry, now))
        {
            out.push_back(vm_number(name));
        }
    }
    return out;
}

std::vector<std::string> peer_table::names() const
{
    std::vector<std::string> out{self_.name};
    for (const auto& [name, entry] : peers_)
    {
        out.push_back(name);
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<net::endpoint> peer_table::lookup(std::string_view failure_domain,
                                              std::string_view region,
                                              time_point now) const
{
    std::vector<net::endpoint> in_domain;
    std::vector<net::endpoint> in_region;
    std::vector<net::endpoint> all;
    const auto add_candidate = [&](const vm_record& record)
    {
        if (record.failure_domain == failure_domain)
        {
            in_domain.push_back(record.requests);
        }
        if (record.region == region)
        {
            in_region.push_back(record.requests);
        }
        all.push_back(record.requests);
    };
    if (serving_)
    {
        add_candidate(self_);
    }
    for (const auto& [name, entry] : peers_)
    {
        if (entry.serving && !silent(entry, now))
        {
            add_candidate(entry.record);
        }
    }
    auto& chosen =
        !in_domain.empty() ? in_domain : (!in_region.empty() ? in_region : all);
    chosen.resize(std::min(chosen.size(), max_lookup_vms));
    return std::move(chosen);
}

} // namespace siskinflow::gateway
