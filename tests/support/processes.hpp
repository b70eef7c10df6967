/// @file
/// @brief Starts the project's programs for process tests and benchmarks.
#pragma once

#include <siskinflow/net/http_client.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace processes
{

/// @brief A program started by a test; killed and reaped on destruction.
class child
{
public:
    /// @brief Starts a program of the build folder.
    /// @param program file name of the program
    /// @param arguments its arguments
    child(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_file = "/dev/null");
    ~child();
    child(child&& other) noexcept;
    child& operator=(child&& other) noexcept;
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    /// @brief Sends a signal.
    void signal(int number) const;

    /// @brief Sends SIGKILL and reaps the process.
    void kill();

    /// @brief Waits until the process has ended.
    /// @return the exit status, or -1 if it is still running after the limit
    int wait(std::chrono::milliseconds limit);

    bool running();

    /// @brief Processor time used so far in seconds.
    double cpu_seconds() const;

    /// @brief Resident memory in bytes, 0 if the process has ended.
    std::uint64_t resident_bytes() const;

    /// @brief Highest resident memory so far in bytes, 0 as above.
    std::uint64_t peak_resident_bytes() const;

    /// @brief Open descriptors, 0 as above.
    std::size_t open_descriptors() const;

private:
    pid_t pid_ = -1;
};

/// @brief Bytes that wait unread in the kernel for the process that listens on
/// a port of 127.0.0.1, on its connections there.
std::uint64_t unread_bytes(std::uint16_t port);

/// @brief Path of a program of the build folder.
std::string program_path(const std::string& name);

/// @brief Runs a program to its end.
/// @param output receives standard output and standard error
/// @return the exit status
int run(const std::string& program, const std::vector<std::string>& arguments,
        std::string& output);

/// @brief Ports that were free at the time of the call. No other process is
/// given one of them while this process lives.
std::vector<std::uint16_t> free_ports(std::size_t count);

/// @brief Blocking HTTP calls with a loop of their own.
class http
{
public:
    http();
    siskinflow::net::fetch_result call(siskinflow::net::client_request request);
    siskinflow::net::fetch_result get(std::uint16_t port,
                                      const std::string& target,
                                      siskinflow::net::http_headers = {});
    siskinflow::net::fetch_result post(std::uint16_t port,
                                       const std::string& target,
                                       std::string body,
                                       siskinflow::net::http_headers = {});

    /// @brief Runs the loop until a condition holds or a limit passes.
    bool run_until(const std::function<bool()>& condition,
                   std::chrono::milliseconds limit);

    siskinflow::net::event_loop& loop()
    {
        return loop_;
    }
    siskinflow::net::http_client& client()
    {
        return client_;
    }

private:
    siskinflow::boot_clock time_;
    siskinflow::net::event_loop loop_{time_};
    siskinflow::net::http_client client_{loop_};
};

/// @brief Calls until a condition on the answer holds.
/// @return whether it held within the limit
bool poll_until(http& caller, std::uint16_t port, const std::string& target,
                const std::function<bool(const std::string&)>& condition,
                std::chrono::milliseconds limit);

} // namespace processes
