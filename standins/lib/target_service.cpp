#include "target_service.hpp"

#include <algorithm>
#include <charconv>

namespace siskinflow::standin
{

namespace
{

constexpr std::size_t max_request_body_bytes = 16 * 1024 * 1024;
constexpr std::string_view bearer_prefix = "Bearer ";

net::http_response json_response(int status, std::string body)
{
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

std::optional<std::uint32_t>
parse_number_header(const net::http_headers& headers, std::string_view field)
{
    const std::string_view text = headers.value(field);
    std::uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<duration> parse_ms_header(const net::http_headers& headers,
                                        std::string_view field)
{
    const auto value = parse_number_header(headers, field);
    if (!value)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*value);
}

/// Also detects credentials copied into a field other than `authorization`.
bool carries_credentials(const net::http_headers& headers)
{
    return std::any_of(headers.begin(), headers.end(),
                       [](const auto& field)
                       {
                           return field.first == "authorization" ||
                                  field.second.starts_with(bearer_prefix);
                       });
}

target_request to_target_request(const net::http_request& from)
{
    target_request request;
    request.method = from.method;
    request.path = from.path;
    request.body = from.body;
    request.idempotency_key = from.headers.value("idempotency-key");
    request.has_credentials = carries_credentials(from.headers);
    request.timeout = parse_ms_header(from.headers, "siskinflow-timeout-ms");
    request.service_time = parse_ms_header(from.headers, "x-service-ms");
    return request;
}

/// Closes the connection without a whole answer. The server has no way to
/// close before the head, so a head is sent that announces a longer body.
void close_unanswered(const net::exchange_ptr& exchange)
{
    exchange->start(200, {}, 1);
    exchange->abort();
}

} // namespace

target_service::target_service(net::event_loop& loop, target_options options,
                               std::size_t answer_bytes)
    : loop_(loop), name_(options.name), model_(std::move(options), loop.now()),
      body_(answer_bytes, 'x'), random_(std::random_device{}())
{
}

result<void> target_service::listen(const net::endpoint& local,
                                    std::size_t max_connections)
{
    net::http_server_options options;
    options.max_connections = max_connections;
    options.max_body_bytes = max_request_body_bytes;
    auto server = net::http_server::listen(
        loop_, local, options,
        [this](const net::exchange_ptr& exchange) { handle(exchange); });
    if (!server)
    {
        return server.error();
    }
    server_ = std::move(server).value();
    return ok();
}

std::uint16_t target_service::port() const
{
    return server_->port();
}

void target_service::handle(const net::exchange_ptr& exchange)
{
    if (handle_control_path(exchange))
    {
        // The connection is not new any more for a later request on it.
        (void)model_.take_connect_delay(server_->stats().accepted);
        return;
    }
    run(exchange);
}

bool target_service::handle_control_path(const net::exchange_ptr& exchange)
{
    const net::http_request& request = exchange->request();
    if (request.path == "/load")
    {
        exchange->respond(json_response(200, model_.load(loop_.now())));
        return true;
    }
    if (request.path == "/health")
    {
        auto [status, body] = model_.health(loop_.now());
        exchange->respond(json_response(status, std::move(body)));
        return true;
    }
    if (request.path == "/standin/ledger")
    {
        exchange->respond(
            {200, {{"content-type", "application/x-ndjson"}}, model_.ledger()});
        return true;
    }
    if (request.path == "/standin/faults" && request.method == "POST")
    {
        const auto faults = parse_faults(request.body);
        if (faults)
        {
            model_.set_faults(faults.value(), loop_.now());
        }
        exchange->respond(
            faults ? json_response(200, "{}")
                   : net::http_response{400, {}, faults.error().message});
        return true;
    }
    return false;
}

void target_service::run(const net::exchange_ptr& exchange)
{
    const double random = std::uniform_real_distribution<double>(0, 1)(random_);
    const target_plan plan =
        model_.arrive(to_target_request(exchange->request()),
                      server_->stats().accepted, random, loop_.now());
    if (plan.ending == target_ending::shed)
    {
        exchange->respond(
            json_response(503, R"({"started":false,"reason":"no_free_slot"})"));
        return;
    }
    if (plan.close_at_once)
    {
        // The run goes on, so the caller can't know its outcome.
        close_unanswered(exchange);
    }
    else
    {
        exchange->on_cancel([this, sequence = plan.sequence]
                            { model_.cancel(sequence, loop_.now()); });
    }
    if (plan.ending == target_ending::no_answer)
    {
        return;
    }
    if (plan.run_time == duration(0))
    {
        finish(exchange, plan);
        return;
    }
    loop_.after(plan.run_time,
                [this, exchange, plan] { finish(exchange, plan); });
}

void target_service::finish(const net::exchange_ptr& exchange,
                            const target_plan& plan)
{
    model_.finish(plan.sequence, plan.ending == target_ending::timeout,
                  loop_.now());
    if (plan.answer_delay == duration(0))
    {
        answer(exchange, plan);
        return;
    }
    loop_.after(plan.answer_delay,
                [this, exchange, plan] { answer(exchange, plan); });
}

void target_service::answer(const net::exchange_ptr& exchange,
                            const target_plan& plan)
{
    if (exchange->done() || plan.close_at_once)
    {
        return;
    }
    if (plan.ending == target_ending::close)
    {
        close_unanswered(exchange);
        return;
    }
    if (plan.ending == target_ending::timeout)
    {
        exchange->respond(
            json_response(504, R"({"started":true,"reason":"timeout"})"));
        return;
    }
    const net::http_headers& received = exchange->request().headers;
    net::http_headers headers{{"content-type", "application/octet-stream"},
                              {"x-target", name_},
                              {"x-sequence", std::to_string(plan.sequence)}};
    if (received.contains("x-request-id"))
    {
        headers.add("x-request-id",
                    std::string(received.value("x-request-id")));
    }
    if (plan.ending == target_ending::truncate)
    {
        exchange->start(200, headers, body_.size() + 1);
        exchange->write(body_.substr(0, body_.size() / 2));
        exchange->abort();
        return;
    }
    exchange->respond({200, std::move(headers), body_});
}

} // namespace siskinflow::standin
