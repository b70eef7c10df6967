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
constexpr std::string_view withheld = "[redacted]";

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

std::string shorten(std::string_view value)
{
    if (value.size() <= max_value_bytes)
    {
        return std::string(value);
    }
    return std::string(value.substr(0, max_value_bytes)) + "...";
}

std::string lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char byte)
                   { return static_cast<char>(std::tolower(byte)); });
    return out;
}

/// The scheme of an `Authorization` header precedes the key.
bool looks_like_key(std::string_view value)
{
    return lower(value).find("bearer ") != std::string::npos;
}

std::string utc_now()
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    std::tm parts{};
    ::gmtime_r(&now.tv_sec, &parts);
    char day[32];
    std::strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &parts);
    constexpr long ns_per_ms = 1'000'000;
    char text[48];
    std::snprintf(text, sizeof(text), "%s.%03ldZ", day,
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
    // Values can hold any bytes that a peer sent.
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
        pollfd state{descriptor, POLLOUT, 0};
        // A pipe that polls as writable takes at least PIPE_BUF bytes at once.
        const bool writable =
            ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
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
    const std::string name = lower(key);
    return name == "key" || name.ends_with("_key") ||
           std::any_of(parts.begin(), parts.end(),
                       [&name](std::string_view part)
                       { return name.find(part) != std::string::npos; });
}

log_field::log_field(std::string_view key, std::string_view value)
    : key_(key), value_(is_secret_name(key) || looks_like_key(value)
                            ? std::string(withheld)
                            : shorten(value)),
      text_(value_ == withheld ? value_ : format_value(value_))
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
    value_ = is_secret_name(key) ? std::string(withheld) : text;
    text_ = value_;
}

log_field::log_field(std::string_view key, redacted /*value*/)
    : key_(key), value_(withheld), text_(withheld)
{
}

struct event_log::impl
{
    /// Token bucket of one event.
    struct limit
    {
        std::uint32_t tokens = 0;
        bool started = false;
        time_point refilled;
        std::uint64_t untold = 0; ///< Suppressed since the last line.
    };

    const clock& time;
    log_options options;
    std::map<event_id, limit> limits;
    std::uint64_t suppressed = 0;

    impl(const clock& time_in, const log_options& options_in)
        : time(time_in), options(options_in)
    {
    }

    bool allow(limit& state)
    {
        refill(state);
        if (state.tokens == 0)
        {
            ++state.untold;
            ++suppressed;
            return false;
        }
        return true;
    }

    void refill(limit& state) const
    {
        const time_point now = time.now();
        if (!state.started)
        {
            state.started = true;
            state.tokens = options.burst;
            state.refilled = now;
        }
        const duration interval = std::chrono::seconds(1);
        const auto added =
            (now - state.refilled) * options.lines_per_s / interval;
        if (added > 0)
        {
            state.refilled += interval * added / options.lines_per_s;
            state.tokens = static_cast<std::uint32_t>(std::min<std::int64_t>(
                options.burst,
                static_cast<std::int64_t>(state.tokens) + added));
        }
    }

    /// Fields that begin each line.
    static std::vector<log_field> head(const event_info& info)
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
    if (info == nullptr || info->level < impl_->options.least)
    {
        return;
    }
    impl::limit& limit = impl_->limits[id];
    if (!impl_->allow(limit))
    {
        return;
    }
    --limit.tokens;
    std::vector<log_field> line = impl::head(*info);
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
    if (limit.untold > 0)
    {
        line.emplace_back("suppressed", limit.untold);
        limit.untold = 0;
    }
    impl_->emit_fields(*info, line);
}

bool event_log::accepts(event_id id)
{
    const event_info* info = find_event(id);
    return info != nullptr && info->level >= impl_->options.least &&
           impl_->allow(impl_->limits[id]);
}

void event_log::flush()
{
    const event_info* info = find_event(event_id::lines_suppressed);
    for (auto& [id, limit] : impl_->limits)
    {
        if (limit.untold > 0)
        {
            std::vector<log_field> line = impl::head(*info);
            line.emplace_back("suppressed_event",
                              static_cast<std::uint16_t>(id));
            line.emplace_back("count", limit.untold);
            impl_->emit_fields(*info, line);
            limit.untold = 0;
        }
    }
}

std::uint64_t event_log::suppressed() const
{
    return impl_->suppressed;
}

} // namespace siskinflow
