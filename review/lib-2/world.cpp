#include "world.hpp"

#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace world
{

using namespace std::chrono_literals;
using json = nlohmann::json;

namespace
{

const steady::time_point begin = steady::now();

sockaddr_in loopback(std::uint16_t port, const std::string& address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
}

std::string lower(std::string text)
{
    for (char& c : text)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

constexpr char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
        {
            group = (group << 8) |
                    (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += k <= n ? digits[(group >> (18 - 6 * k)) & 63U] : '=';
        }
    }
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
    {
        return out;
    }
    std::istringstream parts(target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');)
    {
        const auto equals = part.find('=');
        std::string value =
            equals == std::string::npos ? "" : part.substr(equals + 1);
        std::string plain;
        for (std::size_t i = 0; i < value.size(); ++i)
        {
            if (value[i] == '%' && i + 2 < value.size())
            {
                plain += static_cast<char>(
                    std::stoi(value.substr(i + 1, 2), nullptr, 16));
                i += 2;
                continue;
            }
            plain += value[i];
        }
        out[part.substr(0, equals)] = plain;
    }
    return out;
}

std::chrono::milliseconds duration_of(const std::string& text)
{
    const double number = std::stod(text);
    const bool in_ms = text.ends_with("ms");
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(in_ms ? number : number * 1000));
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                                 begin)
        .count();
}

// Record

recorder::recorder(const std::string& path)
    : file_(std::fopen(path.c_str(), "w"))
{
}

recorder::~recorder()
{
    if (file_ != nullptr)
    {
        std::fclose(file_);
    }
}

void recorder::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(now_ms()) / 1000,
                 text.c_str());
    std::fflush(file_);
}

// Connection

