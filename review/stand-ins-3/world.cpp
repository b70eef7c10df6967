#include "world.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

const time_point started_at = steady::now();
std::mutex record_mutex;
std::ofstream record_file;

constexpr const char* key = "key-of-acme";
constexpr milliseconds target_patience{60000};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string()
                                      : text.substr(first, last - first + 1);
}

sockaddr_in loopback(std::uint16_t port, const std::string& address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, address.empty() ? "127.0.0.1" : address.c_str(),
              &out.sin_addr);
    return out;
}

const sockaddr* native(const sockaddr_in& address)
{
    return reinterpret_cast<const sockaddr*>(&address);
}

bool wait_for(int descriptor, short events, milliseconds patience)
{
    pollfd entry{descriptor, events, 0};
    return ::poll(&entry, 1, static_cast<int>(patience.count())) > 0;
}

/// A port that nothing listens on, outside of the range from which the system
/// chooses, so that no other connection takes it meanwhile.
std::uint16_t free_port()
{
    constexpr int first = 12000;
    constexpr int count = 18000;
    static std::mt19937 random{std::random_device()()};
    while (true)
    {
        const auto port = static_cast<std::uint16_t>(
            first + static_cast<int>(random() % count));
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port, {});
        const bool is_free =
            ::bind(descriptor, native(address), sizeof(address)) == 0;
        ::close(descriptor);
        if (is_free)
        {
            return port;
        }
    }
}

std::string encode_base64(std::string_view bytes)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
        {
            const auto byte =
                j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U;
            group = (group << 8) | byte;
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            out += j <= count ? digits[(group >> (18 - 6 * j)) & 63] : '=';
        }
    }
    return out;
}

std::string decode_percent(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            out += text[i];
        }
    }
    return out;
}

std::string query_value(const std::string& target, const std::string& name)
{
    const auto question = target.find('?');
    std::istringstream parts(
        question == std::string::npos ? "" : target.substr(question + 1));
    for (std::string part; std::getline(parts, part, '&');)
    {
        if (part.starts_with(name + "="))
        {
            return decode_percent(part.substr(name.size() + 1));
        }
    }
    return {};
}

std::int64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
}

/// The value of a string or number field in a flat JSON text. The gateway's own
/// calls contain nothing else.
std::string json_value(const std::string& text, const std::string& name)
{
    const auto at = text.find("\"" + name + "\":");
    if (at == std::string::npos)
    {
        return {};
    }
    std::size_t begin = at + name.size() + 3;
    if (begin < text.size() && text[begin] == '"')
    {
        ++begin;
        return text.substr(begin, text.find('"', begin) - begin);
    }
    return text.substr(begin, text.find_first_of(",}]", begin) - begin);
}

milliseconds parse_time(const std::string& text)
{
    const double value = std::strtod(text.c_str(), nullptr);
    const double factor = text.ends_with("ms") ? 1 : 1000;
    return milliseconds(static_cast<std::int64_t>(value * factor));
}

/// Reads a file of /proc, which has no size.
std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

/// Numbers of the sockets that a process has open.
std::set<std::string> sockets_of(pid_t process)
{
    std::set<std::string> out;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    DIR* entries = ::opendir(folder.c_str());
    if (entries == nullptr)
    {
        return out;
    }
    while (const dirent* entry = ::readdir(entries))
    {
        char text[128];
        const std::string link = folder + "/" + entry->d_name;
        const auto size = ::readlink(link.c_str(), text, sizeof(text));
        const std::string name(text, size > 0 ? static_cast<size_t>(size) : 0);
        constexpr std::string_view begin = "socket:[";
        if (name.starts_with(begin))
        {
            out.insert(
                name.substr(begin.size(), name.size() - begin.size() - 1));
        }
    }
    ::closedir(entries);
    return out;
}

} // namespace

bool with_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

double elapsed()
{
    return std::chrono::duration<double>(steady::now() - started_at).count();
}

void open_record(const std::string& folder)
{
    std::signal(SIGPIPE, SIG_IGN);
    record_file.open(folder + "/record.txt");
}

void record(const std::string& line)
{
    const std::lock_guard lock(record_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", elapsed());
    record_file << time << line << std::endl;
    std::cout << time << line << std::endl;
}

// Messages

std::string message::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

int message::status() const
{
    return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9);
}

