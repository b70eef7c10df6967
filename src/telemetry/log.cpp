#include <siskinflow/telemetry/log.hpp>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <climits>
#include <cstdio>
#include <ctime>
#include <map>
#include <poll.h>
#include <unistd.h>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace siskinflow
{

namespace
{

constexpr const char* logger_name = "siskinflow";
constexpr const char* dispatcher_name = "siskinflow";
constexpr std::size_t max_value_bytes = 512;
constexpr std::string_view redacted_text = "[redacted]";

/// Writes each line with one call, so that lines of processes that share
/// standard error are not mixed.
class line_dispatcher final : public el::LogDispatchCallback
{
public:
    log_output output;

protected:
    void handle(const el::LogDispatchData* data) override
    {
        const std::string& line = data->logMessage()->message();
        if (output)
        {
            output(line);
            return;
        }
        const std::string text = line + "\n";
        std::fwrite(text.data(), 1, text.size(), stderr);
    }
};

/// Replaces the default dispatcher, which writes to standard output and files.
line_dispatcher& install_dispatcher()
{
    static line_dispatcher* installed = []
    {
        el::Configurations settings;
        settings.setToDefault();
        settings.setGlobally(el::ConfigurationType::ToFile, "false");
        settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
        el::Loggers::getLogger(logger_name);
        el::Loggers::reconfigureLogger(logger_name, settings);
        el::Helpers::uninstallLogDispatchCallback<
            el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
        el::Helpers::installLogDispatchCallback<line_dispatcher>(
            dispatcher_name);
        return el::Helpers::logDispatchCallback<line_dispatcher>(
            dispatcher_name);
    }();
    return *installed;
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(),
                                        [](unsigned char byte)
                                        {
                                            return byte <= ' ' || byte == '"' ||
                                                   byte == '=' ||
                                                   byte == '\\' || byte == 0x7F;
                                        });
}

void append_escaped(std::string& out, unsigned char byte)
{
    static constexpr char digits[] = "0123456789abcdef";
    if (byte == '"' || byte == '\\')
    {
        out.push_back('\\');
        out.push_back(static_cast<char>(byte));
    }
    else if (byte == '\n')
    {
        out += "\\n";
    }
    else if (byte < ' ' || byte == 0x7F)
    {
        out += "\\x";
        out.push_back(digits[byte >> 4]);
        out.push_back(digits[byte & 0xF]);
    }
    else
    {
        out.push_back(static_cast<char>(byte));
    }
}

std::string format_value(std::string_view value)
{
    if (!needs_quotes(value))
    {
        return std::string(value);
    }
    std::string out = "\"";
    for (const char byte : value)
    {
        append_escaped(out, static_cast<unsigned char>(byte));
    }
    out.push_back('"');
    return out;
}

std::string truncate_value(std::string_view value)
{
    if (value.size() <= max_value_bytes)
    {
        return std::string(value);
    }
    return std::string(value.substr(0, max_value_bytes)) + "...";
}

std::string to_lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char byte)
                   { return static_cast<char>(std::tolower(byte)); });
    return out;
}

/// Finds the scheme of an `Authorization` header, which precedes the key.
bool contains_bearer_token(std::string_view value)
{
    return to_lower(value).find("bearer ") != std::string::npos;
}

std::string utc_now()
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    std::tm parts{};
    ::gmtime_r(&now.tv_sec, &parts);
    char date[32];
    std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
    constexpr long ns_per_ms = 1'000'000;
    char text[48];
    std::snprintf(text, sizeof(text), "%s.%03ldZ", date,
                  now.tv_nsec / ns_per_ms);
    return text;
}

std::string render_logfmt(const std::vector<log_field>& fields)
{
    std::string line;
    for (const log_field& field : fields)
    {
        line += line.empty() ? "" : " ";
        line += field.key();
        line += "=" + field.text();
    }
    return line;
}

std::string render_json(const std::vector<log_field>& fields)
{
    nlohmann::ordered_json line;
    for (const log_field& field : fields)
    {
        line[std::string(field.key())] = field.value();
    }
    // Values from a peer may not be valid UTF-8.
    return line.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

void emit(log_level level, const std::string& line)
{
    switch (level)
    {
    case log_level::info:
        CLOG(INFO, logger_name) << line;
        break;
    case log_level::warning:
        CLOG(WARNING, logger_name) << line;
        break;
    case log_level::error:
        CLOG(ERROR, logger_name) << line;
        break;
    }
}

} // namespace

log_output non_blocking_output(int descriptor, std::uint64_t& dropped)
{
    return [descriptor, &dropped](std::string_view line)
    {
        pollfd poll_state{descriptor, POLLOUT, 0};
        // A pipe that polls as writable takes at least PIPE_BUF bytes at once.
        const bool writable = ::poll(&poll_state, 1, 0) == 1 &&
                              (poll_state.revents & POLLOUT) != 0;
        const std::string text =
            std::string(line.substr(0, PIPE_BUF - 1)) + "\n";
        if (!writable || ::write(descriptor, text.data(), text.size()) < 0)
        {
            ++dropped;
        }
    };
}

