/// @file
/// @brief Names, capacities and owners of budgets.
#pragma once

#include <siskinflow/config/configuration.hpp>
#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/fleet/fleet_record.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinflow
{

/// @brief Lease of a share, counted by the holder from the send time of the
/// report that a grant answers.
constexpr duration share_ttl = std::chrono::seconds(3);

/// @brief Lease as counted by the owner from the receipt of a report. The 10%
/// covers clocks that run at different speeds.
constexpr duration share_lease_at_owner = share_ttl + share_ttl / 10;

/// @brief Hash of a budget's name; keeps messages smaller than the name would.
struct budget_id
{
    std::uint64_t value = 0;

    budget_id() = default;
    // Implicit, so that callers may pass the name.
    budget_id(std::string_view name) : value(stable_hash(name)) {}
    budget_id(const std::string& name) : value(stable_hash(name)) {}
    budget_id(const char* name) : value(stable_hash(name)) {}

    auto operator<=>(const budget_id&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value);
    }
};

/// @brief What a budget limits.
enum class budget_kind : std::uint8_t
{
    rate,  ///< Tokens per second with a burst.
    count, ///< Whole units in use at once.
};

/// @brief Name of a kind, "unknown" if undefined.
std::string_view name(budget_kind kind) noexcept;

/// @brief A budget as the configuration defines it.
struct budget_spec
{
    std::string name;
    budget_kind kind = budget_kind::rate;
    double size = 0;  ///< Tokens per second, or units.
    double burst = 0; ///< Tokens; 0 for counts.
    duration warm_up{0};
    std::string region;         ///< Preferred region of the owner.
    std::string failure_domain; ///< Preferred failure domain of the owner.

    bool operator==(const budget_spec&) const = default;
};

/// @brief `org:<name>`
std::string organisation_budget(std::string_view organisation);

/// @brief `link:<from>:<to>`
std::string link_budget(std::string_view from, std::string_view to);

/// @brief `slots:<target>`
std::string slots_budget(std::string_view target);

/// @brief Budgets of a configuration. A leaving target has 0 slots.
std::vector<budget_spec> budgets_of(const configuration& config);

/// @brief Chooses the owner of a budget; null if there is none.
using owner_chooser = std::function<const member*(const fleet_record& record,
                                                  const budget_spec& spec)>;

/// @brief Owners of all budgets in one epoch.
struct ownership
{
    std::uint64_t epoch = 0;
    bool is_member = false; ///< Whether this VM is a member.
    /// Whether members of the previous epoch were removed; requests that
    /// they sent may still be running.
    bool members_removed = false;
    std::vector<incarnation_id> members;
    std::unordered_map<std::uint64_t, incarnation_id> owners;

    /// @brief Owner of a budget; an empty id if there is none.
    incarnation_id owner_of(budget_id budget) const;
};

/// @brief Computes the owners of all budgets.
ownership make_ownership(const fleet_record& record, const incarnation_id& self,
                         const std::vector<budget_spec>& specs,
                         const owner_chooser& choose_owner);

} // namespace siskinflow

template <>
struct std::hash<siskinflow::budget_id>
{
    std::size_t operator()(const siskinflow::budget_id& id) const noexcept
    {
        return id.value;
    }
};
