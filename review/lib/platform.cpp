#include "platform.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using nlohmann::json;

namespace
{

constexpr std::size_t gateway_ports = 5;
constexpr milliseconds poll_step{20};

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    const auto last = text.find_last_not_of(" \t\r\n");
    return first == std::string::npos ? std::string()
                                      : text.substr(first, last - first + 1);
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

/// A socket bound to a free loopback port.
int bound_socket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    if (descriptor < 0 ||
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0)
    {
        throw not_runnable{"no free port"};
    }
    return descriptor;
}

std::vector<std::uint16_t> free_ports(std::size_t count)
{
    std::vector<int> sockets;
    std::vector<std::uint16_t> out;
    for (std::size_t i = 0; i < count; ++i)
    {
        sockets.push_back(bound_socket());
        out.push_back(port_of(sockets.back()));
    }
    for (const int descriptor : sockets)
    {
        ::close(descriptor);
    }
    return out;
}

std::string base64(const std::string& bytes)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            const auto byte = i + j < bytes.size()
                                  ? static_cast<unsigned char>(bytes[i + j])
                                  : 0U;
            group = (group << 8) | byte;
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            out.push_back(i + j > bytes.size()
                              ? '='
                              : digits[(group >> (18 - 6 * j)) & 0x3F]);
        }
    }
    return out;
}

std::string percent_decoded(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out.push_back(static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
            continue;
        }
        out.push_back(text[i]);
    }
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto start = target.find('?');
    std::istringstream parts(
        start == std::string::npos ? std::string() : target.substr(start + 1));
    for (std::string part; std::getline(parts, part, '&');)
    {
        const auto equals = std::min(part.find('='), part.size());
        out[part.substr(0, equals)] =
            percent_decoded(part.substr(std::min(equals + 1, part.size())));
    }
    return out;
}

milliseconds parse_duration(const std::string& text)
{
    const double value = std::strtod(text.c_str(), nullptr);
    return milliseconds(
        static_cast<long>(text.ends_with("ms") ? value : value * 1000));
}

/// Replaces each occurrence of a placeholder.
void replace(std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
    {
        text.replace(at, from.size(), to);
    }
}

std::vector<gateway*>& started_gateways()
{
    static std::vector<gateway*> gateways;
    return gateways;
}

void end_gateways()
{
    for (gateway* vm : started_gateways())
    {
        if (!vm->ended())
        {
            vm->signal(SIGKILL);
            while (!vm->ended())
            {
                std::this_thread::sleep_for(poll_step);
            }
        }
    }
}

/// The command line of the gateway in the deploy file.
std::string deploy_command()
{
    std::ifstream file("deploy/system.toml");
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("run = \""))
        {
            return line.substr(7, line.rfind('"') - 7);
        }
    }
    throw not_runnable{"deploy/system.toml has no command"};
}

} // namespace

// Record

record::record(const std::string& folder)
    : file_(std::fopen((folder + "/record.txt").c_str(), "w"))
{
    if (file_ == nullptr)
    {
        throw not_runnable{"record.txt can't be written"};
    }
}

record::~record()
{
    std::fclose(file_);
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(now() - started_).count();
    std::fprintf(file_, "%8.3f s  %s\n", static_cast<double>(elapsed) / 1000,
                 text.c_str());
    std::fflush(file_);
}

// Message

std::string message::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

int message::status() const
{
    const auto space = start_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(&start_line[space + 1]);
}

std::string message::method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string message::target() const
{
    const auto first = start_line.find(' ');
    return start_line.substr(first + 1, start_line.rfind(' ') - first - 1);
}

// Connection

connection::connection(int descriptor) : descriptor_(descriptor)
{
    static std::atomic<int> last_serial{0};
    serial_ = ++last_serial;
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (descriptor_ >= 0)
    {
        ::close(std::exchange(descriptor_, -1));
    }
}

