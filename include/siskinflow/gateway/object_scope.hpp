/// @file
/// @brief Decides over which targets the objects of a service are spread.
///
/// Load pattern: all targets cold, hundreds of objects, each requested about
/// once a second in the whole fleet. A domain that keeps its own copy of each
/// object sees a request for it every few seconds and stays cold that long. A
/// region warms up in a fraction of that time, at the price of the bytes that
/// cross between its failure domains, which matter for large answers only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace siskinflow::gateway
{

/// @brief Targets over which the objects of a service are spread.
enum class object_scope : std::uint8_t
{
    domain, ///< Those of the VM's failure domain; others only without room.
    region, ///< Those of the VM's region.
};

/// @brief Name of a scope in snake_case.
std::string_view name(object_scope scope) noexcept;

/// @brief What is known about a service when its scope is decided.
struct scope_inputs
{
    double objects = 0;             ///< Expected number of objects.
    std::size_t domain_targets = 0; ///< Targets in the VM's failure domain.
    /// Mean size of a request and its answer; empty if there was none yet.
    std::optional<double> exchange_bytes;
};

/// @brief Decides the scope.
/// @param inputs the service
/// @param max_region_bytes largest mean exchange, in bytes, that may cross
/// between the failure domains of a region
object_scope choose_scope(const scope_inputs& inputs, double max_region_bytes);

/// @brief Moving average of the bytes of a request and its answer.
class exchange_size
{
public:
    /// @brief Adds one exchange.
    void observe(std::size_t bytes);

    /// @brief The average, empty until there are a few exchanges.
    std::optional<double> average() const;

private:
    double average_ = 0;
    std::size_t count_ = 0;
};

} // namespace siskinflow::gateway
