/// @file
/// @brief Interface of a store with prefixes, watches and leases.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/store/store_position.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace siskinflow
{

/// @brief State of one key after a change.
struct store_change
{
    std::string key;
    std::string value;       ///< Empty if the key was removed.
    store_position position; ///< Of the change.
    bool removed = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(key, value, position, removed);
    }
};

/// @brief Keys of a prefix, or changes of them, up to a revision.
struct store_page
{
    std::vector<store_change> entries;
    /// Every change up to this position is in this or an earlier page.
    store_position position;
    bool relayed = false; ///< Read through another VM, free of charge.
};

/// @brief A lease; keys written under it are removed when it ends.
struct store_lease
{
    std::uint64_t id = 0;
    duration ttl{0}; ///< Counted from the arrival of each renewal.
};

/// @brief Reads the prefixes of a store. Each call ends with exactly one
/// callback, never before the call has returned; a watch that is replaced by a
/// later one ends without. A call fails with `errc::timeout` if the store can't
/// be reached or does not answer, and with `errc::unavailable` if it refuses
/// the call or if its answer is of an era before the highest known.
class prefix_reader
{
public:
    virtual ~prefix_reader() = default;

    template <class T>
    using callback = std::function<void(result<T>)>;

    /// @brief Reads all keys of a prefix. The entries need not be from one
    /// instant; changes after the page's position bring them up to date.
    virtual void list(std::string prefix, duration timeout,
                      callback<store_page> done) = 0;

    /// @brief Waits for changes of a prefix. A watch of the same prefix that is
    /// still waiting is cancelled.
    /// @param after position up to which the caller knows all changes
    /// @param wait longest time without a change; the page is empty then
    /// @param done `errc::stale` if the store no longer has the changes since
    /// `after`
    virtual void await_changes(std::string prefix, store_position after,
                               duration wait, callback<store_page> done) = 0;

    /// @brief Gives up the running watch of a prefix; it ends without a
    /// callback.
    virtual void cancel_watch(const std::string& /*prefix*/) {}

    /// @brief Bytes of the answer to the running watch of a prefix that have
    /// arrived so far; 0 if none runs.
    virtual std::size_t
    watch_bytes_received(const std::string& /*prefix*/) const
    {
        return 0;
    }

    /// @brief Highest era that an answer of the store has shown.
    virtual std::uint64_t era() const
    {
        return 0;
    }

    /// @brief Adds a callback for answers that show a higher era than all
    /// before; it runs before the callback of the call that was answered. The
    /// first answer shows no new era.
    virtual void
    on_new_era(const std::function<void(std::uint64_t)>& /*callback*/)
    {
    }

    /// @brief Tells of an era that another VM knows. Answers of other VMs that
    /// know only lower eras are not used from now on.
    virtual void expect_era(std::uint64_t /*era*/) {}

    /// @brief Calls of the store for listings of a prefix so far; a listing of
    /// several pages takes several.
    virtual std::uint64_t list_calls(const std::string& /*prefix*/) const
    {
        return 0;
    }
};

/// @brief Client of a store with leases. Its calls end as those of
/// `prefix_reader`.
class lease_store : public prefix_reader
{
public:
    /// @brief Adds a callback for answers that are dropped because their era is
    /// lower than the highest known.
    virtual void
    on_old_era(const std::function<void(std::uint64_t)>& /*callback*/)
    {
    }

    /// @brief Takes a lease.
    virtual void grant_lease(duration ttl, duration timeout,
                             callback<store_lease> done) = 0;

    /// @brief Renews a lease.
    /// @param done `errc::not_found` if it has ended
    virtual void renew_lease(std::uint64_t id, duration timeout,
                             callback<void> done) = 0;

    /// @brief Ends a lease and removes its keys.
    virtual void end_lease(std::uint64_t id, duration timeout,
                           callback<void> done) = 0;

    /// @brief Writes a key under a lease, regardless of its current value.
    /// @param done `errc::not_found` if the lease has ended
    virtual void put(std::string key, std::string value, std::uint64_t lease,
                     duration timeout, callback<void> done) = 0;
};

} // namespace siskinflow
