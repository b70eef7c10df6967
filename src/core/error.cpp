#include <siskinflow/core/error.hpp>

namespace siskinflow
{

std::string_view name(errc code) noexcept
{
    switch (code)
    {
    case errc::invalid_argument:
        return "invalid_argument";
    case errc::parse_error:
        return "parse_error";
    case errc::too_large:
        return "too_large";
    case errc::not_found:
        return "not_found";
    case errc::conflict:
        return "conflict";
    case errc::timeout:
        return "timeout";
    case errc::unavailable:
        return "unavailable";
    case errc::io_error:
        return "io_error";
    case errc::unknown_outcome:
        return "unknown_outcome";
    case errc::stale:
        return "stale";
    case errc::unsupported:
        return "unsupported";
    }
    return "unknown";
}

} // namespace siskinflow
