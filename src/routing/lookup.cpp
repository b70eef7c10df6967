#include <siskinflow/core/ids.hpp>
#include <siskinflow/routing/lookup.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace siskinflow::routing
{

namespace
{

struct vm_entry
{
    member vm;
    std::optional<site_number> site;
    std::size_t region = 0; ///< Position in the list of regions.
    std::uint64_t hash = 0; ///< Of the incarnation.
    std::string json;       ///< Object in the answer.
};

constexpr std::size_t no_region = std::numeric_limits<std::size_t>::max();

/// Properties of a caller that determine the order of the VMs.
struct caller_location
{
    std::uint64_t hash = 0;
    std::optional<site_number> site;
    std::size_t region = no_region;
};

/// A VM with its sort key for one caller; smaller keys come first.
struct ranked_vm
{
    std::uint8_t proximity = 0; ///< 0 same site, 1 same region, 2 other.
    std::uint64_t rank = 0;
    const vm_entry* entry = nullptr;

    bool operator<(const ranked_vm& other) const
    {
        return proximity != other.proximity ? proximity < other.proximity
                                            : rank < other.rank;
    }
};

/// Finalizer of splitmix64: spreads every input bit over the result.
std::uint64_t mix_bits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31);
}

std::string url_of(const net::endpoint& http)
{
    const bool v6 = http.address.find(':') != std::string::npos;
    const std::string host = v6 ? "[" + http.address + "]" : http.address;
    return "http://" + host + ":" + std::to_string(http.port);
}

std::string json_of(const member& vm)
{
    const nlohmann::ordered_json document{
        {"vm", vm.vm},
        {"url", url_of(vm.http)},
        {"region", vm.region},
        {"failure_domain", vm.failure_domain}};
    return document.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
}

} // namespace

struct lookup::impl
{
    std::size_t region_index(const std::string& region) const;
    std::size_t region_of(site_number site) const;
    caller_location locate(const ip_address& caller,
                           std::optional<site_number> site) const;
    ranked_vm rank_for(const vm_entry& vm, const caller_location& caller) const;
    std::vector<ranked_vm> nearest(const caller_location& caller) const;
    const vm_entry* nearest_in_other_domain(const caller_location& caller,
                                            const std::string& domain) const;
    std::vector<const vm_entry*> find(const ip_address& address,
                                      std::optional<site_number> site) const;

    lookup_settings settings;
    std::vector<vm_entry> entries;
    std::vector<std::string> regions;
    std::vector<std::string> region_of_site;
};

std::size_t lookup::impl::region_index(const std::string& region) const
{
    const auto it = std::find(regions.begin(), regions.end(), region);
    return it == regions.end() ? no_region
                               : static_cast<std::size_t>(it - regions.begin());
}

std::size_t lookup::impl::region_of(site_number site) const
{
    if (site < region_of_site.size() && !region_of_site[site].empty())
    {
        return region_index(region_of_site[site]);
    }
    const auto it =
        std::find_if(entries.begin(), entries.end(),
                     [site](const vm_entry& vm) { return vm.site == site; });
    return it == entries.end() ? no_region : it->region;
}

caller_location lookup::impl::locate(const ip_address& caller,
                                     std::optional<site_number> site) const
{
    return {mix_bits(caller.high + (caller.v6 ? 1 : 0)), site,
            site ? region_of(*site) : no_region};
}

ranked_vm lookup::impl::rank_for(const vm_entry& vm,
                                 const caller_location& caller) const
{
    const std::uint8_t proximity = caller.site && vm.site == caller.site ? 0
                                   : vm.region == caller.region          ? 1
                                                                         : 2;
    return {proximity, mix_bits(vm.hash ^ caller.hash), &vm};
}

std::vector<ranked_vm>
lookup::impl::nearest(const caller_location& caller) const
{
    const auto count = std::min(settings.max_vms, entries.size());
    std::vector<ranked_vm> best;
    best.reserve(count + 1);
    for (const auto& vm : entries)
    {
        const auto candidate = rank_for(vm, caller);
        if (best.size() == count && !(candidate < best.back()))
        {
            continue;
        }
        best.insert(std::upper_bound(best.begin(), best.end(), candidate),
                    candidate);
        if (best.size() > count)
        {
            best.pop_back();
        }
    }
    return best;
}

const vm_entry*
lookup::impl::nearest_in_other_domain(const caller_location& caller,
                                      const std::string& domain) const
{
    std::optional<ranked_vm> best;
    for (const auto& vm : entries)
    {
        const auto candidate = rank_for(vm, caller);
        if (vm.vm.failure_domain != domain && (!best || candidate < *best))
        {
            best = candidate;
        }
    }
    return best ? best->entry : nullptr;
}

std::vector<const vm_entry*>
lookup::impl::find(const ip_address& address,
                   std::optional<site_number> site) const
{
    const auto caller = locate(address, site);
    std::vector<const vm_entry*> out;
    for (const auto& best : nearest(caller))
    {
        out.push_back(best.entry);
    }
    if (out.empty())
    {
        return out;
    }
    const auto& domain = out.front()->vm.failure_domain;
    const bool single_domain = std::all_of(
        out.begin(), out.end(),
        [&](const vm_entry* vm) { return vm->vm.failure_domain == domain; });
    const auto* other =
        single_domain ? nearest_in_other_domain(caller, domain) : nullptr;
    if (other)
    {
        out.insert(out.begin() + 1, other);
        out.resize(std::min(out.size(), settings.max_vms));
    }
    return out;
}

lookup::lookup(
    const fleet_record& record,
    const std::function<lookup_member_state(const member&)>& state_of,
    lookup_settings settings, std::vector<std::string> region_of_site)
    : impl_(std::make_unique<impl>())
{
    impl_->settings = settings;
    impl_->settings.max_vms = std::max<std::size_t>(settings.max_vms, 2);
    impl_->region_of_site = std::move(region_of_site);
    for (const auto& vm : record.members)
    {
        const auto state = state_of(vm);
        if (state.serving)
        {
            if (impl_->region_index(vm.region) == no_region)
            {
                impl_->regions.push_back(vm.region);
            }
            impl_->entries.push_back(
                {vm, state.site, impl_->region_index(vm.region),
                 stable_hash(to_string(vm.incarnation)), json_of(vm)});
        }
    }
}

lookup::~lookup() = default;
lookup::lookup(lookup&&) noexcept = default;
lookup& lookup::operator=(lookup&&) noexcept = default;

lookup_answer lookup::find(const ip_address& caller,
                           std::optional<site_number> site) const
{
    lookup_answer answer;
    answer.lifetime = impl_->settings.lifetime;
    for (const auto* vm : impl_->find(caller, site))
    {
        answer.vms.push_back(&vm->vm);
    }
    return answer;
}

std::string lookup::find_json(const ip_address& caller,
                              std::optional<site_number> site) const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        impl_->settings.lifetime);
    std::string body =
        "{\"lifetime_s\":" + std::to_string(seconds.count()) + ",\"vms\":[";
    bool first = true;
    for (const auto* vm : impl_->find(caller, site))
    {
        if (!first)
        {
            body += ',';
        }
        body += vm->json;
        first = false;
    }
    return body + "]}";
}

} // namespace siskinflow::routing
