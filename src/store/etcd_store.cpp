#include "etcd_json.hpp"
#include <siskinflow/store/etcd_store.hpp>
#include <siskinflow/store/revisioned_map.hpp>

#include <algorithm>
#include <map>

namespace siskinflow
{

namespace
{

/// Base64 turns 3 bytes into 4; the rest is for the key and the header.
constexpr std::size_t max_single_answer_bytes =
    max_store_value_bytes / 3 * 4 + 64 * 1024;

/// A watch message may hold all values that one transaction wrote.
constexpr std::size_t max_watch_line_bytes = 4 * max_single_answer_bytes;

constexpr duration max_connect_timeout = std::chrono::seconds(1);

constexpr int status_ok = 200;
constexpr int status_request_timeout = 408;

std::string describe(const net::endpoint& peer)
{
    return "store " + net::to_string(peer);
}

error read_error(const net::endpoint& peer, const net::fetch_result& answer)
{
    if (answer.outcome == net::call_outcome::timed_out)
    {
        return {errc::timeout, describe(peer) + " did not answer in time"};
    }
    if (answer.outcome != net::call_outcome::complete)
    {
        return {errc::unavailable, describe(peer) + ": call ended as " +
                                       std::string(name(answer.outcome))};
    }
    return {errc::unavailable, describe(peer) + " answered with status " +
                                   std::to_string(answer.response.status)};
}

/// @brief Whether the status shows that the request was refused before it ran:
/// any 4xx except 408 (request timeout).
bool refused_before_execution(const net::fetch_result& answer)
{
    const int status = answer.response.status;
    return answer.outcome == net::call_outcome::complete && status >= 400 &&
           status < 500 && status != status_request_timeout;
}

error swap_error(const net::endpoint& peer, const net::fetch_result& answer)
{
    error out = read_error(peer, answer);
    const bool not_written =
        net::never_sent(answer.outcome) || refused_before_execution(answer);
    out.code = not_written ? errc::unavailable : errc::unknown_outcome;
    return out;
}

bool is_ok(const net::fetch_result& answer)
{
    return answer.outcome == net::call_outcome::complete &&
           answer.response.status == status_ok;
}

/// @brief Reads the newline-separated messages of one watch.
class watch_reader final : public net::call_observer
{
public:
    watch_reader(std::function<void(store_value)> on_change,
                 std::function<void(error)> on_end)
        : on_change_(std::move(on_change)), on_end_(std::move(on_end))
    {
    }

    void on_head(int status, const net::http_headers&,
                 std::optional<std::size_t>) override
    {
        if (status != status_ok)
        {
            end({errc::unavailable, "the store answered a watch with status " +
                                        std::to_string(status)});
        }
    }

    void on_body(std::string_view chunk) override
    {
        while (!ended_ && !chunk.empty())
        {
            const auto newline = chunk.find('\n');
            const auto fragment = chunk.substr(0, newline);
            if (line_.size() + fragment.size() > max_watch_line_bytes)
            {
                end({errc::too_large, "a watch message of the store has more "
                                      "than " +
                                          std::to_string(max_watch_line_bytes) +
                                          " bytes"});
                return;
            }
            line_ += fragment;
            chunk.remove_prefix(std::min(chunk.size(), fragment.size() + 1));
            if (newline != std::string_view::npos)
            {
                process_line();
            }
        }
    }

    void on_end(net::call_outcome outcome) override
    {
        end({outcome == net::call_outcome::timed_out ? errc::timeout
                                                     : errc::unavailable,
             "the watch ended as " + std::string(name(outcome))});
    }

    /// @brief Stops all callbacks; called when the owner drops the watch.
    void detach()
    {
        ended_ = true;
    }

private:
    void process_line()
    {
        std::string line = std::exchange(line_, {});
        if (line.ends_with('\r'))
        {
            line.pop_back();
        }
        if (line.empty())
        {
            return;
        }
        auto message = etcd_json::parse_watch(line);
        if (!message)
        {
            end(message.error());
            return;
        }
        for (auto& change : message.value().changes)
        {
            if (ended_)
            {
                return; // The callback has dropped the watch.
            }
            on_change_(std::move(change));
        }
        if (message.value().end)
        {
            end(*message.value().end);
        }
    }

    void end(error reason)
    {
        if (!std::exchange(ended_, true))
        {
            on_end_(std::move(reason));
        }
    }

    std::function<void(store_value)> on_change_;
    std::function<void(error)> on_end_;
    std::string line_;
    bool ended_ = false;
};

class etcd_watch final : public store_watch
{
public:
    etcd_watch(std::shared_ptr<watch_reader> reader,
               std::shared_ptr<net::http_call> call)
        : reader_(std::move(reader)), call_(std::move(call))
    {
    }
    ~etcd_watch() override
    {
        reader_->detach();
        if (call_)
        {
            call_->cancel();
        }
    }

private:
    std::shared_ptr<watch_reader> reader_;
    std::shared_ptr<net::http_call> call_;
};

} // namespace

struct etcd_store::impl : std::enable_shared_from_this<impl>
{
    using answer_handler =
        std::function<void(const net::endpoint&, const net::fetch_result&)>;

    impl(net::http_caller& caller,
         std::function<void(std::function<void()>)> post,
         etcd_store_options options)
        : caller(caller), post(std::move(post)), options(std::move(options))
    {
    }

    net::http_caller& caller;
    std::function<void(std::function<void()>)> post;
    etcd_store_options options;
    std::size_t endpoint_index = 0; ///< Grows with each failure.
    std::uint64_t last_call_id = 0;
    std::map<std::uint64_t, std::shared_ptr<net::http_call>> running_calls;

    const net::endpoint& peer() const
    {
        return options.endpoints[endpoint_index % options.endpoints.size()];
    }

    net::client_request request(const char* path, std::string body,
                                duration timeout) const
    {
        net::client_request out;
        out.peer = peer();
        out.method = "POST";
        out.target = path;
        out.headers.add("content-type", "application/json");
        out.body = std::move(body);
        out.timeout = timeout;
        out.connect_timeout = std::min(timeout, max_connect_timeout);
        return out;
    }

    /// @brief Makes a call and tries the next endpoint as long as nothing was
    /// sent. Each endpoint gets an equal part of the timeout.
    void call(const char* path, std::string body, duration timeout,
              std::size_t max_bytes, answer_handler done)
    {
        const std::size_t count = options.endpoints.size();
        attempt(path, std::move(body),
                timeout / static_cast<duration::rep>(count), max_bytes, count,
                std::move(done));
    }

    void attempt(const char* path, std::string body, duration timeout,
                 std::size_t max_bytes, std::size_t attempts_left,
                 answer_handler done)
    {
        const std::uint64_t id = ++last_call_id;
        const net::endpoint endpoint_used = peer();
        auto on_answer =
            [this, weak = weak_from_this(), id, endpoint_used, path, body,
             timeout, max_bytes, attempts_left,
             done = std::move(done)](const net::fetch_result& answer)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            const auto finished_call = running_calls.extract(id);
            switch_endpoint_on_failure(endpoint_used, answer);
            if (net::never_sent(answer.outcome) && attempts_left > 1)
            {
                attempt(path, body, timeout, max_bytes, attempts_left - 1,
                        done);
                return;
            }
            done(endpoint_used, answer);
        };
        running_calls[id] =
            net::fetch(caller, request(path, std::move(body), timeout),
                       max_bytes, std::move(on_answer));
    }

    /// @brief Switches to the next endpoint after a failure and closes the idle
    /// connections to the failed one, which may have gone silent as well.
    void switch_endpoint_on_failure(const net::endpoint& endpoint_used,
                                    const net::fetch_result& answer)
    {
        if (answer.outcome == net::call_outcome::complete &&
            answer.response.status < 500)
        {
            return;
        }
        caller.close_idle_connections(endpoint_used);
        if (endpoint_used == peer())
        {
            ++endpoint_index;
        }
    }
};

etcd_store::etcd_store(net::http_caller& caller,
                       std::function<void(std::function<void()>)> post,
                       etcd_store_options options)
    : impl_(std::make_shared<impl>(caller, std::move(post), std::move(options)))
{
}

etcd_store::~etcd_store()
{
    impl_->running_calls.clear();
}

void etcd_store::read(std::string key, duration timeout,
                      callback<std::optional<store_value>> done)
{
    impl_->call(
        "/v3/kv/range", etcd_json::range_body(key), timeout,
        max_single_answer_bytes,
        [done = std::move(done)](const net::endpoint& peer,
                                 const net::fetch_result& answer)
        {
            if (!is_ok(answer))
            {
                done(boost::outcome_v2::failure(read_error(peer, answer)));
                return;
            }
            auto values = etcd_json::parse_range(answer.response.body);
            if (!values)
            {
                done(boost::outcome_v2::failure(values.error()));
                return;
            }
            if (values.value().empty())
            {
                done(std::optional<store_value>());
                return;
            }
            done(std::optional(std::move(values.value().front())));
        });
}

void etcd_store::read_prefix(std::string prefix, duration timeout,
                             callback<std::vector<store_value>> done)
{
    impl_->call(
        "/v3/kv/range", etcd_json::range_body(prefix, prefix_end(prefix)),
        timeout, impl_->options.max_answer_bytes,
        [done = std::move(done)](const net::endpoint& peer,
                                 const net::fetch_result& answer)
        {
            if (!is_ok(answer))
            {
                done(boost::outcome_v2::failure(read_error(peer, answer)));
                return;
            }
            done(etcd_json::parse_range(answer.response.body));
        });
}

void etcd_store::swap(swap_request request, duration timeout,
                      callback<store_revision> done)
{
    for (const auto& [key, value] : request.puts)
    {
        if (value.size() > max_store_value_bytes)
        {
            impl_->post(
                [done, key = key, size = value.size()]
                {
                    done(fail(errc::too_large,
                              "the value for key '" + key + "' has " +
                                  std::to_string(size) +
                                  " bytes, more than the store allows (1 MB)"));
                });
            return;
        }
    }
    impl_->call(
        "/v3/kv/txn", etcd_json::swap_body(request), timeout,
        max_single_answer_bytes,
        [done = std::move(done)](const net::endpoint& peer,
                                 const net::fetch_result& answer)
        {
            if (!is_ok(answer))
            {
                done(boost::outcome_v2::failure(swap_error(peer, answer)));
                return;
            }
            auto revision = etcd_json::parse_swap(answer.response.body);
            if (!revision && revision.error().code == errc::parse_error)
            {
                done(fail(errc::unknown_outcome, revision.error().message));
                return;
            }
            done(std::move(revision));
        });
}

std::unique_ptr<store_watch>
etcd_store::watch(std::string key, store_revision from,
                  std::function<void(store_value)> on_change,
                  std::function<void(error)> on_end)
{
    const net::endpoint endpoint_used = impl_->peer();
    auto handle_end = [weak = impl_->weak_from_this(), endpoint_used,
                       on_end = std::move(on_end)](error reason)
    {
        const auto self = weak.lock();
        const bool expected =
            reason.code == errc::timeout || reason.code == errc::stale;
        if (self && !expected && endpoint_used == self->peer())
        {
            ++self->endpoint_index;
        }
        on_end(std::move(reason));
    };
    auto reader = std::make_shared<watch_reader>(std::move(on_change),
                                                 std::move(handle_end));
    auto call = impl_->caller.start(
        impl_->request("/v3/watch", etcd_json::watch_body(key, from),
                       impl_->options.max_watch_duration),
        reader);
    return std::make_unique<etcd_watch>(std::move(reader), std::move(call));
}

} // namespace siskinflow
