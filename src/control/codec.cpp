#include <siskinflow/control/codec.hpp>

namespace siskinflow::control
{

namespace
{

constexpr std::size_t type_offset = 1;
constexpr std::size_t sender_high_offset = 2;
constexpr std::size_t sender_low_offset = 10;
constexpr int word_bits = 64;

void append_word(std::string& out, std::uint64_t word)
{
    for (int shift = 0; shift < word_bits; shift += 8)
    {
        out.push_back(static_cast<char>((word >> shift) & 0xFF));
    }
}

std::uint64_t read_word(std::string_view bytes, std::size_t offset)
{
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < sizeof(word); ++i)
    {
        const auto byte = static_cast<std::uint8_t>(bytes[offset + i]);
        word |= std::uint64_t{byte} << (8 * i);
    }
    return word;
}

} // namespace

std::string encode_header(const incarnation_id& sender, message_type type)
{
    std::string out;
    out.reserve(header_bytes);
    out.push_back(static_cast<char>(protocol_version));
    out.push_back(static_cast<char>(type));
    append_word(out, sender.high);
    append_word(out, sender.low);
    return out;
}

result<envelope> decode_header(std::string_view bytes, std::size_t max_bytes)
{
    if (bytes.size() > max_bytes)
    {
        return fail(errc::too_large, "a message of " +
                                         std::to_string(bytes.size()) +
                                         " bytes exceeds the limit of " +
                                         std::to_string(max_bytes));
    }
    if (bytes.size() < header_bytes)
    {
        return fail(errc::parse_error, "a message of " +
                                           std::to_string(bytes.size()) +
                                           " bytes has no complete header");
    }
    envelope out;
    out.version = static_cast<std::uint8_t>(bytes[0]);
    if (out.version != protocol_version)
    {
        return fail(errc::unsupported, "message version " +
                                           std::to_string(out.version) +
                                           " is not supported");
    }
    out.type = static_cast<message_type>(bytes[type_offset]);
    out.sender = {read_word(bytes, sender_high_offset),
                  read_word(bytes, sender_low_offset)};
    if (name(out.type) == "unknown")
    {
        return fail(errc::parse_error, "message type " +
                                           std::to_string(bytes[type_offset]) +
                                           " is not defined");
    }
    out.payload = bytes.substr(header_bytes);
    return out;
}

} // namespace siskinflow::control
