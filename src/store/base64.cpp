#include <siskinflow/store/base64.hpp>

#include <openssl/evp.h>

#include <algorithm>

namespace siskinflow
{

namespace
{

bool is_base64_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '+' || c == '/';
}

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string base64_encode(std::string_view bytes)
{
    // OpenSSL writes a terminating zero after the text.
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        bytes_of(bytes), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

result<std::string> base64_decode(std::string_view text)
{
    const std::size_t digit_count = std::min(text.find('='), text.size());
    const std::size_t padding_count = text.size() - digit_count;
    // EVP_DecodeBlock also accepts white space, which is not allowed here.
    const bool valid =
        text.size() % 4 == 0 && padding_count <= 2 &&
        std::all_of(text.begin(),
                    text.begin() + static_cast<std::ptrdiff_t>(digit_count),
                    is_base64_digit) &&
        text.substr(digit_count).find_first_not_of('=') ==
            std::string_view::npos;
    if (!valid)
    {
        return fail(errc::parse_error, "a string of " +
                                           std::to_string(text.size()) +
                                           " bytes is not valid base64");
    }
    std::string out(text.size() / 4 * 3, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                    bytes_of(text), static_cast<int>(text.size()));
    out.resize(out.size() - padding_count);
    return out;
}

} // namespace siskinflow
