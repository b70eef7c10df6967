/// @file
/// @brief Stand-ins for the platform on loopback, and the gateway process that
/// a case starts.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world
{

using steady = std::chrono::steady_clock;

/// @brief Milliseconds since the start of the case.
std::int64_t now_ms();

/// @brief Lines of `record.txt`, each with the time since the start.
class recorder
{
public:
    explicit recorder(const std::string& path);
    ~recorder();
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
};

/// @brief A blocking socket that closes itself.
class connection
{
public:
    explicit connection(int descriptor = -1) : descriptor_(descriptor) {}
    ~connection()
    {
        close();
    }
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;

    /// @brief Connects to a port of 127.0.0.1.
    /// @param from source address, in the loopback network
    static connection open(std::uint16_t port, int receive_buffer = 0,
                           const std::string& from = {});

    bool valid() const
    {
        return descriptor_ >= 0;
    }
    int descriptor() const
    {
        return descriptor_;
    }
    void close();
    /// @brief Closes with a reset.
    void reset();
    /// @return whether all bytes were accepted by the kernel in time
    bool
    send(std::string_view bytes,
         std::chrono::milliseconds limit = std::chrono::milliseconds(60000));
    /// @brief Reads some bytes.
    /// @return nothing at a time-out; empty at the end or an error
    std::optional<std::string> receive(std::chrono::milliseconds limit,
                                       std::size_t most = 65536);

private:
    int descriptor_;
};

/// @brief A request or answer as read from a connection.
struct message
{
    std::string start_line;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool whole = false; ///< Complete, with its body.
    bool has_head = false;

    int status() const;
    std::string field(const std::string& name) const;
};

/// @brief Reads one message; further bytes stay in `rest`.
message read_message(connection& from, std::string& rest,
                     std::chrono::milliseconds limit);

/// @brief Sends a request on a new connection and reads the answer.
message call(std::uint16_t port, const std::string& request,
             std::chrono::milliseconds limit);

/// @brief Ports that were free at the time of the call.
std::vector<std::uint16_t> free_ports(std::size_t count);

/// @brief Accepts connections and serves each on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;
    explicit listener(handler serve);
    ~listener();
    std::uint16_t port() const
    {
        return port_;
    }

private:
    void run();
    int descriptor_;
    std::uint16_t port_ = 0;
    handler serve_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// @brief The platform's metadata store, as PROTOCOL.md describes it.
class store
{
public:
    store();
    ~store();
    std::uint16_t port() const
    {
        return listener_->port();
    }
    /// @brief Writes as the operator or an upstream does.
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);
    /// @brief Makes the store turn its callers away with 429, or serve them.
    void refuse(bool refused);
    /// @brief Time after which the history of changes is dropped.
    static constexpr std::chrono::seconds history{20};
    /// @brief Keys with a prefix.
    std::size_t count(const std::string& prefix);

private:
    struct item
    {
        std::string value; ///< Base64.
        std::uint64_t revision = 0;
        std::uint64_t create_revision = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::uint64_t revision;
        std::string key;
        std::optional<item> written;
        steady::time_point at;
    };
    struct lease
    {
        std::chrono::milliseconds ttl;
        steady::time_point end;
    };
    void serve(connection& peer);
    std::pair<int, nlohmann::json> answer(const message& request);
    std::pair<int, nlohmann::json> range(const std::string& prefix,
                                         const std::string& after);
    std::pair<int, nlohmann::json> watch(const std::string& prefix,
                                         std::uint64_t after,
                                         std::chrono::milliseconds wait);
    std::pair<int, nlohmann::json> txn(const nlohmann::json& body);
    void write(const std::string& key, const std::string& value,
               std::uint64_t lease_id);
    void erase(const std::string& key);
    void expire();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::uint64_t revision_ = 100;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t last_lease_ = 500;
    std::uint64_t dropped_ = 0; ///< Last revision that the history lacks.
    bool refused_ = false;
    bool stopping_ = false;
    std::unique_ptr<listener> listener_;
    std::thread expiry_;
};

/// @brief One request as an upstream got it.
struct arrival
{
    std::string id;
    message request;
};

/// @brief An upstream that registers itself, runs requests and answers them.
class upstream
{
public:
    /// @brief Answers a request that runs.
    using runner = std::function<void(connection& peer, const arrival& seen)>;

    upstream(store& target, std::string id, std::string service,
             std::string zone, unsigned slots, runner run);
    ~upstream();
    const std::string& id() const
    {
        return id_;
    }
    /// @brief Begun runs by request id.
    std::map<std::string, int> runs();
    std::uint16_t port() const
    {
        return listener_.port();
    }

    /// @brief Bytes of a sound answer.
    static std::string sound_answer(const std::string& id,
                                    const std::string& body);

private:
    void serve(connection& peer);
    void beat();
    store& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    unsigned slots_;
    runner run_;
    std::int64_t born_;
    std::mutex mutex_;
    std::condition_variable stopped_;
    std::map<std::string, int> runs_;
    bool stopping_ = false;
    listener listener_;
    std::thread beats_;
};

/// @brief Where a gateway listens.
struct gateway_ports
{
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t directory = 0;
    std::uint16_t control = 0;
    std::uint16_t metrics = 0;
};

/// @brief Figures that a settings file has for a machine.
struct machine
{
    std::string name = "front-1";
    std::string zone = "zone-a";
    std::string region = "region-a";
    unsigned memory_mb = 260;
    unsigned max_descriptors = 4100;
};

/// @brief `target/siskinflow_gateway`, started with the line of
/// `deploy/system.toml` for one machine.
class gateway
{
public:
    gateway(const store& platform, machine settings,
            const std::string& log_file);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// @brief Waits for a 200 of the readiness check.
    bool wait_ready(std::chrono::milliseconds limit);
    int readiness(std::chrono::milliseconds limit) const;
    const gateway_ports& ports() const
    {
        return ports_;
    }
    bool running();
    void signal(int number) const;
    /// @brief Ends the process, if it runs, and waits for its end.
    void kill();
    pid_t pid() const
    {
        return pid_;
    }
    /// @brief Anonymous resident memory in bytes.
    std::uint64_t anonymous_bytes() const;
    /// @brief Bytes in the kernel for the caller port: received and not yet
    /// read, and written and not yet acknowledged.
    std::pair<std::uint64_t, std::uint64_t> queued_bytes() const;
    std::size_t open_descriptors() const;
    std::string end_text() const
    {
        return end_;
    }

private:
    gateway_ports ports_;
    pid_t pid_ = -1;
    std::string end_;
};

/// @brief A route of the configuration.
struct route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    std::string timeout = "4000ms";
    std::string objective = "1000ms";
    unsigned max_attempts = 2;
};

/// @brief Writes `op/config`.
/// @param keys of its one tenant
void write_config(store& target, const std::string& version,
                  const std::vector<route>& routes,
                  const std::vector<std::string>& keys = {"key-one"});

/// @brief Whether the case is played with its disruption.
bool trouble();

/// @brief Lets the process open as many descriptors as the system allows it.
void raise_descriptor_limit();

/// @brief Head of a proper request without the empty line.
std::string request_head(const std::string& method, const std::string& path,
                         const std::string& id, unsigned deadline_ms,
                         const std::string& key = "key-one");

} // namespace world
