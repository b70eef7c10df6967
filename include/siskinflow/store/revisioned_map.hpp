/// @file
/// @brief Keys and values with the history of a revisioned store, used by
/// `memory_store` and by the store stand-in.
#pragma once

#include <siskinflow/store/store.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinflow
{

/// @brief Values by key at each of the recent revisions.
class revisioned_map
{
public:
    /// @brief One write or deletion.
    struct change
    {
        std::string key;
        std::optional<std::string> value; ///< Absent: the key was deleted.
        store_revision revision = 0;
    };

    /// @param max_changes number of changes kept for `changes_since` and for
    /// reads of past revisions
    explicit revisioned_map(std::size_t max_changes = 4096);

    /// @brief Newest revision; 1 before the first write.
    store_revision revision() const
    {
        return revision_;
    }

    /// @brief Changes up to and including this revision are no longer kept.
    store_revision compacted_revision() const
    {
        return compacted_;
    }

    /// @brief Writes and deletes keys under one new revision. Each key may
    /// occur only once.
    /// @return the new revision
    store_revision
    apply(const std::vector<std::pair<std::string, std::optional<std::string>>>&
              writes);

    /// @brief Reads a key as of a revision.
    /// @param at the revision; 0 means the newest
    std::optional<store_value> read(std::string_view key,
                                    store_revision at = 0) const;

    /// @brief Reads the keys in [`begin`, `end`) as of a revision.
    std::vector<store_value> read_range(std::string_view begin,
                                        std::string_view end,
                                        store_revision at = 0) const;

    /// @brief Revision of the last write of a key; 0 if it does not exist.
    store_revision mod_revision(std::string_view key) const;

    /// @brief Changes of a key range, oldest first.
    /// @param from first revision of interest
    std::vector<change> changes_since(store_revision from,
                                      std::string_view begin,
                                      std::string_view end) const;

private:
    struct version
    {
        store_revision revision;
        std::optional<std::string> value;
    };
    using versions = std::vector<version>;

    void drop_oldest_change();
    static const version* find_version(const versions& history,
                                       store_revision at);

    std::size_t max_changes_;
    store_revision revision_ = 1;
    store_revision compacted_ = 0;
    std::map<std::string, versions, std::less<>> keys_;
    std::deque<std::pair<store_revision, std::string>> change_log_;
};

/// @brief First key after all keys with this prefix.
std::string prefix_end(std::string prefix);

/// @brief End of the key range of a watch: all keys with the prefix if the key
/// ends with '/', otherwise the key alone.
std::string watch_end(const std::string& key);

} // namespace siskinflow