bool is_secret_name(std::string_view key)
{
    static constexpr std::array<std::string_view, 8> parts = {
        "authorization", "tenant_key", "tenantkey", "api_key",
        "bearer",        "secret",     "password",  "token"};
    const std::string name = to_lower(key);
    return name == "key" || name.ends_with("_key") ||
           std::any_of(parts.begin(), parts.end(),
                       [&name](std::string_view part)
                       { return name.find(part) != std::string::npos; });
}

log_field::log_field(std::string_view key, std::string_view value)
    : key_(key), value_(is_secret_name(key) || contains_bearer_token(value)
                            ? std::string(redacted_text)
                            : truncate_value(value)),
      text_(value_ == redacted_text ? value_ : format_value(value_))
{
}

log_field::log_field(std::string_view key, bool value)
    : log_field(key, std::string_view(value ? "true" : "false"))
{
}

log_field::log_field(std::string_view key, double value) : key_(key)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.6g", value);
    value_ = is_secret_name(key) ? std::string(redacted_text) : text;
    text_ = value_;
}

log_field::log_field(std::string_view key, redacted /*value*/)
    : key_(key), value_(redacted_text), text_(redacted_text)
{
}

struct event_log::impl
{
    /// Rate limit of one event.
    struct token_bucket
    {
        std::uint32_t tokens = 0;
        bool initialized = false;
        time_point refilled;
        std::uint64_t unreported = 0; ///< Suppressed since the last line.
    };

    const clock& time;
    log_options options;
    std::map<event_id, token_bucket> buckets;
    std::uint64_t suppressed = 0;

    impl(const clock& time_in, const log_options& options_in)
        : time(time_in), options(options_in)
    {
    }

    bool allow(token_bucket& bucket)
    {
        refill(bucket);
        if (bucket.tokens == 0)
        {
            ++bucket.unreported;
            ++suppressed;
            return false;
        }
        return true;
    }

    void refill(token_bucket& bucket) const
    {
        const time_point now = time.now();
        if (!bucket.initialized)
        {
            bucket.initialized = true;
            bucket.tokens = options.burst;
            bucket.refilled = now;
        }
        const duration interval = std::chrono::seconds(1);
        const auto added =
            (now - bucket.refilled) * options.lines_per_s / interval;
        if (added > 0)
        {
            bucket.refilled += interval * added / options.lines_per_s;
            bucket.tokens = static_cast<std::uint32_t>(std::min<std::int64_t>(
                options.burst,
                static_cast<std::int64_t>(bucket.tokens) + added));
        }
    }

    /// Fields at the start of every line.
    static std::vector<log_field> common_fields(const event_info& info)
    {
        return {{"ts", utc_now()},
                {"level", name(info.level)},
                {"event", static_cast<std::uint16_t>(info.id)},
                {"name", info.name}};
    }

    void emit_fields(const event_info& info,
                     const std::vector<log_field>& fields) const
    {
        emit(info.level, options.format == log_format::json
                             ? render_json(fields)
                             : render_logfmt(fields));
    }
};

event_log::event_log(const clock& time, log_output output,
                     const log_options& options)
    : impl_(std::make_unique<impl>(time, options))
{
    install_dispatcher().output = std::move(output);
}

event_log::~event_log()
{
    install_dispatcher().output = {};
}

void event_log::write(event_id id, std::initializer_list<log_field> fields)
{
    const event_info* info = find_event(id);
    if (info == nullptr || info->level < impl_->options.min_level)
    {
        return;
    }
    impl::token_bucket& bucket = impl_->buckets[id];
    if (!impl_->allow(bucket))
    {
        return;
    }
    --bucket.tokens;
    std::vector<log_field> line = impl::common_fields(*info);
    std::string undeclared;
    for (const log_field& field : fields)
    {
        const bool declared =
            std::find(info->fields.begin(), info->fields.end(), field.key()) !=
            info->fields.end();
        if (!declared)
        {
            undeclared += (undeclared.empty() ? "" : ",");
            undeclared += field.key();
            continue;
        }
        line.push_back(field);
    }
    if (!undeclared.empty())
    {
        line.emplace_back("undeclared", undeclared);
    }
    if (bucket.unreported > 0)
    {
        line.emplace_back("suppressed", bucket.unreported);
        bucket.unreported = 0;
    }
    impl_->emit_fields(*info, line);
}

bool event_log::accepts(event_id id)
{
    const event_info* info = find_event(id);
    return info != nullptr && info->level >= impl_->options.min_level &&
           impl_->allow(impl_->buckets[id]);
}

void event_log::flush()
{
    const event_info* info = find_event(event_id::lines_suppressed);
    for (auto& [id, bucket] : impl_->buckets)
    {
        if (bucket.unreported > 0)
        {
            std::vector<log_field> line = impl::common_fields(*info);
            line.emplace_back("suppressed_event",
                              static_cast<std::uint16_t>(id));
            line.emplace_back("count", bucket.unreported);
            impl_->emit_fields(*info, line);
            bucket.unreported = 0;
        }
    }
}

std::uint64_t event_log::suppressed() const
{
    return impl_->suppressed;
}

} // namespace siskinflow