connection::connection(connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

connection& connection::operator=(connection&& other) noexcept
{
    if (this != &other)
    {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
    }
    return *this;
}

connection connection::open(std::uint16_t port, int receive_buffer,
                            const std::string& from)
{
    connection out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receive_buffer > 0)
    {
        ::setsockopt(out.descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof(receive_buffer));
    }
    if (!from.empty())
    {
        const sockaddr_in source = loopback(0, from);
        (void)::bind(out.descriptor_,
                     reinterpret_cast<const sockaddr*>(&source),
                     sizeof(source));
    }
    const sockaddr_in address = loopback(port, "127.0.0.1");
    if (::connect(out.descriptor_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0)
    {
        out.close();
        return out;
    }
    const int on = 1;
    ::setsockopt(out.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return out;
}

void connection::close()
{
    if (descriptor_ >= 0)
    {
        ::close(std::exchange(descriptor_, -1));
    }
}

void connection::reset()
{
    const linger now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

bool connection::send(std::string_view bytes, std::chrono::milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (!bytes.empty())
    {
        const ssize_t n = ::send(descriptor_, bytes.data(), bytes.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0)
        {
            bytes.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - steady::now());
        pollfd ready{descriptor_, POLLOUT, 0};
        if ((errno != EAGAIN && errno != EWOULDBLOCK) || left <= 0ms ||
            ::poll(&ready, 1, static_cast<int>(left.count())) <= 0)
        {
            return false;
        }
    }
    return true;
}

std::optional<std::string> connection::receive(std::chrono::milliseconds limit,
                                               std::size_t most)
{
    pollfd ready{descriptor_, POLLIN, 0};
    const int wait = static_cast<int>(std::max<std::int64_t>(0, limit.count()));
    if (::poll(&ready, 1, wait) <= 0)
    {
        return std::nullopt;
    }
    std::string out(std::min<std::size_t>(most, 65536), '\0');
    const ssize_t n = ::recv(descriptor_, out.data(), out.size(), 0);
    out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return out;
}

// Messages

int message::status() const
{
    return start_line.starts_with("HTTP/1.") && start_line.size() >= 12
               ? std::atoi(start_line.c_str() + 9)
               : 0;
}

std::string message::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

message read_message(connection& from, std::string& rest,
                     std::chrono::milliseconds limit)
{
    const auto end = steady::now() + limit;
    message out;
    std::size_t head_end = std::string::npos;
    std::size_t length = 0;
    while (true)
    {
        if (!out.has_head)
        {
            head_end = rest.find("\r\n\r\n");
            if (head_end != std::string::npos)
            {
                out.has_head = true;
                std::istringstream lines(rest.substr(0, head_end));
                std::string line;
                std::getline(lines, out.start_line);
                while (std::getline(lines, line))
                {
                    const auto colon = line.find(':');
                    std::string value = line.substr(colon + 1);
                    while (!value.empty() && std::isspace(value.back()) != 0)
                    {
                        value.pop_back();
                    }
                    value.erase(0, value.find_first_not_of(' '));
                    out.fields[lower(line.substr(0, colon))] = value;
                }
                length = static_cast<std::size_t>(
                    std::atoll(out.field("content-length").c_str()));
                rest.erase(0, head_end + 4);
            }
        }
        if (out.has_head && rest.size() >= length)
        {
            out.body = rest.substr(0, length);
            rest.erase(0, length);
            out.whole = true;
            return out;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - steady::now());
        const auto bytes = left <= 0ms ? std::nullopt : from.receive(left);
        if (!bytes || bytes->empty())
        {
            out.body = out.has_head ? rest : std::string();
            return out;
        }
        rest += *bytes;
    }
}

message call(std::uint16_t port, const std::string& request,
             std::chrono::milliseconds limit)
{
    auto peer = connection::open(port);
    std::string rest;
    if (!peer.valid() || !peer.send(request, limit))
    {
        return {};
    }
    return read_message(peer, rest, limit);
}

std::vector<std::uint16_t> free_ports(std::size_t count)
{
    std::vector<connection> held;
    std::vector<std::uint16_t> out;
    while (out.size() < count)
    {
        connection next(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address = loopback(0, "127.0.0.1");
        socklen_t size = sizeof(address);
        (void)::bind(next.descriptor(), reinterpret_cast<sockaddr*>(&address),
                     size);
        ::getsockname(next.descriptor(), reinterpret_cast<sockaddr*>(&address),
                      &size);
        out.push_back(ntohs(address.sin_port));
        held.push_back(std::move(next));
    }
    return out;
}

// Listener

listener::listener(handler serve)
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      serve_(std::move(serve))
{
    sockaddr_in address = loopback(0, "127.0.0.1");
    socklen_t size = sizeof(address);
    constexpr int backlog = 1024;
    (void)::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size);
    (void)::listen(descriptor_, backlog);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { run(); });
}

listener::~listener()
{
    stopping_ = true;
    ::shutdown(descriptor_, SHUT_RDWR);
    thread_.join();
    ::close(descriptor_);
}

void listener::run()
{
    while (!stopping_)
    {
        const int accepted =
            ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
        {
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        // The process ends without waiting for the threads of connections.
        std::thread(
            [serve = serve_, accepted]
            {
                connection peer(accepted);
                serve(peer);
            })
            .detach();
    }
}

// Store

store::store()
{
    listener_ =
        std::make_unique<listener>([this](connection& peer) { serve(peer); });
    expiry_ = std::thread([this] { expire(); });
}

store::~store()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    expiry_.join();
    listener_.reset();
}

void store::expire()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        changed_.wait_for(lock, 50ms);
        const auto now = steady::now();
        while (!history_.empty() && history_.front().at + history < now)
        {
            dropped_ = history_.front().revision;
            history_.erase(history_.begin());
        }
        for (auto entry = leases_.begin(); entry != leases_.end();)
        {
            if (entry->second.end > now)
            {
                ++entry;
                continue;
            }
            const std::uint64_t id = entry->first;
            entry = leases_.erase(entry);
            std::vector<std::string> keys;
            for (const auto& [key, value] : items_)
            {
                if (value.lease == id)
                {
                    keys.push_back(key);
                }
            }
            for (const auto& key : keys)
            {
                erase(key);
            }
        }
    }
}

void store::write(const std::string& key, const std::string& value,
                  std::uint64_t lease_id)
{
    item& entry = items_[key];
    entry.value = value;
    entry.revision = ++revision_;
    entry.lease = lease_id;
    if (entry.create_revision == 0)
    {
        entry.create_revision = revision_;
    }
    history_.push_back({revision_, key, entry, steady::now()});
    changed_.notify_all();
}

void store::erase(const std::string& key)
{
    if (items_.erase(key) != 0)
    {
        history_.push_back({++revision_, key, std::nullopt, steady::now()});
        changed_.notify_all();
    }
}

void store::put(const std::string& key, const json& value)
{
    const std::lock_guard lock(mutex_);
    write(key, to_base64(value.dump()), 0);
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    erase(key);
}

