/// @file
/// @brief Chooses the target of a request from expected completion times.
///
/// Load pattern: far more work than slots when targets are cold, and three
/// times as many slots as work when each object stays on the targets that
/// have handled it. A request therefore waits a little for a warm target
/// rather than run cold on a free one, and goes to another failure domain or
/// region only if it would be late at home.
#pragma once

#include <siskinflow/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace siskinflow::gateway
{

/// @brief Where a target is, seen from this VM.
enum class distance : std::uint8_t
{
    same_domain,  ///< In the VM's failure domain.
    same_region,  ///< In another failure domain of the VM's region.
    other_region, ///< In another region.
};

/// @brief Whether a target has the object of a request at hand.
enum class object_state : std::uint8_t
{
    cold,   ///< No request on it was sent there lately.
    likely, ///< Other VMs send the object there by the same order.
    recent, ///< This VM sent a request on it there lately.
};

std::string_view name(object_state value) noexcept;

/// @brief A target that may get the request.
struct candidate
{
    std::uint32_t target = 0; ///< Given back by `place`.
    distance target_distance = distance::same_domain;
    object_state object = object_state::cold;
    double warm_chance = 0; ///< That it does warm work, from 0 to 1.
    unsigned rank = 0;      ///< Position in the order of the object's targets.
    double load = 0;        ///< Requests that run or wait there, of all VMs.
    unsigned slots = 1;     ///< Requests that run at once.
    double slowness = 1;    ///< Measured work time over that of its service.
    bool untried = false;   ///< This VM has not sent it anything yet.
};

/// @brief Work time of one request of a route at an idle target.
struct work_time
{
    duration cold{0}; ///< The target does not have the object at hand.
    duration warm{0};
};

/// @brief Time that a request has left.
struct remaining_time
{
    duration objective{0}; ///< Until the answer is late; may be negative.
    duration deadline{0};  ///< Until nobody waits for the answer.
};

/// @brief Prices and estimates of the ways to targets, as time.
struct placement_costs
{
    /// Round trip to another region.
    duration region_round_trip = std::chrono::milliseconds(90);
    /// What crossing to another failure domain is worth in latency.
    duration domain_crossing_penalty = std::chrono::milliseconds(40);
    /// What crossing to another region is worth in latency, beside the trip.
    duration region_crossing_penalty = std::chrono::milliseconds(120);
    /// Cost of one step down the object's order: keeps objects together.
    duration cost_per_rank = std::chrono::milliseconds(20);
    /// Cost of an answer that is expected after the objective.
    duration late_penalty = std::chrono::milliseconds(1500);
    /// Advantage of an untried target in the VM's failure domain: without its
    /// first requests a new target holds no object, and would never be the
    /// best.
    duration first_request_bonus = std::chrono::milliseconds(2500);
};

/// @brief The choice.
struct placement
{
    std::uint32_t target = 0;
    duration expected{0}; ///< Until the answer.
    bool on_time = false; ///< Expected within the objective.
    object_state object = object_state::cold;
    unsigned rank = 0; ///< Of the target in the order of the object.
};

/// @brief Expected time from now to the answer of a candidate.
duration expected_completion(const candidate& option, const work_time& work,
                             const placement_costs& costs);

/// @brief Chooses the candidate of the lowest cost that may well answer before
/// the deadline. A request that would be late queues at no target: the slot
/// goes to one that can be on time.
/// @return nothing if no candidate has room for it now
std::optional<placement> place(std::span<const candidate> candidates,
                               const work_time& work,
                               const remaining_time& remaining,
                               const placement_costs& costs = {});

} // namespace siskinflow::gateway
