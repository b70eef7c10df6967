/// @file
/// @brief Order of the targets of an object, weighted by their slots.
///
/// Load pattern: targets leave, join, restart and change their size while each
/// object is warm on few targets. An object that changes its first target runs
/// cold there, so only the objects of changed targets may move. The method is
/// weighted rendezvous hashing: each target has a score for each object, which
/// depends on nothing but the two, so that VMs that know different sets of
/// targets agree on the order of those that they share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace siskinflow::gateway::selection
{

/// @brief Highest number of targets that are ordered for one object.
inline constexpr std::size_t max_ordered_targets = 16;

/// @brief Identifies a target in the orders of all objects.
std::uint64_t order_key(std::string_view name);

/// @brief A target of an order.
struct weighted_key
{
    std::uint64_t key = 0; ///< From `order_key`.
    unsigned weight = 1;   ///< Its slots; 0 counts as 1.
};

/// @brief Score of a member for an object; the lowest one is first in its
/// order. Members are targets, or groups of them such as failure domains.
double order_score(std::uint64_t object, const weighted_key& member);

/// @brief Consecutive targets of an order, by their index.
struct index_range
{
    std::uint32_t begin = 0;
    std::uint32_t end = 0; ///< One past the last.

    std::uint32_t size() const
    {
        return end - begin;
    }

    bool contains(std::uint32_t index) const
    {
        return index >= begin && index < end;
    }

    bool operator==(const index_range&) const = default;
};

/// @brief Orders targets for an object.
class target_order
{
public:
    target_order() = default;

    /// @brief Takes the targets; their indices are their positions here.
    explicit target_order(std::span<const weighted_key> targets);

    /// @brief Finds the first targets of an object. The chance of a target to
    /// be first is proportional to its weight.
    /// @param object hash of the object
    /// @param ranges targets to order; they do not overlap
    /// @param excluded indices of targets that are left out
    /// @param out receives indices, at most `max_ordered_targets`
    /// @return number of targets written
    std::size_t first(std::uint64_t object, std::span<const index_range> ranges,
                      std::span<const std::uint32_t> excluded,
                      std::span<std::uint32_t> out) const;

    std::size_t size() const
    {
        return keys_.size();
    }

private:
    struct scored;
    class best_targets;

    void scan(std::uint64_t object, index_range range,
              std::span<const std::uint32_t> excluded,
              best_targets& best) const;

    std::vector<std::uint64_t> keys_;
    std::vector<double> inverse_weights_;
    /// Sum of the weights of all targets before an index.
    std::vector<double> weights_before_ = {0};
};

} // namespace siskinflow::gateway::selection
