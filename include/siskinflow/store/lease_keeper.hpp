/// @file
/// @brief Keeps a key in the store while this process runs.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/timer_queue.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <functional>
#include <memory>
#include <string>

namespace siskinflow
{

/// @brief Writes a key under a lease and renews the lease. When the store has
/// ended the lease or has returned from an older copy, takes a new one and
/// writes the key again.
class lease_keeper
{
public:
    /// @param client the store; must outlive the keeper
    /// @param timers run the renewals; must outlive the keeper
    /// @param ttl time after which the key is removed if this process ends
    lease_keeper(lease_store& client, timer_queue& timers, const clock& time,
                 std::string key, std::string value, duration ttl);
    ~lease_keeper();
    lease_keeper(const lease_keeper&) = delete;
    lease_keeper& operator=(const lease_keeper&) = delete;

    /// @brief Called when a call fails after one that succeeded.
    void on_unavailable(std::function<void(const error& reason)> callback);

    /// @brief Called when a call succeeds after one or more have failed.
    void on_recovered(std::function<void()> callback);

    /// @brief Takes a lease and writes the key.
    void start();

    /// @brief When the last call that the store answered was sent; the start of
    /// the clock if there was none.
    time_point answered_at() const;

    /// @brief Removes the key and stops renewing.
    void stop();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow
