/// @file
/// @brief Store in memory for tests, with faults that tests inject.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/timer_queue.hpp>
#include <siskinflow/store/revisioned_map.hpp>
#include <siskinflow/store/store.hpp>

#include <cstdint>
#include <memory>
#include <set>

namespace siskinflow
{

/// @brief Faults injected between one client and the store.
struct store_faults
{
    bool outage = false;       ///< Calls fail at once, watches end.
    bool silent = false;       ///< Calls time out, watches deliver nothing.
    bool lose_replies = false; ///< Calls take effect, their answers are lost.
    /// Reads answer from this past revision and watches deliver nothing; 0:
    /// off.
    store_revision stale_revision = 0;
    duration delay{0}; ///< Before each answer.
};

/// @brief Number of calls of one client.
struct store_counters
{
    std::uint64_t reads = 0;
    std::uint64_t swaps = 0;
    std::uint64_t watches = 0;
};

/// @brief A client of a store that several clients share.
///
/// Callbacks run from the timer queue, so that a test controls when.
class memory_store final : public store
{
public:
    /// @brief The data shared by the clients of one store.
    class data
    {
    public:
        const revisioned_map& values() const
        {
            return values_;
        }

        /// @brief Writes a key without any comparison.
        store_revision put(std::string key, std::string value);

    private:
        friend class memory_store;
        void notify();

        revisioned_map values_;
        std::set<memory_store*> clients_;
    };

    /// @param shared the data; each VM of a test has a client of its own
    /// @param time the current time
    /// @param timers runs the callbacks; must outlive the store
    memory_store(std::shared_ptr<data> shared, const clock& time,
                 timer_queue& timers);

    /// @brief A store with data of its own.
    memory_store(const clock& time, timer_queue& timers);
    ~memory_store() override;
    memory_store(const memory_store&) = delete;
    memory_store& operator=(const memory_store&) = delete;

    const std::shared_ptr<data>& shared() const;

    /// @brief Sets the faults; takes effect for calls made and answers due
    /// from now on.
    void set_faults(const store_faults& faults);
    const store_faults& faults() const;
    const store_counters& counters() const;

    void read(std::string key, duration timeout,
              callback<std::optional<store_value>> done) override;
    void read_prefix(std::string prefix, duration timeout,
                     callback<std::vector<store_value>> done) override;
    void swap(swap_request request, duration timeout,
              callback<store_revision> done) override;
    std::unique_ptr<store_watch>
    watch(std::string key, store_revision from,
          std::function<void(store_value)> on_change,
          std::function<void(error)> on_end) override;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow
