/// @file
/// @brief Compare-and-swap that resolves a lost reply by reading back.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/timer_queue.hpp>
#include <siskinflow/store/store.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief A compare-and-swap whose written value identifies it.
struct confirmed_write
{
    swap_request request;
    /// Unique id of this write; the value at the confirmation key is a JSON
    /// object with it in the field `write_id`.
    std::string write_id;
    /// Key among `request.puts` whose value shows which write took effect.
    /// If a later write may replace the value at `request.key`, give a key
    /// here that is written once, such as a numbered note; empty means
    /// `request.key`.
    std::string confirmation_key;
};

/// @brief Runs a function after a delay.
using delay_function =
    std::function<void(duration delay, std::function<void()> callback)>;

/// @brief Returns the field `write_id` of a JSON object, or an empty string if
/// there is none.
std::string write_id_of(std::string_view json);

/// @brief Swaps, and after a lost reply reads back and retries the same swap
/// until its outcome is known. Retrying is safe: all copies expect the same
/// revision, so at most one takes effect.
/// @param client the store; must outlive the operation
/// @param write what to write
/// @param call_timeout deadline of each call
/// @param attempts limit of swaps and of read-backs; at least 1
/// @param schedule runs each retry after a delay
/// @param done the revision; `errc::conflict` if another write won;
/// `errc::unavailable` if nothing was written;
/// `errc::unknown_outcome` if the outcome could not be determined
void confirmed_swap(store& client, confirmed_write write, duration call_timeout,
                    int attempts, delay_function schedule,
                    store::callback<store_revision> done);

} // namespace siskinflow
