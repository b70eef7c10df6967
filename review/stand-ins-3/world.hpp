/// @file
/// @brief A small platform on loopback for the scripts of this review: store,
/// targets, callers, and gateways as separate processes.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using std::chrono::milliseconds;

/// @brief Exit codes of a script.
enum class verdict : int
{
    held = 0,
    broken = 1,
    not_run = 2,
};

/// @brief Whether the script plays its disruption: `TROUBLE` is not 0.
bool with_trouble();

/// @brief Seconds since the process started, for the record.
double elapsed();

/// @brief Writes a line to `record.txt` and to standard output.
void record(const std::string& line);

/// @brief Opens `record.txt` in a folder.
void open_record(const std::string& folder);

/// @brief One HTTP message.
struct message
{
    std::string start_line;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string& name) const;
    int status() const;         ///< 0 without an answer.
    std::string method() const; ///< Of a request.
    std::string target() const; ///< Of a request.
    std::size_t length() const; ///< Of the body, as announced.
};

/// @brief A TCP connection with blocking calls.
class connection
{
public:
    connection() = default;
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;

    /// @brief Connects to a port of 127.0.0.1.
    /// @param receive_buffer bytes of the kernel's buffer; 0: as the system
    /// sets it
    /// @param from address of this side, in 127.0.0.0/8
    static connection open(std::uint16_t port, int receive_buffer = 0,
                           const std::string& from = {});

    bool is_open() const
    {
        return descriptor_ >= 0;
    }
    int descriptor() const
    {
        return descriptor_;
    }

    /// @return false if the connection is broken
    bool write(std::string_view bytes) const;

    /// @return false without a whole head in time
    bool read_head(message& out, milliseconds patience);

    /// @brief Reads the announced body.
    bool read_body(message& out, milliseconds patience);

    /// @brief Reads bytes, at least one.
    /// @return bytes read; 0 at the end, -1 on a failure or after `patience`
    long read_some(std::string& out, std::size_t most, milliseconds patience);

    void close();

private:
    int descriptor_ = -1;
    std::string buffer_;
};

/// @brief Listens on a free port of 127.0.0.1 and runs a thread for each
/// connection.
class server
{
public:
    using handler = std::function<void(connection&)>;
    explicit server(handler handle);
    ~server();

    std::uint16_t port() const
    {
        return port_;
    }

    /// @brief Closes the listener and all connections.
    void stop();

private:
    void accept_all();
    void serve(int descriptor);

    handler handle_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<int> descriptors_;
    std::size_t running_ = 0;
    bool stopped_ = false;
    std::thread thread_;
};

/// @brief The platform's store, as PROTOCOL.md describes it.
class store
{
public:
    store();

    std::uint16_t port() const
    {
        return server_->port();
    }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct item
    {
        std::string value; ///< In base64.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::int64_t revision = 0;
        std::string key;
        bool removed = false;
    };
    struct lease
    {
        milliseconds ttl{0};
        time_point ends;
    };

    void serve(connection& link);
    std::pair<int, std::string> answer(const message& request);
    std::string range(const std::string& prefix, const std::string& after);
    std::pair<int, std::string> watch(std::unique_lock<std::mutex>& lock,
                                      const std::string& prefix,
                                      std::int64_t after, milliseconds wait);
    std::string events_after(const std::string& prefix, std::int64_t after);
    std::pair<int, std::string> transact(const std::string& body);
    void write(const std::string& key, const std::string& base64,
               std::uint64_t lease);
    void erase(const std::string& key);
    void end_lease(std::uint64_t id);
    void expire();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::map<std::uint64_t, lease> leases_;
    std::int64_t revision_ = 10;
    std::uint64_t last_lease_ = 100;
    std::unique_ptr<server> server_; ///< Ends first.
};

/// @brief One target. Requests for another instance get 421.
class target
{
public:
    /// @brief Answers a request whose head was read.
    using handler =
        std::function<void(target& self, connection& link, message& request)>;

    target(std::string id, handler handle);

    const std::string& id() const
    {
        return id_;
    }
    std::uint16_t port() const
    {
        return server_->port();
    }

    /// @brief Ends the process that the target stands for.
    void stop()
    {
        server_->stop();
    }

    /// @brief Requests that it began to work on, with their ids.
    std::vector<std::string> runs();

    /// @brief Notes that a request runs.
    void on_run(const message& request);

private:
    void serve(connection& link);

    std::string id_;
    handler handle_;
    std::mutex mutex_;
    std::vector<std::string> runs_;
    std::unique_ptr<server> server_; ///< Ends first.
};

/// @brief Reads the request, works for a time and answers with a signed body.
target::handler sound_target(milliseconds work, std::size_t answer_bytes);

/// @brief Head of a signed answer to a request, without framing and without the
/// empty line.
std::string signed_head(const message& request);

/// @brief Entry of a target in the store.
std::string entry_of(const target& subject, const std::string& service,
                     const std::string& zone, unsigned slots);

/// @brief One route of a configuration.
struct route
{
    std::string prefix;
    std::string kind;
    std::string service;
    std::string timeout = "2000ms";
    std::string aim = "500ms";
};

/// @brief A configuration with one tenant, whose key is `key-of-acme`, and the
/// host `site.example`.
std::string configuration(unsigned version, const std::vector<route>& routes);

/// @brief A gateway process, started with the command of the deploy file.
class gateway
{
public:
    struct options
    {
        std::string name = "front-a-1";
        std::string region = "region-a";
        std::string zone = "zone-a";
        std::string zones = "zone-a=region-a";
        unsigned memory_mb = 260;
        unsigned descriptors = 4100;
        std::string grace = "6s";
    };
    gateway(const options& what, std::uint16_t store_port);
    ~gateway();

    std::uint16_t port() const
    {
        return requests_;
    }
    pid_t id() const
    {
        return process_;
    }
    bool wait_ready(milliseconds patience) const;
    bool ready() const;
    void signal(int number) const;
    bool running();

    /// @brief Resident bytes; 0 once the process has ended.
    std::size_t resident_bytes() const;

    /// @brief Bytes that the kernel holds unread for its connections.
    std::size_t unread_bytes() const;

private:
    std::uint16_t requests_ = 0;
    std::uint16_t readiness_ = 0;
    pid_t process_ = -1;
    bool ended_ = false;
};

/// @brief What a caller sends.
struct call
{
    std::string method = "POST";
    std::string path;
    std::string id;
    std::string body;
    milliseconds deadline{2000};
    std::string object = "1";
};

/// @brief A request as it is sent, without the body.
std::string head_of(const call& what, std::size_t body_bytes);

/// @brief Sends a request on a new connection and reads the answer.
/// @return an empty message without a whole answer
message send(std::uint16_t port, const call& what,
             const std::string& from = {});

/// @brief Waits until a condition holds.
bool until(const std::function<bool()>& condition, milliseconds patience);

} // namespace review
