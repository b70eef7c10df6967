/// @file
/// @brief Distributes the newest configuration and fleet record.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/ids.hpp>
#include <siskinflow/fleet/freshness.hpp>
#include <siskinflow/fleet/messages.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/tcp_messages.hpp>
#include <siskinflow/store/store.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinflow
{

/// @brief Source of random numbers, uniform over all 64-bit values.
using random_source = std::function<std::uint64_t()>;

/// @brief Result of offering a value.
enum class offer_outcome : std::uint8_t
{
    newer,         ///< Accepted; it is now the newest one known.
    already_known, ///< The same revision was known.
    stale,         ///< A newer revision was known; ignored and counted.
    rejected,      ///< The hash does not match or the document is malformed.
};

/// @brief Time limits of the distribution.
struct distributor_options
{
    duration store_timeout = std::chrono::seconds(2);
    /// Watchers read again after about this long even if nothing seems
    /// broken, because a connection can go silent without an error.
    duration reread_interval = std::chrono::seconds(10);
    duration backoff_min = std::chrono::milliseconds(200);
    duration backoff_max = std::chrono::seconds(5);
    duration message_timeout = std::chrono::seconds(2);
    /// Pushes in flight; bounds memory and bursts for values of 1 MB.
    std::size_t max_pushes = 8;
    /// Head start of the first watcher: the second one pushes this much later.
    duration second_watcher_delay = std::chrono::milliseconds(500);
    duration push_retry = std::chrono::seconds(1);
    /// An announced revision is fetched after a random delay in this range, so
    /// that a push can arrive first and VMs do not all ask the sender at once.
    duration fetch_delay_min = std::chrono::milliseconds(100);
    duration fetch_delay_max = std::chrono::milliseconds(400);
};

/// @brief Counts of events, for metrics.
struct distributor_counts
{
    std::uint64_t stale = 0;    ///< Offers older than what was known.
    std::uint64_t rejected = 0; ///< Offers with a wrong hash or form.
    std::uint64_t pushes = 0;
    std::uint64_t fetches = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t store_failures = 0;
    std::uint64_t broken_watches = 0;
};

/// @brief A VM that newer values are pushed to.
struct push_peer
{
    member peer;
    known_revisions known; ///< Revisions it is known to have.
};

/// @brief Inputs of `distributor::tick`.
struct distribution_plan
{
    int watcher = -1;        ///< Rank among the watchers; -1 for none.
    bool read_store = false; ///< Read periodically even if no watcher.
    std::vector<push_peer> push_peers;
};

/// @brief Holds the newest values and copies them between store and VMs.
/// Known revisions never decrease.
class distributor
{
public:
    struct dependencies
    {
        const clock& time;
        store& kv_store;
        net::message_sender& messages;
        random_source random;
    };
    struct handlers
    {
        /// Called with each value that becomes the newest one.
        std::function<void(const revision_value&)> on_newer;
        /// Called when both keys were read, with the time the reads were
        /// sent. A read that returned an older revision does not count.
        std::function<void(time_point read_sent)> on_read;
        /// Checks the form of a document.
        std::function<bool(const revision_value&)> is_valid;
    };

    distributor(const incarnation_id& self, dependencies deps,
                handlers event_handlers,
                const distributor_options& options = {});
    ~distributor();

    /// @brief Starts reads, watches, pushes and fetches that are due.
    void tick(const distribution_plan& plan);

    /// @brief Takes a value of any source if it is newer and valid.
    offer_outcome offer(const revision_value& value);

    /// @brief Handles revisions announced by a peer; newer ones are fetched
    /// from it.
    void on_announced(const net::endpoint& peer,
                      const known_revisions& announced);

    /// @brief Fetches all newer values that a peer has.
    void fetch_from(const net::endpoint& peer);

    /// @brief Values newer than those that a peer knows.
    revision_push values_newer_than(const known_revisions& known) const;

    /// @brief Offers all pushed or fetched values.
    void apply(const revision_push& push);

    /// @brief Reads both keys as soon as no read is in flight.
    void schedule_read();

    /// @brief Stops the watches and starts no more calls.
    void stop();

    /// @brief The newest value; revision 0 before the first one.
    const revision_value& newest(value_kind kind) const;
    known_revisions known() const;

    /// @brief Whether the last read found no fleet record in the store.
    bool fleet_is_absent() const;

    const distributor_counts& counts() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow
