/// @file
/// @brief Interface of the platform's key-value store.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace siskinflow
{

/// @brief Revision of the store; grows with each write. 0 means none.
using store_revision = std::int64_t;

/// @brief Keys that the system uses.
namespace store_keys
{
inline constexpr const char* prefix = "siskinflow/";
inline constexpr const char* config = "siskinflow/config";
inline constexpr const char* notes = "siskinflow/notes/";
inline constexpr const char* fleet = "siskinflow/fleet";
inline constexpr const char* site_map = "siskinflow/sitemap";
inline constexpr const char* site_map_chunks = "siskinflow/sitemap/";
inline constexpr const char* reports = "siskinflow/report/";
} // namespace store_keys

/// @brief Largest value in bytes.
constexpr std::size_t max_store_value_bytes = 1024 * 1024;

/// @brief A key with its value and the revision of its last write.
struct store_value
{
    std::string key;
    std::string value;
    store_revision mod_revision = 0;
};

/// @brief Writes all of `puts` if `key` is still at the expected revision.
struct swap_request
{
    std::string key;
    store_revision expected = 0; ///< 0: the key must not exist.
    std::vector<std::pair<std::string, std::string>> puts;
};

/// @brief A running watch; destroying it ends the watch.
class store_watch
{
public:
    virtual ~store_watch() = default;
};

/// @brief Client of the store. Each call ends with exactly one callback,
/// never before the call has returned.
class store
{
public:
    virtual ~store() = default;

    template <class T>
    using callback = std::function<void(result<T>)>;

    /// @brief Reads a key (linearizable).
    /// @param done the value, nothing if absent, or `errc::timeout` /
    /// `errc::unavailable`
    virtual void read(std::string key, duration timeout,
                      callback<std::optional<store_value>> done) = 0;

    /// @brief Reads all keys that begin with a prefix.
    virtual void read_prefix(std::string prefix, duration timeout,
                             callback<std::vector<store_value>> done) = 0;

    /// @brief Compare-and-swap on one key with several writes.
    /// @param done the new revision; `errc::conflict` if the comparison
    /// failed; `errc::unavailable` if nothing was sent; `errc::unknown_outcome`
    /// if the write may have taken effect, in which case the caller reads back
    virtual void swap(swap_request request, duration timeout,
                      callback<store_revision> done) = 0;

    /// @brief Watches a key or, with a trailing '/', a prefix.
    /// @param from first revision of interest; 0 means from now on
    /// @param on_change called for each write in order
    /// @param on_end called once if the watch ends; the caller starts a new one
    virtual std::unique_ptr<store_watch>
    watch(std::string key, store_revision from,
          std::function<void(store_value)> on_change,
          std::function<void(error)> on_end) = 0;
};

} // namespace siskinflow