void store::refuse(bool refused)
{
    const std::lock_guard lock(mutex_);
    refused_ = refused;
    changed_.notify_all();
}

std::size_t store::count(const std::string& prefix)
{
    const std::lock_guard lock(mutex_);
    std::size_t out = 0;
    for (const auto& [key, value] : items_)
    {
        out += key.starts_with(prefix) ? 1 : 0;
    }
    return out;
}

void store::serve(connection& peer)
{
    std::string rest;
    while (true)
    {
        const message request = read_message(peer, rest, 600s);
        if (!request.whole)
        {
            return;
        }
        const auto [status, body] = answer(request);
        const std::string text = body.dump();
        const std::string head =
            "HTTP/1.1 " + std::to_string(status) +
            " Status\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(text.size()) + "\r\n\r\n";
        if (!peer.send(head + text))
        {
            return;
        }
    }
}

std::pair<int, json> store::answer(const message& request)
{
    std::istringstream line(request.start_line);
    std::string method;
    std::string target;
    line >> method >> target;
    const std::string path = target.substr(0, target.find('?'));
    auto query = query_of(target);
    {
        const std::lock_guard lock(mutex_);
        if (refused_)
        {
            return {429, json::object()};
        }
    }
    if (path == "/kv-range")
    {
        return range(query["prefix"], query["after"]);
    }
    if (path == "/kv-watch")
    {
        return watch(query["prefix"], std::stoull(query["after"]),
                     std::chrono::milliseconds(std::stoll(query["wait-ms"])));
    }
    const json body = json::parse(request.body, nullptr, false);
    if (path == "/kv-txn")
    {
        return txn(body);
    }
    const std::lock_guard lock(mutex_);
    if (path == "/kv-lease")
    {
        const std::string ttl = body.at("ttl_time").get<std::string>();
        const auto length = duration_of(ttl);
        leases_[++last_lease_] = {length, steady::now() + length};
        return {200, {{"lease", last_lease_}, {"ttl_time", ttl}}};
    }
    const auto slash = path.rfind('/');
    const std::uint64_t id =
        std::strtoull(path.c_str() + slash + 1, nullptr, 10);
    const auto found = leases_.find(id);
    if (found == leases_.end())
    {
        return {404, json::object()};
    }
    if (path.starts_with("/kv-keep/"))
    {
        found->second.end = steady::now() + found->second.ttl;
        return {200, {{"lease", id}}};
    }
    found->second.end = steady::now();
    changed_.notify_all();
    return {200, json::object()};
}

std::pair<int, json> store::range(const std::string& prefix,
                                  const std::string& after)
{
    constexpr std::size_t page_items = 500;
    const std::lock_guard lock(mutex_);
    json items = json::array();
    bool more = false;
    for (auto entry = items_.lower_bound(prefix);
         entry != items_.end() && entry->first.starts_with(prefix); ++entry)
    {
        if (!after.empty() && entry->first <= after)
        {
            continue;
        }
        if (items.size() == page_items)
        {
            more = true;
            break;
        }
        items.push_back({{"key", entry->first},
                         {"value", entry->second.value},
                         {"revision", entry->second.revision},
                         {"create-rev", entry->second.create_revision},
                         {"lease", entry->second.lease}});
    }
    return {200,
            {{"items", items}, {"has-more", more}, {"current-rev", revision_}}};
}

std::pair<int, json> store::watch(const std::string& prefix,
                                  std::uint64_t after,
                                  std::chrono::milliseconds wait)
{
    std::unique_lock lock(mutex_);
    const auto end = steady::now() + wait;
    json events = json::array();
    while (true)
    {
        if (refused_)
        {
            return {429, json::object()};
        }
        if (after < dropped_)
        {
            return {410, json::object()};
        }
        for (const event& entry : history_)
        {
            if (entry.revision <= after || !entry.key.starts_with(prefix))
            {
                continue;
            }
            json out = {{"key", entry.key}, {"revision", entry.revision}};
            if (entry.written)
            {
                out["value"] = entry.written->value;
                out["create-rev"] = entry.written->create_revision;
                out["lease"] = entry.written->lease;
            }
            else
            {
                out["tombstone"] = true;
            }
            events.push_back(out);
        }
        if (!events.empty() || stopping_ || steady::now() >= end)
        {
            return {200, {{"events", events}, {"current-rev", revision_}}};
        }
        changed_.wait_until(lock, end);
    }
}

