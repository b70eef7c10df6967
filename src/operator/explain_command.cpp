#include "command.hpp"

#include <cstdio>

namespace siskinflow::operator_detail
{

using nlohmann::json;

namespace
{

constexpr std::size_t max_explanation_bytes = 4 * 1024 * 1024;
constexpr int http_ok = 200;
constexpr std::size_t id_column = 24;
constexpr std::size_t place_column = 24;

std::string percent_encode(std::string_view value)
{
    constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "abcdefghijklmnopqrstuvwxyz"
                                       "0123456789-._~/";
    std::string out;
    for (const char c : value)
    {
        if (plain.find(c) != std::string_view::npos)
        {
            out += c;
            continue;
        }
        char escaped[4];
        std::snprintf(escaped, sizeof(escaped), "%%%02X",
                      static_cast<unsigned>(static_cast<unsigned char>(c)));
        out += escaped;
    }
    return out;
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size() + 1), ' ');
    return text;
}

/// @brief Text of a value; strings without quotes.
std::string text_of(const json& document, const char* field)
{
    const auto found = document.find(field);
    if (found == document.end() || found->is_null())
    {
        return "none";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string number_text(const json& document, const char* field)
{
    char out[32];
    std::snprintf(out, sizeof(out), "%.2f", document.value(field, 0.0));
    return out;
}

std::string target_text(const json& target)
{
    std::string out = "    " + padded(text_of(target, "target"), id_column) +
                      padded(text_of(target, "region") + "/" +
                                 text_of(target, "failure_domain"),
                             place_column);
    if (target.contains("slots"))
    {
        out += "rank " + text_of(target, "rank") + ", " +
               text_of(target, "object") + ", load " +
               number_text(target, "load") + " of " + text_of(target, "slots") +
               ", expected " + text_of(target, "expected_ms") + " ms";
    }
    if (target.contains("excluded"))
    {
        out += std::string(target.contains("slots") ? ", " : "") +
               "excluded: " + text_of(target, "excluded");
    }
    return out + "\n";
}

std::string service_text(const json& service)
{
    std::string out = "service " + text_of(service, "service") + " (weight " +
                      text_of(service, "weight") + ")\n";
    if (service.contains("failure"))
    {
        out += "  target: none (" + text_of(service, "failure") + ")\n";
    }
    else
    {
        out += "  target: " + text_of(service, "target") + ", rank " +
               text_of(service, "rank") + ", expected " +
               text_of(service, "expected_ms") + " ms, " +
               (service.value("on_time", false) ? "on time" : "late") + "\n";
    }
    const json queue = service.value("queue", json::object());
    out += "  queue: " + text_of(queue, "answer") + " (" +
           text_of(queue, "waiting") + " waiting, expected wait " +
           text_of(queue, "expected_wait_ms") + " ms)\n  targets:\n";
    for (const json& target : service.value("targets", json::array()))
    {
        out += target_text(target);
    }
    return out;
}

std::string explanation_text(const json& document)
{
    std::string out = "vm " + text_of(document, "vm") + ", version " +
                      text_of(document, "version") + "\n" +
                      "route: " + text_of(document, "route") + "\n" +
                      "organisation: " + text_of(document, "organisation") +
                      "\n";
    if (document.contains("quota"))
    {
        const json& quota = document["quota"];
        out += "quota: " + text_of(quota, "rate_per_s") + " per s, burst " +
               text_of(quota, "burst");
        if (quota.contains("left"))
        {
            out += ", left " + number_text(quota, "left") + ", " +
                   (quota.value("admits", false) ? "admits" : "refuses");
        }
        out += "\n";
    }
    if (document.contains("refused"))
    {
        out += "refused: " + text_of(document, "refused") + "\n";
    }
    for (const json& service : document.value("services", json::array()))
    {
        out += service_text(service);
    }
    return out;
}

/// @brief Asks a gateway where a request would be routed.
class explain_command final : public command
{
public:
    explain_command(command_environment environment, std::string location,
                    exit_handler done)
        : command(std::move(environment), std::move(done)),
          location_(std::move(location))
    {
    }

    void start() override
    {
        if (!environment_.gateway)
        {
            fail_with(exit_code::usage,
                      "--gateway is missing; give the address of the metrics "
                      "of a gateway");
            return;
        }
        const std::size_t slash = location_.find('/');
        if (slash == 0 || slash == std::string::npos)
        {
            fail_with(exit_code::usage,
                      "'" + location_ + "' is not a host and a path");
            return;
        }
        net::client_request request;
        request.peer = *environment_.gateway;
        request.target =
            "/explain?host=" + percent_encode(location_.substr(0, slash)) +
            "&path=" + percent_encode(location_.substr(slash)) +
            "&organisation=" + percent_encode(environment_.organisation) +
            "&object=" + percent_encode(environment_.object);
        request.timeout = environment_.call_timeout;
        call_ = net::fetch(
            environment_.caller, std::move(request), max_explanation_bytes,
            [this, keep_alive = shared_from_this()](
                const net::fetch_result& answer) { on_answer(answer); });
    }

private:
    void on_answer(const net::fetch_result& answer)
    {
        const auto finished_call = std::move(call_);
        const bool complete = answer.outcome == net::call_outcome::complete;
        json document = complete && answer.response.status == http_ok
                            ? json::parse(answer.response.body, nullptr, false)
                            : json();
        if (!document.is_object())
        {
            fail_with(exit_code::unavailable,
                      "gateway " + net::to_string(*environment_.gateway) +
                          " gave no explanation: " +
                          (complete ? "status " +
                                          std::to_string(answer.response.status)
                                    : std::string(name(answer.outcome))));
            return;
        }
        const std::string text = explanation_text(document);
        finish(exit_code::ok, {{"explanation", std::move(document)}}, text);
    }

    std::string location_;
    std::shared_ptr<net::http_call> call_;
};

} // namespace

std::shared_ptr<command> make_explain(command_environment environment,
                                      const std::string& location,
                                      exit_handler done)
{
    return std::make_shared<explain_command>(std::move(environment), location,
                                             std::move(done));
}

} // namespace siskinflow::operator_detail
