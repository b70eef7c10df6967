/// @file
/// @brief How operators and targets spell their entries in the store.
#pragma once

#include <siskinflow/core/error.hpp>
#include <siskinflow/gateway/policy.hpp>
#include <siskinflow/gateway/target_record.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <optional>
#include <string>
#include <variant>

namespace siskinflow::gateway
{

/// @brief A failure domain is evacuated, or taken back.
struct evacuation
{
    std::string failure_domain;
    bool active = false;
};

/// @brief What an entry of the operators says; nothing for one that does not
/// concern the gateway.
using operator_record = std::variant<std::monostate, policy, evacuation>;

/// @brief Translates entries of the store into the types above. It decides
/// nothing.
class record_format
{
public:
    virtual ~record_format() = default;

    /// @brief Prefix of the keys that operators write.
    virtual std::string operator_prefix() const = 0;

    /// @brief Prefix of the keys that targets write.
    virtual std::string target_prefix() const = 0;

    /// @brief Reads an entry of the operators.
    /// @return the record, or `errc::parse_error` naming the field
    virtual result<operator_record>
    read_operator(const store_change& change) const = 0;

    /// @brief Id of the target that an entry is of.
    virtual std::string target_id(const std::string& key) const = 0;

    /// @brief Reads the registration of a target; the region is filled in by
    /// the caller.
    /// @return the record, or `errc::parse_error` naming the field
    virtual result<target_record>
    read_target(const store_change& change) const = 0;
};

} // namespace siskinflow::gateway