std::string message::method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string message::target() const
{
    const auto begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

std::size_t message::length() const
{
    return static_cast<std::size_t>(number(field("content-length")));
}

// Connections

connection::~connection()
{
    close();
}

connection::connection(connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      buffer_(std::move(other.buffer_))
{
}

connection& connection::operator=(connection&& other) noexcept
{
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
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
        const sockaddr_in self = loopback(0, from);
        (void)::bind(out.descriptor_, native(self), sizeof(self));
    }
    const sockaddr_in peer = loopback(port, {});
    if (::connect(out.descriptor_, native(peer), sizeof(peer)) != 0)
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

bool connection::write(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        const auto sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

long connection::read_some(std::string& out, std::size_t most,
                           milliseconds patience)
{
    if (!buffer_.empty())
    {
        const std::size_t size = std::min(most, buffer_.size());
        out.append(buffer_, 0, size);
        buffer_.erase(0, size);
        return static_cast<long>(size);
    }
    if (!wait_for(descriptor_, POLLIN, patience))
    {
        return -1;
    }
    std::string part(std::min<std::size_t>(most, 65536), '\0');
    const auto size = ::recv(descriptor_, part.data(), part.size(), 0);
    if (size > 0)
    {
        out.append(part, 0, static_cast<std::size_t>(size));
    }
    return size;
}

bool connection::read_head(message& out, milliseconds patience)
{
    const time_point ends = steady::now() + patience;
    out = {};
    std::string bytes;
    std::size_t end = std::string::npos;
    while ((end = bytes.find("\r\n\r\n")) == std::string::npos)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(ends - steady::now());
        if (left.count() <= 0 || read_some(bytes, 65536, left) <= 0)
        {
            return false;
        }
    }
    buffer_.insert(0, bytes.substr(end + 4));
    std::istringstream lines(bytes.substr(0, end));
    std::getline(lines, out.start_line);
    for (std::string line; std::getline(lines, line);)
    {
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            out.fields[lower(line.substr(0, colon))] =
                trimmed(line.substr(colon + 1));
        }
    }
    return true;
}

bool connection::read_body(message& out, milliseconds patience)
{
    const time_point ends = steady::now() + patience;
    while (out.body.size() < out.length())
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(ends - steady::now());
        if (left.count() <= 0 ||
            read_some(out.body, out.length() - out.body.size(), left) <= 0)
        {
            return false;
        }
    }
    return true;
}

// Server

server::server(handler handle) : handle_(std::move(handle))
{
    constexpr int backlog = 1000;
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0, {});
    socklen_t length = sizeof(address);
    if (::bind(listener_, native(address), length) != 0 ||
        ::listen(listener_, backlog) != 0 ||
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address),
                      &length) != 0)
    {
        record("a stand-in can't listen");
        std::exit(static_cast<int>(verdict::not_run));
    }
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { accept_all(); });
}

server::~server()
{
    stop();
    thread_.join();
}

void server::stop()
{
    std::unique_lock lock(mutex_);
    if (!std::exchange(stopped_, true))
    {
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
    }
    for (const int descriptor : descriptors_)
    {
        ::shutdown(descriptor, SHUT_RDWR);
    }
    ended_.wait(lock, [this] { return running_ == 0; });
}

