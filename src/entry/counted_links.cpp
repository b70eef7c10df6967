#include "counted_links.hpp"

#include <siskinflow/control/codec.hpp>

#include <utility>

namespace siskinflow::entry
{

peer_traffic_counters::peer_traffic_counters(metrics& registry)
    : registry_(registry)
{
}

void peer_traffic_counters::count_message(direction& to,
                                          std::string_view payload)
{
    const auto envelope =
        control::decode_header(payload, net::max_stream_message_bytes);
    if (!envelope.has_value())
    {
        return;
    }
    const auto index = static_cast<std::size_t>(envelope.value().type);
    if (index >= max_types)
    {
        return;
    }
    metric_handles& metric = to.by_type[index];
    if (metric.count == nullptr)
    {
        const auto label = control::name(envelope.value().type);
        metric.count = &registry_.counter(to.count, {label});
        metric.bytes = &registry_.counter(to.bytes, {label});
    }
    metric.count->add();
    metric.bytes->add(payload.size());
}

void peer_traffic_counters::datagram_sent(std::string_view payload)
{
    count_message(sent_datagrams_, payload);
}

void peer_traffic_counters::datagram_received(std::string_view payload)
{
    count_message(received_datagrams_, payload);
}

void peer_traffic_counters::message_sent(std::string_view payload)
{
    count_message(sent_messages_, payload);
}

void peer_traffic_counters::message_received(std::string_view payload)
{
    count_message(received_messages_, payload);
}

counting_datagram_sender::counting_datagram_sender(
    net::datagram_sender& inner, peer_traffic_counters& counters)
    : inner_(inner), counters_(counters)
{
}

void counting_datagram_sender::send(const net::endpoint& peer,
                                    std::string_view payload)
{
    counters_.datagram_sent(payload);
    inner_.send(peer, payload);
}

counting_message_sender::counting_message_sender(
    net::message_sender& inner, peer_traffic_counters& counters)
    : inner_(inner), counters_(counters)
{
}

void counting_message_sender::request(const net::endpoint& peer,
                                      std::string message, duration timeout,
                                      answer_handler done)
{
    counters_.message_sent(message);
    inner_.request(peer, std::move(message), timeout,
                   [&counters = counters_,
                    done = std::move(done)](result<std::string> answer)
                   {
                       if (answer.has_value())
                       {
                           counters.message_received(answer.value());
                       }
                       done(std::move(answer));
                   });
}

} // namespace siskinflow::entry
