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

/// @brief Parameters of a target choice.
struct choice_request
{
    std::string_view service;
    /// Hash of the object; nothing if the route has no affinity.
    std::optional<std::uint64_t> object;
    std::function<bool(std::string_view region)> region_allowed;
    std::span<const std::string> excluded; ///< Ids of targets already tried.
    bool prefer_other_regions = false;     ///< Try other regions first.
    /// Use the regions that are not preferred if the preferred ones have no
    /// room and the others can answer on time.
    bool may_overflow = false;
    work_time work;
    remaining_time remaining;
};

/// @brief A chosen target.
struct target_choice
{
    target_ptr chosen;
    placement place;
    bool overflow = false; ///< Because the preferred regions had no room.
};

/// @brief Why no target was chosen.
enum class choice_failure : std::uint8_t
{
    no_target, ///< No target is eligible for the request.
    no_room,   ///< Eligible targets exist, but none has room.
    too_late,  ///< None can answer before the deadline.
};

std::string_view name(choice_failure value) noexcept;

/// @brief Either the chosen target or the reason why there is none.
struct choice_outcome
{
    std::optional<target_choice> choice;
    choice_failure failure = choice_failure::no_target;
};

/// @brief Chooses targets for the requests of one VM.
///
/// Every VM of a region orders the targets of an object by the same hash, so
/// the object stays on the same few targets without coordination between VMs.
/// The order starts in the VM's failure domain or covers its region; see
/// `choose_scope`.
class target_chooser
{
public:
    target_chooser(target_directory& targets, placement_costs costs);

    /// @brief Chooses a target for one request. The VM's own region is
    /// preferred, or the other regions if `prefer_other_regions` is set; the
    /// rest is used only if no preferred target admits requests.
    choice_outcome choose(const choice_request& request, time_point now);

    /// @brief When the first of the targets that a request may use wants
    /// requests again, those already tried included.
    /// @return nothing if one of them wants requests now, or if there is none
    std::optional<time_point> wanted_again_at(const choice_request& request,
                                              time_point now) const;

private:
    struct ranked_target
    {
        target* entry;
        distance target_distance;
        std::uint64_t weight;
    };

    double expected_objects(std::string_view service) const;
    bool usable(const target& entry, const choice_request& request) const;
    std::vector<ranked_target> eligible_targets(const choice_request& request);
    void sort_by_preference(std::vector<ranked_target>& ranked_targets,
                            const choice_request& request);
    std::vector<candidate>
    candidates(const std::vector<ranked_target>& ranked_targets,
               const choice_request& request, time_point now);
    std::optional<placement>
    place_overflow(std::span<const candidate> overflow,
                   const choice_request& request) const;

    target_directory& targets_;
    placement_costs costs_;
};

} // namespace siskinflow::gateway