void server::accept_all()
{
    while (true)
    {
        const int descriptor =
            ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(mutex_);
        if (stopped_)
        {
            ::close(descriptor);
            return;
        }
        if (descriptor < 0)
        {
            continue;
        }
        descriptors_.insert(descriptor);
        ++running_;
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void server::serve(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connection link(descriptor);
    handle_(link);
    const std::lock_guard lock(mutex_);
    descriptors_.erase(descriptor);
    link.close();
    --running_;
    ended_.notify_all();
}

// Store

store::store()
{
    server_ =
        std::make_unique<server>([this](connection& link) { serve(link); });
}

void store::put(const std::string& name, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    write(name, encode_base64(value), 0);
}

void store::remove(const std::string& name)
{
    const std::lock_guard lock(mutex_);
    erase(name);
}

void store::write(const std::string& name, const std::string& base64,
                  std::uint64_t lease)
{
    item& entry = items_[name];
    entry.value = base64;
    entry.revision = ++revision_;
    entry.created = entry.created == 0 ? revision_ : entry.created;
    entry.lease = lease;
    history_.push_back({revision_, name, false});
    changed_.notify_all();
}

void store::erase(const std::string& name)
{
    if (items_.erase(name) != 0)
    {
        history_.push_back({++revision_, name, true});
        changed_.notify_all();
    }
}

void store::end_lease(std::uint64_t id)
{
    leases_.erase(id);
    std::vector<std::string> names;
    for (const auto& [name, entry] : items_)
    {
        if (entry.lease == id)
        {
            names.push_back(name);
        }
    }
    for (const std::string& name : names)
    {
        erase(name);
    }
}

void store::expire()
{
    std::vector<std::uint64_t> ended;
    for (const auto& [id, entry] : leases_)
    {
        if (entry.ends <= steady::now())
        {
            ended.push_back(id);
        }
    }
    for (const std::uint64_t id : ended)
    {
        end_lease(id);
    }
}

void store::serve(connection& link)
{
    message request;
    while (link.read_head(request, target_patience) &&
           link.read_body(request, target_patience))
    {
        const auto [status, body] = answer(request);
        if (!link.write("HTTP/1.1 " + std::to_string(status) +
                        " Answer\r\nContent-Type: application/json\r\n"
                        "Store-Era: 1\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body))
        {
            return;
        }
    }
}

std::pair<int, std::string> store::answer(const message& request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const auto last =
        static_cast<std::uint64_t>(number(path.substr(path.rfind('/') + 1)));
    std::unique_lock lock(mutex_);
    expire();
    if (path == "/kv-range")
    {
        return {200, range(query_value(target, "prefix"),
                           query_value(target, "after"))};
    }
    if (path == "/kv-watch")
    {
        return watch(lock, query_value(target, "prefix"),
                     number(query_value(target, "after")),
                     milliseconds(number(query_value(target, "wait-ms"))));
    }
    if (path == "/kv-lease")
    {
        const std::string ttl = json_value(request.body, "ttl_time");
        leases_[++last_lease_] = {parse_time(ttl),
                                  steady::now() + parse_time(ttl)};
        return {200, "{\"lease\":" + std::to_string(last_lease_) +
                         ",\"ttl_time\":\"" + ttl + "\"}"};
    }
    if (path.starts_with("/kv-keep/"))
    {
        const auto found = leases_.find(last);
        if (found == leases_.end())
        {
            return {404, "{}"};
        }
        found->second.ends = steady::now() + found->second.ttl;
        return {200, "{\"ttl_time\":\"" +
                         std::to_string(found->second.ttl.count()) + "ms\"}"};
    }
    if (path.starts_with("/kv-lease-end/"))
    {
        end_lease(last);
        return {200, "{}"};
    }
    return path == "/kv-txn" ? transact(request.body)
                             : std::pair<int, std::string>(404, "{}");
}

std::string store::range(const std::string& prefix, const std::string& after)
{
    constexpr std::size_t page_items = 500;
    std::string list;
    std::size_t count = 0;
    bool more = false;
    for (const auto& [name, entry] : items_)
    {
        if (!name.starts_with(prefix) || (!after.empty() && name <= after))
        {
            continue;
        }
        if (count == page_items)
        {
            more = true;
            break;
        }
        ++count;
        list += (list.empty() ? "" : ",") + ("{\"key\":\"" + name) +
                "\",\"value\":\"" + entry.value +
                "\",\"revision\":" + std::to_string(entry.revision) +
                ",\"create-rev\":" + std::to_string(entry.created) +
                ",\"lease\":" + std::to_string(entry.lease) + "}";
    }
    return "{\"items\":[" + list +
           "],\"has-more\":" + (more ? "true" : "false") +
           ",\"current-rev\":" + std::to_string(revision_) + "}";
}

std::string store::events_after(const std::string& prefix, std::int64_t after)
{
    std::string list;
    for (const event& change : history_)
    {
        if (change.revision <= after || !change.key.starts_with(prefix))
        {
            continue;
        }
        const auto present = items_.find(change.key);
        std::string entry;
        if (change.removed)
        {
            entry = "{\"key\":\"" + change.key +
                    "\",\"revision\":" + std::to_string(change.revision) +
                    ",\"tombstone\":true}";
        }
        else if (present != items_.end() &&
                 present->second.revision == change.revision)
        {
            entry =
                "{\"key\":\"" + change.key + "\",\"value\":\"" +
                present->second.value +
                "\",\"revision\":" + std::to_string(change.revision) +
                ",\"create-rev\":" + std::to_string(present->second.created) +
                ",\"lease\":" + std::to_string(present->second.lease) + "}";
        }
        if (!entry.empty())
        {
            list += (list.empty() ? "" : ",") + entry;
        }
    }
    return list;
}

std::pair<int, std::string> store::watch(std::unique_lock<std::mutex>& lock,
                                         const std::string& prefix,
                                         std::int64_t after, milliseconds wait)
{
    if (after > revision_)
    {
        return {410, "{}"};
    }
    constexpr milliseconds expiry_interval{100};
    const time_point ends = steady::now() + wait;
    std::string list = events_after(prefix, after);
    while (list.empty() && steady::now() < ends)
    {
        changed_.wait_until(lock,
                            std::min(ends, steady::now() + expiry_interval));
        expire();
        list = events_after(prefix, after);
    }
    return {200, "{\"events\":[" + list +
                     "],\"current-rev\":" + std::to_string(revision_) + "}"};
}

/// The gateway only writes its own entry, without a condition.
std::pair<int, std::string> store::transact(const std::string& body)
{
    const std::string name = json_value(body, "key");
    const auto id =
        static_cast<std::uint64_t>(number(json_value(body, "lease")));
    if (id != 0 && leases_.count(id) == 0)
    {
        return {404, "{}"};
    }
    if (!name.empty())
    {
        write(name, json_value(body, "value"), id);
    }
    return {200, "{\"revision\":" + std::to_string(revision_) + "}"};
}

// Targets

target::target(std::string id, handler handle)
    : id_(std::move(id)), handle_(std::move(handle))
{
    server_ =
        std::make_unique<server>([this](connection& link) { serve(link); });
}

void target::serve(connection& link)
{
    message request;
    while (link.is_open() && link.read_head(request, target_patience))
    {
        if (request.field("siskinflow-expected-instance") == id_)
        {
            handle_(*this, link, request);
            continue;
        }
        if (!link.read_body(request, target_patience) ||
            !link.write("HTTP/1.1 421 Misdirected Request\r\n"
                        "Siskinflow-Not-Executed: 1\r\n"
                        "Siskinflow-Instance-Id: " +
                        id_ + "\r\nSiskinflow-Request-Id: " +
                        request.field("siskinflow-request-id") +
                        "\r\nContent-Length: 0\r\n\r\n"))
        {
            return;
        }
    }
}

void target::on_run(const message& request)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(request.field("siskinflow-request-id"));
}

std::vector<std::string> target::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::string signed_head(const message& request)
{
    const std::string id = request.field("siskinflow-request-id");
    return "HTTP/1.1 200 OK\r\nSiskinflow-Request-Id: " + id +
           "\r\nSiskinflow-Response-Signature: signed-" + id + "\r\n";
}

target::handler sound_target(milliseconds work, std::size_t answer_bytes)
{
    return
        [work, answer_bytes](target& self, connection& link, message& request)
    {
        if (!link.read_body(request, target_patience))
        {
            link.close();
            return;
        }
        self.on_run(request);
        std::this_thread::sleep_for(work);
        if (!link.write(signed_head(request) +
                        "Content-Length: " + std::to_string(answer_bytes) +
                        "\r\n\r\n" + std::string(answer_bytes, 'a')))
        {
            link.close();
        }
    };
}

std::string entry_of(const target& subject, const std::string& service,
                     const std::string& zone, unsigned slots)
{
    return "{\"service\":\"" + service +
           "\",\"address\":\"127.0.0.1:" + std::to_string(subject.port()) +
           "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"max-concurrency\":" +
           std::to_string(slots) +
           ",\"state\":\"ready\",\"warmup-left\":\"0ms\",\"sequence\":1,"
           "\"born\":1790000000000}";
}

std::string configuration(unsigned version, const std::vector<route>& routes)
{
    std::string route_rows;
    std::set<std::string> services;
    for (const route& entry : routes)
    {
        route_rows += (route_rows.empty() ? "" : ",") +
                      ("[\"r" + std::to_string(services.size())) +
                      "\",\"site.example\",\"" + entry.prefix + "\",\"" +
                      entry.kind + "\",\"" + entry.timeout + "\",\"" +
                      entry.aim + "\",1,null,2,false,true,[],\"" +
                      entry.service + "\"]";
        services.insert(entry.service);
    }
    std::string service_rows;
    for (const std::string& name : services)
    {
        service_rows += (service_rows.empty() ? "" : ",") + ("[\"" + name) +
                        "\",\"/health\",330,\"h1\",false,\"3s\",7.4]";
    }
    return "{\"version\":\"r" + std::to_string(version) +
           "\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\","
           "\"timeout\",\"target-latency\",\"priority\",\"weighted-backends\","
           "\"max-attempts\",\"auth-exempt\",\"session-affinity\","
           "\"allowed-regions\",\"service\"],\"rows\":[" +
           route_rows +
           "]},\"services\":{\"columns\":[\"name\",\"health-path\","
           "\"max-connections\",\"protocol\",\"tls\",\"warmup\","
           "\"warmup-per-s\"],\"rows\":[" +
           service_rows +
           "]},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
           "67108864,\"header-timeout\":\"3000ms\",\"idle-timeout\":"
           "\"15000ms\"},\"tenants\":{\"columns\":[\"name\",\"api-keys\","
           "\"priority\",\"rate-per-s\",\"burst\",\"allowed-regions\"],"
           "\"rows\":[[\"acme\",[\"" +
           key + "\"],0,0,0,[]]]}}";
}

// Gateways

gateway::gateway(const options& what, std::uint16_t store_port)
    : requests_(free_port()), readiness_(free_port())
{
    const auto address = [](std::uint16_t port)
    { return "127.0.0.1:" + std::to_string(port); };
    std::vector<std::string> words = {
        "target/siskinflow_gateway",
        "--vm_name=" + what.name,
        "--region=" + what.region,
        "--failure_domain=" + what.zone,
        "--http_listen=" + address(requests_),
        "--readiness_listen=" + address(readiness_),
        "--directory_listen=" + address(free_port()),
        "--control_listen=" + address(free_port()),
        "--metrics_listen=" + address(free_port()),
        "--store=" + address(store_port),
        "--domain_regions=" + what.zones,
        "--stop_grace=" + what.grace,
        "--revocation_limit=",
        "--retry_ratio=0.2",
        "--retry_slack=58",
        "--cold_slack=5",
        "--memory_limit=" + std::to_string(what.memory_mb),
        "--descriptor_limit=" + std::to_string(what.descriptors)};
    std::vector<char*> arguments;
    for (std::string& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    ::setenv("SISKINFLOW_POLICY_LIMIT", "2500ms", 1);
    ::setenv("SISKINFLOW_DRAIN_LIMIT", "2500ms", 1);
    process_ = ::fork();
    if (process_ == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the script.
        const int output = ::open("/dev/null", O_WRONLY);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
}

gateway::~gateway()
{
    if (running())
    {
        signal(SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

void gateway::signal(int number) const
{
    ::kill(process_, number);
}

bool gateway::running()
{
    ended_ = ended_ || ::waitpid(process_, nullptr, WNOHANG) == process_;
    return !ended_;
}

bool gateway::ready() const
{
    connection link = connection::open(readiness_);
    message answer;
    constexpr milliseconds patience{1000};
    return link.is_open() &&
           link.write("GET /readiness HTTP/1.1\r\nHost: vm\r\n\r\n") &&
           link.read_head(answer, patience) && answer.status() == 200;
}

bool gateway::wait_ready(milliseconds patience) const
{
    return until([this] { return ready(); }, patience);
}

std::size_t gateway::resident_bytes() const
{
    const std::string text =
        read_file("/proc/" + std::to_string(process_) + "/status");
    const auto at = text.find("VmRSS:");
    constexpr std::size_t kibibyte = 1024;
    return at == std::string::npos
               ? 0
               : static_cast<std::size_t>(number(text.substr(at + 6))) *
                     kibibyte;
}

std::size_t gateway::unread_bytes() const
{
    const std::set<std::string> sockets = sockets_of(process_);
    std::istringstream lines(read_file("/proc/net/tcp"));
    std::string line;
    std::getline(lines, line); // The names of the columns.
    std::size_t out = 0;
    while (std::getline(lines, line))
    {
        std::istringstream words(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string skip;
        std::string socket;
        words >> slot >> local >> remote >> state >> queues >> skip >> skip >>
            skip >> skip >> socket;
        constexpr const char* listening = "0A";
        if (state != listening && sockets.count(socket) != 0)
        {
            out += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return out;
}

// Callers

std::string head_of(const call& what, std::size_t body_bytes)
{
    return what.method + " " + what.path +
           " HTTP/1.1\r\nHost: site.example\r\nSiskinflow-Request-Id: " +
           what.id + "\r\nSiskinflow-Affinity-Key: " + what.object +
           "\r\nSiskinflow-Request-Deadline-Ms: " +
           std::to_string(what.deadline.count()) +
           "\r\nAuthorization: Bearer " + key +
           "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

message send(std::uint16_t port, const call& what, const std::string& from)
{
    connection link = connection::open(port, 0, from);
    message out;
    constexpr milliseconds margin{1000};
    if (!link.is_open() ||
        !link.write(head_of(what, what.body.size()) + what.body) ||
        !link.read_head(out, what.deadline + margin) ||
        !link.read_body(out, what.deadline + margin))
    {
        return {};
    }
    return out;
}

bool until(const std::function<bool()>& condition, milliseconds patience)
{
    constexpr milliseconds interval{20};
    const time_point ends = steady::now() + patience;
    while (!condition())
    {
        if (steady::now() >= ends)
        {
            return false;
        }
        std::this_thread::sleep_for(interval);
    }
    return true;
}

} // namespace review
