#include <siskinflow/config/duration_text.hpp>

#include <charconv>
#include <cmath>
#include <string>

namespace siskinflow
{

namespace
{

/// A century; larger values would overflow when they are added to a time.
constexpr double max_seconds = 3.2e9;

} // namespace

result<duration> parse_duration(std::string_view text)
{
    const auto invalid = [text]
    {
        return fail(errc::parse_error, "'" + std::string(text) +
                                           "' is not a duration; give a "
                                           "number with 'ms' or 's'");
    };
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error_code] = std::from_chars(text.data(), end, value);
    if (error_code != std::errc() || !std::isfinite(value) || value < 0)
    {
        return invalid();
    }
    const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
    if (unit != "ms" && unit != "s")
    {
        return invalid();
    }
    const double seconds = unit == "ms" ? value / 1000 : value;
    if (seconds > max_seconds)
    {
        return invalid();
    }
    return std::chrono::round<duration>(std::chrono::duration<double>(seconds));
}

} // namespace siskinflow
