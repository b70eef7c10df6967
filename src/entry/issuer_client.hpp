/// @file
/// @brief Queries other VMs for the outcome of permits that they issued.
#pragma once

#include <siskinflow/entry/data_path.hpp>
#include <siskinflow/fleet/fleet_record.hpp>
#include <siskinflow/net/tcp_messages.hpp>
#include <siskinflow/permit/closing_statements.hpp>

#include <functional>
#include <vector>

namespace siskinflow::entry
{

/// @brief VMs that keep the closing statement and the counters of an
/// incarnation.
/// @return the first two members by rendezvous hash, without the incarnation
std::vector<member> successors_of(const incarnation_id& incarnation,
                                  const fleet_record& record);

/// @brief `permit_resolver` over the control connections.
class issuer_client final : public permit_resolver
{
public:
    /// @param record returns the present fleet record
    issuer_client(const incarnation_id& self, const clock& time,
                  timer_queue& timers, net::message_sender& messages,
                  closing_statements& statements,
                  std::function<const fleet_record&()> record);

    void resolve(const permit_claim& claim, duration timeout,
                 std::function<void(result<permit_outcome>)> done) override;

    /// @brief Answers a query about a permit of another incarnation from the
    /// closing statements that this VM holds.
    permit_outcome answer_from_statements(const permit_query& query);

private:
    struct pending_query;

    void ask_next(const std::shared_ptr<pending_query>& pending);
    void handle_outcome(const std::shared_ptr<pending_query>& pending,
                        const net::endpoint& peer, permit_outcome outcome);

    incarnation_id self_;
    const clock& time_;
    timer_queue& timers_;
    net::message_sender& messages_;
    closing_statements& statements_;
    std::function<const fleet_record&()> record_;
};

} // namespace siskinflow::entry
