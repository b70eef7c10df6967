#include "platform_target.hpp"

#include <algorithm>

namespace standin
{

using namespace siskinflow;

namespace
{

platform_target::arrival arrival_of(const net::exchange_ptr& exchange)
{
    const net::http_request& request = exchange->request();
    return {std::string(request.headers.value("siskinflow-request-id")),
            std::string(request.headers.value("siskinflow-expected-instance")),
            request.path_and_query(), request.method,
            std::string(request.body)};
}

} // namespace

platform_target::platform_target(net::event_loop& loop,
                                 platform_target_options options)
    : loop_(loop), options_(std::move(options)),
      usual_work_(options_.work), instances_{options_.id},
      random_(std::hash<std::string>()(options_.id))
{
}

std::unique_ptr<platform_target>
platform_target::start(net::event_loop& loop, platform_target_options options)
{
    const std::uint16_t port = options.port;
    net::http_server_options server_options;
    server_options.max_body_bytes = options.max_body_bytes;
    std::unique_ptr<platform_target> out(
        new platform_target(loop, std::move(options)));
    auto server = net::http_server::listen(
        loop, {"127.0.0.1", port}, server_options,
        [target = out.get()](const net::exchange_ptr& exchange)
        { target->handle(exchange); });
    if (!server)
    {
        return nullptr;
    }
    out->server_ = std::move(server).value();
    return out;
}

std::uint16_t platform_target::port() const
{
    return server_->port();
}

bool platform_target::should_truncate_next()
{
    truncation_credit_ += options_.cut_part;
    const bool out = truncation_credit_ >= 1;
    truncation_credit_ -= out ? 1 : 0;
    return out;
}

net::http_headers
platform_target::answer_headers(const net::exchange_ptr& exchange) const
{
    net::http_headers out{
        {"siskinflow-request-id", std::string(exchange->request().headers.value(
                                      "siskinflow-request-id"))}};
    if (leaving_)
    {
        out.add("server-leaving", "1");
    }
    return out;
}

std::string platform_target::load() const
{
    std::string out =
        std::to_string(running_) + ",0," + std::to_string(options_.slots);
    if (options_.reports_pace)
    {
        constexpr int percent = 100;
        out += ',' + std::to_string(percent * options_.work / usual_work_);
    }
    return out;
}

bool platform_target::chance(double part)
{
    return part > 0 && std::uniform_real_distribution<>()(random_) < part;
}

/// The id comes last, so that a copy that is cut in front of it says that its
/// request has not run but not which request that is.
void platform_target::refuse(const net::exchange_ptr& exchange) const
{
    net::http_headers headers{{"siskinflow-not-executed", "1"}};
    if (!retry_after_.empty())
    {
        headers.add("retry-after", retry_after_);
    }
    headers.add("server", "platform target");
    for (const auto& [name, value] : answer_headers(exchange))
    {
        headers.add(name, value);
    }
    exchange->respond({503, std::move(headers), {}});
}

void platform_target::handle(const net::exchange_ptr& exchange)
{
    const net::http_headers& headers = exchange->request().headers;
    const arrival seen = arrival_of(exchange);
    if (replaced_ || instances_.count(seen.instance) == 0)
    {
        exchange->respond({421,
                           {{"siskinflow-not-executed", "1"},
                            {"siskinflow-instance-id", "another"},
                            {"siskinflow-request-id", seen.id}},
                           {}});
        return;
    }
    ++arrivals_;
    if (on_arrival_)
    {
        on_arrival_(seen, !retry_after_.empty());
    }
    if (full_ || running_ >= options_.slots || !retry_after_.empty() ||
        chance(refused_part_))
    {
        refuse(exchange);
        return;
    }
    const bool has_valid_headers =
        headers.contains("siskinflow-tenant-name") &&
        !headers.contains("authorization") &&
        headers.contains("siskinflow-request-deadline-ms");
    faults_ += has_valid_headers ? 0 : 1;
    ++runs_[seen.id];
    if (on_run_)
    {
        on_run_(seen);
    }
    ++running_;
    exchange->on_cancel([this] { ++cancelled_; });
    const duration work = exchange->request().path.ends_with("long")
                              ? options_.long_work
                              : options_.work;
    loop_.after(work, [this, exchange] { finish(exchange); });
}

void platform_target::answer_wrongly(const net::exchange_ptr& exchange,
                                     answer_fault fault) const
{
    net::http_headers headers = answer_headers(exchange);
    switch (fault)
    {
    case answer_fault::none:
    case answer_fault::plain_500:
        exchange->respond({500, std::move(headers), {}});
        return;
    case answer_fault::plain_503:
        exchange->respond({503, std::move(headers), {}});
        return;
    case answer_fault::plain_421:
        exchange->respond({421, std::move(headers), {}});
        return;
    case answer_fault::plain_429:
        exchange->respond({429, std::move(headers), {}});
        return;
    case answer_fault::no_id:
        headers.remove("siskinflow-request-id");
        break;
    case answer_fault::other_id:
        headers.set("siskinflow-request-id", "of-another-request");
        break;
    case answer_fault::signed_rejection:
        headers.add("siskinflow-response-signature", "signed");
        break;
    }
    headers.add("siskinflow-not-executed", "1");
    exchange->respond({503, std::move(headers), {}});
}

void platform_target::finish(const net::exchange_ptr& exchange)
{
    --running_;
    const answer_fault fault =
        chance(failed_part_) ? answer_fault::plain_500 : answer_fault_;
    if (fault != answer_fault::none)
    {
        answer_wrongly(exchange, fault);
        return;
    }
    const arrival seen = arrival_of(exchange);
    std::string body = "answer of " + seen.instance + " to " + seen.path;
    body.resize(std::max(body.size(), options_.min_answer_bytes), ' ');
    net::http_headers headers = answer_headers(exchange);
    headers.add("siskinflow-response-signature", "signed");
    headers.add("siskinflow-server-load", load());
    if (failing_)
    {
        exchange->respond({500, std::move(headers), {}});
        return;
    }
    if (should_truncate_next())
    {
        exchange->start(200, headers, body.size());
        exchange->write(body.substr(0, body.size() / 2));
        exchange->abort();
        return;
    }
    if (options_.answer_parts > 0)
    {
        answer_in_parts(exchange, headers, body);
        return;
    }
    exchange->respond({200, headers, body});
}

void platform_target::answer_in_parts(const net::exchange_ptr& exchange,
                                      const net::http_headers& headers,
                                      const std::string& body) const
{
    const std::size_t part = body.size() / options_.answer_parts + 1;
    exchange->start(200, headers, std::nullopt);
    for (std::size_t at = 0; at < body.size(); at += part)
    {
        exchange->write(body.substr(at, part));
    }
    exchange->finish();
}

} // namespace standin
