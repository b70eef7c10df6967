/// @file
/// @brief The calls of the etcd v3 JSON protocol that the stand-in answers.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/store/revisioned_map.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace standin
{

/// @brief Status and body of an answer.
struct store_answer
{
    int status = 200;
    nlohmann::json body;
};

/// @brief Range of keys and first revision of a watch.
struct watch_range
{
    std::string begin;
    std::string end;
    siskinflow::store_revision from = 0;
};

/// @brief Answer with a status and etcd's form of an error.
store_answer store_error(int status, std::string_view message);

/// @brief Data, leases and calls, without limits and faults.
class store_protocol
{
public:
    /// @param max_changes number of changes kept for watches and past reads
    explicit store_protocol(std::size_t max_changes = 4096);

    /// @brief Answers /v3/kv/range.
    /// @param stale_revision answer from this past revision; 0: the newest
    store_answer range(const nlohmann::json& body,
                       siskinflow::store_revision stale_revision) const;
    store_answer put(const nlohmann::json& body);
    store_answer txn(const nlohmann::json& body);
    store_answer lease_grant(const nlohmann::json& body,
                             siskinflow::time_point now);
    store_answer lease_keepalive(const nlohmann::json& body,
                                 siskinflow::time_point now);
    store_answer lease_revoke(const nlohmann::json& body);

    /// @brief Range of a watch, or nothing if the request is malformed.
    std::optional<watch_range> watch(const nlohmann::json& body) const;

    /// @brief Line of a watch with the changes since its revision.
    /// @return nothing if there are none
    std::optional<std::string> watch_line(const watch_range& range) const;

    /// @brief Line of a watch without changes, as etcd sends for progress.
    std::string progress_line() const;

    /// @brief Deletes the keys of leases that have run out.
    /// @return whether a key was deleted
    bool expire(siskinflow::time_point now);

    const siskinflow::revisioned_map& data() const
    {
        return data_;
    }

private:
    struct lease
    {
        std::int64_t ttl_s = 0;
        siskinflow::time_point expires;
        std::set<std::string> keys;
    };
    using writes =
        std::vector<std::pair<std::string, std::optional<std::string>>>;

    bool evaluate_comparison(const nlohmann::json& comparison,
                             bool& valid) const;
    std::optional<store_answer> add_operation(const nlohmann::json& operation,
                                              writes& out,
                                              nlohmann::json& responses);
    void attach_to_lease(const nlohmann::json& put, const std::string& key);
    void remove_lease(std::int64_t id);

    siskinflow::revisioned_map data_;
    std::map<std::int64_t, lease> leases_;
    std::int64_t last_lease_ = 1000;
};

} // namespace standin
