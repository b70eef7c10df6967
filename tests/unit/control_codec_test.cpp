#include "test_sections.hpp"
#include <siskinflow/control/codec.hpp>
#include <siskinflow/fleet/fleet_record.hpp>

#include <rapidcheck.h>

#include <vector>

using namespace siskinflow;
using test_sections::section;

namespace
{

struct sample
{
    static constexpr control::message_type type =
        control::message_type::counters;
    std::vector<member> members;
    std::vector<std::uint64_t> numbers;
    std::string text;
    bool flag = false;

    bool operator==(const sample&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(members, numbers, text, flag);
    }
};

sample make_sample(const std::vector<std::uint64_t>& numbers,
                   const std::string& text)
{
    sample out{{}, numbers, text, numbers.size() % 2 == 1};
    for (const std::uint64_t number : numbers)
    {
        out.members.push_back({{number, 1}, text, "r", "d", {"::1", 80}, {}});
    }
    return out;
}

} // namespace

// Guards against a message that decodes to other values than were encoded.
Test(control_codec, round_trip)
{
    EXPECT(rc::check(
        "decode and read undo encode",
        [](const std::vector<std::uint64_t>& numbers, const std::string& text)
        {
            const sample sent = make_sample(numbers, text);
            const std::string bytes = control::encode({7, 9}, sent);
            const auto envelope = control::decode_header(bytes, bytes.size());
            RC_ASSERT(envelope.has_value());
            RC_ASSERT((envelope.value().sender == incarnation_id{7, 9}));
            const auto body = control::decode_payload<sample>(envelope.value());
            RC_ASSERT((body.has_value() && body.value() == sent));
        }));
}

// Guards against an exception, a crash or a huge allocation from forged
// or corrupted bytes.
Test(control_codec, hostile_bytes)
{
    section(
        "random and mutated messages are read or refused",
        []
        {
            EXPECT(rc::check(
                "any bytes",
                [](const std::vector<std::uint64_t>& numbers,
                   const std::vector<std::pair<std::uint16_t, char>>& mutations,
                   const std::string& random_bytes)
                {
                    std::string bytes =
                        control::encode({7, 9}, make_sample(numbers, "t"));
                    for (const auto& [at, value] : mutations)
                    {
                        bytes[at % bytes.size()] = value;
                    }
                    for (const std::string& input : {bytes, random_bytes})
                    {
                        const auto envelope =
                            control::decode_header(input, 4096);
                        if (envelope.has_value() &&
                            envelope.value().type == sample::type)
                        {
                            const auto body = control::decode_payload<sample>(
                                envelope.value());
                            // rapidcheck's expression capture does not
                            // short-circuit.
                            const bool bounded =
                                !body.has_value() ||
                                body.value().members.capacity() <=
                                    2 * input.size();
                            RC_ASSERT(bounded);
                        }
                    }
                }));
        });
    section(
        "a size beyond the message",
        []
        {
            std::string bytes = control::encode({7, 9}, sample{});
            // The size of `members` follows the byte order mark.
            bytes[control::header_bytes + 1] = '\x7f';
            bytes[control::header_bytes + 6] = '\x7f';
            const auto envelope = control::decode_header(bytes, 4096);
            EXPECT(
                !control::decode_payload<sample>(envelope.value()).has_value());
        });
    section("too large, other version, other type, trailing bytes",
            []
            {
                std::string bytes = control::encode({7, 9}, sample{});
                EXPECT(control::decode_header(bytes, 10).error().code ==
                       errc::too_large);
                const std::string longer = bytes + "x";
                EXPECT(!control::decode_payload<sample>(
                            control::decode_header(longer, 4096).value())
                            .has_value());
                bytes[1] = 1;
                EXPECT(!control::decode_payload<sample>(
                            control::decode_header(bytes, 4096).value())
                            .has_value());
                bytes[0] = 2;
                EXPECT(control::decode_header(bytes, 4096).error().code ==
                       errc::unsupported);
            });
}
