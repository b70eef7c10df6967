/// @file
/// @brief Handles one request from its arrival to its answer.
#pragma once

#include "gateway_state.hpp"
#include "memory/response_buffer.hpp"
#include <siskinflow/admission/refusal.hpp>
#include <siskinflow/gateway/attempt_history.hpp>
#include <siskinflow/net/http_server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow::gateway
{

/// @brief Why a request that may have run gets no answer from a target.
enum class failure_reason : std::uint8_t
{
    connection_lost, ///< The connection to the target broke.
    bad_answer, ///< The answer was incomplete, unsigned or for another request.
    target_failed, ///< The target failed with an answer that can't be
                   ///< forwarded.
    timed_out,     ///< No answer within the timeout of route or caller.
    cut_by_stop,   ///< The process stopped first.
    sent_before,   ///< An order of this id may have run, or is in progress.
    no_memory,     ///< There was no room for the target's answer.
};

std::string_view name(failure_reason value) noexcept;

/// @brief Admits a request, places it, and retries attempts where that is safe.
/// It stays alive in `gateway_state::in_progress` until it has answered.
class request_flow final : public net::call_observer,
                           public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(gateway_state& state, net::exchange_ptr exchange);

    /// @brief Admits or refuses the request.
    void start();

    /// @brief Tries to place a waiting request.
    /// @return whether it waits no more
    bool place_waiting();

    /// @brief Places the request again if its target takes no more requests and
    /// it has not been sent.
    void withdraw_unsent();

    /// @brief Answers the request because the process is about to end.
    void cut_by_stop();

    void on_head(int status, const net::http_headers& headers,
                 std::optional<std::size_t> content_length) override;
    void on_body(std::string_view part) override;
    bool keeps_connection() const override;
    void on_end(net::call_outcome outcome) override;

private:
    // Admission
    std::optional<refusal_reason> admit();
    std::optional<refusal_reason> check_limits() const;
    std::optional<refusal_reason> check_organisation();
    bool within_rate();

    // Placement
    void place();
    bool end_if_caller_gone();
    bool reserve_answer();
    void wait_or_refuse(choice_failure failure);
    choice_request choice_parameters() const;
    duration expected_wait(waiting_rank rank) const;
    void on_wait_limit();
    void stop_waiting();
    choice_outcome choose();
    remaining_time remaining() const;

    // Attempts
    void send(const target_choice& choice, send_permission permission);
    net::client_request request_to(const target_choice& choice) const;
    std::shared_ptr<response_buffer> make_body();
    bool release_request_body();
    void start_attempt_timer();
    void on_attempt_timer();
    void refuse_foreign_answer();
    void apply_wish();
    void withdraw_incomplete();
    attempt_result classify_outcome(net::call_outcome outcome) const;
    void update_estimates(attempt_result result);
    void retry_or_end(attempt_result result);
    bool take_retry();
    failure_reason failure_of(attempt_result result) const;
    void release_target(attempt_result result);

    // Ends
    void on_deadline();
    void give_up_call(attempt_result result);
    void end_call_later(net::call_outcome outcome);
    bool lacks_memory() const;
    void on_caller_gone();
    void end_cancelled();
    void deliver();
    void end_unserved(refusal_reason refusal, failure_reason failure,
                      std::optional<duration> retry_after);
    void refuse(not_run_proof proof, refusal_reason reason,
                std::optional<duration> retry_after);
    void fail_with(failure_reason reason);
    void answer(int status, std::string_view reason,
                std::optional<duration> retry_after);
    void finish();
    void log_position(const net::answer_position& position);
    void log_served(int status);
    void log_sent_again(const target_choice& choice);
    void log_not_served(int status, std::string_view reason,
                        std::optional<duration> retry_after);
    std::string_view organisation_name() const;
    std::string_view proof_name() const;
    duration elapsed() const;

    gateway_state& state_;
    net::exchange_ptr exchange_;
    std::shared_ptr<const policy_index> policy_;
    caller_fields caller_fields_;
    const route_policy* route_ = nullptr;
    const organisation_policy* organisation_ = nullptr;
    std::string service_;
    std::optional<std::uint64_t> object_;
    time_point arrived_;
    time_point deadline_;
    timer_id deadline_timer_ = 0;

    waiting_id waiting_ = 0; ///< 0: not waiting.
    timer_id waiting_timer_ = 0;
    time_point waiting_since_;
    duration waited_{0};
    bool prefer_other_regions_ = false;

    std::shared_ptr<net::http_call> call_;
    timer_id attempt_timer_ = 0;
    target_ptr target_;
    placement placement_;
    double load_at_send_ = 0;
    time_point sent_;
    std::vector<std::string> tried_targets_;
    std::string attempts_log_; ///< Attempts so far, for the log.
    std::string answers_log_;  ///< Where their answers were read.
    /// Shared with the other requests of its id if it must not run twice.
    std::shared_ptr<attempt_history> attempts_ =
        std::make_shared<attempt_history>();

    int status_ = 0;
    net::http_headers headers_;
    std::shared_ptr<response_buffer> body_; ///< Of the present attempt.
    std::size_t request_body_bytes_;
    /// The request is not sent again.
    bool request_body_released_ = false;
    /// The answer of the present attempt may be passed on to the caller.
    bool delivers_answer_ = false;
    answer_fields answer_fields_;
    bool ended_ = false;
};

} // namespace siskinflow::gateway
