/// @file
/// @brief Operators' configuration of a gateway, and its index.
#pragma once

#include <siskinflow/admission/tenant_keys.hpp>
#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Version of a policy; later versions are larger.
using policy_version = std::uint64_t;

/// @brief A service of a route and its share of the requests.
struct weighted_service
{
    std::string service;
    double weight = 1; ///< Relative to the route's other services.
};

/// @brief Which requests a route takes and how they are handled.
struct route_policy
{
    std::string name;
    std::string host;
    std::string path_prefix;   ///< Begins and ends with a slash.
    bool idempotent = false;   ///< Whether a request may run more than once.
    duration timeout{0};       ///< Longest time until the final answer.
    duration objective{0};     ///< Latency up to which an answer is on time.
    int priority = 0;          ///< 0 is the most urgent.
    unsigned max_attempts = 1; ///< Targets that may run one request.
    bool open = false;         ///< Served without a key.
    bool affinity = false;     ///< Targets are faster on recent objects.
    std::vector<weighted_service> services;   ///< At least one.
    std::vector<std::string> allowed_regions; ///< Empty: all.
};

/// @brief Configuration of the targets of one service.
struct service_policy
{
    std::string name;
    std::string health_path;
    unsigned max_connections = 0;  ///< Of one target, from all VMs together.
    duration warm_up{0};           ///< Time for which a new target is cold.
    double warm_up_rate_per_s = 0; ///< Request rate limit while cold.
};

/// @brief A tenant. Only digests of its keys are stored.
struct organisation_policy
{
    std::string name;
    std::vector<key_digest> keys;
    int priority = 0;      ///< Compared before the priority of the route.
    double rate_per_s = 0; ///< Over all VMs; 0 means no limit.
    double burst = 0;      ///< Requests above the rate.
    std::vector<std::string> allowed_regions; ///< Empty: all.
};

/// @brief What callers may send.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1U << 20;
    duration header_timeout = std::chrono::seconds(10);
    duration idle_timeout = std::chrono::seconds(30);
};

/// @brief A complete configuration, immutable once it is in force.
struct policy
{
    policy_version version = 0;
    std::vector<route_policy> routes;
    std::vector<service_policy> services;
    std::vector<organisation_policy> organisations;
    bool keys_required = false; ///< Whether organisations are configured.
    caller_limits limits;
};

/// @brief Whether a request may run in a region.
/// @param organisation null on open routes
bool region_allowed(const route_policy& route,
                    const organisation_policy* organisation,
                    std::string_view region);

/// @brief Hash of an object of a service, the same on every VM.
std::uint64_t object_hash(std::string_view object, std::string_view service);

/// @brief Finds routes, services and organisations of one policy.
class policy_index
{
public:
    explicit policy_index(policy document);

    const policy& document() const
    {
        return document_;
    }

    /// @brief Finds the route of the host with the longest matching path
    /// prefix.
    /// @param host may carry a port, which is ignored
    /// @return null if there is none
    const route_policy* find_route(std::string_view host,
                                   std::string_view path) const;

    /// @brief Finds the organisation that holds a key; null if there is none.
    const organisation_policy* find_organisation(std::string_view key) const;

    /// @brief Finds a service by name; null if there is none.
    const service_policy* find_service(const std::string& name) const;

private:
    struct digest_hash
    {
        std::size_t operator()(const key_digest& digest) const noexcept;
    };

    policy document_;
    /// Routes of a host, the longest prefix first.
    std::unordered_map<std::string, std::vector<const route_policy*>> by_host_;
    std::unordered_map<key_digest, const organisation_policy*, digest_hash>
        by_key_;
    std::unordered_map<std::string, const service_policy*> by_service_;
};

} // namespace siskinflow::gateway
