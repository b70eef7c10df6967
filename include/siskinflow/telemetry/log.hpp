/// @file
/// @brief Numbered events as one line each, over easylogging++.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/telemetry/event_id.hpp>

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief Placeholder for a value that must not be logged.
struct redacted
{
};

/// @brief A named value of a log line. Values of fields named like a secret,
/// and values that look like an `Authorization` header, are redacted.
class log_field
{
public:
    log_field(std::string_view key, std::string_view value);
    log_field(std::string_view key, const char* value)
        : log_field(key, std::string_view(value))
    {
    }
    log_field(std::string_view key, const std::string& value)
        : log_field(key, std::string_view(value))
    {
    }
    log_field(std::string_view key, bool value);
    log_field(std::string_view key, double value);
    log_field(std::string_view key, redacted value);

    template <std::integral Number>
    log_field(std::string_view key, Number value)
        : log_field(key, std::string_view(std::to_string(value)))
    {
    }

    std::string_view key() const
    {
        return key_;
    }

    /// @brief The value without quotes and escapes.
    const std::string& value() const
    {
        return value_;
    }

    /// @brief The value as logfmt, quoted and escaped where it has to be.
    const std::string& text() const
    {
        return text_;
    }

private:
    std::string key_;
    std::string value_;
    std::string text_;
};

/// @brief Level, format and rate limit of a log.
struct log_options
{
    log_level min_level = log_level::info; ///< Lower ones are left out.
    log_format format = log_format::logfmt;
    std::uint32_t burst = 10;      ///< Lines of one event at once.
    std::uint32_t lines_per_s = 1; ///< Lines of one event after a burst.
};

/// @brief Whether a field of this name could hold a tenant key or another
/// secret.
bool is_secret_name(std::string_view key);

/// @brief Receives complete lines without the line end.
using log_output = std::function<void(std::string_view line)>;

/// @brief Writes lines to a descriptor without ever blocking: a line that the
/// other end has no room for is dropped and counted.
/// @param descriptor a pipe, a terminal or a file; must outlive the output
/// @param dropped counts the lines that were dropped; must outlive the output
log_output non_blocking_output(int descriptor, std::uint64_t& dropped);

/// @brief Writes events as `key=value` lines (logfmt) to standard error:
/// `ts=TIME level=LEVEL event=NUMBER name=NAME FIELD=VALUE...`, or as one JSON
/// object per line with the same fields.
///
/// Each event may write `burst` lines at once and `lines_per_s` after that; the
/// next line says how many were suppressed.
class event_log
{
public:
    /// @param time for the rate limit; must outlive the log
    /// @param output replaces standard error, for tests
    /// @param options level, format and rate limit
    explicit event_log(const clock& time, log_output output = {},
                       const log_options& options = {});
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// @brief Writes an event. Fields that `event_table` does not list for it
    /// are left out and named in the field `undeclared`.
    void write(event_id id, std::initializer_list<log_field> fields = {});

    /// @brief Whether `write` would write a line of this event now. Asked where
    /// the fields are costly to gather; a line that would be suppressed is
    /// counted as such.
    bool accepts(event_id id);

    /// @brief Writes the counts of suppressed lines that no later line has
    /// reported, for instance every minute and before the process stops.
    void flush();

    /// @brief Lines suppressed since the start.
    std::uint64_t suppressed() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinflow
