/// @file
/// @brief Issues and verifies the idempotency keys of non-idempotent requests.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/core/ids.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief Time after its issue for which a permit may be used.
constexpr duration permit_lifetime = std::chrono::minutes(10);

/// @brief Position of a permit in the order of issue of one incarnation.
using permit_sequence = std::uint64_t;

/// @brief A permit whose signature has been verified.
struct permit
{
    permit_sequence sequence = 0;
    time_point issued_at; ///< On the issuer's clock.
};

/// @brief Issues and verifies the permits of one incarnation. The text form
/// is `1-INCARNATION-SEQUENCE-TIME-MAC` in lower-case hexadecimal digits, safe
/// as the value of an HTTP header.
class permit_issuer
{
public:
    /// @brief Generates a random signing key, which is held in memory only.
    /// @param incarnation identifies this run of the process
    explicit permit_issuer(const incarnation_id& incarnation);
    ~permit_issuer();
    permit_issuer(const permit_issuer&) = delete;
    permit_issuer& operator=(const permit_issuer&) = delete;

    /// @brief Issues a permit for one request.
    /// @param organisation empty on a route without keys
    /// @param route name of the route
    /// @param now the current time
    /// @return the text form
    std::string issue(std::string_view organisation, std::string_view route,
                      time_point now);

    /// @brief Verifies a permit of this incarnation. Does not check its age.
    /// @return the permit; `errc::parse_error` if the text is malformed;
    /// `errc::invalid_argument` if it was not issued by this incarnation for
    /// this organisation and route
    result<permit> verify(std::string_view text, std::string_view organisation,
                          std::string_view route) const;

    /// @brief Incarnation that issues the permits.
    const incarnation_id& incarnation() const;

    /// @brief Sequence of the permit issued last, 0 if there is none.
    permit_sequence last_sequence() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief Incarnation that a permit names as its issuer; the signature is not
/// verified.
/// @return the incarnation, or `errc::parse_error`
result<incarnation_id> claimed_issuer(std::string_view text);

/// @brief Sequence that a permit claims; the signature is not verified.
/// @return the sequence, or `errc::parse_error`
result<permit_sequence> claimed_sequence(std::string_view text);

/// @brief Formats a permit for logs and reports as `INCARNATION-SEQUENCE`,
/// without the signature that would allow a reader to use it.
/// @return the label, or `invalid` if the text is malformed
std::string permit_label(std::string_view text);

} // namespace siskinflow
