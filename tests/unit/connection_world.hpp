/// @file
/// @brief Requests of callers, the real gateway and its real HTTP client, and
/// targets on loopback sockets that a test plays.
#pragma once

#include "request_flow_world.hpp"
#include <siskinflow/net/http_client.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace connection_world
{

using namespace siskinflow;

/// @brief What a target has done with a request that has arrived.
enum class arrival_state : std::uint8_t
{
    due,     ///< Not decided; it may run.
    ran,     ///< Ran and succeeded.
    failed,  ///< Ran and failed.
    refused, ///< Has not run and never will.
};

/// @brief Name of a state in snake_case.
inline std::string_view name(arrival_state value)
{
    static constexpr std::array<std::string_view, 4> names = {
        "due", "ran", "failed", "refused"};
    return names.at(static_cast<std::size_t>(value));
}

/// @brief One arrival of a request at a target.
struct arrival
{
    std::string id;
    std::size_t connection = 0; ///< Number from 1.
    arrival_state state = arrival_state::due;
    /// Step in which the caller last sent the id.
    std::size_t sent_in_step = 0;

    bool may_run() const
    {
        return state != arrival_state::refused;
    }
};

/// @brief The answers of a target. The cut of each is in the middle of a field
/// in front of its id.
enum class answer_kind : std::uint8_t
{
    success,
    failure,     ///< Unsigned; proves nothing.
    refusal,     ///< 503.
    misdirected, ///< 421 of another instance.
};

/// @brief An answer that was sent on a connection, and can be copied.
struct sent_answer
{
    answer_kind kind;
    std::string bytes;

    bool refuses() const
    {
        return kind == answer_kind::refusal || kind == answer_kind::misdirected;
    }

    /// @brief Its beginning, without its id.
    std::string cut() const
    {
        constexpr std::string_view cut_field = "server: ma";
        return bytes.substr(0, bytes.find(cut_field) + cut_field.size());
    }
};

/// @brief Formats the answer to a request.
inline sent_answer make_answer(answer_kind kind, const std::string& id)
{
    struct row
    {
        std::string_view status;
        std::string_view fields;
        std::string_view body;
    };
    static constexpr std::array<row, 4> rows = {{
        {"200 OK", "siskinflow-response-signature: signed\r\n", "ok"},
        {"500 Internal Server Error", "", ""},
        {"503 Service Unavailable", "siskinflow-not-executed: 1\r\n", ""},
        {"421 Misdirected Request", "siskinflow-instance-id: other\r\n", ""},
    }};
    const row& entry = rows.at(static_cast<std::size_t>(kind));
    std::string bytes = "HTTP/1.1 ";
    bytes.append(entry.status).append("\r\n").append(entry.fields);
    bytes += "server: made\r\nsiskinflow-request-id: " + id +
             "\r\ncontent-length: " + std::to_string(entry.body.size()) +
             "\r\n\r\n";
    bytes.append(entry.body);
    return {kind, std::move(bytes)};
}

/// @brief A connection as its target sees it.
struct target_connection
{
    int descriptor = -1;
    bool open = true; ///< Neither end has closed it.
    bool closed_by_peer = false;
    std::string received;         ///< Part of a request.
    std::vector<std::size_t> due; ///< Arrivals without an answer, in order.
    std::vector<sent_answer> sent;
    std::string rest; ///< Of an answer that was begun.

    /// @brief The last answer sent that is a refusal, or is none; null if there
    /// is no such answer.
    const sent_answer* last(bool refuses) const
    {
        const auto found = std::find_if(sent.rbegin(), sent.rend(),
                                        [refuses](const sent_answer& answer) {
                                            return answer.refuses() == refuses;
                                        });
        return found == sent.rend() ? nullptr : &*found;
    }

    /// @brief The first refusal sent; null if there is none.
    const sent_answer* first_refusal() const
    {
        const auto found = std::find_if(sent.begin(), sent.end(),
                                        [](const sent_answer& answer)
                                        { return answer.refuses(); });
        return found == sent.end() ? nullptr : &*found;
    }
};

/// @brief One send of a request by a caller.
struct caller_send
{
    std::string id;
    bool order;
    std::size_t began;     ///< Step.
    std::size_t ended = 0; ///< Step of the answer; 0: none yet.
    std::shared_ptr<request_flow_world::recorded_exchange> exchange;

    bool promised() const
    {
        const int status = exchange->status;
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
};

/// @brief A registered target.
struct entry
{
    std::string id;
    std::size_t address; ///< Index of the listener.
    unsigned slots = 6;
};

/// @brief All of it. Sequences follow each other, each with a new state of the
/// VM, on one loop, which h2o can't destroy, and one client, which links its
/// timeout to that loop.
class world
{
public:
    static constexpr duration timeout = std::chrono::milliseconds(2000);
    static constexpr std::size_t address_count = 2;

    world()
        : loop(time), log(time, [](std::string_view /*line*/) {}), client(loop)
    {
        for (std::size_t i = 0; i < address_count; ++i)
        {
            listeners_.push_back(listen(ports_[i]));
        }
    }

    /// @brief Begins a sequence without requests.
    void begin(const std::vector<entry>& entries)
    {
        close_all();
        constexpr duration gap = std::chrono::seconds(100);
        time.advance(gap);
        loop.run_once(duration::zero());
        sends.clear();
        arrivals.clear();
        connections.clear();
        step = 0;
        state_.emplace(loop, client, codec, log, metric_set, settings());
        gateway::policy policy;
        policy.version = 1;
        policy.routes = {route("orders", false), route("lookups", true)};
        policy.services.resize(1);
        policy.services.front().name = service_name;
        state().apply_policy(std::move(policy), 1);
        incarnations_ = 0;
        for (const entry& registered : entries)
        {
            put(registered);
        }
    }

    /// @brief A caller sends a request.
    void send(const std::string& id, bool order)
    {
        net::http_request request;
        request.method = order ? "POST" : "GET";
        request.path = order ? "/orders/1" : "/lookups/1";
        request.headers = {{"host", "site.example"},
                           {"siskinflow-request-id", id},
                           {"siskinflow-request-deadline-ms", "2000"}};
        auto exchange = std::make_shared<request_flow_world::recorded_exchange>(
            std::move(request));
        sends.push_back({id, order, step, 0, exchange});
        std::make_shared<gateway::request_flow>(state(), exchange)->start();
    }

    /// @brief Lets the gateway and the targets read what has arrived.
    void settle()
    {
        // Connect, write, read and the callback that each of them posts.
        constexpr int passes = 4;
        for (int i = 0; i < passes; ++i)
        {
            loop.run_once(duration::zero());
            read_all();
        }
        note_answers();
    }

    /// @brief Lets all time pass.
    void end()
    {
        // The ends of the wait for room, of the request, and of an idle
        // connection.
        for (const duration idle_time :
             {duration(std::chrono::milliseconds(300)),
              duration(std::chrono::seconds(3)),
              duration(std::chrono::seconds(6))})
        {
            ++step;
            time.advance(idle_time);
            settle();
        }
        wait_for_closes();
    }

    // The targets

    /// @brief A connection that neither end has closed; null if there is none.
    /// @param number from 0, in the order in which they were accepted
    target_connection* open_connection(std::size_t number)
    {
        return number < connections.size() && connections[number].open
                   ? &connections[number]
                   : nullptr;
    }

    /// @brief Answers the request that is due.
    void answer(target_connection& connection, answer_kind kind)
    {
        write(connection, decide(connection, kind).bytes);
    }

    /// @brief Sends the beginning of an answer.
    /// @param size its bytes; the others follow as `rest`
    void
    begin_answer(target_connection& connection, answer_kind kind,
                 const std::function<std::size_t(const sent_answer&)>& size)
    {
        const sent_answer& answer = decide(connection, kind);
        connection.rest = answer.bytes.substr(size(answer));
        write(connection, answer.bytes.substr(0, size(answer)));
    }

    /// @brief Sends bytes that are not due.
    void write(target_connection& connection, const std::string& bytes)
    {
        if (::send(connection.descriptor, bytes.data(), bytes.size(),
                   MSG_NOSIGNAL) < 0)
        {
            connection.open = false;
        }
    }

    void write_rest(target_connection& connection)
    {
        write(connection, std::exchange(connection.rest, {}));
    }

    /// @brief Ends a connection after the bytes sent so far.
    void close(target_connection& connection)
    {
        ::shutdown(connection.descriptor, SHUT_WR);
        connection.open = false;
    }

    // The registry

    void put(const entry& registered)
    {
        gateway::target_record record;
        record.id = registered.id;
        record.service = service_name;
        record.address = {"127.0.0.1", ports_[registered.address]};
        record.failure_domain = "north-1";
        record.region = "north";
        record.slots = registered.slots;
        record.started_at_ms = ++incarnations_;
        state().targets.put(record, time.now());
        state().withdraw_unsent();
        state().place_all_waiting();
    }

    void remove(const std::string& id)
    {
        state().targets.remove(id);
        state().withdraw_unsent();
    }

    bool registered(const std::string& id) const
    {
        return state_->targets.find(id) != nullptr;
    }

    gateway::gateway_state& state()
    {
        return *state_;
    }
    const gateway::gateway_state& state() const
    {
        return *state_;
    }

    manual_clock time;
    net::event_loop loop;
    event_log log;
    metrics metric_set;
    platform::http_codec codec;
    net::http_client client;
    std::vector<caller_send> sends;
    std::vector<arrival> arrivals;
    std::vector<target_connection> connections;
    std::size_t step = 0; ///< Number of the present step, from 1.

private:
    static constexpr const char* service_name = "orders";

    static gateway::gateway_settings settings()
    {
        gateway::gateway_settings out;
        out.self.name = "vm1";
        out.self.region = "north";
        out.self.failure_domain = "north-1";
        out.regions = {{"north-1", "north"}};
        out.stop_grace = std::chrono::seconds(6);
        out.retry_ratio = 1;
        out.retry_slack = 1000;
        return out;
    }

    static gateway::route_policy route(const std::string& name, bool idempotent)
    {
        gateway::route_policy out;
        out.name = name;
        out.host = "site.example";
        out.path_prefix = "/" + name + "/";
        out.idempotent = idempotent;
        out.timeout = timeout;
        out.objective = std::chrono::milliseconds(500);
        out.max_attempts = 2;
        out.open = true;
        out.services = {{service_name, 1}};
        return out;
    }

    /// The target runs or refuses the request that is due.
    const sent_answer& decide(target_connection& connection, answer_kind kind)
    {
        static constexpr std::array<arrival_state, 4> states = {
            arrival_state::ran, arrival_state::failed, arrival_state::refused,
            arrival_state::refused};
        arrival& due = arrivals[connection.due.front()];
        connection.due.erase(connection.due.begin());
        due.state = states.at(static_cast<std::size_t>(kind));
        connection.sent.push_back(make_answer(kind, due.id));
        return connection.sent.back();
    }

    /// Opens a listener of a target on a free port of the loopback address.
    static int listen(std::uint16_t& port)
    {
        const int out =
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* native = reinterpret_cast<sockaddr*>(&address);
        if (out < 0 || ::bind(out, native, size) != 0 ||
            ::listen(out, SOMAXCONN) != 0 ||
            ::getsockname(out, native, &size) != 0)
        {
            std::abort();
        }
        port = ntohs(address.sin_port);
        return out;
    }

    /// Reads what `poll` reports: a call for each socket takes most of the
    /// time.
    void read_all()
    {
        std::vector<pollfd> sockets;
        const auto add = [&sockets](int descriptor) {
            sockets.push_back({descriptor, POLLIN, 0});
        };
        std::for_each(listeners_.begin(), listeners_.end(), add);
        for (const target_connection& connection : connections)
        {
            add(connection.closed_by_peer ? -1 : connection.descriptor);
        }
        if (::poll(sockets.data(), sockets.size(), 0) <= 0)
        {
            return;
        }
        for (std::size_t i = 0; i < connections.size(); ++i)
        {
            if (sockets[listeners_.size() + i].revents != 0)
            {
                read(connections[i]);
            }
        }
        for (std::size_t i = 0; i < listeners_.size(); ++i)
        {
            if (sockets[i].revents != 0)
            {
                accept_all(listeners_[i]);
            }
        }
    }

    void accept_all(int listener)
    {
        while (true)
        {
            const int accepted = ::accept4(listener, nullptr, nullptr,
                                           SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted < 0)
            {
                return;
            }
            // A close with a reset leaves no port in TIME_WAIT: the thousands
            // of sequences would use all ports.
            const linger reset{1, 0};
            ::setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset,
                         sizeof(reset));
            // Otherwise a second write waits for the acknowledgement of the
            // first.
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            connections.emplace_back().descriptor = accepted;
            read(connections.back());
        }
    }

    void read(target_connection& connection)
    {
        std::array<char, 4096> buffer{};
        while (true)
        {
            const auto size =
                ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
            if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            {
                return;
            }
            if (size <= 0)
            {
                connection.open = false;
                connection.closed_by_peer = true;
                return;
            }
            connection.received.append(buffer.data(),
                                       static_cast<std::size_t>(size));
            take_requests(connection);
        }
    }

    /// The requests have no bodies.
    void take_requests(target_connection& connection)
    {
        constexpr std::string_view id_field = "siskinflow-request-id: ";
        constexpr std::string_view head_end = "\r\n\r\n";
        while (true)
        {
            const auto end = connection.received.find(head_end);
            if (end == std::string::npos)
            {
                return;
            }
            const std::string head =
                connection.received.substr(0, end + head_end.size());
            connection.received.erase(0, end + head_end.size());
            const auto from = head.find(id_field) + id_field.size();
            arrival arrived;
            arrived.id = head.substr(from, head.find('\r', from) - from);
            arrived.connection =
                static_cast<std::size_t>(&connection - connections.data()) + 1;
            arrived.sent_in_step = last_sent(arrived.id);
            connection.due.push_back(arrivals.size());
            arrivals.push_back(std::move(arrived));
        }
    }

    std::size_t last_sent(const std::string& id) const
    {
        std::size_t out = 0;
        for (const caller_send& sent : sends)
        {
            out = sent.id == id ? sent.began : out;
        }
        return out;
    }

    void note_answers()
    {
        for (caller_send& sent : sends)
        {
            if (sent.ended == 0 && sent.exchange->answers > 0)
            {
                sent.ended = step;
            }
        }
    }

    /// The system may deliver a close late when it is busy.
    void wait_for_closes()
    {
        constexpr int max_waits = 100;
        constexpr auto wait = std::chrono::milliseconds(1);
        const auto closed = [](const target_connection& connection)
        { return connection.closed_by_peer; };
        for (int i = 0; i < max_waits; ++i)
        {
            read_all();
            if (std::all_of(connections.begin(), connections.end(), closed))
            {
                return;
            }
            std::this_thread::sleep_for(wait);
        }
    }

    void close_all()
    {
        for (target_connection& connection : connections)
        {
            if (connection.descriptor >= 0)
            {
                ::close(std::exchange(connection.descriptor, -1));
            }
        }
        connections.clear();
        for (const std::uint16_t port : ports_)
        {
            client.close_idle_connections({"127.0.0.1", port});
        }
    }

    std::optional<gateway::gateway_state> state_; ///< Empty before `begin`.
    std::array<std::uint16_t, address_count> ports_{};
    std::vector<int> listeners_;
    std::int64_t incarnations_ = 0;
};

} // namespace connection_world
