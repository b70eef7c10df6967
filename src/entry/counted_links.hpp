/// @file
/// @brief Counts the messages that a VM exchanges with other VMs.
#pragma once

#include <siskinflow/net/tcp_messages.hpp>
#include <siskinflow/net/udp_socket.hpp>
#include <siskinflow/telemetry/metrics.hpp>

#include <array>

namespace siskinflow::entry
{

/// @brief Counts messages and payload bytes by direction and type.
class peer_traffic_counters
{
public:
    explicit peer_traffic_counters(metrics& registry);

    void datagram_sent(std::string_view payload);
    void datagram_received(std::string_view payload);
    void message_sent(std::string_view payload);
    void message_received(std::string_view payload);

private:
    /// Types above this number are not counted.
    static constexpr std::size_t max_types = 32;

    struct metric_handles
    {
        metric_counter* count = nullptr;
        metric_counter* bytes = nullptr;
    };

    struct direction
    {
        metric_id count;
        metric_id bytes;
        std::array<metric_handles, max_types> by_type{};
    };

    void count_message(direction& to, std::string_view payload);

    metrics& registry_;
    direction sent_datagrams_{metric_id::datagrams_sent,
                              metric_id::datagram_bytes_sent};
    direction received_datagrams_{metric_id::datagrams_received,
                                  metric_id::datagram_bytes_received};
    direction sent_messages_{metric_id::messages_sent,
                             metric_id::message_bytes_sent};
    direction received_messages_{metric_id::messages_received,
                                 metric_id::message_bytes_received};
};

/// @brief Sends datagrams and counts them.
class counting_datagram_sender final : public net::datagram_sender
{
public:
    counting_datagram_sender(net::datagram_sender& inner,
                             peer_traffic_counters& counters);
    void send(const net::endpoint& peer, std::string_view payload) override;

private:
    net::datagram_sender& inner_;
    peer_traffic_counters& counters_;
};

/// @brief Sends requests over TCP; counts them and their answers.
class counting_message_sender final : public net::message_sender
{
public:
    counting_message_sender(net::message_sender& inner,
                            peer_traffic_counters& counters);
    void request(const net::endpoint& peer, std::string message,
                 duration timeout, answer_handler done) override;

private:
    net::message_sender& inner_;
    peer_traffic_counters& counters_;
};

} // namespace siskinflow::entry
