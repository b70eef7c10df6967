#include <siskinflow/core/ids.hpp>

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <charconv>
#include <cstdlib>

namespace siskinflow
{

namespace
{

constexpr std::size_t hex_digits_per_word = 16;

void append_hex(std::string& out, std::uint64_t word)
{
    static constexpr char digits[] = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4)
    {
        out.push_back(digits[(word >> shift) & 0xF]);
    }
}

bool parse_hex(std::string_view text, std::uint64_t& out)
{
    const char* end = text.data() + text.size();
    auto [ptr, ec] = std::from_chars(text.data(), end, out, 16);
    return ec == std::errc() && ptr == end;
}

} // namespace

incarnation_id make_incarnation_id()
{
    incarnation_id id;
    const int status = RAND_bytes(reinterpret_cast<unsigned char*>(&id),
                                  static_cast<int>(sizeof(id)));
    if (status != 1)
    {
        // Without random ids two incarnations could share permits and leases.
        std::abort();
    }
    return id;
}

std::string to_string(const incarnation_id& id)
{
    std::string out;
    out.reserve(2 * hex_digits_per_word);
    append_hex(out, id.high);
    append_hex(out, id.low);
    return out;
}

result<incarnation_id> parse_incarnation_id(std::string_view text)
{
    incarnation_id id;
    if (text.size() != 2 * hex_digits_per_word ||
        !parse_hex(text.substr(0, hex_digits_per_word), id.high) ||
        !parse_hex(text.substr(hex_digits_per_word), id.low))
    {
        return fail(errc::parse_error, "incarnation id '" + std::string(text) +
                                           "' is not 32 hexadecimal digits");
    }
    return id;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view data)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest, &size, EVP_sha256(), nullptr);
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(2 * size);
    for (unsigned int i = 0; i < size; ++i)
    {
        out.push_back(digits[digest[i] >> 4]);
        out.push_back(digits[digest[i] & 0xF]);
    }
    return out;
}

} // namespace siskinflow
