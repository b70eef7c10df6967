#include <siskinflow/permit/permit_issuer.hpp>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>

namespace siskinflow
{

namespace
{

constexpr std::string_view format_version = "1";
constexpr std::size_t mac_bytes = 32;
constexpr std::size_t key_bytes = 32;
constexpr std::size_t max_text_bytes = 160;

using mac = std::array<unsigned char, mac_bytes>;

struct parsed_text
{
    incarnation_id incarnation;
    permit permit_value;
    std::string_view signed_part; ///< All that precedes the last separator.
    std::string_view mac_hex;
};

auto malformed_permit()
{
    return fail(errc::parse_error,
                "malformed permit: expected 1-INCARNATION-SEQUENCE-TIME-MAC");
}

std::string_view consume_field(std::string_view& rest)
{
    const std::size_t end = rest.find('-');
    const std::string_view field = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view()
                                         : rest.substr(end + 1);
    return field;
}

bool parse_hex(std::string_view text, std::uint64_t& out)
{
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, out, 16);
    return code == std::errc() && rest == end;
}

result<parsed_text> parse(std::string_view text)
{
    if (text.size() > max_text_bytes)
    {
        return malformed_permit();
    }
    std::string_view rest = text;
    const std::string_view version = consume_field(rest);
    const auto incarnation = parse_incarnation_id(consume_field(rest));
    std::uint64_t sequence = 0;
    std::uint64_t issued_ns = 0;
    if (version != format_version || !incarnation ||
        !parse_hex(consume_field(rest), sequence) ||
        !parse_hex(consume_field(rest), issued_ns) ||
        rest.size() != 2 * mac_bytes)
    {
        return malformed_permit();
    }
    parsed_text parsed;
    parsed.incarnation = incarnation.value();
    parsed.permit_value.sequence = sequence;
    parsed.permit_value.issued_at =
        time_point(duration(static_cast<duration::rep>(issued_ns)));
    parsed.signed_part = text.substr(0, text.size() - rest.size() - 1);
    parsed.mac_hex = rest;
    return parsed;
}

void append_hex(std::string& out, std::uint64_t value)
{
    char digits[16];
    const auto end = std::to_chars(digits, digits + sizeof(digits), value, 16);
    out.append(digits, end.ptr);
}

std::string to_hex(const mac& value)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(2 * mac_bytes);
    for (const unsigned char byte : value)
    {
        out.push_back(digits[byte >> 4]);
        out.push_back(digits[byte & 0xF]);
    }
    return out;
}

} // namespace

struct permit_issuer::impl
{
    incarnation_id incarnation;
    permit_sequence last_sequence = 0;
    EVP_MAC_CTX* mac_context = nullptr;

    void update(std::string_view part) const
    {
        // The length distinguishes ("ab", "c") from ("a", "bc").
        const std::uint64_t size = part.size();
        EVP_MAC_update(mac_context,
                       reinterpret_cast<const unsigned char*>(&size),
                       sizeof(size));
        EVP_MAC_update(mac_context,
                       reinterpret_cast<const unsigned char*>(part.data()),
                       part.size());
    }

    mac sign(std::string_view signed_part, std::string_view organisation,
             std::string_view route) const
    {
        mac out{};
        std::size_t size = 0;
        EVP_MAC_init(mac_context, nullptr, 0, nullptr); // Keeps the key.
        update(signed_part);
        update(organisation);
        update(route);
        if (EVP_MAC_final(mac_context, out.data(), &size, out.size()) != 1)
        {
            // An unsigned permit could be forged and run twice.
            std::abort();
        }
        return out;
    }
};

permit_issuer::permit_issuer(const incarnation_id& incarnation)
    : impl_(std::make_unique<impl>())
{
    impl_->incarnation = incarnation;
    unsigned char key[key_bytes];
    char digest[] = "SHA256";
    const OSSL_PARAM parameters[] = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
        OSSL_PARAM_construct_end()};
    EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    impl_->mac_context = EVP_MAC_CTX_new(algorithm);
    EVP_MAC_free(algorithm);
    if (RAND_bytes(key, static_cast<int>(sizeof(key))) != 1 ||
        impl_->mac_context == nullptr ||
        EVP_MAC_init(impl_->mac_context, key, sizeof(key), parameters) != 1)
    {
        // Without a secret key any caller could forge permits.
        std::abort();
    }
    OPENSSL_cleanse(key, sizeof(key));
}

permit_issuer::~permit_issuer()
{
    EVP_MAC_CTX_free(impl_->mac_context);
}

std::string permit_issuer::issue(std::string_view organisation,
                                 std::string_view route, time_point now)
{
    std::string text(format_version);
    text.push_back('-');
    text += to_string(impl_->incarnation);
    text.push_back('-');
    append_hex(text, ++impl_->last_sequence);
    text.push_back('-');
    append_hex(text,
               static_cast<std::uint64_t>(now.time_since_epoch().count()));
    const mac signature = impl_->sign(text, organisation, route);
    text.push_back('-');
    text += to_hex(signature);
    return text;
}

result<permit> permit_issuer::verify(std::string_view text,
                                     std::string_view organisation,
                                     std::string_view route) const
{
    const auto parsed = parse(text);
    if (!parsed)
    {
        return parsed.error();
    }
    const std::string expected =
        to_hex(impl_->sign(parsed.value().signed_part, organisation, route));
    const std::string_view given = parsed.value().mac_hex;
    if (parsed.value().incarnation != impl_->incarnation ||
        CRYPTO_memcmp(expected.data(), given.data(), expected.size()) != 0)
    {
        return fail(errc::invalid_argument,
                    "permit was not issued by this incarnation for this "
                    "organisation and route");
    }
    return parsed.value().permit_value;
}

const incarnation_id& permit_issuer::incarnation() const
{
    return impl_->incarnation;
}

permit_sequence permit_issuer::last_sequence() const
{
    return impl_->last_sequence;
}

result<incarnation_id> claimed_issuer(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
    {
        return parsed.error();
    }
    return parsed.value().incarnation;
}

result<permit_sequence> claimed_sequence(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
    {
        return parsed.error();
    }
    return parsed.value().permit_value.sequence;
}

std::string permit_label(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
    {
        return "invalid";
    }
    return to_string(parsed.value().incarnation) + "-" +
           std::to_string(parsed.value().permit_value.sequence);
}

} // namespace siskinflow