std::unique_ptr<connection> connection::to(std::uint16_t port,
                                           int receive_buffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof(receive_buffer));
    }
    sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<connection>(descriptor);
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::readable(milliseconds limit) const
{
    pollfd state{descriptor_, POLLIN, 0};
    return ::poll(&state, 1, static_cast<int>(limit.count())) == 1;
}

/// Reads what is there; false at the end of the connection or of the time.
bool connection::fill(time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - now());
    if (left.count() <= 0 || !readable(left))
    {
        return false;
    }
    char buffer[65536];
    const ssize_t size = ::recv(descriptor_, buffer, sizeof(buffer), 0);
    if (size <= 0)
    {
        ended_ = true;
        return false;
    }
    input_.append(buffer, static_cast<std::size_t>(size));
    return true;
}

message connection::receive(milliseconds limit, std::size_t bytes_per_s)
{
    const time_point until = now() + limit;
    message out;
    std::size_t head_end = 0;
    while ((head_end = input_.find("\r\n\r\n")) == std::string::npos)
    {
        if (!fill(until))
        {
            out.timed_out = !ended_;
            return out;
        }
    }
    std::istringstream head(input_.substr(0, head_end));
    input_.erase(0, head_end + 4);
    std::getline(head, out.start_line);
    out.start_line = trimmed(out.start_line);
    for (std::string line; std::getline(head, line);)
    {
        const auto colon = std::min(line.find(':'), line.size());
        out.fields[to_lower(line.substr(0, colon))] =
            trimmed(line.substr(std::min(colon + 1, line.size())));
    }
    const std::size_t length =
        std::strtoul(out.field("content-length").c_str(), nullptr, 10);
    const time_point body_start = now();
    while (input_.size() < length)
    {
        if (bytes_per_s > 0)
        {
            std::this_thread::sleep_until(
                body_start + std::chrono::microseconds(
                                 input_.size() * 1'000'000 / bytes_per_s));
        }
        if (!fill(until))
        {
            out.timed_out = !ended_;
            out.body = input_;
            return out;
        }
    }
    out.body = input_.substr(0, length);
    input_.erase(0, length);
    out.complete = true;
    return out;
}

// Listener

listener::listener(handler on_connection)
    : on_connection_(std::move(on_connection)), descriptor_(bound_socket())
{
    constexpr int backlog = 512;
    ::listen(descriptor_, backlog);
    port_ = port_of(descriptor_);
    thread_ = std::thread([this] { accept_connections(); });
}

listener::~listener()
{
    stopping_ = true;
    ::shutdown(descriptor_, SHUT_RDWR);
    thread_.join();
    ::close(descriptor_);
}

void listener::accept_connections()
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
        // The process ends with the case, and its threads with it.
        std::thread(
            [this, accepted]
            {
                connection peer(accepted);
                on_connection_(peer);
            })
            .detach();
    }
}

// Store

store::door::door(store& owner)
    : owner_(owner), listener_(std::make_unique<listener>(
                         [this](connection& peer) { serve(peer); }))
{
}

void store::put(const std::string& key, const json& value)
{
    const std::lock_guard lock(mutex_);
    write(key, base64(value.dump()), 0);
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    erase(key);
}

void store::write(const std::string& key, const std::string& base64,
                  std::uint64_t lease)
{
    ++revision_;
    const auto present = items_.find(key);
    const std::uint64_t created =
        present == items_.end()
            ? revision_
            : present->second["create-rev"].get<std::uint64_t>();
    items_[key] = {{"key", key},
                   {"value", base64},
                   {"revision", revision_},
                   {"create-rev", created},
                   {"lease", lease}};
    events_.push_back(items_[key]);
    changed_.notify_all();
}

void store::erase(const std::string& key)
{
    if (items_.erase(key) == 0)
    {
        return;
    }
    ++revision_;
    events_.push_back(
        {{"key", key}, {"revision", revision_}, {"tombstone", true}});
    changed_.notify_all();
}

