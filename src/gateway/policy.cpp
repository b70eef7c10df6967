#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/policy.hpp>

#include <algorithm>
#include <cctype>
#include <cstring>

namespace siskinflow::gateway
{

namespace
{

std::string host_name(std::string_view host)
{
    const std::string_view name = host.substr(0, host.find(':'));
    std::string out(name);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return out;
}

bool has_longer_prefix(const route_policy* left, const route_policy* right)
{
    return left->path_prefix.size() > right->path_prefix.size();
}

} // namespace

bool region_allowed(const route_policy& route,
                    const organisation_policy* organisation,
                    std::string_view region)
{
    const auto allows = [region](const std::vector<std::string>& regions)
    {
        return regions.empty() || std::find(regions.begin(), regions.end(),
                                            region) != regions.end();
    };
    return allows(route.allowed_regions) &&
           (organisation == nullptr || allows(organisation->allowed_regions));
}

std::uint64_t object_hash(std::string_view object, std::string_view service)
{
    return stable_hash(object, stable_hash(service));
}

std::size_t
policy_index::digest_hash::operator()(const key_digest& digest) const noexcept
{
    std::size_t out = 0;
    std::memcpy(&out, digest.data(), sizeof(out));
    return out;
}

policy_index::policy_index(policy document) : document_(std::move(document))
{
    for (const route_policy& route : document_.routes)
    {
        by_host_[host_name(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : by_host_)
    {
        std::stable_sort(routes.begin(), routes.end(), has_longer_prefix);
    }
    for (const organisation_policy& organisation : document_.organisations)
    {
        for (const key_digest& key : organisation.keys)
        {
            by_key_.emplace(key, &organisation);
        }
    }
    for (const service_policy& service : document_.services)
    {
        by_service_.emplace(service.name, &service);
    }
}

const route_policy* policy_index::find_route(std::string_view host,
                                             std::string_view path) const
{
    const auto found = by_host_.find(host_name(host));
    if (found == by_host_.end())
    {
        return nullptr;
    }
    for (const route_policy* route : found->second)
    {
        if (path.starts_with(route->path_prefix))
        {
            return route;
        }
    }
    return nullptr;
}

const organisation_policy*
policy_index::find_organisation(std::string_view key) const
{
    const auto found = by_key_.find(digest_of(key));
    return found == by_key_.end() ? nullptr : found->second;
}

const service_policy* policy_index::find_service(const std::string& name) const
{
    const auto found = by_service_.find(name);
    return found == by_service_.end() ? nullptr : found->second;
}

} // namespace siskinflow::gateway
