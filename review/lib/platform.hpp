/// @file
/// @brief A small deployment on loopback for the review's cases: a store,
/// upstreams and clients as the users' pages describe them, and the gateways as
/// separate processes started with the command of the deploy file.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using milliseconds = std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

inline time_point now()
{
    return std::chrono::steady_clock::now();
}

/// @brief Exit codes of a case.
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// @brief Thrown where a case can't run, for instance without a free port.
struct not_runnable
{
    std::string reason;
};

/// @brief Writes what was sent, answered and run, with the time since the
/// start.
class record
{
public:
    explicit record(const std::string& folder);
    ~record();
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
    time_point started_ = now();
};

/// @brief A request or an answer; the names of the fields are in lower case.
struct message
{
    std::string start_line;
    std::map<std::string, std::string> fields;
    std::string body;
    bool complete = false; ///< Head and body arrived whole.
    bool timed_out = false;

    std::string field(const std::string& name) const;
    /// @brief Status of an answer, 0 if there is none.
    int status() const;
    /// @brief Method and target of a request.
    std::string method() const;
    std::string target() const;
};

/// @brief One connection, closed on destruction.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// @brief Connects to a loopback port; null if that fails.
    /// @param receive_buffer bytes of the receive buffer, 0 for the default
    static std::unique_ptr<connection> to(std::uint16_t port,
                                          int receive_buffer = 0);

    bool send(std::string_view bytes);
    /// @brief Reads one message.
    /// @param bytes_per_s rate at which the body is read, 0 for no limit
    message receive(milliseconds limit, std::size_t bytes_per_s = 0);
    /// @brief Waits until bytes arrive or the peer closes.
    bool readable(milliseconds limit) const;
    void close();
    /// @brief Number that no other connection of the process has.
    int serial() const
    {
        return serial_;
    }

private:
    bool fill(time_point until);

    int descriptor_;
    int serial_;
    std::string input_;
    bool ended_ = false;
};

/// @brief Accepts connections and serves each in a thread.
class listener
{
public:
    using handler = std::function<void(connection&)>;
    explicit listener(handler on_connection);
    ~listener();
    std::uint16_t port() const
    {
        return port_;
    }

private:
    void accept_connections();

    handler on_connection_;
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// @brief The platform's metadata store: items, watches and leases.
class store
{
public:
    /// @brief One machine's way to the store.
    class door
    {
    public:
        explicit door(store& owner);
        std::uint16_t port() const
        {
            return listener_->port();
        }
        /// @brief From now on calls of this machine get no answer, also those
        /// that wait. A connection that lost an answer returns nothing
        /// further.
        void silence(bool silent)
        {
            silent_ = silent;
        }

    private:
        void serve(connection& peer);

        store& owner_;
        std::atomic<bool> silent_{false};
        std::unique_ptr<listener> listener_;
    };

    /// @brief Writes an item as the operator or an upstream does.
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);

private:
    struct lease_state
    {
        milliseconds ttl;
        time_point expires;
    };
    struct reply
    {
        int status;
        nlohmann::json body;
    };

    reply handle(const message& request);
    reply watch(const std::map<std::string, std::string>& query);
    reply range(const std::map<std::string, std::string>& query);
    reply txn(const nlohmann::json& body);
    void write(const std::string& key, const std::string& base64,
               std::uint64_t lease);
    void erase(const std::string& key);
    void expire_leases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, nlohmann::json> items_;
    std::vector<nlohmann::json> events_;
    std::map<std::uint64_t, lease_state> leases_;
    std::uint64_t last_lease_ = 0;
    std::uint64_t revision_ = 1;
};

/// @brief One route of the configuration.
struct route
{
    std::string name; ///< Also its prefix and its service.
    std::string kind;
    std::string timeout = "3000ms";
    std::string target_latency = "500ms";
    int max_attempts = 2;
};

/// @brief Host that all routes share, and the key of the one tenant.
constexpr const char* host = "site.example";
constexpr const char* tenant_key = "key-of-acme";
constexpr const char* tenant_name = "acme";

/// @brief A configuration: routes, a service for each, one tenant.
/// @param keys of the tenant
nlohmann::json configuration(const std::vector<route>& routes,
                             const std::string& version = "r1",
                             const std::vector<std::string>& keys = {
                                 tenant_key});

/// @brief An upstream. It registers itself and hands each request that names
/// it to `on_request`; others get 421.
class upstream
{
public:
    struct call
    {
        connection& peer;
        const message& request;
        int number; ///< Of the upstream's requests, from 1.
    };
    /// @return whether the connection stays open
    using handler = std::function<bool(upstream&, const call&)>;

    upstream(std::string id, std::string service, handler on_request);

    const std::string& id() const
    {
        return id_;
    }
    /// @brief Writes the upstream's entry.
    void enter(store& where, const std::string& zone, unsigned slots = 6) const;
    /// @brief Notes that a request's run begins.
    void note_run(const message& request);
    /// @brief Runs of a request id.
    int runs(const std::string& request_id);
    int requests() const
    {
        return requests_;
    }

private:
    void serve(connection& peer);

    std::string id_;
    std::string service_;
    handler on_request_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::atomic<int> requests_{0};
    std::unique_ptr<listener> listener_;
};

/// @brief A sound, signed answer to a request.
std::string signed_answer(const message& request, const std::string& body,
                          const std::string& status = "200 OK");

/// @brief Fields of a client's request.
struct client_request
{
    std::string id;
    std::string method = "GET";
    std::string path;
    std::string body;
    milliseconds deadline{3000};
    std::string key = tenant_key;
};

std::string to_text(const client_request& request);

/// @brief A gateway process on its own ports.
class gateway
{
public:
    gateway(const std::string& name, const std::string& zone,
            std::uint16_t store_port);
    void start();
    bool wait_ready(milliseconds limit) const;
    void signal(int number) const;
    /// @brief Whether the process has ended; its wait status is kept.
    bool ended();
    /// @brief How the process ended, for the record.
    std::string ending() const;
    std::uint16_t port() const
    {
        return ports_[0];
    }
    std::uint16_t directory_port() const
    {
        return ports_[3];
    }
    pid_t pid() const
    {
        return pid_;
    }
    const std::string& name() const
    {
        return name_;
    }
    /// @brief Resident memory in megabytes, 0 once the process has ended.
    double resident_mb() const;

private:
    std::vector<std::string> command() const;

    std::string name_;
    std::string zone_;
    std::uint16_t store_port_;
    std::string log_;
    std::vector<std::uint16_t> ports_;
    pid_t pid_ = -1;
    int wait_status_ = 0;
};

/// @brief Folder for logs. `run_case` removes it.
const std::string& temporary_folder();

/// @brief Whether the disruption is to happen: not with TROUBLE=0.
bool trouble();

/// @brief Runs a case, ends the processes that it started and exits. The case's
/// objects are not destroyed before, because threads may still use them.
/// @param run returns whether the rule held
int run_case(int argc, char** argv, const std::function<bool(record&)>& run);

} // namespace review