void store::expire_leases()
{
    std::vector<std::string> gone;
    for (auto entry = leases_.begin(); entry != leases_.end();)
    {
        if (entry->second.expires > now())
        {
            ++entry;
            continue;
        }
        for (const auto& [key, item] : items_)
        {
            if (item["lease"] == entry->first)
            {
                gone.push_back(key);
            }
        }
        entry = leases_.erase(entry);
    }
    for (const std::string& key : gone)
    {
        erase(key);
    }
}

void store::door::serve(connection& peer)
{
    constexpr milliseconds idle_limit{60'000};
    bool lost_answer = false;
    for (;;)
    {
        const message request = peer.receive(idle_limit);
        if (!request.complete)
        {
            return;
        }
        lost_answer = lost_answer || silent_;
        if (lost_answer)
        {
            continue;
        }
        const reply answer = owner_.handle(request);
        const std::string body = answer.body.dump();
        lost_answer = silent_;
        if (!lost_answer &&
            !peer.send("HTTP/1.1 " + std::to_string(answer.status) +
                       " Status\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body))
        {
            return;
        }
    }
}

store::reply store::handle(const message& request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const auto query = query_of(target);
    const json body = json::parse(request.body, nullptr, false);
    const auto id = [&path]
    { return std::strtoull(&path[path.rfind('/') + 1], nullptr, 10); };
    if (path == "/kv-watch")
    {
        return watch(query);
    }
    const std::lock_guard lock(mutex_);
    expire_leases();
    if (path == "/kv-range")
    {
        return range(query);
    }
    if (path == "/kv-txn")
    {
        return txn(body);
    }
    if (path == "/kv-lease")
    {
        const std::string ttl = body.value("ttl_time", "");
        leases_[++last_lease_] = {parse_duration(ttl),
                                  now() + parse_duration(ttl)};
        return {200, {{"lease", last_lease_}, {"ttl_time", ttl}}};
    }
    const auto lease = leases_.find(id());
    if (lease == leases_.end())
    {
        return {404, json::object()};
    }
    lease->second.expires =
        path.starts_with("/kv-keep/") ? now() + lease->second.ttl : now();
    expire_leases();
    return {200, json::object()};
}

store::reply store::range(const std::map<std::string, std::string>& query)
{
    json items = json::array();
    const std::string prefix = query.at("prefix");
    for (const auto& [key, item] : items_)
    {
        if (key.starts_with(prefix))
        {
            items.push_back(item);
        }
    }
    return {
        200,
        {{"items", items}, {"has-more", false}, {"current-rev", revision_}}};
}

store::reply store::watch(const std::map<std::string, std::string>& query)
{
    const std::string prefix = query.at("prefix");
    const auto after = std::strtoull(query.at("after").c_str(), nullptr, 10);
    const time_point until =
        now() + milliseconds(std::atol(query.at("wait-ms").c_str()));
    std::unique_lock lock(mutex_);
    for (;;)
    {
        expire_leases();
        json events = json::array();
        for (const json& event : events_)
        {
            if (event["revision"].get<std::uint64_t>() > after &&
                event["key"].get<std::string>().starts_with(prefix))
            {
                events.push_back(event);
            }
        }
        if (!events.empty() || now() >= until)
        {
            return {200, {{"events", events}, {"current-rev", revision_}}};
        }
        changed_.wait_until(lock, std::min(until, now() + milliseconds(200)));
    }
}

store::reply store::txn(const json& body)
{
    for (const json& put : body["puts"])
    {
        const auto lease = put.value("lease", std::uint64_t{0});
        if (lease != 0 && leases_.count(lease) == 0)
        {
            return {404, json::object()};
        }
    }
    for (const json& put : body["puts"])
    {
        write(put["key"], put["value"], put.value("lease", std::uint64_t{0}));
    }
    return {200, {{"revision", revision_}}};
}

// Configuration

json configuration(const std::vector<route>& routes, const std::string& version,
                   const std::vector<std::string>& keys)
{
    json route_rows = json::array();
    json service_rows = json::array();
    for (const route& entry : routes)
    {
        route_rows.push_back({entry.name, host, "/" + entry.name + "/",
                              entry.kind, entry.timeout, entry.target_latency,
                              1, entry.max_attempts, entry.name});
        service_rows.push_back({entry.name, "/health", 330, "0s", 0});
    }
    return {{"version", version},
            {"routes",
             {{"columns",
               {"name", "host", "prefix", "kind", "timeout", "target-latency",
                "priority", "max-attempts", "service"}},
              {"rows", route_rows}}},
            {"services",
             {{"columns",
               {"name", "health-path", "max-connections", "warmup",
                "warmup-per-s"}},
              {"rows", service_rows}}},
            {"tenants",
             {{"columns", {"name", "api-keys", "rate-per-s", "burst"}},
              {"rows", {{tenant_name, json(keys), 0, 0}}}}},
            {"limits",
             {{"max-header-bytes", 8192},
              {"max-body-bytes", 1048576},
              {"header-timeout", "10s"},
              {"idle-timeout", "30s"}}}};
}

// Upstream

upstream::upstream(std::string id, std::string service, handler on_request)
    : id_(std::move(id)), service_(std::move(service)),
      on_request_(std::move(on_request)),
      listener_(
          std::make_unique<listener>([this](connection& peer) { serve(peer); }))
{
}

void upstream::enter(store& where, const std::string& zone,
                     unsigned slots) const
{
    const auto born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    where.put("servers/" + id_,
              {{"service", service_},
               {"address", "127.0.0.1:" + std::to_string(listener_->port())},
               {"zone", zone},
               {"version", "v1"},
               {"max-concurrency", slots},
               {"state", "ready"},
               {"warmup-left", "0s"},
               {"sequence", 1},
               {"born", born}});
}

void upstream::serve(connection& peer)
{
    constexpr milliseconds idle_limit{30'000};
    for (;;)
    {
        const message request = peer.receive(idle_limit);
        if (!request.complete)
        {
            return;
        }
        const std::string id = request.field("siskinflow-request-id");
        const std::string named = request.field("siskinflow-expected-instance");
        if (!named.empty() && named != id_)
        {
            if (!peer.send("HTTP/1.1 421 Misdirected Request\r\n"
                           "Siskinflow-Not-Executed: 1\r\n"
                           "Siskinflow-Request-Id: " +
                           id + "\r\nContent-Length: 0\r\n\r\n"))
            {
                return;
            }
            continue;
        }
        if (!on_request_(*this, {peer, request, ++requests_}))
        {
            return;
        }
    }
}

void upstream::note_run(const message& request)
{
    const std::lock_guard lock(mutex_);
    ++runs_[request.field("siskinflow-request-id")];
}

int upstream::runs(const std::string& request_id)
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(request_id);
    return found == runs_.end() ? 0 : found->second;
}

std::string signed_answer(const message& request, const std::string& body,
                          const std::string& status)
{
    const std::string id = request.field("siskinflow-request-id");
    return "HTTP/1.1 " + status + "\r\nSiskinflow-Request-Id: " + id +
           "\r\nSiskinflow-Response-Signature: 3e1b." + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string to_text(const client_request& request)
{
    const bool has_body = request.method != "GET";
    return request.method + " " + request.path + " HTTP/1.1\r\nHost: " + host +
           "\r\nSiskinflow-Request-Id: " + request.id +
           "\r\nSiskinflow-Request-Deadline-Ms: " +
           std::to_string(request.deadline.count()) +
           "\r\nAuthorization: Bearer " + request.key + "\r\n" +
           (has_body ? "Content-Length: " +
                           std::to_string(request.body.size()) + "\r\n"
                     : std::string()) +
           "\r\n" + request.body;
}

// Gateway

gateway::gateway(const std::string& name, const std::string& zone,
                 std::uint16_t store_port)
    : name_(name), zone_(zone), store_port_(store_port),
      log_(temporary_folder() + "/" + name + ".log"),
      ports_(free_ports(gateway_ports))
{
    started_gateways().push_back(this);
}

/// The command of the deploy file with the settings of a small deployment.
std::vector<std::string> gateway::command() const
{
    std::string text = deploy_command();
    const auto address = [](std::uint16_t port)
    { return "127.0.0.1:" + std::to_string(port); };
    const std::pair<std::string, std::string> values[] = {
        {"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "zone-a=north,zone-b=north"},
        {"{{#bounds.strict-revoke}}{{bounds.revoke}}{{/bounds.strict-revoke}}",
         ""},
        {"{{node-name}}", name_},
        {"{{region}}", "north"},
        {"{{zone}}", zone_},
        {"{{listen.front}}", address(ports_[0])},
        {"{{ip}}:{{inner-ports.0}}", address(ports_[1])},
        {"{{listen.ready}}", address(ports_[2])},
        {"{{listen.directory}}", address(ports_[3])},
        {"{{ip}}:{{inner-ports.1}}", address(ports_[4])},
        {"{{platform.address}}", address(store_port_)},
        {"{{bounds.grace}}", "6s"},
        {"{{bounds.budget-ratio}}", "0.2"},
        {"{{bounds.budget-slack}}", "58"},
        {"{{bounds.cold-slack}}", "5"}};
    for (const auto& [placeholder, value] : values)
    {
        replace(text, placeholder, value);
    }
    if (text.find("{{") != std::string::npos)
    {
        throw not_runnable{"unknown placeholder in the command: " + text};
    }
    std::vector<std::string> out;
    std::istringstream words(text);
    for (std::string word; words >> word;)
    {
        out.push_back(word);
    }
    return out;
}

void gateway::start()
{
    std::vector<std::string> words = command();
    std::vector<char*> arguments;
    for (std::string& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const int log =
        ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = ::fork();
    if (pid_ == 0)
    {
        // The process ends with the case, also when the case is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    ::close(log);
    if (pid_ < 0)
    {
        throw not_runnable{"the gateway can't be started"};
    }
}

bool gateway::wait_ready(milliseconds limit) const
{
    const time_point until = now() + limit;
    while (now() < until)
    {
        const auto peer = connection::to(ports_[2]);
        if (peer != nullptr &&
            peer->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
            peer->receive(milliseconds(500)).status() == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(poll_step);
    }
    return false;
}

void gateway::signal(int number) const
{
    if (pid_ <= 0)
    {
        return;
    }
    ::kill(pid_, number);
}

bool gateway::ended()
{
    if (pid_ > 0 && ::waitpid(pid_, &wait_status_, WNOHANG) == pid_)
    {
        pid_ = -1;
    }
    return pid_ < 0;
}

std::string gateway::ending() const
{
    return WIFSIGNALED(wait_status_)
               ? "ended by signal " + std::to_string(WTERMSIG(wait_status_))
               : "exited with " + std::to_string(WEXITSTATUS(wait_status_));
}

double gateway::resident_mb() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("VmRSS:"))
        {
            return std::strtod(&line[6], nullptr) / 1024;
        }
    }
    return 0;
}

// Case

const std::string& temporary_folder()
{
    static const std::string path = []
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
        {
            throw not_runnable{"no temporary folder"};
        }
        return name;
    }();
    return path;
}

bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

int run_case(int argc, char** argv, const std::function<bool(record&)>& run)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    int out = exit_not_run;
    try
    {
        record notes(folder);
        const bool held = run(notes);
        notes.line(held ? "the rule held" : "the rule was broken");
        out = held ? exit_held : exit_broken;
    }
    catch (const not_runnable& problem)
    {
        std::fprintf(stderr, "the case can't run: %s\n",
                     problem.reason.c_str());
    }
    catch (const std::exception& problem)
    {
        std::fprintf(stderr, "the case can't run: %s\n", problem.what());
    }
    end_gateways();
    std::error_code ignored;
    std::filesystem::remove_all(temporary_folder(), ignored);
    std::fflush(nullptr);
    // Threads of the stand-ins may still wait for bytes.
    ::_exit(out);
}

} // namespace review
