/// @file
/// @brief Orders the targets of an object and chooses one of them.
#pragma once

#include <siskinflow/gateway/placement.hpp>
#include <siskinflow/gateway/target_index.hpp>
#include <siskinflow/gateway/targets.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
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

struct choice_explanation;

/// @brief Chooses targets for the requests of one VM.
///
/// Every VM of a region orders the targets of an object by the same hash, so
/// the object stays on the same few targets without coordination between VMs.
/// The order starts in the VM's failure domain or covers its region; see
/// `choose_scope`.
///
/// A choice looks at the first targets of the order, at those that hold the
/// object and at untried ones. It looks at all targets of the service only if
/// none of these is as good as an idle target further back may be.
class target_chooser
{
public:
    target_chooser(target_directory& targets, placement_costs costs);

    /// @brief Chooses a target for one request. The VM's own region is
    /// preferred, or the other regions if `prefer_other_regions` is set; the
    /// rest is used only if no preferred target admits requests.
    choice_outcome choose(const choice_request& request, time_point now);

    /// @brief Tells what `choose` would decide now, and what excludes the other
    /// targets of the service. Changes nothing.
    choice_explanation explain(const choice_request& request,
                               time_point now) const;

    /// @brief When the first of the targets that a request may use wants
    /// requests again, those already tried included.
    /// @return nothing if one of them wants requests now, or if there is none
    std::optional<time_point> wanted_again_at(const choice_request& request,
                                              time_point now) const;

private:
    /// Leading targets of an object's order that have a rank of their own.
    static constexpr std::size_t ordered_target_count = 8;

    /// Targets that a request may use, in the order of preference: those of
    /// the preferred regions in tiers 0 and 1, the rest in tier 2.
    struct target_tiers
    {
        static constexpr std::size_t preferred = 2;
        std::array<std::vector<selection::index_range>, preferred + 1> ranges;
        std::vector<std::uint32_t> excluded;

        void clear();
        bool is_excluded(std::uint32_t index) const;
        bool is_preferred(std::uint32_t index) const;
        std::size_t count(std::size_t begin, std::size_t end) const;
    };

    /// Inputs of one choice and its candidates; reused to avoid allocations.
    struct evaluation
    {
        const choice_request* request = nullptr;
        const target_index* index = nullptr;
        const object_locations* locations = nullptr;
        time_point now{};
        /// Orders the targets: hash of the object, or any other number.
        std::uint64_t order_hash = 0;
        double average_peer_load = 0;
        target_tiers tiers;
        std::vector<std::uint32_t> recent; ///< Targets that hold the object.
        std::array<std::uint32_t, ordered_target_count> ranked{};
        std::size_t ranked_count = 0;
        std::vector<candidate> options;

        void rank(std::size_t first_tier, std::size_t last_tier);
        bool is_ranked(std::uint32_t index) const;
        void add_option(std::uint32_t index, unsigned rank);
        void add_others(std::size_t tier, unsigned rank);
    };

    target_index& index_of(std::string_view service);
    void start(evaluation& current, const choice_request& request,
               const target_index& index, std::uint64_t order_hash,
               time_point now) const;
    void find_tiers(evaluation& current) const;
    bool orders_by_domain(const evaluation& current,
                          bool own_region_allowed) const;
    object_scope scope_for(const evaluation& current,
                           std::size_t domain_targets) const;
    void prefer_one_domain(evaluation& current) const;
    choice_outcome evaluate(evaluation& current) const;
    choice_outcome evaluate_preferred(evaluation& current) const;
    std::optional<placement> place_overflow(evaluation& current) const;
    void add_leading(evaluation& current) const;
    void add_all(evaluation& current) const;
    candidate best_other(const evaluation& current) const;
    std::optional<placement> place_leading(evaluation& current) const;
    choice_outcome place_options(const evaluation& current) const;
    choice_outcome outcome_of(const evaluation& current,
                              const placement& placed) const;

    target_directory& targets_;
    placement_costs costs_;
    std::map<std::string, target_index, std::less<>> indices_; ///< By service.
    evaluation evaluation_;
    std::uint64_t requests_without_object_ = 0;
};

} // namespace siskinflow::gateway
