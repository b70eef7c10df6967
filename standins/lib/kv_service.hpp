/// @file
/// @brief Stand-in for the users' platform's metadata store.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/http_server.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace standin
{

/// @brief How the store fails to answer.
enum class kv_outage : std::uint8_t
{
    none,
    refuse, ///< Status 503; watches end.
    silent, ///< No answer at all.
};

/// @brief Keys with revisions, watches and leases, kept in memory. Every answer
/// names the era, which grows each time the service returns to a copy.
class kv_service
{
public:
    /// @param time for leases and waits; must outlive the service
    explicit kv_service(const siskinflow::clock& time);

    /// @brief Answers one call of the store, at once or later.
    void handle(const siskinflow::net::exchange_ptr& exchange);

    /// @brief Expires leases and waits; call several times a second.
    void tick();

    /// @brief Writes a key as an operator or target does.
    void put(const std::string& key, const std::string& value);

    /// @brief Removes a key as an operator or target does.
    void remove(const std::string& key);

    /// @brief Makes calls fail from now on.
    void set_outage(kv_outage outage);

    /// @brief Drops all history; open watches end with status 410.
    void compact();

    /// @brief Copies all keys and the history. Leases are not part of a copy.
    void take_copy();

    /// @brief Returns to the copy, or to the empty state without one, and
    /// begins a new era: later writes and all leases with their keys are lost,
    /// revisions and lease numbers are assigned again, waiting watches end with
    /// status 410.
    void return_to_copy();

    /// @brief Sets the era, for a store that counts wrongly.
    void set_era(std::uint64_t era)
    {
        era_ = era;
    }

    std::uint64_t era() const
    {
        return era_;
    }

    /// @brief Calls by kind since the start.
    const std::map<std::string, std::uint64_t>& calls() const
    {
        return calls_;
    }

    /// @brief Revision of the last change.
    std::int64_t revision() const
    {
        return now_.revision;
    }

    /// @brief Keys that begin with a prefix.
    std::size_t count(const std::string& prefix) const;

private:
    struct item
    {
        std::string value; ///< Base64.
        std::int64_t revision = 0;
        std::int64_t create_revision = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::int64_t revision = 0;
        std::string key;
        std::optional<item> written; ///< Empty if the key was removed.
    };
    struct lease
    {
        siskinflow::duration ttl{0};
        siskinflow::time_point expires;
    };
    struct watcher
    {
        siskinflow::net::exchange_ptr exchange;
        std::string prefix;
        std::int64_t after = 0;
        siskinflow::time_point deadline;
    };

    nlohmann::json to_json(const event& change) const;

    /// What a copy holds.
    struct content
    {
        std::map<std::string, item> items;
        std::deque<event> history;
        std::int64_t revision = 1;
        /// Last revision dropped from the history.
        std::int64_t compacted = 0;
        std::uint64_t last_lease = 0;
    };

    void respond(const siskinflow::net::exchange_ptr& exchange, int status,
                 const nlohmann::json& body) const;
    void end_watches(int status);
    void dispatch(const siskinflow::net::exchange_ptr& exchange);
    void range(const siskinflow::net::exchange_ptr& exchange);
    void watch(const siskinflow::net::exchange_ptr& exchange);
    void txn(const siskinflow::net::exchange_ptr& exchange);
    void grant_lease(const siskinflow::net::exchange_ptr& exchange);
    void renew_lease(const siskinflow::net::exchange_ptr& exchange,
                     std::uint64_t id);
    void revoke_lease(const siskinflow::net::exchange_ptr& exchange,
                      std::uint64_t id);
    void write(const std::string& key, const std::string& base64,
               std::uint64_t lease, std::int64_t revision);
    void erase(const std::string& key, std::int64_t revision);
    void remove_lease(std::uint64_t id);
    bool try_answer_watch(const watcher& waiting);
    void answer_ready_watchers();
    nlohmann::json to_json(const std::string& key, const item& entry) const;

    const siskinflow::clock& time_;
    content now_;
    content copy_;
    std::uint64_t era_ = 1;
    std::map<std::uint64_t, lease> leases_;
    std::list<watcher> watchers_;
    kv_outage outage_ = kv_outage::none;
    std::map<std::string, std::uint64_t> calls_;
};

} // namespace standin
