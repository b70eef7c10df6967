/// @file
/// @brief What a target's answer says about the request.
#pragma once

#include <siskinflow/gateway/attempt_result.hpp>
#include <siskinflow/gateway/message_codec.hpp>

#include <string_view>

namespace siskinflow::gateway
{

/// @brief Status with which a target answers that was not meant.
constexpr int misdirected_status = 421;

/// @brief Whether a status promises the caller that its request has not run and
/// never will. It must not be forwarded from a target.
bool promises_not_run(int status);

/// @brief Classifies a complete answer that bears the request's own id.
///
/// Only a field of the answer proves that the request was not run: the target
/// says so, or another target names itself in a 421. A status alone proves
/// nothing, and neither does an answer that is also signed, as targets sign
/// what they have run.
/// @param fields fields of the answer
/// @param status its HTTP status
/// @param instance id of the target that the request was meant for
attempt_result classify_answer(const answer_fields& fields, int status,
                               std::string_view instance);

/// @brief Whether a complete answer may be passed on to the caller. Any other
/// one is followed by a further attempt or by an answer of the gateway's own,
/// and its body is of no use.
/// @param result of `classify_answer`
bool may_be_delivered(attempt_result result, const answer_fields& fields,
                      int status);

} // namespace siskinflow::gateway
