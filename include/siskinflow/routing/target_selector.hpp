/// @file
/// @brief Chooses the target of a request.
#pragma once

#include <siskinflow/config/configuration.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/routing/target_health.hpp>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::routing
{

/// @brief Why no target was chosen. The request has not run.
enum class selection_refusal : std::uint8_t
{
    no_target,          ///< No target of the route may get requests.
    region_at_capacity, ///< Targets exist, but none has a free slot.
    link_at_capacity,   ///< Slots are free only behind a full link.
    shift_capped,       ///< Slots are free only where the shift cap forbids.
};

std::string_view name(selection_refusal refusal) noexcept;

/// @brief Properties of a request that the selector uses.
struct selection_request
{
    std::string_view route; ///< Name of the route.
    bool idempotent = true;
    std::size_t expected_bytes = 0; ///< Of the response, for the link.
    /// Targets that this request must not be sent to (earlier attempts).
    std::span<const std::string_view> excluded = {};
};

/// @brief Limits that other modules enforce, checked when a target is chosen.
/// A function that is not set allows everything.
struct selection_limits
{
    /// Whether this VM holds a free slot share of the target.
    std::function<bool(const target_config&)> slot_available;
    /// Whether the link has budget for this many bytes.
    std::function<bool(std::string_view from, std::string_view to,
                       std::size_t bytes)>
        link_has_budget;
    /// Whether the shift limiter allows one more request in the region; called
    /// for the local region too, because its share is limited as well.
    std::function<bool(std::string_view region)> shift_allows;
};

/// @brief A chosen target.
struct selected_target
{
    /// Valid as long as the configuration that was chosen from.
    const target_config* target = nullptr;
    bool local = true;  ///< In this VM's region.
    bool cold = false;  ///< Still warming up.
    bool probe = false; ///< The request probes an ejected target.
};

/// @brief A choice or the reason why there is none.
using selection_result =
    boost::outcome_v2::basic_result<selected_target, selection_refusal,
                                    boost::outcome_v2::policy::terminate>;

/// @brief Settings of a selector.
struct selector_settings
{
    std::string vm;     ///< Name of this VM, for its subset of targets.
    std::string region; ///< Region of this VM.
    /// Connections that this VM may keep to one target.
    std::uint32_t connections_per_target = 8;
    std::uint32_t min_subset = 2; ///< Of a route's targets in a region.
    /// Half-life of the weight of a recent send. It is of the order of the age
    /// of load reports, so that a send counts until a report can include it.
    duration send_half_life = std::chrono::seconds(1);
    double cold_penalty = 0.25; ///< Added load, in requests per slot.
};

/// @brief Number of a route's targets in a region that one VM uses.
///
/// Rendezvous hashing gives each target a binomially distributed number of VMs.
/// The subset is chosen so that the mean plus four standard deviations of the
/// number of VMs stays within `max_connections / connections_per_target`.
/// @return at least `min_subset`, at most `targets`
std::uint32_t subset_size(std::uint32_t targets, std::uint32_t max_connections,
                          std::uint32_t vms, const selector_settings& settings);

/// @brief Power of two choices over the eligible targets of a route.
///
/// Two distinct candidates are drawn uniformly from the targets that may get
/// the request, and the one with the lower load per slot is chosen. The load
/// consists of this VM's requests in flight, its recent sends, and the reported
/// load discounted by age. A target can only be chosen when it is drawn, so no
/// report, however wrong, gives one of n targets more than 2/n of the requests
/// of a region.
class target_selector
{
public:
    /// @param settings names this VM
    /// @param health observations, configured by `configure`; must outlive this
    target_selector(selector_settings settings, target_health& health);
    ~target_selector();

    /// @brief Takes over a configuration (also in `health`) and the size of the
    /// fleet, on which the subsets depend. Requests in flight stay counted.
    /// @return state changes of `health`
    std::vector<health_change>
    configure(std::shared_ptr<const configuration> config, std::size_t vms,
              time_point now);

    /// @brief Chooses a target. Changes nothing; `request_started` follows if
    /// the request is sent.
    /// @return the choice or the reason why there is none
    selection_result choose(const selection_request& request,
                            const selection_limits& limits, time_point now,
                            random_source& rng) const;

    /// @brief Counts a request that is sent to a chosen target, and marks its
    /// target as probing if it is a probe.
    /// @return the state change of a probed target, for the log
    std::optional<health_change> request_started(const selected_target& chosen,
                                                 time_point now);

    /// @brief Counts the end of a request that `request_started` counted. The
    /// outcome goes to `target_health::record`.
    void request_finished(std::string_view target);

    /// @brief This VM's requests in flight at a target, also when the target
    /// is leaving or gone from the configuration.
    std::uint32_t in_flight(std::string_view target) const;

    /// @brief Names of the targets of a route that this VM uses while they are
    /// healthy; the next ones by rank replace those that are not.
    std::vector<std::string> subset(std::string_view route) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow::routing
