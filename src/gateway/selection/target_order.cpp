#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/selection/target_order.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>

namespace siskinflow::gateway::selection
{

namespace
{

/// Targets that are expected below the first bound of the scores. Fewer than 8
/// are below it for 1 object in 100, which needs a second scan.
constexpr double expected_below_bound = 16;

/// Uniform in [0, 1), independent for each pair.
double uniform(std::uint64_t object, std::uint64_t key)
{
    constexpr int fraction_bits = 53;
    constexpr double unit = 1.0 / (1ULL << fraction_bits);
    const std::uint64_t bits = XXH3_64bits_withSeed(&key, sizeof(key), object);
    return static_cast<double>(bits >> (64 - fraction_bits)) * unit;
}

} // namespace

struct target_order::scored
{
    double score;
    std::uint64_t key; ///< Decides between equal scores on all VMs alike.
    std::uint32_t index;

    bool operator<(const scored& other) const
    {
        return std::tie(score, key) < std::tie(other.score, other.key);
    }
};

/// The targets with the lowest scores so far, in ascending order.
class target_order::best_targets
{
public:
    best_targets(std::size_t wanted, double bound)
        : wanted_(std::min(wanted, max_ordered_targets)), bound_(bound)
    {
    }

    /// Scores from which a target is not among the best.
    double bound() const
    {
        return bound_;
    }

    void add(const scored& entry)
    {
        if (count_ == wanted_ && !(entry < entries_[count_ - 1]))
        {
            return;
        }
        count_ += count_ < wanted_ ? 1 : 0;
        std::size_t position = count_ - 1;
        while (position > 0 && entry < entries_[position - 1])
        {
            entries_[position] = entries_[position - 1];
            --position;
        }
        entries_[position] = entry;
        if (count_ == wanted_)
        {
            bound_ = std::min(bound_, entries_[count_ - 1].score);
        }
    }

    std::span<const scored> entries() const
    {
        return {entries_.data(), count_};
    }

private:
    std::array<scored, max_ordered_targets> entries_;
    std::size_t count_ = 0;
    std::size_t wanted_;
    double bound_;
};

std::uint64_t order_key(std::string_view name)
{
    return stable_hash(name);
}

double order_score(std::uint64_t object, const weighted_key& member)
{
    const double weight = std::max(1U, member.weight);
    return -std::log1p(-uniform(object, member.key)) / weight;
}

target_order::target_order(std::span<const weighted_key> targets)
{
    keys_.reserve(targets.size());
    inverse_weights_.reserve(targets.size());
    weights_before_.reserve(targets.size() + 1);
    for (const weighted_key& entry : targets)
    {
        const double weight = std::max(1U, entry.weight);
        keys_.push_back(entry.key);
        inverse_weights_.push_back(1 / weight);
        weights_before_.push_back(weights_before_.back() + weight);
    }
}

void target_order::scan(std::uint64_t object, index_range range,
                        std::span<const std::uint32_t> excluded,
                        best_targets& best) const
{
    for (std::uint32_t i = range.begin; i < range.end; ++i)
    {
        const double part = uniform(object, keys_[i]);
        // -log(1 - part) is at least `part`; most targets end here.
        if (part * inverse_weights_[i] > best.bound())
        {
            continue;
        }
        const double score = -std::log1p(-part) * inverse_weights_[i];
        if (score > best.bound() ||
            std::find(excluded.begin(), excluded.end(), i) != excluded.end())
        {
            continue;
        }
        best.add({score, keys_[i], i});
    }
}

std::size_t target_order::first(std::uint64_t object,
                                std::span<const index_range> ranges,
                                std::span<const std::uint32_t> excluded,
                                std::span<std::uint32_t> out) const
{
    double weight = 0;
    std::size_t targets = 0;
    for (const index_range& range : ranges)
    {
        weight += weights_before_[range.end] - weights_before_[range.begin];
        targets += range.size();
    }
    const std::size_t wanted =
        std::min({out.size(), targets, max_ordered_targets});
    if (wanted == 0)
    {
        return 0;
    }
    const auto search = [&](double bound)
    {
        best_targets best(wanted, bound);
        for (const index_range& range : ranges)
        {
            scan(object, range, excluded, best);
        }
        return best;
    };
    constexpr double unbounded = std::numeric_limits<double>::infinity();
    const bool few = static_cast<double>(targets) < 2 * expected_below_bound;
    best_targets best = search(few ? unbounded : expected_below_bound / weight);
    if (!few && best.entries().size() < wanted)
    {
        best = search(unbounded);
    }
    std::transform(best.entries().begin(), best.entries().end(), out.begin(),
                   [](const scored& entry) { return entry.index; });
    return best.entries().size();
}

} // namespace siskinflow::gateway::selection
