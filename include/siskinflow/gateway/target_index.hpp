/// @file
/// @brief The targets of a service that are in service, prepared for choices.
#pragma once

#include <siskinflow/gateway/selection/target_order.hpp>
#include <siskinflow/gateway/targets.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinflow::gateway
{

/// @brief A target of an index.
struct indexed_target
{
    target_ptr subject;
    distance target_distance = distance::same_domain;
};

/// @brief Targets of one failure domain, as a member of the order of domains.
struct indexed_domain
{
    std::uint64_t key = 0; ///< From `selection::order_key`.
    unsigned slots = 0;    ///< Of all its targets.
    selection::index_range range;
};

/// @brief Targets of one region, those of the VM's failure domain first.
struct indexed_region
{
    std::string name;
    selection::index_range own_domain;
    selection::index_range other_domains;
    std::vector<indexed_domain> domains;

    selection::index_range all() const
    {
        return {own_domain.begin, other_domains.end};
    }
};

/// @brief Targets of one service that new requests may go to, apart from their
/// load. Valid for one version of the directory.
class target_index
{
public:
    target_index(const target_directory& targets, const std::string& service);

    /// @brief The directory's version that the index was built from.
    std::uint64_t version() const
    {
        return version_;
    }

    const indexed_target& at(std::uint32_t index) const
    {
        return entries_[index];
    }

    std::size_t size() const
    {
        return entries_.size();
    }

    /// @brief Regions that have targets, the VM's own first.
    const std::vector<indexed_region>& regions() const
    {
        return regions_;
    }

    const selection::target_order& order() const
    {
        return order_;
    }

    /// @brief Finds a target by id; nothing if it is not in service.
    std::optional<std::uint32_t> find(std::string_view id) const;

    /// @brief Targets of the VM's failure domain that it has sent no request.
    const std::vector<std::uint32_t>& untried() const
    {
        return untried_;
    }

    /// @brief Drops targets that have been tried meanwhile from `untried`.
    void update_untried();

    /// @brief Average number of targets of the service per failure domain.
    double average_targets_per_domain() const
    {
        return average_targets_per_domain_;
    }

private:
    void add_entries(const target_directory& targets,
                     const std::string& service);
    void add_regions();
    void add_to_domain(indexed_region& region, std::uint32_t index);
    void add_order();

    std::uint64_t version_;
    double average_targets_per_domain_;
    std::vector<indexed_target> entries_;
    std::vector<indexed_region> regions_;
    selection::target_order order_;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> by_id_hash_;
    std::vector<std::uint32_t> untried_;
};

} // namespace siskinflow::gateway
