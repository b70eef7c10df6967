/// @file
/// @brief Orders the targets of an object and chooses one of them.
#pragma once

#include <siskinflow/gateway/placement.hpp>
#include <siskinflow/gateway/targets.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::gateway
{

/// @brief What the choice depends on.
struct choice_request
{
    std::string_view service;
    /// Hash of the object; nothing if the route has no affinity.
    std::optional<std::uint64_t> object;
    std::function<bool(std::string_view region)> region_allowed;
    std::span<const std::string> excluded; ///< Ids of targets already tried.
    bool prefer_other_regions = false;     ///< Other regions go first.
    work_time work;
    remaining_time remaining;
};

/// @brief A chosen target.
struct target_choice
{
    target_ptr chosen;
    placement place;
};

/// @brief Why nothing was chosen.
enum class choice_failure : std::uint8_t
{
    no_target, ///< No target may get the request at all.
    no_room,   ///< Targets exist, but none has room now.
    too_late,  ///< None can answer before the deadline.
};

std::string_view name(choice_failure value) noexcept;

/// @brief Either a target or the reason why there is none.
struct choice_outcome
{
    std::optional<target_choice> choice;
    choice_failure failure = choice_failure::no_target;
};

/// @brief Chooses targets for the requests of one VM.
///
/// Every VM of a region orders the targets of an object by the same hash, so
/// that the object stays on the same few targets without any message. The
/// order begins in the VM's failure domain if its targets can hold the objects
/// of the service, and else in its region.
class target_chooser
{
public:
    target_chooser(target_directory& targets, placement_costs costs);

    /// @brief Chooses for one request. A request goes to the side that its
    /// `prefer_other_regions` names, and to the other one only if no target of
    /// that side may get any request.
    choice_outcome choose(const choice_request& request, time_point now);

private:
    struct ranked_target
    {
        target* entry;
        distance target_distance;
        std::uint64_t weight;
    };

    double expected_objects(std::string_view service) const;
    std::vector<ranked_target> eligible_targets(const choice_request& request);
    void sort_by_preference(std::vector<ranked_target>& ranked_targets,
                            const choice_request& request);
    std::vector<candidate>
    candidates(const std::vector<ranked_target>& ranked_targets,
               const choice_request& request, time_point now);

    target_directory& targets_;
    placement_costs costs_;
};

} // namespace siskinflow::gateway