std::pair<int, json> store::txn(const json& body)
{
    const std::lock_guard lock(mutex_);
    json failed = json::array();
    for (const json& row : body.at("expected-rev"))
    {
        const std::string key = row.is_array()
                                    ? row.at(0).get<std::string>()
                                    : row.at("key").get<std::string>();
        const std::uint64_t expected =
            row.is_array() ? row.at(1).get<std::uint64_t>()
                           : row.at("revision").get<std::uint64_t>();
        const auto found = items_.find(key);
        const std::uint64_t revision =
            found == items_.end() ? 0 : found->second.revision;
        if (revision != expected)
        {
            failed.push_back({{"key", key}, {"revision", revision}});
        }
    }
    if (!failed.empty())
    {
        return {412, {{"items", failed}}};
    }
    for (const json& put : body.at("puts"))
    {
        const std::uint64_t id = put.value("lease", std::uint64_t{0});
        if (id != 0 && leases_.count(id) == 0)
        {
            return {404, json::object()};
        }
    }
    for (const json& put : body.at("puts"))
    {
        write(put.at("key"), put.at("value"),
              put.value("lease", std::uint64_t{0}));
    }
    for (const json& key : body.at("remove"))
    {
        erase(key);
    }
    return {200, {{"revision", revision_}}};
}

// Upstream

upstream::upstream(store& target, std::string id, std::string service,
                   std::string zone, unsigned slots, runner run)
    : store_(target), id_(std::move(id)), service_(std::move(service)),
      zone_(std::move(zone)), slots_(slots), run_(std::move(run)),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      listener_([this](connection& peer) { serve(peer); }),
      beats_([this] { beat(); })
{
}

upstream::~upstream()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        stopped_.notify_all();
    }
    beats_.join();
}

void upstream::beat()
{
    constexpr auto heartbeat = 1500ms;
    std::unique_lock lock(mutex_);
    for (unsigned sequence = 1; !stopping_; ++sequence)
    {
        store_.put("servers/" + id_,
                   {{"service", service_},
                    {"address", "127.0.0.1:" + std::to_string(port())},
                    {"zone", zone_},
                    {"version", "v1"},
                    {"max-concurrency", slots_},
                    {"state", "ready"},
                    {"warmup-left", "0ms"},
                    {"sequence", sequence},
                    {"born", born_}});
        stopped_.wait_for(lock, heartbeat);
    }
}

std::map<std::string, int> upstream::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::string upstream::sound_answer(const std::string& id,
                                   const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nSiskinflow-Request-Id: " + id +
           "\r\nSiskinflow-Response-Signature: sig-" + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

void upstream::serve(connection& peer)
{
    std::string rest;
    while (true)
    {
        const message request = read_message(peer, rest, 600s);
        if (!request.whole)
        {
            return;
        }
        const arrival seen{request.field("siskinflow-request-id"), request};
        const std::string expected =
            request.field("siskinflow-expected-instance");
        if (!expected.empty() && expected != id_)
        {
            const std::string answer =
                "HTTP/1.1 421 Misdirected\r\nSiskinflow-Request-Id: " +
                seen.id +
                "\r\nSiskinflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            if (!peer.send(answer))
            {
                return;
            }
            continue;
        }
        {
            const std::lock_guard lock(mutex_);
            ++runs_[seen.id];
        }
        run_(peer, seen);
        if (!peer.valid())
        {
            return;
        }
    }
}

// Gateway

gateway::gateway(const store& platform, machine settings,
                 const std::string& log_file)
{
    const auto free = free_ports(5);
    ports_ = {free[0], free[1], free[2], free[3], free[4]};
    const auto address = [](std::uint16_t port)
    { return "127.0.0.1:" + std::to_string(port); };
    const std::vector<std::string> words = {
        "target/siskinflow_gateway",
        "--vm_name=" + settings.name,
        "--region=" + settings.region,
        "--failure_domain=" + settings.zone,
        "--http_listen=" + address(ports_.front),
        "--readiness_listen=" + address(ports_.ready),
        "--directory_listen=" + address(ports_.directory),
        "--control_listen=" + address(ports_.control),
        "--metrics_listen=" + address(ports_.metrics),
        "--store=" + address(platform.port()),
        "--domain_regions=" + settings.zone + "=" + settings.region,
        "--stop_grace=6s",
        "--revocation_limit=",
        "--retry_ratio=0.2",
        "--retry_slack=64",
        "--cold_slack=5",
        "--memory_limit=" + std::to_string(settings.memory_mb),
        "--descriptor_limit=" + std::to_string(settings.max_descriptors)};
    std::vector<char*> arguments;
    for (const std::string& word : words)
    {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log =
            ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("SISKINFLOW_POLICY_LIMIT", "2500ms", 1);
        ::setenv("SISKINFLOW_DRAIN_LIMIT", "2500ms", 1);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
}

gateway::~gateway()
{
    kill();
}

void gateway::kill()
{
    if (!running())
    {
        return;
    }
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    end_ = "killed by the case";
}

bool gateway::running()
{
    if (pid_ <= 0 || !end_.empty())
    {
        return false;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == 0)
    {
        return true;
    }
    end_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit " + std::to_string(WEXITSTATUS(status));
    return false;
}

void gateway::signal(int number) const
{
    ::kill(pid_, number);
}

int gateway::readiness(std::chrono::milliseconds limit) const
{
    return call(ports_.ready, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n",
                limit)
        .status();
}

bool gateway::wait_ready(std::chrono::milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (steady::now() < end)
    {
        if (readiness(500ms) == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

std::uint64_t gateway::anonymous_bytes() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("RssAnon:"))
        {
            return std::stoull(line.substr(8)) * 1024;
        }
    }
    return 0;
}

std::pair<std::uint64_t, std::uint64_t> gateway::queued_bytes() const
{
    std::pair<std::uint64_t, std::uint64_t> out{0, 0};
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line))
    {
        unsigned local_port = 0;
        unsigned state = 0;
        unsigned long sent = 0;
        unsigned long received = 0;
        if (std::sscanf(line.c_str(), " %*u: %*x:%x %*x:%*x %x %lx:%lx",
                        &local_port, &state, &sent, &received) == 4 &&
            local_port == ports_.front && state == 1)
        {
            out.first += received;
            out.second += sent;
        }
    }
    return out;
}

