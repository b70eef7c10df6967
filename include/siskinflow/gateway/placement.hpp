/// @file
/// @brief Chooses the target of a request from expected completion times.
///
/// Load pattern: far more work than slots when targets are cold, and three
/// times as many slots as work when each object stays on the targets that have
/// handled it. A request therefore waits briefly for a warm target instead of
/// running cold on a free one, and goes to another failure domain or region
/// only if it would be late in its own.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace siskinflow::gateway
{

/// @brief Location of a target relative to this VM.
enum class distance : std::uint8_t
{
    same_domain,  ///< In the VM's failure domain.
    same_region,  ///< In another failure domain of the VM's region.
    other_region, ///< In another region.
};

/// @brief How likely a target holds the object of a request.
enum class object_state : std::uint8_t
{
    cold,   ///< This VM sent no request for it there recently.
    likely, ///< First in the object's order; other VMs send it there too.
    recent, ///< This VM sent a request for it there recently.
};

std::string_view name(object_state value) noexcept;

/// @brief A target that may get the request.
struct candidate
{
    std::uint32_t target = 0; ///< Returned by `place`.
    distance target_distance = distance::same_domain;
    object_state object = object_state::cold;
    double warm_chance = 0; ///< Probability that the target is warm, 0 to 1.
    unsigned rank = 0;      ///< Position in the order of the object's targets.
    double load = 0;        ///< Running and queued requests of all VMs.
    unsigned slots = 1;     ///< Requests that run concurrently.
    double slowness = 1;    ///< Ratio of its work time to its service's.
    bool untried = false;   ///< This VM has sent it no request yet.
};

/// @brief Work time of one request of a route at an idle target.
struct work_time
{
    duration cold{0}; ///< The target does not hold the object.
    duration warm{0};
};

/// @brief Time remaining for a request.
struct remaining_time
{
    duration objective{0}; ///< Until the answer is late; may be negative.
    duration deadline{0};  ///< Until the caller stops waiting.
};

/// @brief Costs of placing a request on a target, expressed as time.
struct placement_costs
{
    /// Round trip to another region.
    duration region_round_trip = std::chrono::milliseconds(90);
    /// Added cost of a target in another failure domain.
    duration domain_crossing_penalty = std::chrono::milliseconds(40);
    /// Mean bytes of a request and its answer up to which the objects of a
    /// service are spread over the region.
    double max_region_bytes = 2048;
    /// Added cost of a target in another region, on top of the round trip.
    duration region_crossing_penalty = std::chrono::milliseconds(120);
    /// Cost of each position in the object's order; keeps requests for an
    /// object on few targets.
    duration cost_per_rank = std::chrono::milliseconds(20);
    /// Cost of an answer that is expected after the objective.
    duration late_penalty = std::chrono::milliseconds(1500);
    /// Cost reduction for an untried target in the VM's failure domain. Without
    /// it, a new target would hold no objects and never be chosen.
    duration first_request_bonus = std::chrono::milliseconds(2500);
};

/// @brief Result of `place`.
struct placement
{
    std::uint32_t target = 0;
    duration expected{0}; ///< Until the answer.
    bool on_time = false; ///< Expected within the objective.
    object_state object = object_state::cold;
    unsigned rank = 0; ///< Position of the target in the object's order.
};

/// @brief Expected time from now to the answer of a candidate.
duration expected_completion(const candidate& option, const work_time& work,
                             const placement_costs& costs);

/// @brief Chooses the candidate with the lowest cost among those likely to
/// answer before the deadline. A request that would be late does not queue at a
/// target, which leaves the place to one that can be on time.
/// @return nothing if no candidate has room now
std::optional<placement> place(std::span<const candidate> candidates,
                               const work_time& work,
                               const remaining_time& remaining,
                               const placement_costs& costs = {});

} // namespace siskinflow::gateway
