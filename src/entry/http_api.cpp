#include "http_api.hpp"

#include <siskinflow/entry/answers.hpp>

#include <charconv>

namespace siskinflow::entry
{

namespace
{

int hex_digit(char digit)
{
    if (digit >= '0' && digit <= '9')
    {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const bool escaped = text[i] == '%' && i + 2 < text.size() &&
                             hex_digit(text[i + 1]) >= 0 &&
                             hex_digit(text[i + 2]) >= 0;
        if (escaped)
        {
            out.push_back(static_cast<char>(hex_digit(text[i + 1]) * 16 +
                                            hex_digit(text[i + 2])));
            i += 2;
            continue;
        }
        out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return out;
}

} // namespace

std::string query_value(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        const std::size_t end = query.find('&');
        const std::string_view part = query.substr(0, end);
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string_view::npos)
        {
            return percent_decode(part.substr(equals + 1));
        }
        query = end == std::string_view::npos ? std::string_view()
                                              : query.substr(end + 1);
    }
    return {};
}

void http_api::add(std::string method, std::string name, handler serve)
{
    add_async(std::move(method), std::move(name),
              [serve = std::move(serve)](const net::exchange_ptr& exchange)
              { exchange->respond(serve(exchange->request())); });
}

void http_api::add_async(std::string method, std::string name,
                         async_handler serve)
{
    registrations_.emplace(std::move(name),
                           registration{std::move(method), std::move(serve)});
}

bool http_api::is_reserved(std::string_view path)
{
    return path.substr(0, api_prefix.size()) == api_prefix;
}

void http_api::handle(const net::exchange_ptr& exchange) const
{
    const net::http_request& request = exchange->request();
    const std::string_view path = request.path;
    const auto match = registrations_.find(path.substr(api_prefix.size()));
    if (match == registrations_.end())
    {
        exchange->respond(refusal_response(refusal_reason::unknown_route));
        return;
    }
    const std::string_view method =
        request.method == "HEAD" ? std::string_view("GET") : request.method;
    if (method != match->second.method)
    {
        exchange->respond(
            refusal_response(refusal_reason::method_not_supported));
        return;
    }
    match->second.serve(exchange);
}

} // namespace siskinflow::entry
