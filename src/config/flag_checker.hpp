/// @file
/// @brief Checks the values of flags; internal to the settings of programs.
#pragma once

#include <siskinflow/config/duration_text.hpp>
#include <siskinflow/config/flags.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/telemetry/log.hpp>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <fstream>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinflow
{

inline constexpr std::size_t max_setting_name_bytes = 64;

/// @brief Checks flags one after the other and keeps the first fault.
class flag_checker
{
public:
    const std::string& fault() const
    {
        return fault_;
    }

    void add_fault(std::string_view flag, const std::string& message)
    {
        if (fault_.empty())
        {
            fault_ = "--" + std::string(flag) + ": " + message;
        }
    }

    std::string name_text(std::string_view flag, const std::string& value)
    {
        const bool valid =
            !value.empty() && value.size() <= max_setting_name_bytes &&
            std::all_of(value.begin(), value.end(),
                        [](unsigned char c) {
                            return std::isalnum(c) != 0 || c == '.' ||
                                   c == '_' || c == '-';
                        });
        if (!valid)
        {
            add_fault(flag,
                      "'" + value +
                          "' is not a name; give 1 to 64 letters, digits, "
                          "'.', '_' or '-'");
        }
        return value;
    }

    net::endpoint address(std::string_view flag, const std::string& value)
    {
        auto parsed = net::parse_endpoint(value);
        if (!parsed)
        {
            add_fault(flag, "'" + value +
                                "' is not an IP address and port; give for "
                                "instance 127.0.0.1:8080");
            return {};
        }
        return std::move(parsed).value();
    }

    /// @brief Checks an address to connect to: no wildcard address, no port 0.
    net::endpoint connectable_address(std::string_view flag,
                                      const std::string& value,
                                      const net::endpoint& fallback)
    {
        net::endpoint out = value.empty() ? fallback : address(flag, value);
        if (out.port == 0 || out.address == "0.0.0.0" || out.address == "::")
        {
            add_fault(flag, "'" + net::to_string(out) +
                                "' is not an address that others can connect "
                                "to; give one");
        }
        return out;
    }

    std::vector<net::endpoint> addresses(std::string_view flag,
                                         const std::string& value)
    {
        auto parsed = parse_endpoint_list(value);
        if (!parsed)
        {
            add_fault(flag, parsed.error().message);
            return {};
        }
        return std::move(parsed).value();
    }

    std::uint64_t number(std::string_view flag, std::uint64_t value,
                         std::uint64_t low, std::uint64_t high)
    {
        if (value < low || value > high)
        {
            add_fault(flag, std::to_string(value) + " is not from " +
                                std::to_string(low) + " to " +
                                std::to_string(high));
        }
        return value;
    }

    duration duration_value(std::string_view flag, const std::string& value)
    {
        auto parsed = parse_duration(value);
        if (!parsed)
        {
            add_fault(flag, parsed.error().message);
            return duration::zero();
        }
        return parsed.value();
    }

    void check_readable(std::string_view flag, const std::string& file)
    {
        if (!file.empty() && !std::ifstream(file).good())
        {
            add_fault(flag, "file '" + file + "' can't be read");
        }
    }

    template <class Enum>
    Enum choice(std::string_view flag, const std::string& value,
                std::initializer_list<Enum> all)
    {
        std::string names;
        for (const Enum item : all)
        {
            if (name(item) == value)
            {
                return item;
            }
            names += (names.empty() ? "" : ", ") + std::string(name(item));
        }
        add_fault(flag, "'" + value + "' is not one of " + names);
        return *all.begin();
    }

private:
    std::string fault_;
};

/// @brief Checks the flags `log_level` and `log_format`.
void check_log_flags(flag_checker& check, log_level& level, log_format& format);

/// @brief Reads the flags of a program that takes no positional arguments.
/// @return whether --help was given, or `errc::invalid_argument`
result<bool> read_flags_only(int argc, const char* const* argv,
                             const std::vector<std::string>& names);

} // namespace siskinflow
