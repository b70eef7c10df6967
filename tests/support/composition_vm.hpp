/// @file
/// @brief One entry VM of the composition tests, wired as in `entry_node`.
#pragma once

#include "composition.hpp"

#include <entry/issuer_client.hpp>
#include <utility>

namespace composition
{

/// @brief Records what a caller sees.
class caller_exchange final : public net::http_exchange
{
public:
    caller_exchange(net::http_request given, std::string body)
        : body_(std::move(body)), request_(std::move(given))
    {
        request_.body = body_;
    }
    const net::http_request& request() const override
    {
        return request_;
    }
    void release_body() override
    {
        request_.body = {};
    }
    void respond(net::http_response response) override
    {
        start(response.status, response.headers, response.body.size());
        write(response.body);
        finish();
    }
    void respond_in_parts(int given, const net::http_headers& fields,
                          std::vector<std::string> body) override
    {
        start(given, fields, std::nullopt);
        for (std::string& part : body)
        {
            write(std::move(part));
        }
        finish();
    }
    void start(int given, const net::http_headers& fields,
               std::optional<std::size_t> /*content_length*/) override
    {
        starts += gone ? 0 : 1;
        status = given;
        headers = fields;
    }
    void write(std::string /*part*/) override {}
    void finish() override
    {
        finishes += gone ? 0 : 1;
    }
    void abort() override
    {
        aborts += gone ? 0 : 1;
    }
    void close_after_response() override {}
    void on_drain(std::function<void()> /*callback*/) override {}
    void on_cancel(std::function<void()> callback) override
    {
        cancel_ = std::move(callback);
    }
    bool done() const override
    {
        return gone || finishes + aborts > 0;
    }
    std::string field(std::string_view name) const
    {
        return std::string(headers.value(name));
    }

    /// @brief The caller closes its connection.
    void leave()
    {
        gone = true;
        if (const auto callback = std::exchange(cancel_, nullptr))
        {
            callback();
        }
    }

    /// @brief The VM has died.
    void drop()
    {
        gone = true;
        cancel_ = nullptr;
    }

    int status = 0;
    net::http_headers headers;
    int starts = 0;
    int finishes = 0;
    int aborts = 0;
    bool gone = false;

private:
    std::string body_;
    net::http_request request_;
    std::function<void()> cancel_;
};

/// @brief The checks look at callers and targets only.
class no_observer : public entry::data_path_observer
{
public:
    void on_received(const entry::request& /*arrived*/) override {}
    void on_finished(const entry::request_record& /*record*/) override {}
    void on_retry(const entry::request& /*repeated*/,
                  retry_reason /*reason*/) override
    {
    }
    void on_health_change(const routing::health_change& /*change*/) override {}
};

/// @brief One process of an entry VM.
class vm final : net::datagram_sender,
                 net::message_sender,
                 net::http_caller,
                 no_observer
{
public:
    vm(world& owner, std::size_t index, member self, duration offset,
       std::shared_ptr<memory_store::data> data,
       std::vector<net::endpoint> seeds, std::uint64_t seed);

    void tick(bool fleet_due);
    void on_datagram(const net::endpoint& from, const std::string& bytes);
    std::string on_message(const std::string& bytes);
    bool serves() const
    {
        return fleet.is_fresh() && fleet.is_member() &&
               path.config() != nullptr;
    }

private:
    world& world_;
    std::size_t index_;

public:
    member self;
    offset_clock clock;
    timer_queue timers;
    memory_store values;
    std::shared_ptr<const fleet_record> record =
        std::make_shared<fleet_record>();
    permit_issuer issuer;
    permit_table permits{issuer};
    closing_statements statements;
    entry::issuer_client resolver;
    budget_node budgets;
    entry::data_path path;
    fleet_node fleet;

private:
    void send(const net::endpoint& peer, std::string_view payload) override;
    void request(const net::endpoint& peer, std::string message,
                 duration timeout, answer_handler done) override;
    std::shared_ptr<net::http_call>
    start(net::client_request request,
          std::shared_ptr<net::call_observer> observer) override;
    void close_idle_connections(const net::endpoint& /*peer*/) override {}
    void on_config(std::string_view text);
    fleet_dependencies fleet_dependencies_of(std::uint64_t seed);
};

} // namespace composition
