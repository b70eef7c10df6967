/// @file
/// @brief Why a target would be chosen for a request and why others would not.
#pragma once

#include <siskinflow/gateway/placement.hpp>
#include <siskinflow/gateway/target_chooser.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Why a target does not get a request.
enum class target_exclusion : std::uint8_t
{
    none,             ///< It is a candidate.
    draining,         ///< Its registration says that it stops.
    leaving,          ///< It has said that it leaves.
    evacuated,        ///< Its failure domain is evacuated.
    forbidden_region, ///< The route or organisation may not use its region.
    tried,            ///< It has been tried for this request.
    paused,           ///< It has asked for a pause.
    ejected,          ///< It failed too often.
    warming_up,       ///< This VM has used up its rate while it is cold.
    other_region,     ///< A target of a preferred region admits requests.
    no_room,          ///< Its slots and its queue are full.
    too_late,         ///< It would answer after the deadline.
};

std::string_view name(target_exclusion value) noexcept;

/// @brief One registered target of the service.
struct explained_target
{
    std::string id;
    std::string failure_domain;
    std::string region;
    target_exclusion excluded = target_exclusion::none;
    /// The rest is set for candidates and for those without room or too late.
    unsigned rank = 0; ///< Position in the object's order, 8 for all others.
    object_state object = object_state::cold;
    double warm_chance = 0;
    double load = 0;
    unsigned slots = 0;
    duration expected{0}; ///< Until the answer.
};

/// @brief A choice that was not carried out.
struct choice_explanation
{
    choice_outcome outcome;
    std::vector<explained_target> targets; ///< Candidates first, by rank.
};

} // namespace siskinflow::gateway
