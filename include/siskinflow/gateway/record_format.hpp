/// @file
/// @brief Format of the store entries of operators and targets.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/gateway/policy_rows.hpp>
#include <siskinflow/gateway/target_record.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <optional>
#include <string>
#include <variant>

namespace siskinflow::gateway
{

/// @brief Start or end of a failure domain's evacuation.
struct evacuation
{
    std::string failure_domain;
    bool active = false;
};

/// @brief Content of an operator entry; empty if it does not concern the
/// gateway.
using operator_record =
    std::variant<std::monostate, policy_document, evacuation>;

/// @brief Translates store entries into the types above, without making any
/// decisions.
class record_format
{
public:
    virtual ~record_format() = default;

    /// @brief Prefix of the keys that operators write.
    virtual std::string operator_prefix() const = 0;

    /// @brief Prefix of the keys that targets write.
    virtual std::string target_prefix() const = 0;

    /// @brief Parses an operator entry. Rows of a policy that can't be read are
    /// listed as problems and do not affect the others.
    /// @return the record, or `errc::parse_error` naming the field
    virtual result<operator_record>
    read_operator(const store_change& change) const = 0;

    /// @brief Id of the target that an entry belongs to.
    virtual std::string target_id(const std::string& key) const = 0;

    /// @brief Parses the registration of a target; the caller fills in the
    /// region.
    /// @return the record, or `errc::parse_error` naming the field
    virtual result<target_record>
    read_target(const store_change& change) const = 0;
};

} // namespace siskinflow::gateway
