/// @file
/// @brief Settings of the gateway daemon.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/gateway/peers.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/telemetry/log.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Validated settings; docs/gateway-settings.md describes each.
struct gateway_settings
{
    vm_record self;
    net::endpoint readiness_listen;
    net::endpoint directory_listen;
    net::endpoint metrics_listen;
    net::endpoint store;
    /// Region of each failure domain of the deployment.
    std::map<std::string, std::string> regions;
    std::size_t max_connections = 0;
    std::size_t memory_bytes = 256UL << 20; ///< Of the machine.
    std::size_t max_descriptors = 4096;     ///< Of the process.
    duration stop_grace{0};      ///< From SIGTERM to the forced exit.
    duration lookup_lifetime{0}; ///< Of a lookup answer.
    /// Time within which a change must be in force on all VMs.
    duration policy_limit{0}; ///< Of the operators' entries.
    duration drain_limit{0};  ///< Of a target's registration.
    /// Age of the configuration up to which keys are accepted; no limit if
    /// empty.
    std::optional<duration> revocation_limit;
    double retry_ratio = 0; ///< Retries per request, over all VMs.
    double retry_slack = 0; ///< Retries beyond the ratio, over all VMs.
    /// Requests per second that a cold target may get beyond its rate, over all
    /// VMs.
    double cold_slack = 0;
    /// Mean bytes of a request and its answer up to which the objects of a
    /// service are spread over the region.
    double region_exchange_bytes = 0;
    log_level level = log_level::info;
    log_format format = log_format::logfmt;
};

/// @brief Names of all flags of the gateway daemon, in the order of the
/// documentation.
const std::vector<std::string>& gateway_setting_names();

/// @brief Reads the settings from environment and command line.
/// @return the settings; nothing if --help was given; otherwise
/// `errc::invalid_argument` with one line that names the flag
result<std::optional<gateway_settings>>
load_gateway_settings(int argc, const char* const* argv);

/// @brief Text for --help.
std::string gateway_settings_help();

} // namespace siskinflow::gateway
