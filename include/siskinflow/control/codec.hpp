/// @file
/// @brief Encoding of the messages between VMs.
///
/// A message is an 18-byte header (version, type, sender's incarnation in
/// little-endian order) followed by a cereal portable binary archive.
#pragma once

#include <siskinflow/control/message_type.hpp>
#include <siskinflow/core/error.hpp>
#include <siskinflow/core/ids.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace siskinflow::control
{

/// @brief Bytes before the payload: version, type, incarnation.
constexpr std::size_t header_bytes = 18;

/// @brief A received message whose payload is not decoded yet.
struct envelope
{
    std::uint8_t version = 0;
    message_type type = message_type::heartbeat;
    incarnation_id sender;
    std::string_view payload; ///< Points into the received bytes.
};

/// @brief Reads cereal's portable binary format from a view.
///
/// cereal's own input archive trusts the sizes inside the data, so a corrupted
/// size could cause an allocation of any amount. This one rejects a size above
/// the number of bytes left, and the overload of `load` for vectors below grows
/// a vector only as elements arrive. Failures are thrown as `cereal::Exception`
/// and never leave `decode_payload`.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive,
                                  cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_input_archive(std::string_view bytes)
        : cereal::InputArchive<bounded_input_archive,
                               cereal::AllowEmptyClassElision>(this),
          remaining_(bytes)
    {
        std::uint8_t little_endian = 0;
        read_bytes(&little_endian, 1);
        if (little_endian > 1)
        {
            throw cereal::Exception("the byte order mark is neither 0 nor 1");
        }
        swap_bytes_ = (little_endian == 1) != is_little_endian();
    }

    /// @brief Copies values of `element_bytes` each, in this VM's byte order.
    void load_values(void* out, std::size_t bytes, std::size_t element_bytes)
    {
        read_bytes(out, bytes);
        if (!swap_bytes_ || element_bytes < 2)
        {
            return;
        }
        auto* first = static_cast<char*>(out);
        for (std::size_t offset = 0; offset + element_bytes <= bytes;
             offset += element_bytes)
        {
            std::reverse(first + offset, first + offset + element_bytes);
        }
    }

    /// @brief Throws if a container claims more elements than bytes are left.
    void check_size(std::uint64_t elements) const
    {
        if (elements > remaining_.size())
        {
            throw cereal::Exception("a container size exceeds the message");
        }
    }

    /// @brief Number of unread bytes.
    std::size_t remaining() const
    {
        return remaining_.size();
    }

private:
    static bool is_little_endian()
    {
        const std::uint16_t probe = 1;
        std::uint8_t low = 0;
        std::memcpy(&low, &probe, 1);
        return low == 1;
    }

    void read_bytes(void* out, std::size_t bytes)
    {
        if (bytes > remaining_.size())
        {
            throw cereal::Exception("the message is truncated");
        }
        if (bytes != 0)
        {
            std::memcpy(out, remaining_.data(), bytes);
        }
        remaining_.remove_prefix(bytes);
    }

    std::string_view remaining_;
    bool swap_bytes_ = false;
};

} // namespace siskinflow::control

/// cereal checks the types of enums against the output archive.
template <>
struct cereal::traits::detail::get_output_from_input<
    siskinflow::control::bounded_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

namespace siskinflow::control
{

template <class T>
requires std::is_arithmetic_v<T>
void load(bounded_input_archive& archive, T& value)
{
    archive.load_values(&value, sizeof(value), sizeof(value));
}

/// @brief Reads a `bool`; a byte other than 0 or 1 is rejected.
inline void load(bounded_input_archive& archive, bool& value)
{
    std::uint8_t byte = 0;
    archive.load_values(&byte, 1, 1);
    if (byte > 1)
    {
        throw cereal::Exception("a boolean value is neither 0 nor 1");
    }
    value = byte == 1;
}

template <class T>
void load(bounded_input_archive& archive, cereal::SizeTag<T>& tag)
{
    std::uint64_t size = 0;
    archive.load_values(&size, sizeof(size), sizeof(size));
    archive.check_size(size);
    tag.size = static_cast<std::decay_t<T>>(size);
}

template <class T>
void load(bounded_input_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <class T>
void load(bounded_input_archive& archive, cereal::BinaryData<T>& data)
{
    using element = std::remove_pointer_t<std::decay_t<T>>;
    archive.load_values(data.data, static_cast<std::size_t>(data.size),
                        sizeof(element));
}

/// @brief Reads a vector of structs; allocates only for elements that are
/// present, not for the encoded size.
template <class T, class Allocator>
requires(!std::is_arithmetic_v<T>) void load(bounded_input_archive& archive,
                                             std::vector<T, Allocator>& items)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    items.clear();
    for (cereal::size_type i = 0; i < size; ++i)
    {
        const std::size_t before = archive.remaining();
        archive(items.emplace_back());
        if (archive.remaining() == before)
        {
            throw cereal::Exception("a vector element has no bytes");
        }
    }
}

/// @brief A struct that may be sent between VMs.
template <class T>
concept message = requires
{
    {
        T::type
        } -> std::convertible_to<message_type>;
};

/// @brief Writes the header of a message.
std::string encode_header(const incarnation_id& sender, message_type type);

/// @brief Encodes a message.
/// @param sender this VM's incarnation
/// @param body the message
/// @return header and payload
template <message T>
std::string encode(const incarnation_id& sender, const T& body)
{
    std::ostringstream out;
    const std::string header = encode_header(sender, T::type);
    out.write(header.data(), static_cast<std::streamsize>(header.size()));
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(body);
    }
    return std::move(out).str();
}

/// @brief Decodes the header of a message.
/// @param bytes the received bytes; must outlive the envelope
/// @param max_bytes limit of the transport
/// @return the envelope, `errc::too_large`, `errc::parse_error` or
/// `errc::unsupported` (another version)
result<envelope> decode_header(std::string_view bytes, std::size_t max_bytes);

/// @brief Decodes the payload of a message.
/// @param received an envelope whose type is `T::type`
/// @return the message, or `errc::parse_error` naming the type
template <message T>
result<T> decode_payload(const envelope& received)
{
    const std::string type(name(T::type));
    if (received.type != T::type)
    {
        return fail(errc::parse_error, "the message is a " +
                                           std::string(name(received.type)) +
                                           ", not a " + type);
    }
    try
    {
        T body;
        bounded_input_archive archive(received.payload);
        archive(body);
        if (archive.remaining() != 0)
        {
            return fail(errc::parse_error, type + " has bytes after its end");
        }
        return body;
    }
    catch (const std::exception& exception)
    {
        return fail(errc::parse_error,
                    type + " is malformed: " + exception.what());
    }
}

} // namespace siskinflow::control
