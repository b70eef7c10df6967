/// @file
/// @brief Numbered errors and the result type of every fallible operation.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace siskinflow
{

/// @brief Numbered error codes; a number is never reused.
enum class errc : std::uint16_t
{
    invalid_argument = 101, ///< A value is outside its documented range.
    parse_error = 102,      ///< A document or message has a wrong form.
    too_large = 103,        ///< A value exceeds its size limit.
    not_found = 104,        ///< The named object does not exist.
    conflict = 105,         ///< A compare-and-swap lost against another write.
    timeout = 106,          ///< No answer within the deadline.
    unavailable = 107,      ///< The peer can't be reached or refused.
    io_error = 108,         ///< A system call failed.
    unknown_outcome = 109,  ///< The effect of an operation can't be known.
    stale = 110,            ///< The data is older than data already known.
    unsupported = 111,      ///< A version or feature is not supported.
};

/// @brief Name of an error code as used in logs and answers.
/// @param code the code
/// @return the name in snake_case, or "unknown" for an undefined value
std::string_view name(errc code) noexcept;

/// @brief An error: a number for programs and a message for people.
struct error
{
    errc code = errc::invalid_argument;
    std::string message;
};

/// @brief Either a value or an error; reading the wrong one ends the process.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, error,
                                    boost::outcome_v2::policy::terminate>;

/// @brief Builds the error alternative of a result.
/// @param code the numbered code
/// @param message what is wrong, naming the field, value or peer
/// @return a value that converts to any `result<T>`
inline auto fail(errc code, std::string message)
{
    return boost::outcome_v2::failure(error{code, std::move(message)});
}

/// @brief Builds the value alternative of a `result<void>`.
inline auto ok()
{
    return boost::outcome_v2::success();
}

} // namespace siskinflow
