/// @file
/// @brief A caller of a soak with several requests on one connection.
#pragma once

#include "pipelined_connection.hpp"
#include "promise_checker.hpp"

#include <deque>
#include <functional>
#include <vector>

namespace soak
{

/// @brief Sends requests before earlier ones are answered and checks the
/// answers, which must come in the order of the requests.
class pipelined_caller
{
public:
    pipelined_caller(gateway_world& world, promise_checker& promises,
                     std::size_t vm)
        : world_(world), promises_(promises),
          connection_(world.caller_link(vm).port()), vm_(vm)
    {
    }

    /// @brief Sends requests in one piece.
    /// @param closing whether the first asks the server to close the connection
    ///     after its answer
    void send(std::vector<caller_request> requests, bool closing = false)
    {
        const time_point now = world_.caller().loop().now();
        std::string bytes;
        for (caller_request& request : requests)
        {
            promises_.on_sent(request, vm_, now);
            bytes += request_text(request, closing && bytes.empty());
            pending_.push_back({std::move(request), now});
        }
        connection_.send(bytes);
    }

    /// @brief Reads what has arrived.
    /// @param on_answer is called in front of each answer
    /// @return whether the connection can still be used
    bool read(const std::function<void()>& on_answer = [] {})
    {
        connection_.read();
        while (const auto got = connection_.take_answer())
        {
            on_answer();
            if (!is_in_order(*got))
            {
                return false;
            }
            end_first({net::call_outcome::complete, *got});
            if (net::equal_ignoring_case(got->headers.value("connection"),
                                         "close"))
            {
                skip_pending();
                return false;
            }
        }
        if (connection_.closed())
        {
            end_all(net::call_outcome::broken);
            return false;
        }
        return true;
    }

    /// @brief Requests without an answer.
    std::size_t pending() const
    {
        return pending_.size();
    }

    /// @brief When the first request without an answer was sent.
    time_point waits_since() const
    {
        return pending_.front().sent;
    }

    /// @brief Gives up all requests without an answer.
    void time_out()
    {
        end_all(net::call_outcome::timed_out);
    }

private:
    struct sent_request
    {
        caller_request request;
        time_point sent;
    };

    bool is_in_order(const net::http_response& got)
    {
        const std::string id(got.headers.value("siskinflow-request-id"));
        const bool expected = !pending_.empty() &&
                              pending_.front().request.id == id &&
                              connection_.is_framed();
        caller_request request;
        request.id = id;
        promises_.require(expected, request,
                          "a pipelined request got another answer");
        return expected;
    }

    void end_all(net::call_outcome outcome)
    {
        while (!pending_.empty())
        {
            end_first({outcome, {}});
        }
    }

    void end_first(const net::fetch_result& result)
    {
        const sent_request ended = std::move(pending_.front());
        pending_.pop_front();
        promises_.check(vm_, ended.sent, ended.request, result);
    }

    /// The requests behind an answer that closes the connection.
    void skip_pending()
    {
        for (const sent_request& each : pending_)
        {
            promises_.on_not_read(each.request);
        }
        pending_.clear();
    }

    gateway_world& world_;
    promise_checker& promises_;
    pipelined_connection connection_;
    std::size_t vm_;
    std::deque<sent_request> pending_;
};

} // namespace soak
