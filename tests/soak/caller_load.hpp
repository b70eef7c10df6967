/// @file
/// @brief The callers of a soak.
#pragma once

#include "promise_checker.hpp"

#include <array>
#include <random>

namespace soak
{

/// @brief Sends lookups and orders without pause. Some callers leave, and those
/// that were refused return to another VM.
class caller_load
{
public:
    caller_load(gateway_world& world, promise_checker& promises,
                std::mt19937_64& random, std::size_t vms)
        : world_(world), promises_(promises), random_(random), vms_(vms)
    {
    }

    void start(std::chrono::milliseconds request_gap)
    {
        timer_ = world_.caller().loop().every(request_gap, [this]
                                              { send(draw(), any_vm(), 1); });
    }

    /// @brief Also sends lookups of the organisation that exceeds its rate, in
    /// spells.
    void start_bursts(std::uint64_t seed)
    {
        burst_random_.seed(seed);
        bursts_ = world_.caller().loop().every(burst_gap, [this] { burst(); });
    }

    void stop()
    {
        timer_.reset();
        bursts_.reset();
    }

    bool idle() const
    {
        return running_.empty();
    }

    int served_in_a_row() const
    {
        return in_a_row_;
    }

    std::uint64_t sent() const
    {
        return number_;
    }

private:
    static constexpr std::uint64_t orders_per_hundred = 50;
    /// Orders that outlast the grace time of a stop, if they arrive late in it.
    static constexpr std::uint64_t long_orders_per_hundred = 5;
    static constexpr std::uint64_t bodies_per_hundred = 10;
    static constexpr std::uint64_t leavers_per_hundred = 5;
    /// Of those that return.
    static constexpr std::uint64_t same_id_per_hundred = 60;
    static constexpr unsigned most_sends_of_an_id = 4;
    static constexpr std::chrono::milliseconds return_delay{200};
    /// Of those under the same id; a target is used again 700 ms after it has
    /// refused three times in a row.
    static constexpr std::array<std::chrono::milliseconds, 3> same_id_delays{
        std::chrono::milliseconds(20), std::chrono::milliseconds(200),
        std::chrono::milliseconds(750)};
    static constexpr std::size_t longest_body = 60000;
    /// 200 requests per second, ten times the rate of their organisation, for a
    /// third of the time.
    static constexpr std::chrono::milliseconds burst_gap{5};
    static constexpr int burst_requests = 200;
    static constexpr int burst_period = 3 * burst_requests;

    bool chance(std::uint64_t per_hundred)
    {
        return random_() % 100 < per_hundred;
    }

    caller_request draw()
    {
        caller_request out;
        const bool order = chance(orders_per_hundred);
        const bool is_long = chance(long_orders_per_hundred);
        out.id = (order ? "order-" : "look-") + std::to_string(++number_);
        out.path = !order ? "/maps/1" : is_long ? "/orders/long" : "/orders/1";
        out.path += "?of=" + out.id;
        out.method = order ? "POST" : "GET";
        out.object = std::to_string(random_() % 20);
        out.patience =
            std::chrono::milliseconds(order && is_long ? 9000 : 2000);
        out.kept_connection = chance(50);
        if (order && chance(bodies_per_hundred))
        {
            out.body = body_of(out.id, random_() % longest_body);
        }
        return out;
    }

    void burst()
    {
        if (burst_step_++ % burst_period >= burst_requests)
        {
            return;
        }
        caller_request out;
        out.id = "look-burst-" + std::to_string(++burst_number_);
        out.path += "?of=" + out.id;
        out.key = key_over_rate;
        out.object = std::to_string(burst_random_() % 20);
        out.patience = std::chrono::milliseconds(2000);
        out.kept_connection = true;
        const std::size_t vm = burst_random_() % vms_;
        const time_point sent = world_.caller().loop().now();
        promises_.on_sent(out, vm, sent);
        running_[out.id] =
            world_.send(vm, out,
                        [this, vm, sent, out](const net::fetch_result& got)
                        {
                            promises_.check(vm, sent, out, got);
                            world_.caller().loop().post(
                                [this, id = out.id] { running_.erase(id); });
                        });
    }

    std::size_t any_vm()
    {
        return random_() % vms_;
    }

    /// @param number how often the request has been sent, with this send
    void send(const caller_request& request, std::size_t vm, unsigned number)
    {
        const time_point sent = world_.caller().loop().now();
        promises_.on_sent(request, vm, sent);
        running_[request.id] = world_.send(
            vm, request,
            [this, vm, sent, request, number](const net::fetch_result& got)
            { on_answer(vm, sent, request, got, number); });
        if (chance(leavers_per_hundred))
        {
            const std::chrono::milliseconds patience(random_() % 600);
            world_.caller().loop().after(patience, [this, id = request.id]
                                         { running_.erase(id); });
        }
    }

    void on_answer(std::size_t vm, time_point sent,
                   const caller_request& request, const net::fetch_result& got,
                   unsigned number)
    {
        promises_.check(vm, sent, request, got);
        const bool answered = got.outcome == net::call_outcome::complete;
        const bool served = answered && got.response.status == 200;
        in_a_row_ = served ? in_a_row_ + 1 : 0;
        world_.caller().loop().post([this, id = request.id]
                                    { running_.erase(id); });
        if (answered && got.response.status == 503 &&
            number < most_sends_of_an_id)
        {
            come_back(vm, request, number);
        }
    }

    void come_back(std::size_t vm, caller_request request, unsigned number)
    {
        if (chance(same_id_per_hundred))
        {
            // The query tells the sends of an id apart at the targets.
            request.path = request.path.substr(0, request.path.find('&')) +
                           "&send=" + std::to_string(number + 1);
            const auto delay =
                same_id_delays[random_() % same_id_delays.size()];
            world_.caller().loop().after(delay, [this, vm, request, number]
                                         { send(request, vm, number + 1); });
            return;
        }
        if (number > 1)
        {
            return;
        }
        request.id += "-again";
        world_.caller().loop().after(
            return_delay,
            [this, request] { send(request, any_vm(), most_sends_of_an_id); });
    }

    gateway_world& world_;
    promise_checker& promises_;
    std::mt19937_64& random_;
    std::size_t vms_;
    std::shared_ptr<void> timer_;
    std::map<std::string, std::shared_ptr<net::http_call>> running_;
    std::uint64_t number_ = 0;
    int in_a_row_ = 0;
    std::mt19937_64 burst_random_;
    std::shared_ptr<void> bursts_;
    int burst_step_ = 0;
    std::uint64_t burst_number_ = 0;
};

} // namespace soak