std::size_t gateway::open_descriptors() const
{
    const std::string path = "/proc/" + std::to_string(pid_) + "/fd";
    DIR* folder = ::opendir(path.c_str());
    std::size_t out = 0;
    while (folder != nullptr && ::readdir(folder) != nullptr)
    {
        ++out;
    }
    if (folder != nullptr)
    {
        ::closedir(folder);
    }
    return out;
}

// Configuration

void write_config(store& target, const std::string& version,
                  const std::vector<route>& routes,
                  const std::vector<std::string>& keys)
{
    json rows = json::array();
    json services = json::array();
    std::set<std::string> named;
    for (const route& entry : routes)
    {
        rows.push_back({entry.name, "site.example", entry.prefix, entry.kind,
                        entry.timeout, entry.objective, 1, nullptr,
                        entry.max_attempts, false, false, json::array(),
                        entry.service});
        if (!named.insert(entry.service).second)
        {
            continue;
        }
        services.push_back(
            {entry.service, "/health", 390, "h1", false, "3s", 16.0});
    }
    target.put(
        "op/config",
        {{"version", version},
         {"routes",
          {{"columns",
            {"name", "host", "prefix", "kind", "timeout", "target-latency",
             "priority", "weighted-backends", "max-attempts", "auth-exempt",
             "session-affinity", "allowed-regions", "service"}},
           {"rows", rows}}},
         {"services",
          {{"columns",
            {"name", "health-path", "max-connections", "protocol", "tls",
             "warmup", "warmup-per-s"}},
           {"rows", services}}},
         {"limits",
          {{"max-header-bytes", 16384},
           {"max-body-bytes", 67108864},
           {"header-timeout", "3000ms"},
           {"idle-timeout", "15000ms"}}},
         {"tenants",
          {{"columns",
            {"name", "api-keys", "priority", "rate-per-s", "burst",
             "allowed-regions"}},
           {"rows", json::array({json::array(
                        {"tenant-one", keys, 0, 0, 0, json::array()})})}}}});
}

bool trouble()
{
    const char* setting = std::getenv("TROUBLE");
    return setting == nullptr || std::string_view(setting) != "0";
}

void raise_descriptor_limit()
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
}

std::string request_head(const std::string& method, const std::string& path,
                         const std::string& id, unsigned deadline_ms,
                         const std::string& key)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: site.example\r\nSiskinflow-Request-Id: " + id +
           "\r\nSiskinflow-Request-Deadline-Ms: " +
           std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " + key +
           "\r\n";
}

} // namespace world
