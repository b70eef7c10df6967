#include "net/output_buffer.hpp"
#include "test_sections.hpp"
#include <siskinflow/core/release_memory.hpp>

#include <string>

using namespace siskinflow;
using namespace siskinflow::net;
using test_sections::section;

// Guards against an answer that takes its whole memory until its last byte is
// written, while the account counts what is left of it.
Test(net_output_buffer, holds_what_is_not_written)
{
    constexpr std::size_t part_bytes = 100000;
    output_buffer output;
    for (int i = 0; i < 4; ++i)
    {
        output.append(std::string(part_bytes, 'x'));
    }
    EXPECT(output.held_bytes() >= 4 * part_bytes);
    section("a part that is written in part is held as a whole",
            [&]
            {
                output.consume(part_bytes / 2);
                EXPECT(output.bytes() == 4 * part_bytes - part_bytes / 2);
                EXPECT(output.held_bytes() >= 4 * part_bytes);
            });
    section("one that is written is freed",
            [&]
            {
                output.consume(part_bytes);
                EXPECT(output.held_bytes() < 3 * part_bytes + part_bytes / 2);
            });
    section("nothing is held in the end",
            [&]
            {
                output.consume(output.bytes());
                EXPECT(output.empty() && output.held_bytes() == 0);
            });
}

// Guards against memory that an empty string keeps for later use.
Test(core_release_memory, frees_what_a_value_held)
{
    std::string text(100000, 'x');
    release_memory(text);
    EXPECT(text.empty() && text.capacity() < 100);
    struct wrapper
    {
        std::string text = std::string(100000, 'x');
    };
    wrapper outer;
    release_memory(outer, wrapper{std::string("short")});
    EXPECT(outer.text == "short" && outer.text.capacity() < 100);
}
