#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/peers.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace siskinflow::gateway
{

namespace
{

using json = nlohmann::json;

/// Time between two messages to each VM. The interval per VM of the fleet gives
/// 30 messages a second. The maximum bounds how late a dead VM is detected: the
/// directory may return it for 7 s.
constexpr duration min_message_interval = std::chrono::milliseconds(500);
constexpr duration message_interval_per_vm = std::chrono::milliseconds(33);
constexpr duration max_message_interval = std::chrono::seconds(2);
/// Silence after which lookups exclude a VM: two lost messages, five in a small
/// fleet.
constexpr duration min_silence_limit = std::chrono::milliseconds(2600);
constexpr double silence_limit_intervals = 2.6;
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

} // namespace

std::string to_json(const vm_record& record)
{
    return json{{"name", record.name},
                {"region", record.region},
                {"failure_domain", record.failure_domain},
                {"requests", net::to_string(record.requests)},
                {"peers", net::to_string(record.peers)}}
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
    return out;
}

std::uint32_t organisation_number(std::string_view name)
{
    return static_cast<std::uint32_t>(stable_hash(name));
}

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

duration peer_table::message_interval() const
{
    return std::clamp(message_interval_per_vm *
                          static_cast<std::int64_t>(size()),
                      min_message_interval, max_message_interval);
}

bool peer_table::silent(const peer& entry, time_point now) const
{
    const auto limit = std::chrono::duration_cast<duration>(
        message_interval() * silence_limit_intervals);
    return now - std::max(entry.last_heard, entry.first_seen) >
           std::max(min_silence_limit, limit);
}

void peer_table::expire(time_point now)
{
    std::erase_if(peers_,
                  [this, now](const auto& entry) {
                      return !entry.second.listed && silent(entry.second, now);
                  });
}

std::vector<net::endpoint> peer_table::peers() const
{
    std::vector<net::endpoint> out;
    out.reserve(peers_.size());
    for (const auto& [name, entry] : peers_)
    {
        out.push_back(entry.record.peers);
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
