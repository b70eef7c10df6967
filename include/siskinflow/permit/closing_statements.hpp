/// @file
/// @brief Closing statements received from other incarnations.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/permit/permit_messages.hpp>
#include <siskinflow/permit/permit_table.hpp>

#include <deque>
#include <optional>

namespace siskinflow
{

/// @brief Stores the statements of stopped incarnations until the retention
/// of all their permits has ended.
class closing_statements
{
public:
    /// @param retention time for which a statement is kept
    /// @param max_permits bound on the permits listed in all statements; the
    /// oldest statement is dropped beyond it (19 bytes each in a message, 32
    /// in memory)
    explicit closing_statements(duration retention = std::chrono::minutes(15),
                                std::size_t max_permits = 500'000);

    /// @brief Stores a statement, unless there is one of its incarnation.
    /// @return `errc::parse_error` if its fields are inconsistent
    result<void> accept(closing_statement statement, time_point now);

    /// @brief Looks up a permit of a stopped incarnation.
    /// @return the outcome, or nothing if there is no statement about it
    std::optional<permit_outcome> find(const permit_claim& claim,
                                       time_point now);

    /// @brief Number of statements held.
    std::size_t size() const;

private:
    struct received_statement
    {
        closing_statement statement;
        time_point received_at;
    };

    void expire(time_point now);

    duration retention_;
    std::size_t max_permits_;
    std::size_t listed_permits_ = 0;
    std::deque<received_statement> statements_; ///< By time of receipt.
};

} // namespace siskinflow
