#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/gateway/object_scope.hpp>

#include <algorithm>
#include <array>

namespace siskinflow::gateway
{

namespace
{

/// Objects of a service per target up to which a failure domain keeps them on
/// its own targets. A target holds about 25 to 80 objects.
constexpr double max_objects_per_target = 24;
/// Exchanges after which the average is used.
constexpr std::size_t min_exchanges = 4;
/// Weight of one exchange in the average, after the first ones.
constexpr double exchange_weight = 0.02;

constexpr std::array<std::string_view, 2> scope_names = {"domain", "region"};

} // namespace

std::string_view name(object_scope scope) noexcept
{
    return enum_name(scope_names, scope);
}

object_scope choose_scope(const scope_inputs& inputs, double max_region_bytes)
{
    const bool domain_holds_objects =
        inputs.objects <=
        static_cast<double>(inputs.domain_targets) * max_objects_per_target;
    const bool small_exchanges =
        inputs.exchange_bytes && *inputs.exchange_bytes <= max_region_bytes;
    return domain_holds_objects && !small_exchanges ? object_scope::domain
                                                    : object_scope::region;
}

void exchange_size::observe(std::size_t bytes)
{
    ++count_;
    const double weight =
        std::max(exchange_weight, 1 / static_cast<double>(count_));
    average_ += weight * (static_cast<double>(bytes) - average_);
}

std::optional<double> exchange_size::average() const
{
    return count_ < min_exchanges ? std::nullopt : std::optional(average_);
}

} // namespace siskinflow::gateway
