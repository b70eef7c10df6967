/// @file
/// @brief Messages between the VMs of the fleet; internal to the gateway.
#pragma once

#include "gateway_state.hpp"
#include <siskinflow/control/codec.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/relay_messages.hpp>
#include <siskinflow/net/udp_socket.hpp>
#include <siskinflow/store/store_mirror.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Sends this VM's state to its failure domain, sums of the domain to
/// other domains, and applies what it receives.
class peer_exchange
{
public:
    /// @param state the gateway's state; must outlive the exchange
    /// @param self this process
    /// @param ready whether this VM accepts callers
    peer_exchange(gateway_state& state, const incarnation_id& self,
                  std::function<bool()> ready);

    /// @brief Binds the UDP address of this VM.
    /// @return `errc::io_error` or `errc::invalid_argument`
    result<void> listen();

    /// @brief Sends messages periodically.
    void start();

    /// @brief Sends this VM's state now.
    void send_state();

    /// @brief Tells the other VMs that this one accepts no callers any more. If
    /// it sums up its domain, the other domains are told too.
    void leave();

    /// @brief Tells all other VMs of a confirmation of the store.
    void send_confirmation(const std::string& prefix,
                           const mirror_confirmation& confirmation);

    /// @brief Tells the VMs of the failure domain that a target is leaving, and
    /// repeats it for a while.
    void send_leaving(const target_record& record);

    /// @brief Called with each confirmation that another VM has told.
    void
    on_confirmation(std::function<void(const std::string& prefix,
                                       const mirror_confirmation& confirmation)>
                        call)
    {
        on_confirmation_ = std::move(call);
    }

private:
    /// Selects the organisations that a message reports.
    enum class selection
    {
        active, ///< All with recent requests.
        early,  ///< Those that can't wait for the next regular message.
    };
    /// Last reports sent, by organisation.
    using sent_reports = std::unordered_map<std::string, rate_report>;

    void on_timer();
    bool announces_empty_domain() const;
    void on_datagram(std::string_view payload);
    template <class Message>
    void decode_and_apply(const control::envelope& envelope, std::size_t bytes);
    void drop(const error& reason, std::size_t bytes);
    void apply(const peer_state& message, const incarnation_id& sender);
    void apply(const peer_report& message, const incarnation_id& sender);
    void apply_state(const std::string& vm, bool serving,
                     const std::vector<organisation_usage>& usages,
                     const incarnation_id& sender);
    void apply(domain_state message, const incarnation_id& sender);
    void apply(const store_confirmation& message, const incarnation_id& sender);
    void apply(const target_leaving& message, const incarnation_id& sender);
    void send(const std::string& encoded,
              const std::vector<net::endpoint>& receivers);
    template <class Message>
    void send_to_domain(const Message& message);
    void repeat_leaving();
    void apply_usages(const std::vector<organisation_usage>& usages,
                      const report_source& source);
    std::vector<organisation_usage>
    select_usages(selection which,
                  rate_report (rate_share::*report)(time_point) const,
                  sent_reports& sent);
    void send_domain_state(selection which, bool last);
    template <class Message>
    void send_in_parts(const Message& message,
                       const std::vector<organisation_usage>& usages,
                       const std::vector<net::endpoint>& receivers);
    template <class Message>
    void forward(Message message);

    gateway_state& state_;
    incarnation_id self_;
    std::function<bool()> ready_;
    std::function<void(const std::string&, const mirror_confirmation&)>
        on_confirmation_;
    std::unique_ptr<net::udp_socket> socket_;
    std::shared_ptr<void> timer_;
    time_point next_state_at_{};
    time_point next_domain_state_at_{};
    std::size_t round_ = 0;              ///< Chooses the VMs of other domains.
    std::size_t confirmation_round_ = 0; ///< The same for confirmations.
    bool leaving_ = false;
    sent_reports sent_own_;
    sent_reports sent_domain_;
    domain_senders senders_;
    /// When a VM was last heard, by its name, to tell an organisation that has
    /// become active from one that was active before this VM heard of it.
    struct heard_vm
    {
        std::uint64_t incarnation = 0;
        time_point at;
    };
    std::unordered_map<std::string, heard_vm> heard_;
    /// A target that was told to be leaving, and until when that is repeated.
    struct repeated_leaving
    {
        target_leaving message;
        time_point until;
    };
    std::vector<repeated_leaving> repeated_;
};

} // namespace siskinflow::gateway
