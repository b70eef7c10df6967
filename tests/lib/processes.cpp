#include "processes.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <optional>
#include <random>
#include <sstream>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace siskinflow;
using namespace std::chrono_literals;

namespace processes
{

namespace
{

constexpr std::size_t largest_answer = 64 * 1024 * 1024;

pid_t start(const std::string& program,
            const std::vector<std::string>& arguments, int output)
{
    const std::string path = program_path(program);
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(path.c_str()));
    for (const auto& argument : arguments)
    {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid == 0)
    {
        // A failed assertion ends a test without destructors.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(path.c_str(), argv.data());
        ::_exit(127);
    }
    return pid;
}

} // namespace

std::string program_path(const std::string& name)
{
    if (name.starts_with('/'))
    {
        return name;
    }
    return std::string(SISKINFLOW_BINARY_DIR) + "/" + name;
}

child::child(const std::string& program,
             const std::vector<std::string>& arguments,
             const std::string& log_file)
{
    const int output = ::open(log_file.c_str(),
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = start(program, arguments, output);
    ::close(output);
}

child::~child()
{
    kill();
}

child::child(child&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}

child& child::operator=(child&& other) noexcept
{
    std::swap(pid_, other.pid_);
    return *this;
}

void child::signal(int number) const
{
    if (pid_ > 0)
    {
        ::kill(pid_, number);
    }
}

void child::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

int child::wait(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (pid_ > 0)
    {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : 128 + WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= end)
        {
            return -1;
        }
        std::this_thread::sleep_for(10ms);
    }
    return -1;
}

bool child::running()
{
    return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
}

double child::cpu_seconds() const
{
    clockid_t clock{};
    timespec used{};
    if (pid_ <= 0 || ::clock_getcpuclockid(pid_, &clock) != 0 ||
        ::clock_gettime(clock, &used) != 0)
    {
        return 0;
    }
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) / 1e9;
}

std::uint64_t child::resident_bytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::uint64_t child::peak_resident_bytes() const
{
    constexpr std::uint64_t kilobyte = 1024;
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
    {
        if (line.rfind("VmHWM:", 0) == 0)
        {
            return std::stoull(line.substr(line.find(':') + 1)) * kilobyte;
        }
    }
    return 0;
}

std::uint64_t unread_bytes(std::uint16_t port)
{
    constexpr int hexadecimal = 16;
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line); // Names of the columns.
    std::uint64_t out = 0;
    while (std::getline(file, line))
    {
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        words >> number >> local >> remote >> state >> queues;
        const std::string listening_state = "0A";
        const auto local_port =
            std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal);
        if (local_port == port && state != listening_state)
        {
            out += std::stoull(queues.substr(queues.find(':') + 1), nullptr,
                               hexadecimal);
        }
    }
    return out;
}

std::size_t child::open_descriptors() const
{
    std::error_code ignored;
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(pid_) + "/fd", ignored);
    return static_cast<std::size_t>(
        std::distance(begin(entries), end(entries)));
}

int run(const std::string& program, const std::vector<std::string>& arguments,
        std::string& output)
{
    int pipe_ends[2];
    if (::pipe2(pipe_ends, O_CLOEXEC) != 0)
    {
        return -1;
    }
    const pid_t pid = start(program, arguments, pipe_ends[1]);
    ::close(pipe_ends[1]);
    char buffer[4096];
    for (ssize_t size = 0;
         (size = ::read(pipe_ends[0], buffer, sizeof(buffer))) > 0;)
    {
        output.append(buffer, static_cast<std::size_t>(size));
    }
    ::close(pipe_ends[0]);
    int status = 0;
    ::waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

namespace
{

/// Keeps a port for this process until it ends, by a lock on a file: programs
/// under test leave their ports free while they restart, and other test
/// processes must not choose them meanwhile.
bool reserve_port(std::uint16_t port)
{
    const auto folder =
        std::filesystem::temp_directory_path() / "siskinflow-test-ports";
    std::error_code ignored;
    std::filesystem::create_directory(folder, ignored);
    const std::string file = (folder / std::to_string(port)).string();
    constexpr mode_t owner_only = 0600;
    const int descriptor =
        ::open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, owner_only);
    if (descriptor < 0)
    {
        return false;
    }
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0)
    {
        ::close(descriptor);
        return false;
    }
    return true; // The descriptor stays open and holds the lock.
}

} // namespace

std::vector<std::uint16_t> free_ports(std::size_t count)
{
    // Below the ports that the kernel gives to outgoing connections: one of
    // those is taken by any call between this function and a listener.
    constexpr std::uint16_t first_port = 10000;
    constexpr std::uint16_t ports_tried = 20000;
    static std::mt19937 random{std::random_device{}()};
    std::vector<std::uint16_t> ports;
    std::vector<int> sockets;
    while (ports.size() < count)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto port =
            static_cast<std::uint16_t>(first_port + random() % ports_tried);
        address.sin_port = htons(port);
        if (!reserve_port(port) ||
            ::bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                   sizeof(address)) != 0)
        {
            ::close(descriptor);
            continue;
        }
        ports.push_back(port);
        sockets.push_back(descriptor);
    }
    for (const int descriptor : sockets)
    {
        ::close(descriptor);
    }
    return ports;
}

http::http() = default;

net::fetch_result http::call(net::client_request request)
{
    std::optional<net::fetch_result> got;
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.timeout + 1s);
    const auto handle =
        net::fetch(client_, std::move(request), largest_answer,
                   [&](net::fetch_result value) { got = std::move(value); });
    run_until([&] { return got.has_value(); }, limit);
    return got.value_or(net::fetch_result{});
}

net::fetch_result http::get(std::uint16_t port, const std::string& target,
                            net::http_headers headers)
{
    net::client_request request;
    request.peer = {"127.0.0.1", port};
    request.target = target;
    request.headers = std::move(headers);
    return call(std::move(request));
}

net::fetch_result http::post(std::uint16_t port, const std::string& target,
                             std::string body, net::http_headers headers)
{
    net::client_request request;
    request.peer = {"127.0.0.1", port};
    request.method = "POST";
    request.target = target;
    request.headers = std::move(headers);
    request.body = std::move(body);
    return call(std::move(request));
}

bool http::run_until(const std::function<bool()>& condition,
                     std::chrono::milliseconds limit)
{
    const time_point end = time_.now() + limit;
    while (!condition() && time_.now() < end)
    {
        loop_.run_once(5ms);
    }
    return condition();
}

bool poll_until(http& caller, std::uint16_t port, const std::string& target,
                const std::function<bool(const std::string&)>& condition,
                std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        const auto got = caller.get(port, target);
        if (got.outcome == net::call_outcome::complete &&
            condition(got.response.body))
        {
            return true;
        }
        caller.run_until([] { return false; }, 20ms);
    }
    return false;
}

} // namespace processes
